//! Tests the estimate of the earliest time at which input may have arrived, by the phase of the event loop in which it
//! was reported.
use std::time::{Duration, Instant};

use lilacgate_agent::loop_monitor::{HoldUp, LoopMonitor, LoopPhase};
use lilacgate_agent::transport::BacklogTracker;
use proptest::prelude::{Strategy, proptest};
use rstest::rstest;

/// Creates a phase whose previous pass, wait and pass started at these milliseconds after `zero`.
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

/// The loop polled at 100 ms and was then held up until 900 ms. Input that arrived during the hold-up may be reported
/// up to 200 ms after it, and is dated by the poll.
#[rstest]
#[case::during_the_next_wait(950, 100)]
#[case::at_the_end_of_late_reports(1_100, 100)]
#[case::after_late_reports(1_101, 1_101)]
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
// A wait that ended at once: the input arrived during the pass before it.
#[case::during_a_long_pass([0, 700, 100], false, 700, 100)]
// During a wait that is no longer than the heartbeat allows.
#[case::during_a_wait([0, 150, 100], false, 200, 200)]
// The heartbeat should have ended the wait: the process did not run, and the input may have arrived at its start.
#[case::while_stopped([0, 101, 100], false, 900, 100)]
// Reported at the start of a pass, by the poll before it: the same holds as for the wait before the pass.
#[case::start_of_a_pass_after_a_stop([100, 101, 900], true, 901, 100)]
#[case::start_of_a_pass_after_a_wait([100, 101, 160], true, 161, 161)]
// Reported later in a pass: the input arrived after the poll before the pass.
#[case::late_in_a_pass([100, 101, 160], true, 400, 160)]
fn earliest_arrival_by_phase(
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

/// Guards against dating every request of clients that come without pause by the time at which the backlog was last
/// empty: it holds three connections, so the fourth one was still to come when the first one was accepted.
#[test]
fn connections_of_a_backlog_that_never_empties() {
    let listening_since = Instant::now();
    let after = |milliseconds| listening_since + Duration::from_millis(milliseconds);
    let phases = LoopMonitor::default().phases();
    let mut backlog = BacklogTracker::new(phases, listening_since, 2);
    let earliest = [100, 200, 300, 400, 500].map(|accepted| {
        let earliest = backlog.note_accepted(after(accepted));
        (earliest - listening_since).as_millis()
    });
    assert_eq!(earliest, [0, 0, 0, 100, 200]);
}

/// Generates the length of a pass, the length of the wait after it, and the time from the start of the pass to the
/// arrival of input, all in milliseconds.
fn pass_wait_and_arrival() -> impl Strategy<Value = (u64, u64, u64)> {
    (0_u64..2_000, 0_u64..2_000).prop_flat_map(|(pass, wait)| {
        let arrivals = 0..=pass + wait;
        arrivals.prop_map(move |arrival| (pass, wait, arrival))
    })
}

proptest! {
    /// Input that arrived during a long pass or wait is never dated later than its arrival by more than a wait lasts.
    #[test]
    fn input_is_never_dated_much_too_late((pass, wait, arrival) in pass_wait_and_arrival()) {
        // A wait lasts at most for the heartbeat, 100 ms, and the scheduling slack, 25 ms.
        const MAX_WAIT_MS: u64 = 125;
        let zero = Instant::now();
        // Input that arrives during the pass ends the wait at once. A long wait stands for a stopped process.
        let wait = if arrival <= pass { 0 } else { wait };
        let phase = phase(zero, [0, pass, 0], false);
        let earliest = phase.earliest_arrival(zero + Duration::from_millis(pass + wait));
        let latest_allowed = zero + Duration::from_millis(arrival + MAX_WAIT_MS);
        assert!(earliest <= latest_allowed, "dated {earliest:?}, at most {latest_allowed:?}");
    }
}
