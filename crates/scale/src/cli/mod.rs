//! The command line: one file for each sub-command.
pub mod check;
pub mod events;
pub mod measure;
pub mod page;
pub mod point;
pub mod session;
pub mod slopes;
pub mod verdicts;

use std::process::ExitCode;

use clap::{Parser, Subcommand};

use crate::cli::session::{Options, Session};
use crate::error::ScaleError;

/// Exit code of a run that was stopped before its end.
const STOPPED: u8 = 3;
/// Exit code of a run that cannot begin.
const UNUSABLE: u8 = 2;

/// Measures what control costs in a large fleet, in virtual time.
#[derive(Debug, Parser)]
#[command(name = "lilacgate-scale")]
struct Arguments {
    #[command(flatten)]
    options: Options,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Whether a target file can be used.
    Check(check::Arguments),
    /// Cost in one steady fleet.
    Point(point::Arguments),
    /// What events cost at the target's size.
    Events(events::Arguments),
    /// The target's figures beside its budgets, in under a minute.
    Measure(measure::Arguments),
    /// How long a release's test takes to turn back a bad build.
    Verdicts(verdicts::Arguments),
    /// Makes the generated parts of the capacity page anew.
    Page(page::PageArguments),
    /// Draws the plots of the capacity page anew.
    Plots(page::PlotArguments),
    /// Cost against each size, one at a time; the largest is held back from the fit.
    Slopes(slopes::Arguments),
}

/// Runs the command that the process was started with.
pub fn main() -> ExitCode {
    let arguments = Arguments::parse();
    tracing_subscriber::fmt()
        .with_writer(std::io::stderr)
        .init();
    match run(arguments) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lilacgate-scale: {fault}");
            ExitCode::from(if fault.is_stop() { STOPPED } else { UNUSABLE })
        }
    }
}

fn run(arguments: Arguments) -> Result<(), ScaleError> {
    let mut session = Session::new(arguments.options)?;
    session.listen()?;
    match arguments.command {
        Command::Check(arguments) => check::run(&arguments),
        Command::Point(arguments) => point::run(&mut session, &arguments),
        Command::Events(arguments) => events::run(&mut session, &arguments),
        Command::Measure(arguments) => measure::run(&mut session, &arguments),
        Command::Verdicts(arguments) => verdicts::run(&mut session, &arguments),
        Command::Page(arguments) => page::write_page(&session, &arguments),
        Command::Plots(arguments) => page::draw_plots(&session, &arguments),
        Command::Slopes(arguments) => slopes::run(&mut session, &arguments),
    }
}
