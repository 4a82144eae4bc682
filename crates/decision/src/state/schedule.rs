//! When the engine acts without an event.
use std::time::Duration;

/// Times of wake-ups and of refreshes of the load estimate.
#[derive(Debug, Default)]
pub(crate) struct Schedule {
    /// The wake-up that was scheduled last.
    pub(crate) wake_up_at: Duration,
    /// When the agent process last resumed after a pause of its own.
    pub(crate) resumed_at: Duration,
    /// When the load estimate is next refreshed.
    pub(crate) refresh_at: Duration,
    /// Number of events since the last refresh.
    pub(crate) events_since_refresh: usize,
    /// Time since the last refresh.
    pub(crate) time_since_refresh: Duration,
}
