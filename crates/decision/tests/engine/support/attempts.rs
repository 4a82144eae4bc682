//! The attempts that an agent has in flight, as the tests play them.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_decision::{AttemptNumber, EndpointId, EventHandler, Outcome, RequestId};

/// An attempt in flight, and how it will end.
pub(crate) struct Attempt {
    pub(crate) due: Duration,
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) took: Duration,
}

impl Attempt {
    /// Ends it; a success is the final answer of its request.
    pub(crate) fn end(&self, events: &mut dyn EventHandler) {
        self.end_closed(self.outcome == Outcome::Succeeded, events);
    }

    /// Ends it where the test knows whether its request needs no answer any more.
    pub(crate) fn end_closed(&self, closed: bool, events: &mut dyn EventHandler) {
        events.on_attempt_ended(
            self.request,
            self.number,
            self.endpoint,
            self.outcome,
            self.took,
            closed,
        );
    }
}

/// Numbers the attempts of each request.
#[derive(Default)]
pub(crate) struct AttemptCounter(BTreeMap<RequestId, u8>);

impl AttemptCounter {
    pub(crate) fn next(&mut self, request: RequestId) -> AttemptNumber {
        let count = self.0.entry(request).or_default();
        let number = AttemptNumber(*count);
        *count += 1;
        number
    }

    /// How many requests had an attempt.
    pub(crate) fn requests(&self) -> usize {
        self.0.len()
    }
}
