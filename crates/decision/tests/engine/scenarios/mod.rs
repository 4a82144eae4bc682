//! Runs every scenario in `tests/scenarios`. A line consists of steps, separated by `;`, and a comment after `#`. All
//! times are in milliseconds.
//!
//! Steps before the first round:
//!
//! ```text
//! set KEY VALUE                            sets a setting of the engine
//! class KIND OBJECTIVE [SCOPE WINDOW]      adds a request class; KIND is idempotent, keyed or non-idempotent,
//!                                          SCOPE all or zone
//! ```
//!
//! Time and events. Each event runs in a round of its own at the current time:
//!
//! ```text
//! at TIME                                  sets the time, clears the recent decisions and runs a round without events
//! endpoints full|delta|cached|failed ID:STATUS:BUILD[:AGE[:ZONE]] ..
//!                                          an update of the endpoint list
//! request ID CLASS [DEADLINE] [KEY]        a request, with an idempotency key if KEY is given
//! burst COUNT CLASS                        COUNT requests in one round
//! client-disconnected ID                   the client of a request closes its connection
//! ended ID/ATTEMPT ENDPOINT OUTCOME TOOK [closed]
//!                                          an attempt ends; with `closed`, its request needs no further answer
//! may-send ID/ATTEMPT yes|no               checks whether an attempt may still be sent after it waited for its
//!                                          connection
//! release BUILD STAGE PHASE CAP            a release update
//! vote-answered OUTCOME                    the call that cast the last vote ends
//! permit advance|hold [BUILD:ZONE[:CLASSES]] ..
//!                                          the operator's rules permit only these builds, zones and classes (a bit
//!                                          mask), and that the newest of the builds advances from its first stage
//!                                          (advance) or not (hold)
//! permit all                               there are no operator's rules any more
//! wrong-answer ENDPOINT CLASS AGO          an answer that was sent AGO before is found to be wrong
//! report FROM BUILD SEQUENCE IN-TIME/BASELINE/REQUESTED [ID:CLASS:COUNT:BAD ..]
//!                                          the peer FROM sends an outcome report
//! shutdown TIME                            the agent begins to shut down, with TIME as the deadline
//! restart                                  the agent is replaced by a new one without state
//! traffic UNTIL CLASS [KEY=N ..]           until then, a request every 10 ms that is answered after 50 ms; of the
//!                                          attempts of each KEY, a BUILD or an @ENDPOINT, every Nth fails
//! ```
//!
//! Checks. A decision matches if it begins with the words of DECISION, where `*` is any word. Recent decisions are
//! those since the last `at` or, in a `traffic` step, of its last round:
//!
//! ```text
//! expect DECISION                          a recent decision matches
//! expect-no DECISION                       no recent decision matches
//! expect-ever DECISION                     a decision since the start matches
//! expect-at-most COUNT DECISION            at most COUNT decisions since the start match
//! expect-diagnostic TEXT                   a diagnostic since the start contains TEXT
//! expect-p-value X-BAD X-ALL Y-BAD Y-ALL = P
//!                                          the p-value of a sequential test with X-BAD bad outcomes of X-ALL in the
//!                                          baseline and Y-BAD of Y-ALL in the canary
//! ```
mod checks;
mod events;
mod player;
mod recorder;
mod words;

use std::path::PathBuf;

use rstest::rstest;

use self::player::Player;

#[rstest]
fn a_scenario_runs_as_written(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a readable scenario");
    let decisions = play(&text, Player::new());
    // A timeline that records the decisions does not change any of them.
    assert_eq!(play(&text, Player::with_timeline()), decisions);
}

/// Runs a scenario and returns all decisions.
fn play(text: &str, mut player: Player) -> Vec<String> {
    for (number, line) in (1..).zip(text.lines()) {
        println!("{number}: {line}");
        for step in line.split('#').next().unwrap_or("").split(';') {
            let words: Vec<&str> = step.split_whitespace().collect();
            if let [name, arguments @ ..] = words.as_slice() {
                player.play_step(name, arguments);
            }
        }
    }
    player.into_decisions()
}
