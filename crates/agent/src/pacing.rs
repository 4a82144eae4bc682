//! Decides when the next call to discovery may begin, and how long the rest of a message that has begun is waited for.
//! It does no input or output; how long a call lasted is passed in.
use std::time::Duration;

/// How far apart two calls begin at least, however the first one ended.
pub const SHORTEST_GAP: Duration = Duration::from_millis(50);
/// How far apart calls that bring nothing begin at most, unless one of them lasts longer by itself.
pub const LONGEST_GAP: Duration = Duration::from_millis(500);

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
    gap: Duration,
    first_stall: Duration,
    longest_stall: Duration,
    stall: Duration,
}

impl Pacing {
    /// `first_stall` is how long the rest of a message is waited for at first, `longest_stall` the most that this
    /// grows to while messages go on stopping short.
    pub fn new(first_stall: Duration, longest_stall: Duration) -> Self {
        let first_stall = first_stall.min(longest_stall);
        Pacing {
            gap: SHORTEST_GAP,
            first_stall,
            longest_stall,
            stall: first_stall,
        }
    }

    /// How long to wait for more bytes of a message that has begun.
    pub fn stall(&self) -> Duration {
        self.stall
    }

    /// Notes how a call ended that lasted so long; returns the pause before the next one may begin. A call that was
    /// waited for longer than the gap between two is followed at once: the wait has spaced them already.
    pub fn pause_after(&mut self, end: CallEnd, lasted: Duration) -> Duration {
        self.gap = match end {
            CallEnd::Answered => SHORTEST_GAP,
            CallEnd::Unanswered | CallEnd::Stalled => (self.gap * 2).min(LONGEST_GAP),
        };
        self.stall = match end {
            CallEnd::Answered => self.first_stall,
            CallEnd::Unanswered => self.stall,
            CallEnd::Stalled => (self.stall * 2).min(self.longest_stall),
        };
        self.gap.saturating_sub(lasted)
    }

    /// Discovery has moved: what is known of the earlier one says nothing of it.
    pub fn moved(&mut self) {
        self.gap = SHORTEST_GAP;
        self.stall = self.first_stall;
    }
}
