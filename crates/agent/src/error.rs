//! Errors that prevent the agent from starting or going on, or from reloading a file.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use lilacgate_operator_config::Fault;
use lilacgate_start_settings::SettingsError;
use thiserror::Error;

use crate::event_loop::TaskPanicked;
use crate::log::ConnectionEnd;

/// Why a start file cannot be used.
#[derive(Debug, Error)]
pub enum StartFileError {
    /// The file cannot be read.
    #[error("the start file {path} cannot be read: {error}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// Why it cannot be read.
        error: io::Error,
    },
    /// The file does not hold exactly one valid JSON value.
    #[error("the start file is not one valid JSON value: {0}")]
    NotJson(ConnectionEnd),
    /// A required field is missing.
    #[error("the start file lacks the required field {0}")]
    Missing(String),
    /// The value of a field cannot be used.
    #[error("the start file's {0} cannot be used")]
    Unusable(String),
}

/// Why an operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file cannot be read, or its content is invalid.
    #[error("the operator's file {}: {} faults", path.display(), faults.len())]
    Faults {
        /// The file's path.
        path: PathBuf,
        /// All faults, in the order of their positions in the file.
        faults: Vec<Fault>,
    },
    /// The file does not name this agent.
    #[error("the operator's file {}: <places>: no <agent> is named {agent:?}", path.display())]
    UnknownAgent {
        /// The file's path.
        path: PathBuf,
        /// This agent's name.
        agent: String,
    },
    /// Services depend on each other's releases in a cycle.
    #[error("the operator's file: the <needs> elements form a cycle of dependencies")]
    CircularDependency,
}

impl OperatorFileError {
    /// One message for each fault.
    pub fn messages(&self) -> Vec<String> {
        match self {
            OperatorFileError::Faults { path, faults } => faults
                .iter()
                .map(|fault| format!("the operator's file {}: {fault}", path.display()))
                .collect(),
            other => vec![other.to_string()],
        }
    }
}

/// Why the agent does not start, or ends by itself.
#[derive(Debug, Error)]
pub enum StartError {
    /// The environment variable with the path of the start file is not set.
    #[error("RELAY_CONFIG must be set to the path of the start file")]
    NoStartFile,
    /// The signal handlers cannot be installed.
    #[error("cannot install the signal handlers: {0}")]
    Signals(io::Error),
    /// The start file cannot be used.
    #[error(transparent)]
    StartFile(#[from] StartFileError),
    /// A setting cannot be used.
    #[error(transparent)]
    Setting(#[from] SettingsError),
    /// The operator's file cannot be used.
    #[error(transparent)]
    OperatorFile(#[from] OperatorFileError),
    /// The socket for clients cannot be opened.
    #[error("cannot listen for clients at {address}, the address in `listen`: {error}")]
    Listen {
        /// The address in the start file.
        address: SocketAddr,
        /// Why the socket cannot be opened.
        error: io::Error,
    },
    /// A task has panicked, without which the others cannot serve.
    #[error(transparent)]
    TaskPanicked(#[from] TaskPanicked),
    /// The socket for datagrams between agents cannot be opened.
    #[error("cannot receive datagrams at {address}, the address in `peer_listen`: {error}")]
    PeerListen {
        /// The address in the start file.
        address: SocketAddr,
        /// Why the socket cannot be opened.
        error: io::Error,
    },
}

impl StartError {
    /// The messages for the operator, one for each fault.
    pub fn messages(&self) -> Vec<String> {
        match self {
            StartError::OperatorFile(error) => error.messages(),
            other => vec![other.to_string()],
        }
    }
}
