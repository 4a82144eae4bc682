//! Tests of a whole fleet of agents with a lossy network between them: how many bytes of reports an agent receives, and
//! when agents vote to roll back a failing build.
use std::collections::VecDeque;
use std::time::Duration;

use lilacgate_decision::{
    AgentId, DecisionEngine, EndpointId, EventHandler, Outcome, Request, RequestClass, RequestId,
    Vote,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rstest::rstest;

use super::network::{Datagram, Network, NetworkConditions, most_received};
use super::{EndpointCounts, MAX_REPORT, Reporting, SECOND, canary, engine};
use crate::support::{Attempt, AttemptCounter, EPOCH, READ, TICK, request};

/// Bytes of reports, headers included, that an agent may receive per minimum stage time: 24 full reports.
const BUDGET: f64 = 24.0 * MAX_REPORT as f64;
/// When the canary's endpoints start.
const RELEASE_AT: Duration = Duration::from_secs(106);
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// A fleet, the load on it, and the network between its agents.
#[derive(Clone, Copy)]
struct FleetScenario {
    agents: u32,
    reporting: Reporting,
    endpoint_counts: EndpointCounts,
    /// Share of the canary's answers that are failures, 0 to 1.
    failure_rate: f64,
    /// Requests per second that each agent receives.
    request_rate: f64,
    network_conditions: NetworkConditions,
    seed: u64,
}

impl Default for FleetScenario {
    fn default() -> Self {
        FleetScenario {
            agents: 530,
            reporting: Reporting::Relayed,
            endpoint_counts: EndpointCounts {
                endpoints: 60,
                canaries: 6,
            },
            failure_rate: 0.0,
            request_rate: 8.0,
            network_conditions: NetworkConditions {
                loss: 0.0,
                duplication: 0.0,
                max_latency: Duration::from_millis(5),
            },
            seed: 1,
        }
    }
}

/// The first vote to roll back the build.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RollBackVote {
    at: Duration,
    by: AgentId,
}

/// When a run ends.
#[derive(Clone, Copy, PartialEq)]
enum StopCondition {
    TimeIsUp,
    RollBackVote,
}

#[derive(Default)]
struct RunResult {
    sent: Vec<Datagram>,
    roll_back: Option<RollBackVote>,
}

struct Agent {
    engine: DecisionEngine,
    wake_up: Duration,
    next_request: Duration,
    request_count: u32,
    attempts: AttemptCounter,
    in_flight: VecDeque<Attempt>,
}

impl Agent {
    fn new(id: u32, scenario: FleetScenario, random: &mut Pcg64Mcg) -> Self {
        let first_request = Duration::from_secs_f64(random.random::<f64>() / scenario.request_rate);
        Agent {
            engine: engine(id, scenario.agents, scenario.reporting, scenario.seed),
            wake_up: EPOCH,
            next_request: EPOCH + first_request,
            request_count: 0,
            attempts: AttemptCounter::default(),
            in_flight: VecDeque::new(),
        }
    }

    fn is_due(&self, now: Duration) -> bool {
        let answered = self
            .in_flight
            .front()
            .is_some_and(|attempt| attempt.due <= now);
        answered || self.wake_up <= now || self.next_request <= now
    }

    /// Runs a round if there is any event; returns the decisions.
    fn round(
        &mut self,
        now: Duration,
        scenario: FleetScenario,
        inbox: &[Datagram],
        random: &mut Pcg64Mcg,
    ) -> Option<RecordedActions> {
        let list_changes = now == EPOCH || now == RELEASE_AT;
        if !list_changes && inbox.is_empty() && !self.is_due(now) {
            return None;
        }
        let mut decided = RecordedActions::default();
        let Agent {
            engine,
            next_request,
            request_count,
            in_flight,
            ..
        } = self;
        let events = |events: &mut dyn EventHandler| {
            if list_changes {
                let canary_started = (now >= RELEASE_AT).then_some(now);
                scenario.endpoint_counts.send_to(events, canary_started);
            }
            for datagram in inbox {
                events.on_peer_message(datagram.from, &datagram.payload);
            }
            end_due_attempts(in_flight, now, events);
            while *next_request <= now {
                let pause = -random.random::<f64>().max(1e-9).ln() / scenario.request_rate;
                *next_request += Duration::from_secs_f64(pause);
                *request_count += 1;
                let request = Request {
                    estimated_work: Some(ANSWER_TIME),
                    ..request(RequestClass(0), now + READ.deadline)
                };
                events.on_request(RequestId(*request_count), request);
            }
        };
        engine.round(now, events, &mut decided);
        if let Some(&at) = decided.wake_ups.last() {
            self.wake_up = at;
        } else if self.wake_up <= now {
            self.wake_up = now + TICK;
        }
        for (request, to) in decided.sent.drain(..) {
            self.send_attempt(now, scenario, request, to, random);
        }
        Some(decided)
    }

    fn send_attempt(
        &mut self,
        now: Duration,
        scenario: FleetScenario,
        request: RequestId,
        to: EndpointId,
        random: &mut Pcg64Mcg,
    ) {
        let number = self.attempts.next(request);
        let runs_canary = now >= RELEASE_AT
            && (0..scenario.endpoint_counts.canaries).any(|number| canary(number) == to);
        let fails = runs_canary && random.random::<f64>() < scenario.failure_rate;
        self.in_flight.push_back(Attempt {
            due: now + ANSWER_TIME,
            request,
            number,
            endpoint: to,
            outcome: if fails {
                Outcome::Failed
            } else {
                Outcome::Succeeded
            },
            took: ANSWER_TIME,
        });
    }
}

