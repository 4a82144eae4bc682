//! The steps of a scenario that check what was decided.
use lilacgate_decision::{EndpointId, SequentialTest, SequentialTestSettings};

use super::player::Player;
use super::words::number;

/// All words that a decision may begin with.
const DECISIONS: [&str; 8] = [
    "cancel",
    "close-idle-connections",
    "fail",
    "reject",
    "send",
    "send-to-peer",
    "vote",
    "watch",
];

impl Player {
    /// Plays a check; false if there is none of that name and form.
    pub(super) fn check(&self, name: &str, arguments: &[&str]) -> bool {
        let recorder = &self.recorder;
        match (name, arguments) {
            ("expect", decision) => assert!(
                count(&recorder.recent, decision) > 0,
                "not in {:?}",
                recorder.recent
            ),
            ("never", decision) => assert!(
                count(&recorder.recent, decision) == 0,
                "in {:?}",
                recorder.recent
            ),
            ("ever", decision) => {
                assert!(count(&recorder.all, decision) > 0, "never since the start");
            }
            ("most", [most, decision @ ..]) => {
                let (most, seen) = (number::<usize>(most), count(&recorder.all, decision));
                assert!(
                    seen <= most,
                    "seen {seen} times, last {:?}",
                    recorder.recent
                );
            }
            ("noted", text) => {
                let text = text.join(" ");
                assert!(
                    recorder
                        .diagnostics
                        .iter()
                        .any(|diagnostic| diagnostic.contains(&text)),
                    "{:?}",
                    recorder.diagnostics
                );
            }
            ("test", [x_bad, x_all, y_bad, y_all, "p", p]) => {
                let baseline = Counts::new(x_bad, x_all);
                let canary = Counts::new(y_bad, y_all);
                check_p_value(baseline, canary, number(p));
            }
            _ => return false,
        }
        true
    }
}

/// How many of the decisions begin with these words; `*` stands for any.
fn count(decisions: &[String], words: &[&str]) -> usize {
    let first = words.first().expect("a decision");
    assert!(DECISIONS.contains(first), "no decision {first}");
    let fits = |decision: &&String| {
        let decided: Vec<&str> = decision.split(' ').collect();
        decided.len() >= words.len()
            && words
                .iter()
                .zip(decided)
                .all(|(wanted, decided)| *wanted == "*" || *wanted == decided)
    };
    decisions.iter().filter(fits).count()
}

#[derive(Clone, Copy)]
struct Counts {
    bad: u32,
    all: u32,
}

impl Counts {
    fn new(bad: &str, all: &str) -> Self {
        Counts {
            bad: number(bad),
            all: number(all),
        }
    }
}

/// Checks the sequential test by itself: bad outcomes come first in the baseline and last in the canary.
fn check_p_value(baseline: Counts, canary: Counts, expected: f64) {
    let mut test = SequentialTest::new(SequentialTestSettings {
        tolerated_difference: 0.02,
        mixing_deviation: 0.1,
        level: 0.05,
    });
    for i in 0..baseline.all {
        test.observe(None, 1.0, f64::from(u8::from(i < baseline.bad)));
    }
    for i in 0..canary.all {
        let bad = i >= canary.all - canary.bad;
        test.observe(Some(EndpointId(1)), 1.0, f64::from(u8::from(bad)));
    }
    let p = test.p_value();
    assert!((p - expected).abs() < 1e-4, "p is {p}");
}
