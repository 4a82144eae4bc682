//! The kinds of events and their codes.
use std::fmt;

/// The kind of an event, given by its record's code.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum EventKind {
    /// A wake-up is due.
    WakeUp,
    /// A client closed its connection.
    ClientLeft,
    /// The platform's own statistics of a past period.
    PeriodStatistics,
    /// An attempt ended.
    AttemptEnded,
    /// A numbered page of endpoints, for all instances.
    EndpointPage,
    /// An instance starts.
    InstanceStarted,
    /// The first part of a response was sent to the client.
    ResponseStarted,
    /// The status of the newest build, or the answer to a vote.
    ReleaseNotice,
    /// An instance is terminated without notice.
    InstanceStopped,
    /// A message of another agent.
    PeerMessage,
    /// A response that was counted as a success was found to be wrong.
    WrongAnswer,
    /// A health check ended.
    HealthCheck,
    /// A client sent a request.
    Request,
    /// An update of an instance's endpoint list.
    EndpointUpdate,
    /// Selects the instance that the following events are for.
    SelectInstance,
}

impl EventKind {
    /// The kind with this code, from 1 to 15; `None` for other codes.
    pub fn from_code(code: u8) -> Option<Self> {
        Some(match code {
            1 => EventKind::WakeUp,
            2 => EventKind::ClientLeft,
            3 => EventKind::PeriodStatistics,
            4 => EventKind::AttemptEnded,
            5 => EventKind::EndpointPage,
            6 => EventKind::InstanceStarted,
            7 => EventKind::ResponseStarted,
            8 => EventKind::ReleaseNotice,
            9 => EventKind::InstanceStopped,
            10 => EventKind::PeerMessage,
            11 => EventKind::WrongAnswer,
            12 => EventKind::HealthCheck,
            13 => EventKind::Request,
            14 => EventKind::EndpointUpdate,
            15 => EventKind::SelectInstance,
            _ => return None,
        })
    }

    /// The record's name on the wire.
    pub fn wire_name(self) -> &'static str {
        match self {
            EventKind::WakeUp => "REMINDER",
            EventKind::ClientLeft => "HANGUP",
            EventKind::PeriodStatistics => "PERIOD_SUMS",
            EventKind::AttemptEnded => "RESOLVED",
            EventKind::EndpointPage => "PAGE",
            EventKind::InstanceStarted => "UP",
            EventKind::ResponseStarted => "HEADERS",
            EventKind::ReleaseNotice => "TRIAL_NEWS",
            EventKind::InstanceStopped => "HALT",
            EventKind::PeerMessage => "MAIL",
            EventKind::WrongAnswer => "BAD_ANSWER",
            EventKind::HealthCheck => "ECHO",
            EventKind::Request => "INBOUND",
            EventKind::EndpointUpdate => "UPDATE",
            EventKind::SelectInstance => "ON",
        }
    }
}

impl fmt::Display for EventKind {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter.write_str(self.wire_name())
    }
}
