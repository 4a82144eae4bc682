//! Runs one plan from its first process to its last figure.

use std::io::Write;

use lilacgate_capacity::Sample;
use tokio::runtime::{Builder, Runtime};

use crate::error::LoopbackError;
use crate::fleet::Fleet;
use crate::interrupt::Interrupt;
use crate::plan::Plan;
use crate::samples;
use crate::startup::Startup;
use crate::window::Window;

/// Threads of the stand-ins and clients.
const THREADS: usize = 2;

/// What a run has measured.
#[derive(Clone, Debug)]
pub struct Summary {
    /// The first start of the agents.
    pub startup: Startup,
    /// A window for each request rate.
    pub windows: Vec<Window>,
    /// The restart of all agents, if the plan has one.
    pub restart: Option<Startup>,
    /// How many samples were written.
    pub samples: usize,
    /// Whether a signal ended the run early.
    pub interrupted: bool,
}

/// Runs a plan, and writes each sample as a line of JSON as soon as it is measured. All processes have ended when this
/// returns, also with an error.
///
/// # Errors
/// As [`measure`], and [`LoopbackError::Setup`] if threads or signal handlers cannot be set up.
pub fn run(plan: &Plan, output: &mut dyn Write) -> Result<Summary, LoopbackError> {
    runtime()?.block_on(async { measure(plan, output, Interrupt::on_signals()?).await })
}

/// The threads that stand-ins and clients run on.
///
/// # Errors
/// [`LoopbackError::Setup`] if the threads cannot be started.
pub fn runtime() -> Result<Runtime, LoopbackError> {
    let mut builder = Builder::new_multi_thread();
    let runtime = builder.worker_threads(THREADS).enable_all().build();
    runtime.map_err(LoopbackError::setup("the stand-ins' threads"))
}

/// The same as [`run`], within such a runtime; an interrupt ends it early and marks the window that it ends.
///
/// # Errors
/// As [`Fleet::new`], [`Fleet::start`] and [`Fleet::measure`], and [`LoopbackError::Output`] if a sample cannot be
/// written.
pub async fn measure(
    plan: &Plan,
    output: &mut dyn Write,
    interrupt: Interrupt,
) -> Result<Summary, LoopbackError> {
    let mut written = 0;
    let mut write = |samples: Vec<Sample>| {
        written += samples.len();
        lilacgate_capacity::result::write(output, &samples)
    };
    let mut fleet = Fleet::new(plan.clone(), interrupt.clone()).await?;
    let startup = fleet.start().await?;
    write(samples::of_startup(plan, &startup, None))?;
    let mut windows = Vec::with_capacity(plan.request_rates.len());
    for rate in &plan.request_rates {
        let window = fleet.measure(*rate).await?;
        write(samples::of_window(plan, &window))?;
        windows.push(window);
        if interrupt.is_set() {
            break;
        }
    }
    let restart = if plan.restart && !interrupt.is_set() {
        Some(fleet.start().await?)
    } else {
        None
    };
    if let Some(restart) = &restart {
        write(samples::of_startup(plan, restart, Some(samples::RESTART)))?;
    }
    Ok(Summary {
        startup,
        windows,
        restart,
        samples: written,
        interrupted: interrupt.is_set(),
    })
}
