//! Detects departures from the baseline, and decides whether each concerns one node, most nodes of a build, or the
//! fleet. The sequential tests of [`crate::sequential_test`] compare each node with its own past and with the recent
//! observations of the other nodes. One fault is reported once. A stage that began at about the same time is reported
//! with it as a hint, not as the cause.
//!
//! The rate of false alarms is set for the whole fleet: with K tests in parallel, the mean time to the first false
//! alarm of each is at least `K x 3600 / rate` seconds under its null hypothesis. The null hypothesis is that the
//! probability of a bad observation is at most a limit, which `limits` derives from the baseline and from the other
//! nodes.
//!
//! Modules: `membership` keeps the list of nodes; `attempts` and `outstanding` turn attempts into observations;
//! `signals` holds the tests and baselines by kind; `learning` updates the baselines; `limits` derives the limits of
//! the tests; `confirm` decides when an alarm becomes a departure; `attribution` decides what the departure concerns;
//! `recovery` decides when it has ended; and `departures` keeps the open ones.
use std::collections::BTreeMap;
use std::time::Duration;

use crate::baseline::{Baseline, PENDING_SUM_BYTES, WeightedSum};
use crate::entry::Departure;

mod attempts;
mod attribution;
mod confirm;
mod departures;
mod learning;
mod limits;
mod membership;
mod node;
mod outstanding;
mod recovery;
mod settings;
mod signals;

pub use attempts::{AttemptId, AttemptResult, EndedAttempt};
pub use departures::DepartureReport;
pub use settings::{MonitorConfig, TICK};

use departures::StageStart;
use node::WatchedNode;
use settings::{
    MIN_RATE_SECONDS, PAUSE_THRESHOLD, RATE_JUMP_FACTOR, RATE_JUMP_MARGIN, SECONDS_PER_HOUR,
};
use signals::{Signal, Signals};

/// The maximum number of pending sums of a signal's baseline, for the memory estimate.
const MAX_PENDING_SUMS: usize = 12;
/// The learned time of the send rate, in seconds, from which on jumps of it are detected.
const MIN_KNOWN_RATE_SECONDS: f64 = 4.0;

/// Watches all nodes of a fleet and reports departures from their baselines. It reads no clock and does no I/O.
#[derive(Debug)]
pub struct FleetMonitor {
    config: MonitorConfig,
    nodes: BTreeMap<u32, WatchedNode>,
    fleet: Signals,
    /// The signals of all nodes of each build together. Only their baselines are used, not their tests.
    builds: BTreeMap<u16, Signals>,
    /// The time to an answer, in seconds, by request class.
    answer_seconds: Vec<Baseline>,
    /// Attempts sent per second.
    send_rate: Baseline,
    sent_since_tick: f64,
    /// When the send rate was last observed well above its baseline.
    rate_jumped_at: Option<Duration>,
    first_tick: Option<Duration>,
    last_tick: Duration,
    /// When the agent last resumed after a pause.
    resumed_at: Duration,
    latest_stage: Option<StageStart>,
    /// The departures that have not ended, by number.
    open_departures: BTreeMap<u32, Departure>,
    next_number: u32,
    /// The reports that [`FleetMonitor::take_reports`] returns next.
    reports: Vec<DepartureReport>,
}

impl FleetMonitor {
    /// A monitor without nodes.
    pub fn new(config: MonitorConfig) -> Self {
        FleetMonitor {
            config,
            nodes: BTreeMap::new(),
            fleet: Signals::new(config.classes),
            builds: BTreeMap::new(),
            answer_seconds: vec![Baseline::default(); config.classes],
            send_rate: Baseline::default(),
            sent_since_tick: 0.0,
            rate_jumped_at: None,
            first_tick: None,
            last_tick: Duration::ZERO,
            resumed_at: Duration::ZERO,
            latest_stage: None,
            open_departures: BTreeMap::new(),
            next_number: 0,
            reports: Vec::new(),
        }
    }

    /// The evidence, in seconds, at which a test raises an alarm.
    pub fn threshold(&self) -> f64 {
        let tests = self.fleet.count() * (self.nodes.len() + 1);
        tests as f64 * SECONDS_PER_HOUR / self.config.false_alarms_per_hour
    }

    /// Advances the monitor; the caller does so every [`TICK`]. Returns the duration of the pause if the agent was
    /// paused since the last tick.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        let first_tick = *self.first_tick.get_or_insert(now);
        let elapsed = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        let is_first = now <= first_tick;
        let pause = (!is_first && elapsed >= PAUSE_THRESHOLD).then_some(elapsed);
        if pause.is_some() {
            self.resumed_at = now;
        }
        let sent = std::mem::take(&mut self.sent_since_tick);
        if pause.is_none() && !is_first {
            self.track_send_rate(now, sent, elapsed);
        }
        self.check_outstanding(now, pause.is_some());
        self.learn(now);
        self.update_bets(now);
        self.confirm(now);
        self.end_recovered(now);
        pause
    }

    /// Adds the attempts sent since the last tick to the send rate, and records when the recent rate is well above its
    /// baseline.
    fn track_send_rate(&mut self, now: Duration, sent: f64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().clamp(MIN_RATE_SECONDS, 1.0);
        let sent = WeightedSum {
            sum: sent,
            weight: seconds,
        };
        self.send_rate.add(now, sent);
        let recent = self.send_rate.recent(now);
        let recent_rate = recent.sum / recent.weight.max(MIN_RATE_SECONDS);
        let baseline_rate = self.send_rate.mean(0.0, 1e-6);
        let known = self.send_rate.weight() > MIN_KNOWN_RATE_SECONDS;
        if known && recent_rate > RATE_JUMP_FACTOR * baseline_rate + RATE_JUMP_MARGIN {
            self.rate_jumped_at = Some(now);
        }
    }

    /// Takes the departures that were confirmed or have ended since the last call.
    pub fn take_reports(&mut self) -> Vec<DepartureReport> {
        std::mem::take(&mut self.reports)
    }

    /// An estimate of the monitor's memory per node, in bytes.
    pub fn memory_bytes_per_node(&self) -> usize {
        let pending_bytes = MAX_PENDING_SUMS * PENDING_SUM_BYTES;
        self.fleet.count() * (size_of::<Signal>() + pending_bytes) + size_of::<WatchedNode>()
    }
}
