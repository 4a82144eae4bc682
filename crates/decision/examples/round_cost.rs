//! What the decision module costs by the length of its list: processor time a second, the worst round, and a whole list.
//! `cargo run --release --example round_cost [SECONDS]`. One module in virtual time; every attempt is served.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(clippy::wildcard_imports)] // Not met yet.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{
    Actions, AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DecisionEngine,
    Endpoint, EndpointDiscoverySettings, EndpointId, EndpointStatus, EngineSettings, EventHandler,
    ExposureSettings, FleetPosition, Idempotency, ListUpdate, Model, Outcome,
    ReleaseAnalysisSettings, ReleasePhase, Request, RequestClass, RequestId, RequestSettings,
    SlowStartSettings, Stage, Tenant, TimerId, Vote, VoteTiming, Zone,
};
use rustix::time::{ClockId, clock_gettime};

const DAWN: Duration = Duration::from_secs(100);
const TICK: Duration = Duration::from_millis(5);
const ANSWER_TIME: Duration = Duration::from_millis(100);
const READ: ClassPolicy = ClassPolicy {
    idempotency: Idempotency::Idempotent,
    latency_objective: Duration::from_millis(500),
    deadline: Duration::from_secs(2),
    deduplication_window: Duration::ZERO,
    priority_weight: 1.0,
    late_weight_share: 0.0,
};

fn module() -> DecisionEngine {
    let ms = Duration::from_millis;
    let among = FleetPosition {
        own_id: AgentId(17),
        agent_count: 530,
        can_message_peers: true,
    };
    let calls = VoteTiming {
        validity: ms(6000),
        call_timeout: ms(1200),
    };
    DecisionEngine::new(EngineSettings {
        seed: 1,
        tick: TICK,
        zone: Zone(0),
        fleet_position: among,
        discovery: EndpointDiscoverySettings {
            request_within: None,
        },
        slow_start: SlowStartSettings {
            initial_capacity_share: 0.34,
            ramp: ms(4000),
            overload_multiple: 2.5,
            overload_window: ms(1000),
        },
        exposure: ExposureSettings {
            window: ms(4000),
            free_requests: 3.0,
            initial_cap: 0.1,
            per_class: false,
            guarded_stages: 1,
            forward_only: false,
        },
        release_analysis: ReleaseAnalysisSettings {
            advance_rule: AdvanceRule::Single,
            stage_shares: vec![0.1, 0.5, 1.0],
            minimum_stage_time: ms(900),
            vote_timing: calls,
            in_place: true,
            use_relays: false,
        },
        requests: RequestSettings {
            classes: vec![READ],
            max_attempts: 3,
            may_cancel: true,
            max_retry_after: ms(2000),
        },
    })
}

/// What else goes on.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Scene {
    Calm,
    /// Half of the list runs a build on trial.
    Trial,
    /// A tenth of the attempts fail, and one appliance in twenty takes no connection.
    Faults,
    /// An eighth of the list has just started.
    ZoneBack,
}

fn line(i: u32) -> Endpoint {
    let appliance = EndpointId(i.wrapping_mul(0x9E37_79B9));
    let (model, build, mode) = (Model((i % 3) as u8), Build(1), EndpointStatus::Ready);
    let (cell, zone) = (Cell((i / 5) as u16), Zone((i % 8) as u8));
    Endpoint {
        id: appliance,
        status: mode,
        model,
        weight: 4.0,
        started: None,
        build,
        cell,
        zone,
    }
}

/// The attempts decided in a round, and when the module wants to be woken.
#[derive(Default)]
struct Decided {
    sent: Vec<(RequestId, EndpointId)>,
    wakes: Vec<Duration>,
}

