//! The command `lilacgate-scale`; everything is in the library.
#![forbid(unsafe_code)]
use std::process::ExitCode;

fn main() -> ExitCode {
    lilacgate_scale::cli::main()
}
