//! Exact counts of the requests and attempts in the sliding window of the exposure limit.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::model::{Build, IdempotencyKey, RequestClass};

/// The requests that share a window: those of one class, or, as class 0, those of all classes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ExposureClass(pub(crate) RequestClass);

/// The times at which requests arrived and attempts were sent to canaries, oldest first.
#[derive(Debug, Default)]
pub(crate) struct ExposureWindows {
    /// When the agent's first round began; `None` before it.
    pub(crate) started_at: Option<Duration>,
    received: BTreeMap<ExposureClass, VecDeque<Duration>>,
    sent: BTreeMap<(ExposureClass, Build), VecDeque<Duration>>,
    /// Idempotency keys of the requests that the canary has answered.
    pub(crate) answered_keys: BTreeSet<IdempotencyKey>,
}

impl ExposureWindows {
    /// Counts a request.
    pub(crate) fn on_request(&mut self, class: ExposureClass, now: Duration) {
        self.received.entry(class).or_default().push_back(now);
    }

    /// Counts an attempt that is sent to a canary.
    pub(crate) fn on_sent(&mut self, class: ExposureClass, build: Build, now: Duration) {
        self.sent.entry((class, build)).or_default().push_back(now);
    }

    /// Number of attempts sent to a build since `from`.
    pub(crate) fn sent_since(&self, class: ExposureClass, build: Build, from: Duration) -> usize {
        let times = self.sent.get(&(class, build));
        times.map_or(0, |times| count_since(times, from))
    }

    /// Number of requests of a class received since `from`.
    pub(crate) fn received_since(&self, class: ExposureClass, from: Duration) -> usize {
        let times = self.received.get(&class);
        times.map_or(0, |times| count_since(times, from))
    }

    /// Number of requests of all classes received since `from`.
    pub(crate) fn all_received_since(&self, from: Duration) -> usize {
        let counts = self.received.values();
        counts.map(|times| count_since(times, from)).sum()
    }

    /// Drops requests and attempts from before this time.
    pub(crate) fn trim(&mut self, before: Duration) {
        for times in self.received.values_mut().chain(self.sent.values_mut()) {
            while times.front().is_some_and(|time| *time < before) {
                times.pop_front();
            }
        }
        self.sent.retain(|_, times| !times.is_empty());
    }
}

/// How many of these sorted times are at or after `from`.
fn count_since(times: &VecDeque<Duration>, from: Duration) -> usize {
    times.len() - times.partition_point(|time| *time < from)
}
