//! The size of a simulated fleet. How services, agents and endpoints are drawn from it is the
//! capacity crate's work.
use std::time::Duration;

use lilacgate_capacity::fleet::Fleet;
use lilacgate_capacity::result::Size;
use lilacgate_capacity::target::{
    Budgets, Changes, Failures, NamedService, Places, Services, Target,
};

use crate::error::ScaleError;

/// The most routes that one module's settings can name.
pub const MOST_ROUTES: u32 = u8::MAX as u32;
/// Mean work of a request.
pub const MEAN_WORK: Duration = Duration::from_millis(5);

/// How large a simulated fleet is, and its load.
#[derive(Clone, Debug)]
pub struct FleetSize {
    /// Agents.
    pub agents: u32,
    /// How unevenly requests are spread over agents.
    pub agent_skew: f64,
    /// Endpoints in all services.
    pub appliances: u32,
    /// Services; an agent runs a module for each.
    pub services: u32,
    /// How unevenly endpoints are spread over services.
    pub service_skew: f64,
    /// The least size of the largest service.
    pub largest: u32,
    /// Sizes of services that are not drawn.
    pub known_sizes: Vec<u32>,
    /// Routes over all services.
    pub routes: u32,
    /// Tenants in the operator's table; with 0 there is no such table.
    pub tenants: u32,
    /// Requests per second at all agents together.
    pub request_rate: f64,
    /// How unevenly requests are spread over services of one size.
    pub request_skew: f64,
    /// Changes of a list per second.
    pub change_rate: f64,
    /// Services with a release on trial, the first ones.
    pub releases: u32,
    /// Mean work of a request.
    pub work: Duration,
    /// Regions, zones over all regions, and endpoints of a rack.
    pub places: Places,
}

impl Default for FleetSize {
    fn default() -> Self {
        FleetSize {
            agents: 20,
            agent_skew: 0.5,
            appliances: 600,
            services: 1,
            service_skew: 1.1,
            largest: 1,
            known_sizes: Vec::new(),
            routes: 4,
            tenants: 0,
            request_rate: 1246.0,
            request_skew: 0.5,
            change_rate: 0.0,
            releases: 0,
            work: MEAN_WORK,
            places: Places {
                regions: 2,
                zones: 4,
                rack_size: 40,
            },
        }
    }
}

impl FleetSize {
    /// The fleet of a target file, with one release on trial. There is no operator's table: what it
    /// costs has a slope of its own.
    pub fn of_target(target: &Target) -> Self {
        FleetSize {
            agents: target.agents,
            agent_skew: target.agent_skew,
            appliances: target.services.appliances,
            services: target.services.count,
            service_skew: target.services.skew,
            largest: target.services.largest,
            known_sizes: target
                .services
                .named
                .iter()
                .map(|named| named.appliances)
                .collect(),
            routes: target.routes,
            tenants: 0,
            request_rate: target.request_rate,
            request_skew: target.request_skew,
            change_rate: target.change_rate(),
            releases: 1,
            work: MEAN_WORK,
            places: target.places,
        }
    }

    /// The same in one service, so that an agent has one module with the whole list. Routes are as
    /// many as one module can name.
    pub fn in_one_service(&self) -> Self {
        let (services, largest) = (1, 1);
        let routes = self.routes.min(MOST_ROUTES);
        FleetSize {
            services,
            largest,
            known_sizes: Vec::new(),
            routes,
            ..self.clone()
        }
    }

    /// The same with fewer agents, each of which gets as many requests as before.
    pub fn with_agents(&self, agents: u32) -> Self {
        let request_rate = self.request_rate * f64::from(agents) / f64::from(self.agents);
        FleetSize {
            agents,
            request_rate,
            ..self.clone()
        }
    }

    /// Whether the size can be simulated.
    ///
    /// # Errors
    /// It cannot: the reason.
    pub fn check(&self) -> Result<(), ScaleError> {
        let fault = |text: &str| Err(ScaleError::Size(text.to_owned()));
        if self.agents == 0 {
            return fault("a fleet without agents");
        }
        if self.services == 0 || self.services > self.appliances {
            return fault("each service needs an appliance at least");
        }
        if self.known_sizes.is_empty() && self.largest + self.services - 1 > self.appliances {
            return fault("the largest service leaves too few appliances for the others");
        }
        if self.request_rate <= 0.0 || !self.request_rate.is_finite() {
            return fault("the request rate is not above 0");
        }
        if self.places.zones == 0 || self.places.regions == 0 || self.places.rack_size == 0 {
            return fault("a fleet without a region, zone or rack");
        }
        Ok(())
    }

    /// The size as a result record has it.
    pub fn record(&self, used_appliances: u32) -> Size {
        Size {
            agents: self.agents,
            listed_appliances: self.appliances,
            used_appliances,
            services: self.services,
            routes: self.routes,
            tenants: self.tenants,
            request_rate: self.request_rate,
            change_rate: self.change_rate,
            releases: self.releases,
        }
    }

    /// Draws services, agents and endpoints.
    ///
    /// # Errors
    /// The size cannot be simulated.
    pub fn draw(&self, seed: u64) -> Result<Fleet, ScaleError> {
        self.check()?;
        let fleet = self.target().draw(seed);
        let most = fleet.services.iter().max_by_key(|service| service.routes);
        match most.filter(|service| service.routes > MOST_ROUTES) {
            Some(service) => Err(ScaleError::Size(format!(
                "{} has {} routes; a module can name {MOST_ROUTES} at most",
                service.name, service.routes
            ))),
            None => Ok(fleet),
        }
    }

    /// A target of this size. Rates of failures and budgets play no part in a draw.
    fn target(&self) -> Target {
        let named = |(place, &appliances): (usize, &u32)| NamedService {
            name: format!("service-{place}"),
            appliances,
        };
        let named = self.known_sizes.iter().enumerate().map(named).collect();
        let services = Services {
            count: self.services,
            appliances: self.appliances,
            largest: self.largest,
            skew: self.service_skew,
            list_cap: self.appliances,
            named,
        };
        Target {
            today: Size::default(),
            agents: self.agents,
            agent_skew: self.agent_skew,
            places: self.places,
            services,
            routes: self.routes,
            tenants: self.tenants,
            request_rate: self.request_rate,
            request_skew: self.request_skew,
            changes: Changes {
                per_day: 0.0,
                in_force_within: Duration::ZERO,
            },
            failures: Failures {
                machines_per_day: 0.0,
                restarts_per_day: 0.0,
                racks_per_year: 0.0,
                zones_per_year: 0.0,
                partitions_per_year: 0.0,
                partition_lasts: Duration::ZERO,
            },
            releases: self.releases,
            budgets: Budgets {
                added_p99: Duration::ZERO,
                core_percent: 0.0,
                memory_megabytes: 0.0,
                bytes_per_second: 0.0,
                control_machines: 0,
            },
        }
    }
}
