//! The agent's program: everything is in the library, so that tests can reach its parts.

fn main() -> std::process::ExitCode {
    lilacgate_agent::run()
}
