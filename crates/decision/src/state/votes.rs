//! The last vote that was cast, and what delays the next one.
use std::time::Duration;

use crate::model::{Build, Outcome, Stage, Vote};

/// A vote on a stage of a build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct StageVote {
    pub(crate) build: Build,
    pub(crate) stage: Stage,
    pub(crate) vote: Vote,
}

/// A vote that was cast.
#[derive(Debug)]
pub(crate) struct CastVote {
    pub(crate) stage_vote: StageVote,
    pub(crate) cast_at: Duration,
    /// How the call that casts it ended; `None` while the call is outstanding.
    pub(crate) answer: Option<Outcome>,
}

/// State that the votes on the newest build depend on, beside the sequential tests.
#[derive(Debug, Default)]
pub(crate) struct VotingState {
    pub(crate) last_vote: Option<CastVote>,
    /// Earliest time of the next warning to the peers that the build is in doubt.
    pub(crate) next_warning_at: Duration,
    /// Until when the last warning, a peer's or the agent's own, delays a vote to advance.
    pub(crate) warned_until: Duration,
    /// Random draw from 0 to 1: an agent that is no aggregator delays its vote to advance by this, so that such
    /// agents do not all vote at once if the aggregators did not.
    pub(crate) backup_vote_draw: f64,
    /// When the lost share of capacity was last within its limit.
    pub(crate) loss_last_tolerable_at: Duration,
}
