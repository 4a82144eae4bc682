//! The checker of event logs: it looks for broken rules, and knows nothing of the agent. What an agent is notified of
//! counts from the time at which the stand-in had written it; each rule has a grace period.
mod checker;
mod exposure;

use std::time::Duration;

use self::checker::Checker;
use crate::event_log::LoggedEvent;

/// The limits that a run is checked against.
#[derive(Clone, Copy, Debug)]
pub struct CheckLimits {
    /// The time after a notification by which no new attempt may break the new rule.
    pub grace: Duration,
    /// The window over which a canary's share of requests is counted.
    pub exposure_window: Duration,
    /// Attempts in the window that a canary may get whatever its cap is.
    pub free_attempts: f64,
    /// The number of first stages that only idempotent requests may reach.
    pub guarded_stages: u8,
    /// How much later than its deadline an answer may arrive.
    pub answer_slack: Duration,
}

impl Default for CheckLimits {
    fn default() -> Self {
        CheckLimits {
            grace: Duration::from_millis(250),
            exposure_window: Duration::from_secs(4),
            free_attempts: 3.0,
            guarded_stages: 1,
            answer_slack: Duration::from_millis(150),
        }
    }
}

/// What the checker found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct CheckReport {
    /// Requests that clients sent.
    pub requests: usize,
    /// Requests that were served in time.
    pub succeeded: usize,
    /// Requests that were rejected in time.
    pub rejected: usize,
    /// Requests that were answered as failed in time.
    pub failed: usize,
    /// Attempts at a forbidden build after the grace period.
    pub forbidden_attempts: usize,
    /// The time between a notification and the latest attempt that it forbids.
    pub latest_forbidden_attempt: Duration,
    /// Requests without an answer in time, but for those that a killed agent held.
    pub lost: usize,
    /// Non-idempotent requests that ran twice, and requests with overlapping attempts.
    pub duplicated: usize,
    /// Non-idempotent requests that ran twice, which [`Self::duplicated`] counts too.
    pub ran_twice: usize,
    /// Requests that were rejected though an allowed endpoint was ready.
    pub wrongly_rejected: usize,
    /// Other broken rules, in words.
    pub violations: Vec<String>,
}

impl CheckReport {
    /// Whether no rule was broken.
    pub fn is_clean(&self) -> bool {
        let counted = self.forbidden_attempts + self.lost + self.duplicated + self.wrongly_rejected;
        counted == 0 && self.violations.is_empty()
    }

    /// Adds the report of another run.
    pub fn merge(&mut self, other: &CheckReport) {
        self.requests += other.requests;
        self.succeeded += other.succeeded;
        self.rejected += other.rejected;
        self.failed += other.failed;
        self.forbidden_attempts += other.forbidden_attempts;
        self.latest_forbidden_attempt = self
            .latest_forbidden_attempt
            .max(other.latest_forbidden_attempt);
        self.lost += other.lost;
        self.duplicated += other.duplicated;
        self.ran_twice += other.ran_twice;
        self.wrongly_rejected += other.wrongly_rejected;
        self.violations.extend(other.violations.iter().cloned());
    }
}

/// Checks the log of a run, whose events stand in the order of their times.
pub fn check(events: &[LoggedEvent], limits: &CheckLimits) -> CheckReport {
    let mut checker = Checker::new(limits);
    for event in events {
        checker.on_event(event);
    }
    checker.finish()
}
