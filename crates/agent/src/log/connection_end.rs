//! The reasons for which connections end, and the code of each in log lines.
use std::fmt;
use std::io;

use crate::transport::is_resource_shortage;

/// Why a connection ended. `docs/on-call.md` explains each code and what to do about it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The other side closed the connection.
    Closed,
    /// The other side reset the connection.
    Reset,
    /// The other side refused the connection, or answered that it refuses the request.
    Refused,
    /// The other side could not be reached.
    Unreachable,
    /// Nothing arrived in time.
    TimedOut,
    /// A message began, but the rest of it did not arrive in time.
    Stalled,
    /// A message arrived that cannot be parsed.
    Malformed,
    /// A message arrived that is longer than its limit.
    TooLong,
    /// More messages arrived than are allowed.
    TooManyMessages,
    /// The agent no longer needs the connection.
    Cancelled,
    /// The connection was idle for too long.
    Idle,
    /// The connection was closed to make room for another one.
    Evicted,
    /// The other side closed the connection, or sent something on it, while it was idle.
    Stale,
    /// The endpoint is no longer listed, or no longer takes requests.
    EndpointRemoved,
    /// The address of the service has changed.
    AddressChanged,
    /// A resource limit of this machine or process was reached.
    ResourceLimit,
    /// The agent is shutting down.
    ShuttingDown,
    /// The connection ended for another reason.
    Failed,
}

impl ConnectionEnd {
    /// The code of the reason in log lines.
    pub const fn code(self) -> &'static str {
        match self {
            ConnectionEnd::Closed => "closed",
            ConnectionEnd::Reset => "reset",
            ConnectionEnd::Refused => "refused",
            ConnectionEnd::Unreachable => "unreachable",
            ConnectionEnd::TimedOut => "timeout",
            ConnectionEnd::Stalled => "stalled",
            ConnectionEnd::Malformed => "malformed",
            ConnectionEnd::TooLong => "too_long",
            ConnectionEnd::TooManyMessages => "too_many_messages",
            ConnectionEnd::Cancelled => "cancelled",
            ConnectionEnd::Idle => "idle",
            ConnectionEnd::Evicted => "evicted",
            ConnectionEnd::Stale => "stale",
            ConnectionEnd::EndpointRemoved => "endpoint_removed",
            ConnectionEnd::AddressChanged => "address_changed",
            ConnectionEnd::ResourceLimit => "resource_limit",
            ConnectionEnd::ShuttingDown => "shutdown",
            ConnectionEnd::Failed => "failed",
        }
    }
}

impl fmt::Display for ConnectionEnd {
    fn fmt(&self, formatter: &mut fmt::Formatter) -> fmt::Result {
        formatter.write_str(self.code())
    }
}

impl From<io::Error> for ConnectionEnd {
    fn from(error: io::Error) -> ConnectionEnd {
        match error.kind() {
            io::ErrorKind::ConnectionRefused => ConnectionEnd::Refused,
            io::ErrorKind::UnexpectedEof => ConnectionEnd::Closed,
            io::ErrorKind::ConnectionReset
            | io::ErrorKind::BrokenPipe
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::NotConnected => ConnectionEnd::Reset,
            io::ErrorKind::TimedOut
            | io::ErrorKind::HostUnreachable
            | io::ErrorKind::NetworkUnreachable => ConnectionEnd::Unreachable,
            // No port, memory or file descriptor is free.
            _ if is_resource_shortage(&error) => ConnectionEnd::ResourceLimit,
            _ => ConnectionEnd::Failed,
        }
    }
}
