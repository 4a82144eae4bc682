//! Result files keep what is written and name the line that is wrong.
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};

use lilacgate_capacity::result::{self, ResultError};
use lilacgate_capacity::{Experiment, Factor, Quantity, Role, Sample, Size, Source};
use proptest::prelude::*;
use rstest::rstest;

fn sample(figure: f64) -> Sample {
    Sample {
        experiment: Experiment::Slope,
        command: "lilacgate-scale slope --seed 1".into(),
        seed: 1,
        source: Source::Hollow,
        role: Role::Agent,
        factor: Some(Factor::ListedAppliances),
        size: Size {
            listed_appliances: 600,
            ..Size::default()
        },
        event: None,
        held_back: false,
        complete: true,
        figures: BTreeMap::from([(Quantity::ControlCorePercent, figure)]),
    }
}

proptest! {
    #[test]
    fn figures_come_back_to_the_last_bit(figure in proptest::num::f64::NORMAL) {
        let mut text = Vec::new();
        result::write(&mut text, &[sample(figure)]).unwrap();
        let back = result::read(&mut text.as_slice(), Path::new("x")).unwrap();
        prop_assert_eq!(back, vec![sample(figure)]);
    }
}

#[test]
fn a_file_that_is_written_reads_back() {
    let directory = tempfile::tempdir().unwrap();
    let samples = vec![sample(1.5), sample(2.5)];
    result::save(&directory.path().join("b.jsonl"), &samples[1..]).unwrap();
    result::save(&directory.path().join("a.jsonl"), &samples[..1]).unwrap();
    std::fs::write(directory.path().join("notes.txt"), "not a result").unwrap();
    assert_eq!(result::load_directory(directory.path()).unwrap(), samples);
}

fn json_lines(text: &str) -> Vec<serde_json::Value> {
    text.lines()
        .map(|line| serde_json::from_str(line).expect("JSON"))
        .collect()
}

#[rstest]
fn a_stored_file_keeps_its_names_and_values(#[files("tests/data/*.jsonl")] path: PathBuf) {
    let samples = result::load(&path).unwrap();
    let mut text = Vec::new();
    result::write(&mut text, &samples).unwrap();
    let written = json_lines(&String::from_utf8(text).unwrap());
    let stored = json_lines(&std::fs::read_to_string(&path).unwrap());
    assert!(!stored.is_empty());
    assert_eq!(written, stored);
}

#[test]
fn a_wrong_line_is_named() {
    let mut text = Vec::new();
    result::write(&mut text, &[sample(1.0)]).unwrap();
    text.extend_from_slice(b"\n{\"experiment\": \"slope\"}\n");
    let fault = result::read(&mut text.as_slice(), Path::new("slopes.jsonl")).unwrap_err();
    assert!(
        matches!(fault, ResultError::Line { line: 3, .. }),
        "{fault}"
    );
    assert!(fault.to_string().starts_with("slopes.jsonl:3: "), "{fault}");
    assert_eq!(fault.to_string().lines().count(), 1);
}

#[test]
fn an_unknown_figure_is_refused() {
    let mut text = Vec::new();
    result::write(&mut text, &[sample(1.0)]).unwrap();
    let text = String::from_utf8(text)
        .unwrap()
        .replace("control_core_percent", "guess");
    let fault = result::read(&mut text.as_bytes(), Path::new("x")).unwrap_err();
    assert!(fault.to_string().contains("guess"), "{fault}");
}

#[test]
fn what_is_not_a_number_is_not_written() {
    let mut text = Vec::new();
    let fault = result::write(&mut text, &[sample(f64::NAN)]).unwrap_err();
    assert!(matches!(fault, ResultError::NotFinite { .. }), "{fault}");
    assert!(text.is_empty());
}
