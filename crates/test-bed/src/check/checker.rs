//! The state of the checker while it reads a log.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use super::exposure::{Exposure, ReleaseUpdate};
use super::{CheckLimits, CheckReport};
use crate::event_log::{ClientOutcome, Event, LoggedEvent, RequestKind};

/// What is known of a request.
#[derive(Debug)]
struct Request {
    kind: RequestKind,
    sent: Duration,
    deadline: Duration,
    answers: Vec<Answer>,
    /// Endpoints with an attempt that is not completed.
    in_flight: BTreeSet<usize>,
    /// The number of attempts so far.
    attempts: usize,
    /// Whether an agent that held it was killed.
    orphaned: bool,
    /// Whether its connection ended without an answer. The agent may end one between requests, but not after it has
    /// accepted a request.
    connection_ended: bool,
}

#[derive(Clone, Copy, Debug)]
struct Answer {
    at: Duration,
    outcome: ClientOutcome,
}

/// What the endpoint list says of an endpoint.
#[derive(Clone, Copy, Debug)]
struct ListedEndpoint {
    zone: usize,
    build: u16,
    ready: bool,
    since: Duration,
}

/// An attempt as the endpoint received it.
#[derive(Clone, Copy, Debug)]
struct Attempt {
    at: Duration,
    id: u32,
    endpoint: usize,
    build: u16,
    zone: usize,
}

/// A build in one zone, or in all of them (`None`).
type BuildInZone = (u16, Option<usize>);

pub(super) struct Checker<'a> {
    limits: &'a CheckLimits,
    report: CheckReport,
    requests: BTreeMap<u32, Request>,
    endpoints: BTreeMap<usize, ListedEndpoint>,
    /// Since when a build is forbidden.
    forbidden_since: BTreeMap<BuildInZone, Duration>,
    /// Since when a build is allowed again in a zone.
    allowed_since: BTreeMap<(u16, usize), Duration>,
    exposure: Exposure,
}

impl<'a> Checker<'a> {
    pub(super) fn new(limits: &'a CheckLimits) -> Self {
        Checker {
            limits,
            report: CheckReport::default(),
            requests: BTreeMap::new(),
            endpoints: BTreeMap::new(),
            forbidden_since: BTreeMap::new(),
            allowed_since: BTreeMap::new(),
            exposure: Exposure::default(),
        }
    }

