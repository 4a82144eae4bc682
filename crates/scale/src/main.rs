//! The command `lilacgate-scale`; everything is in the library.
use std::process::ExitCode;

fn main() -> ExitCode {
    lilacgate_scale::cli::main()
}
