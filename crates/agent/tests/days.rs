//! One scripted day of releases of each kind, on loopback against the agent itself: no build gets an attempt that the
//! operator's rules forbid, no request is lost, doubled or wrongly closed. The same days without the operator's file
//! show that the check can tell.
use std::path::Path;

use lilacgate_test_bed::check::Verdict;
use lilacgate_test_bed::days::{KINDS, play};

fn days(with_operator: bool) -> Verdict {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let mut all = Verdict::default();
    // A few at a time: each has some thirty threads.
    for few in KINDS.chunks(4) {
        let day = |kind| std::thread::spawn(move || (kind, play(kind, 7, program, with_operator)));
        for day in few.iter().map(|kind| day(*kind)).collect::<Vec<_>>() {
            let (kind, verdict) = day.join().expect("a day");
            let verdict = verdict.unwrap_or_else(|fault| panic!("{kind:?}: {fault}"));
            println!("{kind:?}: {verdict:?}");
            assert!(verdict.settled > 200, "{kind:?}: {verdict:?}");
            assert!(
                !with_operator || verdict.is_clean(),
                "{kind:?}: {verdict:?}"
            );
            all.add(&verdict);
        }
    }
    all
}

#[test]
fn nothing_forbidden_lost_or_doubled() {
    assert!(days(true).is_clean());
}

#[test]
fn the_days_can_tell() {
    assert!(days(false).forbidden > 1000);
}
