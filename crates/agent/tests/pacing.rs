//! Properties of the pace of calls to discovery, over any order of their ends.
use std::time::Duration;

use lilacgate_agent::pacing::{CallEnd, LONGEST_GAP, Pacing, SHORTEST_GAP};
use proptest::prelude::*;

const FIRST_STALL: Duration = Duration::from_millis(250);
const LONGEST_STALL: Duration = Duration::from_millis(2500);

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
    /// Two calls begin no sooner than the shortest gap after each other, however fast they fail.
    #[test]
    fn calls_never_come_in_a_rush(calls in any_calls()) {
        let mut pacing = Pacing::new(FIRST_STALL, LONGEST_STALL);
        for (end, lasted) in calls {
            prop_assert!(lasted + pacing.pause_after(end, lasted) >= SHORTEST_GAP);
        }
    }

    /// A call that was waited for long is followed at once, and no pause is longer than the longest gap: whatever
    /// failed before, a call begins within that time of the end of the one before it.
    #[test]
    fn a_long_wait_is_followed_at_once(calls in any_calls()) {
        let mut pacing = Pacing::new(FIRST_STALL, LONGEST_STALL);
        for (end, lasted) in calls {
            let pause = pacing.pause_after(end, lasted);
            prop_assert!(pause <= LONGEST_GAP);
            prop_assert!(lasted < LONGEST_GAP || pause.is_zero());
        }
    }

    /// The wait for the rest of a message grows only while messages stop short, up to its bound, and is back at its
    /// start after the first list that came whole.
    #[test]
    fn the_stall_is_bounded(calls in any_calls()) {
        let mut pacing = Pacing::new(FIRST_STALL, LONGEST_STALL);
        for (end, lasted) in calls {
            let before = pacing.stall();
            pacing.pause_after(end, lasted);
            let after = pacing.stall();
            match end {
                CallEnd::Answered => prop_assert_eq!(after, FIRST_STALL),
                CallEnd::Unanswered => prop_assert_eq!(after, before),
                CallEnd::Stalled => prop_assert_eq!(after, (before * 2).min(LONGEST_STALL)),
            }
        }
    }
}

#[test]
fn after_a_move_the_pace_is_that_of_a_start() {
    let mut pacing = Pacing::new(FIRST_STALL, LONGEST_STALL);
    for _ in 0..10 {
        pacing.pause_after(CallEnd::Stalled, Duration::ZERO);
    }
    assert_eq!(pacing.stall(), LONGEST_STALL);
    pacing.moved();
    assert_eq!(pacing.stall(), FIRST_STALL);
    assert_eq!(
        pacing.pause_after(CallEnd::Unanswered, Duration::ZERO),
        SHORTEST_GAP * 2
    );
}
