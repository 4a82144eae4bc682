//! Counters of events since the agent's start. They are logged on request; no decision depends on them.
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Declares the counters: the name of each in the code and in the log line.
macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident $name:literal)*) => {
        /// A counter. All of them start at zero and are logged in this order.
        #[derive(Clone, Copy, Debug)]
        pub enum Count { $($(#[$doc])* $counter),* }

        const NAMES: &[&str] = &[$($name),*];
    };
}

counters! {
    /// Client connections that were accepted.
    ClientsAccepted "clients_accepted"
    /// Failed calls to accept a client connection.
    AcceptsFailed "accepts_failed"
    /// Client connections that have ended.
    ClientsDisconnected "clients_disconnected"
    /// Client connections that were closed to make room for others.
    ClientsEvicted "clients_evicted"
    /// Commands that were refused because only a part of them had arrived when their connection was closed.
    PartialCommandsRefused "partial_commands_refused"
    /// Requests that were passed to the decision engine.
    RequestsAccepted "requests_accepted"
    /// Commands that were refused because they are malformed.
    CommandsRefused "commands_refused"
    /// Requests that succeeded.
    RequestsSucceeded "requests_succeeded"
    /// Requests that the decision engine rejected.
    RequestsRejected "requests_rejected"
    /// Requests that were refused because of a limit, before they reached the decision engine.
    RequestsRefused "requests_refused"
    /// Requests that failed.
    RequestsFailed "requests_failed"
    /// Requests whose client left before the answer.
    RequestsAbandoned "requests_abandoned"
    /// Attempts that were sent.
    Attempts "attempts"
    /// Attempts that succeeded.
    AttemptsSucceeded "attempts_succeeded"
    /// Attempts to which the endpoint answered that they failed.
    AttemptsFailed "attempts_failed"
    /// Attempts that the endpoint rejected.
    AttemptsRejected "attempts_rejected"
    /// Attempts that were not answered in time.
    AttemptsTimedOut "attempts_timed_out"
    /// Attempts whose connection could not be opened, or broke before the request was written.
    AttemptsConnectFailed "attempts_connect_failed"
    /// Attempts whose connection broke after the request was written.
    AttemptsConnectionLost "attempts_connection_lost"
    /// Attempts whose answer could not be parsed.
    AttemptsMalformed "attempts_malformed"
    /// Attempts that the decision engine cancelled.
    AttemptsCancelled "attempts_cancelled"
    /// Attempts that were never sent.
    AttemptsNotSent "attempts_not_sent"
    /// Attempts whose decision was confirmed again, because they could not be written soon after it.
    WritesConfirmed "writes_confirmed"
    /// Attempts that were not written, because it was too late.
    WritesTooLate "writes_too_late"
    /// Repeats of keyed requests whose write ended after their deduplication window, although it was decided on before.
    RepeatsWrittenLate "repeats_written_late"
    /// Attempts that were written, but given up because their endpoint had not got them in time.
    AttemptsUndelivered "attempts_undelivered"
    /// Connections to endpoints that were opened.
    ConnectionsOpened "connections_opened"
    /// Connections to endpoints that have ended.
    ConnectionsClosed "connections_closed"
    /// Replies that might have belonged to an earlier request of their connection, and were told apart by a further command.
    RepliesFenced "replies_fenced"
    /// Replies of endpoints that belonged to an earlier request and came before the reply to a later one.
    SurplusReplies "surplus_replies"
    /// Health checks that were started.
    HealthChecks "health_checks"
    /// Updates of the endpoint list.
    EndpointListUpdates "endpoint_list_updates"
    /// Release updates of the agent's own platform.
    ReleaseUpdates "release_updates"
    /// Votes that were sent.
    Votes "votes"
    /// Release updates of other services.
    DependencyUpdates "dependency_updates"
    /// Changes of the permissions by the operator's rules.
    PermissionChanges "permission_changes"
    /// Departures from the baseline that were detected in the timelines.
    Departures "departures"
    /// Timeline records that were dropped because the disk was too slow or failed.
    TimelineRecordsDropped "timeline_records_dropped"
    /// Datagrams to peers that were sent.
    DatagramsSent "datagrams_sent"
    /// Datagrams from peers that were received.
    DatagramsReceived "datagrams_received"
    /// Received datagrams that were dropped.
    DatagramsDropped "datagrams_dropped"
    /// Rounds of the decision engine.
    Rounds "rounds"
    /// Events that were queued for the decision engine.
    EventsQueued "events_queued"
    /// Rounds that began too long after their earliest timer had expired.
    LateRounds "late_rounds"
    /// How often the event loop was held up for 25 ms or more.
    HoldUps "hold_ups"
    /// How often it was held up for 100 ms or more.
    HoldUpsOver100Ms "hold_ups_over_100_ms"
    /// How often it was held up for 500 ms or more.
    HoldUpsOver500Ms "hold_ups_over_500_ms"
    /// The longest time for which the event loop was held up, in milliseconds.
    LongestHoldUpMs "longest_hold_up_ms"
    /// Requests that may have arrived 100 ms or more before they were read.
    RequestsReadLate "requests_read_late"
    /// Log lines that were lost because the reader was too slow or the write failed.
    LogLinesLost "log_lines_lost"
}

static COUNTS: [AtomicU64; NAMES.len()] = [const { AtomicU64::new(0) }; NAMES.len()];

/// Adds one to a counter.
pub fn count(counter: Count) {
    add(counter, 1);
}

/// Adds to a counter.
pub fn add(counter: Count, amount: u64) {
    COUNTS[counter as usize].fetch_add(amount, Relaxed);
}

/// Raises a counter of a maximum to at least `value`.
pub fn raise_to(counter: Count, value: u64) {
    COUNTS[counter as usize].fetch_max(value, Relaxed);
}

/// All counters on one line, each as ` name=value`.
pub fn counters() -> String {
    let mut line = String::new();
    for (name, count) in NAMES.iter().zip(&COUNTS) {
        // Writing to a string cannot fail.
        write!(line, " {name}={}", count.load(Relaxed)).ok();
    }
    line
}
