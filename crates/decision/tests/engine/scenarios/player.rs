//! Runs the steps of a scenario on one engine.
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, ClassPolicy, DecisionEngine, Endpoint, EngineSettings, EventHandler,
    IdempotencyKey, Outcome, Request, RequestClass, RequestId,
};

use super::recorder::{Recorder, SentAttempt};
use super::words::{class, milliseconds, number};
use crate::support::{agent_settings, request};

/// Time after which an attempt of a `traffic` step is answered.
const TRAFFIC_ANSWER_TIME: Duration = Duration::from_millis(50);
/// Time between two requests of a `traffic` step.
const TRAFFIC_INTERVAL: Duration = Duration::from_millis(10);
/// Time to the deadline of a request for which the scenario gives none.
const DEFAULT_TIMEOUT: Duration = Duration::from_secs(2);
/// The lowest id of requests of `traffic` steps.
const FIRST_TRAFFIC_REQUEST: u32 = 1_000_000;

pub(super) struct Player {
    pub(super) now: Duration,
    pub(super) recorder: Recorder,
    pub(super) endpoints: BTreeMap<u32, Endpoint>,
    settings: BTreeMap<String, f64>,
    classes: Vec<ClassPolicy>,
    engine: Option<DecisionEngine>,
    traffic_request_count: u32,
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
            traffic_request_count: 0,
        }
    }

    /// A player that also records the decisions in a timeline.
    pub(super) fn with_timeline() -> Self {
        Player {
            recorder: Recorder::with_timeline(),
            ..Player::new()
        }
    }

    pub(super) fn into_decisions(self) -> Vec<String> {
        self.recorder.all
    }

    pub(super) fn play_step(&mut self, name: &str, arguments: &[&str]) {
        match (name, arguments) {
            ("set", [key, value]) => {
                assert!(
                    SETTINGS.contains(key),
                    "unknown setting {key:?}, expected one of {SETTINGS:?}"
                );
                self.settings.insert((*key).to_owned(), number(value));
            }
            ("class", policy) => self.classes.push(class(policy)),
            ("at", [time]) => {
                self.now = milliseconds(time);
                self.recorder.recent.clear();
                self.round(|_| {});
            }
            ("restart", []) => self.engine = None,
            ("traffic", [until, class, intervals @ ..]) => {
                self.run_traffic(milliseconds(until), class, &failure_intervals(intervals));
            }
            _ if self.play_event(name, arguments) => {}
            _ if self.check(name, arguments) => {}
            _ => panic!("unknown step {name:?} with the arguments {arguments:?}"),
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

    /// A request of a class, with a deadline and an idempotency key if they are given.
    pub(super) fn request(&self, class: &str, deadline_and_key: &[&str]) -> Request {
        let deadline = match deadline_and_key.first() {
            Some(deadline) => milliseconds(deadline),
            None => self.now + DEFAULT_TIMEOUT,
        };
        let key = deadline_and_key.get(1);
        Request {
            idempotency_key: key.map(|key| IdempotencyKey(number(key))),
            estimated_work: Some(Duration::from_millis(50)),
            ..request(RequestClass(number(class)), deadline)
        }
    }

    /// Runs a round every 10 ms with a request and the answers that are due. Answers always take the same time: the
    /// endpoints have no queues.
    fn run_traffic(&mut self, until: Duration, class: &str, failing: &FailureIntervals) {
        let mut in_flight: VecDeque<(Duration, SentAttempt)> = VecDeque::new();
        self.recorder.in_flight.clear();
        let mut answered: BTreeMap<String, u32> = BTreeMap::new();
        while self.now < until {
            self.now += TRAFFIC_INTERVAL;
            self.traffic_request_count += 1;
            let id = RequestId(FIRST_TRAFFIC_REQUEST + self.traffic_request_count);
            let request = self.request(class, &[]);
            let mut answers = Vec::new();
            while in_flight.front().is_some_and(|(due, _)| *due <= self.now) {
                let (_, sent) = in_flight.pop_front().expect("a due attempt");
                let outcome = self.traffic_outcome(&sent, failing, &mut answered);
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
                        TRAFFIC_ANSWER_TIME,
                        outcome == Outcome::Succeeded,
                    );
                }
                events.on_request(id, request);
            });
            let due = self.now + TRAFFIC_ANSWER_TIME;
            let sent = self.recorder.in_flight.drain(..);
            in_flight.extend(sent.map(|sent| (due, sent)));
        }
    }

    /// Counts the attempt for its build and its endpoint. It fails if either count is a multiple of the interval.
    fn traffic_outcome(
        &self,
        sent: &SentAttempt,
        failing: &FailureIntervals,
        answered: &mut BTreeMap<String, u32>,
    ) -> Outcome {
        let endpoint = &self.endpoints[&sent.endpoint.0];
        let keys = [endpoint.build.0.to_string(), format!("@{}", endpoint.id.0)];
        let fails = keys.into_iter().any(|key| {
            let count = answered.entry(key.clone()).or_default();
            *count += 1;
            failing
                .get(&key)
                .is_some_and(|interval| count.is_multiple_of(*interval))
        });
        if fails {
            Outcome::Failed
        } else {
            Outcome::Succeeded
        }
    }
}

/// The keys of the `set` step.
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

/// By build (`2`) or endpoint (`@3`): every Nth attempt fails.
type FailureIntervals = BTreeMap<String, u32>;

fn failure_intervals(intervals: &[&str]) -> FailureIntervals {
    let pairs = intervals.iter().map(|text| {
        let (key, interval) = text
            .split_once('=')
            .expect("a failure interval is BUILD=N or @ID=N");
        (key.to_owned(), number(interval))
    });
    pairs.collect()
}
