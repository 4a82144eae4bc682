//! Agents that work with a subset of a long endpoint list: what a round costs, how even the load is, and that the rules
//! for the whole list hold for the subset as well.
mod balance;
mod consistency;
mod cost;
mod failures;

use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Cell, ClassPolicy, DecisionEngine, DeduplicationScope, Endpoint, EndpointId,
    EventHandler, Idempotency, IdempotencyKey, ListUpdate, Outcome, Request, RequestClass,
    RequestId, Zone,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;

use crate::support::{
    Attempt, AttemptCounter, EPOCH, READ, ReleaseUpdate, TICK, WORK, agent_settings, request,
};

const AGENTS: u32 = 530;
/// Number of endpoints in a subset while all of them can serve.
const SUBSET_SIZE: usize = 160;
const TICKS_PER_SECOND: u32 = 100;
const IDEMPOTENT: RequestClass = RequestClass(0);
const KEYED_BY_CELL: RequestClass = RequestClass(1);
const KEYED_BY_ZONE: RequestClass = RequestClass(2);

fn class(idempotency: Idempotency) -> ClassPolicy {
    ClassPolicy {
        idempotency,
        deduplication_window: Duration::from_millis(1500),
        late_weight_share: 0.5,
        ..READ
    }
}

fn engine(agent: u32, agent_count: u32) -> DecisionEngine {
    let mut settings = agent_settings(agent, agent_count, 1);
    settings.zone = Zone((agent % 8) as u8);
    settings.requests.classes = vec![
        class(Idempotency::Idempotent),
        class(Idempotency::Keyed(DeduplicationScope::Cell)),
        class(Idempotency::Keyed(DeduplicationScope::Zone)),
    ];
    DecisionEngine::new(settings)
}

/// The endpoint of an index, in one of eight zones and in a cell of three endpoints.
fn endpoint(index: u32) -> Endpoint {
    Endpoint {
        cell: Cell((index / 3) as u16),
        zone: Zone((index % 8) as u8),
        ..crate::support::endpoint(index)
    }
}

fn endpoints(count: u32) -> Vec<Endpoint> {
    (0..count).map(endpoint).collect()
}

/// Number of requests that come in a tick at a rate in requests a second.
fn requests_in_tick(tick: u32, rate: u32) -> u32 {
    let requests_before = |tick| tick * rate / TICKS_PER_SECOND;
    requests_before(tick + 1) - requests_before(tick)
}

/// How an attempt ends, and how long it takes.
#[derive(Clone, Copy)]
struct AttemptEnd {
    outcome: Outcome,
    took: Duration,
}

impl AttemptEnd {
    const SUCCESS: AttemptEnd = AttemptEnd {
        outcome: Outcome::Succeeded,
        took: WORK,
    };

    fn after_milliseconds(outcome: Outcome, milliseconds: u64) -> Self {
        AttemptEnd {
            outcome,
            took: Duration::from_millis(milliseconds),
        }
    }
}

fn all_succeed(_: AttemptNumber, _: EndpointId) -> AttemptEnd {
    AttemptEnd::SUCCESS
}

/// One agent and its simulated environment. How an attempt ends is determined when it is sent.
struct Simulation {
    engine: DecisionEngine,
    now: Duration,
    in_flight: Vec<Attempt>,
    attempts: AttemptCounter,
    request_count: u32,
    given_up: Vec<RequestId>,
    wake_ups: BTreeSet<Duration>,
}

impl Simulation {
    /// An agent that has received the list, with the first build released.
    fn new(agent: u32, listed: &[Endpoint]) -> Self {
        let mut simulation = Simulation {
            engine: engine(agent, AGENTS),
            now: EPOCH,
            in_flight: Vec::new(),
            attempts: AttemptCounter::default(),
            request_count: 0,
            given_up: Vec::new(),
            wake_ups: BTreeSet::new(),
        };
        simulation.receive(|events| {
            ReleaseUpdate::FIRST_BUILD_RELEASED.send_to(events);
            events.on_endpoints(ListUpdate::Full, &mut listed.iter().copied());
        });
        simulation
    }

    /// When the next wake-up or answer is due, if any.
    fn next_event(&mut self) -> Option<Duration> {
        self.drop_past_wake_ups();
        let answers = self.in_flight.iter().map(|attempt| attempt.due);
        self.wake_ups
            .first()
            .copied()
            .into_iter()
            .chain(answers)
            .min()
    }

    fn drop_past_wake_ups(&mut self) {
        let now = self.now;
        self.wake_ups.retain(|at| *at > now);
    }

    fn members(&self) -> BTreeSet<EndpointId> {
        self.engine.members().collect()
    }

    fn change(&mut self, changed: Vec<Endpoint>) {
        self.receive(|events| events.on_endpoints(ListUpdate::Delta, &mut changed.into_iter()));
    }

    /// Plays a round with these events, in which all attempts succeed.
    fn receive(&mut self, events: impl FnOnce(&mut dyn EventHandler)) {
        self.round(events, all_succeed);
    }

    /// Plays a round with the answers that are due and the given events; `end` determines how an attempt ends. Returns
    /// the attempts that were sent.
    fn round(
        &mut self,
        given: impl FnOnce(&mut dyn EventHandler),
        mut end: impl FnMut(AttemptNumber, EndpointId) -> AttemptEnd,
    ) -> Vec<(RequestId, EndpointId)> {
        let (now, mut decided) = (self.now, RecordedActions::default());
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |attempt| attempt.due <= now)
            .collect();
        let events = |events: &mut dyn EventHandler| {
            for attempt in due {
                attempt.end(events);
            }
            given(events);
        };
        self.engine.round(now, events, &mut decided);
        for (request, endpoint) in &decided.sent {
            let number = self.attempts.next(*request);
            let end = end(number, *endpoint);
            self.in_flight.push(Attempt {
                due: now + end.took,
                request: *request,
                number,
                endpoint: *endpoint,
                outcome: end.outcome,
                took: end.took,
            });
        }
        self.given_up
            .extend(decided.unserved.into_iter().map(|(id, _)| id));
        self.wake_ups.extend(decided.wake_ups);
        decided.sent
    }

    /// Plays one tick in which `requests` requests of a class come. Returns the attempts that were sent.
    fn tick(
        &mut self,
        requests: u32,
        class: RequestClass,
        end: impl FnMut(AttemptNumber, EndpointId) -> AttemptEnd,
    ) -> Vec<(RequestId, EndpointId)> {
        self.now += TICK;
        let request = Request {
            idempotency_key: Some(IdempotencyKey(7)),
            ..request(class, self.now + READ.deadline)
        };
        let first = self.request_count;
        self.request_count += requests;
        let events = |events: &mut dyn EventHandler| {
            for id in first..first + requests {
                events.on_request(RequestId(id), request);
            }
        };
        self.round(events, end)
    }

    /// Plays ticks with `rate` requests a second, which all succeed. Returns the endpoints that they went to.
    fn serve(&mut self, ticks: u32, rate: u32) -> Vec<EndpointId> {
        let mut used = Vec::new();
        for tick in 0..ticks {
            let sent = self.tick(requests_in_tick(tick, rate), IDEMPOTENT, all_succeed);
            used.extend(sent.into_iter().map(|(_, to)| to));
        }
        used
    }
}
