//! Laws over many agents' decisions together, in virtual time: what each does is harmless, not so the sum.
//! Owns the little that stands in for what they share. It must never know what the module keeps inside.
#![allow(clippy::min_ident_chars)] // Not met yet.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DecisionEngine, Endpoint,
    EndpointDiscovery, EndpointId, EndpointStatus, EventHandler, Exposure, FleetPosition,
    Idempotency, ListUpdate, Model, Outcome, PendingRequests, ReleaseAnalysis, ReleasePhase,
    Request, RequestClass, RequestId, SlowStart, Stage, Tenant, VoteTiming, Zone,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use rstest::rstest;

const ASK_WITHIN: Duration = Duration::from_secs(10);
const READ: ClassPolicy = ClassPolicy {
    idempotency: Idempotency::Idempotent,
    latency_objective: Duration::from_millis(500),
    deadline: Duration::from_secs(2),
    deduplication_window: Duration::ZERO,
    priority_weight: 1.0,
    late_weight_share: 0.0,
};

fn agent(me: u32, agents: u32, seed: u64) -> DecisionEngine {
    let ms = Duration::from_millis;
    let among = FleetPosition {
        own_id: AgentId(me),
        agent_count: agents,
        can_message_peers: true,
    };
    let calls = VoteTiming {
        validity: ms(6000),
        call_timeout: ms(1200),
    };
    DecisionEngine::new(
        seed + u64::from(me) * 7919,
        EndpointDiscovery::new(Zone(0), Some(ASK_WITHIN)),
        SlowStart::new(0.34, ms(4000), 2.5, ms(1000)),
        Exposure::new(ms(4000), ms(5), 3.0, 0.1, false, 1, false),
        ReleaseAnalysis::new(
            AdvanceRule::Single,
            vec![0.1, 0.5, 1.0],
            ms(900),
            calls,
            true,
            among,
            1,
        ),
        PendingRequests::new(vec![READ], 3, true, ms(2000), ms(5)),
    )
}

/// A list service of fixed capacity: it takes calls in turn, works also for those that have gone, and a call
/// fails once it has waited two seconds. `a_call` is how long one takes it.
struct Service {
    a_call: Duration,
    free_at: Duration,
    line: Vec<(usize, Duration, Duration)>,
}

impl Service {
    const PATIENCE: Duration = Duration::from_secs(2);

    fn ask(&mut self, who: usize, now: Duration) {
        self.free_at = self.free_at.max(now) + self.a_call;
        self.line.push((who, now, self.free_at));
    }

    /// Who has got an answer by now, and whether it was the list.
    fn answers(&mut self, now: Duration) -> Vec<(usize, bool)> {
        let due = self.line.extract_if(.., |(_, at, done)| {
            now >= *done || now >= *at + Self::PATIENCE
        });
        due.map(|(who, at, done)| (who, done < at + Self::PATIENCE))
            .collect()
    }
}

/// A round in which a list came, or failed; whether the agent asks for one then.
fn asks(brain: &mut DecisionEngine, now: Duration, told: Option<ListUpdate>) -> bool {
    let mut decided = RecordedActions::default();
    let hear = |ears: &mut dyn EventHandler| {
        told.into_iter()
            .for_each(|l| ears.on_endpoints(l, &mut std::iter::empty()))
    };
    brain.round(now, hear, &mut decided);
    decided.watching_endpoints
}

/// When the last of so many agents that come up together had the list, and how many calls failed.
fn come_up(agents: u32, a_call: Duration, seed: u64) -> (Duration, usize) {
    let (mut now, step) = (Duration::from_secs(100), Duration::from_millis(20));
    let began = now;
    let mut fleet: Vec<_> = (0..agents).map(|me| agent(me, agents, seed)).collect();
    let mut service = Service {
        a_call,
        free_at: now,
        line: Vec::new(),
    };
    let (mut without, mut failed, mut heard) = (
        agents as usize,
        0,
        vec![Some(ListUpdate::Cached); fleet.len()],
    );
    while without > 0 && now < began + ASK_WITHIN * 6 {
        for (who, brain) in fleet.iter_mut().enumerate() {
            if asks(brain, now, heard[who].take()) {
                service.ask(who, now);
            }
        }
        now += step;
        for (who, fine) in service.answers(now) {
            heard[who] = Some(if fine {
                ListUpdate::Full
            } else {
                ListUpdate::Failed
            });
            (without, failed) = (without - usize::from(fine), failed + usize::from(!fine));
        }
    }
    (now - began, failed)
}

