//! Attempts whose agents wait for their end, in the order in which they end.
use std::cmp::{Ordering, Reverse};
use std::collections::BinaryHeap;
use std::time::Duration;

use lilacgate_decision::{AgentId, Outcome};

use crate::endpoint::Power;
use crate::network::{AttemptId, ONE_WAY, ServiceIndex};
use crate::settings;

/// An attempt that has not ended yet.
#[derive(Debug)]
pub(super) struct OpenAttempt {
    /// When its agent receives the end.
    pub(super) at: Duration,
    /// The agent that waits.
    pub(super) agent: AgentId,
    /// The service of the attempt.
    pub(super) service: ServiceIndex,
    /// The attempt.
    pub(super) attempt: AttemptId,
    /// How it will end.
    pub(super) outcome: Outcome,
    /// Index of the endpoint, `None` if the endpoint is not known.
    pub(super) endpoint: Option<u32>,
}

impl OpenAttempt {
    fn key(&self) -> (Duration, AgentId, ServiceIndex, AttemptId) {
        (self.at, self.agent, self.service, self.attempt)
    }

    /// Ends early, or times out, because its endpoint stops.
    fn lose_endpoint(&mut self, power: Power, now: Duration) {
        match power {
            Power::Refusing if self.at > now + ONE_WAY => {
                self.outcome = Outcome::ConnectionLost;
                self.at = now + ONE_WAY;
            }
            Power::Silent if self.at > now => {
                self.outcome = Outcome::TimedOut;
                self.at = self.at.max(now + settings::give_up());
            }
            Power::Up | Power::Refusing | Power::Silent => {}
        }
    }
}

impl PartialEq for OpenAttempt {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for OpenAttempt {}

impl PartialOrd for OpenAttempt {
    fn partial_cmp(&self, other: &Self) -> Option<Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for OpenAttempt {
    fn cmp(&self, other: &Self) -> Ordering {
        self.key().cmp(&other.key())
    }
}

/// All attempts that have not ended.
#[derive(Debug, Default)]
pub(super) struct OpenAttempts(BinaryHeap<Reverse<OpenAttempt>>);

impl OpenAttempts {
    /// Adds an attempt.
    pub(super) fn push(&mut self, attempt: OpenAttempt) {
        self.0.push(Reverse(attempt));
    }

    /// Removes and returns the first attempt that ends before the given time.
    pub(super) fn pop_before(&mut self, end: Duration) -> Option<OpenAttempt> {
        let Reverse(first) = self.0.peek()?;
        if first.at >= end {
            return None;
        }
        self.0.pop().map(|Reverse(attempt)| attempt)
    }

    /// Changes the ends of all attempts at an endpoint that stops.
    pub(super) fn lose_endpoint(&mut self, endpoint: u32, power: Power, now: Duration) {
        let mut attempts = std::mem::take(&mut self.0).into_vec();
        for Reverse(attempt) in &mut attempts {
            if attempt.endpoint == Some(endpoint) {
                attempt.lose_endpoint(power, now);
            }
        }
        self.0 = attempts.into();
    }

    /// Drops the attempts of agents that stop.
    pub(super) fn lose_agents(&mut self, agents: &[AgentId]) {
        self.0
            .retain(|Reverse(attempt)| !agents.contains(&attempt.agent));
    }
}
