//! Connections to upstream endpoints, and what is sent on them: attempts of requests, and health checks.
//!
//! A connection carries one exchange at a time, so that an attempt can be given up by closing its connection without
//! harm to another. Invariants:
//!
//! - Nothing is sent twice: an attempt is written to one connection, once.
//! - An attempt ends as [`Outcome::NotSent`](lilacgate_decision::Outcome::NotSent) or
//!   [`ConnectFailed`](lilacgate_decision::Outcome::ConnectFailed) only if its last byte was not handed to the socket,
//!   so that it cannot have run.
//! - An answer that comes behind another one is never taken: a connection with unexpected bytes is closed, and one
//!   rests between two exchanges for as long as an answer may be late.
//! - The number of open connections is bounded; beyond it the longest idle one is closed.
//!
//! Which endpoint gets a request is decided by the decision engine.
mod attempt;
mod connection;
mod health_check;
mod load_report;
mod pool;

pub use pool::UpstreamPool;
