//! The domain types that events, actions and decisions share. None of them has behaviour beyond its own
//! data. Every instant is a [`std::time::Duration`] since the zero point that the host chose.
mod arm;
mod endpoint;
mod fleet;
mod ids;
mod release;
mod request;
mod settings;

pub(crate) use arm::{Arm, PerArm};
pub(crate) use endpoint::Confinement;
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
