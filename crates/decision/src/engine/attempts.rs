//! Pending requests: sends or cancels an attempt, or gives the request up, whatever is due for it.
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::DecisionEngine;
use crate::actions::{Actions, Diagnostic, GiveUpReason};
use crate::model::{AttemptNumber, EndpointId, EndpointStatus, Outcome, RequestId};
use crate::policy::admission;
use crate::policy::load_balancing::Choice;
use crate::policy::retry::{
    self, AttemptLimits, OutstandingCheck, OutstandingStep, RemainingBudget, may_resend,
};
use crate::policy::subsetting::{self, OutsideSearch};
use crate::state::endpoint_record::{AttemptId, OutstandingAttempt};
use crate::state::pending_requests::{Attempt, PossibleExecution, RandomDraw};

/// A request that may go to no endpoint now is looked at again after this many ticks.
const NO_ENDPOINT_PAUSE_TICKS: u32 = 2;

impl DecisionEngine {
    /// Does what is due for a request. Returns when to look at it again without an event; `None` if only an event can
    /// change anything.
    pub(super) fn process_request(
        &mut self,
        id: RequestId,
        actions: &mut dyn Actions,
    ) -> Option<Duration> {
        let request = self.requests.by_id.get(&id)?;
        let limits = AttemptLimits {
            settings: &self.requests.settings,
            shutdown_deadline: self.requests.shutdown_deadline,
        };
        let budget = RemainingBudget::new(self.now, self.tick, request, limits, &self.load);
        if let Some((number, attempt)) = request.first_outstanding() {
            let outstanding = OutstandingCheck {
                number,
                attempt,
                record: self.endpoints.records.get(&attempt.endpoint),
                may_cancel: self.requests.settings.may_cancel,
            };
            let step = retry::check_outstanding(self.now, self.tick, request, budget, outstanding);
            return self.apply_step(step, id, actions);
        }
        if let Some(reason) = self.reason_to_give_up(id, budget) {
            self.give_up(id, reason, actions);
            return None;
        }
        self.try_attempt(id, actions)
    }

    /// Carries out what was decided about an outstanding attempt. Returns when to look at its request again.
    fn apply_step(
        &mut self,
        step: OutstandingStep,
        id: RequestId,
        actions: &mut dyn Actions,
    ) -> Option<Duration> {
        match step {
            OutstandingStep::Await => None,
            OutstandingStep::CheckAt(check_at) => Some(check_at),
            OutstandingStep::Cancel { number, check_at } => {
                let request = self.requests.by_id.get_mut(&id)?;
                request.attempts[usize::from(number.0)].is_cancelled = true;
                actions.cancel(id, number);
                Some(check_at)
            }
        }
    }

    /// The reason to give up a request that has no outstanding attempt; `None` if another attempt may be tried. Retries
    /// of a failure are subject to the retry probability; the first attempt, and one after a rejection, to admission
    /// control.
    fn reason_to_give_up(
        &mut self,
        id: RequestId,
        budget: RemainingBudget,
    ) -> Option<GiveUpReason> {
        let request = self.requests.by_id.get(&id)?;
        let is_answer_worthless = budget.is_answer_worthless(request);
        let is_first_or_was_rejected = retry::is_first_or_was_rejected(request);
        let has_failed = request.last_outcome() == Some(Outcome::Failed);
        let policy = request.policy;
        let gives_up_retrying = has_failed && {
            let success = self.demand.retry_success(self.now, self.load.sample_period);
            self.random.random::<f64>() > retry::retry_probability(success)
        };
        if is_answer_worthless {
            return Some(GiveUpReason::TooLate);
        }
        if !budget.may_attempt {
            return Some(GiveUpReason::NoAttemptLeft);
        }
        if !is_first_or_was_rejected {
            return gives_up_retrying.then_some(GiveUpReason::RetriesFail);
        }
        let probability = self.admission_control().rejection_probability(
            &self.demand,
            &self.requests.settings.classes,
            &policy,
            budget.objective_left,
        );
        let is_rejected = self.random.random::<f64>() < probability;
        is_rejected.then_some(GiveUpReason::Overload)
    }

    /// Sends an attempt if there is an endpoint for it, and gives the request up if the operator's rules permit none.
    /// Otherwise returns when to try again, with the subset and the selection weights refreshed.
    fn try_attempt(&mut self, id: RequestId, actions: &mut dyn Actions) -> Option<Duration> {
        if let Some(endpoint) = self.choose_endpoint(id) {
            self.send_attempt(id, endpoint, actions);
            return None;
        }
        if self.is_permitted_nowhere(id) {
            self.give_up(id, GiveUpReason::NotPermitted, actions);
            return None;
        }
        self.schedule.refresh_at = self.now;
        Some(self.now + self.tick * NO_ENDPOINT_PAUSE_TICKS)
    }

