//! Assigns numeric ids to the endpoints that discovery lists by name.
//!
//! An id is a hash of the name, so that all agents use the same id when they mention an endpoint to each other. If the
//! hash collides with the id of another listed name, the next free id is assigned.
use std::collections::{HashMap, HashSet};

use lilacgate_decision::EndpointId;

/// The offset basis of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
/// The prime of the 32-bit FNV-1a hash.
const FNV_PRIME: u32 = 0x0100_0193;

/// The ids of the currently listed names.
#[derive(Debug, Default)]
pub struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    /// The ids in `by_name`, so that finding a free id does not take longer as names are added.
    assigned: HashSet<EndpointId>,
}

impl EndpointIds {
    /// The id of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// Assigns an id to a name; a name that already has an id keeps it.
    pub fn assign(&mut self, name: &str) -> EndpointId {
        if let Some(id) = self.get(name) {
            return id;
        }
        let mut id = EndpointId(fnv1a(name));
        while !self.assigned.insert(id) {
            id.0 = id.0.wrapping_add(1);
        }
        self.by_name.insert(name.to_owned(), id);
        id
    }

    /// Forgets all names except those whose id is to be kept.
    pub fn retain(&mut self, is_kept: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, id| is_kept(*id));
        self.assigned.retain(|id| is_kept(*id));
    }
}

/// The 32-bit FNV-1a hash of a name.
fn fnv1a(name: &str) -> u32 {
    let mix = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
    name.bytes().fold(FNV_OFFSET, mix)
}
