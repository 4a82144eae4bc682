//! Laws of agents that work with a subset of a long list, in virtual time: what it costs, how even the load is, and that
//! nothing that holds for the whole list is lost with the rest of it.
#![allow(clippy::min_ident_chars)] // Not met yet.
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DecisionEngine,
    DeduplicationScope, Endpoint, EndpointDiscovery, EndpointId, EndpointStatus, EventHandler,
    Exposure, FleetPosition, Idempotency, IdempotencyKey, ListUpdate, Model, Outcome,
    PendingRequests, ReleaseAnalysis, ReleasePermissions, ReleasePhase, Request, RequestClass,
    RequestId, SlowStart, Stage, Tenant, VoteTiming, Zone,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use rstest::rstest;

const DAWN: Duration = Duration::from_secs(100);
const BEAT: Duration = Duration::from_millis(10);
const WORK: Duration = Duration::from_millis(100);
const AGENTS: u32 = 530;
const READ: u8 = 0;
const KEYED_BY_CELL: u8 = 1;
const KEYED_BY_ZONE: u8 = 2;
const SERVED: (Outcome, Duration) = (Outcome::Succeeded, WORK);

fn ms(many: u64) -> Duration {
    Duration::from_millis(many)
}

fn terms(repeat: Idempotency) -> ClassPolicy {
    let (sla, deadline, remembered) = (ms(500), ms(2000), ms(1500));
    ClassPolicy {
        idempotency: repeat,
        latency_objective: sla,
        deadline,
        deduplication_window: remembered,
        priority_weight: 1.0,
        late_weight_share: 0.5,
    }
}

fn agent(me: u32, agents: u32) -> DecisionEngine {
    let among = FleetPosition {
        own_id: AgentId(me),
        agent_count: agents,
        can_message_peers: true,
    };
    let calls = VoteTiming {
        validity: ms(6000),
        call_timeout: ms(1200),
    };
    let keyed = |group| terms(Idempotency::Keyed(group));
    let products = vec![
        terms(Idempotency::Idempotent),
        keyed(DeduplicationScope::Cell),
        keyed(DeduplicationScope::Zone),
    ];
    DecisionEngine::new(
        u64::from(me) * 7919 + 1,
        EndpointDiscovery::new(Zone((me % 8) as u8), None),
        SlowStart::new(0.34, ms(4000), 2.5, ms(1000)),
        Exposure::new(ms(4000), ms(5), 3.0, 0.1, false, 1, false),
        ReleaseAnalysis::new(
            AdvanceRule::Single,
            vec![0.1, 0.5, 1.0],
            ms(900),
            calls,
            true,
            among,
            3,
        ),
        PendingRequests::new(products, 3, true, ms(2000), ms(5)),
    )
}

