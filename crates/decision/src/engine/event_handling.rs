//! Applies the events of a round to the engine's state.
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use super::DecisionEngine;
use super::outcomes::AttemptResult;
use crate::events::EventHandler;
use crate::model::{
    AgentId, AttemptNumber, Build, Endpoint, EndpointId, ListUpdate, Outcome, ReleasePhase,
    ReleaseStatus, Request, RequestClass, RequestId, Stage,
};
use crate::peer_reports::codec;
use crate::release_permissions::ReleasePermissions;
use crate::state::endpoint_record::AttemptId;
use crate::state::evidence::{OutcomeCounts, WorkSums};
use crate::state::pending_requests::{PendingRequest, RandomDraw};

/// Lower bound of the estimated work of a request, in seconds.
const MIN_WORK: f64 = 1e-4;

impl EventHandler for DecisionEngine {
    fn on_request(&mut self, id: RequestId, mut request: Request) {
        let now = self.now;
        request.deadline = request.deadline.min(self.requests.shutdown_deadline);
        let Some(&policy) = self.requests.policy(request.class) else {
            return;
        };
        let exposure_class = self.exposure.exposure_class(request.class);
        self.exposure.windows.on_request(exposure_class, now);
        self.schedule.events_since_refresh += 1;
        let work = self
            .demand
            .on_request(now, &request)
            .unwrap_or(self.load.mean_work)
            .max(MIN_WORK);
        self.analysis.evidence.served_work.add(WorkSums {
            requested: work,
            ..WorkSums::default()
        });
        let pending = PendingRequest {
            request,
            policy,
            work,
            // The latency objective runs from the time when the client sent the request, not when the host read it.
            arrived_at: now.saturating_sub(request.age),
            attempts: Vec::new(),
            possible_execution: None,
            slow_start_draw: RandomDraw::default(),
        };
        self.requests.by_id.insert(id, pending);
    }

    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        outcome: Outcome,
        took: Duration,
        request_closed: bool,
    ) {
        let attempt_id = AttemptId {
            request: id,
            number: attempt,
        };
        let outstanding = self
            .endpoints
            .records
            .get_mut(&endpoint)
            .and_then(|record| record.outstanding.remove(&attempt_id));
        if let Some(outstanding) = outstanding {
            self.on_outcome(&AttemptResult {
                id: attempt_id,
                endpoint,
                attempt: &outstanding,
                outcome,
                took,
            });
        }
        if request_closed {
            self.requests.by_id.remove(&id);
        } else if let Some(request) = self.requests.by_id.get_mut(&id) {
            request.on_attempt_ended(attempt, outcome);
        }
    }

    fn on_response_started(&mut self, id: RequestId, _: AttemptNumber, _: EndpointId, _: Duration) {
        // The client has begun to receive its answer: no other attempt may be sent for this request.
        self.requests.by_id.remove(&id);
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        self.requests.by_id.remove(&id);
    }

    fn may_send(&mut self, id: RequestId, attempt: AttemptNumber) -> bool {
        self.may_still_send(id, attempt)
    }

    fn on_endpoints(&mut self, update: ListUpdate, endpoints: &mut dyn Iterator<Item = Endpoint>) {
        self.endpoints.update(update, endpoints);
        self.list_polling
            .on_update(self.now, update, self.fleet_position, &mut self.random);
        self.schedule.refresh_at = Duration::ZERO;
    }

    fn on_release_status(
        &mut self,
        build: Build,
        stage: Stage,
        phase: ReleasePhase,
        cap: f64,
        age: Duration,
    ) {
        let known = self.exposure.release_status;
        match known {
            Some(known) if build < known.build => return,
            Some(known) if build == known.build => {}
            _ => self.exposure.windows.answered_keys.clear(),
        }
        if phase == ReleasePhase::Canary && self.analysis.build != Some(build) {
            let started_at = self.exposure.windows.started_at.unwrap_or_default();
            let backup_vote_draw = self.random.random();
            self.analysis
                .begin(self.now, build, started_at, &self.demand, backup_vote_draw);
        }
        let same_stage = known.filter(|known| known.build == build && known.stage == stage);
        let since = same_stage.map_or(self.now.saturating_sub(age), |known| known.since);
        self.schedule.refresh_at = Duration::ZERO;
        self.exposure.release_status = Some(ReleaseStatus {
            build,
            stage,
            phase,
            cap,
            since,
        });
    }

    fn on_peer_message(&mut self, from: AgentId, payload: &[u8]) {
        self.analysis
            .on_report(self.now, from, payload, &self.endpoints);
        let is_warning = |build| codec::is_warning(payload, build);
        if self.analysis.build.is_some_and(is_warning) {
            let minimum_stage_time = self.analysis.settings.minimum_stage_time;
            self.analysis.voting.warned_until = self.now + minimum_stage_time;
        }
    }

    fn on_release_permissions(&mut self, permissions: Option<Arc<ReleasePermissions>>) {
        self.exposure.permissions = permissions;
        self.schedule.refresh_at = Duration::ZERO;
    }

    fn on_vote_answered(&mut self, outcome: Outcome) {
        if let Some(vote) = &mut self.analysis.voting.last_vote {
            vote.answer = Some(outcome);
        }
    }

    fn on_shutdown(&mut self, deadline: Duration) {
        self.requests.begin_shutdown(deadline);
    }

    fn on_wrong_answer(&mut self, endpoint: EndpointId, class: RequestClass, sent_ago: Duration) {
        let sent_at = self.now.saturating_sub(sent_ago);
        let Some(&listed) = self.endpoints.endpoint(endpoint) else {
            return;
        };
        if !self.slow_start.was_warming_up(&listed, sent_at) {
            // The attempt was already counted as an outcome without a failure, so only the failure is added.
            let counts = OutcomeCounts {
                failures: 1,
                ..OutcomeCounts::default()
            };
            self.analysis
                .on_outcome(endpoint, listed.build, class, counts);
        }
    }
}
