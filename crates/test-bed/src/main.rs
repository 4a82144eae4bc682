//! The program around the stand-ins: the demonstration, and the measurements. It plays the agent beside it.
use std::path::PathBuf;
use std::process::ExitCode;

use clap::{Parser, Subcommand};
use lilacgate_test_bed::agent_process::AgentProcess;
use lilacgate_test_bed::{demo, gauge, kills, lines};

/// Plays an agent against stand-ins on loopback. Exit code 1: something was not as it should be.
#[derive(Parser)]
#[command(name = "lilacgate-test-bed", version)]
struct Asking {
    /// The agent's program; the one beside this program, if left out
    #[arg(long, value_name = "FILE", global = true)]
    program: Option<PathBuf>,
    #[command(subcommand)]
    what: What,
}

#[derive(Subcommand)]
enum What {
    /// Three releases on a small fleet, told in plain words, in under a minute
    Demo,
    /// Figures of a subsystem, the line `measure NAME: ..` last
    Measure {
        #[arg(value_parser = ["releases", "timeline"])]
        name: String,
    },
    /// Writes records into a store until it is killed; prints the number of each that is kept
    #[command(hide = true)]
    WriteStore { folder: PathBuf, first: u32 },
}

fn main() -> ExitCode {
    let asking = Asking::parse();
    if let What::WriteStore { folder, first } = asking.what {
        kills::write(&folder, first);
        return ExitCode::FAILURE;
    }
    let program = asking.program.unwrap_or_else(AgentProcess::default_program);
    if !program.is_file() {
        eprintln!(
            "lilacgate-test-bed: no agent at {}: build it first, or name it by --program",
            program.display()
        );
        return ExitCode::from(2);
    }
    let fine = match asking.what {
        What::Demo => demo::play(&program),
        What::Measure { name } if name == "timeline" => lines::measure(&program),
        What::Measure { .. } => gauge::releases(&program),
        What::WriteStore { .. } => false,
    };
    if fine {
        ExitCode::SUCCESS
    } else {
        ExitCode::FAILURE
    }
}
