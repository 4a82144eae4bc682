//! When the engine is to act without an event.
use std::time::Duration;

/// Wake-ups and refreshes of the load estimate.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// The wake-up that was scheduled last.
    pub(crate) wake_up_at: Duration,
    /// When the agent last resumed after it had stood still itself.
    pub(crate) resumed_at: Duration,
    /// When the load estimate is to be refreshed.
    pub(crate) refresh_at: Duration,
    /// Events since the last refresh.
    pub(crate) events: usize,
    /// Time passed since the last refresh.
    pub(crate) elapsed: Duration,
}
