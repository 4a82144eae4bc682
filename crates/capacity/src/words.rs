//! The texts of sizes, quantities and numbers on the page.
use crate::budget::BudgetKind;
use crate::fit::Shape;
use crate::result::{EventKind, Factor, Quantity, Role, Size, Source};

/// The text for a figure without a sample.
pub const NOT_MEASURED: &str = "not measured";

const SIGNIFICANT_DIGITS: i32 = 3;
/// Digits before the point, below 0 for zeros behind it, of numbers that are
/// written without an exponent.
const PLAIN_DIGITS: std::ops::RangeInclusive<i32> = -5..=12;

/// Smaller values are rounding errors and written as 0.
const ROUNDING_BOUND: f64 = 1e-9;

/// A number with three significant digits; whole ones of four digits or more
/// keep all of them.
pub fn number(value: f64) -> String {
    if value.abs() < ROUNDING_BOUND {
        return "0".into();
    }
    let digits = value.abs().log10().floor() as i32 + 1;
    if !PLAIN_DIGITS.contains(&digits) {
        return format!("{value:.2e}");
    }
    let decimals = (SIGNIFICANT_DIGITS - digits).max(0) as usize;
    let text = format!("{value:.decimals$}");
    if decimals > 0 {
        let trimmed = text.trim_end_matches('0').trim_end_matches('.');
        return trimmed.to_owned();
    }
    group_digits(&text)
}

fn group_digits(text: &str) -> String {
    let digits = text.trim_start_matches('-').len();
    let mut grouped = String::new();
    for (index, letter) in text.trim_start_matches('-').chars().enumerate() {
        if index > 0 && (digits - index).is_multiple_of(3) {
            grouped.push(',');
        }
        grouped.push(letter);
    }
    let sign = if text.starts_with('-') { "-" } else { "" };
    format!("{sign}{grouped}")
}

/// A share in percent.
pub fn percent(share: f64) -> String {
    format!("{} %", number(share * 100.0))
}

/// A number, or [`NOT_MEASURED`].
pub fn number_or_not(value: Option<f64>) -> String {
    value.map_or_else(|| NOT_MEASURED.into(), number)
}

/// The name of a role.
pub fn role(role: Role) -> &'static str {
    match role {
        Role::Agent => "agent",
        Role::Aggregator => "judge",
        Role::Discovery => "discovery",
        Role::Platform => "platform",
        Role::Appliance => "appliance",
        Role::Control => "control machines",
    }
}

/// The name of a source.
pub fn source(source: Source) -> &'static str {
    match source {
        Source::Hollow => "hollow",
        Source::Process => "process",
        Source::Model => "model",
    }
}

/// The name of a factor.
pub fn factor(factor: Factor) -> &'static str {
    match factor {
        Factor::Agents => "agents",
        Factor::ListedAppliances => "listed appliances",
        Factor::UsedAppliances => "used appliances",
        Factor::Services => "services",
        Factor::Routes => "routes",
        Factor::Tenants => "tenants",
        Factor::RequestRate => "requests/s",
        Factor::ChangeRate => "changes/s",
        Factor::Releases => "releases on trial",
    }
}

/// The name of an event.
pub fn event(event: EventKind) -> &'static str {
    match event {
        EventKind::ConfigurationChange => "one change of configuration",
        EventKind::OrdinaryDay => "an ordinary day's changes, failures and restarts",
        EventKind::RackLoss => "a rack fails at once",
        EventKind::ZoneLoss => "a zone fails and comes back",
        EventKind::RegionRestart => "half of a region's agents restart together",
        EventKind::RegionPartition => "regions apart, then joined",
        EventKind::ManyReleases => "releases on trial in many services",
    }
}

/// The name of a quantity, with its unit.
pub fn quantity(quantity: Quantity) -> &'static str {
    match quantity {
        Quantity::ControlCorePercent => "control, % of a core",
        Quantity::WorstSecondCorePercent => "worst second, % of a core",
        Quantity::ProcessCorePercent => "process, % of a core",
        Quantity::WorstProcessCorePercent => "busiest process, % of a core",
        Quantity::WorstRoundMicros => "worst round, µs",
        Quantity::RoundP99Micros => "round p99, µs",
        Quantity::RunQueueWaitPercent => "waiting for a processor, %",
        Quantity::MemoryMegabytes => "memory, MB",
        Quantity::PeakMemoryMegabytes => "peak memory, MB",
        Quantity::BytesInPerSecond => "in, B/s",
        Quantity::BytesOutPerSecond => "out, B/s",
        Quantity::MessagesInPerSecond => "messages in/s",
        Quantity::MessagesOutPerSecond => "messages out/s",
        Quantity::DatagramsOutPerSecond => "datagrams out/s",
        Quantity::DatagramBytesOutPerSecond => "datagrams out, B/s",
        Quantity::ListBytes => "whole list, B",
        Quantity::ListMicros => "whole list, µs",
        Quantity::InForceMillis => "in force, ms",
        Quantity::RestartBytes => "sent by discovery, B",
        Quantity::ReadyMillis => "ready, ms",
        Quantity::ReadyNineInTenMillis => "nine in ten ready, ms",
        Quantity::ReadyProcessorMillis => "processor time until ready, ms",
        Quantity::SpreadMost => "most over mean",
        Quantity::SpreadLeast => "least over mean",
        Quantity::MovedShare => "connections moved, share",
        Quantity::BrokenRules => "broken rules",
        Quantity::Requests => "requests",
        Quantity::RefusedRequests => "refused requests",
        Quantity::LostRequests => "lost requests",
        Quantity::ClosedRequests => "requests with a closed connection",
        Quantity::AddedLatencyMillis => "added p99, ms",
        Quantity::StateEntries => "entries of state",
        Quantity::DetectionSeconds => "verdict, s",
        Quantity::DetectionSecondsP90 => "verdict p90, s",
        Quantity::Runs => "runs",
        Quantity::DetectedShare => "share of runs with a verdict",
        Quantity::BadBuildFailureShare => "failures of the bad build, share",
        Quantity::TrialShare => "on trial, share",
        Quantity::PooledAgents => "agents pooled",
        Quantity::ControlMachines => "machines",
    }
}

/// The name of a budget, with its unit.
pub fn budget(kind: BudgetKind) -> &'static str {
    match kind {
        BudgetKind::Core => "processor time on average, % of a core",
        BudgetKind::CoreInWorstSecond => "processor time in the worst second, % of a core",
        BudgetKind::Round => "longest round, which a request may wait for, µs",
        BudgetKind::AddedLatency => "time added to 99 in 100 requests, ms",
        BudgetKind::Memory => "memory, MB",
        BudgetKind::Bytes => "control bytes in and out, B/s",
        BudgetKind::InForce => "a change in force at the last agent, ms",
        BudgetKind::ControlMachines => "control machines",
    }
}

/// The terms of a fit.
pub fn shape(shape: Shape) -> &'static str {
    match shape {
        Shape::Linear => "a + b·x",
        Shape::Logarithmic => "a + b·x + c·log2(x + 1)",
        Shape::Quadratic => "a + b·x + c·x²",
    }
}

/// Agents, appliances and services of a fleet.
pub fn fleet(size: &Size) -> String {
    let [agents, appliances, services] =
        [size.agents, size.listed_appliances, size.services].map(|count| number(count.into()));
    format!("{agents} agents, {appliances} appliances, {services} services")
}
