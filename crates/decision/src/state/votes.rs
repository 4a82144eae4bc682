//! Votes that were cast, and what delays the next one.
use std::time::Duration;

use crate::model::{Build, Outcome, Stage, Vote};

/// A vote, and the stage of a build that it is on.
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
    /// How the call that cast it ended; `None` until then.
    pub(crate) answer: Option<Outcome>,
}

/// What the votes on the newest build depend on besides the tests.
#[derive(Debug, Default)]
pub(crate) struct VotingState {
    pub(crate) last_vote: Option<CastVote>,
    /// When peers may be warned again.
    pub(crate) next_warning_at: Duration,
    /// Until when a peer's warning, or one's own, counts.
    pub(crate) warned_until: Duration,
    /// Random draw from 0 to 1: when this agent votes among those that stand in for the aggregators.
    pub(crate) backup_vote_draw: f64,
    /// When the share of lost capacity was last tolerable.
    pub(crate) last_tolerable_loss: Duration,
}
