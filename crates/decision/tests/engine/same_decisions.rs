//! Guards against changed decisions on endpoint lists that are too short for a subset. For several list lengths, the
//! digest of all decisions of a scripted minute must equal the one that was recorded before subsets were introduced.
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DecisionEngine, DeduplicationScope,
    Diagnostic, Endpoint, EndpointId, EndpointStatus, EventHandler, Idempotency, IdempotencyKey,
    ListUpdate, MachineModel, Outcome, ReleasePermissions, ReleasePhase, Request, RequestClass,
    RequestId, Stage, TimerId, Vote, Zone,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use crate::support::{
    Attempt, AttemptCounter, EPOCH, READ, ReleaseUpdate, TICK, agent_settings, endpoint, request,
};

const TICKS: u32 = 6000;
const DEADLINE: Duration = Duration::from_secs(2);
/// The ticks during which a tenth of the endpoints does not respond.
const UNRESPONSIVE_TICKS: std::ops::Range<u32> = 2500..3500;

fn class(idempotency: Idempotency, deduplication_window: Duration) -> ClassPolicy {
    ClassPolicy {
        idempotency,
        latency_objective: Duration::from_millis(400),
        deadline: DEADLINE,
        deduplication_window,
        late_weight_share: 0.1,
        ..READ
    }
}

fn classes() -> Vec<ClassPolicy> {
    let keyed = |scope| class(Idempotency::Keyed(scope), Duration::from_secs(1));
    vec![
        class(Idempotency::Idempotent, Duration::ZERO),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
        class(Idempotency::NonIdempotent, Duration::ZERO),
    ]
}

fn engine(seed: u64) -> DecisionEngine {
    let mut settings = agent_settings(1, 3, 0);
    settings.seed = seed;
    settings.discovery.request_within = Some(Duration::from_secs(10));
    settings.exposure.per_class = true;
    settings.requests.classes = classes();
    DecisionEngine::new(settings)
}

/// The text of a vote when the digests were recorded. Like those of diagnostics and log lines below, it is kept so that
/// the rename of a variant does not change a digest.
fn recorded_vote(vote: Vote) -> &'static str {
    match vote {
        Vote::Retract => "Withdraw",
        Vote::Advance => "On",
        Vote::Hold => "Hold",
        Vote::RollBack => "Back",
    }
}

fn recorded_diagnostic(diagnostic: Diagnostic) -> String {
    match diagnostic {
        Diagnostic::Ejected {
            endpoint,
            reason,
            until,
        } => {
            let id = endpoint.0;
            format!(
                "Barred {{ at: ApplianceId({id}), why: {:?}, until: {until:?} }}",
                reason.as_str()
            )
        }
        Diagnostic::Probed(endpoint) => format!("Tried(ApplianceId({}))", endpoint.0),
        Diagnostic::Readmitted(endpoint) => format!("Unbarred(ApplianceId({}))", endpoint.0),
        Diagnostic::GivenUp(reason) => format!("GivenUp({:?})", reason.as_str()),
    }
}

/// The text of a log line when the digests were recorded. Only the line of a vote has changed since.
fn recorded_log(text: &str) -> String {
    recorded_vote_line(text).unwrap_or_else(|| text.to_owned())
}

/// The recorded text of the line of a vote; `None` for any other line.
fn recorded_vote_line(text: &str) -> Option<String> {
    let rest = text.strip_prefix("vote_cast vote=")?;
    let (vote, rest) = rest.split_once(" build=")?;
    let (build, rest) = rest.split_once(" stage=")?;
    let (stage, rest) = rest.split_once(" lost_share=")?;
    let (lost_share, tests) = rest.split_once(" tests=\"")?;
    let vote = recorded_vote(match vote {
        "retract" => Vote::Retract,
        "advance" => Vote::Advance,
        "hold" => Vote::Hold,
        "roll_back" => Vote::RollBack,
        _ => return None,
    });
    let tests = tests.strip_suffix('"')?;
    let separator = if tests.is_empty() { "" } else { " " };
    Some(format!(
        "vote {vote} on build {build} stage {stage} lost {lost_share}{separator}{tests}"
    ))
}

/// A digest (FNV-1a, 64 bits) of all decisions except wake-ups, and the attempts that were sent in the round.
struct Digest {
    hash: u64,
    decisions: u32,
    sent: Vec<(RequestId, EndpointId)>,
}

impl Digest {
    fn new() -> Self {
        Digest {
            hash: 0xcbf2_9ce4_8422_2325,
            decisions: 0,
            sent: Vec::new(),
        }
    }

