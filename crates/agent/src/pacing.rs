//! Decides when the next call to discovery may begin, and how long the rest of a message that has begun is waited for.
//! It does no input or output; how long a call lasted is passed in.
use std::time::Duration;

/// How far apart two calls begin at least, however the first one ended.
pub const MIN_CALL_INTERVAL: Duration = Duration::from_millis(50);
/// How far apart calls that bring nothing begin at most, unless one of them lasts longer by itself.
pub const MAX_CALL_INTERVAL: Duration = Duration::from_millis(500);

/// How a call to discovery went.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CallEnd {
    /// It brought at least one list, or changes to one.
    Answered,
    /// It brought nothing.
    Unanswered,
    /// It brought nothing whole: its first message began, and the rest of it did not come in time.
    Stalled,
}

/// The pace of calls to discovery, over their ends.
#[derive(Clone, Debug)]
pub struct Pacing {
    interval: Duration,
    initial_stall_timeout: Duration,
    max_stall_timeout: Duration,
    stall_timeout: Duration,
}

impl Pacing {
    /// `initial_stall_timeout` is how long the rest of a message is waited for at first, `max_stall_timeout` the most that this
    /// grows to while messages go on stopping short.
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

    /// Notes how a call ended that lasted so long; returns the pause before the next one may begin. A call that was
    /// waited for longer than the gap between two is followed at once: the wait has spaced them already.
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

    /// Discovery has moved: what is known of the earlier one says nothing of it.
    pub fn reset(&mut self) {
        self.interval = MIN_CALL_INTERVAL;
        self.stall_timeout = self.initial_stall_timeout;
    }
}
