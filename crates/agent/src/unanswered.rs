//! Owns the requests that have no final answer yet, and gives each one its final answer.
//!
//! A request stays in the table until the decision engine has been notified of its end, so that it is answered at most
//! once. The code that accepts requests bounds their number.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::fmt;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{AttemptNumber, RequestId};

use crate::log::{Count, count};
use crate::outbound::{AttemptId, EncodedRequest};
use crate::transport::Notifier;

/// The final answer to a request.
#[derive(Debug)]
pub enum FinalAnswer {
    /// An endpoint has run the request; this is its answer.
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
    /// When its attempts time out at the latest.
    deadline: Duration,
    /// How many attempts have been sent.
    attempts: u8,
    /// Taken when the final answer is given, or when the client has left.
    callback: Option<AnswerCallback>,
    /// Tells its attempts when the callback is taken.
    over: Rc<Notifier>,
}

/// An attempt that has been numbered and may be sent.
pub(crate) struct StartedAttempt {
    pub(crate) id: AttemptId,
    pub(crate) encoded_request: EncodedRequest,
    /// When the attempt times out.
    pub(crate) deadline: Duration,
    /// Notified when the request needs no answer any more.
    pub(crate) request_over: Rc<Notifier>,
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
    /// Adds a request and returns its id. Its attempts time out at `deadline` at the latest.
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
            over: Rc::default(),
        };
        self.requests.borrow_mut().insert(id, request);
        id
    }

    /// Returns how many requests are in the table.
    pub(crate) fn len(&self) -> usize {
        self.requests.borrow().len()
    }

    /// Removes a request, once the decision engine is notified of its end.
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

    /// Whether a request in the table needs no answer any more, of which the decision engine has not been notified yet.
    pub(crate) fn is_over(&self, id: RequestId) -> bool {
        self.requests
            .borrow()
            .get(&id)
            .is_some_and(|request| request.callback.is_none())
    }

    /// Takes the callback of a request that still needs its final answer. Afterwards it needs none.
    pub(crate) fn take_callback(&self, id: RequestId) -> Option<AnswerCallback> {
        let mut requests = self.requests.borrow_mut();
        let request = requests.get_mut(&id)?;
        request.over.notify();
        request.callback.take()
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

    /// Answers all requests as failed: they may have run.
    pub(crate) fn fail_all(&self) {
        let ids: Vec<RequestId> = self.requests.borrow().keys().copied().collect();
        ids.into_iter()
            .for_each(|id| self.close(id, FinalAnswer::Failed));
    }

    /// Numbers the next attempt of a request. It times out `give_up_after` after `now`, if that is not zero, and at the
    /// request's own deadline at the latest. Returns `None` if the request is not in the table.
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
            request_over: request.over.clone(),
        })
    }
}
