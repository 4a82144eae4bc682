//! Plays every scenario in `tests/scenarios`. A line holds steps, separated by `;`, and a comment after `#`. Times are
//! in milliseconds.
//!
//! Before the first round:
//!
//! ```text
//! set KEY VALUE                            changes a setting of the engine
//! class KIND OBJECTIVE [SCOPE WINDOW]      adds a request class; KIND is idempotent, keyed or non-idempotent,
//!                                          SCOPE all or zone
//! ```
//!
//! Time and events:
//!
//! ```text
//! at TIME                                  begins a round, and a new list of decisions; the events that follow
//!                                          have rounds of their own at that time
//! endpoints full|delta|cached|failed ID:STATUS:BUILD[:AGE[:ZONE]] ..
//! request ID CLASS [DEADLINE] [KEY]
//! burst COUNT CLASS                        so many requests in one round
//! client-left ID
//! ended ID/ATTEMPT ENDPOINT OUTCOME TOOK [closed]
//! may-send ID/ATTEMPT yes|no               whether it may still be sent after a wait for its connection
//! stage BUILD STAGE PHASE CAP              a release update
//! vote-answered OUTCOME
//! permit advance|hold [BUILD:ZONE[:CLASSES]] ..
//!                                          all that is permitted, as a mask of classes, with or without the first
//!                                          stage of the newest build
//! permit all                               the operator's rules are gone
//! wrong-answer ENDPOINT CLASS AGO          an answer sent so long ago was found wrong
//! report FROM BUILD SERIAL IN-TIME/BASELINE/REQUESTED [ID:CLASS:COUNT:BAD ..]
//!                                          a peer's outcome report
//! shutdown TIME                            the agent stops then
//! restart                                  the agent dies and comes back
//! flow UNTIL CLASS SHARES                  until then a request every 10 ms, answered after 50 ms; of SHARES, as
//!                                          BUILD=N or @ID=N, every Nth fails
//! ```
//!
//! Checks:
//!
//! ```text
//! expect DECISION / never DECISION         what was, or was not, decided since the last `at` (in a flow: round)
//! ever DECISION                            what was decided at any time
//! most COUNT DECISION                      so often at most since the start
//! noted TEXT                               a note since the start holds this
//! test X-BAD X-ALL Y-BAD Y-ALL p P         the sequential test alone
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
fn a_scenario_plays_out_as_written(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a scenario");
    let decisions = play(&text, Player::new());
    // The same with a record beside it: the same decisions, one by one.
    assert_eq!(play(&text, Player::with_record()), decisions);
}

/// Plays a scenario; all decisions since the start.
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
