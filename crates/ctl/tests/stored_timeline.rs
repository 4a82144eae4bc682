//! `lgctl timeline` shows what an earlier version stored as that version showed it: the fixtures hold its JSON.
use std::fs;
use std::path::Path;
use std::process::Command;

use rstest::rstest;

/// What `lgctl timeline` prints for a command line in which `STORED` stands for the stored file or folder.
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
        .expect("it runs");
    assert_eq!(output.status.code(), Some(0), "{output:?}");
    String::from_utf8(output.stdout).expect("text")
}

#[rstest]
#[case::events("events STORED --json", "events.json")]
#[case::story("story STORED --build 2 --json", "story.json")]
#[case::agent("show STORED --json", "show.json")]
#[case::node("show STORED --node d2 --json", "show-d2.json")]
#[case::export("export STORED", "export.jsonl")]
fn the_json_is_as_before(
    #[values("store", "dump.seg")] stored: &str,
    #[case] command_line: &str,
    #[case] expected: &str,
) {
    let fixtures = Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/fixtures/timeline-version-1");
    let prefix = stored.trim_end_matches(".seg");
    let expected = fixtures.join(format!("{prefix}-{expected}"));
    let expected = fs::read_to_string(expected).expect("a fixture");
    let printed = printed(stored, command_line);
    assert_eq!(printed.lines().count(), expected.lines().count());
    for (printed, expected) in printed.lines().zip(expected.lines()) {
        assert_eq!(printed, expected);
    }
}
