//! Output for operators: rate-limited log lines, the reason codes of ended connections, and counters.
//!
//! A line has the form `event_name key=value key="text with spaces"`, after a Unix time. `docs/on-call.md` lists the
//! events.
//!
//! Logging and counting never block, and no decision may depend on the counters.
mod connection_end;
mod counters;
mod quoted;
mod writer;

pub use connection_end::ConnectionEnd;
pub use counters::{Count, add, count, counters, raise_to};
pub use quoted::Quoted;
pub(crate) use writer::info;
pub use writer::{CallSite, flush, write};
