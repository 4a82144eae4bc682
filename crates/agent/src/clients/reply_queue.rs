//! Queues the replies of one connection in the order of its commands.
use std::cell::{Cell, RefCell};
use std::collections::VecDeque;

use lilacgate_decision::RequestId;

use crate::transport::{ByteBudget, ByteReservation, RingBuffer, WakeSignal};

/// A reply that has not been handed to the socket yet.
enum PendingReply {
    /// The event loop has not answered the request yet.
    Unanswered(RequestId),
    Ready(ReadyReply),
}

/// A reply that can be written. Its bytes count as held until it is dropped.
pub(super) struct ReadyReply {
    bytes: Vec<u8>,
    reservation: ByteReservation,
}

impl ReadyReply {
    /// Moves the bytes to an output buffer. They count as held until the reservation is dropped.
    pub(super) fn append_to(self, output: &mut RingBuffer) -> ByteReservation {
        output.append(&self.bytes);
        self.reservation
    }
}

/// The position of a reply among all replies of its connection, counted from 0.
#[derive(Clone, Copy, Debug)]
pub(super) struct ReplyPosition(u64);

/// The pending replies of a connection. They may become ready in any order, and are taken in the order of their
/// commands.
pub(super) struct ReplyQueue {
    pending: RefCell<VecDeque<PendingReply>>,
    /// The position of the first pending reply, which is also the number of replies taken.
    first_position: Cell<u64>,
    changed: WakeSignal,
    held_bytes: ByteBudget,
}

impl ReplyQueue {
    pub(super) fn new(held_bytes: ByteBudget) -> Self {
        ReplyQueue {
            pending: RefCell::default(),
            first_position: Cell::default(),
            changed: WakeSignal::default(),
            held_bytes,
        }
    }

    pub(super) fn len(&self) -> usize {
        self.pending.borrow().len()
    }

    pub(super) fn is_empty(&self) -> bool {
        self.pending.borrow().is_empty()
    }

    /// Whether any reply has been taken so far.
    pub(super) fn has_sent_any(&self) -> bool {
        self.first_position.get() > 0
    }

    /// Whether a request of this connection is in flight.
    pub(super) fn has_unanswered(&self) -> bool {
        self.pending
            .borrow()
            .iter()
            .any(|reply| matches!(reply, PendingReply::Unanswered(_)))
    }

    /// Returns the position of the reply that is pushed next.
    pub(super) fn next_position(&self) -> ReplyPosition {
        ReplyPosition(self.first_position.get() + self.len() as u64)
    }

    /// Adds a placeholder for the answer to a request, which [`fill`](Self::fill) replaces.
    pub(super) fn push_unanswered(&self, request: RequestId) {
        self.push(PendingReply::Unanswered(request));
    }

    /// Adds a reply of one line. `line` does not include the line end.
    pub(super) fn push_line(&self, line: &str) {
        let reply = self.ready(format!("{line}\r\n").into_bytes());
        self.push(reply);
    }

    fn ready(&self, bytes: Vec<u8>) -> PendingReply {
        PendingReply::Ready(ReadyReply {
            reservation: self.held_bytes.reserve(bytes.len()),
            bytes,
        })
    }

    fn push(&self, reply: PendingReply) {
        self.pending.borrow_mut().push_back(reply);
        self.changed.wake();
    }

    /// Replaces the placeholder at `position` by the reply. Nothing happens if the queue has been abandoned.
    pub(super) fn fill(&self, position: ReplyPosition, bytes: Vec<u8>) {
        let index = position
            .0
            .checked_sub(self.first_position.get())
            .and_then(|index| usize::try_from(index).ok());
        let mut pending = self.pending.borrow_mut();
        if let Some(reply) = index.and_then(|index| pending.get_mut(index)) {
            *reply = self.ready(bytes);
            self.changed.wake();
        }
    }

    /// Takes the first reply if it is ready. Its bytes count as held until it is dropped.
    pub(super) fn take_ready(&self) -> Option<ReadyReply> {
        let mut pending = self.pending.borrow_mut();
        if !matches!(pending.front(), Some(PendingReply::Ready(_))) {
            return None;
        }
        let Some(PendingReply::Ready(reply)) = pending.pop_front() else {
            return None;
        };
        self.first_position.set(self.first_position.get() + 1);
        Some(reply)
    }

    /// Drops all pending replies, and returns the requests that were unanswered.
    pub(super) fn abandon(&self) -> impl Iterator<Item = RequestId> {
        self.pending
            .take()
            .into_iter()
            .filter_map(|reply| match reply {
                PendingReply::Unanswered(request) => Some(request),
                PendingReply::Ready(_) => None,
            })
    }

    /// Makes [`changed`](Self::changed) return although no reply has changed.
    pub(super) fn wake(&self) {
        self.changed.wake();
    }

    /// Waits until a reply is added or becomes ready.
    pub(super) async fn changed(&self) {
        self.changed.wait().await;
    }
}
