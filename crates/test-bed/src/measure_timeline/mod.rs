//! The measurement of time lines: how soon the agent names faults on loopback, false events over hours of virtual time,
//! two simpler detectors on the same runs, kills of the store, and what recording costs.
mod baseline_detectors;
mod cost;
mod loopback_faults;
mod virtual_runs;

use std::path::Path;
use std::thread;
use std::time::Instant;

use self::loopback_faults::{FaultRun, run_faults};
pub use self::loopback_faults::{SuspensionReport, suspend_agent};
use self::virtual_runs::{
    DetectorCounts, FaultCounts, QuietCounts, count_false_events, count_named_faults,
};
use crate::crash_test::{self, CrashTestReport};

/// Test beds that run beside each other.
const TEST_BEDS: u64 = 21;
/// Virtual hours without faults.
const QUIET_HOURS: u64 = 104;
const QUIET_THREADS: usize = 3;
const KILLS: u32 = 100;
const CRASH_TEST_SEED: u64 = 7;
/// The false events an hour that the agent is set to, also on loopback.
const FALSE_EVENTS_PER_HOUR: f64 = 0.5;

/// A fault has to be named within this many seconds.
const MAX_SECONDS: f64 = 5.0;
/// Fewer false events an hour have to be shown at 95%.
const MAX_FALSE_PER_HOUR: f64 = 1.0;

/// Measures, and prints the line of figures last. Whether all aims were met.
///
/// # Panics
/// If stand-ins cannot be started, files cannot be written, or a thread panics.
pub fn run(program: &Path) -> bool {
    let began = Instant::now();
    let record_ns = cost::record_ns();
    let parallel = run_in_parallel(program);
    let cpu_share = cost::agent_cpu_share(program);
    let virtual_faults = count_named_faults();
    let loopback = LoopbackSummary::new(&parallel.fault_runs);
    let false_events = parallel.quiet.false_events;
    print_baseline(
        "fixed bound",
        |counts| counts.fixed_bound,
        &parallel.quiet,
        &virtual_faults,
    );
    print_baseline(
        "weighted mean, three deviations",
        |counts| counts.weighted_mean,
        &parallel.quiet,
        &virtual_faults,
    );
    let hours = QUIET_HOURS as f64;
    let false_per_hour = false_events.own as f64 / hours;
    let false_upper = poisson_upper_95(false_events.own) / hours;
    let CrashTestReport {
        kills,
        lost_records,
    } = parallel.crash_test;
    println!(
        "measure timeline: faults={} found={} worst_s={:.2} p50_s={:.2} strays={} \
         false_per_hour={false_per_hour:.3} false_upper95={false_upper:.3} fleet_hours={QUIET_HOURS} virtual_found={}/{} \
         record_ns={record_ns:.0} bytes_per_node={} kills={kills} lost_records={lost_records} agent_cpu_share={cpu_share:.3} seconds={:.0}",
        loopback.injected,
        loopback.seconds.len(),
        loopback.worst(),
        loopback.median(),
        loopback.strays,
        virtual_faults.named.own,
        virtual_faults.faults,
        parallel.quiet.bytes_per_node,
        began.elapsed().as_secs_f64()
    );
    loopback.seconds.len() == loopback.injected
        && loopback.worst() < MAX_SECONDS
        && false_upper < MAX_FALSE_PER_HOUR
        && lost_records == 0
        && kills >= KILLS
}

/// Results of what runs at the same time.
struct ParallelResults {
    fault_runs: Vec<FaultRun>,
    quiet: QuietCounts,
    crash_test: CrashTestReport,
}

fn run_in_parallel(program: &Path) -> ParallelResults {
    let test_bed_program = std::env::current_exe().unwrap_or_default();
    thread::scope(|scope| {
        let test_beds: Vec<_> = (0..TEST_BEDS)
            .map(|seed| scope.spawn(move || run_faults(program, seed)))
            .collect();
        let quiet = scope.spawn(|| count_false_events(QUIET_HOURS, QUIET_THREADS));
        let crash_test = scope.spawn(|| crash_test::run(&test_bed_program, KILLS, CRASH_TEST_SEED));
        let fault_runs = test_beds
            .into_iter()
            .map(|test_bed| test_bed.join().expect("a test bed's thread"))
            .collect();
        let crash_test = crash_test.join().expect("the crash test's thread");
        ParallelResults {
            fault_runs,
            quiet: quiet.join().expect("the virtual hours' thread"),
            // A crash test without a result is one that lost everything.
            crash_test: crash_test.unwrap_or(CrashTestReport {
                kills: 0,
                lost_records: usize::MAX,
            }),
        }
    })
}

/// What all runs on loopback have found; new ones are printed fault by fault.
struct LoopbackSummary {
    injected: usize,
    /// The times after which faults were named, ascending.
    seconds: Vec<f64>,
    /// Departures that name no fault that was injected.
    strays: usize,
}

impl LoopbackSummary {
    fn new(runs: &[FaultRun]) -> LoopbackSummary {
        let mut summary = LoopbackSummary {
            injected: 0,
            seconds: Vec::new(),
            strays: 0,
        };
        for run in runs {
            for fault in &run.faults {
                summary.injected += 1;
                match fault.named_after {
                    Some(seconds) => {
                        println!("named: {} after {seconds:.2} s", fault.cause);
                        summary.seconds.push(seconds);
                    }
                    None => println!("not named: {}", fault.cause),
                }
            }
            summary.strays += run.strays.len();
            for stray in &run.strays {
                println!("named besides: {stray}");
            }
        }
        summary.seconds.sort_by(f64::total_cmp);
        summary
    }

    fn worst(&self) -> f64 {
        self.seconds.last().copied().unwrap_or(f64::NAN)
    }

    fn median(&self) -> f64 {
        self.seconds
            .get(self.seconds.len() / 2)
            .copied()
            .unwrap_or(f64::NAN)
    }
}

fn print_baseline(
    name: &str,
    count: fn(&DetectorCounts) -> usize,
    quiet: &QuietCounts,
    faults: &FaultCounts,
) {
    println!(
        "baseline {name}: false_per_hour={:.2} named within 5 s={}/{}",
        count(&quiet.false_events) as f64 / QUIET_HOURS as f64,
        count(&faults.named),
        faults.faults
    );
}

/// The upper bound at 95% of a Poisson mean after this many events, by its usual approximation.
fn poisson_upper_95(events: usize) -> f64 {
    let events = events as f64;
    if events == 0.0 {
        3.0
    } else {
        events + 1.645 * (events + 1.0).sqrt() + 1.35
    }
}
