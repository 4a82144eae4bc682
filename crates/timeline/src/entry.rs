//! Owns what a line holds: entries with their two times, departures, and what goes to a store. Plain records, by names
//! where they outlast a run: a node's number means the same at every agent and after a restart.
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// What a departure is in.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Kind {
    /// More attempts fail than usual.
    Errors,
    /// Answers take longer than usual.
    Latency,
    /// Attempts are out and nothing comes, not even a broken link.
    Silence,
    /// Links to it cannot be opened, or break.
    Links,
    /// More is out there than its share.
    Load,
    /// Another process runs there.
    Restart,
}

/// Whom a departure concerns.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Whom {
    Node(u32),
    /// All nodes of a build, or most.
    Build(u16),
    Fleet,
}

/// A departure from what is usual.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Departure {
    /// Counted from 0 since the agent's start.
    pub number: u32,
    pub whom: Whom,
    pub kind: Kind,
    /// Where it shows in one product alone.
    pub product: Option<u8>,
    /// When it seems to have begun, and when it was sure enough to say.
    pub onset: Duration,
    pub confirmed: Duration,
    pub ended: Option<Duration>,
    /// The share that is usual, and the share since the onset: of failures, of late answers, of overdue looks.
    pub usual: f64,
    pub seen: f64,
    /// A stage that began shortly before: named, not blamed.
    pub beside: Option<(u16, u8)>,
}

/// Why a request was given up, or a node is left alone.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum What {
    /// The membership list: its state (`ready`, `draining`, `gone`), build, and when its process started.
    Listed {
        state: String,
        build: u16,
        started: Option<Duration>,
    },
    /// It was left alone for a while, why, and until when; tried meanwhile; taken in again.
    Barred {
        why: String,
        until: Duration,
    },
    Tried,
    Unbarred,
    /// An attempt was called off: a second thought.
    CalledOff {
        product: u8,
    },
    /// Requests given up, by reason; one entry a reason and step.
    GivenUp {
        why: String,
        many: u32,
    },
    /// Where the build on trial stands.
    Stage {
        build: u16,
        stage: u8,
        course: String,
    },
    /// A vote, and the figures behind it.
    Vote {
        build: u16,
        stage: u8,
        verdict: String,
        figures: String,
    },
    /// This agent stood still for so long.
    StoodStill {
        long: Duration,
    },
    /// A departure was confirmed, or has ended.
    Departed(Departure),
    Returned(Departure),
}

/// Something that happened, at a node or to the agent as a whole.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Entry {
    /// When it happened, and when this agent came to know it, since 1970.
    pub happened: Duration,
    pub known: Duration,
    pub node: Option<u32>,
    pub what: What,
}

/// A span's counts at one node.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Counts {
    #[serde(rename = "submitted")]
    pub attempts: u32,
    pub served: u32,
    pub failed: u32,
    pub turned_away: u32,
    /// Not connected, or broken.
    pub unlinked: u32,
    pub timed_out: u32,
    pub late: u32,
    /// The most that was out at once.
    pub most_out: u32,
}

impl Counts {
    pub fn add(&mut self, other: &Counts) {
        self.attempts += other.attempts;
        self.served += other.served;
        self.failed += other.failed;
        self.turned_away += other.turned_away;
        self.unlinked += other.unlinked;
        self.timed_out += other.timed_out;
        self.late += other.late;
        self.most_out = self.most_out.max(other.most_out);
    }

    pub fn is_empty(&self) -> bool {
        *self == Counts::default()
    }

    /// All that ended.
    pub fn ended(&self) -> u32 {
        self.served + self.failed + self.turned_away + self.unlinked + self.timed_out
    }
}

/// A span at one node: counts, and the latency of what was served as a sketch's octets (see `steps`).
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct StepRecord {
    pub node: u32,
    pub from: Duration,
    pub long: Duration,
    pub build: u16,
    pub counts: Counts,
    pub latency: Vec<u8>,
}

/// What goes to a store, in its order.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Record {
    /// The agent's start: its name, and those of products and zones, which records name by number.
    Start {
        agent: String,
        at: Duration,
        products: Vec<String>,
    },
    /// A node's number and name.
    Name {
        node: u32,
        name: String,
    },
    Entry(Entry),
    Step(StepRecord),
    /// So many records of the finest detail were left out.
    LeftOut {
        at: Duration,
        many: u64,
    },
}
