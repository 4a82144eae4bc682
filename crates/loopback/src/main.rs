//! Measures a fleet of real agents on loopback.

use std::process::ExitCode;

use clap::Parser;
use lilacgate_loopback::command::Arguments;

fn main() -> ExitCode {
    Arguments::parse().execute()
}
