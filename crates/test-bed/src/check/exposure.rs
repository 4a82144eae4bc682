//! The rules on how much of the traffic a canary may get.
use std::collections::BTreeMap;
use std::time::Duration;

use super::CheckLimits;

/// Attempts are counted when they arrive, requests when they are sent, so that their windows differ a little: a factor
/// of the cap, and a number of attempts, that break no rule.
const CAP_TOLERANCE: f64 = 1.04;
const ATTEMPT_TOLERANCE: f64 = 2.0;

/// Where the newest build of the agent's service stood from a time on.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReleaseUpdate {
    pub(super) at: Duration,
    pub(super) build: u16,
    pub(super) stage: u8,
    pub(super) unreleased: bool,
    pub(super) cap: f64,
}

/// Counts requests, and attempts at each unreleased build.
#[derive(Debug, Default)]
pub(super) struct Exposure {
    updates: Vec<ReleaseUpdate>,
    request_times: Vec<Duration>,
    attempt_times: BTreeMap<u16, Vec<Duration>>,
}

impl Exposure {
    pub(super) fn on_update(&mut self, update: ReleaseUpdate) {
        self.updates.push(update);
    }

    pub(super) fn on_request(&mut self, at: Duration) {
        self.request_times.push(at);
    }

    pub(super) fn last_update(&self) -> Option<ReleaseUpdate> {
        self.updates.last().copied()
    }

    /// Counts an attempt at a build that is not released, and says if it is one too many.
    pub(super) fn on_attempt(
        &mut self,
        at: Duration,
        build: u16,
        limits: &CheckLimits,
    ) -> Option<String> {
        let window_start = at.saturating_sub(limits.exposure_window);
        let cap = self.highest_cap(build, window_start, limits.grace);
        let requests = count_after(&self.request_times, window_start);
        let attempt_times = self.attempt_times.entry(build).or_default();
        attempt_times.push(at);
        let attempts = count_after(attempt_times, window_start);
        let allowed = limits.free_attempts + ATTEMPT_TOLERANCE + cap * CAP_TOLERANCE * requests;
        (attempts > allowed).then(|| {
            format!("build {build} got {attempts} of {requests} requests at a cap of {cap}")
        })
    }

    /// The highest cap of a build that was in force at some time after `start`. A cap stays in force for the grace
    /// period after the update that replaces it.
    fn highest_cap(&self, build: u16, start: Duration, grace: Duration) -> f64 {
        let replaced_before = |place: usize| {
            self.updates
                .get(place + 1)
                .is_some_and(|next| next.at + grace <= start)
        };
        self.updates
            .iter()
            .enumerate()
            .filter(|(place, update)| update.build == build && !replaced_before(*place))
            .map(|(_, update)| update.cap)
            .fold(0.0, f64::max)
    }
}

/// How many of these ascending times are after `start`.
fn count_after(times: &[Duration], start: Duration) -> f64 {
    times.iter().rev().take_while(|time| **time > start).count() as f64
}
