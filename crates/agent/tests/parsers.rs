//! Tests the incremental parsers. They must return the same items and errors however the input is split: as a whole,
//! byte by byte, and in two pieces at any position. A line of the files in `tests/parsers` is
//! `KIND BYTES => ITEM | ITEM !ERROR`, with \r \n \xHH and <COUNT*BYTES> in the bytes.
use std::path::PathBuf;

use lilacgate_agent::http_response::{HttpResponseParser, WatchResponseParser};
use lilacgate_agent::json::{Json, JsonParser};
use lilacgate_agent::resp::{self, Resp};
use lilacgate_agent::transport::Parse;
use lilacgate_test_bed::scenario_text::unescape;
use rstest::rstest;

/// Feeds the pieces to a parser, and returns its items and its error as text.
fn parse_pieces<P: Parse>(
    mut parser: P,
    pieces: &[&[u8]],
    show: &impl Fn(P::Item) -> String,
) -> String {
    let mut items = Vec::new();
    for piece in pieces {
        let mut rest = *piece;
        while !rest.is_empty() {
            match parser.take(rest) {
                Ok((consumed, item)) => {
                    assert!(consumed <= rest.len() && (consumed > 0 || item.is_some()));
                    items.extend(item.map(show));
                    rest = &rest[consumed..];
                }
                Err(end) => return format!("{} !{end}", items.join(" | ")).trim().to_owned(),
            }
        }
    }
    items.join(" | ")
}

/// Returns what a parser finds in a text, and checks that it finds the same however the text is split.
fn parse_in_all_ways<P: Parse>(
    make_parser: impl Fn() -> P,
    text: &[u8],
    show: impl Fn(P::Item) -> String,
) -> String {
    let whole = parse_pieces(make_parser(), &[text], &show);
    let single_bytes = text.chunks(1).collect::<Vec<_>>();
    assert_eq!(
        parse_pieces(make_parser(), &single_bytes, &show),
        whole,
        "byte by byte"
    );
    // Every position of a short text, and about 500 positions of a long one.
    for cut in (0..text.len()).step_by(1 + text.len() / 500) {
        let (head, tail) = text.split_at(cut);
        assert_eq!(
            parse_pieces(make_parser(), &[head, tail], &show),
            whole,
            "cut at {cut}"
        );
    }
    whole
}

fn show_command(command: Vec<Vec<u8>>) -> String {
    command
        .iter()
        .map(|part| part.escape_ascii().to_string())
        .collect::<Vec<_>>()
        .join(" ")
}

fn show_value(value: Resp) -> String {
    match value {
        Resp::Simple(text) => format!("+{}", text.escape_ascii()),
        Resp::Error(text) => format!("-{}", text.escape_ascii()),
        Resp::Integer(number) => format!(":{number}"),
        Resp::Bulk(text) => text.map_or("$null".into(), |text| format!("${}", text.escape_ascii())),
        Resp::Array(None) => "*null".into(),
        Resp::Array(Some(items)) => {
            let items = items.into_iter().map(show_value).collect::<Vec<_>>();
            format!("[{}]", items.join(" "))
        }
    }
}

fn show_json(value: Json) -> String {
    let mut fields = Vec::new();
    value.flatten("", &mut |path, value| {
        fields.push(format!("{path}={value}"))
    });
    fields.join(" ")
}

#[rstest]
fn parser(#[files("tests/parsers/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a scenario");
    for line in text
        .lines()
        .filter(|line| !line.is_empty() && !line.starts_with('#'))
    {
        let (input, expected) = line.split_once(" =>").expect("expected items after =>");
        let (kind, input) = input.split_once(' ').expect("a kind of parser");
        let input = unescape(input);
        let found = match kind {
            "commands" => parse_in_all_ways(resp::CommandParser::default, &input, show_command),
            "answers" => parse_in_all_ways(resp::ValueParser::default, &input, show_value),
            "json" => parse_in_all_ways(|| JsonParser::new(100), &input, show_json),
            "lines" => parse_in_all_ways(|| JsonParser::lines(100), &input, show_json),
            "indented" => parse_in_all_ways(|| JsonParser::indented(100), &input, show_json),
            "http" => parse_in_all_ways(|| HttpResponseParser::new(100), &input, show_json),
            other => panic!("unknown kind of parser {other}"),
        };
        assert_eq!(found, expected.trim(), "{line:.300}");
    }
}

/// An empty line between two lists is a heartbeat of the watch. Bytes within a list are not, so that the rest of a list
/// that was cut off is not awaited for ever.
#[rstest]
fn only_an_empty_line_between_lists_is_a_heartbeat() {
    let mut watch = WatchResponseParser(HttpResponseParser::new(100));
    let mut receive = |text: &str| {
        watch
            .take(text.as_bytes())
            .expect("a valid response")
            .1
            .map(|list| list.is_some())
    };
    assert_eq!(
        receive("HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n"),
        Some(false)
    );
    assert_eq!(receive("1\r\n\n\r\n"), Some(false));
    assert_eq!(receive("4\r\n{\n  \r\n"), None);
    assert_eq!(receive("6\r\n"), None);
    assert_eq!(receive("\"a\":1}\r\n"), Some(true));
}
