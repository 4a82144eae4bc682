//! Hosts the release gate beside the decision engine, and routes every event to the recorder, the gate and the engine.
//!
//! The gate restricts what the engine may do to what the operator's rules permit; it never starts anything by itself. A
//! change of permissions is passed on in the same round as the event that caused it, so the engine never decides by
//! outdated permissions. This module performs no I/O.
use std::collections::BTreeMap;
use std::fmt;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    AgentId, AttemptNumber, Build, Endpoint, EndpointId, EndpointStatus, EventHandler, ListUpdate,
    Outcome, ReleasePermissions, ReleasePhase, Request, RequestClass, RequestId, Stage, Tenant,
    TimerId,
};
use lilacgate_operator_config::Releases;
use lilacgate_releases::events::{Change, Event, TakenEvents};
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::ServiceId;
use lilacgate_releases::service_status::ReleaseStatus;

use crate::log::{Count, count, info};
use crate::outbound::AttemptId;
use crate::recorder::{Recorder, RequestEvent};

/// The release rules of an operator's file, and the tenant whose requests this agent routes.
#[derive(Clone)]
pub struct ReleaseRules {
    /// The rules, and the release control planes of the services that they depend on.
    pub releases: Releases,
    /// The tenant whose requests this agent routes.
    pub tenant: Tenant,
}

impl fmt::Debug for ReleaseRules {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ReleaseRules")
            .field("tenant", &self.tenant)
            .finish_non_exhaustive()
    }
}

/// The release gate and its inputs. Without release rules in an operator's file there is no gate, and nothing is
/// restricted.
#[derive(Default)]
pub struct ReleaseGateHost {
    gate: Option<Gate>,
    /// The permissions that were last passed to the engine.
    permissions: Option<Arc<ReleasePermissions>>,
    /// The builds of the listed endpoints.
    builds: BTreeMap<EndpointId, Build>,
    /// The release status of the newest build of the agent's own service.
    own_status: Option<ReleaseStatus>,
    next_change: Option<Duration>,
}

impl fmt::Debug for ReleaseGateHost {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("ReleaseGateHost")
            .field("has_gate", &self.gate.is_some())
            .field("next_change", &self.next_change)
            .finish_non_exhaustive()
    }
}

impl ReleaseGateHost {
    /// Creates a host for this gate.
    pub fn new(gate: Option<Gate>) -> Self {
        ReleaseGateHost {
            gate,
            ..ReleaseGateHost::default()
        }
    }

    /// When the gate next changes by the passing of time alone.
    pub fn next_change(&self) -> Option<Duration> {
        self.next_change
    }
}

/// Passes the events of one round to the recorder, the gate and the decision engine.
pub struct EventRouter<'a> {
    /// The decision engine, or a substitute for it in tests.
    pub engine: &'a mut dyn EventHandler,
    /// The release gate.
    pub gate_host: &'a mut ReleaseGateHost,
    /// Records events in the timelines.
    pub recorder: &'a Recorder,
    /// The time of the round.
    pub now: Duration,
}

impl fmt::Debug for EventRouter<'_> {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("EventRouter")
            .field("gate_host", &self.gate_host)
            .field("now", &self.now)
            .finish_non_exhaustive()
    }
}

impl EventRouter<'_> {
    /// Applies a change to the gate, if there is one; logs the resulting events and passes changed permissions to the
    /// engine.
    fn update_gate(&mut self, change: impl FnOnce(&mut Gate, Duration)) {
        let Some(gate) = &mut self.gate_host.gate else {
            return;
        };
        change(gate, self.now);
        self.gate_host.next_change = gate.next_change();
        let TakenEvents {
            events,
            dropped: dropped_count,
        } = gate.take_events();
        if dropped_count > 0 {
            info!("release_events_dropped count={dropped_count}");
        }
        events.iter().for_each(log_gate_event);
        let permissions = gate.permissions();
        let is_unchanged = |current: &Arc<ReleasePermissions>| Arc::ptr_eq(current, &permissions);
        if !self
            .gate_host
            .permissions
            .as_ref()
            .is_some_and(is_unchanged)
        {
            count(Count::PermissionChanges);
            self.gate_host.permissions = Some(permissions.clone());
            self.engine.on_release_permissions(Some(permissions));
        }
    }

    /// Updates the gate if a change by time alone is due.
    pub fn advance(&mut self) {
        if self
            .gate_host
            .next_change()
            .is_some_and(|next| next <= self.now)
        {
            self.update_gate(Gate::advance);
        }
    }

    /// Handles a release update of another service.
    pub fn on_service_status(&mut self, service: ServiceId, status: ReleaseStatus) {
        count(Count::DependencyUpdates);
        self.update_gate(|gate, now| gate.on_release_status(now, service, status));
    }

    /// Handles a heartbeat from the release control plane of another service.
    pub fn on_service_heartbeat(&mut self, service: ServiceId) {
        self.update_gate(|gate, now| gate.on_heartbeat(now, service));
    }

    /// Applies the release rules of a reloaded operator's file; without rules, the gate is removed.
    pub fn apply_rules(&mut self, rules: Option<ReleaseRules>) {
        let Some(ReleaseRules { releases, tenant }) = rules else {
            return self.remove_gate();
        };
        let rules = releases.rules;
        if self.gate_host.gate.is_some() {
            // The result is ignored: rules that cannot be used were rejected when the file was read.
            self.update_gate(|gate, now| drop(gate.replace_rules(now, rules, Some(tenant))));
            return;
        }
        self.gate_host.gate = Gate::new(rules, Some(tenant), self.now).ok();
        let own_status = self.gate_host.own_status;
        let builds = self.gate_host.builds.clone();
        self.update_gate(|gate, now| {
            let own = gate.rules().own_service;
            if let Some(status) = own_status {
                gate.on_release_status(now, own, status);
            }
            gate.set_listed_builds(now, builds.into_values());
        });
    }

    fn remove_gate(&mut self) {
        let had_gate = self.gate_host.gate.take().is_some();
        self.gate_host.permissions = None;
        self.gate_host.next_change = None;
        if had_gate {
            self.engine.on_release_permissions(None);
        }
    }

    /// Returns the gate's state as JSON, if there is a gate.
    pub fn gate_state(&self, agent: &str) -> Option<String> {
        let gate = self.gate_host.gate.as_ref()?;
        serde_json::to_string(&gate.state(agent, Vec::new())).ok()
    }

    /// Updates the builds of the listed endpoints.
    fn track_builds(&mut self, update: ListUpdate, endpoints: &[Endpoint]) {
        let builds = &mut self.gate_host.builds;
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            builds.clear();
        }
        for endpoint in endpoints {
            match endpoint.status {
                EndpointStatus::Removed => builds.remove(&endpoint.id),
                _ => builds.insert(endpoint.id, endpoint.build),
            };
        }
    }
}

