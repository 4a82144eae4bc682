//! One agent process: its start, its end by its own id, and its figures as procfs reports them.

use std::fs::{self, File};
use std::io;
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

use procfs::ProcError;
use procfs::process::Process;

use crate::error::LoopbackError;

/// How many of the last lines of a log an error shows.
const LOG_END_LINES: usize = 5;

/// A running agent; it is killed when this is dropped.
#[derive(Debug)]
pub struct Agent {
    number: usize,
    child: Child,
    log: PathBuf,
    listen: SocketAddr,
    started: Instant,
}

/// What a process has used so far.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Usage {
    /// Processor time of all its threads that still run, from the scheduler's own clock.
    pub processor: Duration,
    /// How long its threads were ready to run and waited for a processor.
    pub run_queue_wait: Duration,
    /// Resident memory now, in bytes.
    pub resident: u64,
    /// The largest resident memory so far, in bytes.
    pub peak_resident: u64,
}

impl Agent {
    /// Starts the program with this start file. Its log goes to a file beside it.
    ///
    /// # Errors
    /// [`LoopbackError::Setup`] if its log file cannot be created, [`LoopbackError::Spawn`] if the program does not start.
    pub fn spawn(
        program: &Path,
        start_file: &Path,
        number: usize,
        listen: SocketAddr,
    ) -> Result<Self, LoopbackError> {
        let log = start_file.with_extension("log");
        let log_file = File::create(&log).map_err(LoopbackError::setup("an agent's log"))?;
        let mut command = Command::new(program);
        command
            .env("RELAY_CONFIG", start_file)
            .env_remove("LILACGATE_OPERATOR");
        command
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log_file);
        let spawn_error = |cause: io::Error| LoopbackError::Spawn {
            program: program.to_owned(),
            cause,
        };
        let started = Instant::now();
        let child = command.spawn().map_err(spawn_error)?;
        Ok(Agent {
            number,
            child,
            log,
            listen,
            started,
        })
    }

    /// Its number within the fleet.
    pub fn number(&self) -> usize {
        self.number
    }

    /// The address that it accepts clients on.
    pub fn listen(&self) -> SocketAddr {
        self.listen
    }

    /// When it was started.
    pub fn started(&self) -> Instant {
        self.started
    }

    /// Its process id.
    pub fn process_id(&self) -> u32 {
        self.child.id()
    }

    /// Checks that it has not ended.
    ///
    /// # Errors
    /// [`LoopbackError::Ended`] if it has ended.
    pub fn check_running(&mut self) -> Result<(), LoopbackError> {
        let status = match self.child.try_wait() {
            Ok(None) => return Ok(()),
            Ok(Some(status)) => status.to_string(),
            Err(fault) => fault.to_string(),
        };
        Err(LoopbackError::Ended {
            agent: self.number,
            status,
            log: self.log_end(),
        })
    }

    /// The last lines of its log.
    pub fn log_end(&self) -> String {
        let log = fs::read_to_string(&self.log).unwrap_or_default();
        let lines: Vec<&str> = log.lines().collect();
        lines[lines.len().saturating_sub(LOG_END_LINES)..].join(" | ")
    }

    /// Its resource usage so far.
    ///
    /// # Errors
    /// [`LoopbackError::Usage`] if procfs has no figures for the process.
    pub fn usage(&self) -> Result<Usage, LoopbackError> {
        let process = self.process_id();
        usage_of(process).map_err(|cause| LoopbackError::Usage { process, cause })
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}

fn usage_of(process_id: u32) -> Result<Usage, ProcError> {
    let process = Process::new(process_id.cast_signed())?;
    let (mut running, mut waiting) = (0, 0);
    for task in process.tasks()? {
        let schedule = task?.schedstat()?;
        running += schedule.sum_exec_runtime;
        waiting += schedule.run_delay;
    }
    let status = process.status()?;
    let bytes = |kilobytes: Option<u64>| kilobytes.unwrap_or_default() * 1024;
    Ok(Usage {
        processor: Duration::from_nanos(running),
        run_queue_wait: Duration::from_nanos(waiting),
        resident: bytes(status.vmrss),
        peak_resident: bytes(status.vmhwm),
    })
}
