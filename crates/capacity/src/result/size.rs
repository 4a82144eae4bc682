//! The sizes of a fleet.
use serde::{Deserialize, Serialize};

use super::Factor;

/// The size of the fleet that a sample was measured on.
#[derive(Clone, Copy, Debug, Default, PartialEq, PartialOrd, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Size {
    /// Agents in the fleet.
    pub agents: u32,
    /// Appliances on the list that the agent receives.
    pub listed_appliances: u32,
    /// Appliances that the agent sends requests to.
    pub used_appliances: u32,
    /// Services that the agent serves as a proxy.
    pub services: u32,
    /// Routes of the agent.
    pub routes: u32,
    /// Tenants whose requests the agent sees.
    pub tenants: u32,
    /// Requests per second.
    pub request_rate: f64,
    /// Changes per second.
    pub change_rate: f64,
    /// Canary releases at the same time.
    pub releases: u32,
}

impl Size {
    /// The size along one factor.
    pub fn along(&self, factor: Factor) -> f64 {
        match factor {
            Factor::Agents => f64::from(self.agents),
            Factor::ListedAppliances => f64::from(self.listed_appliances),
            Factor::UsedAppliances => f64::from(self.used_appliances),
            Factor::Services => f64::from(self.services),
            Factor::Routes => f64::from(self.routes),
            Factor::Tenants => f64::from(self.tenants),
            Factor::RequestRate => self.request_rate,
            Factor::ChangeRate => self.change_rate,
            Factor::Releases => f64::from(self.releases),
        }
    }
}
