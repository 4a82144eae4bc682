//! What a line keeps: two times on each entry, steps that fold without losing a count, and bounds that hold whatever
//! ids come and go.
#![allow(clippy::min_ident_chars)] // Not met yet.
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Endpoint, EndpointId, EndpointStatus, ListUpdate, Outcome, RequestClass,
    RequestId, Stage, Vote,
};
use lilacgate_test_bed::virtual_time::{EPOCH, aims, listed_endpoint};
use lilacgate_timeline::book::{Book, Room};
use lilacgate_timeline::entry::{Record, What};
use lilacgate_timeline::steps::{LEVELS, Latency, Steps};
use proptest::prelude::*;

fn secs(many: f64) -> Duration {
    EPOCH + Duration::from_secs_f64(many)
}

fn book(octets: usize, records: usize) -> Book {
    Book::new(EPOCH, aims(0.5), Room { octets, records })
}

/// What an entry says of the list, in the order in which it happened.
fn told(book: &Book, known: Duration) -> Vec<(u64, u16, String)> {
    let line = book.line(1).expect("a line");
    let listed = line.as_of(known).filter_map(|entry| match &entry.what {
        What::Listed { state, build, .. } => {
            Some(((entry.happened - EPOCH).as_secs(), *build, state.clone()))
        }
        _ => None,
    });
    listed.collect()
}

/// News that come late go to their place, and what was known then is told as it was then.
#[test]
fn late_news_go_to_their_place() {
    let mut book = book(1 << 20, 0);
    let line = |build, started: f64| listed_endpoint(1, build, Some(secs(started)));
    book.membership(secs(10.0), ListUpdate::Full, &[line(1, 1.0)]);
    book.membership(
        secs(20.0),
        ListUpdate::Delta,
        &[Endpoint {
            status: EndpointStatus::Draining,
            ..line(1, 1.0)
        }],
    );
    // It came back at 15 under another build, which is told only now; then the list goes back a version, and on again.
    book.membership(secs(25.0), ListUpdate::Delta, &[line(2, 15.0)]);
    book.membership(secs(26.0), ListUpdate::Delta, &[line(1, 1.0)]);
    book.membership(secs(27.0), ListUpdate::Delta, &[line(2, 15.0)]);
    let ready = |at, build| (at, build, "ready".to_owned());
    let draining = (20, 1, "draining".to_owned());
    assert_eq!(told(&book, secs(12.0)), [ready(1, 1)]);
    assert_eq!(told(&book, secs(24.0)), [ready(1, 1), draining.clone()]);
    assert_eq!(
        told(&book, secs(25.0)),
        [ready(1, 1), ready(15, 2), draining.clone()]
    );
    assert_eq!(
        told(&book, secs(27.0)),
        [
            ready(1, 1),
            ready(1, 1),
            ready(15, 2),
            ready(15, 2),
            draining
        ]
    );
}

#[test]
fn a_node_that_restarts_within_one_step_has_both_lives() {
    let mut book = book(1 << 20, 0);
    for at in [10.0, 10.3, 10.6] {
        book.membership(
            secs(at),
            ListUpdate::Delta,
            &[listed_endpoint(1, 1, Some(secs(at)))],
        );
    }
    assert_eq!(told(&book, Duration::MAX).len(), 3);
}

/// 5,000 ids within an hour: memory holds, and what was dropped is counted.
#[test]
fn ids_without_end() {
    let room = 8 << 20;
    let mut book = book(room, 0);
    for id in 0..5000u32 {
        let now = secs(f64::from(id) * 0.72);
        let (old, new) = (
            listed_endpoint(id.saturating_sub(3), 1, None),
            listed_endpoint(id, (id % 7) as u16, Some(now)),
        );
        book.membership(
            now,
            ListUpdate::Delta,
            &[
                new,
                Endpoint {
                    status: EndpointStatus::Removed,
                    ..old
                },
            ],
        );
        for i in 0..20 {
            let request = RequestId(id * 20 + i);
            book.request(request, RequestClass(0));
            book.attempt(now, request, AttemptNumber(0), EndpointId(id));
            book.ended(
                now,
                (request, AttemptNumber(0)),
                EndpointId(id),
                Outcome::Succeeded,
                Duration::from_millis(9),
                true,
            );
        }
        book.advance(now);
        assert!(
            book.octets() < room + (1 << 20),
            "{} at {id}",
            book.octets()
        );
    }
    assert!(book.dropped() > 3000 && book.nodes().count() < 1000);
}

#[test]
fn a_store_that_is_behind_costs_the_finest_detail_first() {
    let mut book = book(1 << 20, 50);
    book.membership(EPOCH, ListUpdate::Full, &[listed_endpoint(1, 1, None)]);
    for i in 0..200u32 {
        let now = secs(f64::from(i) * 0.5);
        book.attempt(now, RequestId(i), AttemptNumber(0), EndpointId(1));
        book.ended(
            now,
            (RequestId(i), AttemptNumber(0)),
            EndpointId(1),
            Outcome::Succeeded,
            Duration::from_millis(5),
            true,
        );
        if i % 5 == 0 {
            book.vote(now, Build(2), Stage(0), Vote::Advance);
        }
        book.advance(now);
    }
    let kept = book.records();
    let votes = kept
        .iter()
        .filter(|r| matches!(r, Record::Entry(e) if matches!(e.what, What::Vote { .. })))
        .count();
    assert_eq!((kept.len(), votes), (50, 40));
    // What was left out is said as soon as there is room.
    book.vote(secs(300.0), Build(2), Stage(0), Vote::Advance);
    assert!(matches!(book.records()[0], Record::LeftOut { many, .. } if many > 60));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Folding loses no count as long as a level reaches back, and latencies read back within their error.
    #[test]
    fn folding_keeps_counts(gaps in prop::collection::vec((0u64..40, 1u32..30, 1u64..2000), 1..300)) {
        let mut steps = Steps::new(EPOCH);
        let (mut now, mut all, mut worst) = (EPOCH, 0, 0);
        for (gap, many, ms) in gaps {
            now += Duration::from_secs(gap);
            let counts = steps.now(now, &mut |_| {});
            counts.served += many;
            all += many;
            worst = worst.max(ms);
            steps.took(Duration::from_millis(ms));
        }
        steps.now(now + Duration::from_secs(1), &mut |_| {});
        let found = steps.since(Duration::ZERO);
        let served: u32 = found.iter().map(|(_, step)| step.counts.served).sum();
        // What is folding still is not in a coarse level yet; it stands in the fine one as far as that reaches.
        let long: Duration = LEVELS[0].long * LEVELS[0].kept as u32;
        if now - EPOCH < long {
            prop_assert_eq!(served, all);
            let merged = Latency::merged(found.iter().map(|(_, step)| &step.latency));
            let top = merged.quantile(1.0).expect("some").as_secs_f64() * 1e3;
            prop_assert!((top / worst as f64 - 1.0).abs() < 0.05, "{} {}", top, worst);
        }
        prop_assert!(served <= all && found.len() <= LEVELS.iter().map(|level| level.kept).sum());
    }
}
