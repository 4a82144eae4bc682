//! Timelines of an agent on loopback: an agent that is suspended for two seconds reports no departure of an endpoint,
//! and records that it was suspended.
use std::path::Path;

use lilacgate_test_bed::measure_timeline::suspend_agent;

#[test]
fn a_suspended_agent_reports_no_departure() {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let report = suspend_agent(program).expect("a test bed");
    assert_eq!((report.departures, report.recorded), (Vec::new(), true));
}
