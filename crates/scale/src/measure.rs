//! The figures of `measure`, each with the fleet that it is measured on.
use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate::port::ApplianceId;
use lilacgate_capacity::fit::{Fit, Point};

use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::network::ServiceIndex;
use crate::resources::Limits;
use crate::run::{self, Plan};
use crate::simulation::Simulation;
use crate::wire::ListedState;

/// Runs of the same seed; of each round, and of each sum, the least time counts. What else the
/// machine does makes times longer, never shorter.
const REPEATS: usize = 3;
/// Parts of the whole list that costs are predicted from.
const PREDICTED_FROM: [f64; 4] = [0.1, 0.25, 0.45, 0.7];
/// Sizes of the services whose load is looked at.
const SPREAD_SIZES: [u32; 4] = [600, 35, 5, 1];
/// One in so many appliances is replaced before the load is looked at.
const REPLACED: usize = 10;
/// Time between two replacements, and until the last one is warm.
const REPLACEMENT_GAP: Duration = Duration::from_millis(50);
const SETTLE: Duration = Duration::from_secs(5);
/// How long the load is looked at.
const SPREAD_WINDOW: Duration = Duration::from_secs(20);
/// Attempts in a window from which an appliance counts as one that an agent uses.
const IN_USE: u32 = 3;

/// Control cost of a fleet, freed of disturbances by repeating it.
#[derive(Clone, Copy, Debug)]
pub struct Repeated {
    /// Processor time for control in percent of a core, the least of all runs.
    pub core_percent: f64,
    /// The longest round, of each round the least time of all runs.
    pub worst_round: Duration,
    /// Attempts against a rule in one run.
    pub broken_rules: u64,
}

/// Measures a fleet several times with the same seed.
///
/// # Errors
/// The size cannot be simulated, or the run was stopped.
pub fn repeated(plan: &Plan, limits: &Limits) -> Result<Repeated, ScaleError> {
    let mut least: Vec<Vec<u32>> = Vec::new();
    let (mut core_percent, mut broken_rules) = (f64::MAX, 0);
    for _ in 0..REPEATS {
        let mut simulation = run::warm(plan, limits)?;
        simulation.reset_meters();
        simulation.log_rounds();
        simulation.run_for(plan.window)?;
        let steady = run::read(&mut simulation, plan.window);
        core_percent = steady.control_core_percent().min(core_percent);
        broken_rules = steady.total.counts.broken_rules;
        take_least(&mut least, simulation);
    }
    let worst = least.iter().flatten().max().copied().unwrap_or(0);
    let worst_round = Duration::from_nanos(worst.into());
    Ok(Repeated {
        core_percent,
        worst_round,
        broken_rules,
    })
}

fn take_least(least: &mut Vec<Vec<u32>>, simulation: Simulation) {
    let logs = simulation
        .agents
        .into_iter()
        .filter_map(|agent| agent.meter.round_log);
    if least.is_empty() {
        return least.extend(logs);
    }
    for (least, log) in least.iter_mut().zip(logs) {
        least
            .iter_mut()
            .zip(log)
            .for_each(|(least, time)| *least = time.min(*least));
    }
}

/// By how much the cost with the whole list differs from what shorter lists predict, as a share.
///
/// # Errors
/// The size cannot be simulated, the run was stopped, or nothing can be fitted.
pub fn predict_error(plan: &Plan, whole: f64, limits: &Limits) -> Result<f64, ScaleError> {
    let mut points = Vec::new();
    for part in PREDICTED_FROM {
        let scaled = |whole: u32| (f64::from(whole) * part).round() as u32;
        let appliances = scaled(plan.size.appliances);
        let size = FleetSize {
            appliances,
            largest: scaled(plan.size.largest).max(1),
            ..plan.size.clone()
        };
        let figure = repeated(
            &Plan {
                size,
                ..plan.clone()
            },
            limits,
        )?
        .core_percent;
        points.push(Point {
            size: f64::from(appliances),
            figure,
        });
    }
    let fit = Fit::new(&points).map_err(|fault| ScaleError::Size(fault.to_string()))?;
    let predicted = fit.at(f64::from(plan.size.appliances));
    Ok((predicted - whole).abs() / whole)
}

/// How evenly load is spread over appliances, and how much of it one change moves.
#[derive(Clone, Copy, Debug)]
pub struct Evenness {
    /// Most attempts at an appliance over the mean of its service.
    pub most: f64,
    /// Fewest.
    pub least: f64,
    /// Share of the pairs of agent and appliance in use after one appliance left that were not in
    /// use before.
    pub moved: f64,
    /// Attempts against a rule.
    pub broken_rules: u64,
}

/// The fleet that evenness is measured on: services of a few sizes, each appliance asked as much
/// as the target's.
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

/// Measures how evenly load is spread after a tenth of the appliances were replaced one after
/// another, and how much of it moves when one appliance leaves.
///
/// # Errors
/// The size cannot be simulated, or the run was stopped.
pub fn evenness(plan: &Plan, limits: &Limits) -> Result<Evenness, ScaleError> {
    let mut simulation = run::warm(plan, limits)?;
    replace_some(&mut simulation)?;
    simulation.run_for(SETTLE)?;
    simulation.reset_meters();
    simulation.run_for(SPREAD_WINDOW)?;
    let (most, least) = run::spread(&simulation);
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
        most,
        least,
        moved,
        broken_rules,
    })
}

/// Replaces a tenth of the appliances one after another: each starts anew, cold.
fn replace_some(simulation: &mut Simulation) -> Result<(), ScaleError> {
    for index in (0..simulation.appliances.len() as u32).step_by(REPLACED) {
        simulation.restart_appliance(index);
        simulation.publish(&[index]);
        simulation.run_for(REPLACEMENT_GAP)?;
    }
    Ok(())
}

/// Pairs of agent and appliance of the largest service with this many attempts at least.
fn pairs(simulation: &Simulation, least: u32) -> BTreeSet<(u32, ApplianceId)> {
    let largest = ServiceIndex(0);
    let mut pairs = BTreeSet::new();
    for agent in &simulation.agents {
        let used = agent.used.iter();
        let enough = used.filter(|((service, _), many)| *service == largest && **many >= least);
        pairs.extend(enough.map(|((_, appliance), _)| (agent.id.0, *appliance)));
    }
    pairs
}
