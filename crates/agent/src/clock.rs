//! The agent's clock: durations since the Unix epoch that only go forward.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;

/// A monotonic clock whose zero point is the Unix epoch, so that events from before the agent's start have a time too.
///
/// The system time is read once, at the start; later changes of the system time have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The system time at `started`.
    offset: Duration,
}

impl Clock {
    /// Starts a clock at the current system time.
    pub fn start() -> Self {
        let offset = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            offset,
        }
    }

    /// The current time.
    pub fn now(&self) -> Duration {
        self.time_of(Instant::now())
    }

    /// The time of an instant; that of the start for an earlier one.
    pub fn time_of(&self, instant: Instant) -> Duration {
        self.offset + instant.saturating_duration_since(self.started)
    }

    /// Waits until the clock shows this time.
    pub async fn sleep_until(&self, time: Duration) {
        Timer::at(self.started + time.saturating_sub(self.offset)).await;
    }
}
