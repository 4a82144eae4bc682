//! Random orders of events must not break these rules: every request gets one final answer in time, unless its client
//! has left; no attempt is sent after that; a request that may have run is sent again only where its class permits it;
//! and a request has at most one attempt in flight. The test simulates the agent around the engine, which passes on
//! the first good answer and gives up at the deadline.
mod events;

use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, ClassPolicy, DecisionEngine, DeduplicationScope, Endpoint, EndpointId,
    EventHandler, Idempotency, IdempotencyKey, ListUpdate, Outcome, Request, RequestClass,
    RequestId, Stage, Zone,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

use self::events::{AttemptEnd, Event, attempt_end, event};
use crate::support::{Attempt, EPOCH, READ, ReleaseUpdate, agent_settings, endpoint, request};

const STEP: Duration = Duration::from_millis(5);
/// Number of steps in which events are drawn; by the last of [`STEPS`], all deadlines have passed.
const STEPS_WITH_EVENTS: u32 = 400;
const STEPS: u32 = 1200;
const DEDUPLICATION_WINDOW: Duration = Duration::from_millis(200);

fn class(idempotency: Idempotency, deduplication_window: Duration) -> ClassPolicy {
    ClassPolicy {
        idempotency,
        latency_objective: Duration::from_millis(300),
        deadline: Duration::from_millis(1500),
        deduplication_window,
        late_weight_share: 0.1,
        ..READ
    }
}

/// One class for each kind of idempotency. The deduplication window is shorter than the time that a client waits.
fn classes() -> Vec<ClassPolicy> {
    let keyed = |scope| class(Idempotency::Keyed(scope), DEDUPLICATION_WINDOW);
    vec![
        class(Idempotency::Idempotent, Duration::ZERO),
        keyed(DeduplicationScope::All),
        keyed(DeduplicationScope::Zone),
        class(Idempotency::NonIdempotent, Duration::ZERO),
    ]
}

fn idempotency(class: RequestClass) -> Idempotency {
    classes()[usize::from(class.0)].idempotency
}

fn engine(seed: u64, may_cancel: bool) -> DecisionEngine {
    let mut settings = agent_settings(0, 3, seed);
    settings.tick = STEP;
    settings.fleet_position.can_message_peers = false;
    settings.slow_start.ramp = Duration::from_millis(400);
    settings.exposure.window = Duration::from_millis(1000);
    settings.exposure.initial_cap = 0.2;
    settings.release_analysis.stage_shares = vec![0.1, 1.0];
    settings.requests.classes = classes();
    settings.requests.may_cancel = may_cancel;
    settings.requests.max_retry_after = Duration::from_millis(1000);
    DecisionEngine::new(settings)
}

fn endpoint_in_zone(index: u8) -> Endpoint {
    Endpoint {
        id: EndpointId(index.into()),
        weight: 1.0,
        zone: zone_of(EndpointId(index.into())),
        ..endpoint(index.into())
    }
}

fn zone_of(id: EndpointId) -> Zone {
    Zone(id.0 as u8 % 2)
}

/// When an attempt was sent, and to which zone.
#[derive(Clone, Copy)]
struct Sent {
    at: Duration,
    zone: Zone,
}

struct Pending {
    class: RequestClass,
    answer_by: Duration,
    attempts: u8,
    in_flight: Option<Sent>,
    /// The first attempt that has ended and may have run.
    may_have_run: Option<Sent>,
}

/// Simulates everything around the engine of one agent, and checks the rules.
struct Environment<'a> {
    attempt_ends: &'a [AttemptEnd],
    attempts_sent: usize,
    request_count: u32,
    pending: BTreeMap<RequestId, Pending>,
    answered: BTreeSet<RequestId>,
    in_flight: Vec<Attempt>,
    shutdown_at: Duration,
}

