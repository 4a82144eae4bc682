//! Exposure of canaries: which builds a request may go to, and how many requests a canary may get.
use std::sync::Arc;
use std::time::Duration;

use crate::model::{
    Arm, Build, Endpoint, ExposureSettings, Idempotency, ReleasePhase, ReleaseStatus, RequestClass,
    Stage, Zone,
};
use crate::release_permissions::ReleasePermissions;
use crate::state::exposure_windows::{ExposureClass, ExposureWindows};
use crate::state::pending_requests::PendingRequest;

/// Margin at the edge of the window: an arrival at its very edge may not be counted.
const WINDOW_MARGIN: Duration = Duration::from_micros(1);

/// The limits of a canary at its stage.
#[derive(Clone, Copy, Debug)]
pub(crate) struct CanaryLimit {
    stage: Stage,
    /// Highest share of requests, 0 to 1.
    cap: f64,
}

/// Keeps what is sent to canaries within the cap.
#[derive(Debug)]
pub(crate) struct Exposure {
    settings: ExposureSettings,
    tick: Duration,
    /// What the operator's own rules permit; `None` permits everything.
    pub(crate) permissions: Option<Arc<ReleasePermissions>>,
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

    /// Forgets what has left the window.
    pub(crate) fn trim(&mut self, now: Duration) {
        self.windows.trim(now.saturating_sub(self.settings.window));
    }

    /// Requests are counted by class, or all together.
    pub(crate) fn exposure_class(&self, class: RequestClass) -> ExposureClass {
        ExposureClass(if self.settings.per_class {
            class
        } else {
            RequestClass(0)
        })
    }

    /// The limits of a build; `None` if it is not a canary.
    pub(crate) fn canary_limit(&self, build: Build) -> Option<CanaryLimit> {
        let is_done = |status: ReleaseStatus| {
            let is_released = status.phase == ReleasePhase::Released;
            build < status.build || (build == status.build && is_released)
        };
        match self.release_status {
            Some(status) if is_done(status) => None,
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

    /// The arm that a build belongs to.
    pub(crate) fn arm(&self, build: Build) -> Arm {
        if self.canary_limit(build).is_some() {
            Arm::Canary
        } else {
            Arm::Baseline
        }
    }

    /// Whether the operator's rules permit a build there for a request.
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

    /// Whether the operator's rules permit a build there for anyone. What is closed to all takes no part, or
    /// the share of the rest would be too large.
    pub(crate) fn operator_permits_any(&self, build: Build, zone: Zone) -> bool {
        self.permissions
            .as_ref()
            .is_none_or(|permissions| permissions.permits_any(build, zone))
    }

    /// Whether a request may go to a build at all.
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

    /// Whether the canary has answered this request before, and the build is an earlier one.
    fn would_return_to_earlier_build(&self, build: Build, request: &PendingRequest) -> bool {
        let was_answered = request
            .request
            .idempotency_key
            .is_some_and(|key| self.windows.answered.contains(&key));
        was_answered
            && self.release_status.is_some_and(|status| {
                build < status.build
                    && matches!(status.phase, ReleasePhase::Canary | ReleasePhase::Released)
            })
    }

    /// Whether a request may go to an endpoint now, within the canary's window.
    pub(crate) fn permits_now(
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
        let inner_edge = (now + self.tick + WINDOW_MARGIN).saturating_sub(window);
        let class = self.exposure_class(request.request.class);
        let sent = self
            .windows
            .sent_since(class, build, now.saturating_sub(window));
        let received = self.windows.received_since(class, inner_edge);
        // What an earlier incarnation of this agent sent is not known: its free requests may be used up.
        let is_first_window = |started: Duration| started + window >= now;
        let free_requests = if self.windows.started_at.is_some_and(is_first_window) {
            0.0
        } else {
            self.settings.free_requests
        };
        sent as f64 + 1.0 <= free_requests + limit.cap * received as f64
    }

    /// Whether the operator's rules hold a build at its stage.
    pub(crate) fn operator_holds(&self, status: ReleaseStatus) -> bool {
        self.permissions
            .as_ref()
            .is_some_and(|permissions| !permissions.may_advance(status.build, status.stage))
    }

    /// Remembers that the canary has answered a request, where it may not go back to an earlier build then.
    pub(crate) fn on_served(&mut self, build: Build, request: Option<&PendingRequest>) {
        let is_newest = self
            .release_status
            .is_some_and(|status| build == status.build);
        if self.settings.forward_only && is_newest {
            let key = request.and_then(|request| request.request.idempotency_key);
            self.windows.answered.extend(key);
        }
    }
}