/// The service can take one call of each of twenty or more agents in eight seconds: none goes without the
/// list for twice the time allowed for asking, and no more calls fail than there are agents.
#[rstest]
fn those_that_come_up_together_get_the_list(
    #[values(1, 3, 10, 30, 100, 200)] agents: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let a_call = Duration::from_secs(8) / agents.max(20);
    let (last, failed) = come_up(agents, a_call, seed);
    assert!(
        last <= ASK_WITHIN * 2,
        "{agents} agents: the last had it after {last:?}"
    );
    assert!(
        failed <= agents as usize,
        "{agents} agents: {failed} calls failed"
    );
}

/// A watch falls silent at all agents at once. What is missed counts as told 6 s later, and it takes 2.5 s to see it:
/// each asks again within 2 s, and they do not ask all at once.
#[rstest]
fn a_watch_that_broke_is_asked_for_in_time(
    #[values(1, 3, 10, 100, 350)] agents: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let (began, step) = (Duration::from_secs(100), Duration::from_millis(20));
    let mut asked = Vec::new();
    for me in 0..agents {
        let mut brain = agent(me, agents, seed);
        asks(&mut brain, began, Some(ListUpdate::Cached));
        asks(&mut brain, began + ASK_WITHIN, Some(ListUpdate::Full));
        let broke = began + ASK_WITHIN * 3;
        let (mut at, mut told) = (broke, Some(ListUpdate::Failed));
        while !asks(&mut brain, at, told.take()) {
            at += step;
            assert!(
                at <= broke + ASK_WITHIN / 5 + step,
                "agent {me} of {agents} has not asked"
            );
        }
        asked.push(at - broke);
    }
    let most = (0..=100)
        .map(|i| asked.iter().filter(|at| **at == step * i).count())
        .max()
        .unwrap_or(0);
    assert!(
        most <= 3 + asked.len() / 20,
        "{most} of {agents} asked at once"
    );
}

/// Few agents need hardly wait for each other.
#[rstest]
fn few_ask_soon(#[values(1, 2, 3, 4, 5)] agents: u32, #[values(1, 2, 3)] seed: u64) {
    let (last, failed) = come_up(agents, Duration::from_millis(20), seed);
    assert!(
        last <= ASK_WITHIN / 7 && failed == 0,
        "the last had it after {last:?}"
    );
}

/// The agents' zero point in what follows, and the time from one beat to the next.
const DAWN: Duration = Duration::from_secs(100);
const BEAT: Duration = Duration::from_millis(10);

