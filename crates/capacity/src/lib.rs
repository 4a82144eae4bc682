//! What a fleet of a given size costs.
//!
//! [`target`] reads the file that describes a fleet, [`fleet`] draws one from
//! it, and [`result`] defines the records that measurements are stored in.
//! [`fit`] computes slopes, [`analysis`] compares them with the budgets of the
//! target, and [`page`] and [`plot`] show the outcome. [`detection`] models how
//! long canary analysis takes to reject a bad build.

pub mod analysis;
pub mod budget;
pub mod detection;
pub mod estimate;
pub mod fit;
pub mod fleet;
mod markdown;
pub mod page;
pub mod plot;
pub mod result;
pub mod tables;
pub mod target;
mod target_file;
pub mod words;

pub use fleet::Fleet;
pub use result::{
    EventKind, Experiment, Factor, Quantity, ResultError, Role, Sample, Size, Source,
};
pub use target::{Target, TargetError};
