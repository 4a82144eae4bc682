//! Faults on loopback, and what the agent's time line says of them.
use std::fmt;
use std::path::Path;
use std::time::{Duration, SystemTime, UNIX_EPOCH};

use lilacgate_store::reader::read;
use lilacgate_timeline::entry::{Entry, Event, Record};

use super::FALSE_EVENTS_PER_HOUR;
use crate::client::Traffic;
use crate::endpoint_server::{ClassFault, EndpointBehavior};
use crate::error::TestBedError;
use crate::release_control_plane::{ReleaseState, ignore_votes};
use crate::test_bed::{TestBed, ZONES};

const ENDPOINTS: usize = 6;
const SERVICE_TIME: Duration = Duration::from_millis(4);
const TRAFFIC: Traffic = Traffic {
    clients: 10,
    mean_pause: Duration::from_millis(30),
    deadline: Duration::from_millis(1000),
};

/// The time by which the agent knows what is normal.
const LEARNING_TIME: Duration = Duration::from_secs(13);
const FAULT_TIME: Duration = Duration::from_secs(6);
const RECOVERY_TIME: Duration = Duration::from_secs(7);
/// Faults of each run, one after another.
const FAULTS_PER_RUN: usize = 2;
const SUSPENSION_SEED: u64 = 99;

/// What befalls an endpoint, or all of them.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum Cause {
    Errors,
    Slow,
    OneClassFails,
    OneClassSlow,
    Silent,
    Refuses,
    Restart,
    AllSlow,
}

impl Cause {
    const ALL: [Cause; 8] = [
        Cause::Errors,
        Cause::Slow,
        Cause::OneClassFails,
        Cause::OneClassSlow,
        Cause::Silent,
        Cause::Refuses,
        Cause::Restart,
        Cause::AllSlow,
    ];

    /// The kinds of departure that name it.
    fn kinds(self) -> &'static [&'static str] {
        match self {
            Cause::Errors | Cause::OneClassFails => &["errors"],
            Cause::Slow | Cause::OneClassSlow | Cause::AllSlow => &["latency"],
            Cause::Silent => &["silence"],
            Cause::Refuses => &["links"],
            Cause::Restart => &["restart", "links"],
        }
    }

    /// Whose departure names it, as the agent logs it.
    fn subject(self, endpoint: usize) -> String {
        match self {
            Cause::AllSlow => "scope=fleet kind=".into(),
            _ => format!("scope=node node=\"s-d{endpoint}\" kind="),
        }
    }

    fn inject(self, bed: &mut TestBed, endpoint: usize) {
        match self {
            Cause::Restart => bed.restart_endpoint(endpoint),
            Cause::AllSlow => {
                for number in 0..ENDPOINTS {
                    bed.change_behavior(number, |behavior| behavior.mean_service_time *= 6);
                }
            }
            _ => bed.change_behavior(endpoint, |behavior| self.apply_to(behavior)),
        }
    }

    fn apply_to(self, behavior: &mut EndpointBehavior) {
        let class_fault = |class, slowdown, failure_share| {
            Some(ClassFault {
                class,
                slowdown,
                failure_share,
            })
        };
        match self {
            Cause::Errors => behavior.failure_share = 0.6,
            Cause::Slow => behavior.mean_service_time *= 8,
            Cause::OneClassFails => behavior.class_fault = class_fault("post", 1.0, 0.8),
            Cause::OneClassSlow => behavior.class_fault = class_fault("read", 8.0, 0.0),
            Cause::Silent => behavior.silent = true,
            Cause::Refuses => behavior.closes_connections = true,
            Cause::Restart | Cause::AllSlow => {}
        }
    }
}

impl fmt::Display for Cause {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(match self {
            Cause::Errors => "errors",
            Cause::Slow => "slow",
            Cause::OneClassFails => "one product fails",
            Cause::OneClassSlow => "one product slow",
            Cause::Silent => "silent",
            Cause::Refuses => "refuses",
            Cause::Restart => "restart",
            Cause::AllSlow => "all slow",
        })
    }
}

/// An injected fault.
#[derive(Debug)]
pub(super) struct FaultResult {
    pub(super) cause: Cause,
    /// After how many seconds a departure named it.
    pub(super) named_after: Option<f64>,
}

/// What one run has found.
#[derive(Debug, Default)]
pub(super) struct FaultRun {
    pub(super) faults: Vec<FaultResult>,
    /// Departures that name no injected fault, or why there was no run.
    pub(super) strays: Vec<String>,
}

/// Starts a fleet with traffic. `timeline` is the `<timeline>` element of its operator's file, or nothing.
pub(super) fn start_fleet(
    program: &Path,
    seed: u64,
    timeline: &str,
) -> Result<TestBed, TestBedError> {
    let mut bed = TestBed::new(program, seed, ReleaseState::released(1), ignore_votes());
    for number in 0..ENDPOINTS {
        bed.add_endpoint(healthy(number));
    }
    let operator_file = bed.operator_file("", timeline);
    bed.write_operator_file(&operator_file);
    bed.start_agent(true)?;
    bed.start_clients(TRAFFIC);
    Ok(bed)
}

fn healthy(number: usize) -> EndpointBehavior {
    EndpointBehavior::healthy(1, number % ZONES.len(), SERVICE_TIME)
}

