//! The checker of records: each rule is found broken where it is, and nowhere else.
#![allow(clippy::too_many_lines)] // Not met yet.
use std::time::Duration;

use lilacgate_test_bed::check::{Terms, Verdict, check};
use lilacgate_test_bed::record::{Event, Final, Kind, Seen};

fn ms(at: u64) -> Duration {
    Duration::from_millis(at)
}

fn verdict(events: &[(u64, Seen)]) -> Verdict {
    let events: Vec<Event> = events
        .iter()
        .map(|(at, seen)| Event {
            at: ms(*at),
            seen: seen.clone(),
        })
        .collect();
    check(&events, &Terms::default())
}

fn sent(id: u32, kind: Kind) -> Seen {
    Seen::Sent {
        id,
        kind,
        deadline: ms(1000),
    }
}

fn got(id: u32, node: usize, build: u16) -> Seen {
    Seen::Got {
        id,
        node,
        build,
        zone: 0,
    }
}

fn answered(id: u32, how: Final) -> Seen {
    Seen::Answered { id, how }
}

/// Each rule is seen to break when it does, and not before.
#[test]
fn breaks_are_found() {
    let listed = |ready| Seen::Listed {
        node: 1,
        zone: 0,
        build: 1,
        ready,
    };
    let shut = Seen::Forbidden {
        build: 2,
        zone: Some(0),
    };
    let fine = [
        (0, listed(true)),
        (1, sent(1, Kind::Book)),
        (2, got(1, 1, 1)),
        (9, answered(1, Final::Settled)),
    ];
    assert!(verdict(&fine).is_clean());
    let late = verdict(&[
        (0, shut.clone()),
        (1, sent(1, Kind::Read)),
        (240, got(1, 1, 2)),
        (260, got(1, 2, 2)),
    ]);
    assert_eq!(
        (late.forbidden, late.worst_stop, late.doubled, late.lost),
        (1, ms(260), 1, 1)
    );
    let drained = verdict(&[
        (0, listed(false)),
        (1, sent(1, Kind::Read)),
        (251, got(1, 1, 1)),
    ]);
    assert!(drained.broken[0].contains("drained"));
    let done = Seen::Done {
        id: 1,
        node: 1,
        fine: false,
    };
    let twice = [
        (0, sent(1, Kind::Book)),
        (1, got(1, 1, 1)),
        (2, done.clone()),
        (3, got(1, 2, 1)),
    ];
    assert_eq!(verdict(&twice).doubled, 1);
    let again = [
        (0, sent(1, Kind::Read)),
        (1, got(1, 1, 1)),
        (2, done),
        (3, got(1, 2, 1)),
    ];
    assert_eq!(verdict(&again).doubled, 0);
    let after = [
        (0, sent(1, Kind::Read)),
        (1, answered(1, Final::Declined)),
        (2, got(1, 1, 1)),
    ];
    assert!(verdict(&after).broken[0].contains("after its answer"));
    let closed = [
        (0, listed(true)),
        (400, sent(1, Kind::Read)),
        (401, answered(1, Final::Declined)),
    ];
    assert_eq!(verdict(&closed).wrongly_closed, 1);
    let crossed = [(0, sent(1, Kind::Read)), (1, Seen::Crossed { id: 1 })];
    assert!(verdict(&crossed).is_clean());
    let taken = [
        (0, sent(1, Kind::Read)),
        (1, got(1, 1, 1)),
        (2, Seen::Crossed { id: 1 }),
    ];
    assert_eq!(verdict(&taken).lost, 1);
    let killed = [(0, sent(1, Kind::Read)), (1, Seen::Killed)];
    assert_eq!(verdict(&killed).lost, 0);
    let news = Seen::News {
        build: 2,
        stage: 0,
        on_trial: true,
        cap: 0.1,
    };
    let mut many = vec![
        (0, news.clone()),
        (1, sent(0, Kind::Post)),
        (300, got(0, 1, 2)),
    ];
    assert!(verdict(&many).broken[0].contains("with an effect"));
    many.truncate(1);
    many.extend((1..8).flat_map(|id| [(1, sent(id, Kind::Read)), (2, got(id, 1, 2))]));
    assert!(verdict(&many).broken[0].contains("at a cap of"));
    let too_late = [
        (0, sent(1, Kind::Read)),
        (1151, answered(1, Final::Settled)),
    ];
    assert_eq!(verdict(&too_late).lost, 1);
}
