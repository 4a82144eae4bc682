//! The table of events.
use std::collections::BTreeSet;

use crate::analysis::{Analysis, by_size};
use crate::markdown::Table;
use crate::result::{EventKind, Quantity, Sample};
use crate::words;

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
pub(super) fn events(analysis: &Analysis) -> String {
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
