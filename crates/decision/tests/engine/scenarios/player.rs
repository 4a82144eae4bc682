//! Plays the steps of a scenario on one engine.
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, ClassPolicy, DecisionEngine, Endpoint, EngineSettings, EventHandler,
    IdempotencyKey, Outcome, Request, RequestClass, RequestId,
};

use super::recorder::{Recorder, Sent};
use super::words::{class, milliseconds, number};
use crate::support::{agent_settings, request};

/// How long after it was sent an attempt of a flow is answered, and from one request to the next.
const FLOW_ANSWER_TIME: Duration = Duration::from_millis(50);
const FLOW_PAUSE: Duration = Duration::from_millis(10);
/// A request without a deadline of its own has so much time.
const REQUEST_TIME: Duration = Duration::from_secs(2);
/// Requests of flows have ids from here on.
const FIRST_FLOW_REQUEST: u32 = 1_000_000;

pub(super) struct Player {
    pub(super) now: Duration,
    pub(super) recorder: Recorder,
    pub(super) endpoints: BTreeMap<u32, Endpoint>,
    settings: BTreeMap<String, f64>,
    classes: Vec<ClassPolicy>,
    engine: Option<DecisionEngine>,
    flow_requests: u32,
}

impl Player {
    pub(super) fn new() -> Self {
        Player {
            now: Duration::ZERO,
            recorder: Recorder::default(),
            endpoints: BTreeMap::new(),
            settings: BTreeMap::new(),
            classes: Vec::new(),
            engine: None,
            flow_requests: 0,
        }
    }

    /// The same, with an agent's record beside it.
    pub(super) fn with_record() -> Self {
        Player {
            recorder: Recorder::with_record(),
            ..Player::new()
        }
    }

    pub(super) fn into_decisions(self) -> Vec<String> {
        self.recorder.all
    }

    pub(super) fn play_step(&mut self, name: &str, arguments: &[&str]) {
        match (name, arguments) {
            ("set", [key, value]) => {
                assert!(SETTINGS.contains(key), "no setting {key}");
                self.settings.insert((*key).to_owned(), number(value));
            }
            ("class", policy) => self.classes.push(class(policy)),
            ("at", [time]) => {
                self.now = milliseconds(time);
                self.recorder.recent.clear();
                self.round(|_| {});
            }
            ("restart", []) => self.engine = None,
            ("flow", [until, class, shares @ ..]) => {
                self.flow(milliseconds(until), class, &failing_shares(shares));
            }
            _ if self.play_event(name, arguments) => {}
            _ if self.check(name, arguments) => {}
            _ => panic!("no step {name} {arguments:?}"),
        }
    }

    pub(super) fn round(&mut self, events: impl FnOnce(&mut dyn EventHandler)) {
        let mut engine = match self.engine.take() {
            Some(engine) => engine,
            None => DecisionEngine::new(self.engine_settings()),
        };
        self.recorder.advance(self.now);
        engine.round(self.now, events, &mut self.recorder);
        self.engine = Some(engine);
    }

    fn engine_settings(&self) -> EngineSettings {
        let setting = |key: &str, default| self.settings.get(key).copied().unwrap_or(default);
        let is_set = |key: &str| setting(key, 0.0) > 0.0;
        let mut settings = agent_settings(
            setting("agent", 0.0) as u32,
            setting("agents", 1.0) as u32,
            0,
        );
        settings.seed = 7;
        settings.discovery.request_within =
            is_set("requests-list").then_some(Duration::from_secs(10));
        settings.exposure.free_requests = setting("free-requests", 2.0);
        settings.exposure.per_class = is_set("per-class");
        settings.exposure.guarded_stages = setting("guarded-stages", 0.0) as u8;
        settings.exposure.forward_only = is_set("forward-only");
        settings.slow_start.ramp = Duration::from_secs_f64(setting("ramp", 4000.0) / 1000.0);
        let analysis = &mut settings.release_analysis;
        if is_set("timed-rule") {
            analysis.advance_rule = AdvanceRule::Timed;
        }
        analysis.stage_shares = vec![0.05, 0.2, 0.5, 1.0];
        analysis.minimum_stage_time = Duration::from_millis(1500);
        analysis.vote_timing.call_timeout = Duration::from_secs(1);
        settings.requests.classes = self.classes.clone();
        settings.requests.max_retry_after = Duration::from_secs(1);
        settings
    }

