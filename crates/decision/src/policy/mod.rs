//! All decisions, one concern in each module. A constant is in the module of the policy that uses it.
pub(crate) mod admission;
pub(crate) mod delivery;
pub(crate) mod exposure;
pub(crate) mod idle_connections;
pub(crate) mod list_polling;
pub(crate) mod load_balancing;
pub(crate) mod outcome_scoring;
pub(crate) mod outlier_ejection;
pub(crate) mod release_analysis;
pub(crate) mod retry;
pub(crate) mod selection_weights;
pub(crate) mod sequential_test;
pub(crate) mod slow_start;
pub(crate) mod subsetting;
pub(crate) mod voting;
pub(crate) mod write_timing;
