//! What a fleet of a given size costs.
//!
//! [`target`] reads the file that describes a fleet, [`fleet`] draws one from
//! it, and [`result`] defines the records that measurements are kept in.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod fit;
pub mod fleet;
pub mod result;
pub mod target;
pub mod verdict;

pub use fleet::Fleet;
pub use result::{
    EventKind, Experiment, Factor, Quantity, ResultError, Role, Sample, Size, Source,
};
pub use target::{Target, TargetError};
