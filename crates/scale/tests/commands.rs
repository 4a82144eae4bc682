//! The command line: a run that is stopped keeps what it has, and says in one line why it stopped.
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Output, Stdio};
use std::time::{Duration, Instant};

use lilacgate_capacity::result;
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;
use rstest::rstest;

const PATIENCE: Duration = Duration::from_secs(30);
const STOPPED: Option<i32> = Some(3);

fn command(arguments: &[&str], output: &Path) -> Command {
    let mut command = Command::new(env!("CARGO_BIN_EXE_lilacgate-scale"));
    let target = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/capacity.xml");
    command
        .args(arguments)
        .args(["--target", target, "--output"])
        .arg(output);
    command.stdout(Stdio::piped()).stderr(Stdio::piped());
    command
}

fn results() -> (tempfile::TempDir, PathBuf) {
    let directory = tempfile::tempdir().expect("a directory");
    let path = directory.path().join("results.jsonl");
    (directory, path)
}

/// Waits until the results hold this many records, or there are none to come.
fn wait_for(path: &Path, records: usize, child: &mut Child) {
    let last = Instant::now() + PATIENCE;
    while result::load(path).map_or(0, |samples| samples.len()) < records {
        assert!(
            child.try_wait().expect("its status").is_none(),
            "it ended by itself"
        );
        assert!(Instant::now() < last, "no results");
        std::thread::sleep(Duration::from_millis(20));
    }
}

fn interrupt(child: Child) -> Output {
    kill(Pid::from_raw(child.id().cast_signed()), Signal::SIGINT).expect("a signal");
    child.wait_with_output().expect("its output")
}

fn errors(output: &Output) -> String {
    String::from_utf8_lossy(&output.stderr).into_owned()
}

const LONG_POINT: [&str; 9] = [
    "point",
    "--agents",
    "4",
    "--appliances",
    "20",
    "--request-rate",
    "100",
    "--window",
    "100000",
];

#[test]
fn an_interrupted_measurement_is_kept_and_marked() {
    let (_directory, path) = results();
    let child = command(&LONG_POINT, &path).spawn().expect("it starts");
    std::thread::sleep(Duration::from_secs(2));
    let output = interrupt(child);
    assert_eq!(output.status.code(), STOPPED, "{}", errors(&output));
    assert!(
        errors(&output).contains("lilacgate-scale: interrupted"),
        "{}",
        errors(&output)
    );
    let samples = result::load(&path).expect("results");
    assert!(
        !samples.is_empty() && samples.iter().all(|sample| !sample.complete),
        "{samples:?}"
    );
    assert!(samples[0].figures.len() > 5, "{samples:?}");
}

/// `slopes` measures each size in a process of its own, which is interrupted with it.
#[test]
fn an_interrupted_slope_keeps_the_sizes_before() {
    let (_directory, path) = results();
    let arguments = ["slopes", "--factor", "listed", "--window", "2"];
    let mut child = command(&arguments, &path).spawn().expect("it starts");
    wait_for(&path, 1, &mut child);
    let output = interrupt(child);
    assert_eq!(output.status.code(), STOPPED, "{}", errors(&output));
    let samples = result::load(&path).expect("results");
    assert!(
        samples.iter().any(|sample| sample.complete),
        "the first size"
    );
    assert!(samples.iter().any(|sample| !sample.complete), "{samples:?}");
}

#[rstest]
#[case::amid_the_start(&["point", "--memory-limit", "1"])]
#[case::of_a_process_for_one_size(&["slopes", "--memory-limit", "1", "--factor", "listed"])]
#[case::of_an_event(&["events", "--memory-limit", "1", "--agents", "2"])]
fn a_process_at_its_memory_limit_stops_with_a_line_that_says_so(#[case] arguments: &[&str]) {
    let (_directory, path) = results();
    let output = command(arguments, &path).output().expect("it runs");
    assert_eq!(output.status.code(), STOPPED);
    let errors = errors(&output);
    let line = errors
        .lines()
        .find(|line| line.contains("memory limit reached"));
    assert!(
        line.is_some_and(|line| line.contains("limit 1 MB")),
        "{errors}"
    );
    let samples = result::load(&path).expect("results");
    assert!(
        !samples.is_empty() && samples.iter().all(|sample| !sample.complete),
        "{samples:?}"
    );
}

