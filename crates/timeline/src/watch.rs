//! Decides what counts as a departure from usual behaviour, and whether it concerns one node, most nodes of a build, or
//! the fleet. Each node is compared with its own past and with what the other nodes show now, by the sequential tests
//! of [`crate::detect`]. One fault is reported once, and a stage that began at the same time is named but not blamed.
//!
//! The rate of false events is set for the whole fleet: with K tests running side by side, the mean time to the first
//! false alarm of each is at least `K x 3600 / rate` seconds while its premise holds. The premise is that a bad
//! observation is no likelier than a limit, which `baseline` derives from the usual rate and from what others show.
//!
//! Jobs by module: `membership` keeps the list of nodes, `attempts` and `outstanding` turn attempts into
//! observations, `baseline` learns what is usual, `confirm` decides when an alarm is a departure, `attribution`
//! whom it concerns, `recovery` when it is over, and `departures` keeps the record of those that are open.
use std::collections::BTreeMap;
use std::time::Duration;

use crate::entry::Departure;
use crate::usual::{Sum, Usual};

mod attempts;
mod attribution;
mod baseline;
mod confirm;
mod departures;
mod membership;
mod node;
mod outstanding;
mod recovery;
mod settings;
mod signals;

pub use attempts::Ended;
pub use settings::{Aims, TICK};

use departures::StageStart;
use node::WatchedNode;
use settings::{MIN_RATE_SECONDS, PAUSE, RATE_JUMP_FACTOR, RATE_JUMP_MARGIN, SECONDS_PER_HOUR};
use signals::{Signal, Signals};

/// How many gathered sums a signal's baseline holds at most while they wait to be learned.
const WAITING_SUMS: usize = 12;

/// Watches all nodes of a fleet and reports departures from usual behaviour. Holds no clock and does no I/O.
pub struct Watch {
    aims: Aims,
    nodes: BTreeMap<u32, WatchedNode>,
    fleet: Signals,
    /// What the nodes of each build show together; only the baselines are used, not the tests.
    builds: BTreeMap<u16, Signals>,
    /// The usual time to an answer, in seconds, by product.
    answer_seconds: Vec<Usual>,
    /// Attempts sent per second.
    send_rate: Usual,
    sent_since_tick: f64,
    /// When the send rate was last seen well above the usual one.
    rate_jumped_at: Option<Duration>,
    first_tick: Option<Duration>,
    last_tick: Duration,
    /// When the agent last ran again after a pause.
    resumed_at: Duration,
    latest_stage: Option<StageStart>,
    /// Departures that go on, by number.
    open: BTreeMap<u32, Departure>,
    next_number: u32,
    /// What [`Watch::said`] will return next.
    reports: Vec<(Departure, bool)>,
}

impl Watch {
    /// A watch that knows no node yet.
    pub fn new(aims: Aims) -> Self {
        Watch {
            aims,
            nodes: BTreeMap::new(),
            fleet: Signals::new(aims.products),
            builds: BTreeMap::new(),
            answer_seconds: vec![Usual::default(); aims.products],
            send_rate: Usual::default(),
            sent_since_tick: 0.0,
            rate_jumped_at: None,
            first_tick: None,
            last_tick: Duration::ZERO,
            resumed_at: Duration::ZERO,
            latest_stage: None,
            open: BTreeMap::new(),
            next_number: 0,
            reports: Vec::new(),
        }
    }

    /// The evidence, in seconds, at which a test raises an alarm.
    pub fn threshold(&self) -> f64 {
        let tests = self.fleet.count() * (self.nodes.len() + 1);
        tests as f64 * SECONDS_PER_HOUR / self.aims.false_per_hour
    }

    /// Advances the watch; to be called every [`TICK`]. Returns how long the agent was paused before, if it was.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        let first_tick = *self.first_tick.get_or_insert(now);
        let elapsed = now.saturating_sub(self.last_tick);
        self.last_tick = now;
        let is_first = now <= first_tick;
        let pause = (!is_first && elapsed >= PAUSE).then_some(elapsed);
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

    /// Notes the attempts sent since the last tick, and whether their rate is well above the usual one.
    fn track_send_rate(&mut self, now: Duration, sent: f64, elapsed: Duration) {
        let seconds = elapsed.as_secs_f64().clamp(MIN_RATE_SECONDS, 1.0);
        self.send_rate.put(
            now,
            Sum {
                yes: sent,
                all: seconds,
            },
        );
        let recent = self.send_rate.lately(now);
        let recent_rate = recent.yes / recent.all.max(MIN_RATE_SECONDS);
        let usual_rate = self.send_rate.share(0.0, 1e-6);
        let known = self.send_rate.learned().all > 4.0;
        if known && recent_rate > RATE_JUMP_FACTOR * usual_rate + RATE_JUMP_MARGIN {
            self.rate_jumped_at = Some(now);
        }
    }

    /// Takes the reports since the last call: departures that were confirmed (`true`) or have ended (`false`).
    pub fn said(&mut self) -> Vec<(Departure, bool)> {
        std::mem::take(&mut self.reports)
    }

    /// The departures that go on.
    pub fn open(&self) -> impl Iterator<Item = &Departure> {
        self.open.values()
    }

    /// An estimate of the memory one node takes, in octets.
    pub fn octets_a_node(&self) -> usize {
        let waiting = WAITING_SUMS * size_of::<(Duration, Sum)>();
        self.fleet.count() * (size_of::<Signal>() + waiting) + size_of::<WatchedNode>()
    }
}
