//! Departures in virtual time, each with a known cause: what is reported, for which node, build or fleet, how soon, and
//! that nothing else is reported.
use std::time::Duration;

use lilacgate_test_bed::virtual_time::{
    DepartureNotice, EPOCH, Fault, ScheduledFault, VirtualFleet, new_book, run,
};
use lilacgate_timeline::entry::{DepartureKind, DepartureScope, ReleaseStage};
use rstest::rstest;

/// When the fault begins.
const AT: Duration = Duration::from_secs(60);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A day with one fault that lasts `fault_ms`.
fn day(fault: Fault, fault_ms: u64) -> VirtualFleet {
    let events = vec![ScheduledFault {
        at: AT,
        duration: ms(fault_ms),
        fault,
    }];
    VirtualFleet {
        nodes: 10,
        request_rate: 100.0,
        duration: ms(110_000),
        faults: events,
        list_delay: ms(300),
        seed: 7,
    }
}

/// A departure that was reported.
#[derive(Clone, Debug, PartialEq)]
struct Reported {
    scope: DepartureScope,
    kind: DepartureKind,
    class: Option<u8>,
    /// How long after the beginning of the fault, in seconds.
    after: f64,
}

/// The departures that a day shows.
fn reported(day: &VirtualFleet) -> Vec<Reported> {
    let mut timeline = new_book(0.5);
    let all = run(day, &mut timeline, &mut |_| {});
    let begun = all.into_iter().filter(|notice| notice.begins);
    begun
        .map(|DepartureNotice { at, departure, .. }| Reported {
            scope: departure.scope,
            kind: departure.kind,
            class: departure.class,
            after: seconds_after_fault(at),
        })
        .collect()
}

fn scopes_and_kinds(reported: &[Reported]) -> Vec<(DepartureScope, DepartureKind)> {
    reported.iter().map(|one| (one.scope, one.kind)).collect()
}

fn seconds_after_fault(at: Duration) -> f64 {
    at.as_secs_f64() - (EPOCH + AT).as_secs_f64()
}

#[rstest]
#[case::errors(Fault::Errors { node: 3, share: 0.4, class: None }, 20_000, DepartureScope::Node(3), DepartureKind::Errors, None)]
#[case::slow(Fault::Slow { node: 3, factor: 4.0, class: None }, 20_000, DepartureScope::Node(3), DepartureKind::Latency, None)]
#[case::one_class_fails(Fault::Errors { node: 3, share: 0.6, class: Some(1) }, 20_000, DepartureScope::Node(3), DepartureKind::Errors, Some(1))]
#[case::one_class_slow(Fault::Slow { node: 3, factor: 5.0, class: Some(1) }, 20_000, DepartureScope::Node(3), DepartureKind::Latency, Some(1))]
#[case::silent(Fault::Silent { node: 3 }, 20_000, DepartureScope::Node(3), DepartureKind::Silence, None)]
#[case::silent_for_three_seconds(Fault::Silent { node: 3 }, 3_000, DepartureScope::Node(3), DepartureKind::Silence, None)]
#[case::unlinked(Fault::ConnectionsRefused { node: 3 }, 20_000, DepartureScope::Node(3), DepartureKind::Links, None)]
#[case::all_slow(Fault::AllSlow { factor: 3.5 }, 15_000, DepartureScope::Fleet, DepartureKind::Latency, None)]
#[case::restart(Fault::Replace { node: 3, build: 1 }, 1_000, DepartureScope::Node(3), DepartureKind::Restart, None)]
fn one_event(
    #[case] fault: Fault,
    #[case] fault_ms: u64,
    #[case] scope: DepartureScope,
    #[case] kind: DepartureKind,
    #[case] class: Option<u8>,
) {
    let reported = reported(&day(fault, fault_ms));
    let [only] = &reported[..] else {
        panic!("{reported:?}")
    };
    let found = (only.scope, only.kind, only.class);
    assert_eq!(found, (scope, kind, class), "{reported:?}");
    assert!((0.0..5.0).contains(&only.after), "{reported:?}");
}

#[rstest]
#[case::burst(Fault::TrafficChange { factor: 2.5 }, 10_000)]
#[case::mix(Fault::ClassMix { first_share: 0.2 }, 10_000)]
#[case::still(Fault::AgentSuspended, 2_000)]
#[case::few(Fault::TrafficChange { factor: 0.1 }, 20_000)]
fn no_event(#[case] fault: Fault, #[case] fault_ms: u64) {
    assert_eq!(reported(&day(fault, fault_ms)), []);
}

