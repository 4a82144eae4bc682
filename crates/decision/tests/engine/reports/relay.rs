//! One relay of a large fleet, and what it passes on of its group's reports.
use std::time::Duration;

use lilacgate_decision::{AgentId, EndpointId, EventHandler};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseResult, TestRng, TestRunner};

use super::datagrams::{Counts, Sums, records, report};
use super::single::{Message, SingleAgent};
use super::{Reporting, SECOND, canary};
use crate::support::{EPOCH, MINIMUM_STAGE_TIME};

const AGENTS: u32 = 530;
/// A relay, some of its group, and one that is in another group.
const RELAY: u32 = 110;
const MEMBERS: std::ops::Range<u32> = 111..116;
const STRANGER: u32 = 500;

/// A relay that has been up for two seconds.
fn relay() -> SingleAgent {
    let mut relay = SingleAgent::new(RELAY, AGENTS, Reporting::Relayed);
    relay.after(SECOND * 2, |_| {});
    relay
}

/// Lets the relay pass on all that it holds.
fn pass_on_rest(relay: &mut SingleAgent, passed_on: &mut Sums) {
    for _ in 0..100 {
        passed_on.add_relayed(&relay.after(MINIMUM_STAGE_TIME, |_| {}));
    }
}

/// What can happen to a relay.
#[derive(Clone, Debug)]
enum Event {
    /// A member reports; the datagram may be lost, or arrive only with a later [`Event::Again`].
    Report {
        member: u32,
        records: Vec<(u32, Counts)>,
        arrives: bool,
    },
    /// An earlier datagram arrives, for the first time or not.
    Again(prop::sample::Index),
    Restart,
    Wait {
        milliseconds: u16,
    },
}

fn event() -> impl Strategy<Value = Event> {
    let counts = (1..=255_u8, 0..=255_u8, 0..=255_u8).prop_map(|(count, failed, timed)| {
        let timed = timed.min(count);
        [count, failed.min(count), timed, timed / 2]
    });
    let records = prop::collection::vec((0..40_u32, counts), 1..26);
    prop_oneof![
        6 => (MEMBERS, records, any::<bool>())
            .prop_map(|(member, records, arrives)| Event::Report { member, records, arrives }),
        4 => any::<prop::sample::Index>().prop_map(Event::Again),
        1 => Just(Event::Restart),
        4 => (1..1500_u16).prop_map(|milliseconds| Event::Wait { milliseconds }),
    ]
}

/// A relay, all reports that its members have made, and what has become of them.
struct Relaying {
    relay: SingleAgent,
    made: Vec<(AgentId, Vec<u8>)>,
    reported: Sums,
    passed_on: Sums,
}

impl Relaying {
    fn new() -> Self {
        Relaying {
            relay: relay(),
            made: Vec::new(),
            reported: Sums::default(),
            passed_on: Sums::default(),
        }
    }

    fn play(&mut self, event: Event) {
        let sent = match event {
            Event::Report {
                member,
                records,
                arrives,
            } => self.report(AgentId(member), &records, arrives),
            Event::Again(which) if !self.made.is_empty() => {
                let (from, payload) = which.get(&self.made);
                self.relay.after(Duration::from_millis(2), |events| {
                    events.on_peer_message(*from, payload);
                })
            }
            Event::Again(_) => Vec::new(),
            Event::Restart => {
                let started = self.relay.now + Duration::from_millis(50);
                self.relay = SingleAgent::started_at(started, RELAY, AGENTS, Reporting::Relayed);
                Vec::new()
            }
            Event::Wait { milliseconds } => self
                .relay
                .after(Duration::from_millis(milliseconds.into()), |_| {}),
        };
        self.passed_on.add_relayed(&sent);
    }

    fn report(&mut self, from: AgentId, counts: &[(u32, Counts)], arrives: bool) -> Vec<Message> {
        self.relay.now += Duration::from_millis(2);
        let records: Vec<_> = counts
            .iter()
            .map(|(number, counts)| (canary(*number), *counts))
            .collect();
        let payload = report(EPOCH - SECOND, self.relay.now, &records);
        self.reported.add_report(&payload);
        self.made.push((from, payload.clone()));
        if !arrives {
            return Vec::new();
        }
        let events = |events: &mut dyn EventHandler| events.on_peer_message(from, &payload);
        self.relay.after(Duration::ZERO, events)
    }

    fn assert_nothing_counts_twice(&self) -> TestCaseResult {
        for (endpoint, sums) in &self.passed_on.0 {
            let most = self.reported.0.get(endpoint).copied().unwrap_or_default();
            prop_assert!(
                sums.iter().zip(most).all(|(sum, most)| *sum <= most),
                "{sums:?} of {most:?}"
            );
        }
        Ok(())
    }
}

