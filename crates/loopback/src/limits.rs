//! The bounds of this machine and this process that a run keeps.

use procfs::Current;
use procfs::process::{LimitValue, Process};

use crate::error::LoopbackError;
use crate::plan::{LEAST_LISTENERS, Plan};

/// Descriptors of this process for each agent, beside its connections to appliances: clients, discovery, the platform,
/// the relay's socket, and a log while it is being opened.
const DESCRIPTORS_PER_AGENT: u64 = 16;
/// Descriptors for everything else.
const OTHER_DESCRIPTORS: u64 = 64;
/// All agents together may hold this fraction (one in `MEMORY_SHARE`) of the machine's memory.
const MEMORY_SHARE: u64 = 2;
/// Bytes of a megabyte, as errors show them.
const MEGABYTE: u64 = 1_000_000;

/// How many descriptors this process may have; `u64::MAX` if there is no limit or it cannot be read.
pub fn descriptors() -> u64 {
    let limits = Process::myself().and_then(|process| process.limits());
    match limits.map(|limits| limits.max_open_files.soft_limit) {
        Ok(LimitValue::Value(limit)) => limit,
        _ => u64::MAX,
    }
}

/// The number of listeners: as many as the plan has, or fewer if the limit on this process's descriptors leaves less
/// room beside the agents' connections.
///
/// # Errors
/// [`LoopbackError::Descriptors`] if the limit is too low for the fewest listeners.
pub fn listeners(plan: &Plan, descriptors: u64) -> Result<usize, LoopbackError> {
    let per_agent = plan.sockets / 2 + DESCRIPTORS_PER_AGENT;
    let others = OTHER_DESCRIPTORS + per_agent * plan.agents as u64;
    let least = plan.listed_appliances.min(LEAST_LISTENERS);
    let needed = others + least as u64;
    if needed > descriptors {
        return Err(LoopbackError::Descriptors {
            needed,
            limit: descriptors,
        });
    }
    let spare = usize::try_from(descriptors - others).unwrap_or(usize::MAX);
    let most = plan.listeners.max(LEAST_LISTENERS);
    Ok(plan.listed_appliances.min(most).min(spare))
}

/// The machine's memory in bytes; `u64::MAX` if it cannot be read.
pub fn machine_memory() -> u64 {
    procfs::Meminfo::current().map_or(u64::MAX, |memory| memory.mem_total)
}

/// Checks that the agents hold at most half of the machine's memory; both sizes in bytes.
///
/// # Errors
/// [`LoopbackError::Memory`] if they hold more.
pub fn check_memory(resident: u64, machine: u64) -> Result<(), LoopbackError> {
    if resident <= machine / MEMORY_SHARE {
        return Ok(());
    }
    Err(LoopbackError::Memory {
        used_mb: resident / MEGABYTE,
        machine_mb: machine / MEGABYTE,
    })
}
