//! Checks that a timeline keeps both times of each entry, downsamples steps without losing counts, and stays within its
//! memory bounds for any sequence of node ids.
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Endpoint, EndpointId, EndpointStatus, ListUpdate, Outcome, RequestClass,
    RequestId, Stage, Vote,
};
use lilacgate_test_bed::virtual_time::{EPOCH, aims, listed_endpoint};
use lilacgate_timeline::entry::{Event, Record};
use lilacgate_timeline::fleet_timeline::{AttemptEnd, FleetTimeline, MemoryLimits};
use lilacgate_timeline::latency_sketch::LatencySketch;
use lilacgate_timeline::step_history::{LEVELS, StepHistory};
use proptest::prelude::*;

/// The instant this many seconds after the start of the run.
fn secs(seconds: f64) -> Duration {
    EPOCH + Duration::from_secs_f64(seconds)
}

fn timeline(timeline_bytes: usize, queued_records: usize) -> FleetTimeline {
    let limits = MemoryLimits {
        timeline_bytes,
        queued_records,
    };
    FleetTimeline::new(EPOCH, aims(0.5), limits)
}

fn succeeded(request: RequestId, endpoint: EndpointId, duration: Duration) -> AttemptEnd {
    AttemptEnd {
        request,
        attempt: AttemptNumber(0),
        endpoint,
        outcome: Outcome::Succeeded,
        duration,
        request_closed: true,
    }
}

/// A recorded change of a node's state in the endpoint list.
#[derive(Clone, Debug, PartialEq)]
struct ListedState {
    /// When it happened, in whole seconds after the start of the run.
    second: u64,
    build: u16,
    state: String,
}

/// The states of node 1 in the endpoint list that were known at `known`, in the order in which they happened.
fn listed_states(timeline: &FleetTimeline, known: Duration) -> Vec<ListedState> {
    let node = timeline.node(1).expect("node 1 has a timeline");
    let listed = node.as_of(known).filter_map(|entry| match &entry.event {
        Event::Listed { state, build, .. } => Some(ListedState {
            second: (entry.happened - EPOCH).as_secs(),
            build: *build,
            state: state.clone(),
        }),
        _ => None,
    });
    listed.collect()
}

