//! The generated parts of the capacity page, as Markdown.
use std::collections::BTreeSet;

use crate::analysis::{Analysis, FACTORS, by_size};
use crate::budget::BudgetRow;
use crate::estimate::{Basis, Estimate};
use crate::fit::{Fit, Slope};
use crate::markdown::Table;
use crate::result::{EventKind, Quantity, Role, Sample, Size};
use crate::target::Target;
use crate::{detection_table, words};

/// A generated part of the page.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Part {
    /// The fleets of today and of the target.
    Sizes,
    /// What each role uses.
    Roles,
    /// Budgets, those furthest over first.
    Budgets,
    /// The size at which each budget is used up.
    Limits,
    /// All slopes.
    Slopes,
    /// Held back sizes beside what slopes say of them.
    Predictions,
    /// Hollow agents beside real ones.
    Processes,
    /// Events.
    Events,
    /// Time to a verdict.
    Verdicts,
    /// What was interrupted, and all commands.
    Runs,
}

impl Part {
    /// All parts, in the order of the page.
    pub const ALL: [Part; 10] = [
        Part::Sizes,
        Part::Roles,
        Part::Budgets,
        Part::Limits,
        Part::Slopes,
        Part::Predictions,
        Part::Processes,
        Part::Events,
        Part::Verdicts,
        Part::Runs,
    ];

    /// The name in the marks of the page.
    pub fn name(self) -> &'static str {
        match self {
            Part::Sizes => "sizes",
            Part::Roles => "roles",
            Part::Budgets => "budgets",
            Part::Limits => "limits",
            Part::Slopes => "slopes",
            Part::Predictions => "predictions",
            Part::Processes => "processes",
            Part::Events => "events",
            Part::Verdicts => "verdicts",
            Part::Runs => "runs",
        }
    }

    /// The part of that name.
    pub fn named(name: &str) -> Option<Part> {
        Part::ALL.into_iter().find(|part| part.name() == name)
    }

    /// The part's text, which ends with a line break.
    pub fn render(self, analysis: &Analysis) -> String {
        match self {
            Part::Sizes => sizes(analysis.target),
            Part::Roles => roles(analysis),
            Part::Budgets => budgets(analysis),
            Part::Limits => limits(analysis),
            Part::Slopes => slopes(analysis),
            Part::Predictions => predictions(analysis),
            Part::Processes => processes(analysis),
            Part::Events => events(analysis),
            Part::Verdicts => detection_table::detections(analysis),
            Part::Runs => runs(analysis),
        }
    }
}

fn sizes(target: &Target) -> String {
    let mut table = Table::new(&["size", "today", "target"]);
    let goal = target.size();
    for factor in FACTORS {
        let [today, goal] = [&target.today, &goal].map(|size| size.along(factor));
        if goal > 0.0 {
            let today = if today > 0.0 {
                words::number(today)
            } else {
                "-".into()
            };
            table.row(&[words::factor(factor).into(), today, words::number(goal)]);
        }
    }
    for (what, figure) in other_sizes(target) {
        table.row(&[what, "-", &figure]);
    }
    table.finish()
}

fn other_sizes(target: &Target) -> Vec<(&'static str, String)> {
    let seconds = |time: std::time::Duration| format!("{} s", words::number(time.as_secs_f64()));
    let failures = &target.failures;
    vec![
        (
            "requests/s of an agent at a service",
            words::number(target.rate_per_agent_and_service()),
        ),
        (
            "appliances of the largest service, at least",
            words::number(target.services.largest.into()),
        ),
        ("regions", words::number(target.places.regions.into())),
        (
            "zones over all regions",
            words::number(target.places.zones.into()),
        ),
        (
            "appliances of a rack",
            words::number(target.places.rack_size.into()),
        ),
        (
            "changes of configuration a day",
            words::number(target.changes.per_day),
        ),
        (
            "in force everywhere within",
            seconds(target.changes.in_force_within),
        ),
        (
            "machines that fail a day",
            words::number(failures.machines_per_day),
        ),
        (
            "machines restarted or replaced a day",
            words::number(failures.restarts_per_day),
        ),
        (
            "racks that fail a year",
            words::number(failures.racks_per_year),
        ),
        (
            "zones that fail a year",
            words::number(failures.zones_per_year),
        ),
        (
            "partitions of regions a year",
            words::number(failures.partitions_per_year),
        ),
        ("a partition lasts", seconds(failures.partition_lasts)),
    ]
}

const ROLES: [Role; 6] = [
    Role::Agent,
    Role::Aggregator,
    Role::Discovery,
    Role::Platform,
    Role::Appliance,
    Role::Control,
];

const ROLE_QUANTITIES: [Quantity; 7] = [
    Quantity::StateEntries,
    Quantity::MessagesInPerSecond,
    Quantity::MessagesOutPerSecond,
    Quantity::BytesInPerSecond,
    Quantity::BytesOutPerSecond,
    Quantity::ControlCorePercent,
    Quantity::MemoryMegabytes,
];