/// Whatever is lost, duplicated, late or out of order, and whenever the relay restarts: for no endpoint more is
/// passed on than members have reported.
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
    let play = |events: Vec<Event>| {
        let mut relaying = Relaying::new();
        for event in events {
            relaying.play(event);
        }
        pass_on_rest(&mut relaying.relay, &mut relaying.passed_on);
        relaying.assert_nothing_counts_twice()
    };
    runner
        .run(&prop::collection::vec(event(), 1..60), play)
        .unwrap();
}

/// Twenty records with the same counts, of forty endpoints in turn.
fn twenty_records(round: u32, counts: Counts) -> Vec<(EndpointId, Counts)> {
    (0..20)
        .map(|i| (canary((round * 20 + i) % 40), counts))
        .collect()
}

/// Also of more endpoints than one datagram has room for, and of more outcomes than a record can hold.
#[test]
fn all_counts_are_passed_on() {
    let mut relay = relay();
    let (mut reported, mut passed_on) = (Sums::default(), Sums::default());
    for round in 0..60 {
        let records = twenty_records(round, [250, 50, 100, 10]);
        let payload = report(EPOCH, relay.now + SECOND / 10, &records);
        reported.add_report(&payload);
        let from = AgentId(MEMBERS.start + round % 5);
        let sent = relay.after(SECOND / 10, |events| events.on_peer_message(from, &payload));
        passed_on.add_relayed(&sent);
    }
    pass_on_rest(&mut relay, &mut passed_on);
    assert_eq!(passed_on, reported);
}

/// A burst of one endpoint's outcomes is passed on in parts with the same share of failures.
#[test]
fn parts_of_a_sum_have_the_same_failure_rate() {
    let mut relay = relay();
    let mut sent = Vec::new();
    for i in 0..100 {
        let made = relay.now + SECOND / 100;
        let payload = report(EPOCH, made, &[(canary(i % 2), [200, 40, 0, 0])]);
        sent.extend(relay.after(SECOND / 100, |events| {
            events.on_peer_message(AgentId(MEMBERS.start), &payload);
        }));
    }
    let counts: Vec<_> = sent
        .iter()
        .flat_map(|(_, payload)| records(payload).map(|(_, counts)| (counts[0], counts[1])))
        .collect();
    assert!(counts.iter().any(|(count, _)| *count > 200));
    for (count, failed) in counts {
        let share = f64::from(failed) / f64::from(count);
        assert!((share - 0.2).abs() < 0.03, "{failed} failed of {count}");
    }
}

/// Only what comes from the own group, about the current build, made after the own start, is passed on.
#[rstest::rstest]
#[case::of_a_member(MEMBERS.start, Reporting::Relayed, 2000, true)]
#[case::of_another_group(STRANGER, Reporting::Relayed, 2000, false)]
#[case::beyond_the_fleet(AGENTS, Reporting::Relayed, 2000, false)]
#[case::far_beyond(u32::MAX, Reporting::Relayed, 2000, false)]
#[case::made_before_the_start(MEMBERS.start, Reporting::Relayed, 0, false)]
#[case::where_messages_are_forbidden(MEMBERS.start, Reporting::Forbidden, 2000, false)]
fn only_reports_of_the_own_group_are_passed_on(
    #[case] from: u32,
    #[case] reporting: Reporting,
    #[case] made_after_milliseconds: u64,
    #[case] is_passed_on: bool,
) {
    let mut relay = SingleAgent::new(RELAY, AGENTS, reporting);
    relay.after(SECOND * 3, |_| {});
    let made = EPOCH + Duration::from_millis(made_after_milliseconds);
    let payload = report(EPOCH, made, &[(canary(0), [9, 1, 0, 0])]);
    let mut sent = relay.after(SECOND / 10, |events| {
        events.on_peer_message(AgentId(from), &payload);
    });
    sent.extend(relay.after(MINIMUM_STAGE_TIME, |_| {}));
    assert_eq!(!sent.is_empty(), is_passed_on, "{sent:?}");
}

/// While more endpoints are reported on than one datagram has room for, each has its turn.
#[test]
fn no_endpoint_waits_for_others() {
    let mut relay = relay();
    let mut lately = Sums::default();
    for round in 0..80 {
        let records = twenty_records(round, [2, 1, 0, 0]);
        let payload = report(EPOCH, relay.now + SECOND / 10, &records);
        let sent = relay.after(SECOND / 10, |events| {
            events.on_peer_message(AgentId(MEMBERS.start), &payload);
        });
        if round >= 60 {
            lately.add_relayed(&sent);
        }
    }
    assert_eq!(lately.0.len(), 40, "in two seconds all forty");
}
