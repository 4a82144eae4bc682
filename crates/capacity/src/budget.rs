//! The budgets of a target beside what it is expected to use of them.
use crate::analysis::{Analysis, FACTORS, largest};
use crate::estimate::{Basis, Estimate};
use crate::fit::Slope;
use crate::result::{EventKind, Factor, Quantity, Role, Source};
use crate::target::Target;

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

    /// Whether the budget has to be kept in an event. Averages do where the
    /// event is a part of ordinary operation, all others always.
    pub fn holds_in(self, event: EventKind) -> bool {
        match self {
            BudgetKind::CoreInWorstSecond
            | BudgetKind::Round
            | BudgetKind::AddedLatency
            | BudgetKind::Memory => true,
            BudgetKind::Core | BudgetKind::Bytes => {
                matches!(event, EventKind::OrdinaryDay | EventKind::ManyReleases)
            }
            BudgetKind::InForce | BudgetKind::ControlMachines => false,
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
    (Role::Aggregator, BudgetKind::Core),
    (Role::Aggregator, BudgetKind::Memory),
    (Role::Aggregator, BudgetKind::Bytes),
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

impl Analysis<'_> {
    fn budget(&self, role: Role, kind: BudgetKind) -> BudgetRow {
        let parts = kind.quantities();
        let used = match kind {
            BudgetKind::InForce => {
                self.largest_event(Quantity::InForceMillis, EventKind::ConfigurationChange)
            }
            _ => self.used(role, kind),
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
    /// the budget has to be kept there; without either, what was measured in
    /// the largest fleet, except for an agent, which has slopes.
    fn used(&self, role: Role, kind: BudgetKind) -> Option<Estimate> {
        let parts = kind.quantities();
        let steady = self.estimate_sum(role, parts);
        let event = self.worst_event(role, parts, |event| kind.holds_in(event));
        let all = steady.into_iter().chain(event);
        let most = all.max_by(|one, other| one.figure.total_cmp(&other.figure));
        most.or_else(|| self.nearest(role, parts).filter(|_| role != Role::Agent))
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
    /// first. Only costs that grow along slopes that fit are listed.
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
        let is_good = |slope: &&Slope| slope.fit.is_ok_and(|fit| fit.is_good());
        let is_flat = parts.iter().all(|slope| slope.is_flat());
        if is_flat || !parts.iter().all(is_good) {
            return None;
        }
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
