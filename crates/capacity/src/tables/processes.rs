//! The table of hollow agents compared with real processes.
use crate::analysis::Analysis;
use crate::markdown::Table;
use crate::words;

/// One row for each figure that was measured on both at the same size.
pub(super) fn processes(analysis: &Analysis) -> String {
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
