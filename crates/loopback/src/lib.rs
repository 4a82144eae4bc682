//! Starts a fleet of real agent processes on loopback, against stand-ins for discovery, the release platform,
//! appliances and clients, and measures the processes from outside: processor time, resident memory, and the bytes on
//! each control connection as the stand-ins count them.
//!
//! [`run`] does all of it for one [`Plan`] and writes one JSON object a line.

pub mod agent;
pub mod appliance;
pub mod client;
pub mod command;
pub mod discovery;
pub mod error;
pub mod fleet;
pub mod interrupt;
pub mod limits;
pub mod membership;
pub mod plan;
pub mod platform;
mod reading;
pub mod relay;
pub mod request;
pub mod run;
pub mod samples;
pub mod served;
pub mod start_file;
pub mod startup;
pub mod traffic;
pub mod window;

pub use error::LoopbackError;
pub use plan::Plan;
pub use run::{Summary, run};
pub use startup::Startup;
