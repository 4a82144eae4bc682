//! `lgctl timeline` reads a store and a dump of format version 1, and prints the same JSON as the version that wrote
//! them.
use std::fs;
use std::path::Path;
use std::process::Command;

use rstest::rstest;

/// Runs `lgctl timeline` and returns its output. In the command line `STORED` stands for the stored file or folder.
fn printed(stored: &str, command_line: &str) -> String {
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("../store/tests/fixtures/version-1");
    let stored = fixtures.join(stored).display().to_string();
    let output = Command::new(env!("CARGO_BIN_EXE_lgctl"))
        .arg("timeline")
        .args(
            command_line
                .split(' ')
                .map(|word| word.replace("STORED", &stored)),
        )
        .output()
        .expect("lgctl runs");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    String::from_utf8(output.stdout).expect("UTF-8 output")
}

#[rstest]
#[case::events("events STORED --json", "events.json")]
#[case::story("story STORED --build 2 --json", "story.json")]
#[case::agent("show STORED --json", "show.json")]
#[case::node("show STORED --node d2 --json", "show-d2.json")]
#[case::export("export STORED", "export.jsonl")]
fn json_of_stored_timelines_is_unchanged(
    #[values("store", "dump.seg")] stored: &str,
    #[case] command_line: &str,
    #[case] expected: &str,
) {
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/timeline-version-1");
    let prefix = stored.trim_end_matches(".seg");
    let expected = fixtures.join(format!("{prefix}-{expected}"));
    let expected = fs::read_to_string(expected).expect("a readable fixture");
    let printed = printed(stored, command_line);
    assert_eq!(printed.lines().count(), expected.lines().count());
    for (printed, expected) in printed.lines().zip(expected.lines()) {
        assert_eq!(printed, expected);
    }
}
