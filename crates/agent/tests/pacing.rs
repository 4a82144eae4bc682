//! Properties of the pace of calls to discovery, for any sequence of call results.
use std::time::Duration;

use lilacgate_agent::pacing::{CallEnd, MAX_CALL_INTERVAL, MIN_CALL_INTERVAL, Pacing};
use proptest::prelude::*;

const INITIAL_STALL_TIMEOUT: Duration = Duration::from_millis(250);
const MAX_STALL_TIMEOUT: Duration = Duration::from_millis(2500);

fn any_end() -> impl Strategy<Value = CallEnd> {
    prop_oneof![
        Just(CallEnd::Answered),
        Just(CallEnd::Unanswered),
        Just(CallEnd::Stalled)
    ]
}

fn any_calls() -> impl Strategy<Value = Vec<(CallEnd, Duration)>> {
    let lasted = (0..4000u64).prop_map(Duration::from_millis);
    prop::collection::vec((any_end(), lasted), 1..40)
}

proptest! {
    /// Two calls begin at least the shortest interval apart, however fast they fail.
    #[test]
    fn calls_are_spaced_by_the_shortest_interval(calls in any_calls()) {
        let mut pacing = Pacing::new(INITIAL_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
        for (end, lasted) in calls {
            prop_assert!(lasted + pacing.pause_after(end, lasted) >= MIN_CALL_INTERVAL);
        }
    }

    /// A call that lasted long is followed at once, and no pause is longer than the longest interval: whatever failed
    /// before, a call begins within that time after the end of the call before it.
    #[test]
    fn a_long_call_is_followed_at_once(calls in any_calls()) {
        let mut pacing = Pacing::new(INITIAL_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
        for (end, lasted) in calls {
            let pause = pacing.pause_after(end, lasted);
            prop_assert!(pause <= MAX_CALL_INTERVAL);
            prop_assert!(lasted < MAX_CALL_INTERVAL || pause.is_zero());
        }
    }

    /// The timeout for the rest of a message grows only while messages stall, up to its limit, and returns to its
    /// initial value after the first complete list.
    #[test]
    fn the_stall_timeout_is_bounded(calls in any_calls()) {
        let mut pacing = Pacing::new(INITIAL_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
        for (end, lasted) in calls {
            let before = pacing.stall_timeout();
            pacing.pause_after(end, lasted);
            let after = pacing.stall_timeout();
            match end {
                CallEnd::Answered => prop_assert_eq!(after, INITIAL_STALL_TIMEOUT),
                CallEnd::Unanswered => prop_assert_eq!(after, before),
                CallEnd::Stalled => prop_assert_eq!(after, (before * 2).min(MAX_STALL_TIMEOUT)),
            }
        }
    }
}

#[test]
fn reset_restores_the_initial_pace() {
    let mut pacing = Pacing::new(INITIAL_STALL_TIMEOUT, MAX_STALL_TIMEOUT);
    for _ in 0..10 {
        pacing.pause_after(CallEnd::Stalled, Duration::ZERO);
    }
    assert_eq!(pacing.stall_timeout(), MAX_STALL_TIMEOUT);
    pacing.reset();
    assert_eq!(pacing.stall_timeout(), INITIAL_STALL_TIMEOUT);
    assert_eq!(
        pacing.pause_after(CallEnd::Unanswered, Duration::ZERO),
        MIN_CALL_INTERVAL * 2
    );
}
