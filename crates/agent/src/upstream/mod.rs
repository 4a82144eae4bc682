//! Connections to upstream endpoints, which carry attempts of requests and health checks.
//!
//! A connection carries one exchange at a time, so that an attempt can be cancelled by closing its connection without
//! affecting another one. Invariants:
//!
//! - An attempt is written to one connection, once.
//! - An attempt ends as [`Outcome::NotSent`](lilacgate_decision::Outcome::NotSent) or
//!   [`ConnectFailed`](lilacgate_decision::Outcome::ConnectFailed) only if its last byte was not handed to the socket, or
//!   has not left this machine, so that it cannot have run.
//! - What an endpoint has not got when its attempt ends is discarded: the connection closes abortively.
//! - Surplus bytes after an answer are not taken for the answer to the next request: a connection with unexpected bytes is
//!   closed, a connection is not reused for as long as an answer may be late, and an answer with the value of an earlier
//!   one on its connection counts only once the reply to a further command shows that no other answer follows.
//! - The number of open connections is bounded; at the bound, the one that has been idle longest is closed.
//!
//! The decision engine chooses the endpoint of each request.
mod attempt;
mod connection;
mod delivery;
mod health_check;
mod load_report;
mod pool;
mod recent_answers;
mod reply;
mod request_write;

pub use pool::UpstreamPool;
