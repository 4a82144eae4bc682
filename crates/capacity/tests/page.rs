//! The committed page and plots match the committed results; edits by hand are
//! detected.
use std::fs;
use std::path::{Path, PathBuf};

use lilacgate_capacity::page::{PageError, regenerate};
use lilacgate_capacity::tables::Part;
use lilacgate_capacity::{Sample, Target, plot, result};
use rstest::rstest;

const ROOT: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");

fn root(path: &str) -> PathBuf {
    Path::new(ROOT).join(path)
}

fn committed() -> (Vec<Sample>, Target) {
    let samples = result::load_directory(&root("measure/capacity")).expect("results");
    let target = Target::load(&root("deploy/capacity.xml")).expect("a target");
    (samples, target)
}

fn fixtures() -> (Vec<Sample>, Target) {
    let samples = result::load_directory(Path::new("tests/data")).expect("results");
    let target = Target::load(Path::new("tests/good/drawn.xml")).expect("a target");
    (samples, target)
}

fn page() -> String {
    fs::read_to_string(root("docs/CAPACITY.md")).expect("the page")
}

/// What `lilacgate-scale page` leaves on disk, and what the test of the
/// committed page compares.
fn is_current(path: &Path, samples: &[Sample], target: &Target) -> bool {
    let page = fs::read_to_string(path).expect("the page");
    regenerate(&page, samples, target).as_ref() == Ok(&page)
}

#[test]
fn the_committed_page_is_what_the_results_give() {
    let (samples, target) = committed();
    let made = regenerate(&page(), &samples, &target).expect("its markers are right");
    assert!(
        made == page(),
        "run `lilacgate-scale page`; it should be:\n{made}"
    );
}

#[test]
fn the_committed_plots_are_what_the_results_give() {
    let (samples, target) = committed();
    let directory = tempfile::tempdir().expect("a directory");
    let made = plot::save(directory.path(), &samples, &target).expect("they are drawn");
    for path in made {
        let committed = root("docs/capacity").join(path.file_name().expect("a name"));
        let same = fs::read(&path).ok() == fs::read(&committed).ok();
        assert!(
            same,
            "run `lilacgate-scale plots`: {} differs",
            committed.display()
        );
    }
}

#[test]
fn a_number_edited_by_hand_is_found() {
    let (samples, target) = committed();
    let directory = tempfile::tempdir().expect("a directory");
    let copy = directory.path().join("CAPACITY.md");
    let made = regenerate(&page(), &samples, &target).expect("its markers are right");
    fs::write(&copy, &made).expect("it is written");
    assert!(is_current(&copy, &samples, &target));
    for part in Part::ALL {
        let begin = format!("<!-- generated: {} -->", part.name());
        let start = made.find(&begin).expect("the part") + begin.len();
        let end = start + made[start..].find("<!-- end").expect("its end");
        let digit = made[start..end].find(|letter: char| letter.is_ascii_digit());
        let at = start + digit.unwrap_or(0);
        let edited = format!("{}7{}", &made[..at], &made[at..]);
        fs::write(&copy, edited).expect("it is written");
        assert!(!is_current(&copy, &samples, &target), "in {}", part.name());
    }
}

#[test]
fn regenerating_twice_changes_nothing() {
    let (samples, target) = fixtures();
    let once = regenerate(&page(), &samples, &target).expect("its markers are right");
    assert_eq!(regenerate(&once, &samples, &target), Ok(once));
}

#[test]
fn without_results_nothing_is_invented() {
    let (_, target) = fixtures();
    let made = regenerate(&page(), &[], &target).expect("its markers are right");
    let slopes = made
        .split("<!-- generated: slopes -->")
        .nth(1)
        .expect("slopes");
    assert!(
        slopes.starts_with("\n\nNot measured.\n\n<!-- end"),
        "{slopes}"
    );
    assert!(
        made.contains("| agent | memory, MB | not measured | - | 100 | not measured |"),
        "{made}"
    );
}

#[rstest]
#[case::unknown(
    "<!-- generated: guesses -->",
    "line 2: no generated part is named \"guesses\""
)]
#[case::twice(
    "<!-- generated: roles -->\n<!-- end generated -->\n<!-- generated: roles -->",
    "line 4: the part roles is there twice"
)]
#[case::nested(
    "<!-- generated: roles -->\n<!-- generated: slopes -->",
    "line 2: the part roles has no end"
)]
#[case::open("<!-- generated: roles -->\ntext", "line 2: the part roles has no end")]
#[case::end("<!-- end generated -->", "line 2: an end without a beginning")]
#[case::missing("text", "the part sizes is missing")]
fn wrong_markers_are_named(#[case] page: &str, #[case] expected: &str) {
    let (samples, target) = fixtures();
    let error: PageError = regenerate(&format!("# Title\n{page}\n"), &samples, &target)
        .expect_err("its markers are wrong");
    assert_eq!(error.to_string(), expected);
}

