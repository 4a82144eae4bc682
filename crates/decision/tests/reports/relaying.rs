//! One agent of a large fleet, and what it passes on of its group's reports.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{AgentId, DecisionEngine, EndpointId, EventHandler, RequestClass};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestRng, TestRunner};

use crate::fleet::*;

const AGENTS: u32 = 530;
/// A relay, some of its group, and one that is in another group.
const RELAY: u32 = 110;
const MEMBERS: std::ops::Range<u32> = 111..116;
const STRANGER: u32 = 500;
const SECOND: Duration = Duration::from_secs(1);

/// A module by itself, amid a release.
pub struct Module {
    brain: DecisionEngine,
    pub now: Duration,
}

impl Module {
    pub fn new(me: u32, agents: u32, may_tell: bool) -> Self {
        Module::started(DAWN, me, agents, may_tell)
    }

    /// One that was not asked to report through relays.
    pub fn without_relays(me: u32, agents: u32) -> Self {
        Module::with_list(module_without_relays(me, agents), DAWN)
    }

    fn started(now: Duration, me: u32, agents: u32, may_tell: bool) -> Self {
        Module::with_list(module(me, agents, may_tell, 1), now)
    }

    fn with_list(brain: DecisionEngine, now: Duration) -> Self {
        let mut module = Module { brain, now };
        let scene = Scene {
            appliances: 400,
            on_trial: 40,
            ..Scene::default()
        };
        module.after(Duration::ZERO, |ears| {
            tell_list(scene, Some(DAWN - SECOND * 10), ears)
        });
        module
    }

    /// What it tells others in a round so much later.
    pub fn after(
        &mut self,
        later: Duration,
        hear: impl FnOnce(&mut dyn EventHandler),
    ) -> Vec<(Option<AgentId>, Vec<u8>)> {
        self.now += later;
        let mut decided = RecordedActions::default();
        self.brain.round(self.now, hear, &mut decided);
        decided.peer_messages
    }
}

type Entry = (EndpointId, [u8; 4]);

/// A report as members of a large fleet send it: its serial number tells when it was made.
fn report(start: Duration, made: Duration, entries: &[Entry]) -> Vec<u8> {
    let mut octets = TRIAL.0.to_be_bytes().to_vec();
    octets.extend((start.as_millis() as u32).to_be_bytes());
    octets.extend(((made - start).as_millis() as u32).to_be_bytes());
    octets.extend([0, 1, 0, 2, 0, 3]);
    for (at, counts) in entries {
        octets.extend(at.0.to_be_bytes());
        octets.push(0);
        octets.extend(counts);
    }
    octets
}

type Sums = BTreeMap<EndpointId, [u32; 4]>;

/// Adds up what a report says.
fn add(sums: &mut Sums, octets: &[u8]) {
    assert!(octets.len() <= 256, "a datagram of {} octets", octets.len());
    for record in octets[16..].chunks_exact(9) {
        let at = EndpointId(u32::from_be_bytes([
            record[0], record[1], record[2], record[3],
        ]));
        let sum = sums.entry(at).or_default();
        sum.iter_mut()
            .zip(&record[5..])
            .for_each(|(sum, one)| *sum += u32::from(*one));
    }
}

/// Adds up what one of the judges is told; all are told the same.
fn passed_on(told: Vec<(Option<AgentId>, Vec<u8>)>, sums: &mut Sums) {
    let judges: BTreeSet<_> = told.iter().filter_map(|(to, _)| *to).collect();
    for (to, octets) in told {
        if to == judges.first().copied() {
            add(sums, &octets);
        }
    }
}

/// What can happen to a relay.
#[derive(Clone, Debug)]
enum Event {
    /// A member reports; the datagram may be lost, or arrive only with a later [`Event::Again`].
    Report {
        member: u32,
        entries: Vec<(u32, [u8; 4])>,
        arrives: bool,
    },
    /// An earlier datagram arrives, for the first time or not.
    Again(prop::sample::Index),
    Restart,
    Wait(u16),
}

