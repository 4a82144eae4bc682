//! Endpoints as discovery lists them.
use std::time::Duration;

use super::ids::{Build, Cell, EndpointId, MachineModel, Zone};

/// Whether an endpoint takes requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It takes requests.
    Ready,
    /// It finishes what it has, and takes nothing new.
    Draining,
    /// It is no longer listed.
    Removed,
}

/// How an update of the endpoint list is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// Only the endpoints named have changed.
    Delta,
    /// What is not named is gone.
    Full,
    /// A full list that was kept from before the agent started.
    Cached,
    /// The list could not be fetched.
    Failed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Which endpoint this is.
    pub id: EndpointId,
    /// Whether it takes requests.
    pub status: EndpointStatus,
    /// Its type of machine.
    pub machine_model: MachineModel,
    /// Its capacity in relation to the others; finite and not negative.
    pub weight: f32,
    /// When its process last started; `None` for long ago.
    pub started: Option<Duration>,
    /// The build that it runs.
    pub build: Build,
    /// The group that shares idempotency keys with it.
    pub cell: Cell,
    /// Where it stands.
    pub zone: Zone,
}

impl Endpoint {
    /// How long its process has been running; `None` for long.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.started.map(|started| now.saturating_sub(started))
    }
}

/// The zone and the cell that a request is confined to, if any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Confinement {
    pub(crate) zone: Option<Zone>,
    pub(crate) cell: Option<Cell>,
}
