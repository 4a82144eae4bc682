//! Runs one scripted day of releases of each kind on loopback, with the agent as a process: no build gets an attempt
//! that the operator's rules forbid, and no request is lost, duplicated or closed wrongly. The same days without the
//! operator's file show that the check detects forbidden attempts.
use std::path::Path;

use lilacgate_test_bed::check::CheckReport;
use lilacgate_test_bed::release_scenarios::ReleaseScenario;

fn days(with_operator: bool) -> CheckReport {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let mut all = CheckReport::default();
    // Only a few days run at a time, since each has about thirty threads.
    for batch in ReleaseScenario::ALL.chunks(4) {
        let day = |kind: ReleaseScenario| {
            std::thread::spawn(move || (kind, kind.run(7, program, with_operator)))
        };
        for day in batch.iter().map(|kind| day(*kind)).collect::<Vec<_>>() {
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
fn no_forbidden_attempt_and_no_lost_or_duplicated_request() {
    assert!(days(true).is_clean());
}

#[test]
fn forbidden_attempts_are_detected_without_rules() {
    assert!(days(false).forbidden_attempts > 1000);
}
