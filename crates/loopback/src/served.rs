//! What the appliances note of the requests that they serve, for the clients and the figures.

use std::collections::{HashMap, HashSet};
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use crate::request::RequestId;

/// A note of every request that is on its way back, and of who used whom.
#[derive(Debug, Default)]
pub struct ServedLog(Mutex<Notes>);

#[derive(Debug, Default)]
struct Notes {
    /// How long the appliance had each request; its client takes the note away.
    times: HashMap<RequestId, Duration>,
    /// Which agent has sent a request to which listener.
    uses: HashSet<(usize, usize)>,
}

impl ServedLog {
    /// A listener has had this request for so long, and answers it now.
    pub fn note(&self, request: RequestId, listener: usize, took: Duration) {
        let mut notes = self.notes();
        notes.times.insert(request, took);
        notes.uses.insert((request.agent, listener));
    }

    /// How long the appliance had a request.
    pub fn take_time(&self, request: RequestId) -> Option<Duration> {
        self.notes().times.remove(&request)
    }

    /// How many pairs of an agent and a listener there have been since this was last asked.
    pub fn take_uses(&self) -> usize {
        std::mem::take(&mut self.notes().uses).len()
    }

    fn notes(&self) -> MutexGuard<'_, Notes> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
