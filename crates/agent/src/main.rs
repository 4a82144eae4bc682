//! The agent's program. All code is in the library, so that tests can reach it.

fn main() -> std::process::ExitCode {
    lilacgate_agent::run()
}
