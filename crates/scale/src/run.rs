//! One measurement: a fleet of a size warms up, then is measured for a window of virtual time.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_capacity::result::{Experiment, Factor, Quantity, Role, Sample, Size, Source};

use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::meter::{Counts, Meter, Traffic};
use crate::network::ServiceIndex;
use crate::resources::{Limits, MEGABYTE};
use crate::simulation::Simulation;

/// Report aggregators of a build.
const AGGREGATORS: usize = 3;

/// What is to be measured, and how.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The fleet.
    pub size: FleetSize,
    /// Seed of all draws.
    pub seed: u64,
    /// Threads to run on.
    pub threads: usize,
    /// Virtual time before the measurement.
    pub warm_up: Duration,
    /// Virtual time of the measurement.
    pub window: Duration,
}

/// What was measured of a steady fleet.
#[derive(Clone, Debug)]
pub struct Steady {
    /// The size that it was measured at.
    pub size: FleetSize,
    /// Virtual time that it was measured for.
    pub span: Duration,
    /// All agents' work in that time.
    pub total: Meter,
    /// The longest time that a whole list was parsed, before the measurement.
    pub list_parse: Duration,
    /// Bytes of one whole list, over all services.
    pub list_bytes: u64,
    /// Resident memory of an agent in bytes.
    pub agent_bytes: f64,
    /// Counts of the agents that received the most reports.
    pub aggregators: Vec<Counts>,
    /// Mean number of endpoints that an agent sent requests to.
    pub used: f64,
    /// How attempts were spread over endpoints.
    pub spread: Spread,
    /// Whole lists and changes that discovery sent.
    pub discovery: Traffic,
    /// Release updates that the platform sent.
    pub platform: Traffic,
    /// Whether the measurement ran to its end.
    pub is_complete: bool,
}

/// A measurement of a steady fleet, which may have been stopped before its end.
#[derive(Debug)]
pub struct SteadyRun {
    /// What was measured.
    pub steady: Steady,
    /// Why the measurement stopped early, if it did.
    pub stopped: Option<ScaleError>,
}

impl SteadyRun {
    /// The measurement, if it ran to its end.
    ///
    /// # Errors
    /// The reason why it stopped early.
    pub fn completed(self) -> Result<Steady, ScaleError> {
        self.stopped.map_or(Ok(self.steady), Err)
    }
}

/// Measures a steady fleet. A measurement that is stopped keeps what was measured until then.
///
/// # Errors
/// The size cannot be simulated, or the run was stopped before the measurement began.
pub fn steady(plan: &Plan, limits: &Limits) -> Result<SteadyRun, ScaleError> {
    let mut simulation = warm(plan, limits)?;
    Ok(measure(&mut simulation, plan.window))
}

/// Measures a warm fleet for a window of virtual time, or until a limit is reached.
pub fn measure(simulation: &mut Simulation, window: Duration) -> SteadyRun {
    let list_parse = simulation.total().worst_parse;
    simulation.measure_memory();
    simulation.reset_meters();
    let begun = simulation.now;
    let stopped = simulation.run_for(window).err();
    let span = simulation.now - begun;
    let mut steady = read(simulation, span);
    steady.list_parse = list_parse;
    steady.is_complete = stopped.is_none();
    SteadyRun { steady, stopped }
}

/// Creates a fleet and lets it warm up.
///
/// # Errors
/// The size cannot be simulated, or the run was stopped.
pub fn warm(plan: &Plan, limits: &Limits) -> Result<Simulation, ScaleError> {
    let size = plan.size.clone();
    let mut simulation = Simulation::new(size, plan.seed, plan.threads, limits.clone())?;
    simulation.run_for(plan.warm_up)?;
    Ok(simulation)
}

/// Reads what a fleet has done since its meters were reset.
pub fn read(simulation: &mut Simulation, span: Duration) -> Steady {
    let size = simulation.common.size.clone();
    let services = (0..size.services).map(ServiceIndex);
    let list_bytes = services
        .map(|service| simulation.discovery.whole(service).len() as u64)
        .sum();
    let used: usize = simulation.agents.iter().map(|agent| agent.used.len()).sum();
    let agents = simulation.agents.iter();
    let mut aggregators: Vec<Counts> = agents.map(|agent| agent.meter.counts).collect();
    aggregators.sort_by_key(|counts| std::cmp::Reverse(counts.reports_in.bytes));
    aggregators.truncate(AGGREGATORS);
    aggregators.retain(|counts| counts.reports_in.messages > 0);
    Steady {
        span,
        total: simulation.total(),
        list_parse: Duration::ZERO,
        list_bytes,
        agent_bytes: simulation.agent_bytes,
        aggregators,
        used: used as f64 / simulation.agents.len() as f64,
        spread: spread(simulation),
        discovery: simulation.discovery.sent,
        platform: simulation.platform.sent,
        is_complete: true,
        size,
    }
}

/// How attempts are spread over the endpoints of their services.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Spread {
    /// Most attempts at one endpoint, over the mean of its service.
    pub most: f64,
    /// Fewest attempts at one endpoint, over the mean of its service.
    pub least: f64,
}

/// The attempts of a service.
#[derive(Clone, Copy, Debug, Default)]
struct ServiceLoad {
    attempts: f64,
    endpoints: f64,
}

