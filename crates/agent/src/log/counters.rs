//! Counters of what has happened since the agent's start. They are shown on request, and decide nothing.
use std::fmt::Write;
use std::sync::atomic::{AtomicU64, Ordering::Relaxed};

/// Declares the counters: the name of each in the code, and in the line that shows them.
macro_rules! counters {
    ($($(#[$doc:meta])* $counter:ident $name:literal)*) => {
        /// What is counted since the start. Counters are shown in this order.
        #[derive(Clone, Copy, Debug)]
        pub enum Count { $($(#[$doc])* $counter),* }

        const NAMES: &[&str] = &[$($name),*];
    };
}

counters! {
    /// Connections of clients that were accepted.
    ClientsAccepted "clients_accepted"
    /// Calls that failed to accept one.
    AcceptsFailed "accepts_failed"
    /// Connections of clients that have ended.
    ClientsDisconnected "clients_disconnected"
    /// Requests that were passed to the decision engine.
    RequestsAccepted "requests_accepted"
    /// Commands that were refused for their form.
    CommandsRefused "commands_refused"
    /// Requests that succeeded.
    RequestsSucceeded "requests_succeeded"
    /// Requests that the decision engine rejected.
    RequestsRejected "requests_rejected"
    /// Requests that were refused for a bound, before the decision engine knew of them.
    RequestsRefused "requests_refused"
    /// Requests that failed.
    RequestsFailed "requests_failed"
    /// Requests whose client left before its answer.
    RequestsAbandoned "requests_abandoned"
    /// Attempts that were sent.
    Attempts "attempts"
    /// Attempts that succeeded.
    AttemptsSucceeded "attempts_succeeded"
    /// Attempts that the endpoint answered as failed.
    AttemptsFailed "attempts_failed"
    /// Attempts that the endpoint rejected.
    AttemptsRejected "attempts_rejected"
    /// Attempts without an answer in time.
    AttemptsTimedOut "attempts_timed_out"
    /// Attempts whose connection did not come up, or broke before the request was written.
    AttemptsConnectFailed "attempts_connect_failed"
    /// Attempts whose connection broke after the request was written.
    AttemptsConnectionLost "attempts_connection_lost"
    /// Attempts whose answer could not be read.
    AttemptsMalformed "attempts_malformed"
    /// Attempts that the decision engine cancelled.
    AttemptsCancelled "attempts_cancelled"
    /// Attempts that were never sent.
    AttemptsNotSent "attempts_not_sent"
    /// Connections to endpoints that came up.
    ConnectionsOpened "connections_opened"
    /// Connections to endpoints that have ended.
    ConnectionsClosed "connections_closed"
    /// Health checks that were begun.
    HealthChecks "health_checks"
    /// Updates of the endpoint list.
    EndpointListUpdates "endpoint_list_updates"
    /// Release updates of the agent's own platform.
    ReleaseUpdates "release_updates"
    /// Votes that were sent.
    Votes "votes"
    /// Release updates of other services.
    DependencyUpdates "dependency_updates"
    /// Changes of what the operator's rules permit.
    PermissionChanges "permission_changes"
    /// Departures from the baseline that were found in the time lines.
    Departures "departures"
    /// Records of the time lines that were left out since the disk was behind.
    TimelineRecordsDropped "timeline_records_dropped"
    /// Datagrams to peers that were sent.
    DatagramsSent "datagrams_sent"
    /// Datagrams of peers that were received.
    DatagramsReceived "datagrams_received"
    /// Datagrams that were dropped.
    DatagramsDropped "datagrams_dropped"
    /// Rounds of the decision engine.
    Rounds "rounds"
    /// Events that were queued for it.
    EventsQueued "events_queued"
    /// Rounds that began later than they should.
    LateRounds "late_rounds"
    /// How often the event loop was held up for 25 ms or more.
    HoldUps "hold_ups"
    /// How often it was held up for 100 ms or more.
    HoldUpsOver100Ms "hold_ups_over_100_ms"
    /// How often it was held up for 500 ms or more.
    HoldUpsOver500Ms "hold_ups_over_500_ms"
    /// The longest time for which it was held up, in milliseconds.
    LongestHoldUpMs "longest_hold_up_ms"
    /// Requests that were read 100 ms or more after they may have arrived.
    RequestsReadLate "requests_read_late"
    /// Log lines that were lost as nobody read them.
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

/// Raises a counter that shows a greatest value.
pub fn raise_to(counter: Count, value: u64) {
    COUNTS[counter as usize].fetch_max(value, Relaxed);
}

/// All counters on one line: ` name=value` for each.
pub fn counters() -> String {
    let mut line = String::new();
    for (name, count) in NAMES.iter().zip(&COUNTS) {
        // Writing to a string cannot fail.
        write!(line, " {name}={}", count.load(Relaxed)).ok();
    }
    line
}
