//! Time lines of the agent itself, on loopback: one that is stopped for two seconds blames nobody, and says so.
use std::path::Path;

use lilacgate_test_bed::measure_timeline::suspend_agent;

#[test]
fn an_agent_that_stood_still_blames_nobody() {
    let report = suspend_agent(Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"))).expect("a run");
    assert_eq!((report.departures, report.recorded), (Vec::new(), true));
}
