//! The soak: a real agent among stand-ins, in many short runs. In each, system calls of the agent fail, its wall clock is
//! stepped, signals come in series, endpoints drain, restart and fall silent, crowds come, and the agent is killed at the
//! earliest time that a planned restart allows, with clients on its open connections. [`crate::check`] judges: it is
//! written from the protocol, and knows nothing of the agent.
mod plan;

use std::collections::BTreeMap;
use std::io::Write as _;
use std::net::TcpStream;
use std::path::Path;
use std::time::{Duration, Instant};

use lilacgate_fault_script::script::{Call, Fault, Script};

pub use self::plan::{Plan, Step};
use crate::check::{CheckLimits, CheckReport, check};
use crate::endpoint_server::EndpointBehavior;
use crate::release_control_plane::{ReleaseState, ignore_votes};
use crate::test_bed::{AgentTermination, TestBed};

/// A planned restart may kill the agent so long after SIGTERM.
const KILL_TIMEOUT: Duration = plan::DEADLINE.saturating_add(Duration::from_millis(700));
/// How late the machine may make an agent's exit, or its answer beyond the half second in which it only earns nothing.
const MACHINE_SLACK: Duration = Duration::from_millis(150);
/// An answer after its deadline only earns nothing for so long.
const LATE_ANSWER: Duration = Duration::from_millis(500);
/// A part of a command.
const PARTIAL_COMMAND: &[u8] = b"*4\r\n$9\r\nSVC";
/// The time after the last step, for answers to come.
const LAST_ANSWERS: Duration = Duration::from_millis(1500);

/// The share of answers that endpoints write twice.
const SECOND_ANSWER_SHARE: f64 = 0.05;

/// What came of some runs.
#[derive(Clone, Debug, Default)]
pub struct SoakReport {
    /// How many runs there were.
    pub seeds: u64,
    /// What the checker found in all of them.
    pub check: CheckReport,
    /// How often calls were made to fail, by call and fault.
    pub injected: BTreeMap<String, u64>,
    /// How often the agent ended by itself, did not serve, or did not end in time.
    pub crashes: Vec<String>,
    /// The longest time from a start to the first answer.
    pub slowest_start: Duration,
    /// The seeds in which a rule was broken.
    pub broken: Vec<u64>,
}

impl SoakReport {
    /// Whether no rule was broken.
    #[must_use]
    pub fn is_clean(&self) -> bool {
        // Rejections are no break here: agents that drain, and endpoints that fall silent, bring them about. Nor are
        // attempts that overlap: an endpoint notices late that the agent has given one up.
        let check = &self.check;
        check.lost + check.ran_twice + check.forbidden_attempts == 0
            && check.violations.is_empty()
            && self.crashes.is_empty()
    }

    fn merge(&mut self, seed: u64, run: &SoakReport) {
        if !run.is_clean() {
            self.broken.push(seed);
        }
        self.seeds += 1;
        self.check.merge(&run.check);
        for (name, count) in &run.injected {
            *self.injected.entry(name.clone()).or_default() += count;
        }
        self.crashes.extend(run.crashes.iter().cloned());
        self.slowest_start = self.slowest_start.max(run.slowest_start);
    }
}

/// Plays runs with these seeds, each for itself, and prints a line for each; what broke a rule is printed with its plan.
/// Ends early once `limit` has passed.
pub fn run(program: &Path, seeds: std::ops::Range<u64>, limit: Option<Duration>) -> SoakReport {
    let started = Instant::now();
    let mut total = SoakReport::default();
    for seed in seeds {
        if limit.is_some_and(|limit| started.elapsed() >= limit) {
            break;
        }
        let report = run_seed(program, seed);
        println!(
            "seed {seed}: requests {} succeeded {} rejected {} failed {} {}",
            report.check.requests,
            report.check.succeeded,
            report.check.rejected,
            report.check.failed,
            if report.is_clean() { "ok" } else { "BROKEN" }
        );
        if !report.is_clean() {
            println!("{report:#?}\n{:#?}", Plan::draw(seed));
        }
        total.merge(seed, &report);
    }
    total
}

/// Plays one run.
#[must_use]
pub fn run_seed(program: &Path, seed: u64) -> SoakReport {
    let plan = Plan::draw(seed);
    let mut run = Run {
        bed: TestBed::new(program, seed, ReleaseState::released(1), ignore_votes()),
        report: SoakReport::default(),
        crowd: Vec::new(),
        logs: String::new(),
    };
    for number in 0..plan.endpoints {
        run.bed.add_endpoint(EndpointBehavior {
            second_answer_share: SECOND_ANSWER_SHARE,
            ..EndpointBehavior::healthy(1, number % 2, plan.service_time)
        });
    }
    run.bed.set_faults(seed, plan.faults.clone());
    run.start();
    run.bed.start_clients(plan.traffic);
    for (pause, step) in &plan.steps {
        run.bed.wait(*pause);
        run.play(*step);
    }
    run.terminate();
    run.bed.wait(LAST_ANSWERS);
    run.finish()
}

