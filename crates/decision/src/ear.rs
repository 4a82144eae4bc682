//! What the decision module hears goes into its state here; whatever is to be decided is asked of `brain.rs`.
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::brain::{DecisionEngine, USUAL};
use crate::events::EventHandler;
use crate::model::{
    AgentId, AttemptNumber, Build, Endpoint, EndpointId, ListUpdate, Outcome, ReleasePhase,
    Request, RequestClass, RequestId, Stage,
};
use crate::release_permissions::ReleasePermissions;
use crate::state::{PendingRequest, ReleaseStatus};

impl EventHandler for DecisionEngine {
    fn on_request(&mut self, id: RequestId, mut request: Request) {
        let now = self.now;
        request.deadline = request.deadline.min(self.pending.ends);
        let Some(&policy) = self.pending.classes.get(usize::from(request.class.0)) else {
            return;
        };
        let lane = self.exposure.lane(request.class);
        self.exposure
            .windows
            .taken
            .entry(lane)
            .or_default()
            .push_back(now);
        self.load.heard += 1;
        let work = self
            .demand
            .taken(now, USUAL, &request)
            .unwrap_or(self.load.usual_work)
            .max(1e-4);
        self.analysis.own.work([0.0, 0.0, work]);
        let (attempts, risk, luck) = Default::default();
        self.pending.requests.insert(
            id,
            PendingRequest {
                request,
                policy,
                work,
                arrived: now,
                attempts,
                risk,
                luck,
            },
        );
    }

    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        at: EndpointId,
        outcome: Outcome,
        took: Duration,
        closed: bool,
    ) {
        let out = self
            .discovery
            .fleet
            .used
            .get_mut(&at)
            .and_then(|a| a.out.remove(&(id, attempt)));
        if let Some(out) = out {
            self.outcome(id, attempt, at, &out, outcome, took);
        }
        if closed {
            self.pending.requests.remove(&id);
        } else if let Some(h) = self.pending.requests.get_mut(&id) {
            h.ended(attempt, outcome);
        }
    }

    fn on_response_started(&mut self, id: RequestId, _: AttemptNumber, _: EndpointId, _: Duration) {
        // The client has its answer: nothing is owed any more, and nothing more may be sent.
        self.pending.requests.remove(&id);
    }

    fn on_client_left(&mut self, id: RequestId) {
        self.pending.requests.remove(&id);
    }

    fn may_send(&mut self, id: RequestId, attempt: AttemptNumber) -> bool {
        self.stands(id, attempt)
    }

    fn on_endpoints(&mut self, update: ListUpdate, endpoints: &mut dyn Iterator<Item = Endpoint>) {
        self.discovery.update(
            self.now,
            update,
            endpoints,
            self.analysis.fleet_position.agent_count,
            &mut self.chance,
        );
        self.load.next = Duration::ZERO;
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
            Some(n) if build < n.build => return,
            Some(n) if build == n.build => {}
            _ => self.exposure.windows.answered.clear(),
        }
        if phase == ReleasePhase::Canary && self.analysis.own.build != Some(build) {
            let started = self.exposure.windows.started.unwrap_or_default();
            self.analysis
                .begin(self.now, build, started, &self.demand, self.chance.random());
        }
        let same = known.filter(|n| (n.build, n.stage) == (build, stage));
        let since = same.map_or(self.now.saturating_sub(age), |n| n.since);
        self.load.next = Duration::ZERO;
        self.exposure.release_status = Some(ReleaseStatus {
            build,
            stage,
            phase,
            cap,
            since,
        });
    }

    fn on_peer_message(&mut self, from: AgentId, octets: &[u8]) {
        self.analysis
            .told(self.now, from, octets, &self.discovery.fleet);
        if self
            .analysis
            .own
            .build
            .is_some_and(|b| octets == b.0.to_be_bytes())
        {
            self.analysis.own.warned = self.now + self.analysis.dwell;
        }
    }

    fn on_release_permissions(&mut self, open: Option<Arc<ReleasePermissions>>) {
        self.exposure.permissions = open;
        self.load.next = Duration::ZERO;
    }

    fn on_vote_answered(&mut self, outcome: Outcome) {
        if let Some(vote) = &mut self.analysis.own.vote {
            vote.answer = Some(outcome);
        }
    }

    fn on_shutdown(&mut self, last: Duration) {
        self.pending.ends = last;
        self.pending
            .requests
            .values_mut()
            .for_each(|h| h.request.deadline = h.request.deadline.min(last));
    }

    fn on_wrong_answer(&mut self, at: EndpointId, class: RequestClass, sent_ago: Duration) {
        let sent = self.now.saturating_sub(sent_ago);
        let Some(&endpoint) = self.discovery.fleet.endpoint(at) else {
            return;
        };
        // The outcome it names was counted as good.
        if !self.slow_start.young(&endpoint, sent) {
            let trial = self.analysis.own.on_trial(endpoint.build).then_some(at);
            self.analysis.note(trial, class, [0, 1, 0, 0]);
        }
    }
}

impl DecisionEngine {
    /// The appliances that this agent works with: all that are listed, or the subset of a long list. For tests and
    /// measurements.
    pub fn members(&self) -> impl Iterator<Item = EndpointId> {
        let used = self.discovery.fleet.used.iter();
        used.filter(|(_, a)| a.rank.is_some()).map(|(&id, _)| id)
    }

    /// Rows of the list and records looked at since the start, for tests and measurements. Nothing depends on
    /// it.
    pub fn visited(&self) -> u64 {
        self.discovery.fleet.listed.visited()
    }
}
