//! Reads frames of events from standard input and answers each with a frame of actions on standard output.
use std::io::{self, BufReader, BufWriter};
use std::process::ExitCode;

use lilacgate_simulator_adapter::serve;

fn main() -> ExitCode {
    let mut input = BufReader::new(io::stdin().lock());
    let mut output = BufWriter::new(io::stdout().lock());
    match serve(&mut input, &mut output) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            eprintln!("lilacgate-simulator-adapter: {error}");
            ExitCode::FAILURE
        }
    }
}
