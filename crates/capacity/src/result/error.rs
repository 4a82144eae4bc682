//! The errors of reading and writing result files.
use std::io;
use std::path::PathBuf;

use super::Quantity;

/// Why a result file cannot be read or written.
#[derive(Debug, thiserror::Error)]
pub enum ResultError {
    /// A file or directory cannot be opened, read or written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file or directory.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
    /// Reading or writing a stream failed.
    #[error("results: {0}")]
    Stream(#[from] io::Error),
    /// A line is not a sample.
    #[error("{}:{line}: not a result: {source}", path.display())]
    Line {
        /// The file.
        path: PathBuf,
        /// The line, counted from 1.
        line: usize,
        /// The parser's error.
        source: serde_json::Error,
    },
    /// A figure is not a number, which JSON cannot hold.
    #[error("{quantity:?} is {value}, which is not a finite number")]
    NotFinite {
        /// The figure.
        quantity: Quantity,
        /// Its value.
        value: f64,
    },
    /// A sample cannot be written as JSON.
    #[error("result cannot be written: {0}")]
    Write(serde_json::Error),
}
