//! One timeline: its entries in the order in which they happened, and its steps. The number of entries is bounded, and
//! entries dropped to stay within the bound are counted.
use std::collections::VecDeque;
use std::time::Duration;

use crate::entry::Entry;
use crate::step_history::StepHistory;

/// The maximum number of entries of a timeline.
pub const MAX_ENTRIES: usize = 256;
/// An estimate of the memory of an entry with its texts, in bytes.
const ENTRY_BYTES: usize = 256;

/// The timeline of a node, or of the agent itself.
#[derive(Debug)]
pub struct NodeTimeline {
    entries: VecDeque<Entry>,
    dropped: u64,
    steps: StepHistory,
    last_change: Duration,
}

impl NodeTimeline {
    /// An empty timeline that starts at `now`.
    pub fn new(now: Duration) -> Self {
        NodeTimeline {
            entries: VecDeque::new(),
            dropped: 0,
            steps: StepHistory::new(now),
            last_change: now,
        }
    }

    /// Inserts an entry at its position by the time it happened, even if the agent learned of it late. Beyond
    /// [`MAX_ENTRIES`], the entry that happened first is dropped.
    pub fn insert(&mut self, entry: Entry) {
        self.last_change = self.last_change.max(entry.known);
        let index = self
            .entries
            .partition_point(|other| other.happened <= entry.happened);
        self.entries.insert(index, entry);
        if self.entries.len() > MAX_ENTRIES {
            self.entries.pop_front();
            self.dropped += 1;
        }
    }

    /// The entries that the agent had learned of by `known`, in the order in which they happened.
    pub fn as_of(&self, known: Duration) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |entry| entry.known <= known)
    }

    /// The node's counts and latencies over time.
    pub fn steps(&self) -> &StepHistory {
        &self.steps
    }

    pub(crate) fn steps_mut(&mut self) -> &mut StepHistory {
        &mut self.steps
    }

    /// The number of entries dropped beyond [`MAX_ENTRIES`].
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// The last time at which an entry or a step was added.
    pub fn last_change(&self) -> Duration {
        self.last_change
    }

    pub(crate) fn touch(&mut self, now: Duration) {
        self.last_change = now;
    }

    /// An estimate of the memory of the timeline, in bytes.
    pub fn memory_bytes(&self) -> usize {
        self.steps.memory_bytes() + self.entries.len() * ENTRY_BYTES
    }
}
