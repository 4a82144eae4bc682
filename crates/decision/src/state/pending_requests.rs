//! Requests that wait for their final answer, and their attempts.
use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::{
    AttemptNumber, Build, Cell, ClassPolicy, DeduplicationScope, Endpoint, EndpointId, Idempotency,
    Outcome, Request, RequestClass, RequestId, RequestSettings, RoutingConstraint, Zone,
};

/// An attempt, as its request keeps it.
#[derive(Debug)]
pub(crate) struct Attempt {
    pub(crate) endpoint: EndpointId,
    pub(crate) build: Build,
    pub(crate) zone: Zone,
    pub(crate) cell: Cell,
    pub(crate) sent_at: Duration,
    /// How it ended; `None` while it is outstanding.
    pub(crate) outcome: Option<Outcome>,
    pub(crate) is_cancelled: bool,
}

/// The first attempt that may have run. It determines which endpoints drop repeats of the request, and until when.
#[derive(Clone, Copy, Debug)]
pub(crate) struct PossibleExecution {
    pub(crate) sent_at: Duration,
    pub(crate) zone: Zone,
    pub(crate) cell: Cell,
}

impl From<&Attempt> for PossibleExecution {
    fn from(attempt: &Attempt) -> Self {
        PossibleExecution {
            sent_at: attempt.sent_at,
            zone: attempt.zone,
            cell: attempt.cell,
        }
    }
}

/// A random draw for a request that is kept for some time.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct RandomDraw {
    pub(crate) valid_until: Duration,
    /// Uniform from 0 to 1.
    pub(crate) value: f64,
}

/// A request that waits for its final answer.
#[derive(Debug)]
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) policy: ClassPolicy,
    /// Estimated work, in seconds on the reference core; if the client gives none, the mean of its class.
    pub(crate) work: f64,
    pub(crate) arrived_at: Duration,
    pub(crate) attempts: Vec<Attempt>,
    pub(crate) possible_execution: Option<PossibleExecution>,
    /// Decides whether this may be the first request that is sent to an endpoint that is warming up.
    pub(crate) slow_start_draw: RandomDraw,
}

impl PendingRequest {
    /// Whether the routing constraint allows an endpoint: one that would drop this as a repeat, if it may have run.
    pub(crate) fn may_go_to(&self, endpoint: &Endpoint) -> bool {
        let RoutingConstraint { zone, cell } = self.routing_constraint();
        zone.is_none_or(|zone| endpoint.zone == zone)
            && cell.is_none_or(|cell| endpoint.cell == cell)
    }

    /// The zone or cell whose endpoints drop repeats of this request, if it is keyed and may have run.
    pub(crate) fn routing_constraint(&self) -> RoutingConstraint {
        let mut routing_constraint = RoutingConstraint::default();
        match (self.policy.idempotency, self.possible_execution) {
            (Idempotency::Keyed(DeduplicationScope::Zone), Some(execution)) => {
                routing_constraint.zone = Some(execution.zone);
            }
            (Idempotency::Keyed(DeduplicationScope::Cell), Some(execution)) => {
                routing_constraint.cell = Some(execution.cell);
            }
            _ => {}
        }
        routing_constraint
    }

    /// Whether an attempt was sent to this endpoint.
    pub(crate) fn was_sent_to(&self, endpoint: EndpointId) -> bool {
        self.attempts
            .iter()
            .any(|attempt| attempt.endpoint == endpoint)
    }

    /// Records how an attempt ended, and updates which attempt is the first that may have run.
    pub(crate) fn on_attempt_ended(&mut self, number: AttemptNumber, outcome: Outcome) {
        if let Some(attempt) = self.attempts.get_mut(usize::from(number.0)) {
            attempt.outcome = Some(outcome);
        }
        let first = self
            .attempts
            .iter()
            .find(|attempt| attempt.outcome.is_none_or(Outcome::may_have_run));
        self.possible_execution = first.map(PossibleExecution::from);
    }

    /// The earliest attempt that is outstanding.
    pub(crate) fn first_outstanding(&self) -> Option<(AttemptNumber, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .find(|(_, attempt)| attempt.outcome.is_none())
            .map(|(index, attempt)| (AttemptNumber(index as u8), attempt))
    }

    /// How the latest attempt ended; `None` without any attempt or while it is outstanding.
    pub(crate) fn last_outcome(&self) -> Option<Outcome> {
        self.attempts.last().and_then(|attempt| attempt.outcome)
    }
}

/// All pending requests, and the settings that apply to them.
#[derive(Debug)]
pub(crate) struct PendingRequests {
    pub(crate) settings: RequestSettings,
    /// Latest time of any answer; `Duration::MAX` until a shutdown begins.
    pub(crate) shutdown_deadline: Duration,
    pub(crate) by_id: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    pub(crate) fn new(settings: RequestSettings) -> Self {
        PendingRequests {
            settings,
            shutdown_deadline: Duration::MAX,
            by_id: BTreeMap::new(),
        }
    }

    /// The policy of a class; `None` if the settings have no such class.
    pub(crate) fn policy(&self, class: RequestClass) -> Option<&ClassPolicy> {
        self.settings.classes.get(usize::from(class.0))
    }

    /// Begins a shutdown: no request's deadline is later than this instant any more.
    pub(crate) fn begin_shutdown(&mut self, deadline: Duration) {
        self.shutdown_deadline = deadline;
        for pending in self.by_id.values_mut() {
            pending.request.deadline = pending.request.deadline.min(deadline);
        }
    }
}
