//! The events of one agent that are still to come, in order of time, service and arrival.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use crate::network::{Incoming, ServiceIndex};

/// The time and module of events that one round handles together.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct Moment {
    /// Virtual time.
    pub(super) at: Duration,
    /// The service whose module the events are for.
    pub(super) service: ServiceIndex,
}

/// An event in the queue.
#[derive(Debug)]
struct Event {
    moment: Moment,
    /// Keeps events of the same moment in the order of their arrival.
    sequence: u64,
    incoming: Incoming,
}

impl Event {
    fn key(&self) -> (Moment, u64) {
        (self.moment, self.sequence)
    }
}

impl PartialEq for Event {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Event {}

impl PartialOrd for Event {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Event {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// The events that are still to come.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    events: BinaryHeap<Reverse<Event>>,
    sequence: u64,
}

impl EventQueue {
    /// Adds an event.
    pub(super) fn push(&mut self, moment: Moment, incoming: Incoming) {
        self.sequence += 1;
        self.events.push(Reverse(Event {
            moment,
            sequence: self.sequence,
            incoming,
        }));
    }

    /// The moment of the first event, if it is before the given time.
    pub(super) fn first_before(&self, until: Duration) -> Option<Moment> {
        let Reverse(first) = self.events.peek()?;
        (first.moment.at < until).then_some(first.moment)
    }

    /// Removes and returns the first event, if it is of the given moment.
    pub(super) fn pop_at(&mut self, moment: Moment) -> Option<Incoming> {
        let Reverse(first) = self.events.peek()?;
        if first.moment != moment {
            return None;
        }
        self.events.pop().map(|Reverse(event)| event.incoming)
    }

    /// Removes all events. The sequence goes on.
    pub(super) fn clear(&mut self) {
        self.events.clear();
    }
}
