//! What the samples say of a target: figures at its size, factors between
//! hollow and real agents, and budgets.
use std::cmp::Ordering;

use crate::fit::{self, Slope};
use crate::result::{EventKind, Experiment, Factor, Quantity, Role, Sample, Size, Source};
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

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Basis {
    /// It was measured at the size in question.
    Measured,
    /// It was measured at the size in question, in an event.
    MeasuredIn(EventKind),
    /// It was measured at another size, the largest there is.
    MeasuredAt(Size),
    /// It was worked out from slopes, all of which fit.
    Predicted,
    /// It was worked out from slopes, one of which does not fit.
    PredictedBadly,
}

/// A figure and where it comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The figure.
    pub figure: f64,
    /// Where it comes from.
    pub basis: Basis,
    /// What was run.
    pub source: Source,
}

/// One figure of a hollow agent and of a real one, at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ProcessPair {
    /// Whose figure.
    pub role: Role,
    /// Which figure.
    pub quantity: Quantity,
    /// The size.
    pub size: Size,
    /// The mean over the hollow runs.
    pub hollow: f64,
    /// The mean over the runs of the real process.
    pub process: f64,
}

impl ProcessPair {
    /// The real figure over the hollow one.
    pub fn factor(&self) -> Option<f64> {
        (self.hollow > 0.0).then(|| self.process / self.hollow)
    }
}

/// A budget of the target.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum BudgetKind {
    /// Processor time, on average.
    Core,
    /// Processor time in the worst second.
    CoreInWorstSecond,
    /// The longest round, for which a request may have to wait.
    Round,
    /// Time added to a request.
    AddedLatency,
    /// Memory.
    Memory,
    /// Bytes in and out.
    Bytes,
    /// Time until a change of configuration is in force.
    InForce,
    /// Machines for control.
    ControlMachines,
}

impl BudgetKind {
    /// The quantities that add up to what is budgeted.
    pub fn quantities(self) -> &'static [Quantity] {
        match self {
            BudgetKind::Core => &[Quantity::ControlCorePercent],
            BudgetKind::CoreInWorstSecond => &[Quantity::WorstSecondCorePercent],
            BudgetKind::Round => &[Quantity::WorstRoundMicros],
            BudgetKind::AddedLatency => &[Quantity::AddedLatencyMillis],
            BudgetKind::Memory => &[Quantity::MemoryMegabytes],
            BudgetKind::Bytes => &[Quantity::BytesInPerSecond, Quantity::BytesOutPerSecond],
            BudgetKind::InForce => &[Quantity::InForceMillis],
            BudgetKind::ControlMachines => &[Quantity::ControlMachines],
        }
    }

    /// Whether the worst event counts, and not only ordinary operation.
    pub fn holds_in_events(self) -> bool {
        match self {
            BudgetKind::CoreInWorstSecond
            | BudgetKind::Round
            | BudgetKind::AddedLatency
            | BudgetKind::Memory => true,
            BudgetKind::Core
            | BudgetKind::Bytes
            | BudgetKind::InForce
            | BudgetKind::ControlMachines => false,
        }
    }

    /// The budget, in the unit of its quantities.
    pub fn limit(self, target: &Target) -> f64 {
        let budgets = &target.budgets;
        match self {
            BudgetKind::Core | BudgetKind::CoreInWorstSecond => budgets.core_percent,
            BudgetKind::Round => budgets.added_p99.as_secs_f64() * 1e6,
            BudgetKind::AddedLatency => budgets.added_p99.as_secs_f64() * 1e3,
            BudgetKind::Memory => budgets.memory_megabytes,
            BudgetKind::Bytes => budgets.bytes_per_second,
            BudgetKind::InForce => target.changes.in_force_within.as_secs_f64() * 1e3,
            BudgetKind::ControlMachines => f64::from(budgets.control_machines),
        }
    }
}