fn roles(analysis: &Analysis) -> String {
    let mut head = vec!["role", "size"];
    head.extend(ROLE_QUANTITIES.map(words::quantity));
    let mut table = Table::new(&head);
    let sizes = [
        ("today", analysis.target.today),
        ("target", analysis.target.size()),
    ];
    for role in ROLES {
        for (name, size) in &sizes {
            let mut cells = vec![words::role(role).to_owned(), (*name).to_owned()];
            let estimate = |quantity| analysis.estimate(role, quantity, size);
            cells.extend(ROLE_QUANTITIES.map(|quantity| estimate_text(estimate(quantity))));
            table.row(&cells);
        }
    }
    format!(
        "p: worked out from slopes, or measured near this size with other sizes added by slopes; p?: the same without slopes \
         that do not fit; no mark: measured.\n\n{}",
        table.finish()
    )
}

fn estimate_text(estimate: Option<Estimate>) -> String {
    let Some(estimate) = estimate else {
        return words::NOT_MEASURED.into();
    };
    let mark = match estimate.basis {
        Basis::Measured | Basis::MeasuredIn { .. } | Basis::MeasuredAt(_) => "",
        Basis::Extended { fits, .. } | Basis::Predicted { fits } => {
            if fits {
                " p"
            } else {
                " p?"
            }
        }
    };
    words::number(estimate.figure) + mark
}

fn budgets(analysis: &Analysis) -> String {
    let head = [
        "role",
        "budget",
        "figure at the target",
        "from",
        "limit",
        "times over",
        "process over hollow",
        "times over, as a process",
    ];
    let mut table = Table::new(&head);
    for row in analysis.budgets() {
        let figure = row.used.map(|used| used.figure);
        table.row(&[
            words::role(row.role).into(),
            words::budget(row.kind).into(),
            words::number_or_not(figure),
            basis_text(&row),
            words::number(row.limit),
            words::number_or_not(row.times()),
            words::number_or_not(row.process_factor),
            words::number_or_not(row.times_of_process()),
        ]);
    }
    table.finish()
}

fn basis_text(row: &BudgetRow) -> String {
    let Some(used) = row.used else {
        return "-".into();
    };
    let source = words::source(used.source);
    match used.basis {
        Basis::Measured => format!("measured, {source}"),
        Basis::MeasuredIn { event, size } => {
            let event = words::event(event);
            format!("measured, {source}, {event}, {}", words::fleet(&size))
        }
        Basis::MeasuredAt(size) => format!("measured, {source}, at {}", words::fleet(&size)),
        Basis::Extended { from, fits } => {
            let size = words::fleet(&from);
            format!("measured, {source}, at {size}, and {}", slopes_text(fits))
        }
        Basis::Predicted { fits } => slopes_text(fits).into(),
    }
}

fn slopes_text(fits: bool) -> &'static str {
    if fits {
        "slopes"
    } else {
        "slopes, without those that do not fit"
    }
}

fn limits(analysis: &Analysis) -> String {
    let head = [
        "role",
        "budget",
        "along",
        "services",
        "used up at",
        "target",
        "share of the target",
    ];
    let mut table = Table::new(&head);
    for row in analysis.limits() {
        table.row(&[
            words::role(row.role).into(),
            words::budget(row.kind).into(),
            words::factor(row.factor).into(),
            services_text(row.services),
            words::number(row.size),
            words::number(row.target),
            words::number(row.size / row.target),
        ]);
    }
    table.finish()
}

fn slopes(analysis: &Analysis) -> String {
    let head = [
        "role", "cost", "x", "services", "run", "sizes", "terms", "a", "b", "c", "residual", "fits",
    ];
    let mut table = Table::new(&head);
    for slope in analysis.slopes.iter().filter(|slope| !slope.is_flat()) {
        let key = slope.key;
        let mut cells = vec![
            words::role(key.role).to_owned(),
            words::quantity(key.quantity).to_owned(),
            words::factor(key.factor).to_owned(),
            services_text(key.services),
            words::source(key.source).to_owned(),
            sizes_text(slope),
        ];
        match slope.fit {
            Ok(fit) => cells.extend(fit_cells(&fit)),
            Err(error) => {
                cells.push(error.to_string());
                cells.extend(["-"; 5].map(str::to_owned));
            }
        }
        table.row(&cells);
    }
    table.finish()
}

fn services_text(services: Option<u32>) -> String {
    services.map_or_else(|| "-".into(), |count| words::number(count.into()))
}

