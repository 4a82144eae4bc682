//! The checker of event logs: each broken rule is found where it is broken, and nowhere else.
use std::time::Duration;

use lilacgate_test_bed::check::{CheckLimits, CheckReport, check};
use lilacgate_test_bed::event_log::{ClientOutcome, Event, LoggedEvent, RequestKind};

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

fn report(events: &[(u64, Event)]) -> CheckReport {
    let events: Vec<LoggedEvent> = events
        .iter()
        .map(|(at, event)| LoggedEvent {
            at: ms(*at),
            event: event.clone(),
        })
        .collect();
    check(&events, &CheckLimits::default())
}

fn sent(id: u32, kind: RequestKind) -> Event {
    Event::RequestSent {
        id,
        kind,
        deadline: ms(1000),
    }
}

fn received(id: u32, endpoint: usize, build: u16) -> Event {
    Event::AttemptReceived {
        id,
        endpoint,
        build,
        zone: 0,
    }
}

fn completed(id: u32, endpoint: usize) -> Event {
    Event::AttemptCompleted { id, endpoint }
}

fn ended(id: u32, outcome: ClientOutcome) -> Event {
    Event::RequestEnded { id, outcome }
}

fn listed(ready: bool) -> Event {
    Event::EndpointListed {
        endpoint: 1,
        zone: 0,
        build: 1,
        ready,
    }
}

fn first_stage_of_build_2() -> Event {
    Event::ReleaseUpdated {
        build: 2,
        stage: 0,
        unreleased: true,
        cap: 0.1,
    }
}

#[test]
fn a_served_request_breaks_no_rule() {
    let report = report(&[
        (0, listed(true)),
        (1, sent(1, RequestKind::NonIdempotent)),
        (2, received(1, 1, 1)),
        (9, ended(1, ClientOutcome::Succeeded)),
    ]);
    assert!(report.is_clean());
}

#[test]
fn a_request_served_with_the_value_of_another_one_is_found() {
    let report = report(&[
        (0, listed(true)),
        (1, sent(1, RequestKind::Idempotent)),
        (2, received(1, 1, 1)),
        (9, ended(1, ClientOutcome::WrongValue)),
    ]);
    assert_eq!((report.succeeded, report.is_clean()), (0, false));
}

/// Of two attempts at a forbidden build, one is within the grace period.
#[test]
fn an_attempt_at_a_forbidden_build_is_found() {
    let forbidden = Event::BuildForbidden {
        build: 2,
        zone: Some(0),
    };
    let late = report(&[
        (0, forbidden),
        (1, sent(1, RequestKind::Idempotent)),
        (240, received(1, 1, 2)),
        (260, received(1, 2, 2)),
    ]);
    assert_eq!(
        (
            late.forbidden_attempts,
            late.latest_forbidden_attempt,
            late.duplicated,
            late.lost
        ),
        (1, ms(260), 1, 1)
    );
}

#[test]
fn an_attempt_at_a_drained_endpoint_is_found() {
    let drained = report(&[
        (0, listed(false)),
        (1, sent(1, RequestKind::Idempotent)),
        (251, received(1, 1, 1)),
    ]);
    assert!(drained.violations[0].contains("drained"));
}

/// Only a request that is not idempotent must not run again after its first attempt has ended.
#[test]
fn a_request_that_runs_twice_is_found() {
    let runs_twice = |kind| {
        report(&[
            (0, sent(1, kind)),
            (1, received(1, 1, 1)),
            (2, completed(1, 1)),
            (3, received(1, 2, 1)),
        ])
    };
    assert_eq!(runs_twice(RequestKind::NonIdempotent).duplicated, 1);
    assert_eq!(runs_twice(RequestKind::Idempotent).duplicated, 0);
}

#[test]
fn an_attempt_after_the_answer_is_found() {
    let after = report(&[
        (0, sent(1, RequestKind::Idempotent)),
        (1, ended(1, ClientOutcome::Rejected)),
        (2, received(1, 1, 1)),
    ]);
    assert!(after.violations[0].contains("after its answer"));
}

#[test]
fn a_rejection_with_an_endpoint_available_is_found() {
    let rejected = report(&[
        (0, listed(true)),
        (400, sent(1, RequestKind::Idempotent)),
        (401, ended(1, ClientOutcome::Rejected)),
    ]);
    assert_eq!(rejected.wrongly_rejected, 1);
}

/// A connection may end between requests, but not once an endpoint has received one.
#[test]
fn a_connection_that_ends_with_a_request_is_found() {
    let not_accepted = report(&[
        (0, sent(1, RequestKind::Idempotent)),
        (1, Event::ConnectionEnded { id: 1 }),
    ]);
    assert!(not_accepted.is_clean());
    let accepted = report(&[
        (0, sent(1, RequestKind::Idempotent)),
        (1, received(1, 1, 1)),
        (2, Event::ConnectionEnded { id: 1 }),
    ]);
    assert_eq!(accepted.lost, 1);
}

#[test]
fn a_killed_agent_loses_no_request() {
    let killed = report(&[
        (0, sent(1, RequestKind::Idempotent)),
        (1, Event::AgentKilled),
    ]);
    assert_eq!(killed.lost, 0);
}

#[test]
fn a_request_with_an_effect_in_a_guarded_stage_is_found() {
    let guarded = report(&[
        (0, first_stage_of_build_2()),
        (1, sent(0, RequestKind::Keyed)),
        (300, received(0, 1, 2)),
    ]);
    assert!(guarded.violations[0].contains("with an effect"));
}

#[test]
fn too_many_attempts_at_a_canary_are_found() {
    let mut events = vec![(0, first_stage_of_build_2())];
    events.extend((1..8).flat_map(|id| {
        [
            (1, sent(id, RequestKind::Idempotent)),
            (2, received(id, 1, 2)),
        ]
    }));
    assert!(report(&events).violations[0].contains("at a cap of"));
}

#[test]
fn an_answer_after_the_deadline_is_found() {
    let late = report(&[
        (0, sent(1, RequestKind::Idempotent)),
        (1151, ended(1, ClientOutcome::Succeeded)),
    ]);
    assert_eq!(late.lost, 1);
}
