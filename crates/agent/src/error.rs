//! What keeps the agent from starting, or from taking over a replaced file.
use std::io;
use std::net::SocketAddr;
use std::path::PathBuf;

use lilacgate_operator_config::Fault;
use lilacgate_start_settings::SettingsError;
use thiserror::Error;

use crate::log::ConnectionEnd;

/// Why a start file cannot be used.
#[derive(Debug, Error)]
pub enum StartFileError {
    /// The file cannot be read.
    #[error("the start file {path}: {error}")]
    Unreadable {
        /// The file's path.
        path: String,
        /// Why it cannot be read.
        error: io::Error,
    },
    /// The file holds something else than one JSON value.
    #[error("the start file is no JSON object: {0}")]
    NotJson(ConnectionEnd),
    /// A field that is needed is not there.
    #[error("the start file lacks {0}")]
    Missing(String),
    /// A field has a value that cannot be used.
    #[error("the start file's {0} cannot be used")]
    Unusable(String),
}

/// Why an operator's file cannot be used.
#[derive(Debug, Error)]
pub enum OperatorFileError {
    /// The file has faults.
    #[error("the operator's file {}: {} faults", path.display(), faults.len())]
    Faults {
        /// The file's path.
        path: PathBuf,
        /// All faults, in the order of their places.
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
    /// The services that stages depend on depend on each other.
    #[error("the operator's file: needs go in a circle")]
    CircularDependency,
}

impl OperatorFileError {
    /// A line for each fault.
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

/// Why the agent does not start.
#[derive(Debug, Error)]
pub enum StartError {
    /// The environment does not say where the start file is.
    #[error("RELAY_CONFIG names no start file")]
    NoStartFile,
    /// The signals cannot be handled.
    #[error("signals: {0}")]
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
    /// Clients cannot be listened for.
    #[error("listen {address}: {error}")]
    Listen {
        /// Where the agent is to listen.
        address: SocketAddr,
        /// Why it cannot.
        error: io::Error,
    },
    /// Datagrams cannot be listened for.
    #[error("peer_listen {address}: {error}")]
    PeerListen {
        /// Where the agent is to listen.
        address: SocketAddr,
        /// Why it cannot.
        error: io::Error,
    },
}

impl StartError {
    /// What is shown of it: a line for each fault.
    pub fn messages(&self) -> Vec<String> {
        match self {
            StartError::OperatorFile(error) => error.messages(),
            other => vec![other.to_string()],
        }
    }
}
