//! Ends departures whose nodes are back to the baseline.
use std::time::Duration;

use super::FleetMonitor;
use super::limits::raised;
use super::settings::{CALM, MOST, PRIOR_WEIGHT};
use super::signals::{ALL_CLASSES, Signal};
use crate::entry::DepartureKind;

/// An open departure, and whether its members are back to the baseline at this tick.
struct Progress {
    number: u32,
    kind: DepartureKind,
    is_back: bool,
}

impl FleetMonitor {
    /// Ends the departures that have been back to the baseline for long enough.
    pub(super) fn end_recovered(&mut self, now: Duration) {
        let progress: Vec<Progress> = self
            .open
            .values()
            .map(|open| {
                let is_back = self.is_back(now, open.number, open.kind);
                Progress {
                    number: open.number,
                    kind: open.kind,
                    is_back,
                }
            })
            .collect();
        for one in progress {
            if self.has_recovered(now, &one) {
                self.end_departure(now, one.number);
            }
        }
    }

    /// Whether most members of a departure are back to the baseline.
    fn is_back(&self, now: Duration, number: u32, kind: DepartureKind) -> bool {
        let of_departure = self
            .nodes
            .iter()
            .filter(|(_, watched)| watched.is_member(kind, number));
        let members: Vec<u32> = of_departure.map(|(node, _)| *node).collect();
        let calm = members
            .iter()
            .filter(|node| self.is_calm(now, **node, kind))
            .count();
        calm as f64 >= MOST * members.len() as f64
    }

    /// Notes at the first member since when the departure has been back to the baseline. Returns whether that is long
    /// enough, or whether no member is left.
    fn has_recovered(&mut self, now: Duration, progress: &Progress) -> bool {
        let (kind, number) = (progress.kind, progress.number);
        let first = self
            .nodes
            .values_mut()
            .find(|watched| watched.is_member(kind, number));
        let Some(first) = first else { return true };
        first.calm_since = if progress.is_back {
            first.calm_since.or(Some(now))
        } else {
            None
        };
        first.calm_since.is_some_and(|since| now >= since + CALM)
    }

    /// Whether a node shows no more bad observations of a kind now than in its baseline.
    fn is_calm(&self, now: Duration, node: u32, kind: DepartureKind) -> bool {
        let Some(watched) = self.nodes.get(&node) else {
            return true;
        };
        if kind == DepartureKind::Silence {
            return watched.received_recently(now);
        }
        let signals = watched.signals.of(kind);
        signals
            .iter()
            .enumerate()
            .all(|(place, signal)| self.signal_is_calm(now, signal, kind, place))
    }

    /// Whether a signal's recent observations are as in its baseline. Without any, that of one request class is calm,
    /// and that of all classes is not: nothing shows that the node is back.
    fn signal_is_calm(
        &self,
        now: Duration,
        signal: &Signal,
        kind: DepartureKind,
        place: usize,
    ) -> bool {
        let recent = signal.baseline.recent(now);
        if recent.weight == 0.0 {
            return place != ALL_CLASSES;
        }
        let baseline = signal
            .baseline
            .mean(self.fleet_share(kind, place), PRIOR_WEIGHT);
        recent.sum <= raised(baseline, kind) * recent.weight + 1.0
    }
}
