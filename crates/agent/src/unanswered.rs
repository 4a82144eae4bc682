//! Owns the requests that have no final answer yet, and gives each its one final answer.
//!
//! A request stays in the table until the decision engine has been notified of its end, so that an answer is given at
//! most once. The number of requests is bounded by whoever accepts them.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::time::Duration;

use lilacgate_decision::{AttemptNumber, RequestId};

use crate::log::{Count, count};
use crate::outbound::{AttemptId, EncodedRequest};

/// The one final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// An endpoint's answer.
    Succeeded(Vec<u8>),
    /// The request has not run; the client may retry after this time.
    Rejected(Duration),
    /// The request has failed; it may have run.
    Failed,
}

/// Passes the final answer on to the client.
pub(crate) type AnswerCallback = Box<dyn FnOnce(FinalAnswer)>;

/// A request without a final answer, or one whose end the decision engine has not been notified of yet.
struct UnansweredRequest {
    encoded_request: EncodedRequest,
    /// When the wait for the last of its attempts ends.
    deadline: Duration,
    /// How many attempts have been sent.
    attempts: u8,
    /// Taken when the final answer is given, or when the client has left.
    callback: Option<AnswerCallback>,
}

/// An attempt that has been numbered and may be sent.
pub(crate) struct StartedAttempt {
    pub(crate) id: AttemptId,
    pub(crate) encoded_request: EncodedRequest,
    /// When the wait for its answer ends.
    pub(crate) deadline: Duration,
}

/// The requests that have no final answer yet.
#[derive(Default)]
pub(crate) struct UnansweredRequests {
    requests: RefCell<HashMap<RequestId, UnansweredRequest>>,
    next_id: Cell<u32>,
}

impl fmt::Debug for UnansweredRequests {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("UnansweredRequests")
            .field("count", &self.len())
            .finish_non_exhaustive()
    }
}

impl UnansweredRequests {
    /// Adds a request and returns its id. Answers are waited for up to `until`.
    pub(crate) fn insert(
        &self,
        encoded_request: EncodedRequest,
        deadline: Duration,
        callback: AnswerCallback,
    ) -> RequestId {
        let id = RequestId(self.next_id.get());
        self.next_id.set(self.next_id.get().wrapping_add(1));
        let request = UnansweredRequest {
            encoded_request,
            deadline,
            attempts: 0,
            callback: Some(callback),
        };
        self.requests.borrow_mut().insert(id, request);
        id
    }

    /// How many requests are in the table.
    pub(crate) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Removes a request.
    pub(crate) fn remove(&self, id: RequestId) {
        self.requests.borrow_mut().remove(&id);
    }

    /// Whether a request still needs its final answer.
    pub(crate) fn needs_answer(&self, id: RequestId) -> bool {
        self.requests
            .borrow()
            .get(&id)
            .is_some_and(|request| request.callback.is_some())
    }

    /// Takes the callback of a request that still needs its final answer; after that it needs none.
    pub(crate) fn take_callback(&self, id: RequestId) -> Option<AnswerCallback> {
        self.requests.borrow_mut().get_mut(&id)?.callback.take()
    }

    /// Gives the final answer, if the request still needs one.
    pub(crate) fn answer(&self, id: RequestId, answer: FinalAnswer) {
        let Some(callback) = self.take_callback(id) else {
            return;
        };
        count(match answer {
            FinalAnswer::Succeeded(_) => Count::RequestsSucceeded,
            FinalAnswer::Rejected(_) => Count::RequestsRejected,
            FinalAnswer::Failed => Count::RequestsFailed,
        });
        callback(answer);
    }

    /// Gives the final answer, and removes the request.
    pub(crate) fn close(&self, id: RequestId, answer: FinalAnswer) {
        self.answer(id, answer);
        self.remove(id);
    }

    /// Numbers the next attempt of a request. Its answer is waited for no longer than `give_up_after` from `now`, if
    /// that is not zero, and never longer than the request's own limit. None if the request is not in the table.
    pub(crate) fn start_attempt(
        &self,
        id: RequestId,
        now: Duration,
        give_up_after: Duration,
    ) -> Option<StartedAttempt> {
        let mut requests = self.requests.borrow_mut();
        let request = requests.get_mut(&id)?;
        let number = AttemptNumber(request.attempts);
        request.attempts += 1;
        let deadline = if give_up_after.is_zero() {
            request.deadline
        } else {
            request.deadline.min(now + give_up_after)
        };
        Some(StartedAttempt {
            id: AttemptId {
                request: id,
                number,
            },
            encoded_request: request.encoded_request.clone(),
            deadline,
        })
    }
}
