//! Measures the processor time of the decision engine for several lengths of the endpoint list: in each second, in the
//! worst round, and for a full list. One engine runs in virtual time; all attempts succeed, except in
//! [`Scenario::Faults`].
//!
//! `cargo run --release --example round_cost [SECONDS]`
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, Cell, DecisionEngine, Endpoint, EndpointId,
    EventHandler, ListUpdate, MachineModel, Outcome, ReleasePhase, RequestClass, RequestId, Stage,
    TimerId, Vote, Zone,
};
use rustix::time::{ClockId, clock_gettime};

#[path = "../tests/engine/support/setup.rs"]
mod setup;

use setup::{EPOCH, READ, ReleaseUpdate, WORK, agent_settings, request};

const SECOND: Duration = Duration::from_secs(1);
const LIST_LENGTHS: [u32; 5] = [35, 150, 600, 2_400, 7_400];

/// What happens besides requests and changes of the list.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scenario {
    Steady,
    /// Half of the listed endpoints run a canary.
    Canary,
    /// A tenth of the attempts fail, and one endpoint in twenty refuses connections.
    Faults,
    /// The endpoints of one zone of eight restart, halfway through.
    ZoneRestart,
}

/// The load on one engine.
#[derive(Clone, Copy)]
struct Load {
    scenario: Scenario,
    requests_per_second: u32,
    /// Changes of single entries of the list.
    changes_per_second: u32,
}

impl Load {
    const fn new(scenario: Scenario, requests_per_second: u32, changes_per_second: u32) -> Self {
        Load {
            scenario,
            requests_per_second,
            changes_per_second,
        }
    }
}

const LOADS: [Load; 7] = [
    Load::new(Scenario::Steady, 62, 0),
    Load::new(Scenario::Steady, 62, 1),
    Load::new(Scenario::Steady, 300, 0),
    Load::new(Scenario::Steady, 0, 0),
    Load::new(Scenario::Canary, 62, 1),
    Load::new(Scenario::Faults, 62, 1),
    Load::new(Scenario::ZoneRestart, 62, 0),
];

/// The endpoint of an index: there are three models, cells of five endpoints, and eight zones.
fn endpoint(index: u32, scenario: Scenario) -> Endpoint {
    let runs_canary = scenario == Scenario::Canary && index.is_multiple_of(2);
    Endpoint {
        machine_model: MachineModel((index % 3) as u8),
        build: Build(if runs_canary { 2 } else { 1 }),
        cell: Cell((index / 5) as u16),
        zone: Zone((index % 8) as u8),
        ..setup::endpoint(index)
    }
}

fn outcome(scenario: Scenario, request: RequestId, endpoint: EndpointId) -> Outcome {
    match scenario {
        Scenario::Faults if endpoint.0.is_multiple_of(20) => Outcome::ConnectFailed,
        Scenario::Faults if request.0.is_multiple_of(10) => Outcome::Failed,
        _ => Outcome::Succeeded,
    }
}

/// Takes the attempts decided in a round and the wake-ups that the engine asks for. It records nothing else, which
/// keeps its own cost out of the figures.
#[derive(Default)]
struct Decided {
    sent: Vec<(RequestId, EndpointId)>,
    wake_ups: Vec<Duration>,
}

impl Actions for Decided {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, _: Duration, _: Option<Duration>) {
        self.sent.push((id, to));
    }
    fn reject(&mut self, _: RequestId, _: Duration) {}
    fn fail(&mut self, _: RequestId) {}
    fn cancel(&mut self, _: RequestId, _: AttemptNumber) {}
    fn schedule_wake_up(&mut self, at: Duration, _: TimerId) {
        self.wake_ups.push(at);
    }
    fn check_health(&mut self, _: EndpointId) {}
    fn close_idle_connections(&mut self, _: EndpointId) {}
    fn send_to_peer(&mut self, _: Option<AgentId>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
    fn watch_endpoints(&mut self, _: bool) {}
    fn fetch_endpoints(&mut self) {}
    fn vote(&mut self, _: Build, _: Stage, _: Vote) {}
}

