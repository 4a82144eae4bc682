//! Stand-ins for all that an agent talks with, on loopback and free ports, written from the published protocol: posts
//! that listen and are scripted step by step (for scenarios), and a small town that plays whole days by itself (for
//! the demonstration and measurements). Everything that happens there is on record with its time, and a checker reads
//! the record for the rules. Chance comes from a seed. Nothing here is part of a running agent.
#![allow(clippy::cognitive_complexity)] // Not met yet.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::missing_errors_doc)] // Not met yet.
#![allow(clippy::missing_panics_doc)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(clippy::wildcard_imports)] // Not met yet.
#![allow(missing_debug_implementations)] // Not met yet.
#![allow(missing_docs)] // Not met yet.

pub mod agent_process;
pub mod check;
pub mod days;
pub mod demo;
pub mod framing;
pub mod gauge;
pub mod kills;
pub mod lines;
pub mod loopback_address;
pub mod protocol_messages;
pub mod record;
pub mod recorded_actions;
pub mod scenario_text;
pub mod scripted_server;
pub mod start_file;
pub mod town;
pub mod virtually;
