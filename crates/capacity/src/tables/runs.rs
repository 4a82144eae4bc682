//! The table of runs.
use std::collections::BTreeSet;

use crate::analysis::{Analysis, by_size};
use crate::markdown::Table;
use crate::result::{Sample, Size};
use crate::words;

/// One row for each command, with the number of its samples.
pub(super) fn runs(analysis: &Analysis) -> String {
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
