//! The domain types that events, actions and policies share: plain data. Every instant is a [`std::time::Duration`]
//! since a zero point that the host chooses.
mod arm;
mod endpoint;
mod fleet;
mod ids;
mod release;
mod request;
mod settings;

pub(crate) use arm::{Arm, PerArm};
pub(crate) use endpoint::RoutingConstraint;
pub use endpoint::{Endpoint, EndpointStatus, ListUpdate};
pub use fleet::FleetPosition;
pub use ids::{
    AgentId, AttemptNumber, Build, Cell, EndpointId, IdempotencyKey, MachineModel, RequestClass,
    RequestId, Stage, Tenant, TimerId, Zone,
};
pub(crate) use release::ReleaseStatus;
pub use release::{AdvanceRule, ReleasePhase, Vote, VoteTiming};
pub use request::{ClassPolicy, DeduplicationScope, Idempotency, Outcome, Request};
pub use settings::{
    EndpointDiscoverySettings, EngineSettings, ExposureSettings, ReleaseAnalysisSettings,
    RequestSettings, SlowStartSettings,
};