/// The rows of one part, made from the fixtures.
fn part(part: Part) -> String {
    let (samples, target) = fixtures();
    let analysis = lilacgate_capacity::analysis::Analysis::new(&samples, &target);
    part.render(&analysis)
}

#[rstest]
// 36.5 % by the services, 10 % more by the listed appliances beyond the 100 of
// that slope; times 10/8.
#[case::predicted(
    Part::Budgets,
    "| agent | processor time on average, % of a core | 46.5 | slopes | 10 | 4.65 | 1.25 | 5.81 |"
)]
// A process that uses less than a hollow agent makes no figure smaller.
#[case::measured(
    Part::Budgets,
    "| agent | memory, MB | 120 | measured, hollow | 100 | 1.2 | 1 | 1.2 |"
)]
// The worst event counts; the factor is that of the processor time.
#[case::of_round(
    Part::Budgets,
    "| 3,000 | measured, hollow, a zone fails and comes back, 40 agents, 300 appliances, 12 services | 7,500 | 0.4 | 1.25 | 0.5 |"
)]
#[case::elsewhere(
    Part::Budgets,
    "| 3,500 | measured, hollow, at 20 agents, 300 appliances, 12 services | 5,000 | 0.7 | not measured | 0.7 |"
)]
#[case::not_measured(
    Part::Budgets,
    "| control machines | control machines | not measured | - | 2 | not measured | not measured | not measured |"
)]
// (1 + 0.05 x) * 1.25 = 10.
#[case::limit(
    Part::Limits,
    "| agent | processor time on average, % of a core | listed appliances | 2 | 140 | 300 | 0.467 |"
)]
#[case::line(
    Part::Slopes,
    "| agent | control, % of a core | listed appliances | 2 | hollow | 10; 30; 80; 150 | a + b·x | 1 | 0.05 | 0 |"
)]
#[case::curve(
    Part::Slopes,
    "| agent | control, % of a core | services | - | hollow | 1; 2; 4; 8 | a + b·x + c·x² | 0.5 |"
)]
#[case::prediction(Part::Predictions, "| 300 | 17 | 16 | -5.88 % |")]
#[case::pair(
    Part::Processes,
    "| agent | control, % of a core | 40 agents, 150 appliances, 1 services | 800 | 8 | 10 | 1.25 |"
)]
#[case::worst_seed(
    Part::Events,
    "| one change of configuration | agent | hollow | 20 agents, 300 appliances, 12 services | 2 | 3,500 | - | - | - | - | - | - | 0.4 |"
)]
#[case::no_event(Part::Events, "| a rack fails at once | not measured |")]
#[case::detection(Part::Detections, "| 5 % | 10 % | none | 41.5 s (60 s) |")]
#[case::aggregator_bytes(Part::Detections, "| judge of 40 | 30 | 10,000 | 2 | 0 |")]
#[case::today(
    Part::Roles,
    "| agent | today | not measured | not measured | not measured | 120 p | 50 p | 0.5 | 3 |"
)]
#[case::interrupted(
    Part::Runs,
    "| `lilacgate-scale slope services --seed 1` | hollow | 5 | 1 |"
)]
fn a_row_is_right(#[case] of: Part, #[case] row: &str) {
    let text = part(of);
    assert!(text.contains(row), "no {row:?} in\n{text}");
}

#[test]
fn budgets_furthest_over_stand_first() {
    let text = part(Part::Budgets);
    let place = |words: &str| text.find(words).expect(words);
    assert!(place("processor time on average") < place("memory, MB"));
    assert!(place("memory, MB") < place("a change in force"));
    assert!(place("a change in force") < place("control machines |"));
}

#[test]
fn the_same_results_draw_the_same_plots() {
    let (samples, target) = fixtures();
    let directory = tempfile::tempdir().expect("a directory");
    let draw = || -> Vec<String> {
        let paths = plot::save(directory.path(), &samples, &target).expect("they are drawn");
        paths
            .map(|path| fs::read_to_string(path).expect("a plot"))
            .to_vec()
    };
    let plots = draw();
    assert_eq!(plots, draw());
    assert!(plots[0].contains("agent: memory, MB"), "{}", plots[0]);
    assert!(
        plots[1].contains("agent control, % of a core by services"),
        "{}",
        plots[1]
    );
}
