//! The records of a timeline: what happened with its two times, departures, and the records that go to a store.
//!
//! The stored form is fixed: `postcard` stores variants by their place and fields in their order, and exports show
//! the names in the `serde` attributes. Numbers of nodes mean the same at every agent and after a restart.
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

/// A departure from the baseline. All instants are spans since 1970.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Departure {
    /// Counted from 0 since the agent's start.
    pub number: u32,
    /// What it concerns.
    #[serde(rename = "whom")]
    pub scope: DepartureScope,
    /// The signal in which it shows.
    pub kind: DepartureKind,
    /// The request class, where it shows in one class alone.
    #[serde(rename = "product")]
    pub class: Option<u8>,
    /// When it is estimated to have begun.
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
    /// A stage that began shortly before. It is a hint, not an attribution.
    #[serde(rename = "beside")]
    pub concurrent_stage: Option<ReleaseStage>,
}

/// What happened at a node or at the agent.
///
/// Texts such as states, phases and votes are stored as they are, so that older readers can show them.
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
        /// Why, as the decision engine says.
        #[serde(rename = "why")]
        reason: String,
        /// When it is to be readmitted.
        until: Duration,
    },
    /// A request was sent to an ejected node as a trial.
    #[serde(rename = "tried")]
    Probed,
    /// The node was readmitted.
    #[serde(rename = "unbarred")]
    Readmitted,
    /// An attempt was cancelled by the agent.
    #[serde(rename = "called-off")]
    Cancelled {
        /// The class of its request.
        #[serde(rename = "product")]
        class: u8,
    },
    /// Requests were given up; one entry for each reason and tick.
    GivenUp {
        /// Why, as the decision engine says.
        #[serde(rename = "why")]
        reason: String,
        /// How many requests.
        #[serde(rename = "many")]
        count: u32,
    },
    /// A build came to a stage or a phase of its release.
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
        /// The figures on which the vote rests, as text.
        figures: String,
    },
    /// The agent did not run for a time.
    #[serde(rename = "stood-still")]
    Paused {
        /// How long.
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

/// An event with its two times. Both are spans since 1970.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened.
    pub happened: Duration,
    /// When this agent came to know of it.
    pub known: Duration,
    /// The node's number; `None` for what concerns the agent as a whole.
    pub node: Option<u32>,
    /// What happened.
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
    /// Answers that took longer than the baseline allows.
    pub late: u32,
    /// The most attempts that were outstanding at once.
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

    /// All attempts that ended.
    pub fn ended(&self) -> u32 {
        self.succeeded + self.failed + self.rejected + self.connection_errors + self.timed_out
    }
}

/// A time span at one node: counts, and the latency of successful attempts.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    /// The node's number.
    pub node: u32,
    /// When the span begins, since 1970.
    pub from: Duration,
    /// How long the span is.
    #[serde(rename = "long")]
    pub duration: Duration,
    /// The build that ran there; 0 in a dump.
    pub build: u16,
    /// The span's attempts.
    pub counts: AttemptCounts,
    /// A sketch of latencies, as [`crate::latency_sketch::LatencySketch::as_bytes`] gives it.
    pub latency: Vec<u8>,
}

/// A record of a store, in the order in which they are written.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The agent started.
    Start {
        /// The agent's name.
        agent: String,
        /// When, since 1970.
        at: Duration,
        /// The names of the request classes, which records name by number.
        #[serde(rename = "products")]
        classes: Vec<String>,
    },
    /// The name of a node.
    Name {
        /// The node's number.
        node: u32,
        /// Its name.
        name: String,
    },
    /// Something that happened.
    Entry(Entry),
    /// A time span at a node.
    Step(StepRecord),
    /// Records of the finest detail were dropped since the queue was full.
    #[serde(rename = "LeftOut")]
    Dropped {
        /// When that was recorded, since 1970.
        at: Duration,
        /// How many records.
        #[serde(rename = "many")]
        count: u64,
    },
}
