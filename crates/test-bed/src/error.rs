//! Why a run on the test bed gives no result.
use std::io;

/// A run that gives no result.
#[derive(Debug, thiserror::Error)]
pub enum TestBedError {
    /// The agent does not answer, or has ended before it did.
    #[error("the agent does not come up: {log}")]
    AgentNotServing {
        /// The agent's log.
        log: String,
    },
    /// The agent panicked in the course of the run.
    #[error("the agent panicked: {log}")]
    AgentPanicked {
        /// The agent's log.
        log: String,
    },
    /// Files of the run cannot be read or written.
    #[error(transparent)]
    Io(#[from] io::Error),
}
