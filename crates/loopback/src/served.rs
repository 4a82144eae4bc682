//! What the appliances note of the requests that they serve, for the clients and the figures.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::request::RequestId;

/// The service times of requests whose answers are on their way, and which agents used which listeners.
#[derive(Debug, Default)]
pub struct ServedLog(Mutex<Notes>);

/// An agent has sent a request to a listener.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
struct ListenerUse {
    agent: usize,
    listener: usize,
}

#[derive(Debug, Default)]
struct Notes {
    /// How long the appliance had each request; its client removes the entry.
    times: HashMap<RequestId, Duration>,
    /// The pairs of an agent and a listener that it has sent a request to.
    uses: HashSet<ListenerUse>,
}

impl ServedLog {
    /// Records that a listener answers this request now, after `took`.
    pub fn note(&self, request: RequestId, listener: usize, took: Duration) {
        let mut notes = self.notes();
        notes.times.insert(request, took);
        notes.uses.insert(ListenerUse {
            agent: request.agent,
            listener,
        });
    }

    /// Removes and returns how long the appliance had a request.
    pub fn take_time(&self, request: RequestId) -> Option<Duration> {
        self.notes().times.remove(&request)
    }

    /// How many pairs of an agent and a listener there have been since the last call.
    pub fn take_uses(&self) -> usize {
        std::mem::take(&mut self.notes().uses).len()
    }

    fn notes(&self) -> MutexGuard<'_, Notes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
