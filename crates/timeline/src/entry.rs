//! The records of a timeline: events with the two times of each, departures, and the records written to a store.
//!
//! The stored form is fixed: `postcard` stores variants by their index and fields in their order, and exports show
//! the names in the `serde` attributes. A node number denotes the same node at every agent and after a restart.
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// The signal in which a departure shows.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DepartureKind {
    /// More attempts fail than in the baseline.
    Errors,
    /// Answers take longer than in the baseline.
    Latency,
    /// Attempts are outstanding and nothing is received, not even a connection error.
    Silence,
    /// Connections cannot be opened, or break.
    Links,
    /// More attempts are outstanding than the node's share.
    Load,
    /// Another process of the same build runs there.
    Restart,
}

/// What a departure concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum DepartureScope {
    /// One node, by its number.
    Node(u32),
    /// Most nodes of a build, by the build's number.
    Build(u16),
    /// Most nodes of the fleet.
    Fleet,
}

/// A stage of a build's release. Stored as the pair of its numbers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(from = "(u16, u8)", into = "(u16, u8)")]
pub struct ReleaseStage {
    /// The build's number.
    pub build: u16,
    /// The stage's number, from 0.
    pub stage: u8,
}

impl From<(u16, u8)> for ReleaseStage {
    fn from((build, stage): (u16, u8)) -> Self {
        ReleaseStage { build, stage }
    }
}

impl From<ReleaseStage> for (u16, u8) {
    fn from(release: ReleaseStage) -> Self {
        (release.build, release.stage)
    }
}

/// A departure from the baseline. All instants are durations since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Departure {
    /// The departure's number, counted from 0 since the agent's start.
    pub number: u32,
    /// The node, build or fleet that it concerns.
    #[serde(rename = "whom")]
    pub scope: DepartureScope,
    /// The signal in which it shows.
    pub kind: DepartureKind,
    /// The request class, if the departure shows in one class only.
    #[serde(rename = "product")]
    pub class: Option<u8>,
    /// The estimated instant at which it began.
    pub onset: Duration,
    /// When there was enough evidence to report it.
    pub confirmed: Duration,
    /// When it ended; `None` while it lasts.
    pub ended: Option<Duration>,
    /// The share of bad observations (failures, late answers, overdue ticks) in the baseline, from 0 to 1.
    #[serde(rename = "usual")]
    pub baseline: f64,
    /// The share of bad observations since the onset, from 0 to 1.
    #[serde(rename = "seen")]
    pub observed: f64,
    /// A stage that began at about the same time. It is a hint, not the established cause.
    #[serde(rename = "beside")]
    pub concurrent_stage: Option<ReleaseStage>,
}

/// What happened at a node or at the agent.
///
/// States, phases and votes are stored as texts, so that older readers can show them.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Event {
    /// The node's entry in the endpoint list changed.
    Listed {
        /// `ready`, `draining` or `gone`.
        state: String,
        /// The build that runs there.
        build: u16,
        /// When its process started, if that is known.
        started: Option<Duration>,
    },
    /// The node was ejected.
    #[serde(rename = "barred")]
    Ejected {
        /// The reason code of the decision engine.
        #[serde(rename = "why")]
        reason: String,
        /// When it is to be readmitted.
        until: Duration,
    },
    /// A request was sent to an ejected node to probe whether it has recovered.
    #[serde(rename = "tried")]
    Probed,
    /// The node was readmitted.
    #[serde(rename = "unbarred")]
    Readmitted,
    /// The agent cancelled an attempt.
    #[serde(rename = "called-off")]
    Cancelled {
        /// The class of its request.
        #[serde(rename = "product")]
        class: u8,
    },
    /// The agent gave up on requests; there is one entry per reason and tick.
    GivenUp {
        /// The reason code of the decision engine.
        #[serde(rename = "why")]
        reason: String,
        /// The number of requests given up since the last tick.
        #[serde(rename = "many")]
        count: u32,
    },
    /// A build reached a stage or a phase of its release.
    Stage {
        /// The build's number.
        build: u16,
        /// The stage's number, from 0.
        stage: u8,
        /// `on-trial`, `going-back`, `released` or `withdrawn`.
        #[serde(rename = "course")]
        phase: String,
    },
    /// The agent voted on a release.
    Vote {
        /// The build's number.
        build: u16,
        /// The stage's number, from 0.
        stage: u8,
        /// `on`, `hold`, `back` or `withdraw`.
        #[serde(rename = "verdict")]
        vote: String,
        /// The figures behind the vote, as the decision engine logged them.
        figures: String,
    },
    /// The agent did not run for some time. [`Entry::happened`] is the start of the pause.
    #[serde(rename = "stood-still")]
    Paused {
        /// The duration of the pause.
        #[serde(rename = "long")]
        duration: Duration,
    },
    /// A departure was confirmed.
    #[serde(rename = "departed")]
    DepartureBegan(Departure),
    /// A departure ended.
    #[serde(rename = "returned")]
    DepartureEnded(Departure),
}