/// The i-th appliance as the list has it; numbers are as good as drawn.
fn line(i: u32, mode: EndpointStatus, started: Option<Duration>) -> Endpoint {
    let appliance = EndpointId(i.wrapping_mul(0x9E37_79B9));
    let (model, build, cell, zone) = (Model(0), Build(1), Cell(0), Zone(0));
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

/// Where a build stands, and its cap.
type Told = (Build, ReleasePhase, f64);
const ALL_IS_OLD: Told = (Build(1), ReleasePhase::Released, 1.0);

/// Plays an agent for so many beats. `list` gives the list at a beat at which one comes, and the platform's news with it;
/// `asked` is how many requests have come by a beat, and `sent` takes the beat and the appliance of each attempt,
/// answered after a tenth of a second.
fn play(
    mut brain: DecisionEngine,
    beats: u32,
    list: impl Fn(u32) -> Option<(Vec<Endpoint>, Told)>,
    asked: impl Fn(u32) -> u32,
    mut sent: impl FnMut(u32, EndpointId),
) {
    let (mut out, mut next) = (VecDeque::new(), 0);
    for beat in 0..beats {
        let now = DAWN + BEAT * beat;
        let mut decided = RecordedActions::default();
        let hear = |ears: &mut dyn EventHandler| {
            if let Some((lines, news)) = list(beat) {
                ears.on_endpoints(ListUpdate::Full, &mut lines.into_iter());
                ears.on_release_status(news.0, Stage(2), news.1, news.2, Duration::ZERO);
            }
            let due = out.partition_point(|(at, ..): &(u32, _, _)| at + 10 <= beat);
            for (_, id, to) in out.drain(..due) {
                ears.on_attempt_ended(
                    id,
                    AttemptNumber(0),
                    to,
                    Outcome::Succeeded,
                    BEAT * 10,
                    true,
                );
            }
            if asked(beat) > next {
                next += 1;
                let (product, hint, deadline) = (
                    RequestClass(0),
                    Some(READ.latency_objective / 5),
                    now + READ.deadline,
                );
                let (tenant, mark, repeated) = (Tenant(0), None, false);
                ears.on_request(
                    RequestId(next),
                    Request {
                        class: product,
                        tenant,
                        idempotency_key: mark,
                        deadline,
                        estimated_work: hint,
                        is_retry: repeated,
                    },
                );
            }
        };
        brain.round(now, hear, &mut decided);
        for (id, to) in decided.sent {
            out.push_back((beat, id, to));
            sent(beat, to);
        }
    }
}

/// How many appliances each agent has sent to, and how many requests each appliance got, after ten seconds in
/// which each agent is asked so many requests a second.
fn serve(agents: u32, appliances: u32, a_second: u32, seed: u64) -> (Vec<usize>, Vec<u32>) {
    let lines: Vec<Endpoint> = (0..appliances)
        .map(|i| line(i, EndpointStatus::Ready, None))
        .collect();
    let mut got: BTreeMap<EndpointId, u32> = lines.iter().map(|line| (line.id, 0)).collect();
    let mut met = Vec::new();
    for me in 0..agents {
        let mut links = BTreeSet::new();
        let list = |beat| (beat == 0).then(|| (lines.clone(), ALL_IS_OLD));
        play(
            agent(me, agents, seed),
            1000,
            list,
            |beat| beat * a_second / 100,
            |_, to| {
                links.insert(to);
                *got.get_mut(&to).expect("a listed appliance") += 1;
            },
        );
        met.push(links.len());
    }
    (met, got.into_values().collect())
}

/// Why all may go only to those that have just started: the others drain; they run a build that goes back and may have
/// nothing more; or it may have three quarters, of which the time before has used up all.
#[derive(Clone, Copy)]
enum Others {
    Drained,
    Closed,
    Full,
}

/// The most requests that one of the appliances gets in the second after a build was taken back, and all may go only to
/// the tenth that has just started under the earlier one: from agents that have been up for so long and are asked eight
/// requests a second, and from then on so many times as many, as clients come again.
fn sent_to_cold(
    agents: u32,
    appliances: u32,
    up: Duration,
    times: u32,
    others: Others,
    seed: u64,
) -> u32 {
    let last_warm = up.as_millis() as u32 / 10;
    let tried = |line| Endpoint {
        build: Build(2),
        ..line
    };
    let before = |i| match others {
        Others::Full => tried(line(i, EndpointStatus::Ready, None)),
        _ => line(i, EndpointStatus::Ready, None),
    };
    let after = |i: u32| match others {
        _ if i.is_multiple_of(10) => line(i, EndpointStatus::Ready, Some(DAWN + up)),
        Others::Drained => line(i, EndpointStatus::Draining, None),
        _ => tried(line(i, EndpointStatus::Ready, None)),
    };
    let (from, to) = match others {
        Others::Drained => (ALL_IS_OLD, ALL_IS_OLD),
        Others::Closed => (ALL_IS_OLD, (Build(2), ReleasePhase::RollingBack, 0.0)),
        Others::Full => (
            (Build(2), ReleasePhase::Canary, 1.0),
            (Build(2), ReleasePhase::RollingBack, 0.75),
        ),
    };
    let list = |beat| match beat {
        0 => Some(((0..appliances).map(before).collect(), from)),
        _ if beat == last_warm + 1 => Some(((0..appliances).map(after).collect(), to)),
        _ => None,
    };
    let asked = |beat: u32| 8 * (beat + (times - 1) * beat.saturating_sub(last_warm)) / 100;
    let cold: BTreeSet<_> = (0..appliances)
        .step_by(10)
        .map(|i| line(i, EndpointStatus::Ready, None).id)
        .collect();
    let mut got = BTreeMap::<EndpointId, u32>::new();
    for me in 0..agents {
        let beats = last_warm + 101;
        play(agent(me, agents, seed), beats, list, asked, |beat, to| {
            *got.entry(to).or_default() += u32::from(beat > last_warm && cold.contains(&to));
        });
    }
    got.into_values().max().unwrap_or_default()
}

/// Cold appliances do not fall over under the sum of all agents, also where these have just come up themselves and
/// know little of their own traffic.
#[rstest]
fn no_cold_appliance_falls(
    #[values(100, 350)] agents: u32,
    #[values(1, 2, 8)] up: u64,
    #[values(1, 4)] times: u32,
    #[values(Others::Drained, Others::Closed, Others::Full)] others: Others,
) {
    let appliances = agents / 3;
    let most = sent_to_cold(
        agents,
        appliances,
        Duration::from_secs(up),
        times,
        others,
        1,
    );
    // What they bear is taken for what they can do, of which a cold one has 0.34, and may be sent 2.5 times as much.
    let allowed = 2.5 * 0.34 * f64::from(agents) * 8.0 / f64::from(appliances);
    let falls = allowed + 3.0 * allowed.sqrt() + 3.0;
    assert!(
        f64::from(most) <= falls,
        "one got {most} requests in a second and falls at {falls:.0}"
    );
}

/// Many agents that each ask little keep to few appliances, and yet load all of them alike.
#[rstest]
fn many_agents_spread_evenly_over_few_links_each(
    #[values(20, 50, 100, 200)] agents: u32,
    #[values(30, 60)] appliances: u32,
    #[values(1, 2)] seed: u64,
) {
    let (met, got) = serve(agents, appliances, 8, seed);
    let links = met.iter().sum::<usize>() as f64 / f64::from(agents);
    let mean = f64::from(got.iter().sum::<u32>()) / f64::from(appliances);
    assert!(links < 20.0, "{links} appliances an agent");
    let most = f64::from(*got.iter().max().expect("some")) / mean;
    let least = f64::from(*got.iter().min().expect("some")) / mean;
    assert!(
        most < 1.6 && least > 0.5,
        "the most loaded has {most:.2} of the mean, the least {least:.2}"
    );
}

/// An agent that asks much goes to all, and so do a few that share a small fleet.
#[rstest]
#[case::few(3, 12, 80)]
#[case::hot(6, 60, 90)]
fn who_asks_much_uses_all(#[case] agents: u32, #[case] appliances: u32, #[case] a_second: u32) {
    let (met, _) = serve(agents, appliances, a_second, 1);
    assert!(
        met.iter().all(|links| *links as u32 > appliances * 9 / 10),
        "{met:?} of {appliances}"
    );
}

/// What an agent could have asked for counts as told to it so long after the service had it and could be reached.
const TOLD_AFTER: Duration = Duration::from_secs(6);

/// However many calls have failed, an agent asks again so soon that the answer, which may take the service's patience,
/// comes before a change counts as told: the service may have come back directly after the last failure.
#[rstest]
fn an_agent_asks_again_before_a_change_counts_as_told() {
    let (step, mut longest) = (Duration::from_millis(20), Duration::ZERO);
    for seed in 0..20 {
        let mut now = Duration::from_secs(100);
        let (mut brain, mut failures, mut waiting_since) = (agent(3, 30, seed), 0, now);
        asks(&mut brain, now, Some(ListUpdate::Cached));
        while failures < 8 {
            now += step;
            if asks(&mut brain, now, None) {
                longest = longest.max(now - waiting_since);
                failures += 1;
                waiting_since = now;
                asks(&mut brain, now, Some(ListUpdate::Failed));
            }
        }
    }
    assert!(
        longest + Service::PATIENCE <= TOLD_AFTER,
        "{longest:?} without a call"
    );
}
