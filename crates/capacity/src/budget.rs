//! The budgets of a target, compared with its expected cost.
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
    /// Processor time of the longest round, which may delay a request.
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
    /// The quantities whose sum is budgeted.
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

    /// Whether the budget applies during an event. Budgets of averages apply if
    /// the event is a part of ordinary operation, those of maxima always.
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

    /// The limit, in the unit of its quantities.
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

/// A budget of a role.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RoleBudget {
    /// The role whose cost counts.
    pub role: Role,
    /// The budget.
    pub kind: BudgetKind,
}

impl RoleBudget {
    const fn new(role: Role, kind: BudgetKind) -> Self {
        RoleBudget { role, kind }
    }
}

/// All budgets that are compared with a cost.
pub const BUDGETS: [RoleBudget; 11] = [
    RoleBudget::new(Role::Agent, BudgetKind::Core),
    RoleBudget::new(Role::Agent, BudgetKind::CoreInWorstSecond),
    RoleBudget::new(Role::Agent, BudgetKind::Round),
    RoleBudget::new(Role::Agent, BudgetKind::AddedLatency),
    RoleBudget::new(Role::Agent, BudgetKind::Memory),
    RoleBudget::new(Role::Agent, BudgetKind::Bytes),
    RoleBudget::new(Role::Agent, BudgetKind::InForce),
    RoleBudget::new(Role::Aggregator, BudgetKind::Core),
    RoleBudget::new(Role::Aggregator, BudgetKind::Memory),
    RoleBudget::new(Role::Aggregator, BudgetKind::Bytes),
    RoleBudget::new(Role::Control, BudgetKind::ControlMachines),
];

/// A budget and the expected cost of the target.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct BudgetRow {
    /// The role whose cost counts.
    pub role: Role,
    /// The budget.
    pub kind: BudgetKind,
    /// The limit, in the unit of the budget's quantities.
    pub limit: f64,
    /// The cost at the target, of hollow agents if these were measured.
    pub used: Option<Estimate>,
    /// The ratio of the cost of real agents to that of hollow ones, at least 1;
    /// `None` if it was not measured.
    pub process_factor: Option<f64>,
}

impl BudgetRow {
    /// The ratio of the cost to the limit.
    pub fn times(&self) -> Option<f64> {
        Some(self.used?.figure / self.limit)
    }

    /// The same with the factor of real agents, if it was measured.
    pub fn times_of_process(&self) -> Option<f64> {
        Some(self.times()? * self.process_factor.unwrap_or(1.0))
    }
}

/// The size at which a budget is used up, along one factor.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct LimitRow {
    /// The role whose cost counts.
    pub role: Role,
    /// The budget.
    pub kind: BudgetKind,
    /// The size that grows; all others stay as in the slope's samples.
    pub factor: Factor,
    /// The services of these samples, unless the services grow.
    pub services: Option<u32>,
    /// The size.
    pub size: f64,
    /// The target's size.
    pub target: f64,
}

impl Analysis<'_> {
    fn budget(&self, RoleBudget { role, kind }: RoleBudget) -> BudgetRow {
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
    /// the budget applies to it; without either, the figure of the largest
    /// fleet that was measured, except for an agent, which has slopes.
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

    /// All budgets, those exceeded most first, those not measured last.
    pub fn budgets(&self) -> Vec<BudgetRow> {
        let rows = BUDGETS.iter().map(|budget| self.budget(*budget));
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
        // The cost at a part of the target's size along the factor.
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

/// The largest size that a limit is searched at, in multiples of the target.
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
