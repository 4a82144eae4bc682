//! The reports that a single agent of a fleet sends during a release.
use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_decision::{AgentId, DecisionEngine, EventHandler, RequestClass};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use rstest::rstest;

use super::{CANARY, EndpointCounts, Reporting, SECOND, canary, engine};
use crate::support::{EPOCH, MINIMUM_STAGE_TIME};

/// The receiver of a message, `None` for all peers, and its payload.
pub(super) type Message = (Option<AgentId>, Vec<u8>);

/// One agent's engine during a release.
pub(super) struct SingleAgent {
    engine: DecisionEngine,
    pub(super) now: Duration,
}

impl SingleAgent {
    pub(super) fn new(agent: u32, agent_count: u32, reporting: Reporting) -> Self {
        Self::started_at(EPOCH, agent, agent_count, reporting)
    }

    pub(super) fn started_at(
        now: Duration,
        agent: u32,
        agent_count: u32,
        reporting: Reporting,
    ) -> Self {
        let mut single = SingleAgent {
            engine: engine(agent, agent_count, reporting, 1),
            now,
        };
        let counts = EndpointCounts {
            endpoints: 400,
            canaries: 40,
        };
        single.round_after(Duration::ZERO, |events| {
            counts.send_to(events, Some(EPOCH - SECOND * 10));
        });
        single
    }

    /// Advances the time by `pause`, runs a round with these events and returns the messages that it sends.
    pub(super) fn round_after(
        &mut self,
        pause: Duration,
        events: impl FnOnce(&mut dyn EventHandler),
    ) -> Vec<Message> {
        self.now += pause;
        let mut decided = RecordedActions::default();
        self.engine.round(self.now, events, &mut decided);
        decided.peer_messages
    }

    /// Like [`SingleAgent::round_after`]; in the round an answer of the first canary endpoint is found to be wrong.
    fn round_with_wrong_answer(&mut self, pause: Duration) -> Vec<Message> {
        self.round_after(pause, |events| {
            events.on_wrong_answer(canary(0), RequestClass(0), Duration::ZERO);
        })
    }
}

/// Checks the bytes of three reports to each aggregator but the agent itself: the sequence number counts up, and each
/// report holds one outcome of one endpoint.
fn assert_reports_to_aggregators(mut member: SingleAgent, agent: u32, agent_count: u32) {
    let aggregator_count = agent_count.min(3);
    let aggregators = (0..aggregator_count)
        .map(|i| AgentId((2 + i * agent_count / aggregator_count) % agent_count));
    for sequence in 1..4_u32 {
        let sent = member.round_with_wrong_answer(MINIMUM_STAGE_TIME);
        let mut payload = CANARY.0.to_be_bytes().to_vec();
        payload.extend((EPOCH.as_millis() as u32).to_be_bytes());
        payload.extend(sequence.to_be_bytes());
        payload.extend([0; 6]);
        payload.extend(canary(0).0.to_be_bytes());
        payload.extend([0, 0, 1, 0, 0]);
        let expected: Vec<_> = aggregators
            .clone()
            .filter(|aggregator| aggregator.0 != agent)
            .map(|aggregator| (Some(aggregator), payload.clone()))
            .collect();
        assert_eq!(sent, expected, "agent {agent} of {agent_count}");
    }
}

#[rstest]
fn a_small_fleet_reports_to_the_aggregators(#[values(1, 2, 3, 4, 30, 200, 300)] agents: u32) {
    for agent in [0, agents / 2, agents - 1] {
        let member = SingleAgent::new(agent, agents, Reporting::Relayed);
        assert_reports_to_aggregators(member, agent, agents);
    }
}

/// Without the setting for relays a large fleet reports as a small one does.
#[rstest]
fn without_relays_a_large_fleet_reports_to_the_aggregators(#[values(301, 530, 900)] agents: u32) {
    for agent in [0, agents / 2, agents - 1] {
        let member = SingleAgent::new(agent, agents, Reporting::Direct);
        assert_reports_to_aggregators(member, agent, agents);
    }
}

/// A wrong answer of a class that the settings do not have is ignored: it counts in none of the sequential tests, of
/// which there are more than classes, and the engine does not panic.
#[rstest]
fn a_wrong_answer_of_an_unknown_class_counts_nowhere(#[values(1, 2, 3, 255)] class: u8) {
    let mut member = SingleAgent::new(1, 30, Reporting::Direct);
    let sent = member.round_after(MINIMUM_STAGE_TIME, |events| {
        events.on_wrong_answer(canary(0), RequestClass(class), Duration::ZERO);
    });
    assert_eq!(sent, Vec::new());
}

/// Another member becomes the relay every four minimum stage times, and never an aggregator. This bounds what is lost
/// if a relay dies.
#[test]
fn a_member_changes_its_relay() {
    let aggregators = [2, 178, 355].map(AgentId);
    for agent in [50, 110, 177, 529] {
        let mut member = SingleAgent::new(agent, 530, Reporting::Relayed);
        let mut relays = Vec::new();
        for _ in 0..300 {
            let sent = member.round_with_wrong_answer(MINIMUM_STAGE_TIME / 3);
            // While the member is the relay itself, it reports to the aggregators.
            let relay = sent
                .iter()
                .filter_map(|(to, _)| *to)
                .find(|to| !aggregators.contains(to));
            if !sent.is_empty() {
                relays.push((relay.unwrap_or(AgentId(agent)), member.now));
            }
        }
        let distinct: BTreeSet<_> = relays.iter().map(|(relay, _)| relay).collect();
        assert!(
            distinct.len() >= 20,
            "agent {agent} had only the relays {distinct:?}, 20 expected"
        );
        for term in relays.chunk_by(|one, next| one.0 == next.0) {
            let lasted = term[term.len() - 1].1 - term[0].1;
            assert!(
                lasted <= MINIMUM_STAGE_TIME * 4,
                "an agent was the relay for {lasted:?}, at most four minimum stage times are allowed"
            );
        }
    }
}
