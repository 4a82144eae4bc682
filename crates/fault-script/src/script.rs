//! The script of a run: which calls fail, how, how often and when. Tests write it as JSON.
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A function of the C library that can be made to fail.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Accepting a connection.
    Accept,
    /// Opening a socket.
    Socket,
    /// Opening a connection.
    Connect,
    /// Reading from a socket.
    Receive,
    /// Writing to a socket.
    Send,
    /// Opening a file.
    Open,
    /// Writing to a file.
    Write,
    /// Syncing a file.
    Sync,
    /// Renaming a file.
    Rename,
    /// Reading the wall clock.
    WallClock,
}

/// What happens to a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// It fails with this error number, and does nothing.
    Error(i32),
    /// It reads or writes one byte at most.
    Short,
    /// It is carried out so many milliseconds later.
    DelayMs(u64),
    /// The wall clock is off by so many milliseconds.
    StepMs(i64),
}

/// A rule: the first one that concerns a call, and whose draw hits, decides.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// The calls that it concerns.
    pub call: Call,
    /// What happens to them.
    pub fault: Fault,
    /// The share of the calls that it hits, 0 to 1.
    #[serde(default = "every_call")]
    pub share: f64,
    /// From when on, in milliseconds since the process started.
    #[serde(default)]
    pub from_ms: u64,
    /// Until when; for good if there is none.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// How many calls it hits at most.
    #[serde(default)]
    pub at_most: Option<u64>,
    /// For files: only those whose path contains this.
    #[serde(default)]
    pub path: Option<String>,
}

fn every_call() -> f64 {
    1.0
}

impl Rule {
    /// A rule for every call, at any time.
    #[must_use]
    pub fn new(call: Call, fault: Fault) -> Rule {
        Rule {
            call,
            fault,
            share: every_call(),
            from_ms: 0,
            until_ms: None,
            at_most: None,
            path: None,
        }
    }

    /// For this share of the calls.
    #[must_use]
    pub fn with_share(self, share: f64) -> Rule {
        Rule { share, ..self }
    }

    /// From and until these times after the start of the process.
    #[must_use]
    pub fn between(self, from: Duration, until: Duration) -> Rule {
        Rule {
            from_ms: from.as_millis() as u64,
            until_ms: Some(until.as_millis() as u64),
            ..self
        }
    }

    /// For files whose path contains a text.
    #[must_use]
    pub fn on_path(self, path: &str) -> Rule {
        Rule {
            path: Some(path.to_owned()),
            ..self
        }
    }

    /// Whether it holds so many milliseconds after the start of the process.
    #[must_use]
    pub fn is_active_at(&self, elapsed_ms: u64) -> bool {
        self.from_ms <= elapsed_ms && self.until_ms.is_none_or(|until| elapsed_ms < until)
    }
}

/// What is to fail in a run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Script {
    /// Seeds the draws.
    pub seed: u64,
    /// Where the counts are kept, by the rules' order.
    pub counts: PathBuf,
    /// The rules; earlier ones go first.
    pub rules: Vec<Rule>,
}

impl Script {
    /// Writes the script to a file that [`crate::SCRIPT_VARIABLE`] can name, and empties its counts.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        std::fs::write(&self.counts, vec![0; self.rules.len() * size_of::<u64>()])?;
        std::fs::write(path, serde_json::to_vec(self)?)
    }

    /// Reads a script.
    ///
    /// # Errors
    /// The file cannot be read, or is no script.
    pub fn load(path: &Path) -> std::io::Result<Script> {
        Ok(serde_json::from_slice(&std::fs::read(path)?)?)
    }
}
