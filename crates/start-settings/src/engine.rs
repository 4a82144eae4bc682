//! Builds a decision engine from start settings.
use std::fmt;
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, AgentId, ClassPolicy, DecisionEngine, EndpointDiscoverySettings, EngineSettings,
    ExposureSettings, FleetPosition, Idempotency, ReleaseAnalysisSettings, RequestSettings,
    SlowStartSettings, VoteTiming, Zone,
};

use crate::error::SettingsError;
use crate::settings::{Settings, class_path};

/// A decision engine and the numbers of request classes and zones in its settings, which bound the indices that its
/// host may pass to it.
pub struct Instance {
    /// The engine, before its first round.
    pub engine: DecisionEngine,
    /// The number of request classes.
    pub request_classes: usize,
    /// The number of zones.
    pub zones: usize,
}

/// Leaves out the engine, whose state is too long to be printed.
impl fmt::Debug for Instance {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Instance")
            .field("request_classes", &self.request_classes)
            .field("zones", &self.zones)
            .finish_non_exhaustive()
    }
}

/// Builds a decision engine from start settings and the seed of its random numbers.
///
/// # Errors
/// A setting is missing or unusable.
pub fn build_instance(seed: u64, settings: &Settings) -> Result<Instance, SettingsError> {
    let engine_settings = engine_settings(seed, settings)?;
    Ok(Instance {
        request_classes: engine_settings.requests.classes.len(),
        zones: zone_count(settings)?,
        engine: DecisionEngine::new(engine_settings),
    })
}

/// Reads all settings that a decision engine needs. `seed` is the seed of its random numbers.
///
/// # Errors
/// A setting is missing or unusable.
pub fn engine_settings(seed: u64, settings: &Settings) -> Result<EngineSettings, SettingsError> {
    Ok(EngineSettings {
        seed,
        requests: requests(settings)?,
        tick: settings.period("tick")?,
        discovery: discovery(settings)?,
        zone: Zone(settings.value("zone")?),
        slow_start: slow_start(settings)?,
        exposure: exposure(settings)?,
        release_analysis: release_analysis(settings)?,
        fleet_position: fleet_position(settings)?,
    })
}

/// Counts the zones. They are numbered by their position in the list, so that an empty name counts too.
fn zone_count(settings: &Settings) -> Result<usize, SettingsError> {
    Ok(settings.text("zones")?.split(',').count())
}

fn discovery(settings: &Settings) -> Result<EndpointDiscoverySettings, SettingsError> {
    let request_within = if settings.endpoint_list_on_request()? {
        Some(settings.period("rules.ask-within")?)
    } else {
        None
    };
    Ok(EndpointDiscoverySettings { request_within })
}

fn slow_start(settings: &Settings) -> Result<SlowStartSettings, SettingsError> {
    Ok(SlowStartSettings {
        initial_capacity_share: settings.non_negative("rules.cold-from")?,
        ramp: settings.duration("rules.ramp-time")?,
        overload_multiple: settings.non_negative("rules.fall-multiple")?,
        overload_window: settings.duration("rules.overload-for")?,
    })
}

fn exposure(settings: &Settings) -> Result<ExposureSettings, SettingsError> {
    let caps = settings.non_negative_list("family-info.most-shares")?;
    let per_class_choices = [("all", false), ("per_lane", true)];
    Ok(ExposureSettings {
        window: settings.duration("family-info.span")?,
        free_requests: settings.non_negative("family-info.free")?,
        initial_cap: caps.first().copied().unwrap_or(0.0),
        per_class: settings.choice("family-info.per", &per_class_choices)?,
        guarded_stages: settings.value("family-info.guarded-stages")?,
        forward_only: settings.value("family-info.forward-only")?,
    })
}

fn release_analysis(settings: &Settings) -> Result<ReleaseAnalysisSettings, SettingsError> {
    let advance_rules = [
        ("single", AdvanceRule::Single),
        ("majority", AdvanceRule::Majority),
        ("clocked", AdvanceRule::Timed),
    ];
    let in_place_choices = [("side_by_side", false), ("rolling", true)];
    Ok(ReleaseAnalysisSettings {
        advance_rule: settings.choice("family-info.gate-mode", &advance_rules)?,
        stage_shares: settings.non_negative_list("family-info.rings")?,
        minimum_stage_time: settings.period("family-info.min-dwell")?,
        vote_timing: VoteTiming {
            validity: settings.period("family-info.vote-ttl")?,
            call_timeout: settings.period("family-info.call-timeout")?,
        },
        in_place: settings.choice("family-info.layout", &in_place_choices)?,
        use_relays: false,
    })
}

fn fleet_position(settings: &Settings) -> Result<FleetPosition, SettingsError> {
    Ok(FleetPosition {
        own_id: AgentId(settings.value("me")?),
        agent_count: settings.value("instances")?,
        can_message_peers: settings.value("limits.peers")?,
    })
}

fn requests(settings: &Settings) -> Result<RequestSettings, SettingsError> {
    let classes = (0..settings.class_count()?)
        .map(|class| class_policy(settings, class))
        .collect::<Result<_, _>>()?;
    // Every protocol encodes an attempt's number in one byte.
    let max_attempts: usize = settings.value("limits.max-attempts")?;
    Ok(RequestSettings {
        classes,
        max_attempts: max_attempts.min(u8::MAX.into()),
        may_cancel: settings.value("limits.may-cancel")?,
        max_retry_after: max_retry_after(settings)?,
    })
}

fn max_retry_after(settings: &Settings) -> Result<Duration, SettingsError> {
    if settings.value("limits.retry-after")? {
        settings.duration("limits.max-retry-after")
    } else {
        Ok(Duration::ZERO)
    }
}

fn class_policy(settings: &Settings, class: usize) -> Result<ClassPolicy, SettingsError> {
    let path = |field| class_path(class, field);
    let idempotency = settings.idempotency(class)?;
    let deduplication_window = match idempotency {
        Idempotency::Keyed(_) => settings.duration(&path("window"))?,
        Idempotency::Idempotent | Idempotency::NonIdempotent => Duration::ZERO,
    };
    Ok(ClassPolicy {
        idempotency,
        latency_objective: settings.period(&path("aim"))?,
        deadline: settings.period(&path("give-up"))?,
        deduplication_window,
        priority_weight: settings.non_negative(&path("worth"))?,
        late_weight_share: settings.non_negative(&path("late-value"))?,
    })
}
