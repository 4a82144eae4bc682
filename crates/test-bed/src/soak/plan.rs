//! What one run of the soak does, drawn from its seed: the size of the fleet, the system calls that fail, and what
//! happens to whom, in which order.
use std::time::Duration;

use lilacgate_fault_script::script::{Call, Fault, Rule};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::client::Traffic;

/// What happens in a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Step {
    /// The agent reads its files again.
    Reload,
    /// The agent writes its counters.
    ShowCounters,
    /// The agent's process does not run for this time.
    HoldUp(Duration),
    /// An endpoint drains, and takes requests again.
    Drain(usize),
    /// An endpoint's process is replaced by a new one.
    RestartEndpoint(usize),
    /// An endpoint stops answering, or answers again.
    ToggleSilence(usize),
    /// So many clients connect at once; some of them send a part of a command.
    Crowd(usize),
    /// The agent is killed, and starts again.
    Kill,
    /// The agent gets SIGTERM, serves up to the kill at the earliest time, and starts again.
    Terminate,
}

/// A run.
#[derive(Clone, Debug)]
pub struct Plan {
    /// How many endpoints there are.
    pub endpoints: usize,
    /// The mean time that they take for a request.
    pub service_time: Duration,
    /// What clients send.
    pub traffic: Traffic,
    /// The system calls of the agent that fail.
    pub faults: Vec<Rule>,
    /// What happens, and how long after the step before.
    pub steps: Vec<(Duration, Step)>,
}

/// The deadline of all requests.
pub(super) const DEADLINE: Duration = Duration::from_millis(1000);
/// An hour, and a few seconds: how far wall clocks are stepped.
const CLOCK_STEPS_MS: [i64; 4] = [3_600_000, -3_600_000, 5_000, -5_000];
/// The most that a call fails of all its calls.
const MAX_FAULT_SHARE: f64 = 0.05;

/// How calls fail for a moment, as Linux documents it.
const FAULTS: [(Call, Fault); 16] = [
    (Call::Receive, Fault::Error(libc_errors::EINTR)),
    (Call::Receive, Fault::Short),
    (Call::Receive, Fault::Error(libc_errors::ENOMEM)),
    (Call::Send, Fault::Error(libc_errors::EINTR)),
    (Call::Send, Fault::Short),
    (Call::Send, Fault::Error(libc_errors::ENOBUFS)),
    (Call::Accept, Fault::Error(libc_errors::EINTR)),
    (Call::Accept, Fault::Error(libc_errors::ECONNABORTED)),
    (Call::Accept, Fault::Error(libc_errors::ENFILE)),
    (Call::Accept, Fault::Error(libc_errors::ENOBUFS)),
    (Call::Socket, Fault::Error(libc_errors::ENFILE)),
    (Call::Socket, Fault::Error(libc_errors::ENOBUFS)),
    (Call::Connect, Fault::Error(libc_errors::EADDRNOTAVAIL)),
    (Call::Connect, Fault::Error(libc_errors::ENETUNREACH)),
    (Call::Connect, Fault::Error(libc_errors::EAGAIN)),
    (Call::Connect, Fault::Error(libc_errors::EINTR)),
];

/// Error numbers of Linux.
mod libc_errors {
    pub(super) const EINTR: i32 = 4;
    pub(super) const EAGAIN: i32 = 11;
    pub(super) const ENOMEM: i32 = 12;
    pub(super) const ENFILE: i32 = 23;
    pub(super) const EADDRNOTAVAIL: i32 = 99;
    pub(super) const ENETUNREACH: i32 = 101;
    pub(super) const ECONNABORTED: i32 = 103;
    pub(super) const ENOBUFS: i32 = 105;
}

impl Plan {
    /// Draws a run.
    #[must_use]
    pub fn draw(seed: u64) -> Plan {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let endpoints = random.random_range(3..7);
        let traffic = Traffic {
            clients: random.random_range(8..32),
            mean_pause: Duration::from_millis(random.random_range(10..80)),
            deadline: DEADLINE,
        };
        let steps = (0..random.random_range(6..12))
            .map(|_| {
                let pause = Duration::from_millis(random.random_range(100..500));
                (pause, draw_step(&mut random, endpoints))
            })
            .collect();
        Plan {
            endpoints,
            service_time: Duration::from_millis(random.random_range(5..30)),
            traffic,
            faults: draw_faults(&mut random),
            steps,
        }
    }
}

fn draw_faults(random: &mut Pcg64Mcg) -> Vec<Rule> {
    let mut rules: Vec<Rule> = FAULTS
        .iter()
        .filter(|_| random.random_bool(0.5))
        .map(|(call, fault)| Rule::new(*call, *fault))
        .collect();
    for rule in &mut rules {
        rule.share = random.random_range(0.0..MAX_FAULT_SHARE);
    }
    if random.random_bool(0.5) {
        let step = CLOCK_STEPS_MS[random.random_range(0..CLOCK_STEPS_MS.len())];
        let mut rule = Rule::new(Call::WallClock, Fault::StepMs(step));
        // From the start, or in service.
        rule.from_ms = if random.random_bool(0.5) { 0 } else { 1_500 };
        rules.push(rule);
    }
    rules
}

fn draw_step(random: &mut Pcg64Mcg, endpoints: usize) -> Step {
    let endpoint = random.random_range(0..endpoints);
    match random.random_range(0..20) {
        0..3 => Step::Reload,
        3..5 => Step::ShowCounters,
        5..8 => Step::HoldUp(Duration::from_millis(random.random_range(20..150))),
        8..11 => Step::Drain(endpoint),
        11..13 => Step::RestartEndpoint(endpoint),
        13..15 => Step::ToggleSilence(endpoint),
        15..17 => Step::Crowd(random.random_range(20..150)),
        17 => Step::Kill,
        _ => Step::Terminate,
    }
}
