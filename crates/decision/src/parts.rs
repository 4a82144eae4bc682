//! The parts of the decision module, each with its own few settings. How they decide is in `brain.rs`.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{EndpointState, Fleet};
use crate::model::{
    AdvanceRule, Build, ClassPolicy, EndpointDiscoverySettings, ExposureSettings, FleetPosition,
    ReleaseAnalysisSettings, RequestClass, RequestId, RequestSettings, SlowStartSettings,
    VoteTiming, Zone,
};
use crate::release_permissions::ReleasePermissions;
use crate::state::{AnalysisState, PendingRequest, ReleaseStatus, Windows};

/// The agent's own list of appliances, and its upkeep.
pub(crate) struct EndpointDiscovery {
    pub(crate) zone: Zone,
    pub(crate) ask_within: Option<Duration>,
    pub(crate) ask_at: Option<Duration>,
    pub(crate) ask_pause: Duration,
    pub(crate) fleet: Fleet,
}

impl EndpointDiscovery {
    pub(crate) fn new(zone: Zone, settings: EndpointDiscoverySettings) -> Self {
        EndpointDiscovery {
            zone,
            ask_within: settings.request_within,
            ask_at: settings.request_within.map(|_| Duration::ZERO),
            ask_pause: Duration::ZERO,
            fleet: Fleet::default(),
        }
    }
}

/// Keeps cold appliances from being pushed over.
pub(crate) struct SlowStart {
    pub(crate) cold_from: f64,
    pub(crate) ramp: Duration,
    pub(crate) multiple: f64,
    pub(crate) span: Duration,
}

impl SlowStart {
    pub(crate) fn new(settings: SlowStartSettings) -> Self {
        SlowStart {
            cold_from: settings.initial_capacity_share,
            ramp: settings.ramp,
            multiple: settings.overload_multiple,
            span: settings.overload_window,
        }
    }

    /// The listed weight of each arm, as far as it belongs to one and is warm, less what is left alone.
    pub(crate) fn listed_weights(
        &self,
        now: Duration,
        fleet: &Fleet,
        arm: impl Fn(Build, Zone) -> Option<usize>,
        left_alone: impl Fn(&EndpointState) -> bool,
    ) -> [f64; 2] {
        let mut weights = [0.0; 2];
        for (build, zone, pool) in fleet.listed.pools() {
            let Some(arm) = arm(build, zone) else {
                continue;
            };
            let cold = pool.started_after(now.saturating_sub(self.ramp));
            let lacks = cold.map(|(start, weight)| {
                fleet.listed.visit(1);
                weight * (1.0 - self.warmth(Some(now.saturating_sub(start))))
            });
            weights[arm] += pool.weight() - lacks.sum::<f64>();
        }
        for (_, a) in fleet.ready().filter(|(_, a)| left_alone(a)) {
            if let Some(arm) = arm(a.endpoint.build, a.endpoint.zone) {
                weights[arm] -= a.weight() * self.warmth(a.age(now));
            }
        }
        weights.map(|weight| weight.max(0.0))
    }
}

/// Keeps what is sent to builds on trial within the cap.
pub(crate) struct Exposure {
    pub(crate) span: Duration,
    pub(crate) tick: Duration,
    pub(crate) free: f64,
    pub(crate) first_cap: f64,
    pub(crate) per_class: bool,
    pub(crate) guarded: u8,
    pub(crate) forward_only: bool,
    /// What the operator's own rules leave open; nothing is closed without any.
    pub(crate) permissions: Option<Arc<ReleasePermissions>>,
    pub(crate) release_status: Option<ReleaseStatus>,
    pub(crate) windows: Windows,
}

impl Exposure {
    /// Earlier builds are the first arm, those on trial the second.
    pub(crate) fn arm(&self, build: Build) -> usize {
        usize::from(self.bound(build).is_some())
    }

    /// Products are counted together or apart.
    pub(crate) fn lane(&self, class: RequestClass) -> RequestClass {
        if self.per_class {
            class
        } else {
            RequestClass(0)
        }
    }

    pub(crate) fn new(tick: Duration, settings: ExposureSettings) -> Self {
        Exposure {
            span: settings.window,
            tick,
            free: settings.free_requests,
            first_cap: settings.initial_cap,
            per_class: settings.per_class,
            guarded: settings.guarded_stages,
            forward_only: settings.forward_only,
            permissions: None,
            release_status: None,
            windows: Windows::default(),
        }
    }
}

/// Judges builds and votes.
pub(crate) struct ReleaseAnalysis {
    pub(crate) advance_rule: AdvanceRule,
    pub(crate) rings: Vec<f64>,
    pub(crate) dwell: Duration,
    pub(crate) vote_timing: VoteTiming,
    pub(crate) rolling: bool,
    pub(crate) fleet_position: FleetPosition,
    pub(crate) classes: usize,
    /// Whether reports go through relays where there are many agents.
    pub(crate) relayed: bool,
    pub(crate) own: AnalysisState,
}

impl ReleaseAnalysis {
    pub(crate) fn new(
        fleet_position: FleetPosition,
        classes: usize,
        settings: ReleaseAnalysisSettings,
    ) -> Self {
        ReleaseAnalysis {
            advance_rule: settings.advance_rule,
            rings: settings.stage_shares,
            dwell: settings.minimum_stage_time,
            vote_timing: settings.vote_timing,
            rolling: settings.in_place,
            fleet_position,
            classes,
            relayed: settings.use_relays,
            own: AnalysisState::default(),
        }
    }
}

/// The requests in hand, and what is agreed for them.
pub(crate) struct PendingRequests {
    pub(crate) classes: Vec<ClassPolicy>,
    pub(crate) max_attempts: usize,
    pub(crate) may_call_off: bool,
    pub(crate) longest_advice: Duration,
    pub(crate) tick: Duration,
    /// When the agent ends; until that is known, never.
    pub(crate) ends: Duration,
    pub(crate) requests: BTreeMap<RequestId, PendingRequest>,
}

impl PendingRequests {
    pub(crate) fn new(tick: Duration, settings: RequestSettings) -> Self {
        PendingRequests {
            classes: settings.classes,
            max_attempts: settings.max_attempts,
            may_call_off: settings.may_cancel,
            longest_advice: settings.max_retry_after,
            tick,
            ends: Duration::MAX,
            requests: BTreeMap::new(),
        }
    }
}