    fn add(&mut self, text: &str) {
        self.decisions += 1;
        for byte in text.bytes().chain([b'\n']) {
            self.hash = (self.hash ^ u64::from(byte)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

impl Actions for Digest {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, _: Duration, _: Option<Duration>) {
        self.add(&format!("submit {} {}", id.0, to.0));
        self.sent.push((id, to));
    }
    fn reject(&mut self, id: RequestId, retry_after: Duration) {
        self.add(&format!("decline {} {retry_after:?}", id.0));
    }
    fn fail(&mut self, id: RequestId) {
        self.add(&format!("void {}", id.0));
    }
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.add(&format!("call off {} {}", id.0, attempt.0));
    }
    fn schedule_wake_up(&mut self, _: Duration, _: TimerId) {}
    fn check_health(&mut self, at: EndpointId) {
        self.add(&format!("probe {}", at.0));
    }
    fn close_idle_connections(&mut self, at: EndpointId) {
        self.add(&format!("free {}", at.0));
    }
    fn send_to_peer(&mut self, peer: Option<AgentId>, payload: &[u8]) {
        self.add(&format!("tell {peer:?} {payload:?}"));
    }
    fn log(&mut self, text: &str) {
        self.add(&format!("log {}", recorded_log(text)));
    }
    fn watch_endpoints(&mut self, on: bool) {
        self.add(&format!("watch {on}"));
    }
    fn fetch_endpoints(&mut self) {
        self.add("fetch");
    }
    fn vote(&mut self, build: Build, stage: Stage, vote: Vote) {
        self.add(&format!(
            "vote {} {} {}",
            build.0,
            stage.0,
            recorded_vote(vote)
        ));
    }
    fn record_diagnostic(&mut self, diagnostic: Diagnostic) {
        self.add(&format!("note {}", recorded_diagnostic(diagnostic)));
    }
}

/// The endpoint with this index in a list of `count` endpoints: three machine models, cells of three endpoints, and
/// four zones.
fn endpoint_of(index: u32, count: u32) -> Endpoint {
    Endpoint {
        machine_model: MachineModel((index % 3) as u8),
        weight: [1.0, 2.5, 4.0][index as usize % 3],
        cell: Cell((index / 3) as u16),
        zone: Zone((index * 4 / count) as u8),
        ..endpoint(index)
    }
}

/// The events that an agent sees during the scripted minute.
struct ScriptedMinute {
    random: Pcg64Mcg,
    endpoints: Vec<Endpoint>,
    attempts: AttemptCounter,
    in_flight: Vec<Attempt>,
    request_count: u32,
}

impl ScriptedMinute {
    fn new(endpoint_count: u32, seed: u64) -> Self {
        ScriptedMinute {
            random: Pcg64Mcg::seed_from_u64(seed),
            endpoints: (0..endpoint_count)
                .map(|index| endpoint_of(index, endpoint_count))
                .collect(),
            attempts: AttemptCounter::default(),
            in_flight: Vec::new(),
            request_count: 0,
        }
    }

    fn play_tick(&mut self, now: Duration, tick: u32, events: &mut dyn EventHandler) {
        send_release_update(tick, events);
        self.send_endpoints(now, tick, events);
        send_permissions(tick, events);
        for attempt in self.in_flight.extract_if(.., |attempt| attempt.due <= now) {
            attempt.end(events);
        }
        if self.random.random::<f64>() < 0.4 {
            self.send_request(now, events);
        }
    }

    /// Sends a cached list at first, a full list every seven seconds, and the change of one endpoint every 0.6 seconds.
    fn send_endpoints(&mut self, now: Duration, tick: u32, events: &mut dyn EventHandler) {
        if tick == 0 {
            events.on_endpoints(ListUpdate::Cached, &mut self.endpoints.clone().into_iter());
        }
        if tick.is_multiple_of(700) {
            let listed = self
                .endpoints
                .iter()
                .filter(|endpoint| endpoint.status != EndpointStatus::Removed);
            events.on_endpoints(ListUpdate::Full, &mut listed.copied());
        } else if tick.is_multiple_of(60) {
            self.change_endpoint(now, tick, events);
        }
    }

    /// Changes a random endpoint: it drains, is removed, restarts with the same build or the canary, or becomes ready.
    fn change_endpoint(&mut self, now: Duration, tick: u32, events: &mut dyn EventHandler) {
        let index = self.random.random_range(0..self.endpoints.len());
        let endpoint = &mut self.endpoints[index];
        match self.random.random_range(0..6) {
            0 => endpoint.status = EndpointStatus::Draining,
            1 if index > 0 => endpoint.status = EndpointStatus::Removed,
            2 if tick > 1000 => {
                endpoint.status = EndpointStatus::Ready;
                endpoint.build = Build(2);
                endpoint.started = Some(now);
            }
            3 => {
                endpoint.status = EndpointStatus::Ready;
                endpoint.started = Some(now);
            }
            _ => endpoint.status = EndpointStatus::Ready,
        }
        events.on_endpoints(ListUpdate::Delta, &mut [*endpoint].into_iter());
    }

    fn send_request(&mut self, now: Duration, events: &mut dyn EventHandler) {
        self.request_count += 1;
        let class = RequestClass(self.random.random_range(0..4));
        let work = Duration::from_millis(self.random.random_range(20..120));
        let request = Request {
            idempotency_key: Some(IdempotencyKey(7)),
            estimated_work: Some(work),
            ..request(class, now + DEADLINE)
        };
        events.on_request(RequestId(self.request_count), request);
    }

    /// Draws how an attempt ends. A tenth of the endpoints does not respond for ten seconds; the others fail at times.
    fn send_attempt(&mut self, now: Duration, tick: u32, request: RequestId, to: EndpointId) {
        let number = self.attempts.next(request);
        let is_unresponsive = UNRESPONSIVE_TICKS.contains(&tick) && to.0 % 10 == 3;
        let (outcome, milliseconds) = match self.random.random_range(0..100) {
            _ if is_unresponsive => (Outcome::TimedOut, 1500),
            0 => (Outcome::TimedOut, 1500),
            1..4 => (Outcome::Failed, 40),
            4 => (Outcome::ConnectionLost, 30),
            5 => (Outcome::ConnectFailed, 5),
            6 => (Outcome::Rejected, 3),
            _ => (Outcome::Succeeded, self.random.random_range(30..260)),
        };
        let took = Duration::from_millis(milliseconds);
        self.in_flight.push(Attempt {
            due: now + took,
            request,
            number,
            endpoint: to,
            outcome,
            took,
        });
    }
}

fn send_release_update(tick: u32, events: &mut dyn EventHandler) {
    let (build, stage, phase, cap) = match tick {
        0 => (1, 2, ReleasePhase::Released, 1.0),
        1000 => (2, 0, ReleasePhase::Canary, 0.2),
        2000 => (2, 1, ReleasePhase::Canary, 0.6),
        3500 => (2, 2, ReleasePhase::Released, 1.0),
        4000 => (3, 0, ReleasePhase::Canary, 0.1),
        4300 => (3, 0, ReleasePhase::RollingBack, 0.0),
        _ => return,
    };
    ReleaseUpdate {
        build: Build(build),
        stage: Stage(stage),
        phase,
        cap,
    }
    .send_to(events);
}

/// For five seconds, the operator's rules permit only some classes in some zones.
fn send_permissions(tick: u32, events: &mut dyn EventHandler) {
    if tick == 4500 {
        let rows = [
            (Build(1), &[15, 15, 0, 3][..]),
            (Build(2), &[15, 7, 15, 0][..]),
        ];
        let permissions = ReleasePermissions::new(4, 1, &rows, Some((Build(2), Stage(0))));
        events.on_release_permissions(Some(Arc::new(permissions)));
    }
    if tick == 5000 {
        events.on_release_permissions(None);
    }
}

/// The digest and the number of a minute's decisions.
fn play(endpoint_count: u32, seed: u64) -> (u64, u32) {
    let mut engine = engine(seed);
    let mut minute = ScriptedMinute::new(endpoint_count, seed);
    let mut digest = Digest::new();
    for tick in 0..TICKS {
        let now = EPOCH + TICK * tick;
        engine.round(
            now,
            |events| minute.play_tick(now, tick, events),
            &mut digest,
        );
        for (request, to) in std::mem::take(&mut digest.sent) {
            minute.send_attempt(now, tick, request, to);
        }
    }
    (digest.hash, digest.decisions)
}

#[rstest]
#[case::one(1, 1, 0xdf79_56dc_c0bc_b2f0, 4158)]
#[case::few(12, 2, 0x5e52_e56c_18d3_7d1a, 2908)]
#[case::small(35, 3, 0x9a3a_ffd5_f25e_7b48, 3004)]
#[case::sixty(60, 4, 0x9714_63d9_a22f_997d, 3100)]
#[case::most(150, 5, 0xa5b2_6d25_3685_c315, 3153)]
fn a_scripted_minute_leads_to_the_recorded_decisions(
    #[case] endpoint_count: u32,
    #[case] seed: u64,
    #[case] hash: u64,
    #[case] decisions: u32,
) {
    assert_eq!(play(endpoint_count, seed), (hash, decisions));
    assert_eq!(
        play(endpoint_count, seed),
        (hash, decisions),
        "a second run with the same events leads to other decisions"
    );
}
