//! Measures the event loop: when it looked for events, how long it was held up, and what it was busy with.
//!
//! The loop runs all ready tasks (a pass), then waits for events. A heartbeat bounds each wait, so that a wait which
//! lasts longer shows that the process itself did not run. What was held up is counted and logged; it decides nothing
//! but the earliest time at which input may have arrived.
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use crate::log::{Count, count, info, raise_to};

/// The longest wait for events while the process runs.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// A wait may be longer than the heartbeat by so much, for the machine's own scheduling.
const SCHEDULING_SLACK: Duration = Duration::from_millis(25);
/// A wait that ends sooner than this found events that had come before it began.
const IMMEDIATE_WAIT: Duration = Duration::from_millis(5);
/// A look for events that ends a wait reports them one by one, while the next pass begins already; that takes no longer.
const REPORTING_SLACK: Duration = Duration::from_millis(20);
/// What came while the loop was held up is reported within this time after it.
const AFTER_HOLD_UP: Duration = Duration::from_millis(200);
/// A hold-up of so much is counted...
const COUNTED_HOLD_UP: Duration = Duration::from_millis(25);
/// ... and one of so much is logged, as it takes a part of what requests have to live.
const LOGGED_HOLD_UP: Duration = Duration::from_millis(100);
/// One of so much makes answers late.
const LONG_HOLD_UP: Duration = Duration::from_millis(500);

/// What the loop did at an instant: it waited, or a pass ran.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopPhase {
    /// When the pass before the last one began.
    pub previous_pass_started: Instant,
    /// When the last pass began; it may be running still.
    pub pass_started: Instant,
    /// When the last wait for events began.
    pub wait_started: Instant,
    /// Whether a pass was running.
    pub is_pass_running: bool,
    /// The last time for which the loop was held up.
    pub hold_up: Option<HoldUp>,
}

/// A time for which the loop did not look for events. What came in it may be reported some time later still: the thread
/// that reports it has to get its share of a core first, and other events go before it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldUp {
    /// When the loop had looked for events before.
    pub polled_at: Instant,
    /// Until when a report may be of something that came meanwhile.
    pub reported_until: Instant,
}

impl LoopPhase {
    /// A phase before the first pass.
    fn new(now: Instant) -> Self {
        LoopPhase {
            previous_pass_started: now,
            pass_started: now,
            wait_started: now,
            is_pass_running: true,
            hold_up: None,
        }
    }

    /// Notes that the loop was held up until `now`, and had looked for events at `polled_at`.
    fn note_hold_up(&mut self, polled_at: Instant, now: Instant) {
        let earlier = self.hold_up.filter(|earlier| now <= earlier.reported_until);
        self.hold_up = Some(HoldUp {
            polled_at: earlier.map_or(polled_at, |earlier| earlier.polled_at.min(polled_at)),
            reported_until: now + AFTER_HOLD_UP,
        });
    }

    /// The earliest time at which input may have arrived that was reported at `reported` in this phase, if its socket
    /// was watched by then.
    ///
    /// The loop looked for events before a pass and found nothing on that socket. The wait behind the pass found nothing
    /// either if it was not over at once, so that the input came amid it; but if the wait lasted longer than the
    /// heartbeat lets it, the process did not run, and the input may have come at its beginning.
    #[must_use]
    pub fn earliest_arrival(self, reported: Instant) -> Instant {
        if let Some(hold_up) = self.hold_up
            && reported <= hold_up.reported_until
        {
            return hold_up.polled_at;
        }
        let is_late_in_pass = reported > self.pass_started + REPORTING_SLACK;
        if self.is_pass_running && is_late_in_pass {
            return self.pass_started;
        }
        let polled_at = if self.is_pass_running {
            self.previous_pass_started
        } else {
            self.pass_started
        };
        let waited = reported.saturating_duration_since(self.wait_started);
        let arrived_during_wait =
            IMMEDIATE_WAIT < waited && waited <= HEARTBEAT_INTERVAL + SCHEDULING_SLACK;
        if arrived_during_wait {
            reported
        } else {
            polled_at
        }
    }
}

/// The phase of the loop, for all threads that report events to it.
#[derive(Debug)]
pub struct LoopPhases(Mutex<LoopPhase>);

impl LoopPhases {
    fn new() -> Self {
        LoopPhases(Mutex::new(LoopPhase::new(Instant::now())))
    }

