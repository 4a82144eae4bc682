//! Decides when the next call to discovery may begin, and how long to wait for the rest of a message that has begun.
//! This module performs no I/O; the duration of each call is passed in.
use std::time::Duration;

/// The shortest time between the starts of two calls, however the first one ended.
pub const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// The longest time between the starts of two calls that bring nothing, unless the first one itself lasts longer.
pub const MAX_CALL_INTERVAL: Duration = Duration::from_millis(500);

/// How a call to discovery went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It brought at least one full list or message of changes.
    Answered,
    /// It brought nothing.
    Unanswered,
    /// It brought nothing complete: its first message began, but the rest of it did not arrive in time.
    Stalled,
}

/// The pace of calls to discovery, which depends on how earlier calls ended.
#[derive(Clone, Debug)]
pub struct Pacing {
    interval: Duration,
    initial_stall_timeout: Duration,
    max_stall_timeout: Duration,
    stall_timeout: Duration,
}

impl Pacing {
    /// `initial_stall_timeout` is how long to wait for the rest of a message at first. The timeout doubles with each
    /// call that stalls, up to `max_stall_timeout`.
    pub fn new(initial_stall_timeout: Duration, max_stall_timeout: Duration) -> Self {
        let initial_stall_timeout = initial_stall_timeout.min(max_stall_timeout);
        Pacing {
            interval: MIN_CALL_INTERVAL,
            initial_stall_timeout,
            max_stall_timeout,
            stall_timeout: initial_stall_timeout,
        }
    }

    /// How long to wait for more bytes of a message that has begun.
    pub fn stall_timeout(&self) -> Duration {
        self.stall_timeout
    }

    /// Records how a call ended and how long it lasted; returns the pause before the next call. A call that lasted
    /// longer than the interval is followed at once, since its duration has already spaced the two calls.
    pub fn pause_after(&mut self, end: CallEnd, lasted: Duration) -> Duration {
        self.interval = match end {
            CallEnd::Answered => MIN_CALL_INTERVAL,
            CallEnd::Unanswered | CallEnd::Stalled => (self.interval * 2).min(MAX_CALL_INTERVAL),
        };
        self.stall_timeout = match end {
            CallEnd::Answered => self.initial_stall_timeout,
            CallEnd::Unanswered => self.stall_timeout,
            CallEnd::Stalled => (self.stall_timeout * 2).min(self.max_stall_timeout),
        };
        self.interval.saturating_sub(lasted)
    }

    /// Starts anew after discovery has moved: how the server at the earlier address answered says nothing about the new
    /// one.
    pub fn reset(&mut self) {
        self.interval = MIN_CALL_INTERVAL;
        self.stall_timeout = self.initial_stall_timeout;
    }
}
