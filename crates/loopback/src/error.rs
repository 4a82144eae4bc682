//! The errors that end a run before it has all of its figures.

use std::io;
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_capacity::ResultError;
use thiserror::Error;

/// Why a run ended without all of its figures.
#[derive(Debug, Error)]
pub enum LoopbackError {
    /// A field of the plan is out of its range.
    #[error("the plan's {field} is {value}, which is out of range ({range})")]
    Plan {
        /// The field's name.
        field: &'static str,
        /// What it holds.
        value: String,
        /// What it may hold.
        range: &'static str,
    },
    /// The fleet would need more file descriptors than this process may have.
    #[error("the fleet needs {needed} file descriptors, of which this process may have {limit}")]
    Descriptors {
        /// How many are needed at most.
        needed: u64,
        /// How many there may be.
        limit: u64,
    },
    /// The fleet holds more than half of the machine's memory.
    #[error("the agents hold {used_mb} MB, more than half of the machine's {machine_mb} MB")]
    Memory {
        /// The sum of the agents' resident memory.
        used_mb: u64,
        /// What the machine has.
        machine_mb: u64,
    },
    /// A stand-in could not be set up.
    #[error("{what}: {cause}")]
    Setup {
        /// What was being set up.
        what: &'static str,
        /// The system's error.
        cause: io::Error,
    },
    /// The agent's program could not be started.
    #[error("the agent {program} does not start: {cause}")]
    Spawn {
        /// The program.
        program: PathBuf,
        /// The system's error.
        cause: io::Error,
    },
    /// An agent ended before the run was over.
    #[error("agent {agent} ended ({status}); its log ends: {log}")]
    Ended {
        /// The agent's number.
        agent: usize,
        /// Its exit status.
        status: String,
        /// The last lines of its log.
        log: String,
    },
    /// An agent did not serve its first request in time.
    #[error("agent {agent} was not ready within {waited:?}; its log ends: {log}")]
    NotReady {
        /// The agent's number.
        agent: usize,
        /// How long it had.
        waited: Duration,
        /// The last lines of its log.
        log: String,
    },
    /// A signal ended the run while the agents were starting.
    #[error("interrupted while the agents were starting")]
    Interrupted,
    /// An agent's figures could not be read from the system.
    #[error("the figures of process {process}: {cause}")]
    Usage {
        /// The process.
        process: u32,
        /// The system's error.
        cause: procfs::ProcError,
    },
    /// The results could not be written.
    #[error("the results cannot be written: {0}")]
    Output(#[from] ResultError),
}

impl LoopbackError {
    /// Returns a function that wraps a system error with the name of what was being set up.
    pub fn setup(what: &'static str) -> impl FnOnce(io::Error) -> Self {
        move |cause| LoopbackError::Setup { what, cause }
    }
}
