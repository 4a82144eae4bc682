//! Updates the baselines with pending observations, except where a departure is open or suspected.
use std::collections::BTreeSet;
use std::time::Duration;

use super::FleetMonitor;
use super::node::WatchedNode;
use super::signals::TESTED_KINDS;
use crate::entry::{DepartureKind, DepartureScope};

impl FleetMonitor {
    /// Updates all baselines with the observations whose learning delay has passed.
    pub(super) fn learn(&mut self, now: Duration) {
        self.send_rate.learn(now, false);
        for baseline in &mut self.answer_seconds {
            baseline.learn(now, false);
        }
        self.learn_builds(now);
        let suspicion_threshold = self.suspicion_threshold();
        for watched in self.nodes.values_mut() {
            learn_node(watched, now, suspicion_threshold);
        }
        self.learn_fleet(now);
    }

    /// The evidence from which on a departure is suspected; below the threshold of an alarm.
    fn suspicion_threshold(&self) -> f64 {
        self.threshold().sqrt()
    }

    /// Drops builds that no longer run. For the others only recent observations are used, so learning is suspended.
    fn learn_builds(&mut self, now: Duration) {
        let running: BTreeSet<u16> = self.nodes.values().map(|watched| watched.build).collect();
        self.builds.retain(|build, _| running.contains(build));
        for signals in self.builds.values_mut() {
            for kind in TESTED_KINDS {
                signals.learn(now, kind, true);
            }
        }
    }

    fn learn_fleet(&mut self, now: Duration) {
        for kind in TESTED_KINDS {
            let departed = self
                .open_departures
                .values()
                .any(|open| open.scope == DepartureScope::Fleet && open.kind == kind);
            self.fleet.learn(now, kind, departed);
        }
    }
}

fn learn_node(watched: &mut WatchedNode, now: Duration, suspicion_threshold: f64) {
    let is_slow = watched
        .open_departures
        .contains_key(&DepartureKind::Latency);
    watched.relative_latency.learn(now, is_slow);
    let has_departed = !watched.open_departures.is_empty();
    watched.mean_outstanding.learn(now, has_departed);
    for kind in TESTED_KINDS {
        let suspected = watched.signals.any_reaches(kind, suspicion_threshold);
        let suspended = watched.open_departures.contains_key(&kind) || suspected;
        watched.signals.learn(now, kind, suspended);
    }
}
