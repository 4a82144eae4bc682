//! The decision engine of lilacgate. It decides which endpoint a request is sent to, when a request is rejected, and
//! how the agent votes on a new build.
//!
//! The host creates a [`DecisionEngine`] from [`EngineSettings`] and calls [`DecisionEngine::round`] with the events
//! since the last round: it calls one method of [`EventHandler`] for each event, and the engine calls one method of
//! [`Actions`] for each decision. The crate performs no I/O, reads no clock, and draws its random numbers from a
//! seed, so the same events lead to the same actions.
//!
//! Modules depend on each other in one direction, from last to first: `model` (domain types), `state` (records, sums
//! and indexes), `peer_reports` (messages between agents), `policy` (all decisions) and `engine` (rounds).

mod actions;
mod engine;
mod events;
mod model;
mod peer_reports;
mod policy;
mod release_permissions;
mod state;

pub use actions::{Actions, Diagnostic, EjectionReason, GiveUpReason};
pub use engine::DecisionEngine;
pub use events::EventHandler;
pub use model::{
    AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DeduplicationScope, Endpoint,
    EndpointDiscoverySettings, EndpointId, EndpointStatus, EngineSettings, ExposureSettings,
    FleetPosition, Idempotency, IdempotencyKey, ListUpdate, MachineModel, Outcome,
    ReleaseAnalysisSettings, ReleasePhase, Request, RequestClass, RequestId, RequestSettings,
    SlowStartSettings, Stage, Tenant, TimerId, Vote, VoteTiming, Zone,
};
pub use policy::delivery::{DeliveryLimits, DeliveryProgress, DeliveryStep};
pub use policy::sequential_test::{SequentialTest, SequentialTestSettings};
pub use policy::write_timing::{WriteLimits, WriteStep, WriteTiming};
pub use release_permissions::ReleasePermissions;
