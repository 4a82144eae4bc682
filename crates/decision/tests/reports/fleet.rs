//! Many agents' modules before one service, in virtual time, with a lossy network between them.
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DecisionEngine, Endpoint,
    EndpointDiscovery, EndpointId, EndpointStatus, EventHandler, Exposure, FleetPosition,
    Idempotency, ListUpdate, Model, Outcome, PendingRequests, ReleaseAnalysis, ReleasePhase,
    Request, RequestClass, RequestId, SlowStart, Stage, Tenant, Vote, VoteTiming, Zone,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What a datagram costs on the wire beside its octets: the headers of IPv4 and UDP.
pub const HEADERS: usize = 28;
pub const DWELL: Duration = Duration::from_millis(900);
pub const TRIAL: Build = Build(2);
/// The first moment, when a new build's appliances are there, and the time of a step.
pub const DAWN: Duration = Duration::from_secs(100);
pub const RELEASED: Duration = Duration::from_secs(106);
pub const STEP: Duration = Duration::from_millis(10);
const ANSWER: Duration = Duration::from_millis(60);
const READ: ClassPolicy = ClassPolicy {
    idempotency: Idempotency::Idempotent,
    latency_objective: Duration::from_millis(500),
    deadline: Duration::from_secs(2),
    deduplication_window: Duration::ZERO,
    priority_weight: 1.0,
    late_weight_share: 0.0,
};

/// An agent whose reports go through relays.
pub fn module(me: u32, agents: u32, may_tell: bool, seed: u64) -> DecisionEngine {
    module_with(me, agents, may_tell, seed, ReleaseAnalysis::with_relays)
}

/// An agent as it is made without asking for relays.
pub fn module_without_relays(me: u32, agents: u32) -> DecisionEngine {
    module_with(me, agents, true, 1, |jury| jury)
}

fn module_with(
    me: u32,
    agents: u32,
    may_tell: bool,
    seed: u64,
    change: impl FnOnce(ReleaseAnalysis) -> ReleaseAnalysis,
) -> DecisionEngine {
    let ms = Duration::from_millis;
    let among = FleetPosition {
        own_id: AgentId(me),
        agent_count: agents,
        can_message_peers: may_tell,
    };
    let calls = VoteTiming {
        validity: ms(6000),
        call_timeout: ms(1200),
    };
    DecisionEngine::new(
        seed + u64::from(me) * 7919,
        EndpointDiscovery::new(Zone(0), None),
        SlowStart::new(0.34, ms(4000), 2.5, ms(1000)),
        Exposure::new(ms(4000), ms(5), 3.0, 0.1, false, 1, false),
        change(ReleaseAnalysis::new(
            AdvanceRule::Single,
            vec![0.1, 0.5, 1.0],
            DWELL,
            calls,
            true,
            among,
            1,
        )),
        PendingRequests::new(vec![READ], 3, true, ms(2000), ms(5)),
    )
}

fn line(i: u32, build: Build, started: Option<Duration>) -> Endpoint {
    let (mode, model, cell, zone) = (EndpointStatus::Ready, Model(0), Cell(0), Zone(0));
    let appliance = EndpointId(i.wrapping_mul(0x9E37_79B9));
    Endpoint {
        id: appliance,
        status: mode,
        model,
        weight: 4.0,
        started,
        build,
        cell,
        zone,
    }
}

/// The i-th appliance that runs the build on trial.
pub fn trial(i: u32) -> EndpointId {
    line(i * 10, TRIAL, None).id
}

/// What the modules of a run have in common.
#[derive(Clone, Copy)]
pub struct Scene {
    pub agents: u32,
    pub may_tell: bool,
    pub appliances: u32,
    /// How many of them run the build on trial, and which part of its answers fails.
    pub on_trial: u32,
    pub failing: f64,
    /// Requests a second of each agent.
    pub rate: f64,
    /// The parts of the datagrams that are lost and that come twice, and the longest time one takes.
    pub lost: f64,
    pub doubled: f64,
    pub slowest: Duration,
    pub seed: u64,
}

