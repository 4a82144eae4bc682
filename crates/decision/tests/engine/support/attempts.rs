//! The attempts that a simulated agent has in flight.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_decision::{AttemptNumber, EndpointId, EventHandler, Outcome, RequestId};

/// An attempt in flight, and how it will end.
pub(crate) struct Attempt {
    /// When it ends.
    pub(crate) due: Duration,
    pub(crate) request: RequestId,
    pub(crate) number: AttemptNumber,
    pub(crate) endpoint: EndpointId,
    pub(crate) outcome: Outcome,
    pub(crate) took: Duration,
}

impl Attempt {
    /// Reports the end of the attempt; a success closes its request.
    pub(crate) fn end(&self, events: &mut dyn EventHandler) {
        self.end_with(self.outcome == Outcome::Succeeded, events);
    }

    /// Reports the end of the attempt, and whether its request is closed.
    pub(crate) fn end_with(&self, request_closed: bool, events: &mut dyn EventHandler) {
        events.on_attempt_ended(
            self.request,
            self.number,
            self.endpoint,
            self.outcome,
            self.took,
            request_closed,
        );
    }
}

/// Assigns the numbers of each request's attempts.
#[derive(Default)]
pub(crate) struct AttemptCounter(BTreeMap<RequestId, u8>);

impl AttemptCounter {
    pub(crate) fn next(&mut self, request: RequestId) -> AttemptNumber {
        let count = self.0.entry(request).or_default();
        let number = AttemptNumber(*count);
        *count += 1;
        number
    }

    /// Number of requests that had an attempt.
    pub(crate) fn request_count(&self) -> usize {
        self.0.len()
    }
}
