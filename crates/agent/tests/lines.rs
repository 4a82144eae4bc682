//! Time lines of the agent itself, on loopback: one that is stopped for two seconds blames nobody, and says so.
use std::path::Path;

use lilacgate_test_bed::lines::stopped;

#[test]
fn an_agent_that_stood_still_blames_nobody() {
    let (said, knows) = stopped(Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"))).expect("a town");
    assert_eq!((said, knows), (Vec::new(), true));
}
