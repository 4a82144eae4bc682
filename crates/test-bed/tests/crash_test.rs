//! The store under `kill -9`, twenty times: all that was said to be stored is found.
use std::path::Path;

use lilacgate_test_bed::crash_test::{CrashTestReport, run};

#[test]
fn nothing_that_was_synced_is_lost() {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-test-bed"));
    let report = run(program, 20, 7).expect("writers start and the store can be read");
    assert_eq!(
        report,
        CrashTestReport {
            kills: 20,
            lost_records: 0
        }
    );
}