#[test]
fn two_nodes_in_the_same_instant() {
    let mut day = day(
        Fault::Errors {
            node: 3,
            share: 0.5,
            class: None,
        },
        20_000,
    );
    day.faults.push(ScheduledFault {
        fault: Fault::Silent { node: 5 },
        ..day.faults[0]
    });
    let mut reported = reported(&day);
    reported.sort_by_key(|one| one.scope);
    assert_eq!(
        scopes_and_kinds(&reported),
        [
            (DepartureScope::Node(3), DepartureKind::Errors),
            (DepartureScope::Node(5), DepartureKind::Silence)
        ]
    );
    assert!(reported.iter().all(|one| one.after < 5.0), "{reported:?}");
}

#[test]
fn a_bad_build_is_a_departure_of_the_build() {
    let mut day = day(
        Fault::BadBuild {
            build: 2,
            share: 0.3,
        },
        50_000,
    );
    let start = |node| ScheduledFault {
        at: AT,
        duration: ms(1000),
        fault: Fault::Replace { node, build: 2 },
    };
    day.faults.extend([1, 4, 8].map(start));
    let reported = reported(&day);
    assert_eq!(
        scopes_and_kinds(&reported),
        [(DepartureScope::Build(2), DepartureKind::Errors)],
        "{reported:?}"
    );
}

#[test]
fn a_drift_shows_once_it_doubles() {
    let day = day(
        Fault::Drift {
            node: 3,
            factor: 4.0,
        },
        45_000,
    );
    let reported = reported(&day);
    let [
        Reported {
            scope: DepartureScope::Node(3),
            kind: DepartureKind::Latency,
            class: None,
            after,
        },
    ] = reported[..]
    else {
        panic!("{reported:?}")
    };
    // It is twice as slow after 15 s, and late by the monitor's measure after 22 s.
    assert!((10.0..30.0).contains(&after), "{reported:?}");
}

#[test]
fn a_list_that_is_five_seconds_late() {
    let mut day = day(Fault::Replace { node: 3, build: 1 }, 1000);
    day.list_delay = ms(5000);
    let reported = reported(&day);
    let [only] = &reported[..] else {
        panic!("{reported:?}")
    };
    assert_eq!(only.scope, DepartureScope::Node(3), "{reported:?}");
    assert!(only.after < 5.5, "{reported:?}");
}

#[test]
fn a_departure_has_an_onset_and_an_end() {
    let mut timeline = new_book(0.5);
    let reports = run(
        &day(
            Fault::Errors {
                node: 3,
                share: 0.4,
                class: None,
            },
            20_000,
        ),
        &mut timeline,
        &mut |_| {},
    );
    let [
        DepartureNotice {
            departure: begun,
            begins: true,
            ..
        },
        DepartureNotice {
            at: ended,
            departure: over,
            begins: false,
        },
    ] = &reports[..]
    else {
        panic!("{reports:?}")
    };
    let onset = seconds_after_fault(begun.onset);
    assert!(
        (-1.0..3.0).contains(&onset) && begun.observed > 0.2 && begun.baseline < 0.02,
        "{begun:?}"
    );
    let after = ended.as_secs_f64() - (EPOCH + AT + ms(20_000)).as_secs_f64();
    assert!(
        (0.0..12.0).contains(&after) && over.number == begun.number,
        "{after} {over:?}"
    );
}

/// A build that slows old and new nodes alike: one departure of the fleet, with its stage as a hint.
#[test]
fn a_build_that_slows_all_is_a_departure_of_the_fleet() {
    let mut day = day(Fault::AllSlow { factor: 3.5 }, 15_000);
    let start = |node| ScheduledFault {
        at: AT - ms(2000),
        duration: ms(1000),
        fault: Fault::Replace { node, build: 2 },
    };
    day.faults.extend([1, 4].map(start));
    let reports = run(&day, &mut new_book(0.5), &mut |_| {});
    let begun: Vec<_> = reports
        .iter()
        .filter(|notice| notice.begins)
        .map(|notice| &notice.departure)
        .collect();
    let [only] = begun[..] else {
        panic!("{begun:?}")
    };
    assert_eq!(
        (only.scope, only.kind, only.concurrent_stage),
        (
            DepartureScope::Fleet,
            DepartureKind::Latency,
            Some(ReleaseStage { build: 2, stage: 0 })
        )
    );
}
