//! A bounded log of permission changes, which the agent takes to report them.
use std::collections::VecDeque;
use std::time::Duration;

use lilacgate_decision::{Build, Stage};

use crate::reason::{BlockedReason, ClosedReason};

/// The number of events that are kept until they are taken. Older events are dropped and only counted.
const MAX_EVENTS: usize = 256;

/// A change of a build's permissions.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Event {
    /// When the change happened, as time since 1970.
    pub at: Duration,
    /// The build whose permissions changed.
    pub build: Build,
    /// The new permission and whom it affects.
    pub change: Change,
}

/// The kind of a permission change.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Change {
    /// The build opened.
    Opened {
        /// The number of pairs of a zone and a tenant that it opened to.
        pairs: usize,
    },
    /// The build closed.
    Closed {
        /// The number of pairs of a zone and a tenant that it closed to.
        pairs: usize,
        /// The reason that closed the build to these pairs.
        reason: ClosedReason,
    },
    /// The next stage may be voted for.
    AdvancePermitted {
        /// The stage that the build is in.
        stage: Stage,
    },
    /// The next stage may not be voted for.
    Held {
        /// The reason why the build may not advance.
        reason: BlockedReason,
    },
}

/// The events since the last call that took them.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct TakenEvents {
    /// The events, in the order in which they happened.
    pub events: Vec<Event>,
    /// The number of earlier events that were dropped.
    pub dropped: u64,
}

/// The events that have not been taken yet.
#[derive(Clone, Debug, Default)]
pub(crate) struct EventLog {
    events: VecDeque<Event>,
    dropped: u64,
}

impl EventLog {
    /// Adds an event. If the log is full, the oldest event is dropped.
    pub(crate) fn record(&mut self, event: Event) {
        if self.events.len() >= MAX_EVENTS {
            self.events.pop_front();
            self.dropped += 1;
        }
        self.events.push_back(event);
    }

    /// Removes all events from the log and returns them.
    pub(crate) fn take(&mut self) -> TakenEvents {
        TakenEvents {
            events: self.events.drain(..).collect(),
            dropped: std::mem::take(&mut self.dropped),
        }
    }
}
