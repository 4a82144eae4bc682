//! The agent's clock: monotonic time, as a duration since the Unix epoch.
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_io::Timer;

/// The longest time for which a timer is set at once. Times from outside may be later than a timer can express.
const LONGEST_SLEEP: Duration = Duration::from_secs(24 * 60 * 60);

/// A monotonic clock whose zero point is the Unix epoch, so that events from before the agent's start have a time too.
///
/// The system time is read once, at the start; later steps of the system clock have no effect.
#[derive(Clone, Copy, Debug)]
pub struct Clock {
    started: Instant,
    /// The system time at `started`, as a duration since the Unix epoch.
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

    /// The time of an instant. An instant before the start is given the time of the start.
    pub fn time_of(&self, instant: Instant) -> Duration {
        self.offset + instant.saturating_duration_since(self.started)
    }

    /// Waits until the clock reaches this time, which may be any: one that the clock never reaches is waited for without
    /// end.
    pub async fn sleep_until(&self, time: Duration) {
        loop {
            let left = time.saturating_sub(self.now());
            if left.is_zero() {
                return;
            }
            Timer::after(left.min(LONGEST_SLEEP)).await;
        }
    }
}
