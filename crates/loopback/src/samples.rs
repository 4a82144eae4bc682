//! Turns figures into the records that all capacity measurements share.

use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_capacity::{EventKind, Experiment, Quantity, Role, Sample, Size, Source};

use crate::plan::Plan;
use crate::startup::Startup;
use crate::traffic::Counts;
use crate::window::Window;

/// The event that a restart of all agents together stands for.
pub const RESTART: EventKind = EventKind::RegionRestart;

/// The routes that the start file's profiles name.
const ROUTES: u32 = 4;

/// Requests per second up to which a process's usage counts as control alone. It is above 0, as a hollow fleet
/// has no size without requests.
const IDLE_RATE: f64 = 0.1;

type Figures = BTreeMap<Quantity, f64>;

/// The samples of a start: what one process needed, and what discovery served.
pub fn of_startup(plan: &Plan, startup: &Startup, event: Option<EventKind>) -> Vec<Sample> {
    let agent = Figures::from([
        (Quantity::ReadyMillis, millis(startup.slowest())),
        (
            Quantity::ReadyNineInTenMillis,
            millis(startup.nine_in_ten()),
        ),
        (
            Quantity::ReadyProcessorMillis,
            millis(startup.mean_processor()),
        ),
    ]);
    let discovery = Figures::from([
        (
            Quantity::RestartBytes,
            startup.control.discovery().bytes_out as f64,
        ),
        (Quantity::ListBytes, startup.list_bytes as f64),
    ]);
    vec![
        sample(plan, Role::Agent, 0.0, event, agent),
        sample(plan, Role::Discovery, 0.0, event, discovery),
    ]
}

/// One window: an agent's mean, the sums at discovery and the platform, and the report aggregator that receives most.
pub fn of_window(plan: &Plan, window: &Window) -> Vec<Sample> {
    let rate = window.request_rate;
    let discovery = server_figures(window.control.discovery(), window.lasted);
    let platform = server_figures(window.control.platform, window.lasted);
    let mut samples = vec![
        sample(plan, Role::Agent, rate, None, agent_figures(plan, window)),
        sample(plan, Role::Discovery, rate, None, discovery),
        sample(plan, Role::Platform, rate, None, platform),
    ];
    if plan.trial_share > 0.0 {
        samples.push(sample(
            plan,
            Role::Aggregator,
            rate,
            None,
            aggregator_figures(window),
        ));
    }
    for sample in &mut samples {
        sample.complete = window.complete;
        sample.size.used_appliances =
            window.requests.used_appliances.unwrap_or_default().round() as u32;
    }
    samples
}

fn agent_figures(plan: &Plan, window: &Window) -> Figures {
    let each_second = |count: u64| count as f64 / plan.agents as f64 / window.lasted.as_secs_f64();
    let control = &window.control;
    let mut figures = Figures::from([
        (Quantity::ProcessCorePercent, window.mean_core_percent()),
        (
            Quantity::WorstProcessCorePercent,
            window.most_core_percent(),
        ),
        (Quantity::RunQueueWaitPercent, window.mean_wait_percent()),
        (Quantity::MemoryMegabytes, window.mean_resident_megabytes()),
        (
            Quantity::PeakMemoryMegabytes,
            window.peak_resident_megabytes(),
        ),
        (
            Quantity::BytesInPerSecond,
            each_second(control.bytes_to_agents()),
        ),
        (
            Quantity::BytesOutPerSecond,
            each_second(control.bytes_from_agents()),
        ),
        (
            Quantity::MessagesInPerSecond,
            each_second(control.messages_to_agents()),
        ),
        (
            Quantity::MessagesOutPerSecond,
            each_second(control.messages_from_agents()),
        ),
        (
            Quantity::DatagramsOutPerSecond,
            each_second(control.datagrams.messages_in),
        ),
        (
            Quantity::DatagramBytesOutPerSecond,
            each_second(control.datagrams.bytes_in),
        ),
    ]);
    if window.request_rate <= IDLE_RATE {
        figures.insert(Quantity::ControlCorePercent, window.mean_core_percent());
    }
    if window.request_rate <= 0.0 {
        return figures;
    }
    figures.insert(Quantity::Requests, window.requests.served as f64);
    figures.insert(Quantity::RefusedRequests, window.requests.refused as f64);
    figures.insert(Quantity::LostRequests, window.requests.lost as f64);
    figures.insert(Quantity::ClosedRequests, window.requests.closed as f64);
    if let Some(added) = window.requests.added_latency(0.99) {
        figures.insert(Quantity::AddedLatencyMillis, millis(added));
    }
    figures
}

/// What the agent that receives most reports gets from its peers.
fn aggregator_figures(window: &Window) -> Figures {
    let seconds = window.lasted.as_secs_f64();
    let most = window
        .datagrams_to_each
        .iter()
        .max_by_key(|counts| counts.bytes_out);
    let most = most.copied().unwrap_or_default();
    Figures::from([
        (Quantity::BytesInPerSecond, most.bytes_out as f64 / seconds),
        (
            Quantity::MessagesInPerSecond,
            most.messages_out as f64 / seconds,
        ),
    ])
}

/// Sums over all agents, as the server sees them.
fn server_figures(counts: Counts, lasted: Duration) -> Figures {
    let each_second = |count: u64| count as f64 / lasted.as_secs_f64();
    Figures::from([
        (Quantity::BytesInPerSecond, each_second(counts.bytes_in)),
        (Quantity::BytesOutPerSecond, each_second(counts.bytes_out)),
        (
            Quantity::MessagesInPerSecond,
            each_second(counts.messages_in),
        ),
        (
            Quantity::MessagesOutPerSecond,
            each_second(counts.messages_out),
        ),
    ])
}

fn sample(
    plan: &Plan,
    role: Role,
    request_rate: f64,
    event: Option<EventKind>,
    figures: Figures,
) -> Sample {
    let number = |count: usize| u32::try_from(count).unwrap_or(u32::MAX);
    let size = Size {
        agents: number(plan.agents),
        listed_appliances: number(plan.listed_appliances),
        services: 1,
        routes: ROUTES,
        request_rate: request_rate * plan.agents as f64,
        change_rate: plan.change_rate,
        releases: u32::from(plan.trial_share > 0.0),
        ..Size::default()
    };
    Sample {
        experiment: Experiment::Process,
        command: plan.command.clone(),
        seed: plan.seed,
        source: Source::Process,
        role,
        factor: None,
        size,
        event,
        held_back: false,
        complete: true,
        figures,
    }
}

fn millis(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}
