//! Ends departures whose members have recovered, that is, are back to their baselines.
use std::time::Duration;

use super::FleetMonitor;
use super::limits::tolerated_share;
use super::settings::{MAJORITY_SHARE, PRIOR_WEIGHT, RECOVERY_DURATION};
use super::signals::{ALL_CLASSES, Signal};
use crate::entry::DepartureKind;

/// An open departure, and whether most of its members have recovered at this tick.
struct RecoveryState {
    number: u32,
    kind: DepartureKind,
    is_recovered: bool,
}

impl FleetMonitor {
    /// Ends the departures that have been recovered for [`RECOVERY_DURATION`].
    pub(super) fn end_recovered(&mut self, now: Duration) {
        let recoveries: Vec<RecoveryState> = self
            .open_departures
            .values()
            .map(|open| {
                let is_recovered = self.is_recovered(now, open.number, open.kind);
                RecoveryState {
                    number: open.number,
                    kind: open.kind,
                    is_recovered,
                }
            })
            .collect();
        for recovery in recoveries {
            if self.update_recovery(now, &recovery) {
                self.end_departure(now, recovery.number);
            }
        }
    }

    /// Whether most members of a departure have recovered.
    fn is_recovered(&self, now: Duration, number: u32, kind: DepartureKind) -> bool {
        let member_nodes = self
            .nodes
            .iter()
            .filter(|(_, watched)| watched.is_member(kind, number));
        let members: Vec<u32> = member_nodes.map(|(node, _)| *node).collect();
        let recovered = members
            .iter()
            .filter(|node| self.node_is_recovered(now, **node, kind))
            .count();
        recovered as f64 >= MAJORITY_SHARE * members.len() as f64
    }

    /// Updates, at the first member, since when the departure has been recovered. Returns whether it is to end: it has
    /// been recovered for [`RECOVERY_DURATION`], or has no members left.
    fn update_recovery(&mut self, now: Duration, recovery: &RecoveryState) -> bool {
        let (kind, number) = (recovery.kind, recovery.number);
        let first = self
            .nodes
            .values_mut()
            .find(|watched| watched.is_member(kind, number));
        let Some(first) = first else { return true };
        first.recovered_since = if recovery.is_recovered {
            first.recovered_since.or(Some(now))
        } else {
            None
        };
        first
            .recovered_since
            .is_some_and(|since| now >= since + RECOVERY_DURATION)
    }

    /// Whether the recent share of bad observations of a kind at a node is within its baseline.
    fn node_is_recovered(&self, now: Duration, node: u32, kind: DepartureKind) -> bool {
        let Some(watched) = self.nodes.get(&node) else {
            return true;
        };
        if kind == DepartureKind::Silence {
            return watched.received_recently(now);
        }
        let signals = watched.signals.of_kind(kind);
        signals
            .iter()
            .enumerate()
            .all(|(index, signal)| self.signal_is_recovered(now, signal, kind, index))
    }

    /// Whether the recent observations of a signal are within its baseline. Without recent observations, the signal of
    /// a single request class counts as recovered, but the one over all classes does not, since nothing shows that the
    /// node has recovered.
    fn signal_is_recovered(
        &self,
        now: Duration,
        signal: &Signal,
        kind: DepartureKind,
        index: usize,
    ) -> bool {
        let recent = signal.baseline.recent(now);
        if recent.weight == 0.0 {
            return index != ALL_CLASSES;
        }
        let baseline = signal
            .baseline
            .mean(self.fleet_share(kind, index), PRIOR_WEIGHT);
        recent.sum <= tolerated_share(baseline, kind) * recent.weight + 1.0
    }
}
