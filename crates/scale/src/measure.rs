//! The figures of `measure`, each with the fleet that it is measured on.
use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_capacity::fit::{Fit, Point};
use lilacgate_decision::{AgentId, EndpointId};

use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::network::ServiceIndex;
use crate::resources::Limits;
use crate::run::{self, Plan};
use crate::simulation::Simulation;
use crate::wire::ListedState;

/// Runs of the same seed. The least time of each round and of the parsers counts, because other
/// load on the machine makes times longer, never shorter.
const REPEATS: usize = 3;
/// Parts of the whole list that costs are predicted from.
const PREDICTED_FROM: [f64; 5] = [0.1, 0.2, 0.35, 0.5, 0.7];
/// Sizes of the services whose load is measured.
const SPREAD_SIZES: [u32; 4] = [600, 35, 5, 1];
/// One in so many endpoints is replaced before the load is measured.
const REPLACED: usize = 10;
/// Time between two replacements.
const REPLACEMENT_GAP: Duration = Duration::from_millis(50);
/// Time until the last replaced endpoint has reached its full capacity.
const SETTLE: Duration = Duration::from_secs(5);
/// How long the load is measured.
const SPREAD_WINDOW: Duration = Duration::from_secs(20);
/// Attempts in a window from which an endpoint counts as used by an agent.
const IN_USE: u32 = 3;

/// Control cost of a fleet; repeated runs reduce the effect of other load on the machine.
#[derive(Clone, Copy, Debug)]
pub struct Repeated {
    /// Processor time for control in percent of a core, from the least time of each round over all runs.
    pub core_percent: f64,
    /// The longest round, from the least time of each round over all runs.
    pub worst_round: Duration,
    /// Attempts against a rule in one run.
    pub broken_rules: u64,
}

/// Runs of one fleet with the same seed.
struct Repeats {
    plan: Plan,
    /// The least time of each round in nanoseconds, by agent.
    rounds: Vec<Vec<u32>>,
    /// The least time that all agents' parsers took.
    parsing: Duration,
    broken_rules: u64,
}

impl Repeats {
    fn new(plan: Plan) -> Self {
        let (rounds, broken_rules) = Default::default();
        Repeats {
            plan,
            rounds,
            parsing: Duration::MAX,
            broken_rules,
        }
    }

    fn run(&mut self, limits: &Limits) -> Result<(), ScaleError> {
        let mut simulation = run::warm(&self.plan, limits)?;
        simulation.reset_meters();
        simulation.log_rounds();
        simulation.run_for(self.plan.window)?;
        let total = simulation.total();
        self.parsing = self.parsing.min(total.parsing);
        self.broken_rules = total.counts.broken_rules;
        let agents = simulation.agents.into_iter();
        self.take_least(agents.filter_map(|agent| agent.meter.round_log));
        Ok(())
    }

    fn take_least(&mut self, logs: impl Iterator<Item = Vec<u32>>) {
        if self.rounds.is_empty() {
            return self.rounds.extend(logs);
        }
        for (least, log) in self.rounds.iter_mut().zip(logs) {
            least
                .iter_mut()
                .zip(log)
                .for_each(|(least, time)| *least = time.min(*least));
        }
    }

    fn result(&self) -> Repeated {
        let times = || self.rounds.iter().flatten();
        let rounds: u64 = times().map(|&time| u64::from(time)).sum();
        let control = Duration::from_nanos(rounds) + self.parsing;
        let agent_seconds = f64::from(self.plan.size.agents) * self.plan.window.as_secs_f64();
        Repeated {
            core_percent: 100.0 * control.as_secs_f64() / agent_seconds,
            worst_round: Duration::from_nanos(times().max().copied().unwrap_or(0).into()),
            broken_rules: self.broken_rules,
        }
    }
}

/// The measured cost of a fleet, and the cost predicted from shorter lists.
#[derive(Clone, Copy, Debug)]
pub struct CostAndPrediction {
    /// The measured cost.
    pub cost: Repeated,
    /// The predicted processor time for control, in percent of a core.
    pub predicted_core_percent: f64,
}

impl CostAndPrediction {
    /// The relative error of the prediction.
    pub fn error(&self) -> f64 {
        let measured = self.cost.core_percent;
        (self.predicted_core_percent - measured).abs() / measured
    }
}

/// Measures a fleet several times with the same seed, and the same fleet with shorter lists, which
/// predict its cost.
///
/// # Errors
/// The size cannot be simulated, the run was stopped, or nothing can be fitted.
pub fn cost_and_prediction(plan: &Plan, limits: &Limits) -> Result<CostAndPrediction, ScaleError> {
    let shorter = PREDICTED_FROM.map(|part| Repeats::new(shorten(plan, part)));
    let mut all: Vec<Repeats> = shorter
        .into_iter()
        .chain([Repeats::new(plan.clone())])
        .collect();
    // All sizes in turn, so that other load on the machine affects all of them alike.
    for _ in 0..REPEATS {
        all.iter_mut().try_for_each(|repeats| repeats.run(limits))?;
    }
    let points: Vec<Point> = all.iter().map(point).collect();
    let (whole, shorter) = points.split_last().ok_or_else(|| nothing("no sizes"))?;
    let fit = Fit::new(shorter).map_err(|fault| nothing(&fault.to_string()))?;
    let cost = all[shorter.len()].result();
    Ok(CostAndPrediction {
        cost,
        predicted_core_percent: fit.at(whole.size),
    })
}

