//! The hard cases in virtual time, each caused: what is said, whose it is, how soon, and that nothing else is said.
#![allow(clippy::min_ident_chars)] // Not met yet.
use std::time::Duration;

use lilacgate_test_bed::virtually::{DAWN, Day, Event, Fault, book, play};
use lilacgate_timeline::entry::{DepartureKind, DepartureScope, ReleaseStage};
use rstest::rstest;

/// When the fault begins.
const AT: Duration = Duration::from_secs(60);

fn ms(many: u64) -> Duration {
    Duration::from_millis(many)
}

fn day(fault: Fault, long: u64) -> Day {
    let events = vec![Event {
        at: AT,
        long: ms(long),
        fault,
    }];
    Day {
        nodes: 10,
        rate: 100.0,
        long: ms(110_000),
        events,
        list_late: ms(300),
        seed: 7,
    }
}

/// What was said: whose, of what kind and product, and how long after the fault's beginning.
fn said(day: &Day) -> Vec<(DepartureScope, DepartureKind, Option<u8>, f64)> {
    let mut timeline = book(0.5);
    let all = play(day, &mut timeline, &mut |_| {});
    let begun = all.into_iter().filter(|(_, _, begins)| *begins);
    let after = |at: Duration| at.as_secs_f64() - (DAWN + AT).as_secs_f64();
    begun
        .map(|(at, d, _)| (d.scope, d.kind, d.class, after(at)))
        .collect()
}

#[rstest]
#[case::errors(Fault::Errors { node: 3, share: 0.4, product: None }, 20_000, DepartureScope::Node(3), DepartureKind::Errors, None)]
#[case::slow(Fault::Slow { node: 3, times: 4.0, product: None }, 20_000, DepartureScope::Node(3), DepartureKind::Latency, None)]
#[case::one_product_fails(Fault::Errors { node: 3, share: 0.6, product: Some(1) }, 20_000, DepartureScope::Node(3), DepartureKind::Errors, Some(1))]
#[case::one_product_slow(Fault::Slow { node: 3, times: 5.0, product: Some(1) }, 20_000, DepartureScope::Node(3), DepartureKind::Latency, Some(1))]
#[case::silent(Fault::Silent { node: 3 }, 20_000, DepartureScope::Node(3), DepartureKind::Silence, None)]
#[case::silent_for_three_seconds(Fault::Silent { node: 3 }, 3_000, DepartureScope::Node(3), DepartureKind::Silence, None)]
#[case::unlinked(Fault::Unlinked { node: 3 }, 20_000, DepartureScope::Node(3), DepartureKind::Links, None)]
#[case::all_slow(Fault::AllSlow { times: 3.5 }, 15_000, DepartureScope::Fleet, DepartureKind::Latency, None)]
#[case::restart(Fault::Replace { node: 3, build: 1 }, 1_000, DepartureScope::Node(3), DepartureKind::Restart, None)]
fn one_event(
    #[case] fault: Fault,
    #[case] long: u64,
    #[case] whom: DepartureScope,
    #[case] kind: DepartureKind,
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
#[case::burst(Fault::Burst { times: 2.5 }, 10_000)]
#[case::mix(Fault::Mix { first: 0.2 }, 10_000)]
#[case::still(Fault::Still, 2_000)]
#[case::few(Fault::Burst { times: 0.1 }, 20_000)]
fn no_event(#[case] fault: Fault, #[case] long: u64) {
    assert_eq!(said(&day(fault, long)), []);
}

#[test]
fn two_nodes_in_the_same_instant() {
    let mut day = day(
        Fault::Errors {
            node: 3,
            share: 0.5,
            product: None,
        },
        20_000,
    );
    day.events.push(Event {
        fault: Fault::Silent { node: 5 },
        ..day.events[0]
    });
    let mut said = said(&day);
    said.sort_by_key(|one| one.0);
    let found: Vec<(DepartureScope, DepartureKind)> =
        said.iter().map(|one| (one.0, one.1)).collect();
    assert_eq!(
        found,
        [
            (DepartureScope::Node(3), DepartureKind::Errors),
            (DepartureScope::Node(5), DepartureKind::Silence)
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
    let start = |node| Event {
        at: AT,
        long: ms(1000),
        fault: Fault::Replace { node, build: 2 },
    };
    day.events.extend([1, 4, 8].map(start));
    let said = said(&day);
    assert_eq!(
        said.iter().map(|one| (one.0, one.1)).collect::<Vec<_>>(),
        [(DepartureScope::Build(2), DepartureKind::Errors)],
        "{said:?}"
    );
}

#[test]
fn a_drift_shows_once_it_doubles() {
    let day = day(
        Fault::Drift {
            node: 3,
            times: 4.0,
        },
        45_000,
    );
    let said = said(&day);
    let [(DepartureScope::Node(3), DepartureKind::Latency, None, after)] = said[..] else {
        panic!("{said:?}")
    };
    // It is twice as slow after 15 s, and late by this line's measure after 22 s.
    assert!((10.0..30.0).contains(&after), "{said:?}");
}

#[test]
fn a_list_that_is_five_seconds_late() {
    let mut day = day(Fault::Replace { node: 3, build: 1 }, 1000);
    day.list_late = ms(5000);
    let said = said(&day);
    assert!(
        said.len() == 1 && said[0].0 == DepartureScope::Node(3) && said[0].3 < 5.5,
        "{said:?}"
    );
}

#[test]
fn a_departure_has_an_onset_and_an_end() {
    let mut timeline = book(0.5);
    let said = play(
        &day(
            Fault::Errors {
                node: 3,
                share: 0.4,
                product: None,
            },
            20_000,
        ),
        &mut timeline,
        &mut |_| {},
    );
    let [(_, begun, true), (ended, over, false)] = &said[..] else {
        panic!("{said:?}")
    };
    let onset = begun.onset.as_secs_f64() - (DAWN + AT).as_secs_f64();
    assert!(
        (-1.0..3.0).contains(&onset) && begun.observed > 0.2 && begun.baseline < 0.02,
        "{begun:?}"
    );
    let after = ended.as_secs_f64() - (DAWN + AT + ms(20_000)).as_secs_f64();
    assert!(
        (0.0..12.0).contains(&after) && over.number == begun.number,
        "{after} {over:?}"
    );
}

/// A build that slows old and new nodes alike: one event of the fleet, its stage named beside it.
#[test]
fn a_build_that_slows_all_is_the_fleets() {
    let mut day = day(Fault::AllSlow { times: 3.5 }, 15_000);
    let start = |node| Event {
        at: AT - ms(2000),
        long: ms(1000),
        fault: Fault::Replace { node, build: 2 },
    };
    day.events.extend([1, 4].map(start));
    let said = play(&day, &mut book(0.5), &mut |_| {});
    let begun: Vec<_> = said
        .iter()
        .filter(|(_, _, begins)| *begins)
        .map(|(_, departure, _)| departure)
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
