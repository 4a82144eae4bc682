//! What a fleet of a given size costs.
//!
//! [`result`] defines the records that measurements are kept in, one JSON
//! object per line.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod result;

pub use result::{
    EventKind, Experiment, Factor, Quantity, ResultError, Role, Sample, Size, Source,
};