impl Actions for Decided {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, _: Duration) {
        self.sent.push((id, to));
    }
    fn reject(&mut self, _: RequestId, _: Duration) {}
    fn fail(&mut self, _: RequestId) {}
    fn cancel(&mut self, _: RequestId, _: AttemptNumber) {}
    fn schedule_wake_up(&mut self, at: Duration, _: TimerId) {
        self.wakes.push(at);
    }
    fn check_health(&mut self, _: EndpointId) {}
    fn close_idle_connections(&mut self, _: EndpointId) {}
    fn send_to_peer(&mut self, _: Option<AgentId>, _: &[u8]) {}
    fn log(&mut self, _: &str) {}
    fn watch_endpoints(&mut self, _: bool) {}
    fn fetch_endpoints(&mut self) {}
    fn vote(&mut self, _: Build, _: Stage, _: Vote) {}
}

/// Processor time of this thread.
fn spent() -> Duration {
    let now = clock_gettime(ClockId::ThreadCPUTime);
    Duration::new(now.tv_sec as u64, now.tv_nsec as u32)
}

/// What happens at a time, besides wake-ups.
enum Event {
    Request(u32),
    Answer(RequestId, AttemptNumber, EndpointId),
    Change(u32),
    ZoneBack,
}

#[derive(Default)]
struct Cost {
    rounds: Vec<Duration>,
    used: BTreeSet<EndpointId>,
    visited: u64,
}

/// How an attempt ends.
fn ending(scene: Scene, id: RequestId, at: EndpointId) -> Outcome {
    match scene {
        Scene::Faults if at.0.is_multiple_of(20) => Outcome::ConnectFailed,
        Scene::Faults if id.0.is_multiple_of(10) => Outcome::Failed,
        _ => Outcome::Succeeded,
    }
}

/// The list's lines for a scene.
fn listing(listed: u32, scene: Scene) -> Vec<Endpoint> {
    let build = |i: u32| {
        if scene == Scene::Trial && i.is_multiple_of(2) {
            Build(2)
        } else {
            Build(1)
        }
    };
    (0..listed)
        .map(|i| Endpoint {
            build: build(i),
            ..line(i)
        })
        .collect()
}

