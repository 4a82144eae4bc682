//! A short soak: as many runs as fit into a minute, always with the same seeds. The long soak is started by hand with
//! `make soak`.
use std::path::Path;
use std::time::Duration;

use lilacgate_test_bed::soak;

#[test]
fn a_minute_of_faults_breaks_no_rule() {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let report = soak::run(program, 1..100, Some(Duration::from_secs(60)));
    assert!(report.is_clean(), "{report:#?}");
    assert!(report.check.succeeded > 500, "{report:#?}");
}
