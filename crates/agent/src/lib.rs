//! The lilacgate agent: a program that runs the decision engine on real sockets.
//!
//! [`startup`] starts the agent; [`lifecycle`] handles signals until the shutdown. Everything runs on one thread, in
//! [`event_loop`], except for the threads that write the log, the timeline store and the files that are written on
//! request. `main.rs` only calls [`run`], so that tests can reach every module.

pub mod clients;
pub mod clock;
mod command_line;
pub mod discovery;
pub mod dispatcher;
pub mod endpoint_ids;
pub mod endpoint_list;
pub mod endpoint_start_times;
pub mod engine_host;
pub mod error;
pub mod event_loop;
mod file_writer;
pub mod http_response;
pub mod json;
pub mod lifecycle;
pub mod log;
pub mod loop_monitor;
mod operator_file;
pub mod outbound;
pub mod pacing;
pub mod peers;
pub mod platform;
pub mod recorder;
pub mod release_gate;
pub mod release_watch;
pub mod resp;
mod signals;
pub mod start_config;
pub mod startup;
pub mod transport;
pub mod unanswered;
pub mod upstream;
mod watched_services;

use std::process::ExitCode;

use clap::Parser as _;

use crate::command_line::Arguments;

/// Runs the agent, configured by its command line and environment, until it ends.
///
/// An error at the start is written to standard error, one line for each fault, and makes the program fail.
pub fn run() -> ExitCode {
    match startup::start(Arguments::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(error) => {
            for message in error.messages() {
                eprintln!("lilacgate: {message}");
            }
            ExitCode::FAILURE
        }
    }
}
