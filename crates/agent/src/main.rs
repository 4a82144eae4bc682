//! The agent's program: everything is in the library, so that tests can reach its parts.
#![forbid(unsafe_code)]

fn main() -> std::process::ExitCode {
    lilacgate_agent::run()
}