impl Environment<'_> {
    fn start(events: &mut dyn EventHandler) {
        ReleaseUpdate {
            stage: Stage(1),
            ..ReleaseUpdate::FIRST_BUILD_RELEASED
        }
        .send_to(events);
        events.on_endpoints(ListUpdate::Cached, &mut (0..4).map(endpoint_in_zone));
    }

    fn play(&mut self, event: &Event, now: Duration, events: &mut dyn EventHandler) {
        match event {
            Event::Request {
                class,
                milliseconds_left,
            } => {
                let deadline = now + Duration::from_millis(*milliseconds_left);
                self.send_request(RequestClass(*class), deadline, events);
            }
            Event::ClientLeaves(which) => self.client_leaves(which, events),
            Event::EndpointChanges {
                index,
                status,
                build,
                just_started,
            } => {
                let changed = Endpoint {
                    status: *status,
                    build: Build(*build),
                    started: just_started.then_some(now),
                    ..endpoint_in_zone(*index)
                };
                events.on_endpoints(ListUpdate::Delta, &mut [changed].into_iter());
            }
            Event::ReleaseUpdate { build, phase, cap } => ReleaseUpdate {
                build: Build(*build),
                stage: Stage(1),
                phase: *phase,
                cap: *cap,
            }
            .send_to(events),
            Event::Shutdown { milliseconds_left } => {
                self.shut_down(now + Duration::from_millis(*milliseconds_left), events);
            }
        }
    }

    fn send_request(
        &mut self,
        class: RequestClass,
        deadline: Duration,
        events: &mut dyn EventHandler,
    ) {
        self.request_count += 1;
        let id = RequestId(self.request_count);
        let request = Request {
            idempotency_key: Some(IdempotencyKey(7)),
            estimated_work: Some(Duration::from_millis(50)),
            ..request(class, deadline)
        };
        events.on_request(id, request);
        let pending = Pending {
            class,
            answer_by: deadline.min(self.shutdown_at),
            attempts: 0,
            in_flight: None,
            may_have_run: None,
        };
        self.pending.insert(id, pending);
    }

    fn client_leaves(&mut self, which: &prop::sample::Index, events: &mut dyn EventHandler) {
        if self.pending.is_empty() {
            return;
        }
        let id = *which.get(&self.pending.keys().copied().collect::<Vec<_>>());
        self.pending.remove(&id);
        self.answered.insert(id);
        events.on_client_disconnected(id);
    }

    fn shut_down(&mut self, at: Duration, events: &mut dyn EventHandler) {
        self.shutdown_at = at;
        events.on_shutdown(at);
        for pending in self.pending.values_mut() {
            pending.answer_by = pending.answer_by.min(at);
        }
        for attempt in self
            .in_flight
            .iter_mut()
            .filter(|attempt| attempt.due >= at)
        {
            (attempt.due, attempt.outcome) = (at, Outcome::TimedOut);
        }
    }

    /// Ends the attempts that are due; a success is the final answer of its request.
    fn end_attempts(&mut self, now: Duration, events: &mut dyn EventHandler) {
        let due: Vec<_> = self
            .in_flight
            .extract_if(.., |attempt| attempt.due <= now)
            .collect();
        for attempt in due {
            let (id, outcome) = (attempt.request, attempt.outcome);
            if outcome == Outcome::Succeeded && self.pending.remove(&id).is_some() {
                self.answered.insert(id);
            }
            let closed = !self.pending.contains_key(&id);
            if let Some(pending) = self.pending.get_mut(&id) {
                let sent = pending.in_flight.take();
                let ran = sent.filter(|_| outcome.may_have_run());
                pending.may_have_run = pending.may_have_run.or(ran);
            }
            attempt.end_with(closed, events);
        }
    }

    fn take_sent(&mut self, now: Duration, id: RequestId, to: EndpointId) {
        let pending = self
            .pending
            .get_mut(&id)
            .expect("an attempt was sent for a request that has its final answer");
        assert!(
            pending.in_flight.is_none(),
            "a request has two attempts in flight"
        );
        let sent = Sent {
            at: now,
            zone: zone_of(to),
        };
        assert_may_be_sent(pending, sent);
        let (outcome, steps) = self.attempt_ends[self.attempts_sent % self.attempt_ends.len()];
        self.attempts_sent += 1;
        let due = now + STEP * steps;
        // The agent stops waiting for an endpoint that does not answer in time.
        let (due, outcome) = if due < pending.answer_by {
            (due, outcome)
        } else {
            (pending.answer_by, Outcome::TimedOut)
        };
        self.in_flight.push(Attempt {
            due,
            request: id,
            number: AttemptNumber(pending.attempts),
            endpoint: to,
            outcome,
            took: STEP,
        });
        pending.attempts += 1;
        pending.in_flight = Some(sent);
    }

    fn take_cancelled(&mut self, now: Duration, id: RequestId, number: AttemptNumber) {
        for attempt in &mut self.in_flight {
            if (attempt.request, attempt.number) == (id, number) {
                (attempt.due, attempt.outcome) = (now, Outcome::Cancelled);
            }
        }
    }

    fn take_given_up(&mut self, id: RequestId, client_may_retry: bool) {
        let pending = self
            .pending
            .remove(&id)
            .expect("a request got a second final answer");
        self.answered.insert(id);
        assert!(
            pending.in_flight.is_none(),
            "a request was given up with an attempt in flight"
        );
        let non_idempotent = idempotency(pending.class) == Idempotency::NonIdempotent;
        assert!(
            !(client_may_retry && non_idempotent && pending.may_have_run.is_some()),
            "a non-idempotent request that may have run was rejected, so its client may retry"
        );
    }

    fn assert_answered_in_time(&self, now: Duration) {
        let late = self
            .pending
            .values()
            .find(|pending| pending.answer_by + STEP < now);
        assert!(
            late.is_none(),
            "a request has no final answer {:?} after it was due",
            late.map(|pending| now - pending.answer_by)
        );
    }
}

