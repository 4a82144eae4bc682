//! The timelines of all nodes of a fleet and of the agent itself, as the agent records them.
//!
//! [`FleetTimeline`] is a passive observer: it influences no decision and sends nothing. Memory is bounded for each
//! timeline and for all together, however many node ids appear; entries and timelines dropped for it are counted.
//! Records for a store are held in a bounded queue until they are taken.
use std::collections::{BTreeMap, HashMap};
use std::time::Duration;

use crate::entry::{DepartureScope, Entry, Event, Record};
use crate::monitor::{AttemptId, DepartureReport, FleetMonitor, MonitorConfig, TICK};
use crate::node_timeline::NodeTimeline;

mod attempts;
mod decisions;
mod endpoints;
mod record_queue;
mod stored_text;

pub use attempts::AttemptEnd;

use attempts::InFlightAttempt;
use endpoints::TrackedNode;
use record_queue::RecordQueue;

/// The memory limits of a [`FleetTimeline`].
#[derive(Clone, Copy, Debug)]
pub struct MemoryLimits {
    /// The limit of the memory of all node timelines together, in bytes.
    pub timeline_bytes: usize,
    /// The maximum number of records queued for the store; 0 disables the queue.
    pub queued_records: usize,
}

/// The timelines of all nodes and of the agent itself.
#[derive(Debug)]
pub struct FleetTimeline {
    limits: MemoryLimits,
    monitor: FleetMonitor,
    nodes: BTreeMap<u32, TrackedNode>,
    /// The timeline of events that concern no single node: stages, votes, and pauses of the agent.
    agent: NodeTimeline,
    in_flight: HashMap<AttemptId, InFlightAttempt>,
    /// The class of each open request, by the request's number.
    request_classes: HashMap<u32, u8>,
    /// The number of requests given up since the last tick, by reason.
    given_up: BTreeMap<&'static str, u32>,
    next_tick: Duration,
    queue: RecordQueue,
    /// The number of entries and timelines dropped to stay within the memory bounds.
    dropped: u64,
    reports: Vec<DepartureReport>,
    /// The figures that the decision engine logged last, which are recorded with the next vote.
    vote_figures: String,
}

impl FleetTimeline {
    /// A timeline without nodes that starts at `now`.
    pub fn new(now: Duration, config: MonitorConfig, limits: MemoryLimits) -> Self {
        FleetTimeline {
            limits,
            monitor: FleetMonitor::new(config),
            nodes: BTreeMap::new(),
            agent: NodeTimeline::new(now),
            in_flight: HashMap::new(),
            request_classes: HashMap::new(),
            given_up: BTreeMap::new(),
            next_tick: now,
            queue: RecordQueue::new(limits.queued_records),
            dropped: 0,
            reports: Vec::new(),
            vote_figures: String::new(),
        }
    }

    /// The instant at which [`FleetTimeline::advance`] is due.
    pub fn next_tick(&self) -> Duration {
        self.next_tick
    }

    /// Advances to `now`: detects departures, and completes the steps that have ended. Does nothing before the next
    /// tick is due.
    pub fn advance(&mut self, now: Duration) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK;
        if let Some(duration) = self.monitor.tick(now) {
            self.record(Entry {
                happened: now.saturating_sub(duration),
                known: now,
                node: None,
                event: Event::Paused { duration },
            });
        }
        self.record_given_up(now);
        self.record_departures(now);
        self.complete_steps(now);
    }

    fn record_given_up(&mut self, now: Duration) {
        for (reason, count) in std::mem::take(&mut self.given_up) {
            let event = Event::GivenUp {
                reason: reason.into(),
                count,
            };
            self.record_now(now, None, event);
        }
    }

    fn record_departures(&mut self, now: Duration) {
        for report in self.monitor.take_reports() {
            let departure = report.departure.clone();
            let node = match departure.scope {
                DepartureScope::Node(node) => Some(node),
                DepartureScope::Build(_) | DepartureScope::Fleet => None,
            };
            let (happened, event) = if report.began {
                (departure.onset, Event::DepartureBegan(departure))
            } else {
                (now, Event::DepartureEnded(departure))
            };
            self.record(Entry {
                happened,
                known: now,
                node,
                event,
            });
            self.reports.push(report);
        }
    }

    /// Completes the steps that have ended, also at nodes that get no attempts.
    fn complete_steps(&mut self, now: Duration) {
        let nodes: Vec<u32> = self.nodes.keys().copied().collect();
        for node in nodes {
            self.update_counts(now, node, |_| {});
        }
    }

    /// Takes the departures that were confirmed or have ended since the last call.
    pub fn take_reports(&mut self) -> Vec<DepartureReport> {
        std::mem::take(&mut self.reports)
    }

    /// Takes the records queued for the store, in the order in which they were queued.
    pub fn take_records(&mut self) -> Vec<Record> {
        self.queue.take()
    }

    /// Records an event that happened at `now`.
    fn record_now(&mut self, now: Duration, node: Option<u32>, event: Event) {
        self.record(Entry {
            happened: now,
            known: now,
            node,
            event,
        });
    }

    /// Adds an entry to the store's queue, and to the timeline of its node if the node has one.
    fn record(&mut self, entry: Entry) {
        self.queue.push(entry.known, Record::Entry(entry.clone()));
        let timeline = match entry.node {
            Some(node) => match self.nodes.get_mut(&node) {
                Some(tracked) => &mut tracked.timeline,
                None => return,
            },
            None => &mut self.agent,
        };
        let dropped_before = timeline.dropped();
        timeline.insert(entry);
        self.dropped += timeline.dropped() - dropped_before;
    }

    /// The number of entries and timelines dropped to stay within the memory bounds.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// An estimate of the memory of all timelines and of the monitor, in bytes.
    pub fn memory_bytes(&self) -> usize {
        let per_node = self.monitor.memory_bytes_per_node();
        self.nodes
            .values()
            .map(|tracked| tracked.timeline.memory_bytes() + per_node)
            .sum::<usize>()
            + self.agent.memory_bytes()
    }

    /// The numbers of all nodes that have a timeline.
    pub fn nodes(&self) -> impl Iterator<Item = u32> {
        self.nodes.keys().copied()
    }

    /// The timeline of a node; `None` if the node is unknown or its timeline was dropped.
    pub fn node(&self, node: u32) -> Option<&NodeTimeline> {
        self.nodes.get(&node).map(|tracked| &tracked.timeline)
    }

    /// The timeline of events that concern no single node: stages, votes, and pauses of the agent.
    pub fn agent(&self) -> &NodeTimeline {
        &self.agent
    }
}
