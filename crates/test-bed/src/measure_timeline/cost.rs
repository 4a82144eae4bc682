//! What recording costs: the time of one request in a book, and the share of the agent's processor time.
use std::path::Path;
use std::time::{Duration, Instant};

use lilacgate_decision::{
    AttemptNumber, Endpoint, EndpointId, ListUpdate, Outcome, RequestClass, RequestId,
};
use lilacgate_timeline::fleet_timeline::{AttemptEnd, FleetTimeline};

use super::FALSE_EVENTS_PER_HOUR;
use super::loopback_faults::start_fleet;
use crate::event_log::Event;
use crate::test_bed::TestBed;
use crate::virtual_time::{EPOCH, listed_endpoint, new_book};

const NODES: u32 = 14;
const CLASSES: u32 = 3;
const BATCHES: u32 = 300;
const REQUESTS_PER_BATCH: u32 = 1000;
const REQUEST_INTERVAL: Duration = Duration::from_micros(500);

/// The time that recording one request takes, in nanoseconds: the median of all batches.
pub(super) fn record_ns() -> f64 {
    let mut book = new_book(FALSE_EVENTS_PER_HOUR);
    let endpoints: Vec<Endpoint> = (0..NODES)
        .map(|node| listed_endpoint(node, 1, None))
        .collect();
    book.apply_list_update(EPOCH, ListUpdate::Full, &endpoints);
    let mut times: Vec<f64> = (0..BATCHES)
        .map(|batch| {
            let began = Instant::now();
            record_batch(&mut book, batch);
            began.elapsed().as_secs_f64() * 1e9 / f64::from(REQUESTS_PER_BATCH)
        })
        .collect();
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// Records a batch of requests, and the tick behind them.
fn record_batch(book: &mut FleetTimeline, batch: u32) {
    let first = batch * REQUESTS_PER_BATCH;
    for i in 0..REQUESTS_PER_BATCH {
        let id = RequestId(first + i);
        let node = EndpointId(i % NODES);
        let sent = EPOCH + REQUEST_INTERVAL * (first + i);
        let took = Duration::from_micros(20_000 + u64::from(i * 7 % 9000));
        book.request_started(id, RequestClass((i % CLASSES) as u8));
        book.attempt_started(sent, id, AttemptNumber(0), node);
        let end = AttemptEnd {
            request: id,
            attempt: AttemptNumber(0),
            endpoint: node,
            outcome: Outcome::Succeeded,
            duration: took,
            request_closed: true,
        };
        book.attempt_ended(sent + took, &end);
    }
    book.advance(EPOCH + REQUEST_INTERVAL * (first + REQUESTS_PER_BATCH));
}

/// Fleets that run beside each other, half of them with a time line.
const FLEETS: u64 = 12;
const FIRST_SEED: u64 = 500;
const START_UP_TIME: Duration = Duration::from_secs(2);
const MEASURED_TIME: Duration = Duration::from_secs(11);

/// How much more processor time the agent takes for a request with a time line than without, as a share.
///
/// # Panics
/// If the thread of a fleet panics.
pub(super) fn agent_cpu_share(program: &Path) -> f64 {
    let fleet = |number: u64| {
        let timeline = if number.is_multiple_of(2) {
            "<timeline/>"
        } else {
            ""
        };
        cpu_seconds_per_request(program, FIRST_SEED + number, timeline)
    };
    std::thread::scope(|scope| {
        let fleets: Vec<_> = (0..FLEETS)
            .map(|number| scope.spawn(move || fleet(number)))
            .collect();
        let spent: Vec<Option<f64>> = fleets
            .into_iter()
            .map(|fleet| fleet.join().ok().flatten())
            .collect();
        let sum_from =
            |first: usize| -> f64 { spent.iter().skip(first).step_by(2).flatten().sum() };
        sum_from(0) / sum_from(1) - 1.0
    })
}

/// `None` if the fleet does not run or the system tells no processor time.
fn cpu_seconds_per_request(program: &Path, seed: u64, timeline: &str) -> Option<f64> {
    let mut bed = start_fleet(program, seed, timeline).ok()?;
    bed.wait(START_UP_TIME);
    let (cpu_before, sent_before) = (bed.agent_cpu_time()?, sent_requests(&bed));
    bed.wait(MEASURED_TIME);
    let spent = bed.agent_cpu_time()? - cpu_before;
    let requests = sent_requests(&bed) - sent_before;
    bed.shut_down();
    Some(spent.as_secs_f64() / requests.max(1) as f64)
}

fn sent_requests(bed: &TestBed) -> usize {
    bed.event_log
        .events()
        .iter()
        .filter(|logged| matches!(logged.event, Event::RequestSent { .. }))
        .count()
}
