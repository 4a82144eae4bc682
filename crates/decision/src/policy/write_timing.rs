//! Decides, directly before an attempt is written to its connection, whether it may still be written.
//!
//! The operating system may hold the host up between any two instructions, so that an attempt is written later than it
//! was decided on. A hold-up before the decision made here is noticed by it. One that begins between this decision and
//! the system call is not: before the end of a deduplication window a margin covers it, and within the margin few
//! attempts are written, so that it rarely meets one.
use std::time::Duration;

/// The longest hold-up for which repeats are kept within their deduplication window.
const MAX_HOLD_UP: Duration = Duration::from_millis(150);
/// How much later than the end of its deduplication window a repeat is still dropped by endpoints.
const WINDOW_SLACK: Duration = Duration::from_millis(50);
/// How long before the end of a deduplication window a hold-up could make a write too late.
pub(super) const LATE_WRITE_MARGIN: Duration = MAX_HOLD_UP.saturating_sub(WINDOW_SLACK);
/// The shortest time between two writes within [`LATE_WRITE_MARGIN`], over all attempts. It bounds how likely a hold-up
/// begins between the decision and the system call of one of them.
const LATE_WRITE_INTERVAL: Duration = Duration::from_micros(250);
/// A decision that is older than this is confirmed before it is carried out: news may have come since.
const MAX_DECISION_AGE: Duration = Duration::from_millis(25);
/// The longest time from the encoding of an attempt to its last byte. The time left to the client is told with the first
/// bytes, and endpoints that take the last ones later would be told too much.
pub(super) const MAX_WRITE_TIME: Duration = Duration::from_millis(100);

/// When an attempt may be written. All instants are those of the host's clock.
#[derive(Clone, Copy, Debug)]
pub struct WriteLimits {
    /// When the attempt was decided on, or last confirmed.
    pub decided_at: Duration,
    /// When the attempt times out. Nothing is written from then on.
    pub deadline: Duration,
    /// The end of the deduplication window, for a keyed request that may have run; `None` for any other request.
    pub send_by: Option<Duration>,
}

impl WriteLimits {
    fn end(&self) -> Duration {
        self.send_by
            .map_or(self.deadline, |end| end.min(self.deadline))
    }
}

/// What is to be done about an attempt that is about to be written.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WriteStep {
    /// Write it, with nothing in between.
    Write,
    /// Read what has arrived, ask [`may_send`](crate::EventHandler::may_send), and decide again.
    Confirm,
    /// Decide again at this instant, which is reserved for this attempt.
    WaitUntil(Duration),
    /// Do not write it any more.
    TooLate,
}

/// Decides on the writes of all attempts of an agent.
#[derive(Debug, Default)]
pub struct WriteTiming {
    /// The earliest time of the next write within [`LATE_WRITE_MARGIN`] that no attempt has reserved.
    next_late_write: Duration,
}

impl WriteTiming {
    /// Decides about the first write of an attempt. `reserved` is the instant of its last [`WriteStep::WaitUntil`].
    pub fn begin(
        &mut self,
        now: Duration,
        limits: WriteLimits,
        reserved: Option<Duration>,
    ) -> WriteStep {
        if now >= limits.end() {
            return WriteStep::TooLate;
        }
        let confirm_at = limits.decided_at + MAX_DECISION_AGE;
        if now >= confirm_at {
            return WriteStep::Confirm;
        }
        let is_covered = limits
            .send_by
            .is_none_or(|end| now + LATE_WRITE_MARGIN < end);
        let is_reserved = reserved.is_some_and(|at| at <= now && now < at + LATE_WRITE_INTERVAL);
        if is_covered || is_reserved {
            return WriteStep::Write;
        }
        let at = now.max(self.next_late_write);
        if at >= limits.end().min(confirm_at) {
            return WriteStep::TooLate;
        }
        self.next_late_write = at + LATE_WRITE_INTERVAL;
        if at == now {
            WriteStep::Write
        } else {
            WriteStep::WaitUntil(at)
        }
    }

    /// Whether the rest of an attempt may be written, after the connection has taken a part of it. `encoded_at` is when the
    /// time left to the client was determined.
    pub fn may_continue(now: Duration, limits: WriteLimits, encoded_at: Duration) -> bool {
        now < limits.end().min(encoded_at + MAX_WRITE_TIME)
    }
}
