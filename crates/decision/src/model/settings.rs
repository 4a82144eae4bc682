//! Settings of a decision engine. The deployment provides them at the start; they do not change afterwards.
use std::time::Duration;

use super::fleet::FleetPosition;
use super::ids::Zone;
use super::release::{AdvanceRule, VoteTiming};
use super::request::ClassPolicy;

/// All settings of one [`DecisionEngine`](crate::DecisionEngine).
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Seed of all random draws. The same seed and the same events lead to the same actions.
    pub seed: u64,
    /// Resolution of the host's clock; the engine's timers are multiples of it. Not zero.
    pub tick: Duration,
    /// The zone that the agent runs in.
    pub zone: Zone,
    /// The agent's position among all agents.
    pub fleet_position: FleetPosition,
    /// How the endpoint list is kept up to date.
    pub discovery: EndpointDiscoverySettings,
    /// Limits on traffic to endpoints that are warming up.
    pub slow_start: SlowStartSettings,
    /// Limits on traffic to a canary.
    pub exposure: ExposureSettings,
    /// How a canary is analysed and voted on.
    pub release_analysis: ReleaseAnalysisSettings,
    /// Request classes, and limits on attempts.
    pub requests: RequestSettings,
}

/// How the endpoint list is kept up to date.
#[derive(Clone, Copy, Debug)]
pub struct EndpointDiscoverySettings {
    /// Time over which the agents of a fleet spread their requests for the list after a common start or failure.
    /// `None` if the platform pushes the list without a request.
    pub request_within: Option<Duration>,
}

/// The capacity of an endpoint that has just started, and the load that makes it fail.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartSettings {
    /// Share of its full capacity that an endpoint has when its process starts, 0 to 1.
    pub initial_capacity_share: f64,
    /// Time from the start of its process until an endpoint has its full capacity.
    pub ramp: Duration,
    /// A warming endpoint fails if it is sent more work than this multiple of its current capacity.
    pub overload_multiple: f64,
    /// The window over which the work sent to an endpoint is compared with its capacity.
    pub overload_window: Duration,
}

/// Limits on traffic to a canary: a share of the requests in a sliding window, and a number of requests beyond it.
#[derive(Clone, Copy, Debug)]
pub struct ExposureSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Number of requests in a window that a canary may get beyond its share.
    pub free_requests: f64,
    /// Highest share of requests, 0 to 1, for a build whose release status is not known yet.
    pub initial_cap: f64,
    /// Whether each request class has a window of its own; otherwise all classes share one.
    pub per_class: bool,
    /// Number of first stages in which a canary gets idempotent requests only.
    pub guarded_stages: u8,
    /// Whether a request with an idempotency key that the canary has answered must not go to an earlier build
    /// afterwards.
    pub forward_only: bool,
}

/// How a canary is analysed and voted on.
#[derive(Clone, Debug)]
pub struct ReleaseAnalysisSettings {
    /// The rule by which votes advance the release.
    pub advance_rule: AdvanceRule,
    /// Share of the endpoints that run the canary, 0 to 1, by stage.
    pub stage_shares: Vec<f64>,
    /// Minimum duration of a stage. Not zero.
    pub minimum_stage_time: Duration,
    /// How long a vote is valid, and how long the call that casts it may take.
    pub vote_timing: VoteTiming,
    /// Whether endpoints are upgraded in place; otherwise the canary runs on additional endpoints.
    pub in_place: bool,
    /// Whether reports go through relays in fleets of more than 300 agents. All agents of a fleet need the same
    /// value: an agent drops a report for which it is not the relay.
    pub use_relays: bool,
}

/// Request classes, and limits on attempts.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// The policy of each request class, by its number.
    pub classes: Vec<ClassPolicy>,
    /// Largest number of attempts of one request; at most 255, since attempt numbers have one byte on the wire.
    pub max_attempts: usize,
    /// Whether the host can cancel an attempt.
    pub may_cancel: bool,
    /// Longest retry-after time that a rejection may carry; zero for none.
    pub max_retry_after: Duration,
}
