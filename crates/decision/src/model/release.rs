//! Releases: where a build stands, and how agents vote on it.
use std::time::Duration;

use super::ids::{Build, Stage};

/// Where a build stands in its rollout.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ReleasePhase {
    /// It runs on a part of the endpoints, stage by stage, and is analysed.
    Canary,
    /// It is being replaced by the earlier build.
    RollingBack,
    /// It runs everywhere.
    Released,
    /// It is gone.
    Withdrawn,
}

/// The rule by which the agents' votes advance a release to its next stage.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AdvanceRule {
    /// One agent's vote is enough.
    Single,
    /// More than half of the agents have to vote for it.
    Majority,
    /// The release advances by the clock unless a vote holds it.
    Timed,
}

/// What an agent asks of a release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Vote {
    /// Takes the agent's earlier vote back.
    Retract,
    /// The next stage may begin.
    Advance,
    /// The stage is to last longer.
    Hold,
    /// The earlier build is to return.
    RollBack,
}

/// How long votes are valid, and how long casting one may take.
#[derive(Clone, Copy, Debug)]
pub struct VoteTiming {
    /// A vote that is not repeated within this time lapses.
    pub validity: Duration,
    /// The answer to the call that casts a vote may take this long.
    pub call_timeout: Duration,
}

/// Where the newest build stands, as the release control plane said last.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReleaseStatus {
    pub(crate) build: Build,
    pub(crate) stage: Stage,
    pub(crate) phase: ReleasePhase,
    /// Highest share of requests that the build may get, 0 to 1.
    pub(crate) cap: f64,
    /// When this stage began.
    pub(crate) since: Duration,
}
