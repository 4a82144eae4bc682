//! The hard cases in virtual time, each caused: what is said, whose it is, how soon, and that nothing else is said.
#![allow(clippy::min_ident_chars)] // Not met yet.
use std::time::Duration;

use lilacgate_test_bed::virtual_time::{
    DepartureNotice, EPOCH, Fault, ScheduledFault, VirtualFleet, new_book, run,
};
use lilacgate_timeline::entry::{Kind, Whom};
use rstest::rstest;

/// When the fault begins.
const AT: Duration = Duration::from_secs(60);

fn ms(many: u64) -> Duration {
    Duration::from_millis(many)
}

fn day(fault: Fault, long: u64) -> VirtualFleet {
    let events = vec![ScheduledFault {
        at: AT,
        duration: ms(long),
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

/// What was said: whose, of what kind and product, and how long after the fault's beginning.
fn said(day: &VirtualFleet) -> Vec<(Whom, Kind, Option<u8>, f64)> {
    let mut book = new_book(0.5);
    let all = run(day, &mut book, &mut |_| {});
    let begun = all.into_iter().filter(|notice| notice.begins);
    let after = |at: Duration| at.as_secs_f64() - (EPOCH + AT).as_secs_f64();
    begun
        .map(
            |DepartureNotice {
                 at, departure: d, ..
             }| (d.whom, d.kind, d.product, after(at)),
        )
        .collect()
}

#[rstest]
#[case::errors(Fault::Errors { node: 3, share: 0.4, class: None }, 20_000, Whom::Node(3), Kind::Errors, None)]
#[case::slow(Fault::Slow { node: 3, factor: 4.0, class: None }, 20_000, Whom::Node(3), Kind::Latency, None)]
#[case::one_product_fails(Fault::Errors { node: 3, share: 0.6, class: Some(1) }, 20_000, Whom::Node(3), Kind::Errors, Some(1))]
#[case::one_product_slow(Fault::Slow { node: 3, factor: 5.0, class: Some(1) }, 20_000, Whom::Node(3), Kind::Latency, Some(1))]
#[case::silent(Fault::Silent { node: 3 }, 20_000, Whom::Node(3), Kind::Silence, None)]
#[case::silent_for_three_seconds(Fault::Silent { node: 3 }, 3_000, Whom::Node(3), Kind::Silence, None)]
#[case::unlinked(Fault::ConnectionsRefused { node: 3 }, 20_000, Whom::Node(3), Kind::Links, None)]
#[case::all_slow(Fault::AllSlow { factor: 3.5 }, 15_000, Whom::Fleet, Kind::Latency, None)]
#[case::restart(Fault::Replace { node: 3, build: 1 }, 1_000, Whom::Node(3), Kind::Restart, None)]
fn one_event(
    #[case] fault: Fault,
    #[case] long: u64,
    #[case] whom: Whom,
    #[case] kind: Kind,
    #[case] product: Option<u8>,
) {
    let said = said(&day(fault, long));
    let [(w, k, p, after)] = said[..] else {
        panic!("{said:?}")
    };
    assert_eq!((w, k, p), (whom, kind, product), "{said:?}");
    assert!((0.0..5.0).contains(&after), "{said:?}");
}

#[rstest]
#[case::burst(Fault::TrafficChange { factor: 2.5 }, 10_000)]
#[case::mix(Fault::ClassMix { first_share: 0.2 }, 10_000)]
#[case::still(Fault::AgentSuspended, 2_000)]
#[case::few(Fault::TrafficChange { factor: 0.1 }, 20_000)]
fn no_event(#[case] fault: Fault, #[case] long: u64) {
    assert_eq!(said(&day(fault, long)), []);
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
    let mut said = said(&day);
    said.sort_by_key(|one| one.0);
    let found: Vec<(Whom, Kind)> = said.iter().map(|one| (one.0, one.1)).collect();
    assert_eq!(
        found,
        [
            (Whom::Node(3), Kind::Errors),
            (Whom::Node(5), Kind::Silence)
        ]
    );
    assert!(said.iter().all(|one| one.3 < 5.0), "{said:?}");
}

#[test]
fn a_bad_build_is_the_builds() {
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
    let said = said(&day);
    assert_eq!(
        said.iter().map(|one| (one.0, one.1)).collect::<Vec<_>>(),
        [(Whom::Build(2), Kind::Errors)],
        "{said:?}"
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
    let said = said(&day);
    let [(Whom::Node(3), Kind::Latency, None, after)] = said[..] else {
        panic!("{said:?}")
    };
    // It is twice as slow after 15 s, and late by this line's measure after 22 s.
    assert!((10.0..30.0).contains(&after), "{said:?}");
}

#[test]
fn a_list_that_is_five_seconds_late() {
    let mut day = day(Fault::Replace { node: 3, build: 1 }, 1000);
    day.list_delay = ms(5000);
    let said = said(&day);
    assert!(
        said.len() == 1 && said[0].0 == Whom::Node(3) && said[0].3 < 5.5,
        "{said:?}"
    );
}

#[test]
fn a_departure_has_an_onset_and_an_end() {
    let mut book = new_book(0.5);
    let said = run(
        &day(
            Fault::Errors {
                node: 3,
                share: 0.4,
                class: None,
            },
            20_000,
        ),
        &mut book,
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
    ] = &said[..]
    else {
        panic!("{said:?}")
    };
    let onset = begun.onset.as_secs_f64() - (EPOCH + AT).as_secs_f64();
    assert!(
        (-1.0..3.0).contains(&onset) && begun.seen > 0.2 && begun.usual < 0.02,
        "{begun:?}"
    );
    let after = ended.as_secs_f64() - (EPOCH + AT + ms(20_000)).as_secs_f64();
    assert!(
        (0.0..12.0).contains(&after) && over.number == begun.number,
        "{after} {over:?}"
    );
}

/// A build that slows old and new nodes alike: one event of the fleet, its stage named beside it.
#[test]
fn a_build_that_slows_all_is_the_fleets() {
    let mut day = day(Fault::AllSlow { factor: 3.5 }, 15_000);
    let start = |node| ScheduledFault {
        at: AT - ms(2000),
        duration: ms(1000),
        fault: Fault::Replace { node, build: 2 },
    };
    day.faults.extend([1, 4].map(start));
    let said = run(&day, &mut new_book(0.5), &mut |_| {});
    let begun: Vec<_> = said
        .iter()
        .filter(|notice| notice.begins)
        .map(|notice| &notice.departure)
        .collect();
    let [only] = begun[..] else {
        panic!("{begun:?}")
    };
    assert_eq!(
        (only.whom, only.kind, only.beside),
        (Whom::Fleet, Kind::Latency, Some((2, 0)))
    );
}
