//! Time lines of the agent itself, on loopback: an agent that is stopped for two seconds blames no endpoint, and says
//! that it was stopped.
use std::path::Path;

use lilacgate_test_bed::measure_timeline::suspend_agent;

#[test]
fn an_agent_that_stood_still_blames_nobody() {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let report = suspend_agent(program).expect("a test bed");
    assert_eq!((report.departures, report.recorded), (Vec::new(), true));
}
