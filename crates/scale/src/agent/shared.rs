//! What all agents of a fleet share: its drawn shape and the distributions of client requests.
use std::time::Duration;

use lilacgate_capacity::fleet::Fleet;
use lilacgate_decision::AgentId;
use rand_distr::weighted::WeightedAliasIndex;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::network::ServiceIndex;
use crate::settings::Start;

/// Spread of the work of requests (sigma of a log-normal distribution).
const WORK_SPREAD: f64 = 0.5;
/// Spread of a request's estimated work around the work itself.
const HINT_SPREAD: f64 = 0.2;

/// What all agents of a fleet share.
#[derive(Debug)]
pub struct Common {
    /// The fleet's size.
    pub size: FleetSize,
    /// Its services, agents and endpoints.
    pub fleet: Fleet,
    /// Draws the service of a request.
    services: WeightedAliasIndex<f64>,
    /// Draws the work of a request, in seconds.
    work: LogNormal<f64>,
    /// Draws the estimated work of a request, as a multiple of its work.
    hint: LogNormal<f64>,
}

/// The drawn work of a client's request.
#[derive(Clone, Copy, Debug)]
pub(super) struct RequestWork {
    /// The work itself, on a warm core.
    pub(super) actual: Duration,
    /// The client's estimate of it.
    pub(super) estimated: Duration,
}

impl Common {
    /// Draws a fleet from a seed.
    ///
    /// # Errors
    /// The size cannot be simulated, or has weights that cannot be drawn from.
    pub fn new(size: FleetSize, seed: u64) -> Result<Self, ScaleError> {
        let fault = |what: &str| ScaleError::Size(format!("{what} cannot be drawn from"));
        let fleet = size.draw(seed)?;
        let rates = fleet
            .services
            .iter()
            .map(|service| service.request_rate)
            .collect();
        let services =
            WeightedAliasIndex::new(rates).map_err(|_| fault("the services' request rates"))?;
        let mean = size.work.as_secs_f64().ln() - WORK_SPREAD * WORK_SPREAD / 2.0;
        let work = LogNormal::new(mean, WORK_SPREAD).map_err(|_| fault("the work of requests"))?;
        let hint = LogNormal::new(0.0, HINT_SPREAD).map_err(|_| fault("the hints of work"))?;
        Ok(Common {
            size,
            fleet,
            services,
            work,
            hint,
        })
    }

    /// Routes of a service's module, 1 at least.
    pub fn routes(&self, service: usize) -> u32 {
        self.fleet.services[service].routes.max(1)
    }

    /// The start settings of one agent's module for a service.
    pub fn start(&self, agent: AgentId, service: usize) -> Start<'_> {
        let zone = self.fleet.agents[agent.0 as usize].zone.0;
        Start {
            agent: agent.0,
            agents: self.size.agents,
            zone,
            places: &self.size.places,
            routes: self.routes(service),
        }
    }

    /// Draws the service of the next request.
    pub(super) fn draw_service(&self, random: &mut Pcg64Mcg) -> ServiceIndex {
        ServiceIndex(self.services.sample(random) as u32)
    }

    /// Draws the work of a request and its estimate.
    pub(super) fn draw_work(&self, random: &mut Pcg64Mcg) -> RequestWork {
        let work = self.work.sample(random);
        let estimated = work * self.hint.sample(random);
        RequestWork {
            actual: Duration::from_secs_f64(work),
            estimated: Duration::from_secs_f64(estimated),
        }
    }
}
