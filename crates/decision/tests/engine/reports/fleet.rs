//! A whole fleet of agents with a lossy network between them: what an agent receives of others' reports, and when
//! a failing build is voted back.
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

use super::network::{Datagram, Network, Quality, most_received};
use super::{Listed, MAX_REPORT, Reporting, SECOND, canary, engine};
use crate::support::{Attempt, AttemptCounter, EPOCH, READ, TICK, request};

/// What an agent may receive in a minimum stage time, headers included: 24 full reports.
const BUDGET: f64 = 24.0 * MAX_REPORT as f64;
/// When the endpoints of the canary have started.
const RELEASE_AT: Duration = Duration::from_secs(106);
const ANSWER_TIME: Duration = Duration::from_millis(60);

/// A fleet, the load on it, and its network.
#[derive(Clone, Copy)]
struct Scene {
    agents: u32,
    reporting: Reporting,
    listed: Listed,
    /// The share of the canary's answers that fail.
    failure_rate: f64,
    /// Requests a second of each agent.
    request_rate: f64,
    network: Quality,
    seed: u64,
}

impl Default for Scene {
    fn default() -> Self {
        Scene {
            agents: 530,
            reporting: Reporting::Relayed,
            listed: Listed {
                endpoints: 60,
                canaries: 6,
            },
            failure_rate: 0.0,
            request_rate: 8.0,
            network: Quality {
                loss: 0.0,
                duplication: 0.0,
                max_latency: Duration::from_millis(5),
            },
            seed: 1,
        }
    }
}

/// The first vote to roll the build back.
#[derive(Clone, Copy, Debug, PartialEq)]
struct RollBackVote {
    at: Duration,
    by: AgentId,
}

/// Whether a run ends with the first vote to roll back.
#[derive(Clone, Copy, PartialEq)]
enum Until {
    End,
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
    fn new(id: u32, scene: Scene, random: &mut Pcg64Mcg) -> Self {
        let first_request = Duration::from_secs_f64(random.random::<f64>() / scene.request_rate);
        Agent {
            engine: engine(id, scene.agents, scene.reporting, scene.seed),
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

    /// A round, if anything is due.
    fn round(
        &mut self,
        now: Duration,
        scene: Scene,
        inbox: &[Datagram],
        random: &mut Pcg64Mcg,
    ) -> Option<RecordedActions> {
        let list_comes = now == EPOCH || now == RELEASE_AT;
        if !list_comes && inbox.is_empty() && !self.is_due(now) {
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
            if list_comes {
                let canary_started = (now >= RELEASE_AT).then_some(now);
                scene.listed.send_to(events, canary_started);
            }
            for datagram in inbox {
                events.on_peer_message(datagram.from, &datagram.payload);
            }
            answer_due(in_flight, now, events);
            while *next_request <= now {
                let pause = -random.random::<f64>().max(1e-9).ln() / scene.request_rate;
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
            self.send_attempt(now, scene, request, to, random);
        }
        Some(decided)
    }

    fn send_attempt(
        &mut self,
        now: Duration,
        scene: Scene,
        request: RequestId,
        to: EndpointId,
        random: &mut Pcg64Mcg,
    ) {
        let number = self.attempts.next(request);
        let runs_canary =
            now >= RELEASE_AT && (0..scene.listed.canaries).any(|number| canary(number) == to);
        let fails = runs_canary && random.random::<f64>() < scene.failure_rate;
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

fn answer_due(in_flight: &mut VecDeque<Attempt>, now: Duration, events: &mut dyn EventHandler) {
    let due = in_flight.partition_point(|attempt| attempt.due <= now);
    for attempt in in_flight.drain(..due) {
        attempt.end(events);
    }
}

/// Runs a release for so long.
fn run(scene: Scene, lasts: Duration, until: Until) -> RunResult {
    let mut random = Pcg64Mcg::seed_from_u64(scene.seed);
    let mut agents: Vec<_> = (0..scene.agents)
        .map(|id| Agent::new(id, scene, &mut random))
        .collect();
    let mut network = Network::new(scene.network);
    let mut result = RunResult::default();
    let mut now = EPOCH;
    while now < EPOCH + lasts && !(until == Until::RollBackVote && result.roll_back.is_some()) {
        let mut inboxes = network.receive(now);
        for (id, agent) in (0..).map(AgentId).zip(&mut agents) {
            let inbox = inboxes.remove(&id).unwrap_or_default();
            let Some(decided) = agent.round(now, scene, &inbox, &mut random) else {
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

/// A tenth more is left for the instants in which one relay hands over to the next.
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
    let scene = Scene {
        agents,
        listed: Listed {
            endpoints,
            canaries,
        },
        request_rate,
        ..Scene::default()
    };
    let (from, to) = (RELEASE_AT + SECOND * 2, RELEASE_AT + SECOND * 6);
    let result = run(scene, to - EPOCH, Until::End);
    let received = most_received(&result.sent, from, to);
    println!(
        "{agents} agents, {endpoints} endpoints, {request_rate}/s: {received:.0} bytes a minimum stage time"
    );
    assert!(
        received <= BUDGET * 1.1,
        "{received:.0} bytes a minimum stage time"
    );
}

/// The mean time from the release to the first vote to roll back, in seconds.
fn mean_time_to_roll_back(scene: Scene) -> f64 {
    let seeds = 16;
    let times = (0..seeds).map(|seed| {
        let result = run(Scene { seed, ..scene }, SECOND * 60, Until::RollBackVote);
        let vote = result.roll_back.expect("a failing build is voted back");
        assert!(
            vote.at > RELEASE_AT,
            "agent {:?} voted it back at {:?}",
            vote.by,
            vote.at
        );
        (vote.at - RELEASE_AT).as_secs_f64()
    });
    times.sum::<f64>() / f64::from(seeds as u32)
}

/// At most a tenth later than the same fleet that reported to the aggregators directly: this scene's mean over these
/// seeds before there were relays.
#[rstest]
#[case::a_twentieth(0.05, 1.814)]
#[case::a_fifth(0.2, 1.152)]
fn a_failing_build_is_voted_back_as_soon_as_without_relays(
    #[case] failure_rate: f64,
    #[case] direct: f64,
) {
    let relayed = mean_time_to_roll_back(Scene {
        failure_rate,
        ..Scene::default()
    });
    println!("{failure_rate} failing: {relayed:.3} s, directly {direct:.3} s");
    assert!(
        relayed <= direct * 1.1,
        "{relayed:.3} s, directly {direct:.3} s"
    );
}

/// Under loss and duplication no good build is voted back, and a failing one is.
#[rstest]
fn a_lossy_network_has_no_good_build_voted_back(#[values(1, 2)] seed: u64) {
    let good = Scene {
        network: Quality {
            loss: 0.1,
            duplication: 0.3,
            max_latency: SECOND / 2,
        },
        seed,
        ..Scene::default()
    };
    let failing = Scene {
        failure_rate: 0.2,
        ..good
    };
    assert_eq!(run(good, SECOND * 12, Until::RollBackVote).roll_back, None);
    assert!(
        run(failing, SECOND * 12, Until::RollBackVote)
            .roll_back
            .is_some()
    );
}

#[test]
fn where_messages_are_forbidden_none_is_sent() {
    let scene = Scene {
        reporting: Reporting::Forbidden,
        ..Scene::default()
    };
    assert_eq!(run(scene, SECOND * 9, Until::End).sent.len(), 0);
}
