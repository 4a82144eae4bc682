//! Half-lives of the engine's decaying sums. The policies compare recent values with long-run ones.
use std::time::Duration;

/// Half-life of recent outcomes and times: a few answers where an agent sends an endpoint little traffic.
pub(crate) const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of the long-run values that recent ones are compared with.
pub(crate) const LONG_RUN_HALF_LIFE: Duration = Duration::from_secs(10);
/// Half-life of the sums that peers report: a quarter of the long-run half-life.
pub(crate) const REPORTED_HALF_LIFE: Duration = Duration::from_millis(2500);
