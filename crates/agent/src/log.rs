//! What operators see: log lines at a bounded rate, the codes of how connections end, and the counters.
//!
//! Nothing here blocks, and nothing may be decided by what it holds.
mod connection_end;
mod counters;
mod writer;

pub use connection_end::ConnectionEnd;
pub use counters::{Count, add, count, counters};
pub(crate) use writer::info;
pub use writer::{CallSite, flush, write};