/// A request that may have run may be sent again only if it is idempotent, or to endpoints that drop the repeat.
fn assert_may_be_sent(pending: &Pending, sent: Sent) {
    match idempotency(pending.class) {
        Idempotency::Idempotent => {}
        Idempotency::NonIdempotent => {
            assert!(
                pending.may_have_run.is_none(),
                "a non-idempotent request that may have run was sent again"
            );
        }
        Idempotency::Keyed(scope) => assert!(
            pending.may_have_run.is_none_or(|first| {
                sent.at < first.at + DEDUPLICATION_WINDOW
                    && (scope == DeduplicationScope::All || sent.zone == first.zone)
            }),
            "a keyed request that may have run was sent again outside its deduplication scope or window"
        ),
    }
}

fn play(scheduled: &[(u32, Event)], attempt_ends: &[AttemptEnd], seed: u64, may_cancel: bool) {
    let mut engine = engine(seed, may_cancel);
    let mut environment = Environment {
        attempt_ends,
        attempts_sent: 0,
        request_count: 0,
        pending: BTreeMap::new(),
        answered: BTreeSet::new(),
        in_flight: Vec::new(),
        shutdown_at: Duration::MAX,
    };
    for step in 0..STEPS {
        let now = EPOCH + STEP * step;
        let mut decided = RecordedActions::default();
        let events = |events: &mut dyn EventHandler| {
            if step == 0 {
                Environment::start(events);
            }
            for (_, event) in scheduled.iter().filter(|(at, _)| *at == step) {
                environment.play(event, now, events);
            }
            environment.end_attempts(now, events);
        };
        engine.round(now, events, &mut decided);
        for (id, to) in decided.sent {
            environment.take_sent(now, id, to);
        }
        for (id, number) in decided.cancelled {
            environment.take_cancelled(now, id, number);
        }
        for (id, client_may_retry) in decided.unserved {
            environment.take_given_up(id, client_may_retry);
        }
        environment.assert_answered_in_time(now);
    }
    assert_eq!(environment.pending.len(), 0);
    assert_eq!(
        environment.answered.len(),
        environment.request_count as usize
    );
}

proptest! {
    #![proptest_config(ProptestConfig {
        cases: 1000,
        rng_seed: RngSeed::Fixed(0x0eed),
        failure_persistence: None,
        ..Default::default()
    })]
    #[test]
    fn every_request_gets_one_answer_in_time(
        events in prop::collection::vec(event(), 1..120),
        attempt_ends in prop::collection::vec(attempt_end(), 1..20),
        seed in any::<u64>(),
        may_cancel in any::<bool>(),
    ) {
        play(&events, &attempt_ends, seed, may_cancel);
    }
}
