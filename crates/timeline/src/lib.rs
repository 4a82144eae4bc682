//! A timeline for each desk node: its state and build, load, errors, latency, and every decision about it, each with
//! when it happened and when this agent came to know of it; and an event when a node, a build or the fleet departs from
//! its baseline. No I/O and no clock: instants are passed in, as spans since 1970.
//!
//! - [`fleet_timeline`] takes what an agent receives and decides, and keeps one [`node_timeline`] a node;
//! - [`step_history`] holds counts over time, with latencies as [`latency_sketch`];
//! - [`monitor`] decides what is a departure, and whether of a node, a build or the fleet, by a [`sequential_test`]
//!   against a [`baseline`];
//! - [`entry`] holds the records, as they are stored.

pub mod baseline;
pub mod entry;
pub mod fleet_timeline;
pub mod latency_sketch;
pub mod monitor;
pub mod node_timeline;
pub mod sequential_test;
pub mod step_history;
