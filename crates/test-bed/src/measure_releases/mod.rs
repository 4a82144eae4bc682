//! The measurement of releases: all scenarios on loopback many times, with the operator's file and without it, and the
//! release gate by itself at a large size.
mod gate_cost;

use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use crate::check::CheckReport;
use crate::listener::lock;
use crate::release_scenarios::ReleaseScenario;

/// How often each scenario runs, each time with another seed.
const RUNS_OF_EACH: u64 = 9;
const FIRST_SEED: u64 = 1000;
/// How many runs there are at a time.
const PARALLEL_RUNS: usize = 18;
const MAX_VIOLATIONS: usize = 20;

/// Measures, and prints the line of figures last. Whether no rule was broken with the operator's file, and the same
/// runs without it show that the checker can tell.
///
/// # Panics
/// If stand-ins cannot be started or files cannot be written.
pub fn run(program: &Path) -> bool {
    let began = Instant::now();
    let gate = gate_cost::measure();
    let baseline = run_all(program, false).report;
    println!(
        "baseline, the same days without the operator's file: requests={} forbidden={} worst_stop_ms={:.1} lost={} doubled={}",
        baseline.requests,
        baseline.forbidden_attempts,
        milliseconds(baseline.latest_forbidden_attempt),
        baseline.lost,
        baseline.duplicated
    );
    let Totals { report, runs } = run_all(program, true);
    for violation in report.violations.iter().take(MAX_VIOLATIONS) {
        println!("broken: {violation}");
    }
    println!(
        "measure releases: days={runs} requests={} settled={} declined={} voided={} forbidden={} worst_stop_ms={:.1} lost={} \
         doubled={} broken_rules={} wrongly_closed={} check_ns={:.1} rebuild_us={:.0} \
         baseline_forbidden={} seconds={:.0}",
        report.requests,
        report.succeeded,
        report.rejected,
        report.failed,
        report.forbidden_attempts,
        milliseconds(report.latest_forbidden_attempt),
        report.lost,
        report.duplicated,
        report.violations.len(),
        report.wrongly_rejected,
        gate.check_ns,
        gate.rebuild_us,
        baseline.forbidden_attempts,
        began.elapsed().as_secs_f64()
    );
    report.is_clean() && baseline.forbidden_attempts > 0
}

fn milliseconds(time: Duration) -> f64 {
    time.as_secs_f64() * 1e3
}

/// The reports of all runs together, and how many runs gave one.
#[derive(Default)]
struct Totals {
    report: CheckReport,
    runs: usize,
}

fn run_all(program: &Path, with_operator_file: bool) -> Totals {
    let all: Vec<(ReleaseScenario, u64)> = (0..RUNS_OF_EACH)
        .flat_map(|run| ReleaseScenario::ALL.map(|scenario| (scenario, FIRST_SEED + run)))
        .collect();
    let next = AtomicUsize::new(0);
    let totals = Mutex::new(Totals::default());
    std::thread::scope(|scope| {
        for _ in 0..PARALLEL_RUNS {
            scope.spawn(|| {
                while let Some(&(scenario, seed)) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    match scenario.run(seed, program, with_operator_file) {
                        Ok(report) => {
                            if with_operator_file && !report.is_clean() {
                                println!("{scenario:?} {seed}: {report:?}");
                            }
                            let mut totals = lock(&totals);
                            totals.report.merge(&report);
                            totals.runs += 1;
                        }
                        Err(error) => println!("{scenario:?} {seed}: no report: {error}"),
                    }
                }
            });
        }
    });
    totals
        .into_inner()
        .unwrap_or_else(std::sync::PoisonError::into_inner)
}
