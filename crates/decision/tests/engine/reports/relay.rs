//! Tests of a relay of a large fleet: which of its group's reports it forwards, and how.
use std::time::Duration;

use lilacgate_decision::{AgentId, EndpointId, EventHandler};
use proptest::prelude::*;
use proptest::test_runner::{Config, RngAlgorithm, RngSeed, TestCaseResult, TestRng, TestRunner};

use super::datagrams::{Counts, Sums, entries, report};
use super::single::{Message, SingleAgent};
use super::{Reporting, SECOND, canary};
use crate::support::{EPOCH, MINIMUM_STAGE_TIME};

const AGENTS: u32 = 530;
/// The relay.
const RELAY: u32 = 110;
/// Some members of its group.
const MEMBERS: std::ops::Range<u32> = 111..116;
/// A member of another group.
const OTHER_GROUP_MEMBER: u32 = 500;

/// A relay that has been up for two seconds.
fn relay() -> SingleAgent {
    let mut relay = SingleAgent::new(RELAY, AGENTS, Reporting::Relayed);
    relay.round_after(SECOND * 2, |_| {});
    relay
}

/// Lets time pass until the relay has forwarded everything it has received.
fn forward_rest(relay: &mut SingleAgent, forwarded: &mut Sums) {
    for _ in 0..100 {
        forwarded.add_forwarded(&relay.round_after(MINIMUM_STAGE_TIME, |_| {}));
    }
}

/// An event in the life of a relay.
#[derive(Clone, Debug)]
enum Event {
    /// A member sends a report. If it does not arrive now, an [`Event::Deliver`] may deliver it later.
    Report {
        member: u32,
        entries: Vec<(u32, Counts)>,
        arrives: bool,
    },
    /// A report that was sent before arrives, late or once more.
    Deliver(prop::sample::Index),
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
    let entries = prop::collection::vec((0..40_u32, counts), 1..26);
    prop_oneof![
        6 => (MEMBERS, entries, any::<bool>())
            .prop_map(|(member, entries, arrives)| Event::Report { member, entries, arrives }),
        4 => any::<prop::sample::Index>().prop_map(Event::Deliver),
        1 => Just(Event::Restart),
        4 => (1..1500_u16).prop_map(|milliseconds| Event::Wait { milliseconds }),
    ]
}

/// A relay, all reports that its members have sent, and the sums that were reported to it and forwarded by it.
struct RelaySimulation {
    relay: SingleAgent,
    sent: Vec<(AgentId, Vec<u8>)>,
    reported: Sums,
    forwarded: Sums,
}

impl RelaySimulation {
    fn new() -> Self {
        RelaySimulation {
            relay: relay(),
            sent: Vec::new(),
            reported: Sums::default(),
            forwarded: Sums::default(),
        }
    }

    fn play(&mut self, event: Event) {
        let messages = match event {
            Event::Report {
                member,
                entries,
                arrives,
            } => self.report(AgentId(member), &entries, arrives),
            Event::Deliver(which) if !self.sent.is_empty() => {
                let (from, payload) = which.get(&self.sent);
                self.relay.round_after(Duration::from_millis(2), |events| {
                    events.on_peer_message(*from, payload);
                })
            }
            Event::Deliver(_) => Vec::new(),
            Event::Restart => {
                let started = self.relay.now + Duration::from_millis(50);
                self.relay = SingleAgent::started_at(started, RELAY, AGENTS, Reporting::Relayed);
                Vec::new()
            }
            Event::Wait { milliseconds } => self
                .relay
                .round_after(Duration::from_millis(milliseconds.into()), |_| {}),
        };
        self.forwarded.add_forwarded(&messages);
    }

    fn report(&mut self, from: AgentId, counts: &[(u32, Counts)], arrives: bool) -> Vec<Message> {
        self.relay.now += Duration::from_millis(2);
        let entries: Vec<_> = counts
            .iter()
            .map(|(number, counts)| (canary(*number), *counts))
            .collect();
        let payload = report(EPOCH - SECOND, self.relay.now, &entries);
        self.reported.add_report(&payload);
        self.sent.push((from, payload.clone()));
        if !arrives {
            return Vec::new();
        }
        let events = |events: &mut dyn EventHandler| events.on_peer_message(from, &payload);
        self.relay.round_after(Duration::ZERO, events)
    }

    fn assert_nothing_counts_twice(&self) -> TestCaseResult {
        for (endpoint, sums) in &self.forwarded.0 {
            let reported = self.reported.0.get(endpoint).copied().unwrap_or_default();
            prop_assert!(
                sums.iter()
                    .zip(reported)
                    .all(|(sum, reported)| *sum <= reported),
                "forwarded {sums:?} for {endpoint:?}, reported {reported:?}"
            );
        }
        Ok(())
    }
}