    /// A request of a class, with a deadline and a key if they are given.
    pub(super) fn request(&self, class: &str, deadline_and_key: &[&str]) -> Request {
        let deadline = match deadline_and_key.first() {
            Some(deadline) => milliseconds(deadline),
            None => self.now + REQUEST_TIME,
        };
        let key = deadline_and_key.get(1);
        Request {
            idempotency_key: key.map(|key| IdempotencyKey(number(key))),
            estimated_work: Some(Duration::from_millis(50)),
            ..request(RequestClass(number(class)), deadline)
        }
    }

    /// A request every 10 ms and the answers due; no queue, no load: just a script of outcomes.
    fn flow(&mut self, until: Duration, class: &str, failing: &FailingShares) {
        let mut in_flight: VecDeque<(Duration, Sent)> = VecDeque::new();
        self.recorder.in_flight.clear();
        let mut answered: BTreeMap<String, u32> = BTreeMap::new();
        while self.now < until {
            self.now += FLOW_PAUSE;
            self.flow_requests += 1;
            let id = RequestId(FIRST_FLOW_REQUEST + self.flow_requests);
            let request = self.request(class, &[]);
            let mut answers = Vec::new();
            while in_flight.front().is_some_and(|(due, _)| *due <= self.now) {
                let (_, sent) = in_flight.pop_front().expect("a due attempt");
                let outcome = self.flow_outcome(&sent, failing, &mut answered);
                answers.push((sent, outcome));
            }
            self.recorder.recent.clear();
            self.round(|events| {
                for (sent, outcome) in answers {
                    events.on_attempt_ended(
                        sent.request,
                        sent.number,
                        sent.endpoint,
                        outcome,
                        FLOW_ANSWER_TIME,
                        outcome == Outcome::Succeeded,
                    );
                }
                events.on_request(id, request);
            });
            let due = self.now + FLOW_ANSWER_TIME;
            let sent = self.recorder.in_flight.drain(..);
            in_flight.extend(sent.map(|sent| (due, sent)));
        }
    }

    /// Counts the attempt for its build and its endpoint, and fails it if it is the Nth of either.
    fn flow_outcome(
        &self,
        sent: &Sent,
        failing: &FailingShares,
        answered: &mut BTreeMap<String, u32>,
    ) -> Outcome {
        let endpoint = &self.endpoints[&sent.endpoint.0];
        let keys = [endpoint.build.0.to_string(), format!("@{}", endpoint.id.0)];
        let fails = keys.into_iter().any(|key| {
            let count = answered.entry(key.clone()).or_default();
            *count += 1;
            failing
                .get(&key)
                .is_some_and(|every| count.is_multiple_of(*every))
        });
        if fails {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        }
    }
}

/// All keys that a scenario may set.
const SETTINGS: [&str; 9] = [
    "agent",
    "agents",
    "forward-only",
    "free-requests",
    "guarded-stages",
    "per-class",
    "ramp",
    "requests-list",
    "timed-rule",
];

/// Of the attempts at a build (`2`) or an endpoint (`@3`), every Nth fails.
type FailingShares = BTreeMap<String, u32>;

fn failing_shares(shares: &[&str]) -> FailingShares {
    let pairs = shares.iter().map(|share| {
        let (key, every) = share.split_once('=').expect("BUILD=N or @ID=N");
        (key.to_owned(), number(every))
    });
    pairs.collect()
}
