//! The store under `kill -9`, twenty times: what was said to be kept is there.
use std::path::Path;

use lilacgate_test_bed::kills::trial;

#[test]
fn nothing_that_was_synced_is_lost() {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-test-bed"));
    assert_eq!(trial(program, 20, 7).expect("it is tried"), (20, 0));
}