/// Late updates are inserted by the time they happened, and a query for an earlier instant returns what was known then.
#[test]
fn late_updates_are_inserted_where_they_happened() {
    let mut timeline = timeline(1 << 20, 0);
    let entry = |build, started: f64| listed_endpoint(1, build, Some(secs(started)));
    timeline.apply_list_update(secs(10.0), ListUpdate::Full, &[entry(1, 1.0)]);
    timeline.apply_list_update(
        secs(20.0),
        ListUpdate::Delta,
        &[Endpoint {
            status: EndpointStatus::Draining,
            ..entry(1, 1.0)
        }],
    );
    // The node restarted at 15 with another build, which is only received at 25. Then the list reverts to the previous
    // version, and returns to the new one.
    timeline.apply_list_update(secs(25.0), ListUpdate::Delta, &[entry(2, 15.0)]);
    timeline.apply_list_update(secs(26.0), ListUpdate::Delta, &[entry(1, 1.0)]);
    timeline.apply_list_update(secs(27.0), ListUpdate::Delta, &[entry(2, 15.0)]);
    let ready = |second, build| ListedState {
        second,
        build,
        state: "ready".to_owned(),
    };
    let draining = ListedState {
        second: 20,
        build: 1,
        state: "draining".to_owned(),
    };
    assert_eq!(listed_states(&timeline, secs(12.0)), [ready(1, 1)]);
    assert_eq!(
        listed_states(&timeline, secs(24.0)),
        [ready(1, 1), draining.clone()]
    );
    assert_eq!(
        listed_states(&timeline, secs(25.0)),
        [ready(1, 1), ready(15, 2), draining.clone()]
    );
    assert_eq!(
        listed_states(&timeline, secs(27.0)),
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
fn a_node_that_restarts_within_one_step_has_both_incarnations() {
    let mut timeline = timeline(1 << 20, 0);
    for at in [10.0, 10.3, 10.6] {
        timeline.apply_list_update(
            secs(at),
            ListUpdate::Delta,
            &[listed_endpoint(1, 1, Some(secs(at)))],
        );
    }
    assert_eq!(listed_states(&timeline, Duration::MAX).len(), 3);
}

/// With 5,000 node ids within an hour, memory stays within its limit, and dropped entries and timelines are counted.
#[test]
fn memory_is_bounded_whatever_ids_come() {
    let limit = 8 << 20;
    let mut timeline = timeline(limit, 0);
    for id in 0..5000u32 {
        let now = secs(f64::from(id) * 0.72);
        let (old, new) = (
            listed_endpoint(id.saturating_sub(3), 1, None),
            listed_endpoint(id, (id % 7) as u16, Some(now)),
        );
        timeline.apply_list_update(
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
            timeline.request_started(request, RequestClass(0));
            timeline.attempt_started(now, request, AttemptNumber(0), EndpointId(id));
            timeline.attempt_ended(
                now,
                &succeeded(request, EndpointId(id), Duration::from_millis(9)),
            );
        }
        timeline.advance(now);
        assert!(
            timeline.memory_bytes() < limit + (1 << 20),
            "{} bytes after node {id}",
            timeline.memory_bytes()
        );
    }
    assert!(timeline.dropped() > 3000 && timeline.nodes().count() < 1000);
}

#[test]
fn a_full_queue_drops_the_finest_detail_first() {
    let mut timeline = timeline(1 << 20, 50);
    timeline.apply_list_update(EPOCH, ListUpdate::Full, &[listed_endpoint(1, 1, None)]);
    for i in 0..200u32 {
        let now = secs(f64::from(i) * 0.5);
        timeline.attempt_started(now, RequestId(i), AttemptNumber(0), EndpointId(1));
        timeline.attempt_ended(
            now,
            &succeeded(RequestId(i), EndpointId(1), Duration::from_millis(5)),
        );
        if i % 5 == 0 {
            timeline.record_vote(now, Build(2), Stage(0), Vote::Advance);
        }
        timeline.advance(now);
    }
    let kept = timeline.take_records();
    let votes = kept
        .iter()
        .filter(|record| matches!(record, Record::Entry(entry) if matches!(entry.event, Event::Vote { .. })))
        .count();
    assert_eq!((kept.len(), votes), (50, 40));
    // The number of dropped records is queued as soon as there is room.
    timeline.record_vote(secs(300.0), Build(2), Stage(0), Vote::Advance);
    assert!(matches!(timeline.take_records()[0], Record::Dropped { count, .. } if count > 60));
}

proptest! {
    #![proptest_config(ProptestConfig { cases: 64, failure_persistence: None, ..ProptestConfig::default() })]

    /// Downsampling loses no count as long as the finest level reaches back, and quantiles stay within the sketch's
    /// error.
    #[test]
    fn downsampling_keeps_counts(gaps in prop::collection::vec((0u64..40, 1u32..30, 1u64..2000), 1..300)) {
        let mut steps = StepHistory::new(EPOCH);
        let mut now = EPOCH;
        let mut all = 0;
        let mut slowest_ms = 0;
        for (gap, count, ms) in gaps {
            now += Duration::from_secs(gap);
            let counts = steps.current(now, &mut |_| {});
            counts.succeeded += count;
            all += count;
            slowest_ms = slowest_ms.max(ms);
            steps.record_latency(Duration::from_millis(ms));
        }
        steps.current(now + Duration::from_secs(1), &mut |_| {});
        let found = steps.since(Duration::ZERO);
        let succeeded: u32 = found.iter().map(|timed| timed.step.counts.succeeded).sum();
        // Steps that are not downsampled yet are missing in the coarse levels, but the finest level still holds them.
        let reach: Duration = LEVELS[0].step_duration * LEVELS[0].capacity as u32;
        if now - EPOCH < reach {
            prop_assert_eq!(succeeded, all);
            let merged = LatencySketch::merged(found.iter().map(|timed| &timed.step.latency));
            let top = merged.quantile(1.0).expect("the merged sketch holds latencies").as_secs_f64() * 1e3;
            prop_assert!((top / slowest_ms as f64 - 1.0).abs() < 0.05, "highest quantile {} ms, slowest latency {} ms", top, slowest_ms);
        }
        prop_assert!(succeeded <= all && found.len() <= LEVELS.iter().map(|level| level.capacity).sum());
    }
}