/// Which role each budget is held against.
pub const BUDGETS: [(Role, BudgetKind); 11] = [
    (Role::Agent, BudgetKind::Core),
    (Role::Agent, BudgetKind::CoreInWorstSecond),
    (Role::Agent, BudgetKind::Round),
    (Role::Agent, BudgetKind::AddedLatency),
    (Role::Agent, BudgetKind::Memory),
    (Role::Agent, BudgetKind::Bytes),
    (Role::Agent, BudgetKind::InForce),
    (Role::Judge, BudgetKind::Core),
    (Role::Judge, BudgetKind::Memory),
    (Role::Judge, BudgetKind::Bytes),
    (Role::Control, BudgetKind::ControlMachines),
];

/// A budget beside what the target is expected to use of it.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRow {
    /// Whose budget.
    pub role: Role,
    /// Which budget.
    pub kind: BudgetKind,
    /// The budget.
    pub limit: f64,
    /// What is used at the target, by hollow agents if these were measured.
    pub used: Option<Estimate>,
    /// What real agents use over what hollow ones do, and no less than 1;
    /// nothing where that is not measured.
    pub process_factor: Option<f64>,
}

impl BudgetRow {
    /// How many times the budget is used.
    pub fn times(&self) -> Option<f64> {
        Some(self.used?.figure / self.limit)
    }

    /// The same with the factor of real agents, where it is measured.
    pub fn times_of_process(&self) -> Option<f64> {
        Some(self.times()? * self.process_factor.unwrap_or(1.0))
    }
}

