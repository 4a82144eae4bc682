//! One scripted day of releases of each kind, on loopback against the agent itself: no build gets an attempt that the
//! operator's rules forbid, no request is lost, doubled or wrongly closed. The same days without the operator's file
//! show that the check can tell.
use std::path::Path;

use lilacgate_test_bed::check::CheckReport;
use lilacgate_test_bed::release_scenarios::ReleaseScenario;

fn days(with_operator: bool) -> CheckReport {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let mut all = CheckReport::default();
    // A few at a time: each has some thirty threads.
    for few in ReleaseScenario::ALL.chunks(4) {
        let day = |kind: ReleaseScenario| {
            std::thread::spawn(move || (kind, kind.run(7, program, with_operator)))
        };
        for day in few.iter().map(|kind| day(*kind)).collect::<Vec<_>>() {
            let (kind, report) = day.join().expect("a day");
            let report = report.unwrap_or_else(|fault| panic!("{kind:?}: {fault}"));
            println!("{kind:?}: {report:?}");
            assert!(report.succeeded > 200, "{kind:?}: {report:?}");
            assert!(!with_operator || report.is_clean(), "{kind:?}: {report:?}");
            all.merge(&report);
        }
    }
    all
}

#[test]
fn nothing_forbidden_lost_or_doubled() {
    assert!(days(true).is_clean());
}

#[test]
fn the_days_can_tell() {
    assert!(days(false).forbidden_attempts > 1000);
}
