//! Owns what happened on a day: every step that a stand-in made and every attempt that a desk node got, each with
//! its time. It judges nothing.
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

/// How a client's request ended, as the client saw it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Final {
    Settled,
    Declined,
    Voided,
    /// The connection ended without an answer.
    Lost,
}

/// What may be done again with a request's product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Kind {
    Read,
    Post,
    Book,
}

#[derive(Clone, Debug)]
pub enum Seen {
    /// A client has sent a request, and waits so long.
    Sent {
        id: u32,
        kind: Kind,
        deadline: Duration,
    },
    Answered {
        id: u32,
        how: Final,
    },
    /// Its connection ended without a byte: it was never taken, unless a node got it.
    Crossed {
        id: u32,
    },
    /// A node got an attempt whole, or has answered it; `end` is a number for each attempt.
    Got {
        id: u32,
        node: usize,
        build: u16,
        zone: usize,
    },
    Done {
        id: u32,
        node: usize,
        fine: bool,
    },
    /// Discovery has written that a node stands so.
    Listed {
        node: usize,
        zone: usize,
        build: u16,
        ready: bool,
    },
    /// The own platform has written news.
    News {
        build: u16,
        stage: u8,
        on_trial: bool,
        cap: f64,
    },
    /// From here on the operator's rules forbid a build, in a zone or everywhere, as far as the agent was told.
    Forbidden {
        build: u16,
        zone: Option<usize>,
    },
    Allowed {
        build: u16,
        zone: Option<usize>,
    },
    Vote {
        build: u16,
        stage: u8,
        decision: String,
    },
    /// The agent was killed, or is up again.
    Killed,
    Up,
    /// Anything else worth telling.
    Note(String),
}

#[derive(Clone, Debug)]
pub struct Event {
    pub at: Duration,
    pub seen: Seen,
}

/// A day's record, shared by all its stand-ins.
#[derive(Clone)]
pub struct Record {
    zero: Instant,
    events: Arc<Mutex<Vec<Event>>>,
}

impl Default for Record {
    fn default() -> Self {
        Record {
            zero: Instant::now(),
            events: Arc::default(),
        }
    }
}

impl Record {
    pub fn now(&self) -> Duration {
        self.zero.elapsed()
    }

    pub fn put(&self, seen: Seen) {
        self.put_at(self.now(), seen);
    }

    pub fn put_at(&self, at: Duration, seen: Seen) {
        self.events.lock().expect("a lock").push(Event { at, seen });
    }

    pub fn note(&self, text: impl Into<String>) {
        self.put(Seen::Note(text.into()));
    }

    /// All events in the order of their times.
    pub fn events(&self) -> Vec<Event> {
        let mut events = self.events.lock().expect("a lock").clone();
        events.sort_by_key(|event| event.at);
        events
    }
}
