//! The table of roles.
use crate::analysis::Analysis;
use crate::estimate::{Basis, Estimate};
use crate::markdown::Table;
use crate::result::{Quantity, Role};
use crate::words;

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

/// The cost of each role today and at the target.
pub(super) fn roles(analysis: &Analysis) -> String {
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
    let suffix = match estimate.basis {
        Basis::Measured | Basis::MeasuredIn { .. } | Basis::MeasuredAt(_) => "",
        Basis::Extended { fits, .. } | Basis::Predicted { fits } => {
            if fits {
                " p"
            } else {
                " p?"
            }
        }
    };
    words::number(estimate.figure) + suffix
}