/// An event with its two times, both as durations since the Unix epoch.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When the event happened.
    pub happened: Duration,
    /// When this agent learned of it.
    pub known: Duration,
    /// The node's number; `None` for events that concern no single node.
    pub node: Option<u32>,
    /// The event itself.
    #[serde(rename = "what")]
    pub event: Event,
}

/// The attempts of a time span at one node, counted by outcome.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct AttemptCounts {
    /// Attempts that were sent.
    #[serde(rename = "submitted")]
    pub attempts: u32,
    /// Attempts that succeeded.
    #[serde(rename = "served")]
    pub succeeded: u32,
    /// Attempts that failed or had a malformed answer.
    pub failed: u32,
    /// Attempts that the node rejected.
    #[serde(rename = "turned_away")]
    pub rejected: u32,
    /// Attempts whose connection could not be opened, or broke.
    #[serde(rename = "unlinked")]
    pub connection_errors: u32,
    /// Attempts that timed out or were cancelled.
    pub timed_out: u32,
    /// Successful answers that took longer than the baseline allows.
    pub late: u32,
    /// The highest number of attempts that were in flight at once.
    #[serde(rename = "most_out")]
    pub max_in_flight: u32,
}

impl AttemptCounts {
    /// Adds the counts of another time span.
    pub fn add(&mut self, other: &AttemptCounts) {
        self.attempts += other.attempts;
        self.succeeded += other.succeeded;
        self.failed += other.failed;
        self.rejected += other.rejected;
        self.connection_errors += other.connection_errors;
        self.timed_out += other.timed_out;
        self.late += other.late;
        self.max_in_flight = self.max_in_flight.max(other.max_in_flight);
    }

    /// Whether nothing was counted.
    pub fn is_empty(&self) -> bool {
        *self == AttemptCounts::default()
    }

    /// The number of attempts that ended, over all outcomes.
    pub fn ended(&self) -> u32 {
        self.succeeded + self.failed + self.rejected + self.connection_errors + self.timed_out
    }
}

/// The counts and the latencies of successful attempts of a time span at one node.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The node's number.
    pub node: u32,
    /// The start of the span, since the Unix epoch.
    pub from: Duration,
    /// The duration of the span.
    #[serde(rename = "long")]
    pub duration: Duration,
    /// The build that ran at the node; 0 in a dump.
    pub build: u16,
    /// The attempts of the span, counted by outcome.
    pub counts: AttemptCounts,
    /// The serialized sketch of latencies, as returned by [`crate::latency_sketch::LatencySketch::as_bytes`].
    pub latency: Vec<u8>,
}

/// A record of a store. A store holds records in the order in which they were queued.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The agent started.
    Start {
        /// The agent's name.
        agent: String,
        /// The instant of the start, since the Unix epoch.
        at: Duration,
        /// The names of the request classes; other records refer to a class by its index here.
        #[serde(rename = "products")]
        classes: Vec<String>,
    },
    /// The name of a node, which other records refer to by number.
    Name {
        /// The node's number.
        node: u32,
        /// The name that belongs to the number.
        name: String,
    },
    /// An event with its two times.
    Entry(Entry),
    /// The counts and latencies of a time span at a node.
    Step(StepRecord),
    /// Records were dropped because the queue was full, steps before entries.
    #[serde(rename = "LeftOut")]
    Dropped {
        /// When this record was queued, since the Unix epoch.
        at: Duration,
        /// The number of records dropped since the last record of this kind.
        #[serde(rename = "many")]
        count: u64,
    },
}