impl Default for Scene {
    fn default() -> Self {
        let (agents, may_tell, appliances, on_trial, failing, rate) = (530, true, 60, 6, 0.0, 8.0);
        let (lost, doubled, slowest, seed) = (0.0, 0.0, Duration::from_millis(5), 1);
        Scene {
            agents,
            may_tell,
            appliances,
            on_trial,
            failing,
            rate,
            lost,
            doubled,
            slowest,
            seed,
        }
    }
}

/// A datagram that an agent sent to one peer.
#[derive(Clone, Debug)]
pub struct Datagram {
    pub at: Duration,
    pub from: AgentId,
    pub to: AgentId,
    pub octets: Vec<u8>,
}

struct Agent {
    brain: DecisionEngine,
    wake: Duration,
    next_request: Duration,
    requests: u32,
    attempts: BTreeMap<RequestId, u8>,
    out: VecDeque<(Duration, RequestId, AttemptNumber, EndpointId, Outcome)>,
}

/// What came of a run.
#[derive(Default)]
pub struct RunResult {
    pub sent: Vec<Datagram>,
    /// The first vote to take the build back, and whose it was.
    pub convicted: Option<(Duration, AgentId)>,
}

impl RunResult {
    /// The octets and datagrams a second that the busiest agent heard of others' reports between two moments.
    pub fn inbound(&self, from: Duration, to: Duration) -> (f64, f64) {
        let mut sums = BTreeMap::<AgentId, (usize, usize)>::new();
        for datagram in self.sent.iter().filter(|d| d.at >= from && d.at < to) {
            let sum = sums.entry(datagram.to).or_default();
            *sum = (sum.0 + datagram.octets.len(), sum.1 + 1);
        }
        let span = (to - from).as_secs_f64();
        let most = sums.into_values().max().unwrap_or_default();
        (most.0 as f64 / span, most.1 as f64 / span)
    }
}

/// Runs a release for so long, or until the build is convicted if that ends it.
pub fn run(scene: Scene, lasts: Duration, ends_on_conviction: bool) -> RunResult {
    let mut luck = Pcg64Mcg::seed_from_u64(scene.seed);
    let mut agents: Vec<_> = (0..scene.agents)
        .map(|me| agent(me, scene, &mut luck))
        .collect();
    let mut network = BTreeMap::<(Duration, u64), Datagram>::new();
    let mut outcome = RunResult::default();
    let (mut now, mut sent) = (DAWN, 0);
    while now < DAWN + lasts && !(ends_on_conviction && outcome.convicted.is_some()) {
        let mut inboxes = BTreeMap::<AgentId, Vec<Datagram>>::new();
        let later = network.split_off(&(now, u64::MAX));
        for datagram in std::mem::replace(&mut network, later).into_values() {
            inboxes.entry(datagram.to).or_default().push(datagram);
        }
        for (me, agent) in agents.iter_mut().enumerate() {
            let me = AgentId(me as u32);
            let inbox = inboxes.remove(&me).unwrap_or_default();
            let Some(decided) = round(agent, now, scene, inbox, &mut luck) else {
                continue;
            };
            if decided.votes.contains(&Vote::RollBack) {
                outcome.convicted.get_or_insert((now, me));
            }
            for (to, octets) in decided.peer_messages {
                let Some(to) = to else { continue };
                let datagram = Datagram {
                    at: now,
                    from: me,
                    to,
                    octets,
                };
                let copies = if luck.random::<f64>() < scene.lost {
                    0
                } else {
                    1
                } + u32::from(luck.random::<f64>() < scene.doubled);
                for _ in 0..copies {
                    sent += 1;
                    let arrives = now + STEP.max(scene.slowest.mul_f64(luck.random()));
                    network.insert((arrives, sent), datagram.clone());
                }
                outcome.sent.push(datagram);
            }
        }
        now += STEP;
    }
    outcome
}