    /// Chooses an endpoint among the candidates, or outside the subset if none of them can take the request.
    fn choose_endpoint(&mut self, id: RequestId) -> Option<EndpointId> {
        let mut random = Pcg64Mcg::seed_from_u64(self.random.random());
        let request = self.requests.by_id.get_mut(&id)?;
        if self.now >= request.slow_start_draw.valid_until {
            request.slow_start_draw = RandomDraw {
                valid_until: self.now + self.slow_start.settings.overload_window,
                value: random.random(),
            };
        }
        let request = self.requests.by_id.get(&id)?;
        let fallback = match self.selection().choose(request, &mut random) {
            Choice::Endpoint(endpoint) => return Some(endpoint),
            Choice::SearchOutsideSubset { fallback } => fallback,
        };
        let search = OutsideSearch {
            now: self.now,
            candidates: &self.candidates,
            slow_start: &self.slow_start,
            exposure: &self.exposure,
        };
        let found = subsetting::add_from_outside(&mut self.endpoints, request, search, &mut random);
        subsetting::draw_from_outside(&self.selection(), &found, request, &mut random).or(fallback)
    }

    /// Whether endpoints that could take the request are listed, but the operator's rules permit none of them. Guards
    /// against keeping a request that cannot be served until its deadline.
    fn is_permitted_nowhere(&self, id: RequestId) -> bool {
        let Some(request) = self.requests.by_id.get(&id) else {
            return false;
        };
        let catalog = &self.endpoints.catalog;
        let mut builds_and_zones = catalog
            .builds_and_zones(request.routing_constraint())
            .peekable();
        builds_and_zones.peek().is_some()
            && !builds_and_zones
                .any(|(build, zone)| self.exposure.operator_permits(build, zone, request))
    }

    /// Answers a request finally without a result: as rejected if its client may safely send it again, else as failed.
    fn give_up(&mut self, id: RequestId, reason: GiveUpReason, actions: &mut dyn Actions) {
        actions.record_diagnostic(Diagnostic::GivenUp(reason));
        let Some(request) = self.requests.by_id.remove(&id) else {
            return;
        };
        if retry::may_reject(&request) {
            let max_retry_after = self.requests.settings.max_retry_after;
            let retry_after = admission::retry_after(&request.policy, max_retry_after);
            actions.reject(id, retry_after);
        } else {
            actions.fail(id);
        }
    }

    /// Sends an attempt, and records it in the exposure window, in the endpoint's record and in the request.
    fn send_attempt(&mut self, id: RequestId, endpoint: EndpointId, actions: &mut dyn Actions) {
        let now = self.now;
        let (Some(request), Some(record)) = (
            self.requests.by_id.get_mut(&id),
            self.endpoints.records.get_mut(&endpoint),
        ) else {
            return;
        };
        let class = request.request.class;
        let listed = record.endpoint;
        if self.exposure.canary_limit(listed.build).is_some() {
            let exposure_class = self.exposure.exposure_class(class);
            self.exposure
                .windows
                .on_sent(exposure_class, listed.build, now);
        }
        let outstanding = OutstandingAttempt {
            sent_at: now,
            work: request.work,
            class,
            build: listed.build,
            was_warming_up: self.analysis.is_canary(listed.build)
                && self.slow_start.was_warming_up(&listed, now),
            was_ejected: record.is_ejected(),
        };
        if outstanding.was_ejected {
            self.diagnostics.push(Diagnostic::Probed(endpoint));
        }
        let attempt_id = AttemptId {
            request: id,
            number: AttemptNumber(request.attempts.len() as u8),
        };
        let window = self.slow_start.settings.overload_window;
        record.on_sent(now, window, attempt_id, outstanding);
        let attempt = Attempt {
            endpoint,
            build: listed.build,
            zone: listed.zone,
            cell: listed.cell,
            sent_at: now,
            outcome: None,
            is_cancelled: false,
        };
        let send_by = retry::resend_limit(request);
        // Until its outcome proves otherwise, this attempt may have run. The first such attempt determines the cell or
        // zone that later attempts are confined to, and the start of the deduplication window.
        request
            .possible_execution
            .get_or_insert(PossibleExecution::from(&attempt));
        request.attempts.push(attempt);
        actions.send_attempt(id, endpoint, Duration::ZERO, send_by);
    }

    /// Whether an attempt that has waited for a connection may still be sent. Meanwhile its endpoint may be draining or
    /// run another build, the canary's limits may have changed, and the deduplication window of its key may have ended.
    pub(super) fn may_still_send(&self, id: RequestId, number: AttemptNumber) -> bool {
        let Some(request) = self.requests.by_id.get(&id) else {
            return false;
        };
        let attempt = request.attempts.get(usize::from(number.0));
        let Some(attempt) = attempt.filter(|attempt| !attempt.is_cancelled) else {
            return false;
        };
        let is_first = request
            .possible_execution
            .is_none_or(|execution| execution.sent_at == attempt.sent_at);
        let may_run = is_first || may_resend(request, self.now);
        let listed = self.endpoints.endpoint(attempt.endpoint);
        may_run
            && listed.is_some_and(|endpoint| {
                endpoint.status == EndpointStatus::Ready && endpoint.build == attempt.build
            })
            && self.exposure.permits(attempt.build, attempt.zone, request)
    }
}