#[test]
fn a_target_file_is_checked() {
    let (directory, path) = results();
    let good = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/capacity.xml");
    let output = command(&["check", good], &path).output().expect("it runs");
    assert!(output.status.success(), "{}", errors(&output));
    let text = std::fs::read_to_string(good).expect("a target file");
    let bad = directory.path().join("bad.xml");
    std::fs::write(
        &bad,
        text.replace("per-second=\"33000\"", "per-second=\"-1\""),
    )
    .expect("a file");
    let output = command(&["check", &bad.to_string_lossy()], &path)
        .output()
        .expect("it runs");
    assert_eq!(output.status.code(), Some(2));
    let errors = errors(&output);
    assert_eq!(errors.lines().count(), 1, "{errors}");
    assert!(
        errors.contains("bad.xml:") && errors.contains("per-second"),
        "{errors}"
    );
}

/// The page and the plots of the repository are what the commands make of the results on file.
#[test]
fn page_and_plots_are_made_anew() {
    let root = concat!(env!("CARGO_MANIFEST_DIR"), "/../..");
    let (directory, path) = results();
    let page = directory.path().join("page.md");
    let committed = std::fs::read(format!("{root}/docs/CAPACITY.md")).expect("the page");
    std::fs::write(&page, &committed).expect("a copy");
    let results = format!("{root}/measure/capacity");
    let page_text = page.to_string_lossy().into_owned();
    let output = command(
        &["page", "--results", &results, "--page", &page_text],
        &path,
    )
    .output();
    let output = output.expect("it runs");
    assert!(output.status.success(), "{}", errors(&output));
    assert!(
        std::fs::read(&page).expect("the copy") == committed,
        "the page differs"
    );
    let plots = directory.path().to_string_lossy().into_owned();
    let output = command(&["plots", "--results", &results, "--plots", &plots], &path).output();
    assert!(output.expect("it runs").status.success());
    assert!(directory.path().join("budgets.svg").exists());
}

const KEYS: [&str; 16] = [
    "agents",
    "appliances",
    "services",
    "control_core_percent",
    "worst_round_us",
    "agent_mb",
    "agent_bytes_s",
    "judge_bytes_s",
    "in_force_worst_ms",
    "restart_bytes",
    "spread_most",
    "spread_least",
    "moved_share",
    "broken_rules",
    "predict_error_percent",
    "hollow_error_percent",
];

#[test]
fn the_last_line_of_measure_holds_all_figures() {
    let (directory, path) = results();
    let small = directory.path().join("small.xml");
    let target = include_str!("../../../deploy/capacity.xml")
        .replace("<agents count=\"530\"", "<agents count=\"6\"")
        .replace(
            "count=\"210\" appliances=\"7400\" largest=\"600\"",
            "count=\"3\" appliances=\"90\" largest=\"40\"",
        )
        .replace("<routes count=\"2700\"", "<routes count=\"30\"")
        .replace("at-once=\"20\"", "at-once=\"2\"")
        .replace("per-second=\"33000\"", "per-second=\"300\"");
    std::fs::write(&small, target).expect("a target file");
    let mut measure = Command::new(env!("CARGO_BIN_EXE_lilacgate-scale"));
    measure
        .args(["measure", "--threads", "1", "--target"])
        .arg(&small);
    let output = measure
        .arg("--output")
        .arg(&path)
        .output()
        .expect("it runs");
    assert!(output.status.success(), "{}", errors(&output));
    let text = String::from_utf8_lossy(&output.stdout).into_owned();
    let line = text
        .lines()
        .last()
        .and_then(|line| line.strip_prefix("measure scale: "));
    let pairs = line
        .expect("the last line")
        .split(' ')
        .filter_map(|pair| pair.split_once('='));
    let pairs: Vec<(&str, &str)> = pairs.collect();
    assert_eq!(pairs.iter().map(|(key, _)| *key).collect::<Vec<_>>(), KEYS);
    assert_eq!(
        pairs[..3],
        [("agents", "6"), ("appliances", "90"), ("services", "3")]
    );
    assert_eq!(pairs[13], ("broken_rules", "0"));
    let figures = pairs[3..15].iter().map(|(_, value)| value.parse::<f64>());
    assert!(
        figures
            .into_iter()
            .all(|figure| figure.is_ok_and(f64::is_finite)),
        "{text}"
    );
    assert!(
        result::load(&path)
            .expect("results")
            .iter()
            .all(|sample| sample.complete)
    );
}
