//! The errors that end a command without an answer: an unusable file, or an argument that does not match the file.
use std::error::Error;
use std::path::{Path, PathBuf};

use lilacgate_operator_config::Fault;
use lilacgate_releases::calendar::TimeTextError;

use crate::time::TimeError;

/// The reason that a command ended without an answer.
#[derive(Debug, thiserror::Error)]
pub(crate) enum CommandError {
    /// A file cannot be read or written, or its content is not valid.
    #[error("{}: {source}", path.display())]
    File {
        /// The path as given on the command line.
        path: PathBuf,
        /// The underlying error.
        source: Box<dyn Error + Send + Sync>,
    },
    /// An operator file failed validation.
    #[error("{}: {}", path.display(), join_faults(faults))]
    OperatorFile {
        /// The path as given on the command line.
        path: PathBuf,
        /// All validation errors of the file, in the order of the parser.
        faults: Vec<Fault>,
    },
    /// An operator file has no release rules.
    #[error("{}: the operator file has no <releases> element", .0.display())]
    NoReleases(PathBuf),
    /// A store has damaged files and no readable record.
    #[error("{}: damaged files, and no readable record", .0.display())]
    UnreadableStore(PathBuf),
    /// A time argument is not valid.
    #[error(transparent)]
    Time(#[from] TimeError),
    /// A duration or time zone argument is not valid.
    #[error(transparent)]
    TimeText(#[from] TimeTextError),
    /// The operator file does not define a name, or defines no name of that kind.
    #[error("the operator file defines no {kind}{}", named(name.as_deref()))]
    NotInFile {
        /// The element of the operator file that would define the name.
        kind: &'static str,
        /// The name that was asked for; `None` if all names were.
        name: Option<String>,
    },
    /// An argument is not a known service and a build number.
    #[error(
        "{0:?} is not SERVICE:BUILD with a service of the operator file and a build number of 0 to 65535"
    )]
    InvalidServiceBuild(String),
    /// An option of a `--bring` argument is not one of its times.
    #[error("--bring: unknown option {0:?}; expected from=TIME or by=TIME")]
    InvalidGoalTime(String),
    /// The span has no record of a node.
    #[error("no records of node {0:?} between --from and --to")]
    UnknownNode(String),
}

impl CommandError {
    /// Wraps an error of reading, writing or parsing the file at `path`.
    pub(crate) fn file(path: &Path, source: impl Into<Box<dyn Error + Send + Sync>>) -> Self {
        CommandError::File {
            path: path.to_owned(),
            source: source.into(),
        }
    }
}

fn named(name: Option<&str>) -> String {
    name.map(|name| format!(" named {name:?}"))
        .unwrap_or_default()
}

fn join_faults(faults: &[Fault]) -> String {
    let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
    faults.join("; ")
}
