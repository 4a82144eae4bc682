//! The start settings of a simulated agent, as the text that a start file flattens to.
use lilacgate_capacity::target::Places;

/// The module's unit of time, in microseconds.
pub const TICK_MICROS: u64 = 5_000;
/// How long a client waits for its answer, in microseconds.
pub const GIVE_UP_MICROS: u64 = 2_000_000;
/// Time kept free for an answer's way back to the client, in microseconds.
pub const ANSWER_SLACK_MICROS: u64 = 20_000;
/// Attempts for a request at most.
pub const MAX_ATTEMPTS: u8 = 3;
/// The share of requests that a build on trial may get in its first stage.
pub const FIRST_CAP: f64 = 0.1;
/// Requests to a build on trial that the cap does not count.
pub const FREE_REQUESTS: u32 = 3;
/// The span over which the cap is counted, in microseconds.
pub const CAP_SPAN_MICROS: u64 = 4_000_000;
/// Time of the slow start of an endpoint, in microseconds.
pub const RAMP_MICROS: u64 = 4_000_000;
/// Capacity of an endpoint at its start, as a share of its full one.
pub const INITIAL_CAPACITY_SHARE: f64 = 0.34;
/// Types of machine.
pub const MACHINE_TYPES: [&str; 1] = ["plain"];

/// How requests of a route may be repeated.
const REPEATS: [&str; 3] = ["retryable", "dedup", "fragile"];

const COMMON: &str = "\
membership-mode=ask
shapes=plain
feedback.names=lat_ms
limits.conn-idle=20000000
limits.connect-timeout=200000
limits.max-open=1000
limits.max-retry-after=1000000
limits.may-cancel=true
limits.peers=true
limits.retry-after=true
limits.streams-per-conn=32
rules.ask-within=10000000
rules.fall-multiple=2.5
rules.overload-for=1000000
rules.stop-sending-within=250000
family-info.call-timeout=1000000
family-info.forward-only=false
family-info.gate-mode=single
family-info.guarded-stages=1
family-info.layout=rolling
family-info.min-dwell=2000000
family-info.per=all
family-info.rings=0.1,0.5,1.0
family-info.vote-ttl=5000000
";

/// Whether requests of a route may run twice.
pub fn is_repeatable(route: u32) -> bool {
    REPEATS[route as usize % REPEATS.len()] != "fragile"
}

/// The names of the zones of all regions, in the order of their numbers.
pub fn zone_names(places: &Places) -> Vec<String> {
    (0..places.zones)
        .map(|zone| format!("region{}-zone{zone}", zone % places.regions))
        .collect()
}

/// The start settings of one module, before they are written as text.
#[derive(Clone, Copy, Debug)]
pub struct Start<'a> {
    /// The agent's number.
    pub agent: u32,
    /// All agents.
    pub agents: u32,
    /// The agent's zone.
    pub zone: u32,
    /// All zones.
    pub places: &'a Places,
    /// Routes of the module.
    pub routes: u32,
}

/// The text of the start settings of one module.
pub fn text(start: &Start) -> String {
    let mut text = String::from(COMMON);
    let mut put = |key: &str, value: String| text.push_str(&format!("{key}={value}\n"));
    put("me", start.agent.to_string());
    put("instances", start.agents.to_string());
    put("tick", TICK_MICROS.to_string());
    put("zone", start.zone.to_string());
    put("zones", zone_names(start.places).join(","));
    put("limits.max-attempts", MAX_ATTEMPTS.to_string());
    put("rules.answer-slack", ANSWER_SLACK_MICROS.to_string());
    put("rules.cold-from", INITIAL_CAPACITY_SHARE.to_string());
    put("rules.ramp-time", RAMP_MICROS.to_string());
    put("family-info.free", FREE_REQUESTS.to_string());
    put("family-info.most-shares", format!("{FIRST_CAP},0.5,1.0"));
    put("family-info.span", CAP_SPAN_MICROS.to_string());
    put("profiles.count", start.routes.to_string());
    for route in 0..start.routes {
        put_route(&mut text, route);
    }
    text
}

fn put_route(text: &mut String, route: u32) {
    let repeat = REPEATS[route as usize % REPEATS.len()];
    let mut put = |key: &str, value: &str| {
        text.push_str(&format!("profiles.{route}.{key}={value}\n"));
    };
    put("name", &format!("route{route}"));
    put("repeat", repeat);
    put("group", "all");
    put("window", "10000000");
    put("aim", "500000");
    put("give-up", &GIVE_UP_MICROS.to_string());
    put("worth", "1.0");
    put("late-value", "0.0");
}

/// How long a client waits for its answer.
pub fn give_up() -> std::time::Duration {
    std::time::Duration::from_micros(GIVE_UP_MICROS)
}
