//! Owns one line: its entries in the order in which they happened, each with when it came to be known, and its steps.
//! Entries have a bound; what is dropped for it is counted.
use std::collections::VecDeque;
use std::time::Duration;

use crate::entry::Entry;
use crate::steps::Steps;

/// The most entries of a line.
pub const ENTRIES: usize = 256;
/// What an entry takes, its texts included, in octets.
const ENTRY: usize = 256;

pub struct Line {
    entries: VecDeque<Entry>,
    pub dropped: u64,
    pub steps: Steps,
    /// When anything was last noted here.
    pub touched: Duration,
}

impl Line {
    pub fn new(now: Duration) -> Self {
        Line {
            entries: VecDeque::new(),
            dropped: 0,
            steps: Steps::new(now),
            touched: now,
        }
    }

    /// Puts an entry to its place by when it happened; late news go between what is there.
    pub fn put(&mut self, entry: Entry) {
        self.touched = self.touched.max(entry.known);
        let at = self
            .entries
            .partition_point(|other| other.happened <= entry.happened);
        self.entries.insert(at, entry);
        if self.entries.len() > ENTRIES {
            self.entries.pop_front();
            self.dropped += 1;
        }
    }

    /// What the agent knew at an instant, in the order in which it happened.
    pub fn as_of(&self, known: Duration) -> impl Iterator<Item = &Entry> {
        self.entries
            .iter()
            .filter(move |entry| entry.known <= known)
    }

    pub fn octets(&self) -> usize {
        self.steps.octets() + self.entries.len() * ENTRY
    }
}
