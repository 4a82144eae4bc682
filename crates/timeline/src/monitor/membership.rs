//! Synchronizes the watched nodes with the endpoint list, and records restarts and the stages of builds.
use std::time::Duration;

use super::FleetMonitor;
use super::departures::{Figures, Finding, StageStart};
use super::node::WatchedNode;
use crate::entry::{Departure, DepartureKind, DepartureScope, ReleaseStage};

impl FleetMonitor {
    /// Records that a node is listed or that its entry has changed. A different start time or build means a new
    /// process: a different build is a release, and the same build is a restart. A restart is reported unless the node
    /// was a member of an open departure.
    pub fn node_listed(&mut self, now: Duration, node: u32, build: u16, started: Option<Duration>) {
        let Some(known) = self.nodes.get(&node) else {
            self.insert_node(now, node, build, started);
            return;
        };
        if (known.build, known.started) == (build, started) {
            return;
        }
        let same_build = known.build == build;
        let already_reported = !known.open_departures.is_empty();
        self.end_departures_of(now, node);
        self.insert_node(now, node, build, started);
        if same_build && !already_reported {
            self.report_restart(now, node, started);
        }
    }

    fn insert_node(&mut self, now: Duration, node: u32, build: u16, started: Option<Duration>) {
        let watched = WatchedNode::new(now, build, started, self.config.classes);
        self.nodes.insert(node, watched);
    }

    fn report_restart(&mut self, now: Duration, node: u32, started: Option<Duration>) {
        let finding = Finding {
            scope: DepartureScope::Node(node),
            kind: DepartureKind::Restart,
            class: None,
            figures: Figures {
                onset: started.unwrap_or(now),
                baseline: 0.0,
                observed: 1.0,
            },
        };
        let departure = Departure {
            ended: Some(now),
            ..self.new_departure(now, finding)
        };
        self.report(departure, true);
    }

    /// Removes a node that is no longer listed, and ends the departures whose scope is this node.
    pub fn node_removed(&mut self, now: Duration, node: u32) {
        self.end_departures_of(now, node);
        self.nodes.remove(&node);
    }

    /// Records that a stage of a build began at `since`. A repeated report of the latest stage is ignored.
    pub fn stage_started(&mut self, build: u16, stage: u8, since: Duration) {
        let release = ReleaseStage { build, stage };
        if self
            .latest_stage
            .is_none_or(|latest| latest.release != release)
        {
            self.latest_stage = Some(StageStart { release, since });
        }
    }
}
