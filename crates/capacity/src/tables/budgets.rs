//! The tables of budgets and of the sizes that use them up.
use super::services_text;
use crate::analysis::Analysis;
use crate::budget::BudgetRow;
use crate::estimate::Basis;
use crate::markdown::Table;
use crate::words;

/// The budgets, those exceeded most first.
pub(super) fn budgets(analysis: &Analysis) -> String {
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

/// The size at which each budget is used up.
pub(super) fn limits(analysis: &Analysis) -> String {
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
