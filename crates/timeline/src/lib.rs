//! Keeps a timeline for each node, that is, each endpoint named by its number. A timeline holds the node's state and
//! build, load, errors, latency, and every decision about the node. Each entry has two times: when the event happened
//! and when this agent learned of it. An event is also recorded when a node, a build or the fleet departs from its
//! baseline. The crate does no I/O and reads no clock: callers pass instants in, as durations since the Unix epoch.
//!
//! - [`fleet_timeline`] takes what an agent receives and decides, and keeps one [`node_timeline`] per node;
//! - [`step_history`] holds counts over time, and latencies as a [`latency_sketch`];
//! - [`monitor`] detects departures of a node, a build or the fleet with a [`sequential_test`] against a
//!   [`baseline`];
//! - [`entry`] defines the records in their stored form.

pub mod baseline;
pub mod entry;
pub mod fleet_timeline;
pub mod latency_sketch;
pub mod monitor;
pub mod node_timeline;
pub mod sequential_test;
pub mod step_history;
