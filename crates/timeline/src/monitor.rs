//! Decides what counts as a departure from the baseline, and whether it concerns one node, most nodes of a build, or
//! the fleet. Each node is compared with its own past and with what the other nodes show now, by the sequential tests
//! of [`crate::sequential_test`]. One fault is reported once, and a stage that began at the same time is named as a
//! hint, not as the cause.
//!
//! The rate of false alarms is set for the whole fleet: with K tests running side by side, the mean time to the first
//! false alarm of each is at least `K x 3600 / rate` seconds while its premise holds. The premise is that a bad
//! observation is no likelier than a limit, which `limits` derives from the baseline and from what other nodes show.
//!
//! Jobs by module: `membership` keeps the list of nodes, `attempts` and `outstanding` turn attempts into
//! observations, `signals` holds them by kind, `learning` takes them into the baselines, `limits` derives the tests'
//! limits, `confirm` decides when an alarm is a departure, `attribution` what it concerns, `recovery` when it is over,
//! and `departures` keeps the record of those that are open.
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

/// How many gathered sums a signal's baseline holds at most while they wait to be learned.
const MAX_PENDING_SUMS: usize = 12;
/// The seconds for which the send rate must have been learned before a jump of it is looked for.
const MIN_KNOWN_RATE_SECONDS: f64 = 4.0;

/// Watches all nodes of a fleet and reports departures from their baselines. Holds no clock and does no I/O.
#[derive(Debug)]
pub struct FleetMonitor {
    config: MonitorConfig,
    nodes: BTreeMap<u32, WatchedNode>,
    fleet: Signals,
    /// What the nodes of each build show together; only the baselines are used, not the tests.
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
    /// When the agent last ran again after a pause.
    resumed_at: Duration,
    latest_stage: Option<StageStart>,
    /// Departures that last, by number.
    open_departures: BTreeMap<u32, Departure>,
    next_number: u32,
    /// What [`FleetMonitor::take_reports`] returns next.
    reports: Vec<DepartureReport>,
}

impl FleetMonitor {
    /// A monitor that knows no node yet.
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

    /// Advances the monitor; to be called every [`TICK`]. Returns how long the agent was paused before, if it was.
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

    /// Takes the attempts sent since the last tick, and notes whether their rate is well above the baseline.
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

    /// An estimate of the memory that the monitor takes for a node, in bytes.
    pub fn memory_bytes_per_node(&self) -> usize {
        let pending_bytes = MAX_PENDING_SUMS * PENDING_SUM_BYTES;
        self.fleet.count() * (size_of::<Signal>() + pending_bytes) + size_of::<WatchedNode>()
    }
}
