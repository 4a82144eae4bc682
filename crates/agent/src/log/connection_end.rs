//! Why connections end, and the code of each reason in log lines.
use std::fmt;
use std::io;

use crate::transport::is_resource_shortage;

/// Why a connection ended. What each code means, and what to do, is in `docs/on-call.md`.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ConnectionEnd {
    /// The other side closed it.
    Closed,
    /// The other side reset it.
    Reset,
    /// It was refused.
    Refused,
    /// The other side cannot be reached.
    Unreachable,
    /// Nothing arrived in time.
    TimedOut,
    /// A message began, and the rest of it did not arrive in time.
    Stalled,
    /// Something arrived that cannot be read.
    Malformed,
    /// Something arrived that is longer than its bound.
    TooLong,
    /// More messages arrived than may.
    TooManyMessages,
    /// This agent has no more use for it.
    Cancelled,
    /// It carried nothing for too long.
    Idle,
    /// It made room for another one.
    Evicted,
    /// The other side closed it, or sent something on it, while it was idle.
    Stale,
    /// The endpoint is not listed any more, or takes no requests.
    EndpointRemoved,
    /// The service listens elsewhere now.
    AddressChanged,
    /// A limit of this machine or process was reached.
    ResourceLimit,
    /// The agent shuts down.
    ShuttingDown,
    /// It ended in another way.
    Failed,
}

impl ConnectionEnd {
    /// The code in log lines.
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
            // No port, memory or descriptor is free.
            _ if is_resource_shortage(&error) => ConnectionEnd::ResourceLimit,
            _ => ConnectionEnd::Failed,
        }
    }
}