/// A run as far as it has been played.
struct Run {
    bed: TestBed,
    report: SoakReport,
    /// Connections of a crowd that stays.
    crowd: Vec<TcpStream>,
    /// What agents that have ended logged.
    logs: String,
}

impl Run {
    fn start(&mut self) {
        let started = Instant::now();
        if let Err(error) = self.bed.start_agent(false) {
            println!("the agent does not serve: {error}");
            self.report.crashes.push(error.to_string());
        }
        self.report.slowest_start = self.report.slowest_start.max(started.elapsed());
    }

    fn play(&mut self, step: Step) {
        if !self.bed.is_agent_running() {
            let log = self.bed.agent_log();
            self.report.crashes.push(format!("ended by itself: {log}"));
            self.bed.kill_agent();
            self.start();
        }
        match step {
            Step::Reload => self.bed.signal_agent("HUP"),
            Step::ShowCounters => self.bed.signal_agent("USR1"),
            Step::HoldUp(time) => {
                self.bed.signal_agent("STOP");
                self.bed.wait(time);
                self.bed.signal_agent("CONT");
            }
            Step::Drain(endpoint) => {
                self.bed.set_ready(endpoint, false);
                self.bed.wait(Duration::from_millis(300));
                self.bed.set_ready(endpoint, true);
            }
            Step::RestartEndpoint(endpoint) => self.bed.restart_endpoint(endpoint),
            Step::ToggleSilence(endpoint) => self
                .bed
                .change_behavior(endpoint, |behavior| behavior.silent = !behavior.silent),
            Step::Crowd(size) => self.crowd = self.open_crowd(size),
            Step::Kill => {
                self.bed.kill_agent();
                self.start();
            }
            Step::Terminate => {
                self.terminate();
                self.start();
            }
        }
    }

    fn open_crowd(&self, size: usize) -> Vec<TcpStream> {
        let address = self.bed.agent_address();
        let timeout = Duration::from_millis(200);
        let connections =
            (0..size).filter_map(|_| TcpStream::connect_timeout(&address, timeout).ok());
        let mut crowd: Vec<TcpStream> = connections.collect();
        for connection in crowd.iter_mut().step_by(2) {
            connection.write_all(PARTIAL_COMMAND).ok();
        }
        crowd
    }

    /// Ends the agent as a planned restart does: with more signals than one, and a kill at the earliest time.
    fn terminate(&mut self) {
        self.bed.signal_agent("HUP");
        let AgentTermination { exited, log } =
            self.bed.terminate_agent(KILL_TIMEOUT + MACHINE_SLACK);
        if !exited {
            let end: Vec<&str> = log.lines().rev().take(5).collect();
            self.report
                .crashes
                .push(format!("not ended in time: {end:?}"));
        }
        self.logs.push_str(&log);
    }

    fn finish(mut self) -> SoakReport {
        for (name, count) in self.bed.injected_faults() {
            *self.report.injected.entry(name).or_default() += count;
        }
        self.logs.push_str(&self.bed.shut_down());
        let limits = CheckLimits {
            answer_slack: LATE_ANSWER + MACHINE_SLACK,
            ..CheckLimits::default()
        };
        self.report.check = check(&self.bed.event_log.events(), &limits);
        if !self.report.is_clean() {
            println!("the agents' log:\n{}", self.logs);
        }
        self.report
    }
}

/// The name of a rule's fault in reports.
#[must_use]
pub fn fault_name(call: Call, fault: Fault) -> String {
    match fault {
        Fault::Error(number) => format!("{call:?} errno {number}"),
        Fault::Short => format!("{call:?} short"),
        Fault::DelayMs(_) => format!("{call:?} late"),
        Fault::StepMs(_) => format!("{call:?} stepped"),
    }
}

/// The faults of a script and how often each has hit a call.
pub(crate) fn injected(script: &Script) -> Vec<(String, u64)> {
    let counts = lilacgate_fault_script::counts::read(&script.counts).unwrap_or_default();
    let names = script
        .rules
        .iter()
        .map(|rule| fault_name(rule.call, rule.fault));
    names.zip(counts).collect()
}
