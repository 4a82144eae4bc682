//! Planned restarts on loopback: SIGTERM under traffic on connections that are never idle, with new ones coming and an
//! endpoint that takes requests and does not answer. Whatever was accepted gets one complete answer in time, and the
//! agent exits by itself before it may be killed.
use std::path::Path;
use std::time::Duration;

use lilacgate_test_bed::check::{Terms, check};
use lilacgate_test_bed::town::{Manners, State, Town, Traffic};
use rstest::rstest;

/// The longest deadline of the test bed's settings, and what the platform allows beside it.
const KILL_TIMEOUT: Duration = Duration::from_millis(1000 + 700);
/// How much later a loaded machine may be.
const SLACK: Duration = Duration::from_millis(500);

#[rstest]
#[case::busy(24, 0, false)]
#[case::a_node_hangs(24, 0, true)]
#[case::with_pauses(40, 40, true)]
fn nothing_taken_is_lost_at_a_restart(
    #[case] clients: usize,
    #[case] pause: u64,
    #[case] hangs: bool,
) {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let released = State {
        build: 1,
        stage: 3,
        course: "Healthy",
        cap: 1.0,
    };
    let mut town = Town::new(program, 11, released, Box::new(|_, _, _, _| None));
    for zone in [0, 0, 1, 1] {
        town.node(Manners::good(1, zone, Duration::from_millis(20)));
    }
    assert!(town.up(false));
    if hangs {
        town.change(3, |manners| manners.silent = true);
    }
    let (pause, deadline) = (Duration::from_millis(pause), Duration::from_millis(1000));
    town.open(Traffic {
        clients,
        pause,
        deadline,
    });
    for _ in 0..2 {
        town.pass(Duration::from_millis(600));
        let (gone, log) = town.ends_within(KILL_TIMEOUT + SLACK);
        assert!(gone && log.contains("with 0 requests in hand"), "{log}");
        assert!(town.up(false));
    }
    town.pass(Duration::from_millis(300));
    town.close();
    // On a loaded machine an answer may come up to half a second after its deadline.
    let verdict = check(
        &town.record.events(),
        &Terms {
            slack: SLACK,
            ..Terms::default()
        },
    );
    assert!(verdict.settled > 500 && verdict.lost == 0, "{verdict:?}");
}