    /// The current phase.
    #[must_use]
    pub fn current(&self) -> LoopPhase {
        *self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn begin_pass(&self, now: Instant) {
        let mut phase = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let waited = now.saturating_duration_since(phase.wait_started);
        if !phase.is_pass_running && waited > HEARTBEAT_INTERVAL + SCHEDULING_SLACK {
            let polled_at = phase.pass_started;
            phase.note_hold_up(polled_at, now);
        }
        phase.previous_pass_started = phase.pass_started;
        phase.pass_started = now;
        phase.is_pass_running = true;
    }

    fn begin_wait(&self, now: Instant) {
        let mut phase = self.0.lock().unwrap_or_else(PoisonError::into_inner);
        let polled_at = phase.pass_started;
        if now.saturating_duration_since(polled_at) >= LOGGED_HOLD_UP {
            phase.note_hold_up(polled_at, now);
        }
        phase.wait_started = now;
        phase.is_pass_running = false;
    }
}

/// A step of a pass that may take long.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub enum LoopStep {
    /// Any task that is not measured by itself.
    #[default]
    Other,
    /// A round of the decision engine.
    Round,
    /// Reading a message of discovery.
    EndpointList,
}

impl LoopStep {
    /// Its code in log lines.
    #[must_use]
    pub const fn code(self) -> &'static str {
        match self {
            LoopStep::Other => "other",
            LoopStep::Round => "round",
            LoopStep::EndpointList => "endpoint_list",
        }
    }
}

/// Measures the passes and waits of the event loop.
#[derive(Debug)]
pub struct LoopMonitor {
    phases: Arc<LoopPhases>,
    /// The longest measured step of the current pass.
    longest_step: Cell<(LoopStep, Duration)>,
}

impl Default for LoopMonitor {
    fn default() -> Self {
        LoopMonitor {
            phases: Arc::new(LoopPhases::new()),
            longest_step: Cell::default(),
        }
    }
}

impl LoopMonitor {
    /// The phases of the loop, which may be read from any thread.
    #[must_use]
    pub fn phases(&self) -> Arc<LoopPhases> {
        self.phases.clone()
    }

    /// Runs the loop's future up to its end, and measures its passes and waits.
    pub async fn run_monitored<F: Future>(&self, tasks: F) -> F::Output {
        let mut tasks = pin!(tasks);
        future::poll_fn(|context| {
            self.begin_pass(Instant::now());
            let polled = tasks.as_mut().poll(context);
            self.end_pass(Instant::now());
            polled
        })
        .await
    }

    /// Ends each wait of the loop in time, for as long as the agent runs.
    pub async fn run_heartbeat<T>(&self) -> T {
        loop {
            Timer::after(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Runs a step of the current pass, and measures it.
    pub fn measure<T>(&self, step: LoopStep, work: impl FnOnce() -> T) -> T {
        let started = Instant::now();
        let result = work();
        let took = started.elapsed();
        if took > self.longest_step.get().1 {
            self.longest_step.set((step, took));
        }
        result
    }

    fn begin_pass(&self, now: Instant) {
        let phase = self.phases.current();
        if !phase.is_pass_running {
            let waited = now.saturating_duration_since(phase.wait_started);
            let hold_up = waited.saturating_sub(HEARTBEAT_INTERVAL);
            if count_hold_up(hold_up) {
                info!(
                    "event_loop_held_up phase=wait duration_ms={}",
                    hold_up.as_millis()
                );
            }
        }
        self.longest_step.take();
        self.phases.begin_pass(now);
    }

    fn end_pass(&self, now: Instant) {
        let pass_started = self.phases.current().pass_started;
        let took = now.saturating_duration_since(pass_started);
        if count_hold_up(took) {
            let (step, step_took) = self.longest_step.get();
            info!(
                "event_loop_held_up phase=tasks duration_ms={} longest_step={} step_ms={}",
                took.as_millis(),
                step.code(),
                step_took.as_millis()
            );
        }
        self.phases.begin_wait(now);
    }
}

/// Counts a hold-up by its length; returns whether it is long enough for a log line.
fn count_hold_up(hold_up: Duration) -> bool {
    if hold_up < COUNTED_HOLD_UP {
        return false;
    }
    count(Count::HoldUps);
    if hold_up >= LOGGED_HOLD_UP {
        count(Count::HoldUpsOver100Ms);
    }
    if hold_up >= LONG_HOLD_UP {
        count(Count::HoldUpsOver500Ms);
    }
    let milliseconds = u64::try_from(hold_up.as_millis()).unwrap_or(u64::MAX);
    raise_to(Count::LongestHoldUpMs, milliseconds);
    hold_up >= LOGGED_HOLD_UP
}