fn event() -> impl Strategy<Value = Event> {
    let counts = (1..=255_u8, 0..=255_u8, 0..=255_u8).prop_map(|(many, bad, timed)| {
        let timed = timed.min(many);
        [many, bad.min(many), timed, timed / 2]
    });
    let entries = prop::collection::vec((0..40_u32, counts), 1..26);
    prop_oneof![
        6 => (MEMBERS, entries, any::<bool>())
            .prop_map(|(member, entries, arrives)| Event::Report { member, entries, arrives }),
        4 => any::<prop::sample::Index>().prop_map(Event::Again),
        1 => Just(Event::Restart),
        4 => (1..1500_u16).prop_map(Event::Wait),
    ]
}

/// Whatever is lost, doubled, late or out of order, and whenever the relay restarts: for no appliance more is passed on
/// than members have reported, and what is passed on keeps each report's proportions near.
#[test]
fn nothing_counts_twice() {
    let rng = TestRng::from_seed(RngAlgorithm::ChaCha, &[7; 32]);
    let config = Config {
        cases: 200,
        rng_seed: RngSeed::Fixed(7),
        failure_persistence: None,
        ..Config::default()
    };
    let mut runner = TestRunner::new_with_rng(config, rng);
    let law = |events: Vec<Event>| {
        let mut relay = Module::new(RELAY, AGENTS, true);
        relay.after(SECOND * 2, |_| {});
        let (mut made, mut reported, mut passed) = (Vec::new(), Sums::new(), Sums::new());
        for event in events {
            let told = match event {
                Event::Report {
                    member,
                    entries,
                    arrives,
                } => {
                    relay.now += Duration::from_millis(2);
                    let entries: Vec<_> = entries
                        .iter()
                        .map(|(i, counts)| (trial(*i), *counts))
                        .collect();
                    let octets = report(DAWN - SECOND, relay.now, &entries);
                    add(&mut reported, &octets);
                    made.push((AgentId(member), octets.clone()));
                    let hear = |ears: &mut dyn EventHandler| {
                        ears.on_peer_message(AgentId(member), &octets)
                    };
                    if arrives {
                        relay.after(Duration::ZERO, hear)
                    } else {
                        Vec::new()
                    }
                }
                Event::Again(which) if !made.is_empty() => {
                    let (from, octets) = which.get(&made);
                    relay.after(Duration::from_millis(2), |ears| {
                        ears.on_peer_message(*from, octets)
                    })
                }
                Event::Again(_) => Vec::new(),
                Event::Restart => {
                    relay =
                        Module::started(relay.now + Duration::from_millis(50), RELAY, AGENTS, true);
                    Vec::new()
                }
                Event::Wait(ms) => relay.after(Duration::from_millis(ms.into()), |_| {}),
            };
            passed_on(told, &mut passed);
        }
        for _ in 0..100 {
            passed_on(relay.after(DWELL, |_| {}), &mut passed);
        }
        for (at, sums) in &passed {
            let most = reported.get(at).copied().unwrap_or_default();
            prop_assert!(
                sums.iter().zip(most).all(|(sum, most)| *sum <= most),
                "{sums:?} of {most:?}"
            );
        }
        Ok(())
    };
    runner
        .run(&prop::collection::vec(event(), 1..60), law)
        .unwrap();
}

/// Also of more appliances than one datagram has room for, and of more outcomes than an entry can hold.
#[test]
fn all_is_passed_on() {
    let mut relay = Module::new(RELAY, AGENTS, true);
    relay.after(SECOND * 2, |_| {});
    let (mut reported, mut passed) = (Sums::new(), Sums::new());
    for round in 0..60 {
        let entries: Vec<_> = (0..20)
            .map(|i| (trial((round * 20 + i) % 40), [250, 50, 100, 10]))
            .collect();
        let octets = report(DAWN, relay.now + SECOND / 10, &entries);
        add(&mut reported, &octets);
        let from = AgentId(MEMBERS.start + round % 5);
        passed_on(
            relay.after(SECOND / 10, |ears| ears.on_peer_message(from, &octets)),
            &mut passed,
        );
    }
    for _ in 0..100 {
        passed_on(relay.after(DWELL, |_| {}), &mut passed);
    }
    assert_eq!(passed, reported);
}

