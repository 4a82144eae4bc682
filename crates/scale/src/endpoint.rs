//! Simulated endpoints: a queue before a few workers, a slow start after a restart, and rejections
//! when the queue is full.
use std::time::Duration;

use lilacgate_decision::Outcome;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::network::{ONE_WAY, ServiceIndex};
use crate::settings::{INITIAL_CAPACITY_SHARE, RAMP_MICROS};
use crate::wire::{Entry, ListedState};

/// Workers of an endpoint.
const WORKERS: usize = 2;
/// The longest wait in its queue; requests that would wait longer are rejected.
const QUEUE_LIMIT: Duration = Duration::from_secs(1);
/// Spread of the time that the same work takes (sigma of a log-normal distribution).
const TIME_SPREAD: f64 = 0.2;
/// Share of requests that fail at a good build.
const FAILURE_SHARE: f64 = 0.0005;
/// How long an agent tries to connect before it gives up.
pub const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);

/// Whether an endpoint's process runs.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Power {
    /// It runs.
    Up,
    /// The process has ended; connections are refused.
    Refusing,
    /// The machine or its network is down; nothing answers.
    Silent,
}

/// The end of an attempt, as its agent receives it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Reply {
    /// How it ended.
    pub outcome: Outcome,
    /// When the agent receives it.
    pub at: Duration,
}

/// A simulated endpoint.
#[derive(Clone, Debug)]
pub struct SimulatedEndpoint {
    /// Its service.
    pub service: ServiceIndex,
    /// Its zone, counted over all regions.
    pub zone: u32,
    /// Its rack.
    pub rack: u32,
    /// Whether it runs.
    pub power: Power,
    /// Its entry on the list.
    pub entry: Entry,
    /// Attempts that reached it while it ran.
    pub requests_received: u64,
    free_at: [Duration; WORKERS],
    random: Pcg64Mcg,
    time: Option<LogNormal<f64>>,
}

impl SimulatedEndpoint {
    /// Creates an endpoint at full capacity; its draws depend on the seed and its index alone.
    pub fn new(entry: Entry, service: ServiceIndex, zone: u32, rack: u32, seed: u64) -> Self {
        let mix = u64::from(entry.index)
            .wrapping_add(1)
            .wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let random = Pcg64Mcg::seed_from_u64(seed ^ mix);
        // The mean of the factor is 1.
        let time = LogNormal::new(-TIME_SPREAD * TIME_SPREAD / 2.0, TIME_SPREAD).ok();
        let (free_at, requests_received) = Default::default();
        SimulatedEndpoint {
            service,
            zone,
            rack,
            power: Power::Up,
            entry,
            requests_received,
            free_at,
            random,
            time,
        }
    }

    /// Starts its process again with a build, at its initial capacity.
    pub fn restart(&mut self, now: Duration, build: u16) {
        self.power = Power::Up;
        self.free_at = Default::default();
        self.entry.started = now;
        self.entry.build = build;
        self.entry.state = ListedState::Ready;
    }

    /// Receives an attempt that was sent at the given time; `until` is when its agent stops waiting.
    pub fn take(&mut self, sent: Duration, work: Duration, until: Duration) -> Reply {
        let arrives = sent + ONE_WAY;
        match self.power {
            Power::Up => self.serve(arrives, work, until),
            Power::Refusing => Reply {
                outcome: Outcome::ConnectFailed,
                at: arrives + ONE_WAY,
            },
            Power::Silent => Reply {
                outcome: Outcome::ConnectFailed,
                at: sent + CONNECT_TIMEOUT,
            },
        }
    }

    fn serve(&mut self, arrives: Duration, work: Duration, until: Duration) -> Reply {
        self.requests_received += 1;
        let factor = self.time.map_or(1.0, |time| time.sample(&mut self.random));
        let fails = self.random.random::<f64>() < FAILURE_SHARE;
        let Some(worker) = self.free_at.iter_mut().min() else {
            return Reply {
                outcome: Outcome::Rejected,
                at: arrives + ONE_WAY,
            };
        };
        let begins = arrives.max(*worker);
        if begins - arrives > QUEUE_LIMIT {
            return Reply {
                outcome: Outcome::Rejected,
                at: arrives + ONE_WAY,
            };
        }
        let ends = begins + work.mul_f64(factor / capacity_share(self.entry.started, begins));
        *worker = ends;
        if ends + ONE_WAY > until {
            return Reply {
                outcome: Outcome::TimedOut,
                at: until,
            };
        }
        let outcome = if fails {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        Reply {
            outcome,
            at: ends + ONE_WAY,
        }
    }
}

/// The share of its full capacity that an endpoint has, which grows after its start.
fn capacity_share(started: Duration, now: Duration) -> f64 {
    let age = now.saturating_sub(started);
    let ramp = Duration::from_micros(RAMP_MICROS);
    if started.is_zero() || age >= ramp {
        return 1.0;
    }
    INITIAL_CAPACITY_SHARE + (1.0 - INITIAL_CAPACITY_SHARE) * age.as_secs_f64() / ramp.as_secs_f64()
}
