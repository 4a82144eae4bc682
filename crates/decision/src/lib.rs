//! The decision module of lilacgate: which endpoint a request goes to, when it is rejected, and how an agent
//! votes on a new build.
//!
//! The host makes a [`DecisionEngine`] from [`EngineSettings`] and calls [`DecisionEngine::round`] with all that
//! happened since the last round: it calls one method of [`EventHandler`] for each event, and takes what is
//! decided through [`Actions`]. The crate does no input or output, reads no clock, and draws its random
//! numbers from a seed: the same events lead to the same actions.
//!
//! Modules depend on each other in one direction: `model` (domain types) below `state` (what is remembered),
//! below `peer_reports` (messages between agents) and `policy` (all decisions), below `engine` (a round).

mod actions;
mod engine;
mod events;
mod model;
mod peer_reports;
mod policy;
mod release_permissions;
mod state;

pub use actions::{Actions, EjectionReason, GiveUpReason, Note};
pub use engine::DecisionEngine;
pub use events::EventHandler;
pub use model::{
    AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DeduplicationScope, Endpoint,
    EndpointDiscoverySettings, EndpointId, EndpointStatus, EngineSettings, ExposureSettings,
    FleetPosition, Idempotency, IdempotencyKey, ListUpdate, MachineModel, Outcome,
    ReleaseAnalysisSettings, ReleasePhase, Request, RequestClass, RequestId, RequestSettings,
    SlowStartSettings, Stage, Tenant, TimerId, Vote, VoteTiming, Zone,
};
pub use policy::sequential_test::{SequentialTest, SequentialTestSettings};
pub use release_permissions::ReleasePermissions;
