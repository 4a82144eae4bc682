//! Applies updates of the endpoint list to the timelines, and enforces their memory limit.
use std::time::Duration;

use lilacgate_decision::{Endpoint, EndpointStatus, ListUpdate};

use super::{FleetTimeline, stored_text};
use crate::entry::{Entry, Event};
use crate::node_timeline::NodeTimeline;

/// The minimum that a node counts towards the memory limit, in bytes.
const MIN_NODE_BYTES: usize = 1 << 14;

/// A node's timeline and its entry in the endpoint list.
#[derive(Debug)]
pub(super) struct TrackedNode {
    pub(super) timeline: NodeTimeline,
    pub(super) endpoint: Endpoint,
    /// The memory of the timeline when its last step was completed, in bytes.
    pub(super) memory_bytes: usize,
}

impl TrackedNode {
    fn new(now: Duration, endpoint: Endpoint) -> Self {
        TrackedNode {
            timeline: NodeTimeline::new(now),
            endpoint,
            memory_bytes: 0,
        }
    }

    /// The bytes that count towards the memory limit, without the monitor's memory.
    fn charged_bytes(&self) -> usize {
        self.memory_bytes.max(MIN_NODE_BYTES)
    }

    fn is_removed(&self) -> bool {
        self.endpoint.status == EndpointStatus::Removed
    }
}

impl FleetTimeline {
    /// Applies an update of the endpoint list. Nodes that are missing in a full or cached list count as removed.
    pub fn apply_list_update(&mut self, now: Duration, update: ListUpdate, endpoints: &[Endpoint]) {
        if matches!(update, ListUpdate::Full | ListUpdate::Cached) {
            self.remove_missing(now, endpoints);
        }
        for endpoint in endpoints {
            self.apply_endpoint(now, *endpoint);
        }
    }

    fn remove_missing(&mut self, now: Duration, endpoints: &[Endpoint]) {
        let is_missing = |tracked: &&TrackedNode| {
            let id = tracked.endpoint.id;
            !tracked.is_removed() && !endpoints.iter().any(|endpoint| endpoint.id == id)
        };
        let missing: Vec<Endpoint> = self
            .nodes
            .values()
            .filter(is_missing)
            .map(|tracked| tracked.endpoint)
            .collect();
        for mut endpoint in missing {
            endpoint.status = EndpointStatus::Removed;
            self.apply_endpoint(now, endpoint);
        }
    }

    /// Records what has changed at an endpoint, if anything has.
    fn apply_endpoint(&mut self, now: Duration, endpoint: Endpoint) {
        let node = endpoint.id.0;
        let known = self.nodes.get(&node).map(|tracked| tracked.endpoint);
        let same_process = known.is_some_and(|known| {
            (known.build, known.started) == (endpoint.build, endpoint.started)
        });
        if same_process && known.is_some_and(|known| known.status == endpoint.status) {
            return;
        }
        self.nodes
            .entry(node)
            .or_insert_with(|| TrackedNode::new(now, endpoint))
            .endpoint = endpoint;
        // The start of a new process is dated to its start time. For other changes only the time of the update is
        // known.
        let happened = endpoint
            .started
            .filter(|_| !same_process)
            .map_or(now, |started| started.min(now));
        self.record(Entry {
            happened,
            known: now,
            node: Some(node),
            event: Event::Listed {
                state: stored_text::status(endpoint.status).into(),
                build: endpoint.build.0,
                started: endpoint.started,
            },
        });
        if endpoint.status == EndpointStatus::Removed {
            self.monitor.node_removed(now, node);
        } else {
            self.monitor
                .node_listed(now, node, endpoint.build.0, endpoint.started);
        }
        self.evict_over_limit();
    }

    /// Drops timelines until the rest fits the memory limit: first those of removed nodes, then the others, in both
    /// groups the least recently changed first. One timeline is always kept.
    fn evict_over_limit(&mut self) {
        let per_node = self.monitor.memory_bytes_per_node();
        let mut total: usize = self
            .nodes
            .values()
            .map(|tracked| tracked.charged_bytes() + per_node)
            .sum();
        while total > self.limits.timeline_bytes && self.nodes.len() > 1 {
            let Some(node) = self.eviction_candidate() else {
                return;
            };
            if let Some(tracked) = self.nodes.remove(&node) {
                self.dropped += 1 + tracked.timeline.as_of(Duration::MAX).count() as u64;
                total -= tracked.charged_bytes() + per_node;
                self.monitor.node_removed(Duration::ZERO, node);
            }
        }
    }

    fn eviction_candidate(&self) -> Option<u32> {
        self.nodes
            .iter()
            .min_by_key(|(_, tracked)| (!tracked.is_removed(), tracked.timeline.last_change()))
            .map(|(node, _)| *node)
    }
}
