//! Settings of a decision engine: what the deployment states at the start and what never changes afterwards.
use std::time::Duration;

use super::fleet::FleetPosition;
use super::ids::Zone;
use super::release::{AdvanceRule, VoteTiming};
use super::request::ClassPolicy;

/// All settings of one [`DecisionEngine`](crate::DecisionEngine).
#[derive(Clone, Debug)]
pub struct EngineSettings {
    /// Seed of all random draws: the same seed and the same events lead to the same actions.
    pub seed: u64,
    /// Step of the host's clock; timers of the engine are multiples of it. Not zero.
    pub tick: Duration,
    /// The zone that the agent runs in.
    pub zone: Zone,
    /// The agent's position among all agents.
    pub fleet_position: FleetPosition,
    /// Upkeep of the endpoint list.
    pub discovery: EndpointDiscoverySettings,
    /// Protection of endpoints that are warming up.
    pub slow_start: SlowStartSettings,
    /// How much traffic a canary may get.
    pub exposure: ExposureSettings,
    /// Analysis of a canary, and the votes on it.
    pub release_analysis: ReleaseAnalysisSettings,
    /// Requests, their classes and their attempts.
    pub requests: RequestSettings,
}

/// Upkeep of the endpoint list.
#[derive(Clone, Copy, Debug)]
pub struct EndpointDiscoverySettings {
    /// The time within which all agents of a fleet request the list after a common start or failure; `None`
    /// where the platform pushes the list without being asked.
    pub request_within: Option<Duration>,
}

/// The capacity of an endpoint that has just started, and what overloads it.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartSettings {
    /// Share of its full capacity that an endpoint has when its process starts, 0 to 1.
    pub initial_capacity_share: f64,
    /// Time from the start of its process until an endpoint has its full capacity.
    pub ramp: Duration,
    /// An endpoint fails that is sent more than this many times its present capacity.
    pub overload_multiple: f64,
    /// The window over which that overload is measured.
    pub overload_window: Duration,
}

/// How much traffic a canary may get: a number of requests and a share of all, in a sliding window.
#[derive(Clone, Copy, Debug)]
pub struct ExposureSettings {
    /// Length of the sliding window.
    pub window: Duration,
    /// Requests in a window that the canary may get beyond its share.
    pub free_requests: f64,
    /// Highest share of requests, 0 to 1, for a build whose release status is not known yet.
    pub initial_cap: f64,
    /// Whether each request class has a window of its own; otherwise all classes share one.
    pub per_class: bool,
    /// In stages below this one a canary gets idempotent requests only.
    pub guarded_stages: u8,
    /// Whether a request that the canary has answered must not go to an earlier build afterwards.
    pub forward_only: bool,
}

/// Analysis of a canary, and the votes on it.
#[derive(Clone, Debug)]
pub struct ReleaseAnalysisSettings {
    /// The rule by which votes advance the release.
    pub advance_rule: AdvanceRule,
    /// Share of the endpoints that run the canary in each stage, 0 to 1.
    pub stage_shares: Vec<f64>,
    /// Minimum time that a stage lasts. Not zero.
    pub minimum_stage_time: Duration,
    /// How long votes are valid and may take.
    pub vote_timing: VoteTiming,
    /// Whether endpoints are upgraded in place; otherwise the canary's endpoints are added beside the others.
    pub in_place: bool,
    /// Whether reports of outcomes go through relays in fleets of more than 300 agents. All agents of a fleet
    /// need the same value: an agent drops reports that it is not the relay of.
    pub use_relays: bool,
}

/// Requests, their classes and their attempts.
#[derive(Clone, Debug)]
pub struct RequestSettings {
    /// The policy of each request class, by its number.
    pub classes: Vec<ClassPolicy>,
    /// Most attempts of one request; at most 255, since an attempt's number is a byte on every wire.
    pub max_attempts: usize,
    /// Whether the host can cancel an attempt.
    pub may_cancel: bool,
    /// Longest Retry-After that a rejection may carry; zero for none.
    pub max_retry_after: Duration,
}
