//! The file that describes a fleet (`deploy/capacity.xml`, with its schema
//! `deploy/capacity.xsd`) and its reader.
//!
//! All faults of a file are reported, each with its line and column; a file
//! with a fault is rejected as a whole. [`crate::fleet`] draws services and
//! agents from it.
use std::path::Path;
use std::time::Duration;

use lilacgate_operator_config::xml;

use crate::result::Size;
use crate::target_file::read_root;

pub use crate::target_file::TargetError;

/// The version of the file format, an attribute of the root element.
pub const VERSION: &str = "1";
/// The largest count that is accepted for any element.
pub const LARGEST_COUNT: u32 = 10_000_000;
/// The largest skew: the standard deviation of the logarithm of a share.
pub const LARGEST_SKEW: f64 = 3.0;

const SECONDS_A_DAY: f64 = 86_400.0;

/// A fleet that the design has to carry, and the budgets it has to keep.
#[derive(Clone, Debug, PartialEq)]
pub struct Target {
    /// The fleet that runs today.
    pub today: Size,
    /// Agents in the fleet.
    pub agents: u32,
    /// How unevenly requests are spread over agents.
    pub agent_skew: f64,
    /// Regions, zones and racks.
    pub places: Places,
    /// Services and their appliances.
    pub services: Services,
    /// Routes over all services.
    pub routes: u32,
    /// Tenants over all services.
    pub tenants: u32,
    /// Requests per second at the peak, over all agents and services.
    pub request_rate: f64,
    /// How unevenly requests are spread over services of one size.
    pub request_skew: f64,
    /// Changes of configuration.
    pub changes: Changes,
    /// Failures and restarts.
    pub failures: Failures,
    /// Canary releases at the same time, each in a service of its own.
    pub releases: u32,
    /// The limits on cost.
    pub budgets: Budgets,
}

/// The topology that agents and appliances are placed in.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Places {
    /// Regions.
    pub regions: u32,
    /// Zones over all regions.
    pub zones: u32,
    /// Appliances of one rack.
    pub rack_size: u32,
}

/// How many services there are and how large they are.
#[derive(Clone, Debug, PartialEq)]
pub struct Services {
    /// Services.
    pub count: u32,
    /// Appliances over all services.
    pub appliances: u32,
    /// The least size of the largest service.
    pub largest: u32,
    /// How unevenly appliances are spread over services.
    pub skew: f64,
    /// The most appliances that a list of an agent may hold.
    pub list_cap: u32,
    /// Services whose sizes are known; those of others are drawn.
    pub named: Vec<NamedService>,
}

/// A service whose size is known.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct NamedService {
    /// Its name.
    pub name: String,
    /// Its appliances.
    pub appliances: u32,
}

/// Changes of configuration.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Changes {
    /// Changes per day.
    pub per_day: f64,
    /// The time within which the last agent has to act on one.
    pub in_force_within: Duration,
}

/// How often parts of the fleet fail.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Failures {
    /// Machines that fail on an ordinary day.
    pub machines_per_day: f64,
    /// Machines that are restarted or replaced on an ordinary day.
    pub restarts_per_day: f64,
    /// Racks or switches that fail.
    pub racks_per_year: f64,
    /// Zones that fail.
    pub zones_per_year: f64,
    /// Times that regions lose each other.
    pub partitions_per_year: f64,
    /// For how long.
    pub partition_lasts: Duration,
}

/// The limits on cost.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Budgets {
    /// The 99th percentile of the time added to a request.
    pub added_p99: Duration,
    /// Processor time of an agent for control, in percent of a core.
    pub core_percent: f64,
    /// Memory of an agent for control, in megabytes (10^6 bytes).
    pub memory_megabytes: f64,
    /// Bytes of an agent for control, in and out.
    pub bytes_per_second: f64,
    /// Machines set aside for control.
    pub control_machines: u32,
}

impl Target {
    /// Reads a target file.
    ///
    /// # Errors
    /// The file cannot be read or has faults.
    pub fn load(path: &Path) -> Result<Target, TargetError> {
        xml::read_text(path)
            .and_then(|text| xml::parse(&text, read_root))
            .map_err(|faults| TargetError {
                path: Some(path.to_owned()),
                faults,
            })
    }

    /// Reads the text of a target file.
    ///
    /// # Errors
    /// It has faults.
    pub fn parse(text: &str) -> Result<Target, TargetError> {
        xml::parse(text, read_root).map_err(|faults| TargetError { path: None, faults })
    }

    /// The sizes of the whole target. The number of appliances that an
    /// agent uses is decided by the agent and not known here: it is 0.
    pub fn size(&self) -> Size {
        Size {
            agents: self.agents,
            listed_appliances: self.services.appliances,
            used_appliances: 0,
            services: self.services.count,
            routes: self.routes,
            tenants: self.tenants,
            request_rate: self.request_rate,
            change_rate: self.change_rate(),
            releases: self.releases,
        }
    }

    /// Requests per second of one agent at one service, on average.
    pub fn rate_per_agent_and_service(&self) -> f64 {
        self.request_rate / f64::from(self.agents) / f64::from(self.services.count)
    }

    /// Changes per second: configuration, and appliances that fail or are
    /// replaced, each of which leaves the list and comes back.
    pub fn change_rate(&self) -> f64 {
        let replaced = self.failures.machines_per_day + self.failures.restarts_per_day;
        (self.changes.per_day + 2.0 * replaced) / SECONDS_A_DAY
    }
}
