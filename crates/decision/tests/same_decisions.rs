//! On a fleet that is no larger than what one agent works with, the module decides as it did before it had subsets: a
//! scripted minute of each size ends in a digest of all decisions, recorded from the program before that change.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    Actions, AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DecisionEngine,
    DeduplicationScope, Endpoint, EndpointDiscoverySettings, EndpointId, EndpointStatus,
    EngineSettings, EventHandler, ExposureSettings, FleetPosition, Idempotency, IdempotencyKey,
    ListUpdate, Model, Note, Outcome, ReleaseAnalysisSettings, ReleasePermissions, ReleasePhase,
    Request, RequestClass, RequestId, RequestSettings, SlowStartSettings, Stage, Tenant, TimerId,
    Vote, VoteTiming, Zone,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

const DAWN: Duration = Duration::from_secs(100);
const BEAT: Duration = Duration::from_millis(10);
const BEATS: u32 = 6000;

fn ms(many: u64) -> Duration {
    Duration::from_millis(many)
}

fn terms(repeat: Idempotency, remembered: u64) -> ClassPolicy {
    let (sla, deadline) = (ms(400), ms(2000));
    ClassPolicy {
        idempotency: repeat,
        latency_objective: sla,
        deadline,
        deduplication_window: ms(remembered),
        priority_weight: 1.0,
        late_weight_share: 0.1,
    }
}

fn products() -> Vec<ClassPolicy> {
    let keyed = |group| terms(Idempotency::Keyed(group), 1000);
    vec![
        terms(Idempotency::Idempotent, 0),
        keyed(DeduplicationScope::Zone),
        keyed(DeduplicationScope::Cell),
        terms(Idempotency::NonIdempotent, 0),
    ]
}

fn agent(me: u32, agents: u32, seed: u64) -> DecisionEngine {
    let among = FleetPosition {
        own_id: AgentId(me),
        agent_count: agents,
        can_message_peers: true,
    };
    let calls = VoteTiming {
        validity: ms(6000),
        call_timeout: ms(1200),
    };
    DecisionEngine::new(EngineSettings {
        seed: seed,
        tick: ms(5),
        zone: Zone(0),
        fleet_position: among,
        discovery: EndpointDiscoverySettings {
            request_within: Some(ms(10_000)),
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
            per_class: true,
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
            classes: products(),
            max_attempts: 3,
            may_cancel: true,
            max_retry_after: ms(2000),
        },
    })
}

/// The digests were recorded when votes, notes and log lines had these forms, which are kept here so that a
/// renamed variant does not change them.
fn recorded_vote(vote: Vote) -> &'static str {
    match vote {
        Vote::Retract => "Withdraw",
        Vote::Advance => "On",
        Vote::Hold => "Hold",
        Vote::RollBack => "Back",
    }
}

fn recorded_note(note: Note) -> String {
    match note {
        Note::Ejected {
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
        Note::Tried(endpoint) => format!("Tried(ApplianceId({}))", endpoint.0),
        Note::Readmitted(endpoint) => format!("Unbarred(ApplianceId({}))", endpoint.0),
        Note::GivenUp(reason) => format!("GivenUp({:?})", reason.as_str()),
    }
}

fn recorded_log(text: &str) -> String {
    [Vote::Retract, Vote::Advance, Vote::Hold, Vote::RollBack]
        .into_iter()
        .find_map(|vote| {
            let rest = text.strip_prefix(&format!("vote {vote:?} "))?;
            Some(format!("vote {} {rest}", recorded_vote(vote)))
        })
        .unwrap_or_else(|| text.to_owned())
}

/// A digest (FNV-1a, 64 bits) of all decisions but wake-ups, and the attempts of the round.
struct Digest {
    sum: u64,
    decisions: u32,
    sent: Vec<(RequestId, EndpointId)>,
}

impl Digest {
    fn put(&mut self, text: &str) {
        self.decisions += 1;
        for octet in text.bytes().chain([b'\n']) {
            self.sum = (self.sum ^ u64::from(octet)).wrapping_mul(0x0100_0000_01b3);
        }
    }
}

impl Actions for Digest {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, _: Duration) {
        self.put(&format!("submit {} {}", id.0, to.0));
        self.sent.push((id, to));
    }
    fn reject(&mut self, id: RequestId, wait: Duration) {
        self.put(&format!("decline {} {wait:?}", id.0));
    }
    fn fail(&mut self, id: RequestId) {
        self.put(&format!("void {}", id.0));
    }
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.put(&format!("call off {} {}", id.0, attempt.0));
    }
    fn schedule_wake_up(&mut self, _: Duration, _: TimerId) {}
    fn check_health(&mut self, at: EndpointId) {
        self.put(&format!("probe {}", at.0));
    }
    fn close_idle_connections(&mut self, at: EndpointId) {
        self.put(&format!("free {}", at.0));
    }
    fn send_to_peer(&mut self, peer: Option<AgentId>, octets: &[u8]) {
        self.put(&format!("tell {peer:?} {octets:?}"));
    }
    fn log(&mut self, text: &str) {
        self.put(&format!("log {}", recorded_log(text)));
    }
    fn watch_endpoints(&mut self, on: bool) {
        self.put(&format!("watch {on}"));
    }
    fn fetch_endpoints(&mut self) {
        self.put("fetch");
    }
    fn vote(&mut self, build: Build, stage: Stage, verdict: Vote) {
        self.put(&format!(
            "vote {} {} {}",
            build.0,
            stage.0,
            recorded_vote(verdict)
        ));
    }
    fn note(&mut self, note: Note) {
        self.put(&format!("note {}", recorded_note(note)));
    }
}

