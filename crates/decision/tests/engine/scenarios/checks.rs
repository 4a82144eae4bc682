//! The steps of a scenario that check the decisions.
use lilacgate_decision::{EndpointId, SequentialTest, SequentialTestSettings};

use super::player::Player;
use super::words::number;

/// The first words of all decisions.
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
    /// Runs a check; returns `false` if there is none with this name and these arguments.
    pub(super) fn check(&self, name: &str, arguments: &[&str]) -> bool {
        let recorder = &self.recorder;
        match (name, arguments) {
            ("expect", decision) => assert!(
                count(&recorder.recent, decision) > 0,
                "expected {decision:?}, not found in the recent decisions {:?}",
                recorder.recent
            ),
            ("expect-no", decision) => assert!(
                count(&recorder.recent, decision) == 0,
                "expected no {decision:?}, found in the recent decisions {:?}",
                recorder.recent
            ),
            ("expect-ever", decision) => {
                assert!(
                    count(&recorder.all, decision) > 0,
                    "expected {decision:?}, not found since the start"
                );
            }
            ("expect-at-most", [limit, decision @ ..]) => {
                let (limit, found) = (number::<usize>(limit), count(&recorder.all, decision));
                assert!(
                    found <= limit,
                    "expected at most {limit} of {decision:?}, found {found}, the recent decisions are {:?}",
                    recorder.recent
                );
            }
            ("expect-diagnostic", text) => {
                let text = text.join(" ");
                assert!(
                    recorder
                        .diagnostics
                        .iter()
                        .any(|diagnostic| diagnostic.contains(&text)),
                    "expected the diagnostic {text:?}, not found in {:?}",
                    recorder.diagnostics
                );
            }
            ("expect-p-value", [x_bad, x_all, y_bad, y_all, "=", p]) => {
                let baseline = Counts::new(x_bad, x_all);
                let canary = Counts::new(y_bad, y_all);
                check_p_value(baseline, canary, number(p));
            }
            _ => return false,
        }
        true
    }
}

/// Number of decisions that begin with these words; `*` matches any word.
fn count(decisions: &[String], words: &[&str]) -> usize {
    let first = words.first().expect("a check names a decision");
    assert!(
        DECISIONS.contains(first),
        "unknown decision {first:?}, expected one of {DECISIONS:?}"
    );
    let matches = |decision: &&String| {
        let decided: Vec<&str> = decision.split(' ').collect();
        decided.len() >= words.len()
            && words
                .iter()
                .zip(decided)
                .all(|(expected, decided)| *expected == "*" || *expected == decided)
    };
    decisions.iter().filter(matches).count()
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

/// Checks the p-value of a sequential test that has observed these outcomes. Bad outcomes come first in the baseline
/// and last in the canary.
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
    assert!(
        (p - expected).abs() < 1e-4,
        "the p-value is {p}, expected {expected}"
    );
}
