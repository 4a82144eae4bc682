//! The settings of an agent, endpoints, requests and release updates. The example `round_cost` uses them as well.
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, AgentId, Build, Cell, ClassPolicy, Endpoint, EndpointDiscoverySettings,
    EndpointId, EndpointStatus, EngineSettings, EventHandler, ExposureSettings, FleetPosition,
    Idempotency, MachineModel, ReleaseAnalysisSettings, ReleasePhase, Request, RequestClass,
    RequestSettings, SlowStartSettings, Stage, Tenant, VoteTiming, Zone,
};

/// Virtual time starts here, so late that what happened before it has a time as well.
pub(crate) const EPOCH: Duration = Duration::from_secs(100);
/// The work that a request is expected to take.
pub(crate) const WORK: Duration = Duration::from_millis(100);
/// The shortest time a release stays in a stage.
pub(crate) const MINIMUM_STAGE_TIME: Duration = Duration::from_millis(900);
/// The only request class of most tests.
pub(crate) const READ: ClassPolicy = ClassPolicy {
    idempotency: Idempotency::Idempotent,
    latency_objective: Duration::from_millis(500),
    deadline: Duration::from_secs(2),
    deduplication_window: Duration::ZERO,
    priority_weight: 1.0,
    late_weight_share: 0.0,
};

/// The settings of one agent of a fleet, each with a seed of its own.
pub(crate) fn agent_settings(agent: u32, agent_count: u32, seed: u64) -> EngineSettings {
    let milliseconds = Duration::from_millis;
    EngineSettings {
        seed: seed + u64::from(agent) * 7919,
        tick: milliseconds(5),
        zone: Zone(0),
        fleet_position: FleetPosition {
            own_id: AgentId(agent),
            agent_count,
            can_message_peers: true,
        },
        discovery: EndpointDiscoverySettings {
            request_within: None,
        },
        slow_start: SlowStartSettings {
            initial_capacity_share: 0.34,
            ramp: milliseconds(4000),
            overload_multiple: 2.5,
            overload_window: milliseconds(1000),
        },
        exposure: ExposureSettings {
            window: milliseconds(4000),
            free_requests: 3.0,
            initial_cap: 0.1,
            per_class: false,
            guarded_stages: 1,
            forward_only: false,
        },
        release_analysis: ReleaseAnalysisSettings {
            advance_rule: AdvanceRule::Single,
            stage_shares: vec![0.1, 0.5, 1.0],
            minimum_stage_time: MINIMUM_STAGE_TIME,
            vote_timing: VoteTiming {
                validity: milliseconds(6000),
                call_timeout: milliseconds(1200),
            },
            in_place: true,
            use_relays: false,
        },
        requests: RequestSettings {
            classes: vec![READ],
            max_attempts: 3,
            may_cancel: true,
            max_retry_after: milliseconds(2000),
        },
    }
}

/// The ready endpoint of an index, under the first build; multiplying spreads the ids as if they were drawn.
pub(crate) fn endpoint(index: u32) -> Endpoint {
    Endpoint {
        id: EndpointId(index.wrapping_mul(0x9E37_79B9)),
        status: EndpointStatus::Ready,
        machine_model: MachineModel(0),
        weight: 4.0,
        started: None,
        build: Build(1),
        cell: Cell(0),
        zone: Zone(0),
    }
}

/// A first request of a class without an idempotency key.
pub(crate) fn request(class: RequestClass, deadline: Duration) -> Request {
    Request {
        class,
        tenant: Tenant(0),
        idempotency_key: None,
        deadline,
        estimated_work: Some(WORK),
        is_retry: false,
        age: Duration::ZERO,
    }
}

/// What a release update says of a build whose stage has just begun.
#[derive(Clone, Copy)]
pub(crate) struct ReleaseUpdate {
    pub(crate) build: Build,
    pub(crate) stage: Stage,
    pub(crate) phase: ReleasePhase,
    pub(crate) cap: f64,
}

impl ReleaseUpdate {
    /// The first build is released to all.
    pub(crate) const FIRST_BUILD_RELEASED: ReleaseUpdate = ReleaseUpdate {
        build: Build(1),
        stage: Stage(2),
        phase: ReleasePhase::Released,
        cap: 1.0,
    };

    pub(crate) fn send_to(self, events: &mut dyn EventHandler) {
        events.on_release_status(self.build, self.stage, self.phase, self.cap, Duration::ZERO);
    }
}
