//! The log of a run: each step of a stand-in and each attempt that an endpoint received, with its time. The log does
//! not interpret what it holds.
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// How a request ended, as its client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ClientOutcome {
    /// It was served.
    Succeeded,
    /// It was served with a value that no endpoint made for it.
    WrongValue,
    /// It was rejected without having run; the client may retry.
    Rejected,
    /// It was answered as failed; it may have run.
    Failed,
}

/// Whether a request of a class may be sent again.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum RequestKind {
    /// It may be sent again at any time.
    Idempotent,
    /// It may be sent again with its idempotency key.
    Keyed,
    /// It must run at most once.
    NonIdempotent,
}

/// What happened. Times are those of [`LoggedEvent`]; `build` numbers a build, `zone` is an index into
/// [`crate::test_bed::ZONES`] and `endpoint` an index into [`crate::test_bed::TestBed::endpoints`].
#[derive(Clone, Debug, PartialEq)]
pub enum Event {
    /// A client is about to send a request.
    RequestSent {
        /// Unique within a run.
        id: u32,
        /// Whether it may be sent again.
        kind: RequestKind,
        /// How long the client waits.
        deadline: Duration,
    },
    /// A client's request has ended.
    RequestEnded {
        /// The request.
        id: u32,
        /// How it ended.
        outcome: ClientOutcome,
    },
    /// A client's connection ended before a byte of an answer. The agent has not accepted the request unless an
    /// endpoint received it.
    ConnectionEnded {
        /// The request that had been written last.
        id: u32,
    },
    /// An endpoint has read an attempt.
    AttemptReceived {
        /// The request.
        id: u32,
        /// The endpoint.
        endpoint: usize,
        /// The build that the endpoint runs.
        build: u16,
        /// The endpoint's zone.
        zone: usize,
    },
    /// An endpoint is about to answer an attempt.
    AttemptCompleted {
        /// The request.
        id: u32,
        /// The endpoint.
        endpoint: usize,
    },
    /// The endpoint list service has published an endpoint's entry.
    EndpointListed {
        /// The endpoint.
        endpoint: usize,
        /// Its zone.
        zone: usize,
        /// Its build.
        build: u16,
        /// Whether it takes requests; else it drains.
        ready: bool,
    },
    /// The service's own release control plane has published where its newest build stands.
    ReleaseUpdated {
        /// The newest build.
        build: u16,
        /// Its stage.
        stage: u8,
        /// Whether the build is not released.
        unreleased: bool,
        /// The largest share of requests that the build may get, 0 to 1.
        cap: f64,
    },
    /// From now on the operator's rules forbid a build, as far as the agent was notified.
    BuildForbidden {
        /// The build.
        build: u16,
        /// The zone; all zones if `None`.
        zone: Option<usize>,
    },
    /// From now on the operator's rules allow a build.
    BuildAllowed {
        /// The build.
        build: u16,
        /// The zone; all zones if `None`.
        zone: Option<usize>,
    },
    /// The release control plane has received a vote.
    VoteReceived {
        /// The build that the vote is about.
        build: u16,
        /// The stage that the vote is about.
        stage: u8,
        /// The decision as it stands on the wire.
        decision: String,
    },
    /// The agent was killed.
    AgentKilled,
    /// The agent serves.
    AgentStarted,
}

/// An event and its time.
#[derive(Clone, Debug)]
pub struct LoggedEvent {
    /// Time since the start of the log.
    pub at: Duration,
    /// What happened.
    pub event: Event,
}

/// The log of a run. All clones share its events.
#[derive(Clone, Debug)]
pub struct EventLog {
    started: Instant,
    events: Arc<Mutex<Vec<LoggedEvent>>>,
}

impl Default for EventLog {
    fn default() -> Self {
        EventLog {
            started: Instant::now(),
            events: Arc::default(),
        }
    }
}

impl EventLog {
    /// Time since the start of the log.
    pub fn elapsed(&self) -> Duration {
        self.started.elapsed()
    }

    /// Logs an event that happens now.
    pub fn push(&self, event: Event) {
        self.push_at(self.elapsed(), event);
    }

    /// Logs an event with its time since the start of the log.
    pub fn push_at(&self, at: Duration, event: Event) {
        self.lock().push(LoggedEvent { at, event });
    }

    /// All events so far, in the order of their times.
    pub fn events(&self) -> Vec<LoggedEvent> {
        let mut events = self.lock().clone();
        events.sort_by_key(|event| event.at);
        events
    }

    fn lock(&self) -> MutexGuard<'_, Vec<LoggedEvent>> {
        self.events.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
