//! Runs in virtual time: how often each detector is wrong, and which faults it names.
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError};
use std::time::Duration;

use lilacgate_timeline::entry::{DepartureKind, DepartureScope};

use super::FALSE_EVENTS_PER_HOUR;
use super::baseline_detectors::{Detection, DetectorRun, FixedBound, WeightedMean};
use crate::listener::lock;
use crate::virtual_time::{
    self, DepartureNotice, EPOCH, Fault, ScheduledFault, VirtualFleet, new_book, quiet_hour,
};

/// The node with a fault, when the fault begins, and until when it has to be named.
const FAULTY_NODE: u32 = 3;
const FAULT_AT: Duration = Duration::from_secs(60);
const FAULT_TIME: Duration = Duration::from_secs(15);
const NAMED_WITHIN: Duration = Duration::from_secs(5);
/// Each fault is run with so many seeds.
const SEEDS: u64 = 5;

/// Each fault, and the kind of departure that names it.
const FAULTS: [(Fault, DepartureKind); 6] = [
    (
        Fault::Errors {
            node: FAULTY_NODE,
            share: 0.4,
            class: None,
        },
        DepartureKind::Errors,
    ),
    (
        Fault::Errors {
            node: FAULTY_NODE,
            share: 0.6,
            class: Some(1),
        },
        DepartureKind::Errors,
    ),
    (
        Fault::Slow {
            node: FAULTY_NODE,
            factor: 4.0,
            class: None,
        },
        DepartureKind::Latency,
    ),
    (
        Fault::Slow {
            node: FAULTY_NODE,
            factor: 5.0,
            class: Some(1),
        },
        DepartureKind::Latency,
    ),
    (Fault::Silent { node: FAULTY_NODE }, DepartureKind::Silence),
    (
        Fault::ConnectionsRefused { node: FAULTY_NODE },
        DepartureKind::Links,
    ),
];

/// A count for each detector.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct DetectorCounts {
    /// The time line's own.
    pub(super) own: usize,
    pub(super) fixed_bound: usize,
    pub(super) weighted_mean: usize,
}

impl DetectorCounts {
    fn add(&mut self, other: DetectorCounts) {
        self.own += other.own;
        self.fixed_bound += other.fixed_bound;
        self.weighted_mean += other.weighted_mean;
    }
}

/// What hours without faults have shown.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct QuietCounts {
    pub(super) false_events: DetectorCounts,
    /// The most memory that a node took in a book.
    pub(super) bytes_per_node: usize,
}

/// Runs hours without faults, so many at a time.
pub(super) fn count_false_events(hours: u64, threads: usize) -> QuietCounts {
    let next_seed = AtomicU64::new(0);
    let total = Mutex::new(QuietCounts::default());
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next_seed.fetch_add(1, Ordering::Relaxed);
                    if seed >= hours {
                        return;
                    }
                    let hour = run_quiet_hour(seed);
                    let mut total = lock(&total);
                    total.false_events.add(hour.false_events);
                    total.bytes_per_node = total.bytes_per_node.max(hour.bytes_per_node);
                }
            });
        }
    });
    total.into_inner().unwrap_or_else(PoisonError::into_inner)
}

fn run_quiet_hour(seed: u64) -> QuietCounts {
    let mut book = new_book(FALSE_EVENTS_PER_HOUR);
    let mut fixed_bound = DetectorRun::<FixedBound>::default();
    let mut weighted_mean = DetectorRun::<WeightedMean>::default();
    let notices = virtual_time::run(&quiet_hour(seed), &mut book, &mut |attempt| {
        fixed_bound.on_attempt(&attempt);
        weighted_mean.on_attempt(&attempt);
    });
    QuietCounts {
        false_events: DetectorCounts {
            own: notices.iter().filter(|notice| notice.begins).count(),
            fixed_bound: fixed_bound.detections.len(),
            weighted_mean: weighted_mean.detections.len(),
        },
        bytes_per_node: book.memory_bytes() / book.nodes().count().max(1),
    }
}

/// How many of all faults each detector has named in time.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct FaultCounts {
    pub(super) named: DetectorCounts,
    pub(super) faults: usize,
}

/// Runs each fault with several seeds. Faults that the time line does not name in time are printed.
pub(super) fn count_named_faults() -> FaultCounts {
    let mut counts = FaultCounts::default();
    for seed in 0..SEEDS {
        for (fault, kind) in FAULTS {
            counts.faults += 1;
            counts.named.add(run_fault(fault, kind, seed));
        }
    }
    counts
}

fn run_fault(fault: Fault, kind: DepartureKind, seed: u64) -> DetectorCounts {
    let fleet = VirtualFleet {
        nodes: 10,
        request_rate: 100.0,
        duration: Duration::from_secs(80),
        faults: vec![ScheduledFault {
            at: FAULT_AT,
            duration: FAULT_TIME,
            fault,
        }],
        list_delay: Duration::from_secs(1),
        seed,
    };
    let mut fixed_bound = DetectorRun::<FixedBound>::default();
    let mut weighted_mean = DetectorRun::<WeightedMean>::default();
    let mut book = new_book(FALSE_EVENTS_PER_HOUR);
    let notices = virtual_time::run(&fleet, &mut book, &mut |attempt| {
        fixed_bound.on_attempt(&attempt);
        weighted_mean.on_attempt(&attempt);
    });
    let named = notices.iter().any(|notice| names_fault(notice, kind));
    if !named {
        print_unnamed(fault, seed, &notices);
    }
    // The others know failures and latency alone; any departure of the right node counts for them.
    let detected = |detections: &[Detection]| {
        detections
            .iter()
            .any(|detection| detection.node == FAULTY_NODE && is_in_time(detection.at))
    };
    DetectorCounts {
        own: usize::from(named),
        fixed_bound: usize::from(detected(&fixed_bound.detections)),
        weighted_mean: usize::from(detected(&weighted_mean.detections)),
    }
}

fn is_in_time(at: Duration) -> bool {
    let begin = EPOCH + FAULT_AT;
    (begin..=begin + NAMED_WITHIN).contains(&at)
}

fn names_fault(notice: &DepartureNotice, kind: DepartureKind) -> bool {
    notice.begins
        && is_in_time(notice.at)
        && notice.departure.scope == DepartureScope::Node(FAULTY_NODE)
        && notice.departure.kind == kind
}

fn print_unnamed(fault: Fault, seed: u64, notices: &[DepartureNotice]) {
    println!("virtual, not named in 5 s: {fault:?} seed {seed}:");
    for DepartureNotice {
        at,
        departure,
        begins,
    } in notices
    {
        let seconds = (*at - EPOCH).as_secs_f64();
        let change = if *begins { "begins" } else { "ends" };
        println!(
            "  {seconds:.3} s: {:?} {:?} {:?} {change}",
            departure.scope, departure.kind, departure.class
        );
    }
}