fn line(i: u32, listed: u32) -> Endpoint {
    let appliance = EndpointId(i.wrapping_mul(0x9E37_79B9));
    let (model, build, mode) = (Model((i % 3) as u8), Build(1), EndpointStatus::Ready);
    let (cell, zone) = (Cell((i / 3) as u16), Zone((i * 4 / listed) as u8));
    Endpoint {
        id: appliance,
        status: mode,
        model,
        weight: [1.0, 2.5, 4.0][i as usize % 3],
        started: None,
        build,
        cell,
        zone,
    }
}

/// An attempt on its way: when it ends, which it is, where it is and how it ends.
type Attempt = (
    Duration,
    RequestId,
    AttemptNumber,
    EndpointId,
    Outcome,
    Duration,
);

struct Minute {
    chance: Pcg64Mcg,
    lines: Vec<Endpoint>,
    attempts: BTreeMap<RequestId, u8>,
    out: Vec<Attempt>,
    next: u32,
}

impl Minute {
    /// A list change, a restart onto the trial build, a drain or a return.
    fn change(&mut self, now: Duration, beat: u32, ears: &mut dyn EventHandler) {
        let all = self.lines.len();
        let i = self.chance.random_range(0..all);
        let one = &mut self.lines[i];
        match self.chance.random_range(0..6) {
            0 => one.status = EndpointStatus::Draining,
            1 if i > 0 => one.status = EndpointStatus::Removed,
            2 if beat > 1000 => {
                (one.status, one.build, one.started) = (EndpointStatus::Ready, Build(2), Some(now))
            }
            3 => (one.status, one.started) = (EndpointStatus::Ready, Some(now)),
            _ => one.status = EndpointStatus::Ready,
        }
        ears.on_endpoints(ListUpdate::Delta, &mut [*one].into_iter());
    }

    fn news(&mut self, beat: u32, ears: &mut dyn EventHandler) {
        let told = match beat {
            0 => (1, 2, ReleasePhase::Released, 1.0),
            1000 => (2, 0, ReleasePhase::Canary, 0.2),
            2000 => (2, 1, ReleasePhase::Canary, 0.6),
            3500 => (2, 2, ReleasePhase::Released, 1.0),
            4000 => (3, 0, ReleasePhase::Canary, 0.1),
            4300 => (3, 0, ReleasePhase::RollingBack, 0.0),
            _ => return,
        };
        ears.on_release_status(Build(told.0), Stage(told.1), told.2, told.3, Duration::ZERO);
    }

