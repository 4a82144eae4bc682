//! Decides whether an attempt goes on that has been written to its connection, but that its endpoint has not got yet.
//!
//! What the operating system has taken is not what the endpoint has got: it is delivered whenever the endpoint, or the
//! network to it, takes bytes again. By then the deduplication window may be over, the client may have left, or the time
//! left that the request tells may be wrong. An attempt that is given up here is ended by an abortive close of its
//! connection, which discards what has not been delivered.
use std::time::Duration;

use crate::model::Outcome;
use crate::policy::write_timing::{LATE_WRITE_MARGIN, MAX_WRITE_TIME};

/// How long an endpoint's operating system may take to acknowledge bytes that it has got. Linux delays an acknowledgement by
/// 40 ms.
const ACKNOWLEDGEMENT_TIME: Duration = Duration::from_millis(45);

/// How far the bytes of an attempt have got.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryProgress {
    /// The last byte has not left this machine, so that the endpoint cannot have run the request.
    Unsent,
    /// All bytes have been sent, but not all acknowledged, or nothing is known: the endpoint may have got the request.
    InTransit,
    /// The endpoint's machine has acknowledged all bytes.
    Delivered,
}

/// When an attempt has to be delivered. All instants are those of the host's clock.
#[derive(Clone, Copy, Debug)]
pub struct DeliveryLimits {
    /// When the time left to the client was determined, which the request tells.
    pub encoded_at: Duration,
    /// When the operating system had taken the last byte.
    pub written_at: Duration,
    /// The end of the deduplication window, for a keyed request that may have run; `None` for any other request.
    pub send_by: Option<Duration>,
    /// When the request had its final answer or its client left; `None` while it needs an answer.
    pub request_over_at: Option<Duration>,
}

/// What is to be done about an attempt that has been written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DeliveryStep {
    /// Await its answer. Only the end of its request can change that.
    Await,
    /// Look at its progress at this instant.
    CheckAt(Duration),
    /// Close its connection abortively. It ends with this outcome.
    GiveUp(Outcome),
}

/// A limit, and the outcome of an attempt that is not delivered by then.
#[derive(Clone, Copy)]
struct Limit {
    at: Duration,
    outcome: Outcome,
}

impl DeliveryLimits {
    /// When the progress has to be looked at first, unless the request is over before.
    pub fn first_check(&self) -> DeliveryStep {
        let unsent = self.limit(DeliveryProgress::Unsent);
        unsent.map_or(DeliveryStep::Await, |limit| DeliveryStep::CheckAt(limit.at))
    }

    /// Decides by the progress of the attempt at `now`.
    pub fn step(&self, now: Duration, progress: DeliveryProgress) -> DeliveryStep {
        match self.limit(progress) {
            Some(limit) if limit.at <= now => DeliveryStep::GiveUp(limit.outcome),
            Some(limit) => DeliveryStep::CheckAt(limit.at),
            None => DeliveryStep::Await,
        }
    }

    fn limit(&self, progress: DeliveryProgress) -> Option<Limit> {
        let limits = match progress {
            DeliveryProgress::Unsent => self.unsent_limits(),
            DeliveryProgress::InTransit => self.transit_limits(),
            DeliveryProgress::Delivered => return None,
        };
        limits.into_iter().flatten().min_by_key(|limit| limit.at)
    }

    /// The request cannot have run. It is the endpoint's failure only if the endpoint takes no bytes for too long.
    fn unsent_limits(&self) -> [Option<Limit>; 3] {
        let not_sent = |at| Limit {
            at,
            outcome: Outcome::NotSent,
        };
        let time_told = Limit {
            at: self.encoded_at + MAX_WRITE_TIME,
            outcome: Outcome::ConnectFailed,
        };
        [
            self.request_over_at.map(not_sent),
            self.window_limit(Duration::ZERO).map(not_sent),
            Some(time_told),
        ]
    }

    /// The request may have run. The endpoint's machine is given the time to acknowledge it.
    fn transit_limits(&self) -> [Option<Limit>; 3] {
        let cancelled = |over_at| Limit {
            at: over_at + ACKNOWLEDGEMENT_TIME,
            outcome: Outcome::Cancelled,
        };
        let timed_out = |at| Limit {
            at,
            outcome: Outcome::TimedOut,
        };
        [
            self.request_over_at.map(cancelled),
            self.window_limit(ACKNOWLEDGEMENT_TIME).map(timed_out),
            None,
        ]
    }

    /// By when a repeat has to be delivered. The margin before the end of the window covers a hold-up of the host; a repeat
    /// that is written within the margin gets `grace`.
    fn window_limit(&self, grace: Duration) -> Option<Duration> {
        let margin_begins = self.send_by?.saturating_sub(LATE_WRITE_MARGIN);
        Some(margin_begins.max(self.written_at + grace))
    }
}
