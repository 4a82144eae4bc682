//! Asks, directly before each system call that writes a request, whether it may still be written.
use std::cell::{Cell, RefCell};
use std::time::Duration;

use lilacgate_decision::{WriteLimits, WriteStep, WriteTiming};

use crate::clock::Clock;

/// One try to write a request to a connection.
pub(super) struct RequestWrite<'a> {
    clock: Clock,
    /// Decides on the writes of all attempts.
    timing: &'a RefCell<WriteTiming>,
    limits: WriteLimits,
    /// When the time left to the client, which the request tells, was determined.
    encoded_at: Duration,
    /// The instant that is reserved for this write, if it had to wait.
    reserved: Option<Duration>,
    /// What was decided before the first system call.
    step: Cell<Option<WriteStep>>,
}

impl<'a> RequestWrite<'a> {
    pub(super) fn new(
        clock: Clock,
        timing: &'a RefCell<WriteTiming>,
        limits: WriteLimits,
        reserved: Option<Duration>,
    ) -> Self {
        RequestWrite {
            clock,
            timing,
            limits,
            encoded_at: clock.now(),
            reserved,
            step: Cell::default(),
        }
    }

    /// When the time left to the client was determined.
    pub(super) fn encoded_at(&self) -> Duration {
        self.encoded_at
    }

    /// How much time the client had left when this write began.
    pub(super) fn time_left(&self) -> Duration {
        self.limits.deadline.saturating_sub(self.encoded_at)
    }

    /// Reads the clock, and returns whether the next system call may be made. The call has to follow at once.
    pub(super) fn may_write(&self) -> bool {
        let now = self.clock.now();
        if self.has_begun() {
            return WriteTiming::may_continue(now, self.limits, self.encoded_at);
        }
        let mut timing = self.timing.borrow_mut();
        let step = timing.begin(now, self.limits, self.reserved);
        self.step.set(Some(step));
        step == WriteStep::Write
    }

    /// Whether a system call has been allowed, so that the connection may have taken a part of the request.
    fn has_begun(&self) -> bool {
        self.step.get() == Some(WriteStep::Write)
    }

    /// What is to be done before the request may be written; `None` once a part of it may have been.
    pub(super) fn step_before(&self) -> Option<WriteStep> {
        self.step.get().filter(|_| !self.has_begun())
    }
}
