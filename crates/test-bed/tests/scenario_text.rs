//! The notations of scenario files, and of start files that scenarios change.
use lilacgate_test_bed::scenario_text::{matches_pattern, unescape};
use lilacgate_test_bed::start_file::StartFileTemplate;
use rstest::rstest;

#[rstest]
#[case::plain("GET a", b"GET a")]
#[case::line_end(r"a\r\n", b"a\r\n")]
#[case::hexadecimal(r"\x00\xff", b"\x00\xff")]
#[case::escaped(r"\<2*a>", b"<2*a>")]
#[case::repeated(r"<3*\r>b", b"\r\r\rb")]
#[case::no_repetition("<a>", b"<a>")]
#[case::not_ascii("\u{e9}", "\u{e9}".as_bytes())]
fn bytes_are_read(#[case] text: &str, #[case] bytes: &[u8]) {
    assert_eq!(unescape(text), bytes);
}

#[rstest]
#[case::equal("SET a", "SET a", true)]
#[case::different("SET a", "SET ab", false)]
#[case::any_end("SET *", "SET ab", true)]
#[case::any_middle("SET * b", "SET a b", true)]
#[case::several("*a*b", "xaxb", true)]
#[case::other_start("SET *", "GET a", false)]
fn patterns_are_matched(#[case] pattern: &str, #[case] text: &str, #[case] matches: bool) {
    assert_eq!(matches_pattern(pattern, text), matches);
}

#[rstest]
#[case::number("b", "7", r#"{"a":[1,2],"b":7,"c":"d"}"#)]
#[case::list("a", "[]", r#"{"a":[],"b":3,"c":"d"}"#)]
#[case::last("c", "null", r#"{"a":[1,2],"b":3,"c":null}"#)]
#[case::removed("a", "none", r#"{"b":3,"c":"d"}"#)]
fn start_file_fields_are_set(#[case] field: &str, #[case] value: &str, #[case] text: &str) {
    let mut start_file = StartFileTemplate {
        text: r#"{"a":[1,2],"b":3,"c":"d"}"#.into(),
    };
    start_file.set(field, value);
    assert_eq!(start_file.text, text);
}
