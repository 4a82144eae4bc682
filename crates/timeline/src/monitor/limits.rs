//! Derives the limit of each test from the baselines: the highest probability of a bad observation under the null
//! hypothesis. The limit is the node's baseline with its uncertainty, or the recent share of the other nodes, whichever
//! is greater, multiplied by `RISE_FACTOR`, plus a margin by kind.
use std::time::Duration;

use super::FleetMonitor;
use super::node::WatchedNode;
use super::settings::{MIN_RECENT, PRIOR_WEIGHT, QUEUE_DRAIN_DURATION, RISE_FACTOR, margin};
use super::signals::TESTED_KINDS;
use crate::baseline::WeightedSum;
use crate::entry::DepartureKind;
use crate::sequential_test::Bets;

impl FleetMonitor {
    /// The limit of a signal of the fleet; `None` while there are too few observations, or while a jump of the send
    /// rate explains bad ones.
    pub(super) fn fleet_limit(
        &self,
        now: Duration,
        kind: DepartureKind,
        index: usize,
    ) -> Option<f64> {
        let known = self.fleet.of_kind(kind)[index].baseline.weight() >= PRIOR_WEIGHT;
        let testable = known && !self.is_explained_by_rate_jump(now, kind);
        testable.then(|| tolerated_share(self.fleet_share(kind, index), kind))
    }

    /// The limit of a signal of a node; `None` while the fleet has no limit for the signal.
    fn node_limit(
        &self,
        now: Duration,
        node: u32,
        kind: DepartureKind,
        index: usize,
    ) -> Option<f64> {
        self.fleet_limit(now, kind, index)?;
        let watched = self.nodes.get(&node)?;
        let own = &watched.signals.of_kind(kind)[index].baseline;
        let share = own.mean(self.fleet_share(kind, index), PRIOR_WEIGHT);
        let spread = (share * (1.0 - share) / (own.weight() + PRIOR_WEIGHT)).sqrt();
        let from_baseline = tolerated_share(share + 2.0 * spread, kind);
        let from_others =
            tolerated_share(self.recent_share_of_others(now, watched, kind, index), kind);
        Some(from_baseline.max(from_others))
    }

    /// The share of bad observations in the fleet's baseline.
    pub(super) fn fleet_share(&self, kind: DepartureKind, index: usize) -> f64 {
        self.fleet.of_kind(kind)[index].baseline.mean(0.0, 1.0)
    }

    /// The recent share of bad observations at the nodes of other builds, or at all other nodes if other builds have
    /// fewer than [`MIN_RECENT`] observations; 0 if all others have too few.
    fn recent_share_of_others(
        &self,
        now: Duration,
        watched: &WatchedNode,
        kind: DepartureKind,
        index: usize,
    ) -> f64 {
        let fleet = self.fleet.of_kind(kind)[index].baseline.recent(now);
        let other_builds = self
            .builds
            .get(&watched.build)
            .map(|build| fleet.without(build.of_kind(kind)[index].baseline.recent(now)));
        let is_enough = |others: &WeightedSum| others.weight >= MIN_RECENT;
        let others = other_builds.filter(is_enough).unwrap_or_else(|| {
            fleet.without(watched.signals.of_kind(kind)[index].baseline.recent(now))
        });
        if is_enough(&others) {
            others.sum / others.weight
        } else {
            0.0
        }
    }

    /// Whether queues after a jump of the send rate explain bad observations of this kind.
    fn is_explained_by_rate_jump(&self, now: Duration, kind: DepartureKind) -> bool {
        let from_queues = matches!(
            kind,
            DepartureKind::Latency | DepartureKind::Load | DepartureKind::Silence
        );
        from_queues
            && self
                .rate_jumped_at
                .is_some_and(|at| now < at + QUEUE_DRAIN_DURATION)
    }

    /// Computes the bets for the observations until the next tick from the earlier observations only.
    pub(super) fn update_bets(&mut self, now: Duration) {
        let nodes: Vec<u32> = self.nodes.keys().copied().collect();
        for kind in TESTED_KINDS {
            for index in 0..self.fleet.of_kind(kind).len() {
                let limit = self.fleet_limit(now, kind, index);
                self.fleet.of_kind_mut(kind)[index].bets = limit.map(Bets::new);
                for &node in &nodes {
                    self.update_node_bets(now, node, kind, index);
                }
            }
        }
    }

    fn update_node_bets(&mut self, now: Duration, node: u32, kind: DepartureKind, index: usize) {
        let limit = self.node_limit(now, node, kind, index);
        if let Some(watched) = self.nodes.get_mut(&node) {
            watched.signals.of_kind_mut(kind)[index].bets = limit.map(Bets::new);
        }
    }
}

/// The share of bad observations that ordinary variation above a baseline `share` may reach.
pub(super) fn tolerated_share(share: f64, kind: DepartureKind) -> f64 {
    share * RISE_FACTOR + margin(kind)
}
