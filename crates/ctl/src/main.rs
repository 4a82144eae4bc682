//! `lgctl`, the operators' command line. This file owns the arguments, the log and the exit codes; each subject has a
//! module of its own. The program reads files and prints; it talks with no other program, and changes nothing but the
//! files that it is asked to write.
//!
//! Exit codes: 0 fine; 1 the answer is no (faults in a file, not admitted, no plan); 2 the arguments cannot be used;
//! 3 a file cannot be read, written or used.

mod check;
mod error;
mod output;
mod releases;
mod time;
mod timeline;

use std::io;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

use crate::error::CommandError;

/// The exit code of the answer no.
const EXIT_NEGATIVE: u8 = 1;
/// The exit code when a file cannot be read, written or used.
const EXIT_ERROR: u8 = 3;

/// The operators' command line of lilacgate
///
/// Exit codes: 0 fine; 1 the answer is no; 2 unusable arguments; 3 a file cannot be read, written or used.
#[derive(Parser)]
#[command(name = "lgctl", version)]
struct Arguments {
    /// Answers as JSON, on standard output
    #[arg(long, global = true)]
    json: bool,
    /// How log lines look, on standard error
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogFormat,
    /// More log lines
    #[arg(short, long, global = true)]
    verbose: bool,
    #[command(subcommand)]
    command: Command,
}

#[derive(Clone, Copy, ValueEnum)]
enum LogFormat {
    Text,
    Json,
}

#[derive(Subcommand)]
enum Command {
    /// Reads operator's files and names every fault
    Check(check::CheckArguments),
    /// Where builds may be used, why not, from when, and when they can come out
    #[command(subcommand)]
    Releases(releases::ReleasesCommand),
    /// What happened at each desk node, from an agent's store or dump
    #[command(subcommand)]
    Timeline(timeline::TimelineCommand),
}

/// The answer of a command, for the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Yes,
    No,
}

impl Answer {
    /// Yes, if this holds.
    fn yes_if(holds: bool) -> Self {
        if holds { Answer::Yes } else { Answer::No }
    }
}

/// What a command ends with.
type CommandResult = Result<Answer, CommandError>;

fn start_log(format: LogFormat, verbose: bool) {
    let level = if verbose {
        tracing::Level::DEBUG
    } else {
        tracing::Level::WARN
    };
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(io::stderr)
        .with_target(false);
    match format {
        LogFormat::Text => log.init(),
        LogFormat::Json => log.json().init(),
    }
}

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    start_log(arguments.log, arguments.verbose);
    let result = match arguments.command {
        Command::Check(check) => Ok(check.run(arguments.json)),
        Command::Releases(releases) => releases.run(arguments.json),
        Command::Timeline(timeline) => timeline.run(arguments.json),
    };
    match result {
        Ok(Answer::Yes) => ExitCode::SUCCESS,
        Ok(Answer::No) => ExitCode::from(EXIT_NEGATIVE),
        Err(error) => {
            tracing::error!("{error}");
            ExitCode::from(EXIT_ERROR)
        }
    }
}
