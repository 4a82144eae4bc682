//! Stand-ins for all that an agent talks with, on loopback and unused ports, written from the published protocol.
//! [`scripted_server`] has servers that a test scripts step by step; [`test_bed`] has a small fleet that runs by
//! itself, for the demonstration, scenarios and measurements. What happens there goes into an [`event_log`], and
//! [`check`] looks for broken rules in it. All that is random comes from a seed. No part of this runs in production.

pub mod agent_process;
pub mod check;
pub mod client;
pub mod crash_test;
pub mod demo;
mod endpoint_list;
pub mod endpoint_server;
pub mod error;
pub mod event_log;
pub mod framing;
mod listener;
pub mod loopback_address;
pub mod measure_releases;
pub mod measure_timeline;
pub mod protocol_messages;
pub mod recorded_actions;
pub mod release_control_plane;
pub mod release_scenarios;
pub mod scenario_text;
pub mod scripted_server;
pub mod soak;
pub mod start_file;
mod subscribers;
pub mod test_bed;
pub mod virtual_time;
