//! What operators see: log lines at a bounded rate, the codes of how connections end, and the counters.
//!
//! A line is `event_name key=value key="text with spaces"`, with Unix time in front. `docs/on-call.md` lists the events.
//!
//! Nothing here blocks, and nothing may be decided by what it holds.
mod connection_end;
mod counters;
mod quoted;
mod writer;

pub use connection_end::ConnectionEnd;
pub use counters::{Count, add, count, counters, raise_to};
pub use quoted::Quoted;
pub(crate) use writer::info;
pub use writer::{CallSite, flush, write};
