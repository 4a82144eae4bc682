//! Aggregation of the reports that a relay receives from its group.
use std::collections::BTreeMap;
use std::ops::Bound;
use std::time::Duration;

use super::codec::MAX_ENTRIES;
use crate::state::evidence::{OutcomeCounts, OutcomeEntry, OutcomeKey, WorkSums};

/// The counts that a relay has received from its group and not yet forwarded.
#[derive(Debug, Default)]
pub(crate) struct ReportAggregate {
    counts: BTreeMap<OutcomeKey, OutcomeCounts<u32>>,
    work: WorkSums<u32>,
    /// The last key that was forwarded; the next report begins with the key after it.
    last_key: OutcomeKey,
    /// Earliest time of the next report.
    pub(crate) next_report_at: Duration,
}

/// The content of one report of a relay.
#[derive(Debug)]
pub(crate) struct AggregatedReport {
    pub(crate) work: WorkSums<u16>,
    pub(crate) entries: Vec<OutcomeEntry>,
}

impl ReportAggregate {
    /// Adds the sums and counts of a report.
    pub(crate) fn add(&mut self, work: WorkSums<u16>, entries: impl Iterator<Item = OutcomeEntry>) {
        let sums = add_each(self.work.to_array(), work.map(u32::from).to_array());
        self.work = WorkSums::from_array(sums);
        for entry in entries {
            let counts = self.counts.entry(entry.key).or_default();
            let added = entry.counts.map(u32::from).to_array();
            *counts = OutcomeCounts::from_array(add_each(counts.to_array(), added));
        }
    }

    /// Whether there is anything to forward.
    pub(crate) fn has_counts(&self) -> bool {
        !self.counts.is_empty()
    }

    /// Takes as many counts as fit into one report and leaves the rest. Keys take turns, so that none is postponed
    /// indefinitely by others. Counts that exceed the range of one entry take several entries.
    pub(crate) fn take(&mut self) -> AggregatedReport {
        let later_keys = self
            .counts
            .range((Bound::Excluded(self.last_key), Bound::Unbounded));
        let keys: Vec<OutcomeKey> = later_keys
            .chain(self.counts.range(..=self.last_key))
            .map(|(&key, _)| key)
            .collect();
        let mut entries = Vec::new();
        for key in keys {
            let Some(counts) = self.counts.get_mut(&key) else {
                continue;
            };
            while !is_empty(counts) && entries.len() < MAX_ENTRIES {
                let split = take_share(counts.to_array(), u8::MAX.into());
                *counts = OutcomeCounts::from_array(split.left);
                let counts = OutcomeCounts::from_array(split.taken).map(|count| count as u8);
                entries.push(OutcomeEntry { key, counts });
                self.last_key = key;
            }
        }
        self.counts.retain(|_, counts| !is_empty(counts));
        let split = take_share(self.work.to_array(), u16::MAX.into());
        self.work = WorkSums::from_array(split.left);
        AggregatedReport {
            work: WorkSums::from_array(split.taken).map(|sum| sum as u16),
            entries,
        }
    }
}

fn is_empty(counts: &OutcomeCounts<u32>) -> bool {
    counts.to_array() == [0; 4]
}

fn add_each<const N: usize>(sums: [u32; N], added: [u32; N]) -> [u32; N] {
    std::array::from_fn(|i| sums[i].saturating_add(added[i]))
}

/// Numbers that were divided into a part that was taken and a part that is left.
struct Split<const N: usize> {
    taken: [u32; N],
    left: [u32; N],
}

/// Takes the same share of each number, the largest share for which no part exceeds `max`. Both parts so keep the
/// ratios of the numbers, such as the failure rate, apart from rounding.
fn take_share<const N: usize>(numbers: [u32; N], max: u32) -> Split<N> {
    let largest = numbers.iter().copied().max().unwrap_or_default();
    let taken = numbers.map(|number| {
        if largest <= max {
            number
        } else {
            (u64::from(number) * u64::from(max) / u64::from(largest)) as u32
        }
    });
    let left = std::array::from_fn(|i| numbers[i] - taken[i]);
    Split { taken, left }
}
