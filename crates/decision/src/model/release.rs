//! Releases: the phase and stage of a build, and the agents' votes on it.
use std::time::Duration;

use super::ids::{Build, Stage};

/// The phase of a build's rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleasePhase {
    /// It runs on a share of the endpoints that grows with each stage, and is analysed.
    Canary,
    /// The earlier build replaces it again.
    RollingBack,
    /// Its rollout is complete.
    Released,
    /// It was rolled back from all endpoints.
    Withdrawn,
}

/// The rule by which the agents' votes advance a release to its next stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdvanceRule {
    /// The vote of a single agent advances it.
    Single,
    /// The votes of more than half of the agents advance it.
    Majority,
    /// It advances after a fixed time unless a vote holds it.
    Timed,
}

/// An agent's vote on a stage of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Retracts the agent's earlier vote.
    Retract,
    /// Asks for the next stage.
    Advance,
    /// Asks that the stage last longer.
    Hold,
    /// Asks that the earlier build replace the new one.
    RollBack,
}

/// How long a vote is valid, and how long the call that casts it may take.
#[derive(Clone, Copy, Debug)]
pub struct VoteTiming {
    /// A vote that is not repeated within this time expires.
    pub validity: Duration,
    /// Time within which the call that casts a vote has to be answered.
    pub call_timeout: Duration,
}

/// The status of the newest build, as last reported by the release control plane.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReleaseStatus {
    pub(crate) build: Build,
    pub(crate) stage: Stage,
    pub(crate) phase: ReleasePhase,
    /// Highest share of requests that the build may get, 0 to 1.
    pub(crate) cap: f64,
    /// When the stage began.
    pub(crate) since: Duration,
}
