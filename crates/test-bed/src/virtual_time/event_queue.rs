//! The queue of a simulation's events, in the order of their times.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use lilacgate_decision::{Outcome, RequestClass, RequestId};

/// What happens at a time.
#[derive(Clone, Copy, Debug)]
pub(super) enum Event {
    /// A client sends a request.
    Request,
    /// An attempt ends.
    AttemptEnded(Attempt),
    /// The book advances.
    Tick,
    /// The endpoint list shows a replaced node.
    Listed {
        node: u32,
        build: u16,
        started: Option<Duration>,
    },
}

/// An attempt that was sent.
#[derive(Clone, Copy, Debug)]
pub(super) struct Attempt {
    pub(super) id: RequestId,
    pub(super) node: u32,
    pub(super) class: RequestClass,
    pub(super) sent: Duration,
    /// How it ends unless the node is replaced meanwhile.
    pub(super) outcome: Outcome,
    /// When the node's process had started.
    pub(super) node_started: Option<Duration>,
}

#[derive(Debug)]
struct Entry {
    at: Duration,
    /// Events of the same time stay in the order in which they were added.
    serial: u64,
    event: Event,
}

impl PartialEq for Entry {
    fn eq(&self, other: &Self) -> bool {
        self.cmp(other) == Ordering::Equal
    }
}

impl Eq for Entry {}

impl PartialOrd for Entry {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Entry {
    fn cmp(&self, other: &Self) -> Ordering {
        (self.at, self.serial).cmp(&(other.at, other.serial))
    }
}

/// Events that have not happened yet.
#[derive(Debug, Default)]
pub(super) struct EventQueue {
    entries: BinaryHeap<Reverse<Entry>>,
    next_serial: u64,
}

impl EventQueue {
    pub(super) fn push(&mut self, at: Duration, event: Event) {
        let serial = self.next_serial;
        self.next_serial += 1;
        self.entries.push(Reverse(Entry { at, serial, event }));
    }

    /// Takes the earliest event.
    pub(super) fn pop(&mut self) -> Option<(Duration, Event)> {
        let Reverse(entry) = self.entries.pop()?;
        Some((entry.at, entry.event))
    }
}
