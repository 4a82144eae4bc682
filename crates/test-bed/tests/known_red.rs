//! What `.ci/test` makes of KNOWN-RED.txt, with a stand-in for cargo that knows three tests, of which `a::red` fails.
use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::process::Command;

use rstest::rstest;

const CARGO: &str = r#"#!/bin/sh
echo "$@" >> "$0.calls"
case "$*" in
*--list*) printf 'a::red: test\na::red_too: test\nb::green: test\n' ;;
*"--exact a::red") echo "a::red fails"; exit 101 ;;
esac
"#;

/// How the list ends the run, and what it prints and calls.
fn run(list: &str) -> (bool, String, String) {
    let folder = tempfile::tempdir().expect("a folder");
    let (cargo, file) = (folder.path().join("cargo"), folder.path().join("list"));
    fs::write(&cargo, CARGO).expect("a stand-in");
    fs::set_permissions(&cargo, fs::Permissions::from_mode(0o755)).expect("it can be run");
    fs::write(&file, list).expect("a list");
    let script = concat!(env!("CARGO_MANIFEST_DIR"), "/../../.ci/test");
    let done = Command::new("bash")
        .arg(script)
        .arg(&file)
        .env("CARGO", &cargo)
        .output()
        .expect("it runs");
    let calls = fs::read_to_string(cargo.with_extension("calls")).unwrap_or_default();
    (
        done.status.success(),
        String::from_utf8_lossy(&done.stdout).into_owned(),
        calls,
    )
}

/// A listed test is run apart and printed, whatever its outcome; all others are run without it.
#[rstest]
#[case::fails("a::red", "fails")]
#[case::passes("b::green", "passes")]
fn a_listed_test_is_passed_over_and_printed(#[case] name: &str, #[case] outcome: &str) {
    let (fine, said, calls) = run(&format!("{name} | its cause | issue 29\n"));
    assert!(
        fine && said.contains(&format!("known red: {name} {outcome} (")),
        "{said}"
    );
    assert!(
        calls
            .lines()
            .any(|call| call.ends_with(&format!("--exact {name}"))),
        "{calls}"
    );
    assert!(
        calls.ends_with(&format!("-- --exact --skip {name}\n")),
        "{calls}"
    );
}

#[rstest]
#[case::too_many(
    "a::red | c | i\na::red_too | c | i\nb::green | c | i\na::red | c | i\n",
    "three at most"
)]
#[case::no_such_test("a::re | c | i\n", "no test is named a::re")]
#[case::without_a_cause("a::red | i\n", "no test, cause and issue")]
#[case::an_empty_line("a::red | c | i\n\n", "no test, cause and issue")]
fn a_bad_list_fails(#[case] list: &str, #[case] why: &str) {
    let (fine, said, calls) = run(list);
    assert!(!fine && said.contains(why), "{said}");
    assert!(
        !calls.lines().any(|call| call.contains("--skip")),
        "{calls}"
    );
}

/// An empty list passes over nothing.
#[rstest]
fn an_empty_list_passes_over_nothing() {
    let (fine, _, calls) = run("");
    assert!(
        fine && calls.ends_with("test --workspace --locked\n"),
        "{calls}"
    );
}
