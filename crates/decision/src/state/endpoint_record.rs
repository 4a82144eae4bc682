//! What the agent has observed of one endpoint since its process last started.
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::decaying_sum::DecayingRatio;
use super::half_lives::{BASELINE_HALF_LIFE, RECENT_HALF_LIFE};
use crate::model::{AttemptNumber, Build, Endpoint, EndpointId, Outcome, RequestClass, RequestId};

/// An attempt of a request.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
}

/// An attempt that is outstanding, as its endpoint's record has it.
#[derive(Debug)]
pub(crate) struct OutstandingAttempt {
    pub(crate) sent_at: Duration,
    /// Estimated work, in seconds.
    pub(crate) work: f64,
    pub(crate) class: RequestClass,
    pub(crate) build: Build,
    /// The endpoint was warming up: slowness is no evidence against its build.
    pub(crate) was_warming_up: bool,
    /// The endpoint was ejected: nothing is evidence against its build.
    pub(crate) was_ejected: bool,
}

/// Health and pace of an endpoint.
#[derive(Debug, Default)]
pub(crate) struct EndpointHealth {
    /// Failures, and outcomes of any kind.
    pub(crate) failures: DecayingRatio,
    /// Time taken and estimated work of served attempts, of late.
    pub(crate) recent_pace: DecayingRatio,
    /// The same in the long run.
    pub(crate) baseline_pace: DecayingRatio,
    /// Its last sign of life.
    pub(crate) last_response: Duration,
    /// When the latest of the attempts that it has answered was sent.
    pub(crate) latest_answered_sent_at: Duration,
    /// When an attempt last found no connection there.
    pub(crate) last_connect_failure: Option<Duration>,
    /// How long the present ejection lasts; zero if it is not ejected.
    pub(crate) ejection_time: Duration,
    /// Until then it is not even tried.
    pub(crate) ejected_until: Duration,
}

impl EndpointHealth {
    /// Records how an attempt ended that was sent then.
    pub(crate) fn on_attempt_ended(&mut self, now: Duration, outcome: Outcome, sent_at: Duration) {
        if matches!(
            outcome,
            Outcome::Succeeded
                | Outcome::Rejected
                | Outcome::Failed
                | Outcome::ConnectionLost
                | Outcome::Malformed
        ) {
            self.last_response = now;
            self.latest_answered_sent_at = self.latest_answered_sent_at.max(sent_at);
        }
        if outcome == Outcome::ConnectFailed {
            self.last_connect_failure = Some(now);
        }
        if !matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            let failed = f64::from(u8::from(outcome != Outcome::Succeeded));
            self.failures.add(now, RECENT_HALF_LIFE, failed, 1.0);
        }
    }

    /// Records the time that a served attempt took, and its work in seconds.
    pub(crate) fn on_served(&mut self, now: Duration, took: Duration, work: f64) {
        let took = took.as_secs_f64();
        self.recent_pace.add(now, RECENT_HALF_LIFE, took, work);
        self.baseline_pace.add(now, BASELINE_HALF_LIFE, took, work);
    }

    /// Share of attempts that failed, of late.
    pub(crate) fn failure_share(&self, now: Duration) -> f64 {
        self.failures.share(now, RECENT_HALF_LIFE, 1.0)
    }

    pub(crate) fn is_ejected(&self) -> bool {
        !self.ejection_time.is_zero()
    }
}

/// Work sent to an endpoint at one time.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: Duration,
    work: f64,
}

/// An endpoint that the agent works with.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) endpoint: Endpoint,
    pub(crate) health: EndpointHealth,
    pub(crate) outstanding: BTreeMap<AttemptId, OutstandingAttempt>,
    /// Work sent of late, for the rule on endpoints that are warming up.
    sent_work: VecDeque<SentWork>,
    /// What part of the agent's requests would go there.
    pub(crate) traffic_share: f64,
    /// Whether a connection there may be open.
    pub(crate) may_be_connected: bool,
    /// Its place in the subset, if it is a member; all have the first place where there is no subset.
    pub(crate) rank: Option<usize>,
}

impl EndpointRecord {
    pub(crate) fn new(endpoint: Endpoint, rank: Option<usize>) -> Self {
        EndpointRecord {
            endpoint,
            health: EndpointHealth::default(),
            outstanding: BTreeMap::new(),
            sent_work: VecDeque::new(),
            traffic_share: 0.0,
            may_be_connected: false,
            rank,
        }
    }

    /// Takes a new entry of the list.
    pub(crate) fn update(&mut self, endpoint: Endpoint) {
        let is_same_process =
            self.endpoint.started == endpoint.started && self.endpoint.build == endpoint.build;
        if !is_same_process {
            // What the earlier process had or did is not the new one's.
            self.health = EndpointHealth::default();
            self.outstanding = BTreeMap::new();
        }
        self.endpoint = endpoint;
    }

    pub(crate) fn id(&self) -> EndpointId {
        self.endpoint.id
    }

    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.endpoint.age(now)
    }

    /// Records an attempt that is sent there, and forgets work older than the window.
    pub(crate) fn on_sent(
        &mut self,
        now: Duration,
        window: Duration,
        id: AttemptId,
        attempt: OutstandingAttempt,
    ) {
        self.sent_work.retain(|sent| sent.at + window >= now);
        self.sent_work.push_back(SentWork {
            at: now,
            work: attempt.work,
        });
        self.may_be_connected = true;
        self.outstanding.insert(id, attempt);
    }

    /// Work sent there within the window, in seconds.
    pub(crate) fn sent_work(&self, now: Duration, window: Duration) -> f64 {
        self.sent_work
            .iter()
            .filter(|sent| sent.at + window >= now)
            .map(|sent| sent.work)
            .sum()
    }

    pub(crate) fn is_ejected(&self) -> bool {
        self.health.is_ejected()
    }

    /// When the oldest of several outstanding attempts was sent, if there was no response since.
    pub(crate) fn unanswered_since(&self) -> Option<Duration> {
        let oldest = self
            .outstanding
            .values()
            .map(|attempt| attempt.sent_at)
            .min();
        oldest.filter(|&oldest| self.outstanding.len() > 1 && self.health.last_response < oldest)
    }

    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.endpoint.weight)
    }
}
