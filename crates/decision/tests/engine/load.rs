//! The load that many agents put on endpoints together: each agent may send little, and all of them too much.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, DecisionEngine, Endpoint, EndpointId, EndpointStatus, EventHandler,
    ListUpdate, Outcome, ReleasePhase, RequestClass, RequestId, Stage,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use rstest::rstest;

use crate::discovery::engine;
use crate::support::{EPOCH, READ, ReleaseUpdate, TICK, endpoint, overload_limit, request};

/// Ticks from an attempt to its answer.
const ANSWER_TICKS: u32 = 10;
const TICKS_PER_SECOND: u32 = 100;

/// A full endpoint list and the release update that comes with it.
struct Update {
    endpoints: Vec<Endpoint>,
    release: ReleaseUpdate,
}

/// The events that an agent receives, by tick.
struct Script<Updates, Requests> {
    ticks: u32,
    /// Returns the update that comes at a tick, if any.
    update_at: Updates,
    /// Returns how many requests have come up to a tick.
    requests_until: Requests,
}

struct SentAttempt {
    tick: u32,
    request: RequestId,
    endpoint: EndpointId,
}

impl<Updates, Requests> Script<Updates, Requests>
where
    Updates: Fn(u32) -> Option<Update>,
    Requests: Fn(u32) -> u32,
{
    /// Plays the script for one agent, and calls `on_sent` with the tick and the endpoint of each attempt.
    fn play(&self, mut engine: DecisionEngine, mut on_sent: impl FnMut(u32, EndpointId)) {
        let (mut in_flight, mut request_count) = (VecDeque::new(), 0);
        for tick in 0..self.ticks {
            let now = EPOCH + TICK * tick;
            let mut decided = RecordedActions::default();
            let events = |events: &mut dyn EventHandler| {
                if let Some(update) = (self.update_at)(tick) {
                    events.on_endpoints(ListUpdate::Full, &mut update.endpoints.into_iter());
                    update.release.send_to(events);
                }
                answer_due(&mut in_flight, tick, events);
                if (self.requests_until)(tick) > request_count {
                    request_count += 1;
                    let request = request(RequestClass(0), now + READ.deadline);
                    events.on_request(RequestId(request_count), request);
                }
            };
            engine.round(now, events, &mut decided);
            for (request, endpoint) in decided.sent {
                in_flight.push_back(SentAttempt {
                    tick,
                    request,
                    endpoint,
                });
                on_sent(tick, endpoint);
            }
        }
    }
}

fn answer_due(in_flight: &mut VecDeque<SentAttempt>, tick: u32, events: &mut dyn EventHandler) {
    let due = in_flight.partition_point(|attempt| attempt.tick + ANSWER_TICKS <= tick);
    for attempt in in_flight.drain(..due) {
        events.on_attempt_ended(
            attempt.request,
            AttemptNumber(0),
            attempt.endpoint,
            Outcome::Succeeded,
            TICK * ANSWER_TICKS,
            true,
        );
    }
}

/// How the requests of all agents were spread over the endpoints.
struct Spread {
    /// By agent: how many endpoints it has sent to.
    endpoints_used: Vec<usize>,
    /// By endpoint: how many requests it got.
    requests_received: Vec<u32>,
}

impl Spread {
    /// The most and the fewest requests of an endpoint, as multiples of the mean.
    fn extremes(&self) -> (f64, f64) {
        let received = &self.requests_received;
        let mean = f64::from(received.iter().sum::<u32>()) / received.len() as f64;
        let most = f64::from(*received.iter().max().expect("there are endpoints")) / mean;
        let least = f64::from(*received.iter().min().expect("there are endpoints")) / mean;
        (most, least)
    }
}

/// Runs all agents for ten seconds, with `rate` requests a second at each.
fn spread(agents: u32, endpoint_count: u32, rate: u32, seed: u64) -> Spread {
    let endpoints: Vec<Endpoint> = (0..endpoint_count).map(endpoint).collect();
    let mut received: BTreeMap<EndpointId, u32> =
        endpoints.iter().map(|endpoint| (endpoint.id, 0)).collect();
    let script = Script {
        ticks: 10 * TICKS_PER_SECOND,
        update_at: |tick| {
            (tick == 0).then(|| Update {
                endpoints: endpoints.clone(),
                release: ReleaseUpdate::FIRST_BUILD_RELEASED,
            })
        },
        requests_until: |tick| tick * rate / TICKS_PER_SECOND,
    };
    let mut endpoints_used = Vec::new();
    for agent in 0..agents {
        let mut used = BTreeSet::new();
        script.play(engine(agent, agents, seed), |_, to| {
            used.insert(to);
            *received.get_mut(&to).expect("the endpoint is listed") += 1;
        });
        endpoints_used.push(used.len());
    }
    Spread {
        endpoints_used,
        requests_received: received.into_values().collect(),
    }
}

/// Why the endpoints that have not just started take no requests.
#[derive(Clone, Copy)]
enum Others {
    /// They are draining.
    Drained,
    /// They run a build that is rolled back with a cap of zero.
    Closed,
    /// They run a build that is rolled back with a cap of three quarters, which the requests before have used up.
    Full,
}

/// A tenth of the endpoints restarts with the first build, and the others take no more requests. From then on, clients
/// repeat their requests, which multiplies the load.
#[derive(Clone, Copy)]
struct Restart {
    agents: u32,
    endpoints: u32,
    /// How long the agents have been running before the restart.
    uptime: Duration,
    load_multiple: u32,
    others: Others,
    seed: u64,
}

impl Restart {
    /// Requests a second at each agent before the restart.
    const RATE: u32 = 8;