fn agent(me: u32, scene: Scene, luck: &mut Pcg64Mcg) -> Agent {
    let next_request = DAWN + Duration::from_secs_f64(luck.random::<f64>() / scene.rate);
    Agent {
        brain: module(me, scene.agents, scene.may_tell, scene.seed),
        wake: DAWN,
        next_request,
        requests: 0,
        attempts: BTreeMap::new(),
        out: VecDeque::new(),
    }
}

/// A round of an agent, if anything is due.
fn round(
    agent: &mut Agent,
    now: Duration,
    scene: Scene,
    inbox: Vec<Datagram>,
    luck: &mut Pcg64Mcg,
) -> Option<RecordedActions> {
    let lists = now == DAWN || now == RELEASED;
    let answered = agent.out.front().is_some_and(|out| out.0 <= now);
    if !lists && !answered && inbox.is_empty() && agent.wake > now && agent.next_request > now {
        return None;
    }
    let mut decided = RecordedActions::default();
    let Agent {
        brain,
        wake,
        next_request,
        requests,
        attempts,
        out,
    } = agent;
    let hear = |ears: &mut dyn EventHandler| {
        if lists {
            tell_list(scene, (now >= RELEASED).then_some(now), ears);
        }
        for datagram in &inbox {
            ears.on_peer_message(datagram.from, &datagram.octets);
        }
        let due = out.partition_point(|out| out.0 <= now);
        for (_, id, attempt, at, ending) in out.drain(..due) {
            ears.on_attempt_ended(
                id,
                attempt,
                at,
                ending,
                ANSWER,
                ending == Outcome::Succeeded,
            );
        }
        while *next_request <= now {
            *next_request +=
                Duration::from_secs_f64(-luck.random::<f64>().max(1e-9).ln() / scene.rate);
            *requests += 1;
            let (product, hint, deadline) = (RequestClass(0), Some(ANSWER), now + READ.deadline);
            let (tenant, mark, repeated) = (Tenant(0), None, false);
            let request = Request {
                class: product,
                tenant,
                idempotency_key: mark,
                deadline,
                estimated_work: hint,
                is_retry: repeated,
            };
            ears.on_request(RequestId(*requests), request);
        }
    };
    brain.round(now, hear, &mut decided);
    if let Some(&at) = decided.wake_ups.last() {
        *wake = at;
    } else if *wake <= now {
        *wake = now + STEP;
    }
    let trials: Vec<_> = (0..scene.on_trial).map(trial).collect();
    for (id, to) in decided.sent.drain(..) {
        let attempt = attempts.entry(id).or_default();
        let fails = now >= RELEASED && trials.contains(&to) && luck.random::<f64>() < scene.failing;
        let ending = if fails {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        };
        out.push_back((now + ANSWER, id, AttemptNumber(*attempt), to, ending));
        *attempt += 1;
    }
    Some(decided)
}

/// The list and the platform's news: at first one build, then some appliances that run the next one.
pub fn tell_list(scene: Scene, trial_started: Option<Duration>, ears: &mut dyn EventHandler) {
    let tried = |i: u32| trial_started.is_some() && i.is_multiple_of(10) && i / 10 < scene.on_trial;
    let lines = (0..scene.appliances).map(|i| match tried(i) {
        true => line(i, TRIAL, trial_started),
        false => line(i, Build(1), None),
    });
    ears.on_endpoints(ListUpdate::Full, &mut lines.collect::<Vec<_>>().into_iter());
    if trial_started.is_none() {
        ears.on_release_status(
            Build(1),
            Stage(2),
            ReleasePhase::Released,
            1.0,
            Duration::ZERO,
        );
    } else {
        ears.on_release_status(TRIAL, Stage(0), ReleasePhase::Canary, 0.5, Duration::ZERO);
    }
}
