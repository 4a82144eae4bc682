//! Recognizes a late copy of an earlier answer of a connection: nothing in an answer names its request.
use std::hash::{DefaultHasher, Hash, Hasher};

use crate::resp::Resp;

/// How many answers of a connection are remembered.
const REMEMBERED_ANSWERS: usize = 4;

/// The values of the last successful answers of one connection, as hashes.
#[derive(Debug, Default)]
pub(super) struct RecentAnswers {
    hashes: [Option<u64>; REMEMBERED_ANSWERS],
    /// The index of the oldest hash.
    oldest: usize,
}

impl RecentAnswers {
    /// Whether `reply` has the value of one of the last answers. Its load report may differ.
    pub(super) fn contains(&self, reply: &Resp) -> bool {
        value_hash(reply).is_some_and(|hash| self.hashes.contains(&Some(hash)))
    }

    /// Remembers an answer; replies that are no successful answers are left out.
    pub(super) fn record(&mut self, reply: &Resp) {
        if let Some(hash) = value_hash(reply) {
            self.hashes[self.oldest] = Some(hash);
            self.oldest = (self.oldest + 1) % REMEMBERED_ANSWERS;
        }
    }
}

/// Returns the hash of the value of a successful answer, which is an array that begins with it.
fn value_hash(reply: &Resp) -> Option<u64> {
    let Resp::Array(Some(items)) = reply else {
        return None;
    };
    let Some(Resp::Bulk(Some(value))) = items.first() else {
        return None;
    };
    let mut hasher = DefaultHasher::new();
    value.hash(&mut hasher);
    Some(hasher.finish())
}