/// The size at which a budget is used up, along one factor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRow {
    /// Whose budget.
    pub role: Role,
    /// Which budget.
    pub kind: BudgetKind,
    /// Which size grows; all others stay as in the slope's samples.
    pub factor: Factor,
    /// The services of these, if they are not what grows.
    pub services: Option<u32>,
    /// The size.
    pub size: f64,
    /// The target's size.
    pub target: f64,
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
    /// Works out slopes and pairs.
    pub fn new(samples: &'a [Sample], target: &'a Target) -> Self {
        Analysis {
            target,
            samples,
            slopes: fit::slopes(samples),
            pairs: pairs(samples),
        }
    }

    fn complete(&self) -> impl Iterator<Item = &'a Sample> {
        self.samples.iter().filter(|sample| sample.complete)
    }

    /// A figure at a size, without an event: the largest that was measured
    /// there, hollow ones before real ones, or else what slopes say.
    pub fn estimate(&self, role: Role, quantity: Quantity, size: &Size) -> Option<Estimate> {
        let measured = |source: Source| {
            let wanted = self.complete().filter(|sample| {
                sample.role == role && sample.source == source && is_steady_at(sample, size)
            });
            let figure = largest(wanted.filter_map(|sample| sample.figure(quantity)))?;
            Some(Estimate {
                figure,
                basis: Basis::Measured,
                source,
            })
        };
        let measured = measured(Source::Hollow).or_else(|| measured(Source::Process));
        measured.or_else(|| self.predict(role, quantity, size))
    }

    /// The steepest slope at the size, and what other slopes add to it from
    /// the sizes of its samples on. Only for roles whose cost is that of one
    /// process: what serves all agents pays for each of them, so that its
    /// slopes multiply.
    fn predict(&self, role: Role, quantity: Quantity, size: &Size) -> Option<Estimate> {
        if !matches!(role, Role::Agent | Role::Judge) {
            return None;
        }
        let of_factor = |factor| self.slope_for(role, quantity, factor, size);
        let slopes: Vec<&Slope> = FACTORS.into_iter().filter_map(of_factor).collect();
        let steepest = slopes.iter().max_by(|one, other| {
            let rise = |slope: &Slope| rise(slope, &slope.base, size);
            rise(one).total_cmp(&rise(other))
        })?;
        let others = slopes.iter().filter(|slope| slope.key != steepest.key);
        let added: f64 = others.map(|slope| rise(slope, &steepest.base, size)).sum();
        let start = steepest.fit.ok()?.at(steepest.position(size));
        let is_good = slopes
            .iter()
            .all(|slope| slope.fit.is_ok_and(|fit| fit.is_good()));
        Some(Estimate {
            figure: start + added,
            basis: if is_good {
                Basis::Predicted
            } else {
                Basis::PredictedBadly
            },
            source: Source::Hollow,
        })
    }

    /// The fitted slope along a factor whose services are closest to a size's,
    /// if the size says anything of that factor.
    fn slope_for(
        &self,
        role: Role,
        quantity: Quantity,
        factor: Factor,
        size: &Size,
    ) -> Option<&Slope> {
        let slopes = self.slopes.iter().filter(|slope| {
            let key = slope.key;
            let wanted = (role, quantity, factor, Source::Hollow);
            (key.role, key.quantity, key.factor, key.source) == wanted && slope.fit.is_ok()
        });
        let distance = |slope: &&Slope| slope.base.services.abs_diff(size.services);
        slopes
            .filter(|_| size.along(factor) > 0.0)
            .min_by_key(distance)
    }

    /// The figure of an event: the worst at the largest size it was played at.
    fn estimate_event(&self, quantity: Quantity, event: EventKind) -> Option<Estimate> {
        let is_wanted =
            |sample: &&Sample| sample.event == Some(event) && sample.figure(quantity).is_some();
        let wanted: Vec<&Sample> = self.complete().filter(is_wanted).collect();
        let size = wanted.iter().map(|sample| sample.size).max_by(by_size)?;
        let mut there = wanted;
        there.retain(|sample| by_size(&sample.size, &size).is_eq());
        let figure = largest(there.iter().filter_map(|sample| sample.figure(quantity)))?;
        let is_target = is_same_fleet(&size, &self.target.size());
        let basis = if is_target {
            Basis::Measured
        } else {
            Basis::MeasuredAt(size)
        };
        let is_hollow = there.iter().any(|sample| sample.source == Source::Hollow);
        let source = if is_hollow {
            Source::Hollow
        } else {
            Source::Process
        };
        Some(Estimate {
            figure,
            basis,
            source,
        })
    }

    /// What real agents use over what hollow ones do, at the largest size where
    /// both were measured. Processor time of a round or of the worst second
    /// goes by the average if it has no pair of its own.
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

    fn budget(&self, role: Role, kind: BudgetKind) -> BudgetRow {
        let parts = kind.quantities();
        let used = match kind {
            BudgetKind::InForce => {
                self.estimate_event(Quantity::InForceMillis, EventKind::ConfigurationChange)
            }
            _ => self.estimate_with_events(role, kind),
        };
        let factors = parts
            .iter()
            .filter_map(|part| self.process_factor(role, *part));
        let is_hollow = used.is_none_or(|used| used.source == Source::Hollow);
        let factor = largest(factors).filter(|_| is_hollow);
        BudgetRow {
            role,
            kind,
            limit: kind.limit(self.target),
            used,
            process_factor: factor.map(|factor| factor.max(1.0)),
        }
    }

    /// The steady figure at the target, or that of an event if it is larger and
    /// the budget has to be kept in events as well.
    fn estimate_with_events(&self, role: Role, kind: BudgetKind) -> Option<Estimate> {
        let steady = self.estimate_sum(role, kind.quantities());
        let [quantity] = kind.quantities() else {
            return steady;
        };
        if !kind.holds_in_events() {
            return steady;
        }
        let in_events = self.complete().filter_map(|sample| {
            let is_there = is_same_fleet(&sample.size, &self.target.size());
            let event = sample.event.filter(|_| is_there && sample.role == role)?;
            Some(Estimate {
                figure: sample.figure(*quantity)?,
                basis: Basis::MeasuredIn(event),
                source: sample.source,
            })
        });
        let all = steady.into_iter().chain(in_events);
        all.max_by(|one, other| one.figure.total_cmp(&other.figure))
    }

    fn estimate_sum(&self, role: Role, parts: &[Quantity]) -> Option<Estimate> {
        let size = self.target.size();
        let estimates = parts.iter().map(|part| self.estimate(role, *part, &size));
        let estimates: Vec<Estimate> = estimates.collect::<Option<_>>()?;
        let not_measured = estimates.iter().find(|one| one.basis != Basis::Measured);
        let is_hollow = estimates.iter().any(|one| one.source == Source::Hollow);
        Some(Estimate {
            figure: estimates.iter().map(|one| one.figure).sum(),
            basis: not_measured.map_or(Basis::Measured, |one| one.basis),
            source: if is_hollow {
                Source::Hollow
            } else {
                Source::Process
            },
        })
    }

    /// All budgets, those furthest over first, those not measured last.
    pub fn budgets(&self) -> Vec<BudgetRow> {
        let rows = BUDGETS.iter().map(|&(role, kind)| self.budget(role, kind));
        let mut rows: Vec<BudgetRow> = rows.collect();
        rows.sort_by(|one, other| {
            let times = |row: &BudgetRow| row.times_of_process().unwrap_or(f64::NEG_INFINITY);
            times(other).total_cmp(&times(one))
        });
        rows
    }

    /// The sizes at which budgets are used up, those furthest below the target
    /// first. Only costs that grow are listed.
    pub fn limits(&self) -> Vec<LimitRow> {
        let mut rows = Vec::new();
        for row in self.budgets() {
            for factor in FACTORS {
                rows.extend(self.limit(&row, factor));
            }
        }
        rows.sort_by(|one, other| {
            let share = |row: &LimitRow| row.size / row.target;
            share(one).total_cmp(&share(other))
        });
        rows
    }

    fn limit(&self, row: &BudgetRow, factor: Factor) -> Option<LimitRow> {
        let size = self.target.size();
        let parts = row.kind.quantities().iter();
        let parts = parts.map(|&quantity| self.slope_for(row.role, quantity, factor, &size));
        let parts: Vec<&Slope> = parts.collect::<Option<_>>()?;
        let scale = row.process_factor.unwrap_or(1.0);
        // In parts of the target's size along the factor.
        let cost = |part: f64| {
            let fits = parts
                .iter()
                .filter_map(|slope| Some((slope, slope.fit.ok()?)));
            let costs = fits.map(|(slope, fit)| fit.at(slope.position(&size) * part));
            costs.sum::<f64>() * scale
        };
        let target = size.along(factor);
        Some(LimitRow {
            role: row.role,
            kind: row.kind,
            factor,
            services: parts.first()?.key.services,
            size: part_of_cost(cost, row.limit)? * target,
            target,
        })
    }
}

