//! Owns the gate beside the module: what it goes by, and the way of everything that is heard through it to the module,
//! so that what narrows the module is always as new as what it is told; the recorder hears it by the way. It must never open anything by itself, nor do
//! I/O.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    AgentId, AttemptNumber, Build, Endpoint, EndpointId, EndpointStatus, EventHandler, ListUpdate,
    Outcome, ReleasePermissions, ReleasePhase, Request, RequestClass, RequestId, Stage, Tenant,
    TimerId,
};
use lilacgate_operator_config::Releases;
use lilacgate_releases::facts::Told;
use lilacgate_releases::gate::{Gate, What};
use lilacgate_releases::model::ServiceId;

use crate::log::{Count, count, say};
use crate::recorder::{Deed, Recorder};

/// The gate and what it goes by, beside the module. Without an operator's file there is none, and nothing is narrowed.
#[derive(Default)]
pub struct Keeper {
    gate: Option<Gate>,
    handed: Option<Arc<ReleasePermissions>>,
    /// The builds of the listed appliances.
    listed: BTreeMap<EndpointId, Build>,
    own: Option<Told>,
    next: Option<Duration>,
}

impl Keeper {
    pub fn new(gate: Option<Gate>) -> Self {
        Keeper {
            gate,
            ..Keeper::default()
        }
    }

    /// When something changes by time alone.
    pub fn next(&self) -> Option<Duration> {
        self.next
    }
}

/// What the module's owner hears with: the module itself, and the gate on its way.
pub struct Ears<'a> {
    pub module: &'a mut dyn EventHandler,
    pub keeper: &'a mut Keeper,
    pub recorder: &'a Recorder,
    pub now: Duration,
}

impl Ears<'_> {
    /// Lets the gate hear something, and passes on what has changed by it.
    fn gate(&mut self, hear: impl FnOnce(&mut Gate, Duration)) {
        let Some(gate) = &mut self.keeper.gate else {
            return;
        };
        hear(gate, self.now);
        self.keeper.next = gate.next_change();
        let (events, left_out) = gate.events();
        if left_out > 0 {
            say!("releases: {left_out} changes left out");
        }
        for event in events {
            let build = event.build;
            match event.what {
                What::Opened(many) => say!("releases: build {build} open to {many} more"),
                What::Closed(many, why) => say!("releases: build {build} closed to {many}: {why}"),
                What::MayStep(stage) => {
                    say!("releases: build {build} may go on from stage {stage}")
                }
                What::Stays(why) => say!("releases: build {build} stays: {why}"),
            }
        }
        let open = gate.openings();
        if self
            .keeper
            .handed
            .as_ref()
            .is_none_or(|handed| !Arc::ptr_eq(handed, &open))
        {
            count(Count::Openings);
            self.keeper.handed = Some(open.clone());
            self.module.on_release_permissions(Some(open));
        }
    }

    /// Time has passed.
    pub fn advance(&mut self) {
        if self.keeper.next.is_some_and(|next| next <= self.now) {
            self.gate(Gate::advance);
        }
    }

    /// News of another service.
    pub fn service(&mut self, service: ServiceId, told: Told) {
        count(Count::ServiceNews);
        self.gate(|gate, now| gate.hear(now, service, told));
    }

    pub fn service_lives(&mut self, service: ServiceId) {
        self.gate(|gate, now| gate.alive(now, service));
    }

    /// Takes a file's rules, or none any more.
    pub fn order(&mut self, releases: Option<(Releases, Tenant)>) {
        let Some((Releases { rules, .. }, me)) = releases else {
            let had = self.keeper.gate.take().is_some();
            (self.keeper.handed, self.keeper.next) = (None, None);
            if had {
                self.module.on_release_permissions(None);
            }
            return;
        };
        // The reader has refused circles of needs.
        if self.keeper.gate.is_some() {
            self.gate(|gate, now| drop(gate.replace(now, rules, Some(me))));
        } else {
            self.keeper.gate = Gate::new(rules, Some(me), self.now).ok();
            let (own, listed) = (self.keeper.own, self.keeper.listed.clone());
            self.gate(|gate, now| {
                let service = gate.rules().own;
                own.into_iter()
                    .for_each(|told| gate.hear(now, service, told));
                gate.list(now, listed.into_values());
            });
        }
    }

    /// The gate's state as JSON, if there is a gate.
    pub fn state(&self, agent: &str) -> Option<String> {
        serde_json::to_string(&self.keeper.gate.as_ref()?.state(agent, Vec::new())).ok()
    }
}

