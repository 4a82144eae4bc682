//! Injects faults into a fleet in virtual time, and checks that each departure is reported with the right kind and
//! scope and in time, and that nothing else is reported.
use std::time::Duration;

use lilacgate_test_bed::virtual_time::{
    DepartureNotice, EPOCH, Fault, ScheduledFault, VirtualFleet, new_book, run,
};
use lilacgate_timeline::entry::{DepartureKind, DepartureScope, ReleaseStage};
use rstest::rstest;

/// When the fault begins, after the start of the run.
const FAULT_START: Duration = Duration::from_secs(60);

fn ms(millis: u64) -> Duration {
    Duration::from_millis(millis)
}

/// A fleet of ten nodes with one fault that lasts `fault_ms`.
fn fleet_with_fault(fault: Fault, fault_ms: u64) -> VirtualFleet {
    let events = vec![ScheduledFault {
        at: FAULT_START,
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

/// The parts of a reported departure that the tests compare.
#[derive(Clone, Debug, PartialEq)]
struct Reported {
    scope: DepartureScope,
    kind: DepartureKind,
    class: Option<u8>,
    /// The time from the beginning of the fault to the report, in seconds.
    delay_seconds: f64,
}

/// Runs the fleet and returns the departures reported as begun.
fn reported(fleet: &VirtualFleet) -> Vec<Reported> {
    let mut timeline = new_book(0.5);
    let all = run(fleet, &mut timeline, &mut |_| {});
    let begun = all.into_iter().filter(|notice| notice.begins);
    begun
        .map(|DepartureNotice { at, departure, .. }| Reported {
            scope: departure.scope,
            kind: departure.kind,
            class: departure.class,
            delay_seconds: seconds_after_fault(at),
        })
        .collect()
}

fn scopes_and_kinds(reported: &[Reported]) -> Vec<(DepartureScope, DepartureKind)> {
    reported
        .iter()
        .map(|departure| (departure.scope, departure.kind))
        .collect()
}

fn seconds_after_fault(at: Duration) -> f64 {
    at.as_secs_f64() - (EPOCH + FAULT_START).as_secs_f64()
}

#[rstest]
#[case::errors(Fault::Errors { node: 3, share: 0.4, class: None }, 20_000, DepartureScope::Node(3), DepartureKind::Errors, None)]
#[case::slow(Fault::Slow { node: 3, factor: 4.0, class: None }, 20_000, DepartureScope::Node(3), DepartureKind::Latency, None)]
#[case::one_class_fails(Fault::Errors { node: 3, share: 0.6, class: Some(1) }, 20_000, DepartureScope::Node(3), DepartureKind::Errors, Some(1))]
#[case::one_class_slow(Fault::Slow { node: 3, factor: 5.0, class: Some(1) }, 20_000, DepartureScope::Node(3), DepartureKind::Latency, Some(1))]
#[case::silent(Fault::Silent { node: 3 }, 20_000, DepartureScope::Node(3), DepartureKind::Silence, None)]
#[case::silent_for_three_seconds(Fault::Silent { node: 3 }, 3_000, DepartureScope::Node(3), DepartureKind::Silence, None)]
#[case::connections_refused(Fault::ConnectionsRefused { node: 3 }, 20_000, DepartureScope::Node(3), DepartureKind::Links, None)]
#[case::all_slow(Fault::AllSlow { factor: 3.5 }, 15_000, DepartureScope::Fleet, DepartureKind::Latency, None)]
#[case::restart(Fault::Replace { node: 3, build: 1 }, 1_000, DepartureScope::Node(3), DepartureKind::Restart, None)]
fn fault_reports_one_departure(
    #[case] fault: Fault,
    #[case] fault_ms: u64,
    #[case] scope: DepartureScope,
    #[case] kind: DepartureKind,
    #[case] class: Option<u8>,
) {
    let reported = reported(&fleet_with_fault(fault, fault_ms));
    let [only] = &reported[..] else {
        panic!("{reported:?}")
    };
    let found = (only.scope, only.kind, only.class);
    assert_eq!(found, (scope, kind, class), "{reported:?}");
    assert!((0.0..5.0).contains(&only.delay_seconds), "{reported:?}");
}

#[rstest]
#[case::burst(Fault::TrafficChange { factor: 2.5 }, 10_000)]
#[case::class_mix(Fault::ClassMix { first_share: 0.2 }, 10_000)]
#[case::agent_suspended(Fault::AgentSuspended, 2_000)]
#[case::little_traffic(Fault::TrafficChange { factor: 0.1 }, 20_000)]
fn traffic_change_or_pause_reports_no_departure(#[case] fault: Fault, #[case] fault_ms: u64) {
    assert_eq!(reported(&fleet_with_fault(fault, fault_ms)), []);
}

#[test]
fn simultaneous_faults_at_two_nodes_are_reported_separately() {
    let mut fleet = fleet_with_fault(
        Fault::Errors {
            node: 3,
            share: 0.5,
            class: None,
        },
        20_000,
    );
    fleet.faults.push(ScheduledFault {
        fault: Fault::Silent { node: 5 },
        ..fleet.faults[0]
    });
    let mut reported = reported(&fleet);
    reported.sort_by_key(|departure| departure.scope);
    assert_eq!(
        scopes_and_kinds(&reported),
        [
            (DepartureScope::Node(3), DepartureKind::Errors),
            (DepartureScope::Node(5), DepartureKind::Silence)
        ]
    );
    assert!(
        reported
            .iter()
            .all(|departure| departure.delay_seconds < 5.0),
        "{reported:?}"
    );
}

#[test]
fn a_bad_build_is_a_departure_of_the_build() {
    let mut fleet = fleet_with_fault(
        Fault::BadBuild {
            build: 2,
            share: 0.3,
        },
        50_000,
    );
    let start = |node| ScheduledFault {
        at: FAULT_START,
        duration: ms(1000),
        fault: Fault::Replace { node, build: 2 },
    };
    fleet.faults.extend([1, 4, 8].map(start));
    let reported = reported(&fleet);
    assert_eq!(
        scopes_and_kinds(&reported),
        [(DepartureScope::Build(2), DepartureKind::Errors)],
        "{reported:?}"
    );
}

#[test]
fn slow_drift_is_reported_once_latency_doubles() {
    let fleet = fleet_with_fault(
        Fault::Drift {
            node: 3,
            factor: 4.0,
        },
        45_000,
    );
    let reported = reported(&fleet);
    let [
        Reported {
            scope: DepartureScope::Node(3),
            kind: DepartureKind::Latency,
            class: None,
            delay_seconds,
        },
    ] = reported[..]
    else {
        panic!("{reported:?}")
    };
    // The node is twice as slow after 15 s; its answers count as late after 22 s.
    assert!((10.0..30.0).contains(&delay_seconds), "{reported:?}");
}

#[test]
fn restart_is_reported_with_a_five_second_list_delay() {
    let mut fleet = fleet_with_fault(Fault::Replace { node: 3, build: 1 }, 1000);
    fleet.list_delay = ms(5000);
    let reported = reported(&fleet);
    let [only] = &reported[..] else {
        panic!("{reported:?}")
    };
    assert_eq!(only.scope, DepartureScope::Node(3), "{reported:?}");
    assert!(only.delay_seconds < 5.5, "{reported:?}");
}

#[test]
fn a_departure_has_an_onset_and_an_end() {
    let mut timeline = new_book(0.5);
    let reports = run(
        &fleet_with_fault(
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
    let after = ended.as_secs_f64() - (EPOCH + FAULT_START + ms(20_000)).as_secs_f64();
    assert!(
        (0.0..12.0).contains(&after) && over.number == begun.number,
        "ended {after} s after the end of the fault: {over:?}"
    );
}

/// A build that slows nodes of the old and the new build alike must give one departure of the fleet, which names the
/// stage of the new build as a hint.
#[test]
fn a_build_that_slows_all_is_a_departure_of_the_fleet() {
    let mut fleet = fleet_with_fault(Fault::AllSlow { factor: 3.5 }, 15_000);
    let start = |node| ScheduledFault {
        at: FAULT_START - ms(2000),
        duration: ms(1000),
        fault: Fault::Replace { node, build: 2 },
    };
    fleet.faults.extend([1, 4].map(start));
    let reports = run(&fleet, &mut new_book(0.5), &mut |_| {});
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