/// A relay never forwards more outcomes of an endpoint than its members have reported, even if reports are lost,
/// duplicated, late or out of order and the relay restarts at any time.
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
        let mut simulation = RelaySimulation::new();
        for event in events {
            simulation.play(event);
        }
        forward_rest(&mut simulation.relay, &mut simulation.forwarded);
        simulation.assert_nothing_counts_twice()
    };
    runner
        .run(&prop::collection::vec(event(), 1..60), play)
        .unwrap();
}

/// Twenty entries with the same counts; two successive rounds name forty endpoints.
fn twenty_entries(round: u32, counts: Counts) -> Vec<(EndpointId, Counts)> {
    (0..20)
        .map(|i| (canary((round * 20 + i) % 40), counts))
        .collect()
}

/// Nothing is lost where the reports name more endpoints than one datagram has room for, and more outcomes than one
/// entry can hold.
#[test]
fn all_counts_are_forwarded() {
    let mut relay = relay();
    let (mut reported, mut forwarded) = (Sums::default(), Sums::default());
    for round in 0..60 {
        let entries = twenty_entries(round, [250, 50, 100, 10]);
        let payload = report(EPOCH, relay.now + SECOND / 10, &entries);
        reported.add_report(&payload);
        let from = AgentId(MEMBERS.start + round % 5);
        let sent = relay.round_after(SECOND / 10, |events| events.on_peer_message(from, &payload));
        forwarded.add_forwarded(&sent);
    }
    forward_rest(&mut relay, &mut forwarded);
    assert_eq!(forwarded, reported);
}

/// Where the sums exceed the range of one entry, they are forwarded in parts with the same share of failures.
#[test]
fn parts_of_a_sum_have_the_same_failure_rate() {
    let mut relay = relay();
    let mut sent = Vec::new();
    for i in 0..100 {
        let made = relay.now + SECOND / 100;
        let payload = report(EPOCH, made, &[(canary(i % 2), [200, 40, 0, 0])]);
        sent.extend(relay.round_after(SECOND / 100, |events| {
            events.on_peer_message(AgentId(MEMBERS.start), &payload);
        }));
    }
    let counts: Vec<_> = sent
        .iter()
        .flat_map(|(_, payload)| entries(payload).map(|(_, counts)| (counts[0], counts[1])))
        .collect();
    assert!(counts.iter().any(|(count, _)| *count > 200));
    for (count, failed) in counts {
        let share = f64::from(failed) / f64::from(count);
        assert!(
            (share - 0.2).abs() < 0.03,
            "{failed} of {count} outcomes failed, expected a share of 0.2"
        );
    }
}

/// A relay forwards only reports that come from its own group and were made after its own start.
#[rstest::rstest]
#[case::of_a_member(MEMBERS.start, Reporting::Relayed, 2000, true)]
#[case::of_another_group(OTHER_GROUP_MEMBER, Reporting::Relayed, 2000, false)]
#[case::beyond_the_fleet(AGENTS, Reporting::Relayed, 2000, false)]
#[case::far_beyond(u32::MAX, Reporting::Relayed, 2000, false)]
#[case::made_before_the_start(MEMBERS.start, Reporting::Relayed, 0, false)]
#[case::where_messages_are_forbidden(MEMBERS.start, Reporting::Forbidden, 2000, false)]
fn only_reports_of_the_own_group_are_forwarded(
    #[case] from: u32,
    #[case] reporting: Reporting,
    #[case] made_after_milliseconds: u64,
    #[case] is_forwarded: bool,
) {
    let mut relay = SingleAgent::new(RELAY, AGENTS, reporting);
    relay.round_after(SECOND * 3, |_| {});
    let made = EPOCH + Duration::from_millis(made_after_milliseconds);
    let payload = report(EPOCH, made, &[(canary(0), [9, 1, 0, 0])]);
    let mut sent = relay.round_after(SECOND / 10, |events| {
        events.on_peer_message(AgentId(from), &payload);
    });
    sent.extend(relay.round_after(MINIMUM_STAGE_TIME, |_| {}));
    assert_eq!(!sent.is_empty(), is_forwarded, "the relay sent {sent:?}");
}

/// Where the group reports on more endpoints than one datagram has room for, all of them are forwarded in turn.
#[test]
fn no_endpoint_is_starved_by_others() {
    let mut relay = relay();
    let mut recently_forwarded = Sums::default();
    for round in 0..80 {
        let entries = twenty_entries(round, [2, 1, 0, 0]);
        let payload = report(EPOCH, relay.now + SECOND / 10, &entries);
        let sent = relay.round_after(SECOND / 10, |events| {
            events.on_peer_message(AgentId(MEMBERS.start), &payload);
        });
        if round >= 60 {
            recently_forwarded.add_forwarded(&sent);
        }
    }
    assert_eq!(
        recently_forwarded.0.len(),
        40,
        "endpoints that were forwarded within the last two seconds"
    );
}
