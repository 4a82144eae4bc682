//! Tracks the ids that clients gave to requests: an id identifies one request at a time, and one that may have run must not
//! run again.
use std::cell::RefCell;
use std::collections::hash_map::RandomState;
use std::collections::{HashSet, VecDeque};
use std::hash::BuildHasher;
use std::rc::Rc;

/// How many ids of earlier requests are remembered, some 26 bytes each.
const MAX_USED_IDS: usize = 1 << 14;

/// Whether a request with an id may be accepted.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdStatus {
    /// The id is not known.
    New,
    /// A request with this id waits for its answer.
    InFlight,
    /// A request with this id has ended, may have run, and must not run again.
    Used,
}

/// The ids of all requests in flight, and of the last ones that must not run again.
#[derive(Clone, Debug, Default)]
pub(super) struct RequestIds(Rc<RefCell<KnownIds>>);

#[derive(Debug, Default)]
struct KnownIds {
    in_flight: HashSet<Vec<u8>>,
    used: UsedIds,
}

/// The hashes of the last used ids.
#[derive(Debug, Default)]
struct UsedIds {
    hasher: RandomState,
    hashes: HashSet<u64>,
    /// The hashes in the order in which they were added.
    oldest_first: VecDeque<u64>,
}

impl UsedIds {
    fn contains(&self, id: &[u8]) -> bool {
        self.hashes.contains(&self.hasher.hash_one(id))
    }

    fn insert(&mut self, id: &[u8]) {
        let hash = self.hasher.hash_one(id);
        if !self.hashes.insert(hash) {
            return;
        }
        self.oldest_first.push_back(hash);
        if self.oldest_first.len() > MAX_USED_IDS
            && let Some(oldest) = self.oldest_first.pop_front()
        {
            self.hashes.remove(&oldest);
        }
    }
}

/// Whether an id may be used again after its request has ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum IdReuse {
    /// The request has not run, or may run again.
    Allowed,
    /// The request may have run, and must not run again.
    Forbidden,
}

/// Keeps an id reserved while its request is in flight. If it is dropped before the answer, the client has left, and an attempt
/// may still be out.
#[derive(Debug)]
pub(super) struct InFlightId {
    ids: RequestIds,
    id: Vec<u8>,
    reuse: IdReuse,
}

impl RequestIds {
    pub(super) fn status(&self, id: &[u8]) -> IdStatus {
        let known = self.0.borrow();
        if known.in_flight.contains(id) {
            IdStatus::InFlight
        } else if known.used.contains(id) {
            IdStatus::Used
        } else {
            IdStatus::New
        }
    }

    /// Reserves an id. `reuse` holds if its request has run.
    pub(super) fn insert(&self, id: &[u8], reuse: IdReuse) -> InFlightId {
        self.0.borrow_mut().in_flight.insert(id.to_vec());
        InFlightId {
            ids: self.clone(),
            id: id.to_vec(),
            reuse,
        }
    }
}

impl InFlightId {
    /// Ends the reservation of a request that has not run.
    pub(super) fn release(mut self) {
        self.reuse = IdReuse::Allowed;
    }
}

impl Drop for InFlightId {
    fn drop(&mut self) {
        let mut known = self.ids.0.borrow_mut();
        known.in_flight.remove(&self.id);
        if self.reuse == IdReuse::Forbidden {
            known.used.insert(&self.id);
        }
    }
}