fn end_due_attempts(
    in_flight: &mut VecDeque<Attempt>,
    now: Duration,
    events: &mut dyn EventHandler,
) {
    let due = in_flight.partition_point(|attempt| attempt.due <= now);
    for attempt in in_flight.drain(..due) {
        attempt.end(events);
    }
}

/// Runs a fleet from [`EPOCH`] for `duration`, or until the stop condition is met.
fn run(scenario: FleetScenario, duration: Duration, stop: StopCondition) -> RunResult {
    let mut random = Pcg64Mcg::seed_from_u64(scenario.seed);
    let mut agents: Vec<_> = (0..scenario.agents)
        .map(|id| Agent::new(id, scenario, &mut random))
        .collect();
    let mut network = Network::new(scenario.network_conditions);
    let mut result = RunResult::default();
    let mut now = EPOCH;
    while now < EPOCH + duration
        && !(stop == StopCondition::RollBackVote && result.roll_back.is_some())
    {
        let mut inboxes = network.receive(now);
        for (id, agent) in (0..).map(AgentId).zip(&mut agents) {
            let inbox = inboxes.remove(&id).unwrap_or_default();
            let Some(decided) = agent.round(now, scenario, &inbox, &mut random) else {
                continue;
            };
            if decided.votes.contains(&Vote::RollBack) {
                let vote = RollBackVote { at: now, by: id };
                result.roll_back.get_or_insert(vote);
            }
            for (to, payload) in decided.peer_messages {
                let Some(to) = to else { continue };
                let datagram = Datagram {
                    sent_at: now,
                    from: id,
                    to,
                    payload,
                };
                network.send(&datagram, &mut random);
                result.sent.push(datagram);
            }
        }
        now += TICK;
    }
    result
}

/// No agent receives more bytes of reports than the budget, with a margin of a tenth for the moments in which one relay
/// takes over from another.
#[rstest]
#[case::few_requests(530, 60, 6, 8.0)]
#[case::many_requests(530, 60, 6, 62.0)]
#[case::many_canaries(530, 600, 60, 30.0)]
#[case::smallest_with_relays(301, 60, 6, 62.0)]
#[case::more_agents(900, 60, 6, 8.0)]
fn what_an_agent_receives_is_bounded(
    #[case] agents: u32,
    #[case] endpoints: u32,
    #[case] canaries: u32,
    #[case] request_rate: f64,
) {
    let scenario = FleetScenario {
        agents,
        endpoint_counts: EndpointCounts {
            endpoints,
            canaries,
        },
        request_rate,
        ..FleetScenario::default()
    };
    let (from, to) = (RELEASE_AT + SECOND * 2, RELEASE_AT + SECOND * 6);
    let result = run(scenario, to - EPOCH, StopCondition::TimeIsUp);
    let received = most_received(&result.sent, from, to);
    println!(
        "{agents} agents, {endpoints} endpoints, {request_rate} requests/s: {received:.0} bytes per minimum stage time"
    );
    assert!(
        received <= BUDGET * 1.1,
        "an agent receives {received:.0} bytes per minimum stage time, the budget is {BUDGET:.0}"
    );
}

/// The mean time from the release to the first vote to roll back, in seconds.
fn mean_time_to_roll_back(scenario: FleetScenario) -> f64 {
    let seeds = 16;
    let times = (0..seeds).map(|seed| {
        let result = run(
            FleetScenario { seed, ..scenario },
            SECOND * 60,
            StopCondition::RollBackVote,
        );
        let vote = result
            .roll_back
            .expect("an agent votes to roll back within 60 s");
        assert!(
            vote.at > RELEASE_AT,
            "agent {:?} voted to roll back before the release, at {:?}",
            vote.by,
            vote.at
        );
        (vote.at - RELEASE_AT).as_secs_f64()
    });
    times.sum::<f64>() / f64::from(seeds as u32)
}

/// With relays the first vote to roll back comes at most a tenth later than without them. `direct` is the mean time, in
/// seconds, of the same scenario and seeds with reports that go to the aggregators directly.
#[rstest]
#[case::a_twentieth(0.05, 1.814)]
#[case::a_fifth(0.2, 1.152)]
fn a_failing_build_is_rolled_back_as_soon_as_without_relays(
    #[case] failure_rate: f64,
    #[case] direct: f64,
) {
    let relayed = mean_time_to_roll_back(FleetScenario {
        failure_rate,
        ..FleetScenario::default()
    });
    println!("failure rate {failure_rate}: {relayed:.3} s with relays, {direct:.3} s without");
    assert!(
        relayed <= direct * 1.1,
        "first vote to roll back after {relayed:.3} s with relays, {direct:.3} s without"
    );
}

/// On a network that loses, duplicates and delays reports, agents vote to roll back a failing build and no other.
#[rstest]
fn on_a_lossy_network_only_a_failing_build_is_rolled_back(#[values(1, 2)] seed: u64) {
    let good = FleetScenario {
        network_conditions: NetworkConditions {
            loss: 0.1,
            duplication: 0.3,
            max_latency: SECOND / 2,
        },
        seed,
        ..FleetScenario::default()
    };
    let failing = FleetScenario {
        failure_rate: 0.2,
        ..good
    };
    assert_eq!(
        run(good, SECOND * 12, StopCondition::RollBackVote).roll_back,
        None
    );
    assert!(
        run(failing, SECOND * 12, StopCondition::RollBackVote)
            .roll_back
            .is_some()
    );
}

#[test]
fn no_report_is_sent_where_messages_are_forbidden() {
    let scenario = FleetScenario {
        reporting: Reporting::Forbidden,
        ..FleetScenario::default()
    };
    assert_eq!(
        run(scenario, SECOND * 9, StopCondition::TimeIsUp)
            .sent
            .len(),
        0
    );
}
