//! A bounded log of the changes of permissions, for the agent to report.
use std::collections::VecDeque;
use std::time::Duration;

use lilacgate_decision::{Build, Stage};

use crate::reason::{BlockedReason, ClosedReason};

/// The most events that are kept until they are taken. Older ones are only counted.
const MAX_EVENTS: usize = 256;

/// A change of a build's permissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// When it happened, since 1970.
    pub at: Duration,
    /// The build.
    pub build: Build,
    /// What changed.
    pub change: Change,
}

/// What changed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The build opened.
    Opened {
        /// The number of pairs of a zone and a tenant that got it.
        pairs: usize,
    },
    /// The build closed.
    Closed {
        /// The number of pairs that lost it.
        pairs: usize,
        /// Why.
        reason: ClosedReason,
    },
    /// The next stage may be voted for.
    AdvancePermitted {
        /// The stage that the build is in.
        stage: Stage,
    },
    /// The next stage may not be voted for.
    Held {
        /// Why.
        reason: BlockedReason,
    },
}

/// The events since they were last taken.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TakenEvents {
    /// The events, in the order in which they happened.
    pub events: Vec<Event>,
    /// The number of earlier events that were dropped.
    pub dropped: u64,
}

/// The events that were not taken yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventLog {
    events: VecDeque<Event>,
    dropped: u64,
}

impl EventLog {
    /// Adds an event, in place of the oldest if the log is full.
    pub(crate) fn record(&mut self, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Empties the log.
    pub(crate) fn take(&mut self) -> TakenEvents {
        TakenEvents {
            events: self.events.drain(..).collect(),
            dropped: std::mem::take(&mut self.dropped),
        }
    }
}
