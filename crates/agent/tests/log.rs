//! The rate limit of log lines, and the quoting of their values.
use lilacgate_agent::log::{CallSite, Quoted};
use rstest::rstest;

/// A call site writes a limited number of lines per second, and reports later how many it suppressed.
#[rstest]
fn log_lines_are_bounded() {
    let call_site = CallSite::new();
    let written = |second| {
        (0..100)
            .filter_map(|_| call_site.may_write(second))
            .collect::<Vec<_>>()
    };
    let first = written(7);
    assert!(first.len() < 100 && first.iter().all(|suppressed| *suppressed == 0));
    assert_eq!(written(8)[0], 100 - first.len() as u64);
}

/// A value with spaces, quotes or line breaks remains one value on one line.
#[rstest]
#[case::spaces("no such file", r#""no such file""#)]
#[case::quotes(r#"service "a" and \b"#, r#""service \"a\" and \\b""#)]
#[case::line_end("one\ntwo", r#""one\ntwo""#)]
#[case::other_letters("größer", r#""größer""#)]
fn values_are_quoted(#[case] value: &str, #[case] expected: &str) {
    assert_eq!(Quoted(value).to_string(), expected);
}
