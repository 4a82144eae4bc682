//! Planned restarts on loopback: SIGTERM while clients send requests without pause, new connections arrive and an
//! endpoint accepts requests without answering. Every accepted request must get one complete answer in time, and the
//! agent must exit by itself before it may be killed.
use std::path::Path;
use std::time::Duration;

use lilacgate_test_bed::check::{CheckLimits, check};
use lilacgate_test_bed::client::Traffic;
use lilacgate_test_bed::endpoint_server::EndpointBehavior;
use lilacgate_test_bed::release_control_plane::{ReleaseState, ignore_votes};
use lilacgate_test_bed::test_bed::{AgentTermination, TestBed};
use rstest::rstest;

/// When a planned restart may kill the agent: the longest deadline of the test bed's settings, and 700 ms more.
const KILL_TIMEOUT: Duration = Duration::from_millis(1000 + 700);
/// How much later events may happen on a loaded machine.
const SLACK: Duration = Duration::from_millis(500);

#[rstest]
#[case::busy(24, 0, false)]
#[case::an_endpoint_hangs(24, 0, true)]
#[case::with_pauses(40, 40, true)]
fn no_accepted_request_is_lost_at_a_restart(
    #[case] clients: usize,
    #[case] pause: u64,
    #[case] hangs: bool,
) {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let mut bed = TestBed::new(program, 11, ReleaseState::released(1), ignore_votes());
    for zone in [0, 0, 1, 1] {
        bed.add_endpoint(EndpointBehavior::healthy(
            1,
            zone,
            Duration::from_millis(20),
        ));
    }
    bed.start_agent(false).expect("the agent serves");
    if hangs {
        bed.change_behavior(3, |behavior| behavior.silent = true);
    }
    let (pause, deadline) = (Duration::from_millis(pause), Duration::from_millis(1000));
    bed.start_clients(Traffic {
        clients,
        mean_pause: pause,
        deadline,
    });
    for _ in 0..2 {
        bed.wait(Duration::from_millis(600));
        let AgentTermination { exited, log } = bed.terminate_agent(KILL_TIMEOUT + SLACK);
        assert!(exited && log.contains(" unanswered_requests=0\n"), "{log}");
        bed.start_agent(false).expect("the agent serves");
    }
    bed.wait(Duration::from_millis(300));
    bed.shut_down();
    // On a loaded machine an answer may arrive up to `SLACK` after its deadline.
    let report = check(
        &bed.event_log.events(),
        &CheckLimits {
            answer_slack: SLACK,
            ..CheckLimits::default()
        },
    );
    assert!(report.succeeded > 500 && report.lost == 0, "{report:?}");
}