/// Runs a module for so long with so many requests and changes of the list a second; the cost of each round, and of
/// the first list and of one that changes nothing.
fn run(
    listed: u32,
    requests: u32,
    changes: u32,
    scene: Scene,
    seconds: u32,
) -> (Cost, [Duration; 2]) {
    let mut brain = module();
    let mut cost = Cost::default();
    let mut events: BTreeMap<(Duration, u32), Event> = BTreeMap::new();
    let mut serial = 0;
    let mut put = |events: &mut BTreeMap<_, _>, at, event| {
        serial += 1;
        events.insert((at, serial), event);
    };
    for i in 0..requests * seconds {
        put(
            &mut events,
            DAWN + Duration::from_secs(1) * i / requests,
            Event::Request(i),
        );
    }
    for i in 0..changes * seconds {
        put(
            &mut events,
            DAWN + Duration::from_secs(1) * i / changes,
            Event::Change(i),
        );
    }
    if scene == Scene::ZoneBack {
        put(
            &mut events,
            DAWN + Duration::from_secs(1) * seconds / 2,
            Event::ZoneBack,
        );
    }
    let whole = listing(listed, scene);
    let mut attempts: BTreeMap<RequestId, u8> = BTreeMap::new();
    let mut decided = Decided::default();
    let list = |brain: &mut DecisionEngine, now, decided: &mut Decided| {
        let lines = whole.clone();
        let began = spent();
        let hear = |ears: &mut dyn EventHandler| {
            ears.on_release_status(
                Build(1),
                Stage(2),
                ReleasePhase::Released,
                1.0,
                Duration::ZERO,
            );
            if scene == Scene::Trial {
                ears.on_release_status(
                    Build(2),
                    Stage(1),
                    ReleasePhase::Canary,
                    0.6,
                    Duration::ZERO,
                );
            }
            ears.on_endpoints(ListUpdate::Full, &mut lines.into_iter());
        };
        brain.round(now, hear, decided);
        spent() - began
    };
    let first = list(&mut brain, DAWN, &mut decided);
    let again = list(&mut brain, DAWN + TICK, &mut decided);
    let end = DAWN + Duration::from_secs(1) * seconds;
    let mut wakes: BTreeSet<Duration> = decided.wakes.drain(..).collect();
    loop {
        let next = events
            .keys()
            .next()
            .map(|(at, _)| *at)
            .into_iter()
            .chain(wakes.first().copied())
            .min();
        let Some(now) = next.filter(|at| *at < end) else {
            break;
        };
        wakes.retain(|at| *at > now);
        let later = events.split_off(&(now, u32::MAX));
        let due = std::mem::replace(&mut events, later);
        let began = spent();
        let hear = |ears: &mut dyn EventHandler| {
            for event in due.into_values() {
                match event {
                    Event::Request(i) => {
                        let (product, tenant, mark) = (RequestClass(0), Tenant(0), None);
                        let (deadline, hint) = (now + READ.deadline, Some(ANSWER_TIME));
                        ears.on_request(
                            RequestId(i),
                            Request {
                                class: product,
                                tenant,
                                idempotency_key: mark,
                                deadline,
                                estimated_work: hint,
                                is_retry: false,
                            },
                        );
                    }
                    Event::Answer(id, attempt, at) => {
                        let ending = ending(scene, id, at);
                        ears.on_attempt_ended(
                            id,
                            attempt,
                            at,
                            ending,
                            ANSWER_TIME,
                            ending == Outcome::Succeeded,
                        );
                    }
                    Event::ZoneBack => {
                        let lost = whole.iter().filter(|line| line.zone == Zone(0));
                        let back: Vec<Endpoint> = lost
                            .map(|l| Endpoint {
                                started: Some(now),
                                ..*l
                            })
                            .collect();
                        ears.on_endpoints(ListUpdate::Delta, &mut back.into_iter());
                    }
                    Event::Change(i) => {
                        let started = Some(now);
                        let one = Endpoint {
                            started,
                            ..whole[(i.wrapping_mul(7919) % listed) as usize]
                        };
                        ears.on_endpoints(ListUpdate::Delta, &mut [one].into_iter());
                    }
                }
            }
        };
        brain.round(now, hear, &mut decided);
        cost.rounds.push(spent() - began);
        wakes.extend(decided.wakes.drain(..));
        for (id, to) in decided.sent.drain(..) {
            cost.used.insert(to);
            let attempt = attempts.entry(id).or_default();
            put(
                &mut events,
                now + ANSWER_TIME,
                Event::Answer(id, AttemptNumber(*attempt), to),
            );
            *attempt += 1;
        }
    }
    cost.rounds.sort();
    cost.visited = brain.visited();
    (cost, [first, again])
}

fn main() {
    let seconds: u32 = std::env::args()
        .nth(1)
        .map_or(20, |text| text.parse().expect("seconds"));
    println!(
        "scene listed requests/s changes/s rounds/s ms/s p99.9_us worst_us used first_list_us same_list_us rows/s"
    );
    let loads = [
        (Scene::Calm, 62, 0),
        (Scene::Calm, 62, 1),
        (Scene::Calm, 300, 0),
        (Scene::Calm, 0, 0),
    ];
    let scenes = [
        (Scene::Trial, 62, 1),
        (Scene::Faults, 62, 1),
        (Scene::ZoneBack, 62, 0),
    ];
    for (scene, requests, changes) in loads.into_iter().chain(scenes) {
        for listed in [35, 150, 600, 2_400, 7_400] {
            let (cost, [first, again]) = run(listed, requests, changes, scene, seconds);
            let all: Duration = cost.rounds.iter().sum();
            let count = cost.rounds.len();
            let high = cost
                .rounds
                .get((count - count / 1000).saturating_sub(1))
                .copied()
                .unwrap_or_default();
            let worst = cost.rounds.last().copied().unwrap_or_default();
            let micros = |time: Duration| time.as_secs_f64() * 1e6;
            println!(
                "{scene:?} {listed:6} {requests:5} {changes:5} {:8} {:.3} {:8.1} {:8.1} {:4} {:8.1} {:8.1} {}",
                count / seconds as usize,
                micros(all) / 1e3 / f64::from(seconds),
                micros(high),
                micros(worst),
                cost.used.len(),
                micros(first),
                micros(again),
                cost.visited / u64::from(seconds),
            );
        }
    }
}
