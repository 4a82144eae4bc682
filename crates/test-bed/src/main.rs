//! The command line of the test bed: the demonstration and the measurements, with the agent beside it.
use std::path::PathBuf;
use std::process::ExitCode;
use std::time::Duration;

use clap::{Parser, Subcommand, ValueEnum};
use lilacgate_test_bed::agent_process::AgentProcess;
use lilacgate_test_bed::{crash_test, demo, measure_releases, measure_timeline, soak};

/// Runs an agent against stand-ins on loopback. Exit code 1: something was not as it should be.
#[derive(Debug, Parser)]
#[command(name = "lilacgate-test-bed", version)]
struct Arguments {
    /// The agent's program; the one beside this program, if left out
    #[arg(long, value_name = "FILE", global = true)]
    program: Option<PathBuf>,
    #[command(subcommand)]
    command: Command,
}

#[derive(Debug, Subcommand)]
enum Command {
    /// Three releases on a small fleet, told in plain words, in under a minute
    Demo,
    /// Figures of a subsystem, the line `measure NAME: ..` last
    Measure { name: Measurement },
    /// Runs of an agent whose system calls fail, whose clock is stepped and that is signalled, killed and crowded
    Soak {
        /// The first seed
        #[arg(long, default_value_t = 1)]
        seed: u64,
        /// How many runs
        #[arg(long, default_value_t = 1)]
        seeds: u64,
        /// Begin no run after so many seconds
        #[arg(long)]
        seconds: Option<u64>,
    },
    /// Writes records into a store until it is killed; prints the number of each that is kept
    #[command(hide = true)]
    WriteStore { folder: PathBuf, first: u32 },
}

#[derive(Clone, Copy, Debug, ValueEnum)]
enum Measurement {
    Releases,
    Timeline,
}

/// The agent's program is missing, or the command line is wrong.
const USAGE_ERROR: u8 = 2;

fn main() -> ExitCode {
    let arguments = Arguments::parse();
    let program = arguments
        .program
        .unwrap_or_else(AgentProcess::default_program);
    let run: fn(&std::path::Path) -> bool = match arguments.command {
        Command::WriteStore { folder, first } => {
            // It ends only with an error: else it is killed.
            if let Err(error) = crash_test::write_until_killed(&folder, first) {
                eprintln!("lilacgate-test-bed: {error}");
            }
            return ExitCode::FAILURE;
        }
        Command::Soak {
            seed,
            seeds,
            seconds,
        } => {
            let limit = seconds.map(Duration::from_secs);
            let report = soak::run(&program, seed..seed + seeds, limit);
            println!("{report:#?}");
            return if report.is_clean() {
                ExitCode::SUCCESS
            } else {
                ExitCode::FAILURE
            };
        }
        Command::Demo => demo::run,
        Command::Measure {
            name: Measurement::Releases,
        } => measure_releases::run,
        Command::Measure {
            name: Measurement::Timeline,
        } => measure_timeline::run,
    };
    if !program.is_file() {
        eprintln!(
            "lilacgate-test-bed: no agent at {}: build it first, or name it by --program",
            program.display()
        );
        return ExitCode::from(USAGE_ERROR);
    }
    if run(&program) {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