fn remove_faults(bed: &TestBed) {
    for number in 0..ENDPOINTS {
        bed.change_behavior(number, |behavior| *behavior = healthy(number));
    }
}

/// A fault, and when it was injected.
struct InjectedFault {
    cause: Cause,
    endpoint: usize,
    /// Seconds since 1970, as in the agent's log.
    at: f64,
}

/// Runs a fleet with some faults, one after another.
pub(super) fn run_faults(program: &Path, seed: u64) -> FaultRun {
    let timeline = format!("<timeline false-events-per-hour=\"{FALSE_EVENTS_PER_HOUR}\"/>");
    let mut bed = match start_fleet(program, seed, &timeline) {
        Ok(bed) => bed,
        Err(error) => {
            return FaultRun {
                strays: vec![error.to_string()],
                ..FaultRun::default()
            };
        }
    };
    bed.wait(LEARNING_TIME);
    let injected = inject_faults(&mut bed, seed as usize);
    let mut departures = logged_departures(&bed.shut_down());
    let faults = injected
        .into_iter()
        .map(|fault| FaultResult {
            cause: fault.cause,
            named_after: take_departure(&mut departures, &fault),
        })
        .collect();
    FaultRun {
        faults,
        strays: departures
            .into_iter()
            .map(|departure| departure.text)
            .collect(),
    }
}

fn inject_faults(bed: &mut TestBed, run: usize) -> Vec<InjectedFault> {
    let mut injected = Vec::new();
    for i in 0..FAULTS_PER_RUN {
        let fault = InjectedFault {
            cause: Cause::ALL[(run * FAULTS_PER_RUN + i) % Cause::ALL.len()],
            endpoint: (run + i * 2) % ENDPOINTS,
            at: seconds_since_1970(),
        };
        fault.cause.inject(bed, fault.endpoint);
        injected.push(fault);
        bed.wait(FAULT_TIME);
        remove_faults(bed);
        if i + 1 < FAULTS_PER_RUN {
            bed.wait(RECOVERY_TIME);
        }
    }
    injected
}

fn seconds_since_1970() -> f64 {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
        .as_secs_f64()
}

/// A departure in the agent's log.
#[derive(Debug)]
struct LoggedDeparture {
    /// Seconds since 1970.
    at: f64,
    /// Whose departure it is, then its kind.
    text: String,
}

/// The departures in an agent's log, whose lines begin with the time.
fn logged_departures(log: &str) -> Vec<LoggedDeparture> {
    let departure = |line: &str| {
        let (at, text) = line.split_once(' ')?;
        let (_, text) = text
            .strip_prefix("departure_began number=")?
            .split_once(' ')?;
        Some(LoggedDeparture {
            at: at.parse().ok()?,
            text: text.to_owned(),
        })
    };
    log.lines().filter_map(departure).collect()
}

/// Removes the first departure that names a fault in time; after how many seconds it did.
fn take_departure(departures: &mut Vec<LoggedDeparture>, fault: &InjectedFault) -> Option<f64> {
    let subject = fault.cause.subject(fault.endpoint);
    let last = fault.at + (FAULT_TIME + RECOVERY_TIME).as_secs_f64();
    let names = |departure: &LoggedDeparture| {
        let kind = departure.text.strip_prefix(&subject);
        let kind_fits = kind.is_some_and(|text| {
            fault
                .cause
                .kinds()
                .iter()
                .any(|kind| text.starts_with(kind))
        });
        kind_fits && (fault.at..last).contains(&departure.at)
    };
    let place = departures.iter().position(names)?;
    Some(departures.remove(place).at - fault.at)
}

/// What an agent that was stopped for a time says of it.
#[derive(Debug, PartialEq, Eq)]
pub struct SuspensionReport {
    /// The log lines of all departures.
    pub departures: Vec<String>,
    /// Whether its own time line has an entry of the suspension.
    pub recorded: bool,
}

/// Stops the agent for two seconds and lets it go on.
///
/// # Errors
/// If the agent does not serve, or its store cannot be read.
///
/// # Panics
/// If stand-ins cannot be started, files cannot be written, or the agent cannot be signalled.
pub fn suspend_agent(program: &Path) -> Result<SuspensionReport, TestBedError> {
    let store = tempfile::tempdir()?;
    let timeline = format!("<timeline store=\"{}\"/>", store.path().display());
    let mut bed = start_fleet(program, SUSPENSION_SEED, &timeline)?;
    let signal = |bed: &TestBed, name| {
        if let Some(agent) = &bed.agent {
            agent.signal(name);
        }
    };
    bed.wait(LEARNING_TIME);
    signal(&bed, "STOP");
    bed.wait(Duration::from_secs(2));
    signal(&bed, "CONT");
    bed.wait(Duration::from_secs(3));
    let log = bed.shut_down();
    // The agent was killed; what it had handed over before is in the store.
    let stored = read(store.path())?;
    let is_suspension = |record: &Record| {
        let Record::Entry(Entry { event: what, .. }) = record else {
            return false;
        };
        matches!(what, Event::Paused { .. })
    };
    let departures = log
        .lines()
        .filter(|line| line.contains("departure_"))
        .map(str::to_owned)
        .collect();
    Ok(SuspensionReport {
        departures,
        recorded: stored.records.iter().any(is_suspension),
    })
}