/// Processor time that this thread has used.
fn processor_time() -> Duration {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// An event that happens at a set time, besides wake-ups.
enum Event {
    Request(u32),
    Answer {
        request: RequestId,
        attempt: AttemptNumber,
        endpoint: EndpointId,
    },
    ListChange(u32),
    ZoneRestart,
}

/// Events by time; a serial number keeps events of the same time in the order in which they were added.
#[derive(Default)]
struct Schedule {
    events: BTreeMap<(Duration, u32), Event>,
    serial: u32,
}

impl Schedule {
    /// All events that a load brings in a number of seconds.
    fn new(load: Load, seconds: u32) -> Self {
        let mut schedule = Schedule::default();
        for number in 0..load.requests_per_second * seconds {
            let at = EPOCH + SECOND * number / load.requests_per_second;
            schedule.add(at, Event::Request(number));
        }
        for number in 0..load.changes_per_second * seconds {
            let at = EPOCH + SECOND * number / load.changes_per_second;
            schedule.add(at, Event::ListChange(number));
        }
        if load.scenario == Scenario::ZoneRestart {
            schedule.add(EPOCH + SECOND * seconds / 2, Event::ZoneRestart);
        }
        schedule
    }

    fn add(&mut self, at: Duration, event: Event) {
        self.serial += 1;
        self.events.insert((at, self.serial), event);
    }

    fn next(&self) -> Option<Duration> {
        self.events.keys().next().map(|(at, _)| *at)
    }

    fn take_due(&mut self, now: Duration) -> impl Iterator<Item = Event> + use<> {
        let later = self.events.split_off(&(now, u32::MAX));
        std::mem::replace(&mut self.events, later).into_values()
    }
}

/// What an engine has cost.
struct Cost {
    /// Processor time of each round, in ascending order.
    rounds: Vec<Duration>,
    /// Processor time of the round with the first full list.
    first_list: Duration,
    /// The same for a second list that is equal to the first.
    same_list: Duration,
    endpoints_used: usize,
    rows_visited: u64,
}

impl Cost {
    /// The 99.9th percentile of the processor time of a round.
    fn high_round(&self) -> Duration {
        let count = self.rounds.len();
        let rank = (count - count / 1000).saturating_sub(1);
        self.rounds.get(rank).copied().unwrap_or_default()
    }
}

/// One engine in virtual time.
struct Simulation {
    engine: DecisionEngine,
    scenario: Scenario,
    endpoints: Vec<Endpoint>,
    schedule: Schedule,
    wake_ups: BTreeSet<Duration>,
    attempts: BTreeMap<RequestId, u8>,
    decided: Decided,
    used: BTreeSet<EndpointId>,
}

impl Simulation {
    fn new(listed: u32, load: Load, seconds: u32) -> Self {
        let mut settings = agent_settings(17, 530, 0);
        settings.seed = 1;
        let endpoints = (0..listed).map(|index| endpoint(index, load.scenario));
        Simulation {
            engine: DecisionEngine::new(settings),
            scenario: load.scenario,
            endpoints: endpoints.collect(),
            schedule: Schedule::new(load, seconds),
            wake_ups: BTreeSet::new(),
            attempts: BTreeMap::new(),
            decided: Decided::default(),
            used: BTreeSet::new(),
        }
    }

    /// Runs the engine for a number of seconds.
    fn run(mut self, seconds: u32) -> Cost {
        let first_list = self.list_endpoints(EPOCH);
        let same_list = self.list_endpoints(EPOCH + Duration::from_millis(5));
        self.wake_ups.extend(self.decided.wake_ups.drain(..));
        let end = EPOCH + SECOND * seconds;
        let mut rounds = Vec::new();
        while let Some(now) = self.next_round().filter(|at| *at < end) {
            rounds.push(self.round(now));
        }
        rounds.sort();
        Cost {
            rounds,
            first_list,
            same_list,
            endpoints_used: self.used.len(),
            rows_visited: self.engine.rows_visited(),
        }
    }

    fn next_round(&self) -> Option<Duration> {
        let wake_up = self.wake_ups.first().copied();
        self.schedule.next().into_iter().chain(wake_up).min()
    }

    /// Plays a round in which the full list comes. Returns its processor time.
    fn list_endpoints(&mut self, now: Duration) -> Duration {
        let endpoints = self.endpoints.clone();
        let scenario = self.scenario;
        let began_at = processor_time();
        let events = |events: &mut dyn EventHandler| {
            ReleaseUpdate::FIRST_BUILD_RELEASED.send_to(events);
            if scenario == Scenario::Canary {
                let canary = ReleaseUpdate {
                    build: Build(2),
                    stage: Stage(1),
                    phase: ReleasePhase::Canary,
                    cap: 0.6,
                };
                canary.send_to(events);
            }
            events.on_endpoints(ListUpdate::Full, &mut endpoints.into_iter());
        };
        self.engine.round(now, events, &mut self.decided);
        processor_time() - began_at
    }

    /// Plays a round with all events that are due. Returns its processor time.
    fn round(&mut self, now: Duration) -> Duration {
        self.wake_ups.retain(|at| *at > now);
        let due = self.schedule.take_due(now);
        let (scenario, endpoints) = (self.scenario, &self.endpoints);
        let began_at = processor_time();
        let events = |events: &mut dyn EventHandler| {
            for event in due {
                play(event, now, scenario, endpoints, events);
            }
        };
        self.engine.round(now, events, &mut self.decided);
        let cost = processor_time() - began_at;
        self.wake_ups.extend(self.decided.wake_ups.drain(..));
        for (request, endpoint) in self.decided.sent.drain(..) {
            self.used.insert(endpoint);
            let attempts = self.attempts.entry(request).or_default();
            let answer = Event::Answer {
                request,
                attempt: AttemptNumber(*attempts),
                endpoint,
            };
            self.schedule.add(now + WORK, answer);
            *attempts += 1;
        }
        cost
    }
}

fn play(
    event: Event,
    now: Duration,
    scenario: Scenario,
    endpoints: &[Endpoint],
    events: &mut dyn EventHandler,
) {
    let just_started = |endpoint: &Endpoint| Endpoint {
        started: Some(now),
        ..*endpoint
    };
    match event {
        Event::Request(number) => {
            let request = request(RequestClass(0), now + READ.deadline);
            events.on_request(RequestId(number), request);
        }
        Event::Answer {
            request,
            attempt,
            endpoint,
        } => {
            let outcome = outcome(scenario, request, endpoint);
            let closed = outcome == Outcome::Succeeded;
            events.on_attempt_ended(request, attempt, endpoint, outcome, WORK, closed);
        }
        Event::ZoneRestart => {
            let in_zone = endpoints.iter().filter(|endpoint| endpoint.zone == Zone(0));
            let restarted: Vec<Endpoint> = in_zone.map(just_started).collect();
            events.on_endpoints(ListUpdate::Delta, &mut restarted.into_iter());
        }
        Event::ListChange(number) => {
            let index = number.wrapping_mul(7919) as usize % endpoints.len();
            let changed = just_started(&endpoints[index]);
            events.on_endpoints(ListUpdate::Delta, &mut [changed].into_iter());
        }
    }
}

fn print_cost(listed: u32, load: Load, seconds: u32) {
    let Load {
        scenario,
        requests_per_second: requests,
        changes_per_second: changes,
    } = load;
    let cost = Simulation::new(listed, load, seconds).run(seconds);
    let micros = |time: Duration| time.as_secs_f64() * 1e6;
    println!(
        "{scenario:?} {listed:6} {requests:5} {changes:5} {:8} {:.3} {:8.1} {:8.1} {:4} {:8.1} {:8.1} {}",
        cost.rounds.len() / seconds as usize,
        micros(cost.rounds.iter().sum()) / 1e3 / f64::from(seconds),
        micros(cost.high_round()),
        micros(cost.rounds.last().copied().unwrap_or_default()),
        cost.endpoints_used,
        micros(cost.first_list),
        micros(cost.same_list),
        cost.rows_visited / u64::from(seconds),
    );
}

fn main() {
    let seconds: u32 = std::env::args().nth(1).map_or(20, |text| {
        text.parse()
            .expect("the argument is a whole number of seconds")
    });
    println!(
        "scenario listed requests/s changes/s rounds/s ms/s p99.9_us worst_us used first_list_us same_list_us rows/s"
    );
    for load in LOADS {
        for listed in LIST_LENGTHS {
            print_cost(listed, load, seconds);
        }
    }
}
