//! An agent under test: its process, its log and the signals sent to it.
use std::fmt;
use std::io::BufReader;
use std::path::{Path, PathBuf};
use std::process::{Child, ChildStderr, Command, ExitStatus, Stdio};
use std::sync::{Arc, Mutex};
use std::thread::{self, JoinHandle};
use std::time::{Duration, Instant};

use crate::framing::read_line;
use crate::scripted_server::MAX_WAIT;

const POLL_INTERVAL: Duration = Duration::from_millis(10);

/// Waits until a log contains a text; false if it does not within [`MAX_WAIT`].
///
/// # Panics
/// If a thread panicked while it held the log.
pub fn wait_for_log(log: &Mutex<String>, text: &str) -> bool {
    (0..MAX_WAIT.as_millis() / POLL_INTERVAL.as_millis()).any(|_| {
        let found = log.lock().expect("the log's lock").contains(text);
        if !found {
            thread::sleep(POLL_INTERVAL);
        }
        found
    })
}

/// How an agent's process ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum AgentExit {
    /// It exited with this code.
    Code(i32),
    /// A signal ended it.
    Killed,
}

impl From<ExitStatus> for AgentExit {
    fn from(status: ExitStatus) -> Self {
        status.code().map_or(AgentExit::Killed, AgentExit::Code)
    }
}

impl fmt::Display for AgentExit {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            AgentExit::Code(code) => write!(formatter, "{code}"),
            AgentExit::Killed => formatter.write_str("killed"),
        }
    }
}

/// What an agent is started with beside its start file.
#[derive(Clone, Copy, Debug, Default)]
pub struct SpawnOptions<'a> {
    /// The operator's file, if there is one.
    pub operator_file: Option<&'a Path>,
    /// How many files it may open, if that is bounded.
    pub open_file_limit: Option<u32>,
    /// The script of the system calls that fail, if any do.
    pub fault_script: Option<&'a Path>,
}

/// A running agent. Its process is killed when this is dropped.
#[derive(Debug)]
pub struct AgentProcess {
    child: Child,
    /// What the agent has logged so far; it outlives the process.
    pub log: Arc<Mutex<String>>,
    /// While this is locked, nobody reads the agent's standard error.
    pub log_reader_gate: Arc<Mutex<()>>,
    log_reader: Option<JoinHandle<()>>,
}

impl AgentProcess {
    /// Starts the program with a start file.
    ///
    /// # Panics
    /// If the process cannot be started, or the library that injects faults is missing where they are wanted.
    pub fn spawn(program: &Path, start_file: &Path, options: SpawnOptions<'_>) -> AgentProcess {
        let set_limit = options
            .open_file_limit
            .map_or(String::new(), |files| format!("ulimit -n {files}; "));
        // Loaded into the agent alone, not into the shell.
        let load_faults = options.fault_script.map_or(String::new(), |script| {
            let library = lilacgate_fault_script::library_path().expect("the library of faults");
            format!(
                "env LD_PRELOAD={} {}={} ",
                library.display(),
                lilacgate_fault_script::SCRIPT_VARIABLE,
                script.display()
            )
        });
        let command = format!("{set_limit}exec {load_faults}{}", program.display());
        let mut shell = Command::new("/bin/sh");
        shell.args(["-c", &command]).env("RELAY_CONFIG", start_file);
        match options.operator_file {
            Some(file) => shell.env("LILACGATE_OPERATOR", file),
            None => shell.env_remove("LILACGATE_OPERATOR"),
        };
        let mut child = shell
            .stderr(Stdio::piped())
            .spawn()
            .expect("the agent's process");
        let stderr = child.stderr.take().expect("its standard error is piped");
        let log = Arc::<Mutex<String>>::default();
        let log_reader_gate = Arc::<Mutex<()>>::default();
        let log_reader = read_log(stderr, log.clone(), log_reader_gate.clone());
        AgentProcess {
            child,
            log,
            log_reader_gate,
            log_reader: Some(log_reader),
        }
    }

    /// The agent's program: `LILACGATE_PROGRAM` if it is set, else the one beside the current program.
    pub fn default_program() -> PathBuf {
        let beside_current = || {
            std::env::current_exe()
                .ok()
                .map(|current| current.with_file_name("lilacgate-agent"))
        };
        std::env::var_os("LILACGATE_PROGRAM")
            .map(PathBuf::from)
            .or_else(beside_current)
            .unwrap_or_default()
    }

    /// The process id.
    pub fn id(&self) -> u32 {
        self.child.id()
    }

    /// Sends a signal, named as for `kill`: `TERM`, `HUP`, ...
    ///
    /// # Panics
    /// If the signal cannot be sent.
    pub fn signal(&self, name: &str) {
        let status = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(status.expect("kill runs").success());
    }

    /// Whether the process has not ended yet.
    pub fn is_running(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// Waits for the process to end; `None` if it does not in this time.
    ///
    /// # Panics
    /// If the status of the process cannot be read.
    pub fn wait_for_exit_within(&mut self, timeout: Duration) -> Option<AgentExit> {
        let deadline = Instant::now() + timeout;
        loop {
            if let Some(status) = self.child.try_wait().expect("the status of a child") {
                return Some(status.into());
            }
            if Instant::now() >= deadline {
                return None;
            }
            thread::sleep(POLL_INTERVAL);
        }
    }

    /// Waits for the process to end. Its log is complete afterwards.
    ///
    /// # Panics
    /// If it does not end within [`MAX_WAIT`].
    pub fn wait_for_exit(mut self) -> AgentExit {
        let exit = self.wait_for_exit_within(MAX_WAIT).expect("the agent ends");
        self.log_reader.take().map(|reader| reader.join().ok());
        exit
    }
}

impl Drop for AgentProcess {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

/// Appends the lines of an agent's standard error to its log, up to the end.
fn read_log(stderr: ChildStderr, log: Arc<Mutex<String>>, gate: Arc<Mutex<()>>) -> JoinHandle<()> {
    thread::spawn(move || {
        let mut stderr = BufReader::new(stderr);
        while let Some(line) = read_line(&mut stderr) {
            drop(gate.lock().expect("the gate's lock"));
            let mut log = log.lock().expect("the log's lock");
            log.push_str(&line);
            log.push('\n');
        }
    })
}
