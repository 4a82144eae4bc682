//! The law of what is owed, over drawn orders of events: every request that was taken gets one final answer in its
//! time, or its client has left; nothing is sent for it after that, nothing sent again that may have run where that is
//! barred, and never two at once. The agent's part (it serves the first good answer, gives up at the deadline) is
//! played here.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DecisionEngine,
    DeduplicationScope, Endpoint, EndpointDiscovery, EndpointId, EndpointStatus, EventHandler,
    Exposure, FleetPosition, Idempotency, IdempotencyKey, ListUpdate, Model, Outcome,
    PendingRequests, ReleaseAnalysis, ReleasePhase, Request, RequestClass, RequestId, SlowStart,
    Stage, Tenant, VoteTiming, Zone,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const STEP: Duration = Duration::from_millis(5);
const DAWN: Duration = Duration::from_secs(100);
/// Until then things happen, and by the end every deadline is over.
const BUSY: u32 = 400;
const ALL: u32 = 1200;

fn ms(many: u64) -> Duration {
    Duration::from_millis(many)
}

fn terms(repeat: Idempotency, remembered: u64) -> ClassPolicy {
    let (sla, deadline) = (ms(300), ms(1500));
    ClassPolicy {
        idempotency: repeat,
        latency_objective: sla,
        deadline,
        deduplication_window: ms(remembered),
        priority_weight: 1.0,
        late_weight_share: 0.1,
    }
}

/// The four kinds of products; keys are remembered for less than a client waits.
fn products() -> Vec<ClassPolicy> {
    let keyed = |group| terms(Idempotency::Keyed(group), 200);
    vec![
        terms(Idempotency::Idempotent, 0),
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        terms(Idempotency::NonIdempotent, 0),
    ]
}

fn agent(seed: u64, may_call_off: bool) -> DecisionEngine {
    let among = FleetPosition {
        own_id: AgentId(0),
        agent_count: 3,
        can_message_peers: false,
    };
    let calls = VoteTiming {
        validity: ms(6000),
        call_timeout: ms(1200),
    };
    DecisionEngine::new(
        seed,
        EndpointDiscovery::new(Zone(0), None),
        SlowStart::new(0.34, ms(400), 2.5, ms(1000)),
        Exposure::new(ms(1000), STEP, 3.0, 0.2, false, 1, false),
        ReleaseAnalysis::new(
            AdvanceRule::Single,
            vec![0.1, 1.0],
            ms(900),
            calls,
            true,
            among,
            4,
        ),
        PendingRequests::new(products(), 3, may_call_off, ms(1000), STEP),
    )
}

/// Something that happens at a step.
#[derive(Clone, Debug)]
enum Event {
    /// A request of a product, with so much time.
    Request(u8, u64),
    /// The client of one of those in hand leaves.
    Leaves(prop::sample::Index),
    /// An appliance is listed anew.
    Listed(u8, EndpointStatus, u16, bool),
    News(u16, ReleasePhase, f64),
    /// The agent is told when it ends, so much later.
    Ends(u64),
}

fn event() -> impl Strategy<Value = (u32, Event)> {
    let mode = prop::sample::select(vec![
        EndpointStatus::Ready,
        EndpointStatus::Ready,
        EndpointStatus::Draining,
        EndpointStatus::Removed,
    ]);
    let course = prop::sample::select(vec![
        ReleasePhase::Canary,
        ReleasePhase::RollingBack,
        ReleasePhase::Released,
    ]);
    let what = prop_oneof![
        12 => (0u8..4, 1u64..1500).prop_map(|(product, time)| Event::Request(product, time)),
        2 => any::<prop::sample::Index>().prop_map(Event::Leaves),
        3 => (0u8..6, mode, 1u16..4, any::<bool>()).prop_map(|(i, m, b, cold)| Event::Listed(i, m, b, cold)),
        1 => (1u16..4, course, 0.0f64..1.0).prop_map(|(build, course, cap)| Event::News(build, course, cap)),
        1 => (1000u64..3000).prop_map(Event::Ends),
    ];
    (0..BUSY, what)
}

/// How attempts end, in turn: how, and after so many steps, unless the request's time is over before.
fn fate() -> impl Strategy<Value = (Outcome, u32)> {
    use Outcome::*;
    let endings = vec![
        Succeeded,
        Succeeded,
        Failed,
        Rejected,
        TimedOut,
        ConnectFailed,
        ConnectionLost,
        Malformed,
        NotSent,
    ];
    (prop::sample::select(endings), 0u32..400)
}

struct Taken {
    product: RequestClass,
    until: Duration,
    attempts: u8,
    /// When the attempt that is out was decided, and in which zone; the same of the first ended one that may have run.
    out: Option<(Duration, Zone)>,
    risk: Option<(Duration, Zone)>,
}

fn line(i: u8, mode: EndpointStatus, build: u16, started: Option<Duration>) -> Endpoint {
    let (appliance, zone) = (EndpointId(i.into()), Zone(i % 2));
    let (model, cell, build) = (Model(0), Cell(0), Build(build));
    Endpoint {
        id: appliance,
        status: mode,
        model,
        weight: 1.0,
        started,
        build,
        cell,
        zone,
    }
}

