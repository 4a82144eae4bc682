//! Whether an attempt may still be written, decided directly before each write.
use std::time::Duration;

use lilacgate_decision::{WriteLimits, WriteStep, WriteTiming};
use rstest::rstest;

/// When the first attempt was decided on.
const FIRST_ATTEMPT: Duration = Duration::from_secs(1000);
const WINDOW: Duration = Duration::from_secs(3);
/// The longest hold-up that an agent has to bear, and what the rule on repeats allows beyond the window.
const LONGEST_HOLD_UP: Duration = Duration::from_millis(150);
const RULE_SLACK: Duration = Duration::from_millis(50);
/// The time between two writes that a hold-up would make too late.
const INTERVAL: Duration = Duration::from_micros(250);
const TIMEOUT: Duration = Duration::from_secs(9);

/// An instant this many milliseconds after the first attempt.
fn at(milliseconds: u64) -> Duration {
    FIRST_ATTEMPT + Duration::from_millis(milliseconds)
}

/// The limits of a repeat that was decided on at this instant.
fn repeat(decided_at: Duration) -> WriteLimits {
    WriteLimits {
        decided_at,
        deadline: FIRST_ATTEMPT + TIMEOUT,
        send_by: Some(FIRST_ATTEMPT + WINDOW),
    }
}

/// Guards against repeats that endpoints run again: an agent that was held up after its decision wrote them after the
/// window. A first attempt has no window.
#[rstest]
#[case::in_time(2850, 2850, WriteStep::Write)]
#[case::last_moment(2999, 2999, WriteStep::Write)]
#[case::held_up(2950, 3090, WriteStep::TooLate)]
#[case::at_the_end(2999, 3000, WriteStep::TooLate)]
fn repeats_are_written_within_their_window(
    #[case] decided_at: u64,
    #[case] now: u64,
    #[case] expected: WriteStep,
) {
    let now = at(now);
    let step = WriteTiming::default().begin(now, repeat(at(decided_at)), None);
    assert_eq!(step, expected);
    let first_attempt = WriteLimits {
        send_by: None,
        ..repeat(now)
    };
    let step = WriteTiming::default().begin(now, first_attempt, None);
    assert_eq!(step, WriteStep::Write);
}

/// Guards against attempts that are written after their own deadline, and tell their endpoint that no time is left.
#[test]
fn nothing_is_written_after_its_deadline() {
    let deadline = FIRST_ATTEMPT + TIMEOUT;
    for send_by in [None, Some(deadline + WINDOW)] {
        let limits = WriteLimits {
            decided_at: deadline,
            deadline,
            send_by,
        };
        let step = WriteTiming::default().begin(deadline, limits, None);
        assert_eq!(step, WriteStep::TooLate);
    }
}

/// Guards against bursts of writes that a hold-up would make too late: whenever one begins between the decision and the
/// system call, at most one write meets it, and writes are so rare that hardly any does.
#[test]
fn writes_that_a_hold_up_would_make_late_are_spaced() {
    let mut timing = WriteTiming::default();
    let (mut written, mut waiting, mut too_late) = (Vec::new(), Vec::new(), 0);
    for _ in 0..200 {
        match timing.begin(at(2950), repeat(at(2950)), None) {
            WriteStep::Write => written.push(at(2950)),
            WriteStep::WaitUntil(time) => waiting.push(time),
            step => {
                assert_eq!(step, WriteStep::TooLate);
                too_late += 1;
            }
        }
    }
    for time in waiting {
        assert_eq!(
            timing.begin(time, repeat(at(2950)), Some(time)),
            WriteStep::Write
        );
        written.push(time);
    }
    assert!(written.len() >= 60 && too_late > 0, "{written:?}");
    for pair in written.windows(2) {
        assert!(pair[1] - pair[0] >= INTERVAL, "{pair:?}");
    }
}

/// Writes that no hold-up of the longest kind can make too late are not spaced.
#[test]
fn writes_that_a_hold_up_leaves_in_time_are_not_spaced() {
    let mut timing = WriteTiming::default();
    let mut now = at(2500);
    let latest = FIRST_ATTEMPT + WINDOW + RULE_SLACK - LONGEST_HOLD_UP;
    while now < latest {
        for _ in 0..60 {
            assert_eq!(timing.begin(now, repeat(now), None), WriteStep::Write);
        }
        now += Duration::from_millis(1);
    }
    assert_eq!(timing.begin(latest, repeat(latest), None), WriteStep::Write);
    let step = timing.begin(latest, repeat(latest), None);
    assert_eq!(step, WriteStep::WaitUntil(latest + INTERVAL));
}

/// Guards against a burst after a hold-up that all waiting attempts have slept through.
#[test]
fn a_reserved_instant_that_has_passed_is_reserved_anew() {
    let mut timing = WriteTiming::default();
    let decide =
        |timing: &mut WriteTiming, now, reserved| timing.begin(now, repeat(at(2910)), reserved);
    assert_eq!(decide(&mut timing, at(2910), None), WriteStep::Write);
    for place in 1..5 {
        let step = decide(&mut timing, at(2910), None);
        assert_eq!(step, WriteStep::WaitUntil(at(2910) + INTERVAL * place));
    }
    let late = at(2930);
    let slept_through = [1, 2].map(|place| Some(at(2910) + INTERVAL * place));
    let step = decide(&mut timing, late, slept_through[0]);
    assert_eq!(step, WriteStep::Write);
    let step = decide(&mut timing, late, slept_through[1]);
    assert_eq!(step, WriteStep::WaitUntil(late + INTERVAL));
}

/// Guards against carrying out a decision that a hold-up has made old: the client may have left meanwhile, or the endpoint
/// be draining.
#[rstest]
#[case::soon(10, WriteStep::Write)]
#[case::held_up(100, WriteStep::Confirm)]
fn an_old_decision_is_confirmed(#[case] age: u64, #[case] expected: WriteStep) {
    for send_by in [None, Some(FIRST_ATTEMPT + WINDOW)] {
        let limits = WriteLimits {
            send_by,
            ..repeat(at(0))
        };
        let step = WriteTiming::default().begin(at(age), limits, None);
        assert_eq!(step, expected);
    }
}

/// Guards against telling an endpoint more time than its client has left, where the request takes long to write.
#[rstest]
#[case::in_time(2500, 2550, true)]
#[case::told_too_much(2500, 2600, false)]
#[case::after_the_window(2990, 3000, false)]
fn the_rest_of_a_request_is_written_in_time(
    #[case] encoded_at: u64,
    #[case] now: u64,
    #[case] expected: bool,
) {
    let limits = repeat(at(encoded_at));
    let may_continue = WriteTiming::may_continue(at(now), limits, at(encoded_at));
    assert_eq!(may_continue, expected);
}
