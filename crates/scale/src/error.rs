//! Why a run fails or stops before its end.
use std::path::PathBuf;

use lilacgate_capacity::page::PageError;
use lilacgate_capacity::plot::PlotError;
use lilacgate_capacity::{ResultError, TargetError};

/// Why a run fails or stops before its end.
#[derive(Debug, thiserror::Error)]
pub enum ScaleError {
    /// The decision module does not accept the start settings.
    #[error("start settings: {0}")]
    Settings(String),
    /// A size cannot be simulated.
    #[error("{0}")]
    Size(String),
    /// The process has reached its memory limit.
    #[error("memory limit reached: {used_megabytes} MB resident, limit {limit_megabytes} MB")]
    MemoryLimit {
        /// What is resident.
        used_megabytes: u64,
        /// What may be resident at most.
        limit_megabytes: u64,
    },
    /// The user has interrupted the run.
    #[error("interrupted")]
    Interrupted,
    /// The pool of threads cannot be started.
    #[error("threads: {0}")]
    Threads(#[from] rayon::ThreadPoolBuildError),
    /// The handler of interrupts cannot be installed.
    #[error("interrupt handler: {0}")]
    Signal(#[from] ctrlc::Error),
    /// A process for one measurement cannot be run.
    #[error("process for one measurement: {0}")]
    Process(#[source] std::io::Error),
    /// A process for one measurement has failed.
    #[error("process for one measurement: {0}")]
    Child(String),
    /// The target file cannot be used.
    #[error(transparent)]
    Target(#[from] TargetError),
    /// The capacity page cannot be read or written.
    #[error("{}: {source}", path.display())]
    Page {
        /// The page.
        path: PathBuf,
        /// The cause.
        source: std::io::Error,
    },
    /// The marks of the capacity page are wrong.
    #[error(transparent)]
    Marks(#[from] PageError),
    /// A plot cannot be drawn.
    #[error(transparent)]
    Plot(#[from] PlotError),
    /// Results cannot be read or written.
    #[error(transparent)]
    Results(#[from] ResultError),
}

impl ScaleError {
    /// Whether the run stopped before its end, and what it has measured so far is kept.
    pub fn is_stop(&self) -> bool {
        matches!(
            self,
            ScaleError::MemoryLimit { .. } | ScaleError::Interrupted
        )
    }
}
