//! The schema and the reader agree: every example is valid by both; of the bad ones each is refused by the reader with
//! the faults that its first lines name, and by the schema where these demand it.
use std::path::{Path, PathBuf};
use std::process::Command;

use lilacgate_operator_config::{KnownNames, load, read};
use proptest::prelude::*;
use rstest::rstest;

const SCHEMA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/operator.xsd");

fn is_valid(path: &Path) -> bool {
    let xmllint = Command::new("xmllint")
        .args(["--noout", "--schema", SCHEMA])
        .arg(path)
        .output();
    xmllint
        .expect("xmllint is there: .ci/tools installs it")
        .status
        .success()
}

#[rstest]
fn good(
    #[files("tests/good/*.xml")]
    #[files("../../deploy/operator*.xml")]
    path: PathBuf,
) {
    let read = load(&path, &KnownNames::default());
    assert!(read.is_ok(), "{:?}", read.err());
    assert!(is_valid(&path), "the schema refuses {}", path.display());
}

#[rstest]
fn bad(#[files("tests/bad/*.xml")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a file");
    let lines: Vec<&str> = text
        .lines()
        .map_while(|line| line.strip_prefix("<!-- ")?.strip_suffix(" -->"))
        .collect();
    let faults = load(&path, &KnownNames::default()).expect_err("it is refused");
    let said: Vec<String> = faults.iter().map(ToString::to_string).collect();
    let named: Vec<&str> = lines
        .iter()
        .filter_map(|line| line.strip_prefix("fault "))
        .collect();
    assert!(!named.is_empty());
    for want in &named {
        assert!(
            said.iter().any(|said| said.contains(want)),
            "no {want:?} in {said:#?}"
        );
    }
    assert_eq!(said.len(), named.len(), "others in {said:#?}");
    assert!(
        faults
            .iter()
            .all(|fault| fault.line > 0 && fault.column > 0)
    );
    assert_eq!(
        is_valid(&path),
        lines[0] == "schema accepts",
        "the schema on {}",
        path.display()
    );
}

#[test]
fn too_large_or_not_there() {
    let folder = tempfile::tempdir().expect("a folder");
    let path = folder.path().join("large.xml");
    std::fs::write(&path, " ".repeat((1 << 20) + 1)).expect("it is written");
    assert!(
        load(&path, &KnownNames::default()).expect_err("too large")[0]
            .to_string()
            .contains("the most")
    );
    let gone = folder.path().join("gone.xml");
    assert!(
        load(&gone, &KnownNames::default()).expect_err("not there")[0]
            .to_string()
            .contains("gone.xml")
    );
}

#[test]
fn known_names_keep_their_numbers() {
    let known = KnownNames {
        zones: vec!["b".into(), "a".into()],
        products: vec!["q".into()],
    };
    let text = r#"<operator version="1"><places><zone name="a"/><zone name="c"/><zone name="b"/><firm name="f"/>
<product name="p"/><product name="q"/><agent name="n" firm="f"/></places></operator>"#;
    let places = read(text, &known).expect("it is fine").places;
    assert_eq!(
        (places.zones, places.products),
        (
            vec!["b".into(), "a".into(), "c".into()],
            vec!["q".into(), "p".into()]
        )
    );
    let lacks = read(&text.replace(r#"<zone name="b"/>"#, ""), &known).expect_err("b is missing");
    assert!(
        lacks[0]
            .to_string()
            .contains("zone \"b\", which the agent is told of, is not defined")
    );
}

proptest! {
    /// Whatever is written, reading ends with a file or with faults, each with words.
    #[test]
    fn any_text(at in 0usize..2000, put in "[<>\"&;/a-z =]{0,12}") {
        let text = include_str!("../../../deploy/operator.xml");
        let at = (at % text.len()..text.len()).find(|i| text.is_char_boundary(*i)).unwrap_or(0);
        let changed = format!("{}{put}{}", &text[..at], &text[at..]);
        if let Err(faults) = read(&changed, &KnownNames::default()) {
            prop_assert!(!faults.is_empty() && faults.iter().all(|fault| !fault.kind.to_string().is_empty()));
        }
    }
}