fn plays(events: &[(u32, Event)], fates: &[(Outcome, u32)], seed: u64, may_call_off: bool) {
    let mut brain = agent(seed, may_call_off);
    let (mut owed, mut done) = (BTreeMap::<RequestId, Taken>::new(), BTreeSet::new());
    let mut out = Vec::<(Duration, RequestId, AttemptNumber, EndpointId, Outcome)>::new();
    let (mut ids, mut turn, mut ends) = (0, 0, Duration::MAX);
    for step in 0..ALL {
        let now = DAWN + STEP * step;
        let mut decided = RecordedActions::default();
        let hear = |ears: &mut dyn EventHandler| {
            if step == 0 {
                ears.on_release_status(
                    Build(1),
                    Stage(1),
                    ReleasePhase::Released,
                    1.0,
                    Duration::ZERO,
                );
                ears.on_endpoints(
                    ListUpdate::Cached,
                    &mut (0..4).map(|i| line(i, EndpointStatus::Ready, 1, None)),
                );
            }
            for (_, what) in events.iter().filter(|(at, _)| *at == step) {
                match what {
                    Event::Request(product, time) => {
                        ids += 1;
                        let (id, product, deadline) =
                            (RequestId(ids), RequestClass(*product), now + ms(*time));
                        let (tenant, mark, hint) =
                            (Tenant(0), Some(IdempotencyKey(7)), Some(ms(50)));
                        ears.on_request(
                            id,
                            Request {
                                class: product,
                                tenant,
                                idempotency_key: mark,
                                deadline,
                                estimated_work: hint,
                                is_retry: false,
                            },
                        );
                        let until = deadline.min(ends);
                        owed.insert(
                            id,
                            Taken {
                                product,
                                until,
                                attempts: 0,
                                out: None,
                                risk: None,
                            },
                        );
                    }
                    Event::Leaves(which) if !owed.is_empty() => {
                        let id = *which.get(&owed.keys().copied().collect::<Vec<_>>());
                        owed.remove(&id);
                        done.insert(id);
                        ears.on_client_left(id);
                    }
                    Event::Leaves(_) => {}
                    Event::Listed(i, mode, build, cold) => {
                        let started = cold.then_some(now);
                        ears.on_endpoints(
                            ListUpdate::Delta,
                            &mut [line(*i, *mode, *build, started)].into_iter(),
                        );
                    }
                    Event::News(build, course, cap) => {
                        ears.on_release_status(
                            Build(*build),
                            Stage(1),
                            *course,
                            *cap,
                            Duration::ZERO,
                        );
                    }
                    Event::Ends(wait) => {
                        ends = now + ms(*wait);
                        ears.on_shutdown(ends);
                        owed.values_mut()
                            .for_each(|taken| taken.until = taken.until.min(ends));
                        for one in out.iter_mut().filter(|one| one.0 >= ends) {
                            (one.0, one.4) = (ends, Outcome::TimedOut);
                        }
                    }
                }
            }
            for (_, id, attempt, at, ending) in out.extract_if(.., |(due, ..)| *due <= now) {
                let served = ending == Outcome::Succeeded && owed.remove(&id).is_some();
                if served {
                    done.insert(id);
                }
                let closed = !owed.contains_key(&id);
                if let Some(taken) = owed.get_mut(&id) {
                    let ran = taken.out.take().filter(|_| ending.may_have_run());
                    taken.risk = taken.risk.or(ran);
                }
                ears.on_attempt_ended(id, attempt, at, ending, STEP, closed);
            }
        };
        brain.round(now, hear, &mut decided);
        for (id, to) in decided.sent {
            let taken = owed
                .get_mut(&id)
                .expect("nothing is sent for what has its answer");
            assert!(taken.out.is_none(), "two attempts at once");
            let zone = Zone(to.0 as u8 % 2);
            let risk = taken.risk;
            match products()[usize::from(taken.product.0)].idempotency {
                Idempotency::Idempotent => {}
                Idempotency::NonIdempotent => assert!(risk.is_none(), "it may have run"),
                Idempotency::Keyed(group) => assert!(
                    risk.is_none_or(|(at, in_zone)| {
                        now < at + ms(200) && (group == DeduplicationScope::All || zone == in_zone)
                    }),
                    "it may have run, and no repeat is known there now"
                ),
            }
            let (ending, after) = fates[turn % fates.len()];
            turn += 1;
            let due = now + STEP * after;
            // An appliance that says nothing is given up in time for the answer.
            let (due, ending) = if due < taken.until {
                (due, ending)
            } else {
                (taken.until, Outcome::TimedOut)
            };
            out.push((due, id, AttemptNumber(taken.attempts), to, ending));
            (taken.attempts, taken.out) = (taken.attempts + 1, Some((now, zone)));
        }
        for (id, attempt) in decided.cancelled {
            out.iter_mut()
                .filter(|one| (one.1, one.2) == (id, attempt))
                .for_each(|one| {
                    (one.0, one.4) = (now, Outcome::Cancelled);
                });
        }
        for (id, again) in decided.unserved {
            let taken = owed.remove(&id).expect("one answer, and no second");
            done.insert(id);
            assert!(taken.out.is_none(), "an attempt is out");
            let unsafe_once =
                products()[usize::from(taken.product.0)].idempotency == Idempotency::NonIdempotent;
            assert!(
                !(again && unsafe_once && taken.risk.is_some()),
                "it may have run, and may not come again"
            );
        }
        let late = owed.values().find(|taken| taken.until + STEP < now);
        assert!(
            late.is_none(),
            "no answer {:?} after its time",
            late.map(|taken| now - taken.until)
        );
    }
    assert_eq!((owed.len(), done.len()), (0, ids as usize));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 1000, rng_seed: RngSeed::Fixed(0x0eed), failure_persistence: None, ..Default::default() })]
    #[test]
    fn every_request_has_one_answer(
        events in prop::collection::vec(event(), 1..120), fates in prop::collection::vec(fate(), 1..20),
        seed in any::<u64>(), may_call_off in any::<bool>(),
    ) {
        plays(&events, &fates, seed, may_call_off);
    }
}