impl EventHandler for Ears<'_> {
    fn on_endpoints(&mut self, listing: ListUpdate, lines: &mut dyn Iterator<Item = Endpoint>) {
        let lines: Vec<Endpoint> = lines.collect();
        if matches!(listing, ListUpdate::Full | ListUpdate::Cached) {
            self.keeper.listed.clear();
        }
        for line in &lines {
            match line.status {
                EndpointStatus::Removed => drop(self.keeper.listed.remove(&line.id)),
                _ => drop(self.keeper.listed.insert(line.id, line.build)),
            }
        }
        self.recorder
            .book(|book| book.apply_list_update(self.now, listing, &lines));
        let builds: Vec<Build> = self.keeper.listed.values().copied().collect();
        self.gate(|gate, now| gate.list(now, builds.into_iter()));
        self.module.on_endpoints(listing, &mut lines.into_iter());
    }

    fn on_release_status(
        &mut self,
        build: Build,
        stage: Stage,
        course: ReleasePhase,
        cap: f64,
        age: Duration,
    ) {
        let told = Told {
            build,
            stage,
            course,
            since: self.now.saturating_sub(age),
        };
        self.keeper.own = Some(told);
        self.recorder
            .book(|book| book.record_stage(self.now, build, stage, course, age));
        self.gate(|gate, now| gate.hear(now, gate.rules().own, told));
        self.module
            .on_release_status(build, stage, course, cap, age);
    }

    fn on_request(&mut self, id: RequestId, request: Request) {
        self.recorder
            .put(self.now, Deed::Request(id, request.class));
        self.module.on_request(id, request);
    }

    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        at: EndpointId,
        ending: Outcome,
        took: Duration,
        closed: bool,
    ) {
        self.recorder.put(
            self.now,
            Deed::Ended((id, attempt), at, ending, took, closed),
        );
        self.module
            .on_attempt_ended(id, attempt, at, ending, took, closed);
    }

    fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        at: EndpointId,
        took: Duration,
    ) {
        self.module.on_response_started(id, attempt, at, took);
    }

    fn on_client_left(&mut self, id: RequestId) {
        self.recorder.put(self.now, Deed::Closed(id));
        self.module.on_client_left(id);
    }

    fn may_send(&mut self, id: RequestId, attempt: AttemptNumber) -> bool {
        self.module.may_send(id, attempt)
    }

    fn on_load_report(&mut self, at: EndpointId, gauges: &[f32]) {
        self.module.on_load_report(at, gauges);
    }

    fn on_health_check(&mut self, at: EndpointId, ending: Outcome, took: Duration) {
        self.module.on_health_check(at, ending, took);
    }

    fn on_peer_message(&mut self, from: AgentId, octets: &[u8]) {
        self.module.on_peer_message(from, octets);
    }

    fn on_vote_answered(&mut self, ending: Outcome) {
        self.module.on_vote_answered(ending);
    }

    fn on_wrong_answer(&mut self, at: EndpointId, product: RequestClass, sent_ago: Duration) {
        self.module.on_wrong_answer(at, product, sent_ago);
    }

    fn on_shutdown(&mut self, last: Duration) {
        self.module.on_shutdown(last);
    }

    fn on_wake_up(&mut self, ticket: TimerId) {
        self.module.on_wake_up(ticket);
    }
}
