//! Counts of bytes and messages on control connections, shared by the tasks of one stand-in.

use std::ops::Sub;
use std::sync::atomic::{AtomicU64, Ordering};

/// What one stand-in has received and sent since its start.
#[derive(Debug, Default)]
pub struct Traffic {
    bytes_in: AtomicU64,
    bytes_out: AtomicU64,
    messages_in: AtomicU64,
    messages_out: AtomicU64,
}

/// The counts at one moment, or the difference of two moments.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Bytes that agents sent to the stand-in.
    pub bytes_in: u64,
    /// Bytes that the stand-in sent to agents.
    pub bytes_out: u64,
    /// Messages that agents sent.
    pub messages_in: u64,
    /// Messages that the stand-in sent.
    pub messages_out: u64,
}

impl Traffic {
    /// Counts one message from an agent.
    pub fn received(&self, bytes: usize) {
        self.bytes_in.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages_in.fetch_add(1, Ordering::Relaxed);
    }

    /// Counts one message to an agent.
    pub fn sent(&self, bytes: usize) {
        self.bytes_out.fetch_add(bytes as u64, Ordering::Relaxed);
        self.messages_out.fetch_add(1, Ordering::Relaxed);
    }

    /// Takes back the count of a message that could not be sent after all.
    pub fn not_sent(&self, bytes: usize) {
        self.bytes_out.fetch_sub(bytes as u64, Ordering::Relaxed);
        self.messages_out.fetch_sub(1, Ordering::Relaxed);
    }

    /// The counts so far.
    pub fn counts(&self) -> Counts {
        Counts {
            bytes_in: self.bytes_in.load(Ordering::Relaxed),
            bytes_out: self.bytes_out.load(Ordering::Relaxed),
            messages_in: self.messages_in.load(Ordering::Relaxed),
            messages_out: self.messages_out.load(Ordering::Relaxed),
        }
    }
}

impl Sub for Counts {
    type Output = Counts;

    fn sub(self, earlier: Counts) -> Counts {
        Counts {
            bytes_in: self.bytes_in - earlier.bytes_in,
            bytes_out: self.bytes_out - earlier.bytes_out,
            messages_in: self.messages_in - earlier.messages_in,
            messages_out: self.messages_out - earlier.messages_out,
        }
    }
}