fn sizes_text(slope: &Slope) -> String {
    let mut sizes: Vec<f64> = slope.points.iter().map(|point| point.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let sizes: Vec<String> = sizes.into_iter().map(words::number).collect();
    sizes.join("; ")
}

fn fit_cells(fit: &Fit) -> [String; 6] {
    [
        words::shape(fit.shape).into(),
        words::number(fit.intercept),
        words::number(fit.slope),
        words::number(fit.curve),
        words::percent(fit.residual),
        (if fit.is_good() { "yes" } else { "no" }).into(),
    ]
}

fn predictions(analysis: &Analysis) -> String {
    let head = [
        "role",
        "cost",
        "x",
        "services",
        "run",
        "size",
        "measured",
        "predicted",
        "error",
    ];
    let mut table = Table::new(&head);
    for slope in analysis.slopes.iter().filter(|slope| !slope.is_flat()) {
        for prediction in slope.predictions() {
            table.row(&[
                words::role(slope.key.role).into(),
                words::quantity(slope.key.quantity).into(),
                words::factor(slope.key.factor).into(),
                services_text(slope.key.services),
                words::source(slope.key.source).into(),
                words::number(prediction.measured.size),
                words::number(prediction.measured.figure),
                words::number(prediction.predicted),
                words::percent(prediction.relative_error()),
            ]);
        }
    }
    table.finish()
}

fn processes(analysis: &Analysis) -> String {
    let head = [
        "role",
        "figure",
        "size",
        "requests/s",
        "hollow",
        "process",
        "process over hollow",
    ];
    let mut table = Table::new(&head);
    for pair in &analysis.pairs {
        table.row(&[
            words::role(pair.role).into(),
            words::quantity(pair.quantity).into(),
            words::fleet(&pair.size),
            words::number(pair.size.request_rate),
            words::number(pair.hollow),
            words::number(pair.process),
            pair.factor().map_or_else(|| "-".into(), words::number),
        ]);
    }
    table.finish()
}

const EVENTS: [EventKind; 7] = [
    EventKind::ConfigurationChange,
    EventKind::OrdinaryDay,
    EventKind::RackLoss,
    EventKind::ZoneLoss,
    EventKind::RegionRestart,
    EventKind::RegionPartition,
    EventKind::ManyReleases,
];

const EVENT_QUANTITIES: [Quantity; 11] = [
    Quantity::InForceMillis,
    Quantity::ReadyMillis,
    Quantity::RestartBytes,
    Quantity::WorstSecondCorePercent,
    Quantity::WorstRoundMicros,
    Quantity::MemoryMegabytes,
    Quantity::SpreadMost,
    Quantity::SpreadLeast,
    Quantity::MovedShare,
    Quantity::RefusedRequests,
    Quantity::BrokenRules,
];

/// One row for each event, role and size: the worst over its seeds.
fn events(analysis: &Analysis) -> String {
    let mut head = vec!["event", "role", "run", "size", "seeds"];
    head.extend(EVENT_QUANTITIES.map(words::quantity));
    let mut table = Table::new(&head);
    for event in EVENTS {
        let groups = event_groups(analysis.samples, event);
        if groups.is_empty() {
            let mut cells = vec![words::event(event), words::NOT_MEASURED];
            cells.resize(head.len(), "-");
            table.row(&cells);
        }
        for group in groups {
            table.row(&event_cells(event, &group));
        }
    }
    table.finish()
}

fn event_groups(samples: &[Sample], event: EventKind) -> Vec<Vec<&Sample>> {
    let is_wanted = |sample: &&Sample| sample.complete && sample.event == Some(event);
    let mut wanted: Vec<&Sample> = samples.iter().filter(is_wanted).collect();
    let order = |one: &Sample, other: &Sample| {
        let keys = |sample: &Sample| (sample.role, sample.source);
        keys(one)
            .cmp(&keys(other))
            .then(by_size(&one.size, &other.size))
    };
    wanted.sort_by(|one, other| order(one, other));
    let groups = wanted.chunk_by(|one, other| order(one, other).is_eq());
    groups.map(<[&Sample]>::to_vec).collect()
}

fn event_cells(event: EventKind, group: &[&Sample]) -> Vec<String> {
    let seeds: BTreeSet<u64> = group.iter().map(|sample| sample.seed).collect();
    let mut cells = vec![
        words::event(event).to_owned(),
        words::role(group[0].role).to_owned(),
        words::source(group[0].source).to_owned(),
        words::fleet(&group[0].size),
        seeds.len().to_string(),
    ];
    let worst = |quantity: Quantity| {
        let figures = group.iter().filter_map(|sample| sample.figure(quantity));
        let figure = match quantity {
            Quantity::SpreadLeast => figures.min_by(f64::total_cmp),
            _ => figures.max_by(f64::total_cmp),
        };
        figure.map_or_else(|| "-".into(), words::number)
    };
    cells.extend(EVENT_QUANTITIES.map(worst));
    cells
}

fn runs(analysis: &Analysis) -> String {
    let mut table = Table::new(&["command", "run", "samples", "interrupted", "largest size"]);
    let samples = analysis.samples;
    let kinds: BTreeSet<_> = samples
        .iter()
        .map(|one| (&one.command, one.source))
        .collect();
    for (command, source) in kinds {
        let is_wanted = |one: &&Sample| &one.command == command && one.source == source;
        let wanted: Vec<&Sample> = samples.iter().filter(is_wanted).collect();
        let interrupted = wanted.iter().filter(|sample| !sample.complete).count();
        let largest = wanted.iter().map(|sample| sample.size).max_by(by_size);
        let largest: Size = largest.unwrap_or_default();
        table.row(&[
            format!("`{command}`"),
            words::source(source).into(),
            wanted.len().to_string(),
            interrupted.to_string(),
            words::fleet(&largest),
        ]);
    }
    table.finish()
}
