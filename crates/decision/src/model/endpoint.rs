//! Endpoints, as discovery lists them.
use std::time::Duration;

use super::ids::{Build, Cell, EndpointId, MachineModel, Zone};

/// Whether an endpoint accepts requests.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EndpointStatus {
    /// It accepts requests.
    Ready,
    /// It completes its outstanding requests and accepts no new ones.
    Draining,
    /// Discovery no longer lists it.
    Removed,
}

/// The kind of an update of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListUpdate {
    /// The update names the endpoints that changed.
    Delta,
    /// The update names all endpoints; any other one is removed.
    Full,
    /// A full list that the agent saved before it was restarted.
    Cached,
    /// The list could not be fetched, or its watch ended.
    Failed,
}

/// An entry of the endpoint list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Endpoint {
    /// Identifies the endpoint, also across restarts of its process.
    pub id: EndpointId,
    /// Whether it accepts requests.
    pub status: EndpointStatus,
    /// The model of the machine that it runs on.
    pub machine_model: MachineModel,
    /// Capacity relative to the other endpoints; finite and not negative.
    pub weight: f32,
    /// When its process last started; `None` if that was long ago.
    pub started: Option<Duration>,
    /// The build that it runs.
    pub build: Build,
    /// The group of endpoints that it shares idempotency keys with.
    pub cell: Cell,
    /// The zone that it runs in.
    pub zone: Zone,
}

impl Endpoint {
    /// How long its process has been running; `None` if it started long ago.
    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.started.map(|started| now.saturating_sub(started))
    }
}

/// The zone or the cell that a request must be sent to; `None` for any.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RoutingConstraint {
    pub(crate) zone: Option<Zone>,
    pub(crate) cell: Option<Cell>,
}
