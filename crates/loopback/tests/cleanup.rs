//! Processes end with their run, also where it fails or is interrupted. Shell scripts stand for agents.

use std::fs::{self, Permissions};
use std::os::unix::fs::PermissionsExt;
use std::path::{Path, PathBuf};
use std::process::{Command, Stdio};
use std::thread;
use std::time::{Duration, Instant};

use lilacgate_loopback::{LoopbackError, Plan, run};
use rstest::rstest;
use tempfile::TempDir;

/// Longer than any wait in these tests.
const PATIENCE: Duration = Duration::from_secs(20);

/// A program that notes its process id, and then does this.
fn program(folder: &TempDir, then: &str) -> PathBuf {
    let path = folder.path().join("agent");
    let ids = folder.path().join("ids");
    fs::write(
        &path,
        format!("#!/bin/sh\necho $$ >> {}\n{then}\n", ids.display()),
    )
    .expect("a script");
    fs::set_permissions(&path, Permissions::from_mode(0o755)).expect("it can be run");
    path
}

/// The process ids that were noted.
fn noted(folder: &TempDir) -> Vec<u32> {
    let ids = fs::read_to_string(folder.path().join("ids")).unwrap_or_default();
    ids.lines().map(|id| id.parse().expect("an id")).collect()
}

fn is_running(process_id: u32) -> bool {
    Path::new(&format!("/proc/{process_id}")).exists()
}

fn run_with(program: PathBuf) -> LoopbackError {
    let mut plan = Plan::new(program, 3, 10);
    plan.ready_within = Duration::from_secs(1);
    run(&plan, &mut Vec::new()).expect_err("no agent becomes ready")
}

#[rstest]
fn a_program_that_is_missing_is_named() {
    let error = run_with(PathBuf::from("/no/such/agent"));
    assert!(matches!(error, LoopbackError::Spawn { .. }), "{error}");
    assert!(error.to_string().contains("/no/such/agent"), "{error}");
}

#[rstest]
fn an_agent_that_ends_is_reported_with_its_log() {
    let folder = tempfile::tempdir().expect("a folder");
    let error = run_with(program(&folder, "echo no settings >&2; exit 3"));
    assert!(matches!(error, LoopbackError::Ended { .. }), "{error}");
    assert!(error.to_string().contains("no settings"), "{error}");
}

#[rstest]
fn agents_that_are_never_ready_are_ended() {
    let folder = tempfile::tempdir().expect("a folder");
    let error = run_with(program(&folder, "exec sleep 600"));
    assert!(matches!(error, LoopbackError::NotReady { .. }), "{error}");
    let ids = noted(&folder);
    assert_eq!(ids.len(), 3);
    assert!(!ids.into_iter().any(is_running));
}

#[rstest]
#[case("INT")]
#[case("TERM")]
fn a_signal_ends_the_agents_too(#[case] signal: &str) {
    let folder = tempfile::tempdir().expect("a folder");
    let agent = program(&folder, "exec sleep 600");
    let mut command = Command::new(env!("CARGO_BIN_EXE_lilacgate-loopback"));
    command.args(["--agents", "3"]).arg("--program").arg(&agent);
    let measuring = command.stderr(Stdio::piped()).spawn().expect("it starts");
    let deadline = Instant::now() + PATIENCE;
    while noted(&folder).len() < 3 {
        assert!(Instant::now() < deadline, "no agent starts");
        thread::sleep(Duration::from_millis(10));
    }
    let kill = Command::new("kill")
        .args([format!("-{signal}"), measuring.id().to_string()])
        .status();
    assert!(kill.expect("kill runs").success());
    let ended = measuring.wait_with_output().expect("it ends");
    let error_text = String::from_utf8_lossy(&ended.stderr);
    assert_eq!(ended.status.code(), Some(1), "{error_text}");
    assert!(error_text.contains("interrupted"), "{error_text}");
    assert!(!noted(&folder).into_iter().any(is_running));
}
