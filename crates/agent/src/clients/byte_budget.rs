//! The count of bytes that clients' requests and replies hold.
use std::cell::Cell;
use std::rc::Rc;

/// How many bytes are held at present.
#[derive(Clone, Debug, Default)]
pub(super) struct ByteBudget(Rc<Cell<usize>>);

/// Counts some bytes as held for as long as it lives.
#[derive(Debug)]
pub(super) struct ByteReservation {
    budget: ByteBudget,
    count: usize,
}

impl ByteBudget {
    pub(super) fn held(&self) -> usize {
        self.0.get()
    }

    /// Counts as many bytes more. The caller keeps the bound.
    pub(super) fn reserve(&self, count: usize) -> ByteReservation {
        self.0.set(self.0.get() + count);
        ByteReservation {
            budget: self.clone(),
            count,
        }
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let held = &self.budget.0;
        held.set(held.get() - self.count);
    }
}
