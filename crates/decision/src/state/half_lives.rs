//! Half-lives of the sums that the engine keeps. Every policy that compares "now" with "usual" reads them.
use std::time::Duration;

/// Half-life of recent outcomes and times: a few answers of a small agent's share of an endpoint.
pub(crate) const RECENT_HALF_LIFE: Duration = Duration::from_secs(1);
/// Half-life of baselines, against which recent values are compared.
pub(crate) const BASELINE_HALF_LIFE: Duration = Duration::from_secs(10);
/// Half-life of what peers report: a quarter of the baseline's.
pub(crate) const REPORTED_HALF_LIFE: Duration = Duration::from_millis(2500);
