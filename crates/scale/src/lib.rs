//! A scale test for the control work of a large fleet, in virtual time on one machine.
//!
//! Each [`agent::Agent`] runs the real decision module, made from real start settings, the real
//! parser of discovery's messages and the real codec of reports. Clients, endpoints, discovery and
//! the platform are simulated, "hollow" in result files: minimal models that answer correctly and
//! count the requests that they receive. Hundreds of agents share the process. A
//! [`simulation::Simulation`] steps them in slices of virtual time on a pool of threads and exchanges
//! their messages at the end of each slice, so that a seed gives the same counts whatever the number
//! of threads.
//!
//! Processor time is read from the clock of the working thread, around the module's rounds and the
//! parsers only.
pub mod agent;
pub mod cli;
pub mod decisions;
pub mod discovery;
pub mod endpoint;
pub mod error;
pub mod event;
pub mod fleet;
pub mod measure;
pub mod meter;
pub mod module;
pub mod network;
pub mod platform;
pub mod report;
pub mod resources;
pub mod run;
pub mod settings;
pub mod simulation;
pub mod wire;