    fn hear(&mut self, now: Duration, beat: u32, ears: &mut dyn EventHandler) {
        self.news(beat, ears);
        if beat == 0 {
            ears.on_endpoints(ListUpdate::Cached, &mut self.lines.clone().into_iter());
        }
        if beat.is_multiple_of(700) {
            let ready = self
                .lines
                .iter()
                .filter(|line| line.status != EndpointStatus::Removed);
            ears.on_endpoints(
                ListUpdate::Full,
                &mut ready.copied().collect::<Vec<_>>().into_iter(),
            );
        } else if beat.is_multiple_of(60) {
            self.change(now, beat, ears);
        }
        if beat == 4500 {
            let rows = [
                (Build(1), &[15, 15, 0, 3][..]),
                (Build(2), &[15, 7, 15, 0][..]),
            ];
            ears.on_release_permissions(Some(Arc::new(ReleasePermissions::new(
                4,
                1,
                &rows,
                Some((Build(2), Stage(0))),
            ))));
        }
        if beat == 5000 {
            ears.on_release_permissions(None);
        }
        for (_, id, attempt, at, ending, took) in self.out.extract_if(.., |one| one.0 <= now) {
            ears.on_attempt_ended(id, attempt, at, ending, took, ending == Outcome::Succeeded);
        }
        if self.chance.random::<f64>() < 0.4 {
            self.next += 1;
            let (product, tenant) = (RequestClass(self.chance.random_range(0..4)), Tenant(0));
            let (deadline, hint) = (now + ms(2000), Some(ms(self.chance.random_range(20..120))));
            let request = Request {
                class: product,
                tenant,
                idempotency_key: Some(IdempotencyKey(7)),
                deadline,
                estimated_work: hint,
                is_retry: false,
            };
            ears.on_request(RequestId(self.next), request);
        }
    }

    /// How an attempt goes: a tenth of the appliances say nothing for ten seconds, others fail at times.
    fn fate(&mut self, now: Duration, beat: u32, id: RequestId, to: EndpointId) {
        let attempt = self.attempts.entry(id).or_default();
        let which = AttemptNumber(*attempt);
        *attempt += 1;
        let silent = (2500..3500).contains(&beat) && to.0 % 10 == 3;
        let (ending, took) = match self.chance.random_range(0..100) {
            _ if silent => (Outcome::TimedOut, 1500),
            0 => (Outcome::TimedOut, 1500),
            1..4 => (Outcome::Failed, 40),
            4 => (Outcome::ConnectionLost, 30),
            5 => (Outcome::ConnectFailed, 5),
            6 => (Outcome::Rejected, 3),
            _ => (Outcome::Succeeded, self.chance.random_range(30..260)),
        };
        self.out
            .push((now + ms(took), id, which, to, ending, ms(took)));
    }
}

/// The digest of a minute's decisions, and how many they were.
fn play(listed: u32, seed: u64) -> (u64, u32) {
    let mut brain = agent(1, 3, seed);
    let lines = (0..listed).map(|i| line(i, listed)).collect();
    let chance = Pcg64Mcg::seed_from_u64(seed);
    let mut minute = Minute {
        chance,
        lines,
        attempts: BTreeMap::new(),
        out: Vec::new(),
        next: 0,
    };
    let mut digest = Digest {
        sum: 0xcbf2_9ce4_8422_2325,
        decisions: 0,
        sent: Vec::new(),
    };
    for beat in 0..BEATS {
        let now = DAWN + BEAT * beat;
        brain.round(now, |ears| minute.hear(now, beat, ears), &mut digest);
        for (id, to) in std::mem::take(&mut digest.sent) {
            minute.fate(now, beat, id, to);
        }
    }
    (digest.sum, digest.decisions)
}

#[rstest]
#[case::one(1, 1, 0x4bca_b1db_d355_7e08, 4158)]
#[case::few(12, 2, 0xc71b_0b3e_2502_0624, 2908)]
#[case::small(35, 3, 0x31ee_e0b7_1883_6636, 3004)]
#[case::sixty(60, 4, 0x86d1_897e_8f14_2ce9, 3100)]
#[case::most(150, 5, 0xba5f_6224_0eee_5a5f, 3153)]
fn the_same_decisions_as_before(
    #[case] listed: u32,
    #[case] seed: u64,
    #[case] sum: u64,
    #[case] decisions: u32,
) {
    assert_eq!(play(listed, seed), (sum, decisions));
    assert_eq!(
        play(listed, seed),
        (sum, decisions),
        "the same events, the same decisions"
    );
}