fn log_gate_event(event: &Event) {
    let build = event.build.0;
    match event.change {
        Change::Opened { pairs } => info!("release_opened build={build} pairs={pairs}"),
        Change::Closed { pairs, reason } => {
            let reason = reason.code();
            info!("release_closed build={build} pairs={pairs} reason={reason}")
        }
        Change::AdvancePermitted { stage } => {
            let stage = stage.0;
            info!("release_advance_permitted build={build} stage={stage}")
        }
        Change::Held { reason } => {
            let reason = reason.code();
            info!("release_held build={build} reason={reason}")
        }
    }
}

impl EventHandler for EventRouter<'_> {
    fn on_endpoints(&mut self, update: ListUpdate, endpoints: &mut dyn Iterator<Item = Endpoint>) {
        let endpoints: Vec<Endpoint> = endpoints.collect();
        self.track_builds(update, &endpoints);
        self.recorder
            .update_timeline(|timeline| timeline.apply_list_update(self.now, update, &endpoints));
        let builds: Vec<Build> = self.gate_host.builds.values().copied().collect();
        self.update_gate(|gate, now| gate.set_listed_builds(now, builds.into_iter()));
        self.engine.on_endpoints(update, &mut endpoints.into_iter());
    }

    fn on_release_status(
        &mut self,
        build: Build,
        stage: Stage,
        phase: ReleasePhase,
        cap: f64,
        age: Duration,
    ) {
        let status = ReleaseStatus {
            build,
            stage,
            phase,
            since: self.now.saturating_sub(age),
        };
        self.gate_host.own_status = Some(status);
        self.recorder
            .update_timeline(|timeline| timeline.record_stage(self.now, build, stage, phase, age));
        self.update_gate(|gate, now| gate.on_release_status(now, gate.rules().own_service, status));
        self.engine.on_release_status(build, stage, phase, cap, age);
    }

    fn on_request(&mut self, id: RequestId, request: Request) {
        let class = request.class;
        self.recorder
            .record(self.now, RequestEvent::Received { id, class });
        self.engine.on_request(id, request);
    }

    fn on_attempt_ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        outcome: Outcome,
        took: Duration,
        closed: bool,
    ) {
        let event = RequestEvent::AttemptEnded {
            id: AttemptId {
                request: id,
                number: attempt,
            },
            endpoint,
            outcome,
            took,
            closed,
        };
        self.recorder.record(self.now, event);
        self.engine
            .on_attempt_ended(id, attempt, endpoint, outcome, took, closed);
    }

    fn on_response_started(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
        took: Duration,
    ) {
        self.engine.on_response_started(id, attempt, endpoint, took);
    }

    fn on_client_disconnected(&mut self, id: RequestId) {
        self.recorder.record(self.now, RequestEvent::Closed(id));
        self.engine.on_client_disconnected(id);
    }

    fn may_send(&mut self, id: RequestId, attempt: AttemptNumber) -> bool {
        self.engine.may_send(id, attempt)
    }

    fn on_load_report(&mut self, endpoint: EndpointId, values: &[f32]) {
        self.engine.on_load_report(endpoint, values);
    }

    fn on_health_check(&mut self, endpoint: EndpointId, outcome: Outcome, took: Duration) {
        self.engine.on_health_check(endpoint, outcome, took);
    }

    fn on_peer_message(&mut self, from: AgentId, payload: &[u8]) {
        self.engine.on_peer_message(from, payload);
    }

    fn on_vote_answered(&mut self, outcome: Outcome) {
        self.engine.on_vote_answered(outcome);
    }

    fn on_wrong_answer(&mut self, endpoint: EndpointId, class: RequestClass, sent_ago: Duration) {
        self.engine.on_wrong_answer(endpoint, class, sent_ago);
    }

    fn on_shutdown(&mut self, deadline: Duration) {
        self.engine.on_shutdown(deadline);
    }

    fn on_wake_up(&mut self, timer: TimerId) {
        self.engine.on_wake_up(timer);
    }
}
