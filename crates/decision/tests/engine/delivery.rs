//! Whether an attempt goes on that has been written, but that its endpoint has not got yet.
use std::time::Duration;

use lilacgate_decision::{DeliveryLimits, DeliveryProgress, DeliveryStep, Outcome};
use rstest::rstest;

use DeliveryProgress::{Delivered, InTransit, Unsent};
use DeliveryStep::{Await, CheckAt, GiveUp};

/// When the attempt was written.
const WRITTEN: Duration = Duration::from_secs(1000);
const WINDOW: Duration = Duration::from_secs(3);
/// The longest hold-up that an agent has to bear, and what the rules on windows and on clients that left allow beyond them.
const LONGEST_HOLD_UP: Duration = Duration::from_millis(150);
const RULE_SLACK: Duration = Duration::from_millis(50);
const CLIENT_GONE_LIMIT: Duration = Duration::from_millis(100);
const MILLISECOND: Duration = Duration::from_millis(1);

/// An instant this many milliseconds after the write.
fn at(milliseconds: u64) -> Duration {
    WRITTEN + Duration::from_millis(milliseconds)
}

fn limits() -> DeliveryLimits {
    DeliveryLimits {
        encoded_at: WRITTEN,
        written_at: WRITTEN,
        send_by: None,
        request_over_at: None,
    }
}

fn over_at(milliseconds: u64) -> DeliveryLimits {
    DeliveryLimits {
        request_over_at: Some(at(milliseconds)),
        ..limits()
    }
}

/// A repeat whose window ends this many milliseconds after its write.
fn repeat(milliseconds: u64) -> DeliveryLimits {
    DeliveryLimits {
        send_by: Some(at(milliseconds)),
        ..limits()
    }
}

/// Guards against requests that run late: what has not left this machine is given up at the first limit, and cannot have run;
/// what may have been received is given up a little later, and may have run. What is delivered goes on.
#[rstest]
#[case::before_all_limits(limits(), 99, Unsent, CheckAt(at(100)))]
#[case::told_too_much_time(limits(), 100, Unsent, GiveUp(Outcome::ConnectFailed))]
#[case::in_transit_without_limit(limits(), 900, InTransit, Await)]
#[case::delivered(limits(), 900, Delivered, Await)]
#[case::client_gone(over_at(20), 20, Unsent, GiveUp(Outcome::NotSent))]
#[case::client_gone_in_transit(over_at(20), 20, InTransit, CheckAt(at(65)))]
#[case::client_gone_not_acknowledged(over_at(20), 65, InTransit, GiveUp(Outcome::Cancelled))]
#[case::client_gone_delivered(over_at(20), 900, Delivered, Await)]
#[case::window(repeat(150), 49, Unsent, CheckAt(at(50)))]
#[case::window_over(repeat(150), 50, Unsent, GiveUp(Outcome::NotSent))]
#[case::window_over_in_transit(repeat(150), 50, InTransit, GiveUp(Outcome::TimedOut))]
#[case::written_in_the_margin(repeat(30), 0, Unsent, GiveUp(Outcome::NotSent))]
#[case::written_in_the_margin_in_transit(repeat(30), 10, InTransit, CheckAt(at(45)))]
#[case::margin_not_acknowledged(repeat(30), 45, InTransit, GiveUp(Outcome::TimedOut))]
#[case::window_over_delivered(repeat(150), 900, Delivered, Await)]
fn undelivered_attempts_are_given_up(
    #[case] limits: DeliveryLimits,
    #[case] now: u64,
    #[case] progress: DeliveryProgress,
    #[case] expected: DeliveryStep,
) {
    assert_eq!(limits.step(at(now), progress), expected);
}

/// The limits come from the rules: a hold-up of the host that begins just before a look makes a repeat too late by no more than
/// the rule allows, and what is undelivered when a client leaves is given up in time. A host that looks when it is told to
/// looks in time.
#[test]
fn looks_are_early_enough() {
    let mut repeat = limits();
    repeat.send_by = Some(WRITTEN + WINDOW);
    let check = |limits: &DeliveryLimits, progress| match limits.step(WRITTEN, progress) {
        CheckAt(instant) => instant,
        step => panic!("{step:?}"),
    };
    for progress in [Unsent, InTransit] {
        let look = check(&repeat, progress) + LONGEST_HOLD_UP;
        assert!(look <= WRITTEN + WINDOW + RULE_SLACK);
    }
    let left = over_at(0);
    assert!(check(&left, InTransit) <= WRITTEN + CLIENT_GONE_LIMIT);
    assert_eq!(limits().first_check(), CheckAt(at(100)));
    assert_eq!(
        repeat.step(WRITTEN + WINDOW - MILLISECOND, Unsent),
        GiveUp(Outcome::ConnectFailed)
    );
}
