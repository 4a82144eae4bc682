//! Confirms departures of nodes whose evidence has stayed above the threshold, and departures that show only in the
//! fleet as a whole.
use std::time::Duration;

use super::FleetMonitor;
use super::departures::Finding;
use super::node::WatchedNode;
use super::settings::{CONFIRMATION_DELAY, MAJORITY_SHARE, MIN_FLEET_NODES, RECOVERY_DURATION};
use super::signals::{ALL_CLASSES, TESTED_KINDS};
use crate::entry::{DepartureKind, DepartureScope};

/// A node whose evidence for a kind of departure has stayed above the threshold for [`CONFIRMATION_DELAY`].
struct Alarm {
    node: u32,
    kind: DepartureKind,
}

impl FleetMonitor {
    /// Opens the departures whose evidence is sufficient.
    pub(super) fn confirm(&mut self, now: Duration) {
        let threshold = self.threshold();
        for Alarm { node, kind } in self.certain_alarms(now, threshold) {
            // A departure opened earlier in this loop may already include the node.
            if self
                .nodes
                .get(&node)
                .is_some_and(|watched| watched.is_reportable(kind))
            {
                self.confirm_at_node(now, node, kind, threshold);
            }
        }
        for kind in TESTED_KINDS {
            if self.fleet_is_certain(kind, threshold) {
                self.confirm_in_fleet(now, kind);
            }
        }
    }

    /// The alarms of nodes whose evidence has stayed above the threshold for [`CONFIRMATION_DELAY`].
    fn certain_alarms(&mut self, now: Duration, threshold: f64) -> Vec<Alarm> {
        let mut certain = Vec::new();
        for (&node, watched) in &mut self.nodes {
            for kind in TESTED_KINDS {
                let since = update_alarms(watched, now, kind, threshold);
                let long_enough = since.is_some_and(|at| now >= at + CONFIRMATION_DELAY);
                if long_enough && watched.is_reportable(kind) {
                    certain.push(Alarm { node, kind });
                }
            }
        }
        certain
    }

    /// Whether the evidence of the fleet is above the threshold and no departure of this kind is open. Load is
    /// excluded.
    fn fleet_is_certain(&self, kind: DepartureKind, threshold: f64) -> bool {
        let is_open = self.open_departures.values().any(|open| open.kind == kind);
        kind != DepartureKind::Load && !is_open && self.fleet.any_reaches(kind, threshold)
    }

    /// Opens a departure of the fleet if the recent share of bad observations of most active nodes exceeds the fleet's
    /// limit. Comparing the nodes with each other may not show such a departure, since all may have changed alike.
    fn confirm_in_fleet(&mut self, now: Duration, kind: DepartureKind) {
        let limit = self.fleet_limit(now, kind, ALL_CLASSES).unwrap_or(1.0);
        let active = self.active_nodes(now);
        let exceeds = |node: &u32| self.recently_exceeds(now, *node, kind, limit);
        let members: Vec<u32> = active.iter().copied().filter(exceeds).collect();
        let is_majority = members.len() as f64 >= MAJORITY_SHARE * active.len() as f64;
        if active.len() >= MIN_FLEET_NODES && is_majority {
            let figures = self.figures(&self.fleet, kind, ALL_CLASSES, now);
            let finding = Finding {
                scope: DepartureScope::Fleet,
                kind,
                class: None,
                figures,
            };
            self.open_departure(now, finding, &members);
        }
    }

    /// Whether the share of bad observations in a node's recent window is above `limit`.
    fn recently_exceeds(&self, now: Duration, node: u32, kind: DepartureKind, limit: f64) -> bool {
        let Some(watched) = self.nodes.get(&node) else {
            return false;
        };
        let recent = watched.signals.of_kind(kind)[ALL_CLASSES]
            .baseline
            .recent(now);
        recent.sum > limit * recent.weight
    }

    /// The nodes whose last observation is less than [`RECOVERY_DURATION`] old.
    pub(super) fn active_nodes(&self, now: Duration) -> Vec<u32> {
        let is_active = |watched: &WatchedNode| watched.last_observed + RECOVERY_DURATION > now;
        let active = self.nodes.iter().filter(|(_, watched)| is_active(watched));
        active.map(|(node, _)| *node).collect()
    }
}

/// Updates since when each signal of a kind has been above the threshold. Returns the earliest of these times.
fn update_alarms(
    watched: &mut WatchedNode,
    now: Duration,
    kind: DepartureKind,
    threshold: f64,
) -> Option<Duration> {
    let signals = watched.signals.of_kind_mut(kind);
    for signal in signals.iter_mut() {
        signal.update_alarm(now, threshold);
    }
    signals
        .iter()
        .filter_map(|signal| signal.alarming_since)
        .min()
}
