//! The analysis of samples for a target: their slopes, and the factors between
//! hollow and real agents. [`crate::estimate`] computes figures at a size, and
//! [`crate::budget`] compares them with the budgets.
use std::cmp::Ordering;

use crate::fit::{self, Slope};
use crate::result::{Factor, Quantity, Role, Sample, Size, Source};
use crate::target::Target;

/// All factors, in the order in which slopes are combined and shown.
pub const FACTORS: [Factor; 9] = [
    Factor::Agents,
    Factor::ListedAppliances,
    Factor::UsedAppliances,
    Factor::Services,
    Factor::Routes,
    Factor::Tenants,
    Factor::RequestRate,
    Factor::ChangeRate,
    Factor::Releases,
];

/// One figure of a hollow agent and of a real one, at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessPair {
    /// The role that the figure is of.
    pub role: Role,
    /// The quantity of the figure.
    pub quantity: Quantity,
    /// The size of the fleet.
    pub size: Size,
    /// The mean over the hollow runs.
    pub hollow: f64,
    /// The mean over the runs of the real process.
    pub process: f64,
}

impl ProcessPair {
    /// The ratio of the real figure to the hollow one; `None` if the latter is 0.
    pub fn factor(&self) -> Option<f64> {
        (self.hollow > 0.0).then(|| self.process / self.hollow)
    }
}

/// The samples of all experiments, their slopes and the target.
#[derive(Clone, Debug)]
pub struct Analysis<'a> {
    /// The target.
    pub target: &'a Target,
    /// All samples, also of interrupted runs.
    pub samples: &'a [Sample],
    /// All slopes.
    pub slopes: Vec<Slope>,
    /// Hollow and real agents at the same sizes, the smallest first.
    pub pairs: Vec<ProcessPair>,
}

impl<'a> Analysis<'a> {
    /// Computes slopes and pairs.
    pub fn new(samples: &'a [Sample], target: &'a Target) -> Self {
        Analysis {
            target,
            samples,
            slopes: fit::slopes(samples),
            pairs: pairs(samples),
        }
    }

    /// The samples of runs that were not interrupted.
    pub fn complete(&self) -> impl Iterator<Item = &'a Sample> {
        self.samples.iter().filter(|sample| sample.complete)
    }

    /// The ratio of the cost of real agents to that of hollow ones, at the
    /// largest size where both were measured. Processor time of a round or of
    /// the worst second takes the ratio of the average if it has no pair of its
    /// own.
    pub fn process_factor(&self, role: Role, quantity: Quantity) -> Option<f64> {
        let of = |quantity: Quantity| {
            let wanted = |pair: &&ProcessPair| pair.role == role && pair.quantity == quantity;
            self.pairs.iter().rev().find(wanted)?.factor()
        };
        let is_time = matches!(
            quantity,
            Quantity::WorstSecondCorePercent | Quantity::WorstRoundMicros
        );
        of(quantity).or_else(|| of(Quantity::ControlCorePercent).filter(|_| is_time))
    }
}

/// Whether both have the same numbers of agents, appliances and services.
pub fn is_same_fleet(one: &Size, other: &Size) -> bool {
    let counts = |size: &Size| (size.agents, size.listed_appliances, size.services);
    counts(one) == counts(other)
}

/// The order of fleets by size, the smallest first.
pub fn by_size(one: &Size, other: &Size) -> Ordering {
    let counts = |size: &Size| {
        (
            size.listed_appliances,
            size.services,
            size.agents,
            size.routes,
            size.tenants,
            size.releases,
        )
    };
    let rates = one.request_rate.total_cmp(&other.request_rate);
    counts(one).cmp(&counts(other)).then(rates)
}

fn pairs(samples: &[Sample]) -> Vec<ProcessPair> {
    let is_wanted = |sample: &&Sample| sample.complete && sample.event.is_none();
    let steady: Vec<&Sample> = samples.iter().filter(is_wanted).collect();
    let mut real: Vec<&Sample> = steady.clone();
    real.retain(|sample| sample.source == Source::Process);
    real.sort_by(|one, other| by_size(&one.size, &other.size).then(one.role.cmp(&other.role)));
    real.dedup_by(|one, other| is_same_run(one, other));
    let of_sample = real.iter().flat_map(|sample| {
        let quantities = sample.figures.keys();
        quantities.filter_map(|&quantity| pair(&steady, sample, quantity))
    });
    of_sample.collect()
}

fn is_same_run(one: &Sample, other: &Sample) -> bool {
    one.role == other.role && by_size(&one.size, &other.size).is_eq()
}

fn pair(samples: &[&Sample], like: &Sample, quantity: Quantity) -> Option<ProcessPair> {
    let mean_of = |source: Source| {
        let alike = samples
            .iter()
            .filter(|one| one.source == source && is_same_run(one, like));
        mean(alike.filter_map(|sample| sample.figure(quantity)))
    };
    Some(ProcessPair {
        role: like.role,
        quantity,
        size: like.size,
        hollow: mean_of(Source::Hollow)?,
        process: mean_of(Source::Process)?,
    })
}

fn mean(figures: impl Iterator<Item = f64>) -> Option<f64> {
    let figures: Vec<f64> = figures.collect();
    let count = figures.len() as f64;
    (count > 0.0).then(|| figures.iter().sum::<f64>() / count)
}

pub(crate) fn largest(figures: impl Iterator<Item = f64>) -> Option<f64> {
    figures.max_by(f64::total_cmp)
}