    pub(super) fn on_event(&mut self, LoggedEvent { at, event }: &LoggedEvent) {
        let at = *at;
        match *event {
            Event::RequestSent { id, kind, deadline } => self.on_sent(at, id, kind, deadline),
            Event::RequestEnded { id, outcome } => self.on_answer(id, Answer { at, outcome }),
            Event::ConnectionEnded { id } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.connection_ended = true;
                }
            }
            Event::AttemptReceived {
                id,
                endpoint,
                build,
                zone,
            } => self.on_attempt(Attempt {
                at,
                id,
                endpoint,
                build,
                zone,
            }),
            Event::AttemptCompleted { id, endpoint } => {
                if let Some(request) = self.requests.get_mut(&id) {
                    request.in_flight.remove(&endpoint);
                }
            }
            Event::EndpointListed {
                endpoint,
                zone,
                build,
                ready,
            } => {
                let listed = ListedEndpoint {
                    zone,
                    build,
                    ready,
                    since: at,
                };
                self.endpoints.insert(endpoint, listed);
            }
            Event::ReleaseUpdated {
                build,
                stage,
                unreleased,
                cap,
            } => self.exposure.on_update(ReleaseUpdate {
                at,
                build,
                stage,
                unreleased,
                cap,
            }),
            Event::BuildForbidden { build, zone } => {
                self.forbidden_since.entry((build, zone)).or_insert(at);
            }
            Event::BuildAllowed { build, zone } => self.on_allowed(at, build, zone),
            Event::AgentKilled => self.on_killed(),
            Event::AgentStarted | Event::VoteReceived { .. } => {}
        }
    }

    fn on_sent(&mut self, at: Duration, id: u32, kind: RequestKind, deadline: Duration) {
        self.exposure.on_request(at);
        let request = Request {
            kind,
            sent: at,
            deadline,
            answers: Vec::new(),
            in_flight: BTreeSet::new(),
            attempts: 0,
            orphaned: false,
            connection_ended: false,
        };
        if self.requests.insert(id, request).is_some() {
            self.violation(format!("id {id} was sent twice: a fault of the stand-in"));
        }
    }

    fn on_answer(&mut self, id: u32, answer: Answer) {
        let Some(request) = self.requests.get_mut(&id) else {
            return;
        };
        request.answers.push(answer);
        if answer.outcome == ClientOutcome::Rejected && !request.orphaned {
            let notified_by = request.sent.saturating_sub(self.limits.grace);
            let available = self
                .endpoints
                .values()
                .any(|endpoint| self.was_available(endpoint, notified_by));
            self.report.wrongly_rejected += usize::from(available);
        }
    }

    /// Whether an endpoint was ready, allowed and released by this time, and is still.
    fn was_available(&self, endpoint: &ListedEndpoint, notified_by: Duration) -> bool {
        let ListedEndpoint { zone, build, .. } = *endpoint;
        let forbidden = [Some(zone), None]
            .iter()
            .any(|zone| self.forbidden_since.contains_key(&(build, *zone)));
        let allowed_since = self
            .allowed_since
            .get(&(build, zone))
            .copied()
            .unwrap_or_default();
        let unreleased = self.exposure.last_update().is_some_and(|update| {
            update.build < build || update.build == build && update.unreleased
        });
        endpoint.ready
            && endpoint.since <= notified_by
            && !forbidden
            && allowed_since <= notified_by
            && !unreleased
    }

    fn on_attempt(&mut self, attempt: Attempt) {
        self.check_forbidden(&attempt);
        self.check_draining(&attempt);
        self.check_request(&attempt);
    }

    fn check_forbidden(&mut self, attempt: &Attempt) {
        for zone in [Some(attempt.zone), None] {
            if let Some(since) = self.forbidden_since.get(&(attempt.build, zone)) {
                let delay = attempt.at - *since;
                let latest = &mut self.report.latest_forbidden_attempt;
                *latest = (*latest).max(delay);
                self.report.forbidden_attempts += usize::from(delay > self.limits.grace);
            }
        }
    }

    fn check_draining(&mut self, attempt: &Attempt) {
        let Some(listed) = self.endpoints.get(&attempt.endpoint) else {
            return;
        };
        if !listed.ready && attempt.at > listed.since + self.limits.grace {
            let delay = (attempt.at - listed.since).as_millis();
            self.violation(format!(
                "endpoint {} got request {} {delay} ms after it was drained",
                attempt.endpoint, attempt.id
            ));
        }
    }

    fn check_request(&mut self, attempt: &Attempt) {
        let id = attempt.id;
        let Some(request) = self.requests.get_mut(&id) else {
            self.violation(format!(
                "endpoint {} got request {id}, which nobody sent",
                attempt.endpoint
            ));
            return;
        };
        let answered = !request.answers.is_empty();
        let kind = request.kind;
        let runs_twice =
            kind == RequestKind::NonIdempotent && request.attempts > 0 && !request.orphaned;
        self.report.ran_twice += usize::from(runs_twice);
        if !request.in_flight.is_empty() || runs_twice {
            self.report.duplicated += 1;
        }
        request.attempts += 1;
        request.in_flight.insert(attempt.endpoint);
        if answered {
            self.violation(format!("request {id} went out after its answer"));
        }
        self.check_exposure(attempt, kind);
    }

    fn check_exposure(&mut self, attempt: &Attempt, kind: RequestKind) {
        let Some(update) = self.exposure.last_update() else {
            return;
        };
        let ReleaseUpdate { build, stage, .. } = update;
        if build != attempt.build || !update.unreleased {
            return;
        }
        let guarded =
            stage < self.limits.guarded_stages && attempt.at > update.at + self.limits.grace;
        if guarded && kind != RequestKind::Idempotent {
            self.violation(format!(
                "request {} with an effect at build {build} in stage {stage}",
                attempt.id
            ));
        }
        let excess = self.exposure.on_attempt(attempt.at, build, self.limits);
        self.report.violations.extend(excess);
    }

    fn on_allowed(&mut self, at: Duration, build: u16, zone: Option<usize>) {
        self.forbidden_since.remove(&(build, zone));
        let zones: Vec<usize> = match zone {
            Some(zone) => vec![zone],
            None => self.endpoints.values().map(|listed| listed.zone).collect(),
        };
        self.allowed_since
            .extend(zones.into_iter().map(|zone| ((build, zone), at)));
    }

    /// Requests that the killed agent held get no answer.
    fn on_killed(&mut self) {
        self.requests
            .values_mut()
            .filter(|request| request.answers.is_empty())
            .for_each(|request| request.orphaned = true);
    }

    fn violation(&mut self, text: String) {
        self.report.violations.push(text);
    }

    /// Counts how the requests ended.
    pub(super) fn finish(self) -> CheckReport {
        let mut report = self.report;
        report.requests = self.requests.len();
        for (id, request) in &self.requests {
            let latest_answer = request.sent + request.deadline + self.limits.answer_slack;
            match request.answers[..] {
                [answer] if answer.at <= latest_answer => match answer.outcome {
                    ClientOutcome::Succeeded => report.succeeded += 1,
                    ClientOutcome::Rejected => report.rejected += 1,
                    ClientOutcome::Failed => report.failed += 1,
                    ClientOutcome::WrongValue => report.violations.push(format!(
                        "request {id} was served with another request's value"
                    )),
                },
                _ if request.orphaned => {}
                [] if request.connection_ended && request.attempts == 0 => {}
                [] | [_] => report.lost += 1,
                _ => report.violations.push(format!(
                    "request {id} has {} answers",
                    request.answers.len()
                )),
            }
        }
        report
    }
}
