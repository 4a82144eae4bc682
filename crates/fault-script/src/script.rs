//! The fault script of a test run: which calls get which faults, how often and when. It is stored as JSON.
use std::path::{Path, PathBuf};
use std::time::Duration;

use serde::{Deserialize, Serialize};

/// A kind of C library call into which faults can be injected.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Call {
    /// Accepting a connection.
    Accept,
    /// Opening a socket.
    Socket,
    /// Connecting a socket.
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
    /// Reading the wall clock (`CLOCK_REALTIME`).
    WallClock,
}

/// The effect of a rule on a call.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Fault {
    /// The call fails with this `errno` value and is not executed.
    Error(i32),
    /// The call transfers one byte at most.
    Short,
    /// The call is delayed by this many milliseconds.
    DelayMs(u64),
    /// The wall clock is shifted by this many milliseconds.
    StepMs(i64),
}

/// A rule that injects a fault into calls. The first rule that matches a call, and is chosen at random by its share,
/// applies.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Rule {
    /// The kind of call that the rule matches.
    pub call: Call,
    /// The fault that is injected.
    pub fault: Fault,
    /// The probability that a matching call gets the fault, 0 to 1.
    #[serde(default = "every_call")]
    pub share: f64,
    /// The start of the rule's active time, in milliseconds since the process started.
    #[serde(default)]
    pub from_ms: u64,
    /// The end of the active time, in milliseconds since the process started; `None` for no end.
    #[serde(default)]
    pub until_ms: Option<u64>,
    /// The number of faults after which the rule stops matching; `None` for no limit.
    #[serde(default)]
    pub at_most: Option<u64>,
    /// Restricts the rule to calls on files whose path contains this text.
    #[serde(default)]
    pub path: Option<String>,
}

fn every_call() -> f64 {
    1.0
}

impl Rule {
    /// Creates a rule for every call of a kind, at any time.
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

    /// Injects the fault with this probability, 0 to 1.
    #[must_use]
    pub fn with_share(self, share: f64) -> Rule {
        Rule { share, ..self }
    }

    /// Limits the rule to a time span after the start of the process.
    #[must_use]
    pub fn between(self, from: Duration, until: Duration) -> Rule {
        Rule {
            from_ms: from.as_millis() as u64,
            until_ms: Some(until.as_millis() as u64),
            ..self
        }
    }

    /// Restricts the rule to calls on files whose path contains this text.
    #[must_use]
    pub fn on_path(self, path: &str) -> Rule {
        Rule {
            path: Some(path.to_owned()),
            ..self
        }
    }

    /// Returns whether the rule is active this many milliseconds after the start of the process.
    #[must_use]
    pub fn is_active_at(&self, elapsed_ms: u64) -> bool {
        self.from_ms <= elapsed_ms && self.until_ms.is_none_or(|until| elapsed_ms < until)
    }
}

/// The faults to inject in a test run.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Script {
    /// The seed of the random choice of calls.
    pub seed: u64,
    /// The file with the counts of injected faults, in the order of the rules.
    pub counts: PathBuf,
    /// The rules; earlier ones take precedence, except that the last active clock shift applies.
    pub rules: Vec<Rule>,
}

impl Script {
    /// Writes the script to the file that [`crate::SCRIPT_VARIABLE`] is to hold, and resets the counts to 0.
    ///
    /// # Errors
    /// A file cannot be written.
    pub fn save(&self, path: &Path) -> std::io::Result<()> {
        std::fs::write(&self.counts, vec![0; self.rules.len() * size_of::<u64>()])?;
        std::fs::write(path, serde_json::to_vec(self)?)
    }

    /// Reads a script file.
    ///
    /// # Errors
    /// The file cannot be read, or is not valid JSON of a script.
    pub fn load(path: &Path) -> std::io::Result<Script> {
        Ok(serde_json::from_slice(&std::fs::read(path)?)?)
    }
}
