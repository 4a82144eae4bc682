//! An agent: a real decision module for each service, with simulated clients.
mod incoming;
mod outgoing;
mod queue;
mod shared;

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{AgentId, Build, EndpointId, ReleasePermissions};
use lilacgate_start_settings::Settings;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

pub use self::shared::Common;

use self::queue::{EventQueue, Moment};
use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::meter::Meter;
use crate::module::{Module, ModuleEvent};
use crate::network::{Incoming, Sent, ServiceIndex};
use crate::{settings, wire};

/// Separates the seeds of an agent's modules.
const SERVICE_STRIDE: u64 = 7919;
/// Separates the seeds of an agent's restarts.
const RESTART_STRIDE: u64 = 15_485_863;
/// Multiplier that separates the seeds of agents.
const AGENT_SEED_MULTIPLIER: u64 = 0xd134_2543_de82_ef95;
/// The longest gap between two requests of an agent, in seconds.
const LONGEST_REQUEST_GAP_SECONDS: f64 = 3600.0;
/// The build that all endpoints run before a trial.
pub const OLD_BUILD: u16 = 1;

/// An endpoint in the list of a service. Endpoint numbers repeat between services.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct ServiceEndpoint {
    /// The service.
    pub service: ServiceIndex,
    /// The endpoint's number in the service's module.
    pub endpoint: EndpointId,
}

/// An agent.
#[derive(Debug)]
pub struct Agent {
    /// Its number.
    pub id: AgentId,
    /// Its modules, by service.
    pub modules: Vec<Module>,
    /// What it does and what that costs.
    pub meter: Meter,
    /// Attempts by endpoint since the last reset.
    pub used: HashMap<ServiceEndpoint, u32>,
    /// What it has sent since the last exchange.
    pub outbox: Vec<Sent>,
    queue: EventQueue,
    /// Heartbeats received so far.
    heartbeats: u64,
    /// Draws the gap between two requests in seconds; `None` without requests.
    request_gaps: Option<Exp<f64>>,
    random: Pcg64Mcg,
    seed: u64,
    /// Restarts so far.
    restarts: u64,
}

impl Agent {
    /// Creates an agent with a module for each service, before its first event.
    ///
    /// # Errors
    /// Its start settings cannot be used.
    pub fn new(id: AgentId, common: &Common, rate: f64, seed: u64) -> Result<Self, ScaleError> {
        let mix = u64::from(id.0)
            .wrapping_add(1)
            .wrapping_mul(AGENT_SEED_MULTIPLIER);
        let mut agent = Agent {
            id,
            modules: Vec::new(),
            meter: Meter::default(),
            used: HashMap::new(),
            outbox: Vec::new(),
            queue: EventQueue::default(),
            heartbeats: 0,
            request_gaps: Exp::new(rate).ok(),
            random: Pcg64Mcg::seed_from_u64(seed ^ mix),
            seed: seed ^ mix,
            restarts: 0,
        };
        agent.create_modules(common)?;
        Ok(agent)
    }

    fn create_modules(&mut self, common: &Common) -> Result<(), ScaleError> {
        self.modules.clear();
        let restart_offset = self.restarts * RESTART_STRIDE;
        for service in 0..common.fleet.services.len() {
            let settings = Settings::from_lines(&settings::text(&common.start(self.id, service)));
            let service_offset = service as u64 * SERVICE_STRIDE + restart_offset;
            let seed = self.seed.wrapping_add(service_offset);
            self.modules.push(Module::new(seed, &settings)?);
        }
        Ok(())
    }

    /// Starts it: its clients begin to send requests, and each module has its first round.
    pub fn start(&mut self, now: Duration, common: &Common) {
        let tenants = common.size.tenants;
        let permissions = (tenants > 0).then(|| Arc::new(all_open(&common.size)));
        for index in 0..self.modules.len() as u32 {
            let received = permissions
                .iter()
                .map(|open| ModuleEvent::ReleasePermissions(open.clone()))
                .collect();
            let service = ServiceIndex(index);
            self.round(Moment { at: now, service }, received);
        }
        let phase = wire::PING_PERIOD.mul_f64(self.random.random());
        self.push_heartbeat(now + phase);
        self.push_request(now, common);
    }

    /// Stops it and starts it again with its saved lists, one text for each service.
    ///
    /// # Errors
    /// Its start settings cannot be used.
    pub fn restart(
        &mut self,
        now: Duration,
        common: &Common,
        saved: &[Arc<[u8]>],
    ) -> Result<(), ScaleError> {
        self.restarts += 1;
        self.queue.clear();
        self.outbox.clear();
        let modules = self.modules.iter();
        let connections: Vec<u32> = modules.map(|module| module.connection).collect();
        self.create_modules(common)?;
        for (index, connection) in connections.into_iter().enumerate() {
            let module = &mut self.modules[index];
            module.connection = connection + 1;
            let received = module.take_saved(&saved[index], &mut self.meter);
            let service = ServiceIndex(index as u32);
            self.round(Moment { at: now, service }, received.into_iter().collect());
        }
        self.start(now, common);
        Ok(())
    }

    /// Queues something that reaches it at the given time.
    pub fn deliver(&mut self, at: Duration, service: ServiceIndex, incoming: Incoming) {
        self.queue.push(Moment { at, service }, incoming);
    }

    /// The heartbeats of an agent belong to no service; they are queued with the first one's events.
    fn push_heartbeat(&mut self, at: Duration) {
        self.deliver(at, ServiceIndex(0), Incoming::Heartbeats);
    }

    fn push_request(&mut self, now: Duration, common: &Common) {
        let Some(gaps) = self.request_gaps else {
            return;
        };
        let seconds = gaps.sample(&mut self.random);
        let gap = Duration::from_secs_f64(seconds.min(LONGEST_REQUEST_GAP_SECONDS));
        let service = common.draw_service(&mut self.random);
        self.deliver(now + gap, service, Incoming::Request);
    }

    /// Handles all events before the given time.
    pub fn step(&mut self, until: Duration, common: &Common) {
        while let Some(moment) = self.queue.first_before(until) {
            let received = self.receive_all(moment, common);
            if !received.is_empty() {
                self.round(moment, received);
            }
        }
    }

    /// One round of a module, whose decisions are carried out.
    fn round(&mut self, moment: Moment, received: Vec<ModuleEvent>) {
        let module = self.module(moment.service);
        let round = module.round(moment.at, received);
        if let Some(pending) = module.pending.take() {
            let waited = moment.at.saturating_sub(pending.since);
            let after = waited + pending.reading + round.processor_time;
            self.meter.acted_on_list(pending.whole, after);
        }
        self.meter.round(round.processor_time);
        for decision in round.decided.list {
            self.carry_out(moment, decision);
        }
    }

    fn module(&mut self, service: ServiceIndex) -> &mut Module {
        &mut self.modules[service.0 as usize]
    }
}

/// Permissions that leave all builds open to everyone, with a row for each tenant.
fn all_open(size: &FleetSize) -> ReleasePermissions {
    let (zones, tenants) = (size.places.zones as usize, size.tenants as usize);
    let cells = vec![u64::MAX; zones * tenants];
    let builds = [Build(OLD_BUILD), Build(OLD_BUILD + 1)];
    let rows = builds.map(|build| (build, cells.as_slice()));
    ReleasePermissions::new(zones, tenants, &rows, None)
}