/// Reads how attempts were spread since the meters were reset.
pub fn spread(simulation: &Simulation) -> Spread {
    let mut loads: BTreeMap<ServiceIndex, ServiceLoad> = BTreeMap::new();
    for endpoint in &simulation.endpoints {
        let load = loads.entry(endpoint.service).or_default();
        load.attempts += endpoint.requests_received as f64;
        load.endpoints += 1.0;
    }
    let mut spread = Spread {
        most: 0.0,
        least: f64::MAX,
    };
    for endpoint in &simulation.endpoints {
        let load = &loads[&endpoint.service];
        let attempts = endpoint.requests_received as f64;
        let share = attempts * load.endpoints / load.attempts.max(1.0);
        spread.most = spread.most.max(share);
        spread.least = spread.least.min(share);
    }
    spread
}

impl Steady {
    fn per_agent_second(&self, sum: f64) -> f64 {
        sum / self.size.agents as f64 / self.span.as_secs_f64().max(1e-9)
    }

    /// Processor time for control, in percent of a core.
    pub fn control_core_percent(&self) -> f64 {
        100.0 * self.per_agent_second(self.total.control().as_secs_f64())
    }

    /// An agent's figures.
    pub fn agent_figures(&self) -> BTreeMap<Quantity, f64> {
        let counts = &self.total.counts;
        let (incoming, outgoing) = (counts.incoming(), counts.outgoing());
        let per = |sum: u64| self.per_agent_second(sum as f64);
        BTreeMap::from([
            (Quantity::ControlCorePercent, self.control_core_percent()),
            (Quantity::WorstRoundMicros, micros(self.total.worst_round())),
            (
                Quantity::RoundP99Micros,
                micros(self.total.round_quantile(0.99)),
            ),
            (
                Quantity::MemoryMegabytes,
                self.agent_bytes / MEGABYTE as f64,
            ),
            (Quantity::BytesInPerSecond, per(incoming.bytes)),
            (Quantity::BytesOutPerSecond, per(outgoing.bytes)),
            (Quantity::MessagesInPerSecond, per(incoming.messages)),
            (Quantity::MessagesOutPerSecond, per(outgoing.messages)),
            (Quantity::ListBytes, self.list_bytes as f64),
            (Quantity::ListMicros, micros(self.list_parse)),
            (Quantity::SpreadMost, self.spread.most),
            (Quantity::SpreadLeast, self.spread.least),
            (Quantity::BrokenRules, counts.broken_rules as f64),
            (Quantity::Requests, counts.requests as f64),
            (
                Quantity::RefusedRequests,
                (counts.refused + counts.failed) as f64,
            ),
        ])
    }

    /// The figures of a report aggregator: the mean of those that received the most reports.
    pub fn aggregator_figures(&self) -> Option<BTreeMap<Quantity, f64>> {
        if self.aggregators.is_empty() {
            return None;
        }
        let seconds = self.span.as_secs_f64() * self.aggregators.len() as f64;
        let sum = |value: fn(&Counts) -> u64| {
            self.aggregators
                .iter()
                .map(|counts| value(counts) as f64)
                .sum::<f64>()
                / seconds
        };
        Some(BTreeMap::from([
            (
                Quantity::BytesInPerSecond,
                sum(|counts| counts.reports_in.bytes),
            ),
            (
                Quantity::BytesOutPerSecond,
                sum(|counts| counts.reports_out.bytes),
            ),
            (
                Quantity::MessagesInPerSecond,
                sum(|counts| counts.reports_in.messages),
            ),
            (
                Quantity::MessagesOutPerSecond,
                sum(|counts| counts.reports_out.messages),
            ),
        ]))
    }

    fn sender_figures(&self, sent: Traffic) -> BTreeMap<Quantity, f64> {
        let seconds = self.span.as_secs_f64().max(1e-9);
        BTreeMap::from([
            (Quantity::BytesOutPerSecond, sent.bytes as f64 / seconds),
            (
                Quantity::MessagesOutPerSecond,
                sent.messages as f64 / seconds,
            ),
        ])
    }

    /// Discovery's figures.
    pub fn discovery_figures(&self) -> BTreeMap<Quantity, f64> {
        self.sender_figures(self.discovery)
    }

    /// The samples of all roles.
    pub fn samples(&self, label: &Label) -> Vec<Sample> {
        let mut roles = vec![(Role::Agent, self.agent_figures())];
        roles.extend(
            self.aggregator_figures()
                .map(|figures| (Role::Aggregator, figures)),
        );
        roles.push((Role::Discovery, self.discovery_figures()));
        roles.push((Role::Platform, self.sender_figures(self.platform)));
        let size = self.size.record(self.used.round() as u32);
        let sample = |(role, figures)| Sample {
            complete: self.is_complete,
            figures,
            ..label.sample(role, size)
        };
        roles.into_iter().map(sample).collect()
    }
}

/// The origin of a sample.
#[derive(Clone, Debug)]
pub struct Label {
    /// The question it answers.
    pub experiment: Experiment,
    /// The command line.
    pub command: String,
    /// The seed.
    pub seed: u64,
    /// The size that varies.
    pub factor: Option<Factor>,
    /// Whether it is left out of the fit.
    pub held_back: bool,
}

impl Label {
    /// A complete sample of simulated agents without figures, at a size.
    pub fn sample(&self, role: Role, size: Size) -> Sample {
        Sample {
            experiment: self.experiment,
            command: self.command.clone(),
            seed: self.seed,
            source: Source::Hollow,
            role,
            factor: self.factor,
            size,
            event: None,
            held_back: self.held_back,
            complete: true,
            figures: BTreeMap::new(),
        }
    }
}

/// A time in microseconds.
pub fn micros(time: Duration) -> f64 {
    time.as_nanos() as f64 / 1e3
}
