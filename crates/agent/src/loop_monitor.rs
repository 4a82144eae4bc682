//! Monitors the event loop: when it polled for events, for how long it was held up, and which step took longest.
//!
//! The loop runs all ready tasks (a pass), then waits for events. A heartbeat bounds each wait, so a longer wait shows
//! that the process itself did not run. Hold-ups are counted and logged. The only thing that depends on them is the
//! estimate of the earliest time at which input may have arrived.
use std::cell::Cell;
use std::future::Future;
use std::pin::pin;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::future;

use crate::log::{Count, count, info, raise_to};

/// The interval of the heartbeat, which is the longest wait for events while the process runs.
const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(100);
/// How much longer than the heartbeat a wait may last because of the operating system's scheduling.
const SCHEDULING_SLACK: Duration = Duration::from_millis(25);
/// A wait that ends sooner than this found events that had arrived before it began.
const IMMEDIATE_WAIT: Duration = Duration::from_millis(5);
/// The poll that ends a wait reports its events one by one, while the next pass is already running. This is the longest
/// that the reporting takes.
const REPORTING_SLACK: Duration = Duration::from_millis(20);
/// Events that arrived during a hold-up are reported within this time after it.
const AFTER_HOLD_UP: Duration = Duration::from_millis(200);
/// The shortest hold-up that is counted.
const COUNTED_HOLD_UP: Duration = Duration::from_millis(25);
/// The shortest hold-up that is logged, because it uses up a part of the requests' deadlines.
const LOGGED_HOLD_UP: Duration = Duration::from_millis(100);
/// The shortest hold-up that makes answers late.
const LONG_HOLD_UP: Duration = Duration::from_millis(500);

/// What the loop is doing at an instant: it waits for events, or runs a pass.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct LoopPhase {
    /// When the pass before the last one started.
    pub previous_pass_started: Instant,
    /// When the last pass started. It may still be running.
    pub pass_started: Instant,
    /// When the last wait for events started.
    pub wait_started: Instant,
    /// Whether a pass is running.
    pub is_pass_running: bool,
    /// The last hold-up.
    pub hold_up: Option<HoldUp>,
}

/// A time in which the loop did not poll for events. Events that arrived in it may be reported some time after it,
/// because the reporting thread has to be scheduled first and may report other events before them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct HoldUp {
    /// When the loop had last polled for events before the hold-up.
    pub polled_at: Instant,
    /// Reports up to this time may be of events that arrived during the hold-up.
    pub reported_until: Instant,
}

impl LoopPhase {
    /// Creates the phase before the first pass.
    fn new(now: Instant) -> Self {
        LoopPhase {
            previous_pass_started: now,
            pass_started: now,
            wait_started: now,
            is_pass_running: true,
            hold_up: None,
        }
    }

    /// Records that the loop was held up until `now`, and had last polled for events at `polled_at`.
    fn note_hold_up(&mut self, polled_at: Instant, now: Instant) {
        let earlier = self.hold_up.filter(|earlier| now <= earlier.reported_until);
        self.hold_up = Some(HoldUp {
            polled_at: earlier.map_or(polled_at, |earlier| earlier.polled_at.min(polled_at)),
            reported_until: now + AFTER_HOLD_UP,
        });
    }

    /// Returns the earliest time at which input may have arrived that is reported at `reported` in this phase. Its
    /// socket must have been registered by then.
    ///
    /// The loop polled for events before a pass and found none on that socket. The wait after the pass found none at
    /// its start either, unless it ended at once, so the input arrived during the wait. But if the wait lasted longer
    /// than the heartbeat allows, the process did not run, and the input may have arrived right after that poll.
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

/// The current phase of the loop, shared with the threads that report events to it.
#[derive(Debug)]
pub struct LoopPhases(Mutex<LoopPhase>);

impl LoopPhases {
    fn new() -> Self {
        LoopPhases(Mutex::new(LoopPhase::new(Instant::now())))
    }

    /// Returns the current phase.
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
    /// Anything that is not measured separately.
    #[default]
    Other,
    /// A round of the decision engine.
    Round,
    /// Applying a message of discovery to the endpoint list.
    EndpointList,
}

impl LoopStep {
    /// Returns the code of the step in log lines.
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
    /// Returns the shared phase of the loop, which any thread may read.
    #[must_use]
    pub fn phases(&self) -> Arc<LoopPhases> {
        self.phases.clone()
    }

    /// Runs the future of the loop until it completes, and measures its passes and waits.
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

    /// Runs the heartbeat, which bounds each wait of the loop, for as long as the agent runs.
    pub async fn run_heartbeat<T>(&self) -> T {
        loop {
            Timer::after(HEARTBEAT_INTERVAL).await;
        }
    }

    /// Runs a step of the current pass, and measures its duration.
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

/// Counts a hold-up by its length, and returns whether it is long enough to be logged.
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
