//! Exposure of canaries: which builds a request may go to, and how many requests a canary may get. Two limits apply:
//! the operator's rules, and the cap that the release status sets for the canary's stage.
use std::sync::Arc;
use std::time::Duration;

use crate::model::{
    Arm, Build, Endpoint, ExposureSettings, Idempotency, ReleasePhase, ReleaseStatus, RequestClass,
    Stage, Zone,
};
use crate::release_permissions::ReleasePermissions;
use crate::state::exposure_windows::{ExposureClass, ExposureWindows};
use crate::state::pending_requests::PendingRequest;

/// Requests that arrived within this margin of the start of the window are not counted: whoever checks the cap may
/// already see them outside the window.
const WINDOW_MARGIN: Duration = Duration::from_micros(1);

/// The limits on a canary at its stage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CanaryLimit {
    stage: Stage,
    /// Highest share of requests that it may get, 0 to 1.
    cap: f64,
}

/// Decides which builds a request may go to, and counts requests so that a canary stays within its cap.
#[derive(Debug)]
pub(crate) struct Exposure {
    settings: ExposureSettings,
    tick: Duration,
    /// What the operator's rules permit; `None` permits everything.
    pub(crate) permissions: Option<Arc<ReleasePermissions>>,
    /// Status of the newest build; `None` until the release control plane has sent one.
    pub(crate) release_status: Option<ReleaseStatus>,
    pub(crate) windows: ExposureWindows,
}

impl Exposure {
    pub(crate) fn new(tick: Duration, settings: ExposureSettings) -> Self {
        Exposure {
            settings,
            tick,
            permissions: None,
            release_status: None,
            windows: ExposureWindows::default(),
        }
    }

    /// Drops the counts of requests and attempts that have left the sliding window.
    pub(crate) fn trim(&mut self, now: Duration) {
        self.windows.trim(now.saturating_sub(self.settings.window));
    }

    /// The class under which requests of a class are counted: itself, or one for all classes, as the settings say.
    pub(crate) fn exposure_class(&self, class: RequestClass) -> ExposureClass {
        ExposureClass(if self.settings.per_class {
            class
        } else {
            RequestClass(0)
        })
    }

    /// The limits on a build; `None` if it is not a canary, that is, if it is released or older than the newest build.
    /// A build that the release status does not cover yet counts as a canary at its first stage with the initial cap.
    pub(crate) fn canary_limit(&self, build: Build) -> Option<CanaryLimit> {
        let is_released_or_older = |status: ReleaseStatus| {
            let is_released = status.phase == ReleasePhase::Released;
            build < status.build || (build == status.build && is_released)
        };
        match self.release_status {
            Some(status) if is_released_or_older(status) => None,
            Some(status) if build == status.build => Some(CanaryLimit {
                stage: status.stage,
                cap: status.cap,
            }),
            _ => Some(CanaryLimit {
                stage: Stage(0),
                cap: self.settings.initial_cap,
            }),
        }
    }

    /// The arm that a build belongs to: canaries have a [`CanaryLimit`], all others are the baseline.
    pub(crate) fn arm(&self, build: Build) -> Arm {
        if self.canary_limit(build).is_some() {
            Arm::Canary
        } else {
            Arm::Baseline
        }
    }

    /// Whether the operator's rules permit this request to go to a build in a zone.
    pub(crate) fn operator_permits(
        &self,
        build: Build,
        zone: Zone,
        request: &PendingRequest,
    ) -> bool {
        let (tenant, class) = (request.request.tenant, request.request.class);
        self.permissions
            .as_ref()
            .is_none_or(|permissions| permissions.permits(build, zone, tenant, class))
    }

    /// Whether the operator's rules permit any request to go to a build in a zone. Endpoints where they permit none
    /// are left out of all weights: if they were counted, the arms' shares of the traffic would be wrong.
    pub(crate) fn operator_permits_any(&self, build: Build, zone: Zone) -> bool {
        self.permissions
            .as_ref()
            .is_none_or(|permissions| permissions.permits_any(build, zone))
    }

    /// Whether a request may go to a build in a zone at all, whatever the canary's window has left. The operator's
    /// rules must permit it. A canary needs a cap above zero, and takes only idempotent requests in guarded stages.
    /// Where requests may only move forward, one that the canary has answered must not go to an earlier build.
    pub(crate) fn permits(&self, build: Build, zone: Zone, request: &PendingRequest) -> bool {
        if !self.operator_permits(build, zone, request) {
            return false;
        }
        let Some(limit) = self.canary_limit(build) else {
            return !(self.settings.forward_only
                && self.would_return_to_earlier_build(build, request));
        };
        let is_guarded = limit.stage.0 < self.settings.guarded_stages;
        limit.cap > 0.0 && (!is_guarded || request.policy.idempotency == Idempotency::Idempotent)
    }

    /// Whether the canary has answered a request with this key before, and the build is an earlier one. It no longer
    /// counts once the canary is rolled back or withdrawn.
    fn would_return_to_earlier_build(&self, build: Build, request: &PendingRequest) -> bool {
        let was_answered = request
            .request
            .idempotency_key
            .is_some_and(|key| self.windows.answered_keys.contains(&key));
        was_answered
            && self.release_status.is_some_and(|status| {
                build < status.build
                    && matches!(status.phase, ReleasePhase::Canary | ReleasePhase::Released)
            })
    }

    /// Whether a request may go to an endpoint now: its build is permitted, and a canary that gets one more request
    /// stays within its free requests and its share of the requests received, in the sliding window.
    pub(crate) fn permits_within_cap(
        &self,
        now: Duration,
        Endpoint { build, zone, .. }: Endpoint,
        request: &PendingRequest,
    ) -> bool {
        let is_permitted = self.permits(build, zone, request);
        let Some(limit) = self.canary_limit(build).filter(|_| is_permitted) else {
            return is_permitted;
        };
        let window = self.settings.window;
        let counted_since = (now + self.tick + WINDOW_MARGIN).saturating_sub(window);
        let class = self.exposure_class(request.request.class);
        let sent = self
            .windows
            .sent_since(class, build, now.saturating_sub(window));
        let received = self.windows.received_since(class, counted_since);
        // It is not known what this agent sent before a restart: in the first window after it, the free requests may
        // be used up already.
        let is_first_window = |started: Duration| started + window >= now;
        let free_requests = if self.windows.started_at.is_some_and(is_first_window) {
            0.0
        } else {
            self.settings.free_requests
        };
        sent as f64 + 1.0 <= free_requests + limit.cap * received as f64
    }

    /// Whether the operator's rules forbid that a build advances from its present stage.
    pub(crate) fn operator_holds(&self, status: ReleaseStatus) -> bool {
        self.permissions
            .as_ref()
            .is_some_and(|permissions| !permissions.may_advance(status.build, status.stage))
    }

    /// Records that a build has answered a request. The request's key is kept if the build is the newest one and
    /// requests may only move forward: later requests with the key must not go to an earlier build.
    pub(crate) fn on_served(&mut self, build: Build, request: Option<&PendingRequest>) {
        let is_newest = self
            .release_status
            .is_some_and(|status| build == status.build);
        if self.settings.forward_only && is_newest {
            let key = request.and_then(|request| request.request.idempotency_key);
            self.windows.answered_keys.extend(key);
        }
    }
}
