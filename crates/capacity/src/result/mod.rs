//! The records that measurements are stored in.
//!
//! A result file holds one [`Sample`] per line as a JSON object. Each record
//! carries the command and the seed that produced it, so that a figure can be
//! measured again.

mod error;
mod file;
mod kinds;
mod quantity;
mod sample;
mod size;

pub use error::ResultError;
pub use file::{RESULT_EXTENSION, load, load_directory, read, save, write};
pub use kinds::{EventKind, Experiment, Factor, Role, Source};
pub use quantity::Quantity;
pub use sample::Sample;
pub use size::Size;