fn nothing(fault: &str) -> ScaleError {
    ScaleError::Size(format!("nothing can be predicted: {fault}"))
}

fn point(repeats: &Repeats) -> Point {
    let (size, figure) = (
        f64::from(repeats.plan.size.appliances),
        repeats.result().core_percent,
    );
    tracing::info!("{size} appliances: {figure:.4} percent of a core");
    Point { size, figure }
}

/// The same fleet with a part of its list.
fn shorten(plan: &Plan, part: f64) -> Plan {
    let scaled = |whole: u32| (f64::from(whole) * part).round() as u32;
    let (appliances, largest) = (
        scaled(plan.size.appliances),
        scaled(plan.size.largest).max(1),
    );
    let size = FleetSize {
        appliances,
        largest,
        ..plan.size.clone()
    };
    Plan {
        size,
        ..plan.clone()
    }
}

/// How evenly load is spread over endpoints, and how much of it one change moves.
#[derive(Clone, Copy, Debug)]
pub struct Evenness {
    /// Most attempts at an endpoint over the mean of its service.
    pub most: f64,
    /// Fewest attempts at an endpoint over the mean of its service.
    pub least: f64,
    /// Share of the pairs of agent and endpoint in use after one endpoint left that were not in use
    /// before.
    pub moved: f64,
    /// Attempts against a rule.
    pub broken_rules: u64,
}

/// The fleet that evenness is measured on: services of a few sizes, each endpoint with as many
/// requests as the target's.
pub fn spread_size(target: &FleetSize) -> FleetSize {
    let appliances: u32 = SPREAD_SIZES.iter().sum();
    let part = f64::from(appliances) / f64::from(target.appliances);
    FleetSize {
        appliances,
        services: SPREAD_SIZES.len() as u32,
        known_sizes: SPREAD_SIZES.to_vec(),
        routes: SPREAD_SIZES.len() as u32,
        request_rate: target.request_rate * part,
        request_skew: 0.0,
        change_rate: 0.0,
        releases: 0,
        ..target.clone()
    }
}

/// Measures how evenly load is spread after a tenth of the endpoints were replaced one after
/// another, and how much of it moves when one endpoint leaves.
///
/// # Errors
/// The size cannot be simulated, or the run was stopped.
pub fn evenness(plan: &Plan, limits: &Limits) -> Result<Evenness, ScaleError> {
    let mut simulation = run::warm(plan, limits)?;
    replace_some(&mut simulation)?;
    simulation.run_for(SETTLE)?;
    simulation.reset_meters();
    simulation.run_for(SPREAD_WINDOW)?;
    let spread = run::spread(&simulation);
    let mut broken_rules = simulation.total().counts.broken_rules;
    let before = pairs(&simulation, 1);
    simulation.list_as(0, ListedState::Draining);
    simulation.publish(&[0]);
    simulation.reset_meters();
    simulation.run_for(SPREAD_WINDOW)?;
    let after = pairs(&simulation, IN_USE);
    let new = after.difference(&before).count();
    broken_rules += simulation.total().counts.broken_rules;
    let moved = new as f64 / after.len().max(1) as f64;
    Ok(Evenness {
        most: spread.most,
        least: spread.least,
        moved,
        broken_rules,
    })
}

/// Replaces a tenth of the endpoints one after another: each restarts at its initial capacity.
fn replace_some(simulation: &mut Simulation) -> Result<(), ScaleError> {
    for index in (0..simulation.endpoints.len() as u32).step_by(REPLACED) {
        simulation.restart_endpoint(index);
        simulation.publish(&[index]);
        simulation.run_for(REPLACEMENT_GAP)?;
    }
    Ok(())
}

/// An agent and an endpoint that it uses.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct UsedPair {
    agent: AgentId,
    endpoint: EndpointId,
}

/// Pairs in the largest service with at least this many attempts.
fn pairs(simulation: &Simulation, least: u32) -> BTreeSet<UsedPair> {
    let largest = ServiceIndex(0);
    let mut pairs = BTreeSet::new();
    for agent in &simulation.agents {
        let used = agent.used.iter();
        let enough = used.filter(|(used, attempts)| used.service == largest && **attempts >= least);
        pairs.extend(enough.map(|(used, _)| UsedPair {
            agent: agent.id,
            endpoint: used.endpoint,
        }));
    }
    pairs
}
