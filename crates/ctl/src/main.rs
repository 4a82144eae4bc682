//! `lgctl`, the operators' command line. This file defines the global arguments, logging and the exit codes; each
//! command has a module of its own. The program reads files and prints; it does not communicate with other processes,
//! and writes only the files named in its arguments.
//!
//! Exit codes: 0 success; 1 negative answer (invalid operator file, not admitted, no plan, no records); 2 invalid
//! command line; 3 a file or an argument value cannot be used.

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

/// The command ran and its answer is negative.
const EXIT_NEGATIVE: u8 = 1;
/// A file cannot be read or written, or its content or an argument value is not valid.
const EXIT_ERROR: u8 = 3;

/// The operators' command line of lilacgate
///
/// Exit codes: 0 success; 1 negative answer; 2 invalid command line; 3 a file or an argument value cannot be used.
#[derive(Parser)]
#[command(name = "lgctl", version)]
struct Arguments {
    /// Print the answer as JSON on standard output
    #[arg(long, global = true)]
    json: bool,
    /// Format of the log lines on standard error
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: LogFormat,
    /// Also log debug messages
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
    /// Validate operator files and list every fault
    Check(check::CheckArguments),
    /// Explain where builds are admitted, and plan releases
    #[command(subcommand)]
    Releases(releases::ReleasesCommand),
    /// Show what happened on each endpoint, from an agent's store or dump
    #[command(subcommand)]
    Timeline(timeline::TimelineCommand),
}

/// The answer of a command that ran to its end; determines the exit code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum Answer {
    Yes,
    No,
}

impl Answer {
    fn yes_if(holds: bool) -> Self {
        if holds { Answer::Yes } else { Answer::No }
    }
}

/// The answer of a command, or the error that prevented one.
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
