//! Why a command has no answer: a file cannot be read, written or used, or an argument does not fit it.
use std::error::Error;
use std::path::{Path, PathBuf};

use lilacgate_operator_config::Fault;
use lilacgate_releases::calendar::TimeTextError;

use crate::time::TimeError;

/// Why there is no answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A file cannot be read, written or used.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// What failed.
        source: Box<dyn Error + Send + Sync>,
    },
    /// An operator's file has faults.
    #[error("{}: {}", path.display(), join_faults(faults))]
    OperatorFile {
        /// The file.
        path: PathBuf,
        /// All its faults.
        faults: Vec<Fault>,
    },
    /// An operator's file has no rules for releases.
    #[error("{}: no <releases>", .0.display())]
    NoReleases(PathBuf),
    /// Nothing of a store can be read.
    #[error("{}: nothing can be read", .0.display())]
    UnreadableStore(PathBuf),
    /// A time cannot be used.
    #[error(transparent)]
    Time(#[from] TimeError),
    /// A span of time or a time zone cannot be used.
    #[error(transparent)]
    TimeText(#[from] TimeTextError),
    /// The operator's file has no such name.
    #[error("{kind} {name:?} is not in the file")]
    NotInFile {
        /// The kind of name.
        kind: &'static str,
        /// The name, if one was given.
        name: Option<String>,
    },
    /// An argument is not a service and a build.
    #[error("{0:?} is no SERVICE:BUILD of the file")]
    InvalidServiceBuild(String),
    /// A part of a wished build is not one of its times.
    #[error("{0:?} is neither from=TIME nor by=TIME")]
    InvalidGoalTime(String),
    /// Nothing was recorded of a node.
    #[error("no node {0:?} in this span")]
    UnknownNode(String),
}

impl CommandError {
    /// A file cannot be read, written or used.
    pub(crate) fn file(path: &Path, source: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        CommandError::File {
            path: path.to_owned(),
            source: source.into(),
        }
    }
}

fn join_faults(faults: &[Fault]) -> String {
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    faults.join("; ")
}