/// A burst of one appliance's outcomes goes on in parts of the same make-up.
#[test]
fn parts_of_a_sum_are_alike() {
    let mut relay = Module::new(RELAY, AGENTS, true);
    relay.after(SECOND * 2, |_| {});
    let mut told = Vec::new();
    for i in 0..100 {
        let octets = report(
            DAWN,
            relay.now + SECOND / 100,
            &[(trial(i % 2), [200, 40, 0, 0])],
        );
        told.extend(relay.after(SECOND / 100, |ears| {
            ears.on_peer_message(AgentId(MEMBERS.start), &octets)
        }));
    }
    let records: Vec<_> = told
        .iter()
        .flat_map(|(_, octets)| octets[16..].chunks_exact(9))
        .collect();
    assert!(records.iter().any(|record| record[5] > 200));
    for record in records {
        let share = f64::from(record[6]) / f64::from(record[5]);
        assert!(
            (share - 0.2).abs() < 0.03,
            "{} bad of {}",
            record[6],
            record[5]
        );
    }
}

/// Only what comes from the own group, of the build in hand, made after the own start, is passed on.
#[rstest::rstest]
#[case::of_a_member(RELAY, MEMBERS.start, true, 2000, true)]
#[case::of_another_group(RELAY, STRANGER, true, 2000, false)]
#[case::beyond_the_fleet(RELAY, AGENTS, true, 2000, false)]
#[case::far_beyond(RELAY, u32::MAX, true, 2000, false)]
#[case::made_before_the_start(RELAY, MEMBERS.start, true, 0, false)]
#[case::where_none_may_talk(RELAY, MEMBERS.start, false, 2000, false)]
fn others_reports_change_nothing(
    #[case] me: u32,
    #[case] from: u32,
    #[case] may_tell: bool,
    #[case] made: u64,
    #[case] passes: bool,
) {
    let mut relay = Module::new(me, AGENTS, may_tell);
    relay.after(SECOND * 3, |_| {});
    let octets = report(
        DAWN,
        DAWN + Duration::from_millis(made),
        &[(trial(0), [9, 1, 0, 0])],
    );
    let mut told = relay.after(SECOND / 10, |ears| {
        ears.on_peer_message(AgentId(from), &octets)
    });
    told.extend(relay.after(DWELL, |_| {}));
    assert_eq!(!told.is_empty(), passes, "{told:?}");
}

/// A member's relay is another one every four times `min-dwell`, and never a judge: a dead one costs no more than that.
#[test]
fn no_relay_stays_one() {
    let judges = [2, 178, 355].map(AgentId);
    for me in [50, 110, 177, 529] {
        let mut member = Module::new(me, AGENTS, true);
        let mut relays = Vec::new();
        for _ in 0..300 {
            let wrong = |ears: &mut dyn EventHandler| {
                ears.on_wrong_answer(trial(0), RequestClass(0), Duration::ZERO)
            };
            let told = member.after(DWELL / 3, wrong);
            // As a relay itself it reports to the judges.
            let relay = told
                .iter()
                .filter_map(|(to, _)| *to)
                .find(|to| !judges.contains(to));
            if !told.is_empty() {
                relays.push((relay.unwrap_or(AgentId(me)), member.now));
            }
        }
        let distinct: BTreeSet<_> = relays.iter().map(|(relay, _)| relay).collect();
        assert!(distinct.len() >= 20, "only {distinct:?}");
        for terms in relays.chunk_by(|one, next| one.0 == next.0) {
            let term = terms[terms.len() - 1].1 - terms[0].1;
            assert!(term <= DWELL * 4, "one was a relay for {term:?}");
        }
    }
}

/// While more appliances are reported on than one datagram has room for, each has its turn.
#[test]
fn no_appliance_waits_for_others() {
    let mut relay = Module::new(RELAY, AGENTS, true);
    relay.after(SECOND * 2, |_| {});
    let mut lately = Sums::new();
    for round in 0..80 {
        let entries: Vec<_> = (0..20)
            .map(|i| (trial((round * 20 + i) % 40), [2, 1, 0, 0]))
            .collect();
        let octets = report(DAWN, relay.now + SECOND / 10, &entries);
        let told = relay.after(SECOND / 10, |ears| {
            ears.on_peer_message(AgentId(MEMBERS.start), &octets)
        });
        if round >= 60 {
            passed_on(told, &mut lately);
        }
    }
    assert_eq!(lately.len(), 40, "in two seconds all forty");
}
