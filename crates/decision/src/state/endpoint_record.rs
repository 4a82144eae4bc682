//! What the agent has observed of one endpoint since the endpoint's process last started.
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use super::decaying_sum::DecayingRatio;
use super::half_lives::{LONG_RUN_HALF_LIFE, RECENT_HALF_LIFE};
use crate::model::{AttemptNumber, Build, Endpoint, EndpointId, Outcome, RequestClass, RequestId};

/// Identifies an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct AttemptId {
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
}

/// An outstanding attempt, as the record of its endpoint keeps it.
#[derive(Debug)]
pub(crate) struct OutstandingAttempt {
    pub(crate) sent_at: Duration,
    /// Estimated work, in seconds.
    pub(crate) work: f64,
    pub(crate) class: RequestClass,
    pub(crate) build: Build,
    /// The endpoint was warming up when it was sent, so slowness is no evidence against the build.
    pub(crate) was_warming_up: bool,
    /// The endpoint was ejected when it was sent, so no outcome is evidence against the build.
    pub(crate) was_ejected: bool,
}

/// Health and latency ratios of an endpoint. A latency ratio is the time taken divided by the estimated work.
#[derive(Debug, Default)]
pub(crate) struct EndpointHealth {
    /// Attempts that did not succeed, over all that ended, without cancelled and unsent ones.
    pub(crate) failure_ratio: DecayingRatio,
    /// Time taken over estimated work, of attempts served recently.
    pub(crate) recent_latency_ratio: DecayingRatio,
    /// Time taken over estimated work, of attempts served in the long run.
    pub(crate) long_run_latency_ratio: DecayingRatio,
    /// When it last showed by an outcome that its process runs.
    pub(crate) last_response: Duration,
    /// The latest send time of all attempts that it has answered.
    pub(crate) latest_answered_sent_at: Duration,
    /// When an attempt last failed to open a connection to it.
    pub(crate) last_connect_failure: Option<Duration>,
    /// Length of the current ejection; zero if the endpoint is not ejected.
    pub(crate) ejection_time: Duration,
    /// While ejected, it gets not even a probe request until then.
    pub(crate) ejected_until: Duration,
}

impl EndpointHealth {
    /// Records how an attempt that was sent at `sent_at` ended.
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
            self.failure_ratio.add(now, RECENT_HALF_LIFE, failed, 1.0);
        }
    }

    /// Records how long a served attempt took, and its estimated work in seconds.
    pub(crate) fn on_served(&mut self, now: Duration, took: Duration, work: f64) {
        let took = took.as_secs_f64();
        self.recent_latency_ratio
            .add(now, RECENT_HALF_LIFE, took, work);
        self.long_run_latency_ratio
            .add(now, LONG_RUN_HALF_LIFE, took, work);
    }

    /// Recent share of attempts that did not succeed.
    pub(crate) fn failure_share(&self, now: Duration) -> f64 {
        self.failure_ratio.share(now, RECENT_HALF_LIFE, 1.0)
    }

    pub(crate) fn is_ejected(&self) -> bool {
        !self.ejection_time.is_zero()
    }
}

/// Estimated work of an attempt, and when it was sent.
#[derive(Clone, Copy, Debug)]
struct SentWork {
    at: Duration,
    /// In seconds.
    work: f64,
}

/// An endpoint that the agent sends requests to, with what it has observed of it.
#[derive(Debug)]
pub(crate) struct EndpointRecord {
    pub(crate) endpoint: Endpoint,
    pub(crate) health: EndpointHealth,
    pub(crate) outstanding: BTreeMap<AttemptId, OutstandingAttempt>,
    /// Work sent within the overload window, which limits what is sent to an endpoint that is warming up.
    sent_work: VecDeque<SentWork>,
    /// Expected share of the agent's requests that goes to it, 0 to 1.
    pub(crate) traffic_share: f64,
    /// Whether a connection to it may be open.
    pub(crate) may_be_connected: bool,
    /// Rank in the subset, from 0; `None` outside the subset. Without a subset all endpoints have rank 0.
    pub(crate) subset_rank: Option<usize>,
}

impl EndpointRecord {
    pub(crate) fn new(endpoint: Endpoint, subset_rank: Option<usize>) -> Self {
        EndpointRecord {
            endpoint,
            health: EndpointHealth::default(),
            outstanding: BTreeMap::new(),
            sent_work: VecDeque::new(),
            traffic_share: 0.0,
            may_be_connected: false,
            subset_rank,
        }
    }

    /// Replaces the list entry, and resets the observations if another process runs behind the id.
    pub(crate) fn update(&mut self, endpoint: Endpoint) {
        let is_same_process =
            self.endpoint.started == endpoint.started && self.endpoint.build == endpoint.build;
        if !is_same_process {
            // Outcomes and outstanding attempts of the earlier process say nothing about the new one.
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

    /// Records an attempt that is sent to the endpoint, and drops sent work older than the window.
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

    /// Estimated work sent to the endpoint within the window, in seconds.
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

    /// When the oldest outstanding attempt was sent, if there are several and the endpoint has not responded since.
    pub(crate) fn unanswered_since(&self) -> Option<Duration> {
        let oldest = self
            .outstanding
            .values()
            .map(|attempt| attempt.sent_at)
            .min();
        oldest.filter(|&oldest| self.outstanding.len() > 1 && self.health.last_response < oldest)
    }

    pub(crate) fn listed_weight(&self) -> f64 {
        f64::from(self.endpoint.weight)
    }
}
