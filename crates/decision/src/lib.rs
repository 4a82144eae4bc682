//! The decision module of lilacgate: which endpoint a request goes to, when it is rejected, and how an agent
//! votes on a new build.
//!
//! The host puts a [`DecisionEngine`] together from its parts and calls [`DecisionEngine::round`] with all that
//! happened since the last round: it calls one method of [`EventHandler`] for each event, and takes what is
//! decided through [`Actions`]. The crate does no input or output, reads no clock, and draws its random
//! numbers from a seed: the same events lead to the same actions.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(missing_debug_implementations)] // Not met yet.
#![allow(missing_docs)] // Not met yet.

mod actions;
mod attempts;
mod brain;
mod catalog;
mod ear;
mod events;
mod evidence;
mod fleet;
mod members;
mod model;
mod parts;
mod relay;
mod release_permissions;
mod report;
mod state;
mod subset;

pub use actions::{Actions, EjectionReason, GiveUpReason, Note};
pub use brain::DecisionEngine;
pub use events::EventHandler;
pub use model::{
    AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DeduplicationScope, Endpoint,
    EndpointDiscoverySettings, EndpointId, EndpointStatus, EngineSettings, ExposureSettings,
    FleetPosition, Idempotency, IdempotencyKey, ListUpdate, Model, Outcome,
    ReleaseAnalysisSettings, ReleasePhase, Request, RequestClass, RequestId, RequestSettings,
    SlowStartSettings, Stage, Tenant, TimerId, Vote, VoteTiming, Zone,
};
pub use release_permissions::ReleasePermissions;
pub use state::{SequentialTest, SequentialTestSettings};