/// The i-th appliance: eight zones, cells of three; numbers are as good as drawn.
fn line(i: u32) -> Endpoint {
    let appliance = EndpointId(i.wrapping_mul(0x9E37_79B9));
    let (mode, model, build) = (EndpointStatus::Ready, Model(0), Build(1));
    let (cell, zone) = (Cell((i / 3) as u16), Zone((i % 8) as u8));
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

fn lines(many: u32) -> Vec<Endpoint> {
    (0..many).map(line).collect()
}

struct Attempt {
    due: Duration,
    id: RequestId,
    attempt: AttemptNumber,
    at: EndpointId,
    ending: Outcome,
    took: Duration,
}

/// An agent and what stands around it: its attempts that are out end as drawn when they were sent.
struct Play {
    brain: DecisionEngine,
    now: Duration,
    out: Vec<Attempt>,
    attempts: BTreeMap<RequestId, u8>,
    requests: u32,
    given_up: Vec<RequestId>,
    wakes: BTreeSet<Duration>,
}

impl Play {
    /// An agent that has the list, where build 1 is released.
    fn new(me: u32, agents: u32, lines: &[Endpoint]) -> Self {
        let (out, attempts, given_up, wakes) = Default::default();
        let mut play = Play {
            brain: agent(me, agents),
            now: DAWN,
            out,
            attempts,
            requests: 0,
            given_up,
            wakes,
        };
        play.round(
            |ears| {
                ears.on_release_status(
                    Build(1),
                    Stage(2),
                    ReleasePhase::Released,
                    1.0,
                    Duration::ZERO,
                );
                ears.on_endpoints(ListUpdate::Full, &mut lines.iter().copied());
            },
            |_, _| SERVED,
        );
        play
    }

    /// When the next wake-up or answer is due.
    fn next_event(&mut self) -> Option<Duration> {
        let now = self.now;
        self.wakes.retain(|at| *at > now);
        let answers = self.out.iter().map(|attempt| attempt.due);
        self.wakes.first().copied().into_iter().chain(answers).min()
    }

    fn members(&self) -> BTreeSet<EndpointId> {
        self.brain.members().collect()
    }

    fn change(&mut self, lines: Vec<Endpoint>) {
        self.round(
            |ears| ears.on_endpoints(ListUpdate::Delta, &mut lines.into_iter()),
            |_, _| SERVED,
        );
    }

    /// Plays what is due, and then a round; `fate` says how an attempt ends, by its attempt and appliance, and after
    /// what time.
    fn round(
        &mut self,
        hear: impl FnOnce(&mut dyn EventHandler),
        mut fate: impl FnMut(u8, EndpointId) -> (Outcome, Duration),
    ) -> Vec<(RequestId, EndpointId)> {
        let (now, mut decided) = (self.now, RecordedActions::default());
        let due: Vec<_> = self.out.extract_if(.., |one| one.due <= now).collect();
        let all = |ears: &mut dyn EventHandler| {
            for one in due {
                let closed = one.ending == Outcome::Succeeded;
                ears.on_attempt_ended(one.id, one.attempt, one.at, one.ending, one.took, closed);
            }
            hear(ears);
        };
        self.brain.round(now, all, &mut decided);
        for (id, at) in &decided.sent {
            let attempt = self.attempts.entry(*id).or_default();
            let (ending, took) = fate(*attempt, *at);
            let (id, at, due) = (*id, *at, now + took);
            self.out.push(Attempt {
                due,
                id,
                attempt: AttemptNumber(*attempt),
                at,
                ending,
                took,
            });
            *attempt += 1;
        }
        self.given_up
            .extend(decided.unserved.into_iter().map(|(id, _)| id));
        self.wakes.extend(decided.wake_ups);
        decided.sent
    }

    /// A beat in which so many requests of a product come.
    fn beat(
        &mut self,
        requests: u32,
        product: u8,
        fate: impl FnMut(u8, EndpointId) -> (Outcome, Duration),
    ) -> Vec<(RequestId, EndpointId)> {
        self.now += BEAT;
        let (now, first) = (self.now, self.requests);
        self.requests += requests;
        let hear = |ears: &mut dyn EventHandler| {
            for id in first..first + requests {
                let (product, tenant, mark) =
                    (RequestClass(product), Tenant(0), Some(IdempotencyKey(7)));
                let (deadline, hint) = (now + ms(2000), Some(WORK));
                ears.on_request(
                    RequestId(id),
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
        };
        self.round(hear, fate)
    }

    /// So many beats with so many requests a second, all served; the appliances that they went to.
    fn serve(&mut self, beats: u32, a_second: u32) -> Vec<EndpointId> {
        let due = |beat: u32| beat * a_second / 100;
        let mut sent = Vec::new();
        for beat in 0..beats {
            let round = self.beat(due(beat + 1) - due(beat), READ, |_, _| SERVED);
            sent.extend(round.into_iter().map(|(_, to)| to));
        }
        sent
    }
}

/// The most rows looked at in a round, and in all of ten seconds, by an agent with 62 requests a second and a change of
/// the list a second, once it has the list.
fn rows_looked_at(listed: u32) -> (u64, u64) {
    let mut play = Play::new(17, AGENTS, &lines(listed));
    let (from, mut worst) = (play.brain.visited(), 0);
    for beat in 0..1000 {
        let before = play.brain.visited();
        play.beat((beat + 1) * 62 / 100 - beat * 62 / 100, READ, |_, _| SERVED);
        worst = worst.max(play.brain.visited() - before);
        if beat % 100 == 50 {
            let before = play.brain.visited();
            play.change(vec![Endpoint {
                started: Some(play.now),
                ..line(beat * 7919 % listed)
            }]);
            worst = worst.max(play.brain.visited() - before);
        }
    }
    (worst, play.brain.visited() - from)
}

/// Twelve times the list costs the same; a round looks at no more rows than a subset has, a few times over.
#[rstest]
fn work_follows_what_is_used() {
    let ((short_worst, short), (long_worst, long)) = (rows_looked_at(600), rows_looked_at(7400));
    assert!(
        long * 10 < short * 13,
        "{short} rows at 600 listed, {long} at 7,400"
    );
    assert!(
        long_worst < 3000,
        "{short_worst} rows in a round at 600 listed, {long_worst} at 7,400"
    );
}

/// A module with nothing in hand asks for no wake-up: it has a few rounds after its last answer, then none.
#[rstest]
fn an_idle_module_sleeps(
    #[values(1, 35, 600, 7400)] listed: u32,
    #[values(0, 1, 20)] requests: u32,
) {
    let mut play = Play::new(3, AGENTS, &lines(listed));
    play.serve(100, requests);
    play.serve(30, 0);
    play.wakes.retain(|at| *at > play.now);
    let mut rounds = 0;
    while let Some(next) = play
        .wakes
        .pop_first()
        .filter(|next| *next < DAWN + ms(600_000))
    {
        play.now = next;
        play.round(|_| {}, |_, _| SERVED);
        rounds += 1;
    }
    assert!(rounds <= 2, "{rounds} rounds with nothing to do");
    play.now = DAWN + ms(600_000);
    assert_eq!(
        play.beat(1, READ, |_, _| SERVED).len(),
        1,
        "what comes then is sent at once"
    );
}

/// An agent with a request now and then, woken only when it asked for it or an answer comes, refuses none of them.
#[rstest]
fn a_nearly_idle_agent_refuses_nothing(#[values(35, 600, 7400)] listed: u32) {
    for me in 0..30 {
        let mut play = Play::new(me, AGENTS, &lines(listed));
        for number in 0..30 {
            let next = play.now + ms(700 + u64::from(me * 7 + number * 13) % 19 * 1000);
            while let Some(event) = play.next_event().filter(|event| *event < next) {
                play.now = event;
                play.round(|_| {}, |_, _| SERVED);
            }
            play.now = next;
            assert_eq!(
                play.beat(1, READ, |_, _| SERVED).len(),
                1,
                "agent {me}, request {number}"
            );
        }
        assert_eq!(play.given_up, [], "agent {me}");
    }
}

/// What is out, or a build on trial, keeps the module awake.
#[rstest]
fn a_module_with_something_out_does_not_sleep() {
    let mut play = Play::new(3, AGENTS, &lines(600));
    play.beat(1, READ, |_, _| (Outcome::Succeeded, ms(1500)));
    assert!(
        play.wakes.iter().any(|at| *at > play.now),
        "an attempt is out"
    );
    let mut play = Play::new(3, AGENTS, &lines(600));
    play.round(
        |ears| ears.on_release_status(Build(2), Stage(0), ReleasePhase::Canary, 0.1, ms(0)),
        |_, _| SERVED,
    );
    assert!(
        play.wakes.iter().any(|at| *at > play.now),
        "a build is on trial"
    );
}

/// A few agents are asked most: by their number, 60, 16 or 8 requests a second.
fn skewed(me: u32) -> u32 {
    match me % 10 {
        0 => 60,
        1..4 => 16,
        _ => 8,
    }
}

/// What each appliance gets from all agents in ten seconds, after a tenth of them, if any, were replaced one by one.
fn loads(listed: u32, replaced: u32) -> Vec<u32> {
    let mut got = BTreeMap::<EndpointId, u32>::new();
    got.extend((replaced..listed + replaced).map(|i| (line(i).id, 0)));
    for me in 0..AGENTS {
        let mut play = Play::new(me, AGENTS, &lines(listed));
        play.serve(100, skewed(me));
        for i in 0..replaced {
            play.change(vec![
                Endpoint {
                    status: EndpointStatus::Removed,
                    ..line(i)
                },
                line(listed + i),
            ]);
            play.serve(1, 0);
        }
        for to in play.serve(1000, skewed(me)) {
            *got.get_mut(&to).expect("a listed appliance") += 1;
        }
    }
    got.into_values().collect()
}

#[rstest]
#[case::one(1, 0)]
#[case::five(5, 0)]
#[case::thirty_five(35, 0)]
#[case::thirty_five_replaced(35, 4)]
#[case::six_hundred(600, 0)]
#[case::six_hundred_replaced(600, 60)]
fn load_is_even(#[case] listed: u32, #[case] replaced: u32) {
    let got = loads(listed, replaced);
    let mean = f64::from(got.iter().sum::<u32>()) / f64::from(listed);
    let most = f64::from(*got.iter().max().expect("some")) / mean;
    let least = f64::from(*got.iter().min().expect("some")) / mean;
    println!(
        "{listed} listed, {replaced} replaced: most {most:.2}, least {least:.2} of the mean {mean:.0}"
    );
    assert!(
        most < 1.6 && least > 0.5,
        "the most loaded has {most:.2} of the mean, the least {least:.2}"
    );
}

/// One appliance less moves just its own memberships: each subset that had it takes one other. One more takes the place
/// of one in each subset that it comes into, and it comes into hardly more of them than its share.
#[rstest]
fn a_change_moves_its_own_share(
    #[values(600, 2400)] listed: u32,
    #[values(0, 17, 333)] changed: u32,
) {
    let (mut had, mut moved, mut joined, mut entered) = (0, 0, 0, 0);
    for me in 0..AGENTS {
        let mut play = Play::new(me, AGENTS, &lines(listed));
        let before = play.members();
        play.change(vec![Endpoint {
            status: EndpointStatus::Removed,
            ..line(changed)
        }]);
        let less = play.members();
        had += usize::from(before.contains(&line(changed).id));
        moved += less.difference(&before).count();
        play.change(vec![line(listed)]);
        let more = play.members();
        joined += usize::from(more.contains(&line(listed).id));
        entered += more.difference(&less).count();
        assert_eq!((before.len(), less.len(), more.len()), (160, 160, 160));
    }
    assert!(
        had > 0 && moved <= had,
        "{moved} memberships moved for the {had} of one that went"
    );
    assert!(
        entered <= joined,
        "{entered} memberships moved for the {joined} of one that came"
    );
    let share = AGENTS as usize * 160 / listed as usize;
    assert!(
        joined < share * 8 / 5,
        "{joined} agents took in one of {listed}, where {share} are its share"
    );
}

#[derive(Clone, Copy, Debug)]
enum Bad {
    Unconnected,
    Silent,
    Cold,
    Drained,
    Gone,
}

/// All that an agent works with turns bad at once, or two zones of it fall silent: no request is refused for it once it is
/// seen, and those that are told of are replaced at once.
#[rstest]
fn a_subset_that_turns_bad_widens(
    #[values(Bad::Unconnected, Bad::Silent, Bad::Cold, Bad::Drained, Bad::Gone)] bad: Bad,
    #[values(600, 7400)] listed: u32,
) {
    let all = lines(listed);
    let mut play = Play::new(5, AGENTS, &all);
    play.serve(300, 20);
    let quarter: BTreeSet<_> = all
        .iter()
        .filter(|line| line.zone < Zone(2))
        .map(|line| line.id)
        .collect();
    let mut members = play.members();
    assert_eq!(members.len(), 160);
    if matches!(bad, Bad::Silent) {
        members.retain(|id| quarter.contains(id));
    }
    let turned = all
        .iter()
        .filter(|line| members.contains(&line.id))
        .copied();
    let now = play.now;
    match bad {
        Bad::Cold => play.change(
            turned
                .map(|line| Endpoint {
                    started: Some(now),
                    ..line
                })
                .collect(),
        ),
        Bad::Drained => play.change(
            turned
                .map(|line| Endpoint {
                    status: EndpointStatus::Draining,
                    ..line
                })
                .collect(),
        ),
        Bad::Gone => play.change(
            turned
                .map(|line| Endpoint {
                    status: EndpointStatus::Removed,
                    ..line
                })
                .collect(),
        ),
        Bad::Unconnected | Bad::Silent => {}
    }
    if matches!(bad, Bad::Cold | Bad::Drained | Bad::Gone) {
        assert_eq!(
            play.members().difference(&members).count(),
            160,
            "others at once"
        );
    }
    let fate = |_: u8, at: EndpointId| match bad {
        Bad::Unconnected if members.contains(&at) => (Outcome::ConnectFailed, ms(5)),
        Bad::Silent if members.contains(&at) => (Outcome::TimedOut, ms(1800)),
        _ => SERVED,
    };
    // What it does not hear of, it finds out, at three attempts a request.
    if matches!(bad, Bad::Unconnected | Bad::Silent) {
        for beat in 0..2000 {
            play.beat(u32::from(beat % 2 == 0), READ, fate);
        }
        play.given_up.clear();
    }
    let (mut late, mut asked) = (0, 0);
    for beat in 0..400 {
        let sent = play.beat(u32::from(beat % 5 == 0), READ, fate);
        asked += usize::from(beat % 5 == 0);
        late += sent.iter().filter(|(_, to)| members.contains(to)).count();
    }
    println!(
        "{bad:?} of {listed}: {} of {asked} refused, {late} sent to them",
        play.given_up.len()
    );
    assert_eq!(play.given_up.len(), 0, "refused");
    match bad {
        // Cold ones may have what they bear; a barred one is tried again with a first attempt, now and then.
        Bad::Cold => {}
        Bad::Unconnected => assert!(
            play.members().len() > 160,
            "{} members",
            play.members().len()
        ),
        Bad::Silent => {
            assert!(
                late < asked / 4 && play.members().len() > 160,
                "{late} of {asked} sent to them"
            )
        }
        Bad::Drained | Bad::Gone => assert_eq!(late, 0, "sent to what is not ready"),
    }
}

/// Only a few of a long list are open to a request, and not to all: it finds them.
#[rstest]
fn openings_hold_for_the_unused(#[values(600, 7400)] listed: u32) {
    let mut all = lines(listed);
    all.iter_mut().for_each(|line| line.zone = Zone(0));
    all[77].zone = Zone(1);
    all[78].zone = Zone(1);
    let open: BTreeSet<_> = [77, 78].map(|i: usize| all[i].id).into();
    for me in [0, 100, 400] {
        let mut play = Play::new(me, AGENTS, &all);
        // Zone 0 is open to another product alone, zone 1 to all.
        let table = ReleasePermissions::new(2, 1, &[(Build(1), &[4, 7])], None);
        play.round(
            |ears| ears.on_release_permissions(Some(Arc::new(table))),
            |_, _| SERVED,
        );
        for beat in 0..300 {
            for (_, to) in play.beat(u32::from(beat % 10 == 0), READ, |_, _| SERVED) {
                assert!(open.contains(&to), "{to:?} is closed");
            }
        }
        assert_eq!(
            (play.given_up.len(), play.attempts.len()),
            (0, 30),
            "refused, and sent"
        );
    }
}

/// A keyed request that may have run is sent again within its group alone, also where no other member is in it.
#[rstest]
#[case::cell(KEYED_BY_CELL)]
#[case::zone(KEYED_BY_ZONE)]
fn a_keyed_request_finds_its_group(#[case] product: u8, #[values(600, 7400)] listed: u32) {
    let mut all = lines(listed);
    all.iter_mut()
        .enumerate()
        .for_each(|(i, line)| line.zone = Zone((i / 100) as u8));
    let of: BTreeMap<_, _> = all
        .iter()
        .map(|line| (line.id, (line.zone, line.cell)))
        .collect();
    let mut play = Play::new(9, AGENTS, &all);
    let mut first = BTreeMap::new();
    let mut again = BTreeSet::new();
    for beat in 0..300 {
        // The first attempt of every second request fails, and no failure is blamed on so few.
        let fate = |attempt: u8, _: EndpointId| {
            if attempt == 0 {
                (Outcome::Failed, ms(20))
            } else {
                SERVED
            }
        };
        for (id, to) in play.beat(u32::from(beat % 10 == 0), product, fate) {
            let Some(before) = first.insert(id, to) else {
                continue;
            };
            let ((zone, cell), (zone_before, cell_before)) = (of[&to], of[&before]);
            let same = if product == KEYED_BY_CELL {
                cell == cell_before
            } else {
                zone == zone_before
            };
            assert!(same, "a repeat left its group");
            assert!(
                to != before,
                "a repeat went where it failed, with others in its group"
            );
            again.insert(id);
        }
    }
    // A request whose resend is held back as vain is given up: never for want of an appliance.
    assert!(
        again.len() + play.given_up.len() >= 29,
        "{} sent again",
        again.len()
    );
    assert!(again.len() >= 10, "{} sent again", again.len());
}

/// Amid changes of the list to used and unused alike, nothing goes to what the list does not have as ready.
#[rstest]
fn the_list_holds_before_the_first_attempt(#[values(600, 7400)] listed: u32) {
    let mut all = lines(listed);
    let mut play = Play::new(2, AGENTS, &all);
    let mut drawn = 1_u32;
    for turn in 0..1000 {
        let mut changes = Vec::new();
        for _ in 0..8 {
            drawn = drawn.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let one = &mut all[(drawn >> 8) as usize % listed as usize];
            one.status = if one.status == EndpointStatus::Ready {
                EndpointStatus::Draining
            } else {
                EndpointStatus::Ready
            };
            changes.push(*one);
        }
        match turn % 100 {
            // Now and then all lines come as changes, or as a whole list without what drains.
            33 => play.change(all.clone()),
            66 => {
                let ready = all
                    .iter()
                    .copied()
                    .filter(|line| line.status == EndpointStatus::Ready)
                    .collect::<Vec<_>>();
                play.round(
                    |ears| ears.on_endpoints(ListUpdate::Full, &mut ready.into_iter()),
                    |_, _| SERVED,
                );
            }
            _ => play.change(changes),
        }
        let ready: BTreeSet<_> = all
            .iter()
            .filter(|line| line.status == EndpointStatus::Ready)
            .map(|line| line.id)
            .collect();
        for (_, to) in play.beat(1, READ, |_, _| SERVED) {
            assert!(ready.contains(&to), "{to:?} drains");
        }
    }
    assert_eq!(play.given_up.len(), 0);
}

/// The most that a cold appliance gets in a second from all agents, when a tenth has just started and all others drain.
#[rstest]
fn cold_limits_hold_over_all_agents(#[values(600, 2400)] listed: u32, #[values(1, 4)] times: u32) {
    let mut got = BTreeMap::<EndpointId, u32>::new();
    for me in 0..AGENTS {
        let mut play = Play::new(me, AGENTS, &lines(listed));
        play.serve(200, 8);
        let now = play.now;
        let after = (0..listed).map(|i| match i % 10 {
            0 => Endpoint {
                started: Some(now),
                ..line(i)
            },
            _ => Endpoint {
                status: EndpointStatus::Draining,
                ..line(i)
            },
        });
        play.change(after.collect());
        play.serve(100, 8 * times)
            .into_iter()
            .for_each(|to| *got.entry(to).or_default() += 1);
    }
    // What they bear is taken for what they can do, of which a cold one has 0.34, and may be sent 2.5 times as much.
    let allowed = 2.5 * 0.34 * f64::from(AGENTS) * 8.0 / f64::from(listed);
    let falls = allowed + 3.0 * allowed.sqrt() + 3.0;
    let most = got.values().copied().max().unwrap_or_default();
    let sum: u32 = got.values().sum();
    println!("{listed} listed, {times} times: most {most}, falls at {falls:.0}, sent {sum} in all");
    assert!(
        f64::from(most) <= falls,
        "one got {most} requests in a second and falls at {falls:.0}"
    );
    assert!(sum > 0, "all that is left is cold: some is sent");
}

/// An agent gives a trial the share that it has of the list, whatever it has of the subset.
#[rstest]
fn the_share_of_a_trial_is_that_of_the_list(#[values(600, 7400)] listed: u32) {
    let (mut trial, mut all) = (0.0, 0.0);
    for me in (0..AGENTS).step_by(10) {
        let on_trial = |i: u32| i.is_multiple_of(20);
        let of = |i| Endpoint {
            build: Build(if on_trial(i) { 2 } else { 1 }),
            ..line(i)
        };
        let list: Vec<Endpoint> = (0..listed).map(of).collect();
        let mut play = Play::new(me, AGENTS, &list);
        play.round(
            |ears| ears.on_release_status(Build(2), Stage(1), ReleasePhase::Canary, 0.5, ms(0)),
            |_, _| SERVED,
        );
        let twos: BTreeSet<_> = list
            .iter()
            .filter(|l| l.build == Build(2))
            .map(|l| l.id)
            .collect();
        let sent = play.serve(500, 20);
        all += sent.len() as f64;
        trial += sent.iter().filter(|to| twos.contains(to)).count() as f64;
    }
    let share = trial / all;
    assert!(
        (0.03..0.08).contains(&share),
        "{share:.3} went to a twentieth on trial"
    );
}

/// The cap on a build on trial holds at each agent, whatever part of it the subset has.
#[rstest]
fn exposure_holds(#[values(600, 7400)] listed: u32) {
    let list: Vec<Endpoint> = (0..listed)
        .map(|i| Endpoint {
            build: Build(1 + u16::from(i % 2 == 0)),
            ..line(i)
        })
        .collect();
    let twos: BTreeSet<_> = list
        .iter()
        .filter(|l| l.build == Build(2))
        .map(|l| l.id)
        .collect();
    let mut play = Play::new(8, AGENTS, &list);
    play.round(
        |ears| ears.on_release_status(Build(2), Stage(0), ReleasePhase::Canary, 0.1, ms(0)),
        |_, _| SERVED,
    );
    let sent = play.serve(1000, 50);
    let trial = sent.iter().filter(|to| twos.contains(to)).count() as f64;
    // Three free ones in each window of four seconds, and a tenth of what came.
    assert!(
        trial <= 50.0 + 3.0 * 4.0,
        "{trial} of {} went to the trial",
        sent.len()
    );
    assert!(trial > 20.0, "{trial} of {} went to the trial", sent.len());
}

/// The same events lead to the same decisions, and to the same subset.
#[rstest]
fn the_same_events_the_same_decisions() {
    let run = || {
        let mut play = Play::new(11, AGENTS, &lines(1000));
        let mut sent = play.serve(200, 62);
        for i in 0..50 {
            play.change(vec![Endpoint {
                status: EndpointStatus::Removed,
                ..line(i * 17)
            }]);
            sent.extend(play.serve(10, 62));
        }
        (sent, play.members())
    };
    assert_eq!(run(), run());
}