    fn restarts(index: u32) -> bool {
        index.is_multiple_of(10)
    }

    fn last_tick_before(self) -> u32 {
        self.uptime.as_millis() as u32 / 10
    }

    fn endpoint_before(self, index: u32) -> Endpoint {
        match self.others {
            Others::Full => on_second_build(endpoint(index)),
            Others::Drained | Others::Closed => endpoint(index),
        }
    }

    fn endpoint_after(self, index: u32) -> Endpoint {
        if Self::restarts(index) {
            return Endpoint {
                started: Some(EPOCH + self.uptime),
                ..endpoint(index)
            };
        }
        match self.others {
            Others::Drained => Endpoint {
                status: EndpointStatus::Draining,
                ..endpoint(index)
            },
            Others::Closed | Others::Full => on_second_build(endpoint(index)),
        }
    }

    fn release_before(self) -> ReleaseUpdate {
        match self.others {
            Others::Full => second_build(ReleasePhase::Canary, 1.0),
            Others::Drained | Others::Closed => ReleaseUpdate::FIRST_BUILD_RELEASED,
        }
    }

    fn release_after(self) -> ReleaseUpdate {
        match self.others {
            Others::Drained => ReleaseUpdate::FIRST_BUILD_RELEASED,
            Others::Closed => second_build(ReleasePhase::RollingBack, 0.0),
            Others::Full => second_build(ReleasePhase::RollingBack, 0.75),
        }
    }

    fn update_at(self, tick: u32) -> Option<Update> {
        let indexes = 0..self.endpoints;
        if tick == 0 {
            Some(Update {
                endpoints: indexes.map(|index| self.endpoint_before(index)).collect(),
                release: self.release_before(),
            })
        } else if tick == self.last_tick_before() + 1 {
            Some(Update {
                endpoints: indexes.map(|index| self.endpoint_after(index)).collect(),
                release: self.release_after(),
            })
        } else {
            None
        }
    }

    /// The most requests that a restarted endpoint gets from all agents in the second after the restart.
    fn most_received(self) -> u32 {
        let last_before = self.last_tick_before();
        let script = Script {
            ticks: last_before + TICKS_PER_SECOND + 1,
            update_at: |tick| self.update_at(tick),
            requests_until: |tick: u32| {
                let repeated = (self.load_multiple - 1) * tick.saturating_sub(last_before);
                Self::RATE * (tick + repeated) / TICKS_PER_SECOND
            },
        };
        let restarted: BTreeSet<_> = (0..self.endpoints)
            .filter(|index| Self::restarts(*index))
            .map(|index| endpoint(index).id)
            .collect();
        let mut received = BTreeMap::<EndpointId, u32>::new();
        for agent in 0..self.agents {
            script.play(engine(agent, self.agents, self.seed), |tick, to| {
                let counts = tick > last_before && restarted.contains(&to);
                *received.entry(to).or_default() += u32::from(counts);
            });
        }
        received.into_values().max().unwrap_or_default()
    }
}

fn on_second_build(endpoint: Endpoint) -> Endpoint {
    Endpoint {
        build: Build(2),
        ..endpoint
    }
}

fn second_build(phase: ReleasePhase, cap: f64) -> ReleaseUpdate {
    ReleaseUpdate {
        build: Build(2),
        stage: Stage(2),
        phase,
        cap,
    }
}

/// All agents together must not overload an endpoint that is warming up, even where the agents have just started
/// themselves and know little about their own traffic.
#[rstest]
fn no_warming_endpoint_is_overloaded(
    #[values(100, 350)] agents: u32,
    #[values(1, 2, 8)] uptime_seconds: u64,
    #[values(1, 4)] load_multiple: u32,
    #[values(Others::Drained, Others::Closed, Others::Full)] others: Others,
) {
    let restart = Restart {
        agents,
        endpoints: agents / 3,
        uptime: Duration::from_secs(uptime_seconds),
        load_multiple,
        others,
        seed: 1,
    };
    let most = restart.most_received();
    let fair = f64::from(agents) * f64::from(Restart::RATE) / f64::from(restart.endpoints);
    let limit = overload_limit(fair);
    assert!(
        f64::from(most) <= limit,
        "an endpoint got {most} requests in a second and is overloaded above {limit:.0}"
    );
}

#[rstest]
fn many_agents_with_few_requests_use_few_endpoints_each_and_load_all_alike(
    #[values(20, 50, 100, 200)] agents: u32,
    #[values(30, 60)] endpoints: u32,
    #[values(1, 2)] seed: u64,
) {
    let spread = spread(agents, endpoints, 8, seed);
    let used = spread.endpoints_used.iter().sum::<usize>() as f64 / f64::from(agents);
    assert!(
        used < 20.0,
        "each agent used {used} endpoints on average, 20 are too many"
    );
    let (most, least) = spread.extremes();
    assert!(
        most < 1.6 && least > 0.5,
        "the most loaded endpoint got {most:.2} times the mean, the least loaded {least:.2} times"
    );
}

/// An agent with many requests uses nearly all endpoints, and so does each of a few agents that share a small fleet.
#[rstest]
#[case::few_agents(3, 12, 80)]
#[case::many_requests(6, 60, 90)]
fn an_agent_with_many_requests_uses_all_endpoints(
    #[case] agents: u32,
    #[case] endpoints: u32,
    #[case] rate: u32,
) {
    let used = spread(agents, endpoints, rate, 1).endpoints_used;
    assert!(
        used.iter().all(|used| *used as u32 > endpoints * 9 / 10),
        "the agents used {used:?} of {endpoints} endpoints"
    );
}
