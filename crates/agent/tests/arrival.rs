//! Laws of the earliest time at which input may have arrived, by the phase in which the event loop learned of it.
use std::time::{Duration, Instant};

use lilacgate_agent::loop_monitor::{HoldUp, LoopPhase};
use proptest::prelude::{Strategy, proptest};
use rstest::rstest;

/// A phase whose previous pass, wait and pass began at these milliseconds after `zero`.
fn phase(zero: Instant, starts: [u64; 3], is_pass_running: bool) -> LoopPhase {
    let [previous_pass_started, wait_started, pass_started] =
        starts.map(|start| zero + Duration::from_millis(start));
    LoopPhase {
        previous_pass_started,
        pass_started,
        wait_started,
        is_pass_running,
        hold_up: None,
    }
}

/// After a hold-up that ended at 900, behind a look at 100, a thread reports late what came meanwhile.
#[rstest]
#[case::amid_the_next_wait(950, 100)]
#[case::within_the_time_for_late_reports(1_100, 100)]
#[case::later(1_101, 1_101)]
fn reports_after_a_hold_up(#[case] reported: u64, #[case] expected: u64) {
    let zero = Instant::now();
    let after = |milliseconds| zero + Duration::from_millis(milliseconds);
    let hold_up = HoldUp {
        polled_at: after(100),
        reported_until: after(1_100),
    };
    let waiting = LoopPhase {
        hold_up: Some(hold_up),
        ..phase(zero, [900, 1_050, 1_049], false)
    };
    assert_eq!(waiting.earliest_arrival(after(reported)), after(expected));
}

#[rstest]
// A wait that was over at once: the input came while the pass before it ran.
#[case::during_a_long_pass([0, 700, 100], false, 700, 100)]
// Amid a wait that the heartbeat had not ended yet.
#[case::during_a_wait([0, 150, 100], false, 200, 200)]
// The heartbeat should have ended the wait: the process did not run, and the input may have come at its beginning.
#[case::while_stopped([0, 101, 100], false, 900, 100)]
// Reported while a pass runs, by the look for events that began it: what holds for the wait before it.
#[case::beside_the_pass_after_a_stop([100, 101, 900], true, 901, 100)]
#[case::beside_the_pass_after_a_wait([100, 101, 160], true, 161, 161)]
// Reported later in a pass: it came after the look that began the pass.
#[case::late_in_a_pass([100, 101, 160], true, 400, 160)]
fn the_earliest_arrival(
    #[case] starts: [u64; 3],
    #[case] is_pass_running: bool,
    #[case] reported: u64,
    #[case] expected: u64,
) {
    let zero = Instant::now();
    let after = |milliseconds| zero + Duration::from_millis(milliseconds);
    let earliest = phase(zero, starts, is_pass_running).earliest_arrival(after(reported));
    assert_eq!(earliest - zero, after(expected) - zero);
}

/// A pass, the wait behind it, and when input came after the pass began: all in milliseconds.
fn pass_wait_and_arrival() -> impl Strategy<Value = (u64, u64, u64)> {
    (0_u64..2_000, 0_u64..2_000).prop_flat_map(|(pass, wait)| {
        let arrivals = 0..=pass + wait;
        arrivals.prop_map(move |arrival| (pass, wait, arrival))
    })
}

proptest! {
    /// Input that came while a pass or a wait was held up is never taken for much younger than it is.
    #[test]
    fn input_is_never_taken_for_much_younger((pass, wait, arrival) in pass_wait_and_arrival()) {
        const HEARTBEAT: u64 = 125;
        let zero = Instant::now();
        // What came during the pass ends the wait at once; so does the heartbeat, unless the process is stopped.
        let wait = if arrival <= pass { 0 } else { wait };
        let phase = phase(zero, [0, pass, 0], false);
        let earliest = phase.earliest_arrival(zero + Duration::from_millis(pass + wait));
        let latest_true_arrival = zero + Duration::from_millis(arrival + HEARTBEAT);
        assert!(earliest <= latest_true_arrival, "{earliest:?} {latest_true_arrival:?}");
    }
}
