//! What the demonstration prints at its end.
use std::io;
use std::path::Path;
use std::process::Command;

use crate::check::{CheckLimits, CheckReport, check};
use crate::event_log::{Event, LoggedEvent};
use crate::test_bed::TestBed;

const BUILDS: std::ops::RangeInclusive<u16> = 1..=4;
const MAX_VIOLATIONS: usize = 10;

/// Why `lgctl` gives no text.
#[derive(Debug, thiserror::Error)]
enum LgctlError {
    #[error("no lgctl beside the agent: {0}")]
    NotStarted(#[from] io::Error),
    #[error("{stderr}")]
    Failed { stderr: String },
}

/// Ends the run and prints its report. Whether no rule was broken, and the agent's time lines can be shown.
pub(super) fn print(bed: &mut TestBed, program: &Path) -> bool {
    let dumped = bed.dump_timeline();
    let dump = bed.timeline_dump_path().display().to_string();
    let story = lgctl(program, &["timeline", "story", &dump, "--build", "3"]);
    let agent_log = bed.shut_down();
    let events = bed.event_log.events();
    let report = check(&events, &CheckLimits::default());
    print_agent_log(&agent_log);
    print_check(&events, &report);
    println!("\nThe story of build 3, from the agent's own time lines (lgctl timeline story):");
    match &story {
        Ok(text) => text.lines().for_each(|line| println!("  {line}")),
        Err(error) => println!("  {error}"),
    }
    if let Some(file) = std::env::var_os("LILACGATE_DEMO_LINES") {
        std::fs::copy(bed.timeline_dump_path(), file).ok();
    }
    dumped && story.is_ok() && report.is_clean()
}

/// What the operators' command line beside the agent prints.
fn lgctl(program: &Path, arguments: &[&str]) -> Result<String, LgctlError> {
    let output = Command::new(program.with_file_name("lgctl"))
        .args(arguments)
        .output()?;
    if output.status.success() {
        Ok(String::from_utf8_lossy(&output.stdout).into_owned())
    } else {
        let stderr = String::from_utf8_lossy(&output.stderr).into_owned();
        Err(LgctlError::Failed { stderr })
    }
}

fn print_agent_log(log: &str) {
    println!("\nWhat the agent logged of releases and votes:");
    let without_time = |line| str::split_once(line, ' ').map_or(line, |(_, rest)| rest);
    let about_releases = |line: &&str| {
        line.starts_with("release_")
            || line.starts_with("vote_cast ")
            || line.contains(" file=release_state ")
    };
    for line in log.lines().map(without_time).filter(about_releases) {
        println!("  {line}");
    }
}

fn print_check(events: &[LoggedEvent], report: &CheckReport) {
    println!(
        "\nWhat the checker found in {} logged events:",
        events.len()
    );
    println!(
        "  {} requests: {} succeeded, {} rejected, {} failed, {} lost",
        report.requests, report.succeeded, report.rejected, report.failed, report.lost
    );
    for build in BUILDS {
        println!(
            "  build {build} got {} attempts, {} of them in zone b",
            attempts(events, build, None),
            attempts(events, build, Some(1))
        );
    }
    println!(
        "  last attempt at build 4 after its dependency was gone: {} ms (250 are allowed)",
        report.latest_forbidden_attempt.as_millis()
    );
    println!(
        "  sent twice: {}, at a forbidden build: {}, other rules broken: {}",
        report.duplicated,
        report.forbidden_attempts,
        report.violations.len()
    );
    for violation in report.violations.iter().take(MAX_VIOLATIONS) {
        println!("  broken: {violation}");
    }
}

/// The number of attempts at a build, in one zone or in all.
fn attempts(events: &[LoggedEvent], build: u16, zone: Option<usize>) -> usize {
    let counts = |logged: &&LoggedEvent| match logged.event {
        Event::AttemptReceived {
            build: at_build,
            zone: in_zone,
            ..
        } => at_build == build && zone.is_none_or(|zone| zone == in_zone),
        _ => false,
    };
    events.iter().filter(counts).count()
}
