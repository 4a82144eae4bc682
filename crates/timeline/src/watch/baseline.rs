//! Learns what is usual, and derives from it the limit each test rests on: how likely a bad observation is at most
//! while nothing is wrong. The limit is half as much again as what is usual at the node, or as what the other nodes show
//! now, whichever is more, plus a margin by kind.
use std::collections::BTreeSet;
use std::time::Duration;

use super::Watch;
use super::node::WatchedNode;
use super::settings::{MIN_RECENT, PRIOR_WEIGHT, QUEUES_DRAIN, RISE_FACTOR, margin};
use super::signals::KINDS;
use crate::detect::Bets;
use crate::entry::{DepartureKind, DepartureScope};
use crate::usual::Sum;

impl Watch {
    /// The limit of a signal of the fleet; nothing while too little is known to test.
    pub(super) fn fleet_limit(
        &self,
        now: Duration,
        kind: DepartureKind,
        place: usize,
    ) -> Option<f64> {
        let known = self.fleet.of(kind)[place].usual.looks() >= PRIOR_WEIGHT;
        let testable = known && !self.is_excused(now, kind);
        testable.then(|| raised(self.fleet_share(kind, place), kind))
    }

    /// The limit of a signal of a node; nothing while too little is known to test.
    fn node_limit(
        &self,
        now: Duration,
        node: u32,
        kind: DepartureKind,
        place: usize,
    ) -> Option<f64> {
        self.fleet_limit(now, kind, place)?;
        let watched = self.nodes.get(&node)?;
        let own = &watched.signals.of(kind)[place].usual;
        let share = own.share(self.fleet_share(kind, place), PRIOR_WEIGHT);
        let spread = (share * (1.0 - share) / (own.looks() + PRIOR_WEIGHT)).sqrt();
        let from_past = raised(share + 2.0 * spread, kind);
        let from_others = raised(self.recent_share_of_others(now, watched, kind, place), kind);
        Some(from_past.max(from_others))
    }

    /// The usual share of bad observations in the fleet.
    pub(super) fn fleet_share(&self, kind: DepartureKind, place: usize) -> f64 {
        self.fleet.of(kind)[place].usual.share(0.0, 1.0)
    }

    /// The recent share of bad observations at the nodes of other builds, or at all other nodes if those gave too few.
    fn recent_share_of_others(
        &self,
        now: Duration,
        watched: &WatchedNode,
        kind: DepartureKind,
        place: usize,
    ) -> f64 {
        let all = self.fleet.of(kind)[place].usual.lately(now);
        let without = |some: Sum| Sum {
            yes: all.yes - some.yes,
            all: all.all - some.all,
        };
        let build = self.builds.get(&watched.build);
        let other_builds = build.map(|signals| without(signals.of(kind)[place].usual.lately(now)));
        let others = other_builds
            .filter(|others| others.all >= MIN_RECENT)
            .unwrap_or_else(|| without(watched.signals.of(kind)[place].usual.lately(now)));
        if others.all >= MIN_RECENT {
            others.yes / others.all
        } else {
            0.0
        }
    }

    /// Whether a jump of the send rate explains bad observations of this kind.
    fn is_excused(&self, now: Duration, kind: DepartureKind) -> bool {
        let from_queues = matches!(
            kind,
            DepartureKind::Latency | DepartureKind::Load | DepartureKind::Silence
        );
        from_queues
            && self
                .rate_jumped_at
                .is_some_and(|at| now < at + QUEUES_DRAIN)
    }

    /// Works out the bets for observations until the next tick, from what came before.
    pub(super) fn update_bets(&mut self, now: Duration) {
        let nodes: Vec<u32> = self.nodes.keys().copied().collect();
        for kind in KINDS {
            for place in 0..self.fleet.of(kind).len() {
                let limit = self.fleet_limit(now, kind, place);
                self.fleet.of_mut(kind)[place].bets = limit.map(Bets::new);
                for &node in &nodes {
                    self.update_node_bets(now, node, kind, place);
                }
            }
        }
    }

    fn update_node_bets(&mut self, now: Duration, node: u32, kind: DepartureKind, place: usize) {
        let limit = self.node_limit(now, node, kind, place);
        if let Some(watched) = self.nodes.get_mut(&node) {
            watched.signals.of_mut(kind)[place].bets = limit.map(Bets::new);
        }
    }

    /// Learns what has waited long enough, except where something is wrong or suspected.
    pub(super) fn learn(&mut self, now: Duration) {
        self.send_rate.learn(now, false);
        for usual in &mut self.answer_seconds {
            usual.learn(now, false);
        }
        self.learn_builds(now);
        let suspicious = self.suspicion_threshold();
        for watched in self.nodes.values_mut() {
            learn_node(watched, now, suspicious);
        }
        self.learn_fleet(now);
    }

    /// The evidence from which on a signal is suspected, though not yet confirmed.
    pub(super) fn suspicion_threshold(&self) -> f64 {
        self.threshold().sqrt()
    }

    /// Drops builds that no longer run. Of the others only recent observations are used, so nothing is learned.
    fn learn_builds(&mut self, now: Duration) {
        let running: BTreeSet<u16> = self.nodes.values().map(|watched| watched.build).collect();
        self.builds.retain(|build, _| running.contains(build));
        for signals in self.builds.values_mut() {
            for kind in KINDS {
                signals.learn(now, kind, true);
            }
        }
    }

    fn learn_fleet(&mut self, now: Duration) {
        for kind in KINDS {
            let held = self
                .open
                .values()
                .any(|open| open.scope == DepartureScope::Fleet && open.kind == kind);
            self.fleet.learn(now, kind, held);
        }
    }
}

fn learn_node(watched: &mut WatchedNode, now: Duration, suspicious: f64) {
    watched
        .relative_latency
        .learn(now, watched.open.contains_key(&DepartureKind::Latency));
    watched
        .usual_outstanding
        .learn(now, !watched.open.is_empty());
    for kind in KINDS {
        let suspected = watched.signals.any_reaches(kind, suspicious);
        let held = watched.open.contains_key(&kind) || suspected;
        watched.signals.learn(now, kind, held);
    }
}

/// A share of bad observations, raised by what ordinary days vary.
pub(super) fn raised(share: f64, kind: DepartureKind) -> f64 {
    share * RISE_FACTOR + margin(kind)
}
