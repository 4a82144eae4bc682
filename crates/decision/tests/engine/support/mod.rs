//! Helpers that several tests share.
mod attempts;
mod setup;

use std::time::Duration;

pub(crate) use self::attempts::{Attempt, AttemptCounter};
pub(crate) use self::setup::{
    EPOCH, MINIMUM_STAGE_TIME, READ, ReleaseUpdate, WORK, agent_settings, endpoint, request,
};

/// Time between the rounds of an agent.
pub(crate) const TICK: Duration = Duration::from_millis(10);

/// The most requests in a second that a whole fleet may send to an endpoint in slow start, where a warm one gets
/// `fair`: 2.5 times its initial capacity share of 0.34, plus three standard deviations and three requests.
pub(crate) fn overload_limit(fair: f64) -> f64 {
    let allowed = 2.5 * 0.34 * fair;
    allowed + 3.0 * allowed.sqrt() + 3.0
}
