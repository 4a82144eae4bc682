//! `lgctl`, the operators' command line. This file owns the arguments, the log and the exit codes; each subject has a
//! file of its own. It reads files and prints; it talks with nothing and changes nothing but the files it is asked to
//! write.
//!
//! Exit codes: 0 fine; 1 the answer is no (faults in a file, not admitted, no plan); 2 the arguments cannot be used;
//! 3 a file cannot be read, written or used.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(missing_debug_implementations)] // Not met yet.
#![allow(unreachable_pub)] // Not met yet.

mod chart;
mod check;
mod lines;
mod plot;
mod releases;
mod time;
mod timeline;

use std::io;
use std::process::ExitCode;

use clap::{Parser, Subcommand, ValueEnum};

/// The operators' command line of lilacgate
///
/// Exit codes: 0 fine; 1 the answer is no; 2 unusable arguments; 3 a file cannot be read, written or used.
#[derive(Parser)]
#[command(name = "lgctl", version)]
struct Asking {
    /// Answers as JSON, on standard output
    #[arg(long, global = true)]
    json: bool,
    /// How log lines look, on standard error
    #[arg(long, global = true, value_enum, default_value = "text")]
    log: Form,
    /// More log lines
    #[arg(short, long, global = true)]
    verbose: bool,
    #[command(subcommand)]
    what: What,
}

#[derive(Clone, Copy, ValueEnum)]
enum Form {
    Text,
    Json,
}

#[derive(Subcommand)]
enum What {
    /// Reads operator's files and names every fault
    Check(check::Check),
    /// Where builds may be used, why not, from when, and when they can come out
    #[command(subcommand)]
    Releases(releases::Releases),
    /// What happened at each desk node, from an agent's store or dump
    #[command(subcommand)]
    Timeline(timeline::Timeline),
}

/// Why there is no answer: a file cannot be read, written or used.
pub struct Unusable(String);

/// Whether the answer is yes.
pub type Answer = Result<bool, Unusable>;

/// A table without blanks at its lines' ends.
pub fn trimmed(table: &comfy_table::Table) -> String {
    table
        .to_string()
        .lines()
        .map(str::trim_end)
        .collect::<Vec<_>>()
        .join("\n")
}

fn main() -> ExitCode {
    let asking = Asking::parse();
    let level = if asking.verbose {
        tracing::Level::DEBUG
    } else {
        tracing::Level::WARN
    };
    let log = tracing_subscriber::fmt()
        .with_max_level(level)
        .with_writer(io::stderr)
        .with_target(false);
    match asking.log {
        Form::Text => log.init(),
        Form::Json => log.json().init(),
    }
    let answer = match asking.what {
        What::Check(check) => check.run(asking.json),
        What::Releases(releases) => releases.run(asking.json),
        What::Timeline(timeline) => timeline.run(asking.json),
    };
    match answer {
        Ok(true) => ExitCode::SUCCESS,
        Ok(false) => ExitCode::from(1),
        Err(Unusable(what)) => {
            tracing::error!("{what}");
            ExitCode::from(3)
        }
    }
}
