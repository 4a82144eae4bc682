//! What the tests have in common.
mod attempts;
mod setup;

use std::time::Duration;

pub(crate) use self::attempts::{Attempt, AttemptCounter};
pub(crate) use self::setup::{
    EPOCH, MINIMUM_STAGE_TIME, READ, ReleaseUpdate, WORK, agent_settings, endpoint, request,
};

/// From one round of an agent to the next.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// The most requests in a second, of `fair` expected ones, that a warming endpoint with slow start may get from
/// a whole fleet before it is overloaded: 2.5 times the 0.34 that it can do, and three standard deviations.
pub(crate) fn overload_limit(fair: f64) -> f64 {
    let allowed = 2.5 * 0.34 * fair;
    allowed + 3.0 * allowed.sqrt() + 3.0
}
