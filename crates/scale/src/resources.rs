//! What the process itself uses: resident memory, and when to stop.
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use cpu_time::ThreadTime;

use crate::error::ScaleError;

/// Bytes in a megabyte.
pub const MEGABYTE: u64 = 1_000_000;
/// Readings of the clock from which its own cost is averaged.
const CALIBRATIONS: u32 = 20_000;

/// Resident memory of this process in bytes, 0 if it is not known.
pub fn resident_bytes() -> u64 {
    memory_stats::memory_stats().map_or(0, |stats| stats.physical_mem as u64)
}

/// Half of the machine's memory in bytes, the most that a run may use.
pub fn half_of_machine() -> u64 {
    let text = std::fs::read_to_string("/proc/meminfo").unwrap_or_default();
    let total = text.lines().find_map(|line| line.strip_prefix("MemTotal:"));
    let kilobytes = total.and_then(|rest| rest.trim().trim_end_matches(" kB").parse::<u64>().ok());
    kilobytes.map_or(u64::MAX, |kilobytes| kilobytes * 1024 / 2)
}

/// What one reading of the thread's processor clock costs.
pub fn timer_cost() -> Duration {
    let start = ThreadTime::now();
    for _ in 0..CALIBRATIONS {
        std::hint::black_box(ThreadTime::now());
    }
    start.elapsed() / CALIBRATIONS
}

/// When a run has to stop: at its memory limit, or when the user interrupts it.
#[derive(Clone, Debug)]
pub struct Limits {
    memory: u64,
    interrupted: Arc<AtomicBool>,
}

impl Limits {
    /// Limits memory to a number of bytes, and never to more than half of the machine's.
    pub fn new(memory: Option<u64>) -> Self {
        let half = half_of_machine();
        Limits {
            memory: memory.map_or(half, |limit| limit.min(half)),
            interrupted: Arc::default(),
        }
    }

    /// The memory limit in bytes.
    pub fn memory(&self) -> u64 {
        self.memory
    }

    /// Interrupts the run.
    pub fn interrupt(&self) {
        self.interrupted.store(true, Ordering::Relaxed);
    }

    /// Whether the run is interrupted.
    pub fn is_interrupted(&self) -> bool {
        self.interrupted.load(Ordering::Relaxed)
    }

    /// Interrupts the run at SIGINT or SIGTERM.
    ///
    /// # Errors
    /// The handler cannot be installed.
    pub fn listen(&self) -> Result<(), ScaleError> {
        let interrupted = self.interrupted.clone();
        Ok(ctrlc::set_handler(move || {
            interrupted.store(true, Ordering::Relaxed)
        })?)
    }

    /// Whether the run may go on.
    ///
    /// # Errors
    /// It may not: the reason.
    pub fn check(&self) -> Result<(), ScaleError> {
        if self.is_interrupted() {
            return Err(ScaleError::Interrupted);
        }
        let used = resident_bytes();
        if used <= self.memory {
            return Ok(());
        }
        Err(ScaleError::MemoryLimit {
            used_megabytes: used / MEGABYTE,
            limit_megabytes: self.memory / MEGABYTE,
        })
    }
}
