//! Tracks the ids that clients gave to requests in flight. An id identifies one request at a time.
use std::cell::RefCell;
use std::collections::HashSet;
use std::rc::Rc;

/// The ids of all requests in flight.
#[derive(Clone, Debug, Default)]
pub(super) struct InFlightIds(Rc<RefCell<HashSet<Vec<u8>>>>);

/// Keeps an id reserved until it is dropped.
#[derive(Debug)]
pub(super) struct InFlightIdGuard {
    ids: InFlightIds,
    id: Vec<u8>,
}

impl InFlightIds {
    pub(super) fn contains(&self, id: &[u8]) -> bool {
        self.0.borrow().contains(id)
    }

    pub(super) fn insert(&self, id: &[u8]) -> InFlightIdGuard {
        self.0.borrow_mut().insert(id.to_vec());
        InFlightIdGuard {
            ids: self.clone(),
            id: id.to_vec(),
        }
    }
}

impl Drop for InFlightIdGuard {
    fn drop(&mut self) {
        self.ids.0.borrow_mut().remove(&self.id);
    }
}