/// How far beyond the target a limit is looked for.
const FARTHEST: f64 = 1e3;
const BISECTIONS: u32 = 60;

/// The part of the target's size at which a growing cost reaches a limit, if it
/// does within [`FARTHEST`] times the target.
fn part_of_cost(cost: impl Fn(f64) -> f64, limit: f64) -> Option<f64> {
    let (mut low, mut high) = (0.0, FARTHEST);
    if cost(high) < limit {
        return None;
    }
    for _ in 0..BISECTIONS {
        let middle = (low + high) / 2.0;
        if cost(middle) < limit {
            low = middle;
        } else {
            high = middle;
        }
    }
    Some(high)
}

fn rise(slope: &Slope, from: &Size, to: &Size) -> f64 {
    match slope.fit {
        Ok(fit) => fit.at(slope.position(to)) - fit.at(slope.position(from)),
        Err(_) => 0.0,
    }
}

/// Whether a sample says what a fleet of this size uses without an event.
fn is_steady_at(sample: &Sample, size: &Size) -> bool {
    let is_whole = matches!(sample.experiment, Experiment::Budget | Experiment::Predict);
    let is_whole = is_whole || sample.held_back;
    is_whole && sample.event.is_none() && is_same_fleet(&sample.size, size)
}

/// Whether agents, appliances and services are as many.
pub fn is_same_fleet(one: &Size, other: &Size) -> bool {
    let counts = |size: &Size| (size.agents, size.listed_appliances, size.services);
    counts(one) == counts(other)
}

/// Smaller fleets first.
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

fn largest(figures: impl Iterator<Item = f64>) -> Option<f64> {
    figures.max_by(f64::total_cmp)
}
