//! Keeps the watched nodes in step with the membership list, and notes restarts and the stages of builds.
use std::time::Duration;

use super::Watch;
use super::departures::{Figures, StageStart};
use super::node::WatchedNode;
use crate::entry::{Departure, DepartureKind, DepartureScope};

impl Watch {
    /// A node is listed, or its state has changed. Another start time or build means another process: a new build is a
    /// release, and the same build again is a restart, which is reported unless a departure was open there.
    pub fn listed(&mut self, now: Duration, node: u32, build: u16, started: Option<Duration>) {
        let Some(known) = self.nodes.get(&node) else {
            self.insert_node(now, node, build, started);
            return;
        };
        if (known.build, known.started) == (build, started) {
            return;
        }
        let same_build = known.build == build;
        let already_reported = !known.open.is_empty();
        self.end_all_of(now, node);
        self.insert_node(now, node, build, started);
        if same_build && !already_reported {
            self.report_restart(now, node, started);
        }
    }

    fn insert_node(&mut self, now: Duration, node: u32, build: u16, started: Option<Duration>) {
        let watched = WatchedNode::new(now, build, started, self.aims.products);
        self.nodes.insert(node, watched);
    }

    fn report_restart(&mut self, now: Duration, node: u32, started: Option<Duration>) {
        let figures = Figures {
            onset: started.unwrap_or(now),
            usual: 0.0,
            seen: 1.0,
        };
        let departure = self.new_departure(
            now,
            DepartureScope::Node(node),
            DepartureKind::Restart,
            None,
            figures,
        );
        let departure = Departure {
            ended: Some(now),
            ..departure
        };
        self.reports.push((departure, true));
    }

    /// A node is no longer listed.
    pub fn gone(&mut self, now: Duration, node: u32) {
        self.end_all_of(now, node);
        self.nodes.remove(&node);
    }

    /// A stage of a build began at `since`.
    pub fn staged(&mut self, build: u16, stage: u8, since: Duration) {
        let known = self
            .latest_stage
            .is_some_and(|latest| (latest.build, latest.stage) == (build, stage));
        if !known {
            self.latest_stage = Some(StageStart {
                build,
                stage,
                since,
            });
        }
    }
}
