//! Counts the bytes that messages of many connections hold together.
use std::cell::Cell;
use std::rc::Rc;

/// The number of bytes that are held now, shared by all reservations.
#[derive(Clone, Debug, Default)]
pub struct ByteBudget(Rc<Cell<usize>>);

/// A bound on what a budget holds.
#[derive(Clone, Debug)]
pub struct ByteLimit {
    /// Counts the bytes.
    pub budget: ByteBudget,
    /// The bound, in bytes.
    pub max_bytes: usize,
}

impl ByteLimit {
    /// Bounds a new budget.
    pub fn new(max_bytes: usize) -> Self {
        ByteLimit {
            budget: ByteBudget::default(),
            max_bytes,
        }
    }

    /// Whether as many bytes are held as may be.
    pub fn is_reached(&self) -> bool {
        self.budget.held() >= self.max_bytes
    }
}

/// Counts `count` bytes as held until it is dropped.
#[derive(Debug)]
pub struct ByteReservation {
    budget: ByteBudget,
    count: usize,
}

impl ByteBudget {
    /// The number of bytes that are held now.
    pub fn held(&self) -> usize {
        self.0.get()
    }

    /// Counts `count` more bytes as held. The caller checks the bound.
    pub fn reserve(&self, count: usize) -> ByteReservation {
        self.0.set(self.0.get() + count);
        ByteReservation {
            budget: self.clone(),
            count,
        }
    }
}

impl ByteReservation {
    /// The number of bytes that this reservation counts.
    pub fn count(&self) -> usize {
        self.count
    }

    /// Counts `count` bytes instead.
    pub fn resize(&mut self, count: usize) {
        let held = &self.budget.0;
        held.set(held.get() - self.count + count);
        self.count = count;
    }
}

impl Drop for ByteReservation {
    fn drop(&mut self) {
        let held = &self.budget.0;
        held.set(held.get() - self.count);
    }
}
