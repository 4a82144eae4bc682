//! Decides whether a confirmed departure concerns the node, its build, or the fleet, and whether it shows in one
//! request class only.
use std::collections::BTreeSet;
use std::time::Duration;

use super::FleetMonitor;
use super::departures::Finding;
use super::settings::{LATENCY_PRIOR_WEIGHT, MAJORITY_SHARE, MIN_FLEET_NODES};
use super::signals::{ALL_CLASSES, Signal};
use crate::entry::{Departure, DepartureKind, DepartureScope};

/// The minimum weight of the observations of another request class for a departure to be attributed to one class.
const MIN_OTHER_CLASS_OBSERVATIONS: f64 = LATENCY_PRIOR_WEIGHT;

/// The size of a group of nodes, and how many of them are suspected.
struct Group {
    size: usize,
    suspected: usize,
}

impl Group {
    fn new(nodes: &[u32], suspects: &BTreeSet<u32>) -> Self {
        let suspected = nodes.iter().filter(|node| suspects.contains(node)).count();
        Group {
            size: nodes.len(),
            suspected,
        }
    }

    fn is_mostly_suspected(&self) -> bool {
        self.suspected as f64 >= MAJORITY_SHARE * self.size as f64
    }
}

/// The scope of a departure, and the nodes that are its members.
struct Attribution {
    scope: DepartureScope,
    members: Vec<u32>,
}

impl FleetMonitor {
    /// Opens a departure for a node whose alarm is confirmed, or adds the node to an open departure of the fleet or of
    /// its build.
    pub(super) fn confirm_at_node(
        &mut self,
        now: Duration,
        node: u32,
        kind: DepartureKind,
        threshold: f64,
    ) {
        let Some(build) = self.nodes.get(&node).map(|watched| watched.build) else {
            return;
        };
        if let Some(number) = self.open_group_departure(build, kind) {
            self.add_member(node, kind, number);
            return;
        }
        let suspicion_threshold = threshold.sqrt();
        let Attribution { scope, members } = self.attribute(now, node, kind, suspicion_threshold);
        let Some(watched) = self.nodes.get(&node) else {
            return;
        };
        let index = departure_signal_index(watched.signals.of_kind(kind), suspicion_threshold);
        let figures = self.figures(&watched.signals, kind, index, now);
        let class = index.checked_sub(1).map(|class| class as u8);
        let finding = Finding {
            scope,
            kind,
            class,
            figures,
        };
        self.open_departure(now, finding, &members);
    }

    /// The number of an open departure of this kind that concerns the fleet or the build.
    fn open_group_departure(&self, build: u16, kind: DepartureKind) -> Option<u32> {
        let groups = [DepartureScope::Fleet, DepartureScope::Build(build)];
        let includes = |open: &&Departure| open.kind == kind && groups.contains(&open.scope);
        self.open_departures
            .values()
            .find(includes)
            .map(|open| open.number)
    }

    fn add_member(&mut self, node: u32, kind: DepartureKind, number: u32) {
        if let Some(watched) = self.nodes.get_mut(&node) {
            watched.open_departures.insert(kind, number);
        }
    }

    /// Attributes a departure at `node` to the fleet or to the build if most of its active nodes are suspected too, and
    /// otherwise to the node. The fleet also requires suspects of more than one build, unless only one build is active.
    fn attribute(
        &self,
        now: Duration,
        node: u32,
        kind: DepartureKind,
        suspicion_threshold: f64,
    ) -> Attribution {
        let alone = Attribution {
            scope: DepartureScope::Node(node),
            members: vec![node],
        };
        let Some(build) = self.nodes.get(&node).map(|watched| watched.build) else {
            return alone;
        };
        let active = self.active_nodes(now);
        let suspects = self.suspects(&active, kind, suspicion_threshold);
        let same_build = self.nodes_of_build(&active, build);
        let fleet_group = Group::new(&active, &suspects);
        let build_group = Group::new(&same_build, &suspects);
        let only_build = fleet_group.size == build_group.size;

        let beyond_build = only_build || fleet_group.suspected > build_group.suspected;
        if fleet_group.size >= MIN_FLEET_NODES && fleet_group.is_mostly_suspected() && beyond_build
        {
            return Attribution {
                scope: DepartureScope::Fleet,
                members: suspects.into_iter().collect(),
            };
        }
        if build_group.suspected >= 2 && build_group.is_mostly_suspected() && !only_build {
            let is_suspect = |node: &u32| suspects.contains(node);
            return Attribution {
                scope: DepartureScope::Build(build),
                members: same_build.into_iter().filter(is_suspect).collect(),
            };
        }
        alone
    }

    /// The nodes among `nodes` whose evidence reaches `suspicion_threshold`.
    fn suspects(
        &self,
        nodes: &[u32],
        kind: DepartureKind,
        suspicion_threshold: f64,
    ) -> BTreeSet<u32> {
        let is_suspect = |node: &u32| {
            let watched = self.nodes.get(node);
            watched.is_some_and(|watched| watched.signals.any_reaches(kind, suspicion_threshold))
        };
        nodes.iter().copied().filter(is_suspect).collect()
    }

    fn nodes_of_build(&self, nodes: &[u32], build: u16) -> Vec<u32> {
        let runs_build = |node: &u32| {
            self.nodes
                .get(node)
                .is_some_and(|watched| watched.build == build)
        };
        nodes.iter().copied().filter(runs_build).collect()
    }
}

/// The signal index of the only request class that shows the departure, if other classes are known and show none of it;
/// otherwise [`ALL_CLASSES`].
fn departure_signal_index(signals: &[Signal], suspicion_threshold: f64) -> usize {
    let (showing, others): (Vec<usize>, Vec<usize>) =
        (1..signals.len()).partition(|index| signals[*index].reaches(suspicion_threshold));
    let others_known = others
        .iter()
        .any(|index| signals[*index].baseline.weight() >= MIN_OTHER_CLASS_OBSERVATIONS);
    let others_show = others
        .iter()
        .any(|index| signals[*index].reaches(suspicion_threshold.sqrt()));
    match showing[..] {
        [index] if others_known && !others_show => index,
        _ => ALL_CLASSES,
    }
}
