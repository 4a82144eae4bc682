//! Gives each listed appliance its number: a hash of its name, so that agents which name appliances to each other mean
//! the same one. A name whose hash is taken by another name gets the next free number.
use std::collections::{HashMap, HashSet};

use lilacgate_decision::EndpointId;

/// The constants of the 32-bit FNV-1a hash.
const FNV_OFFSET: u32 = 0x811c_9dc5;
const FNV_PRIME: u32 = 0x0100_0193;

/// The numbers of the names that are listed now.
#[derive(Debug, Default)]
pub struct EndpointIds {
    by_name: HashMap<String, EndpointId>,
    /// The same numbers again, so that a new name costs the same however many there are.
    taken: HashSet<EndpointId>,
}

impl EndpointIds {
    /// The number of a name, if it has one.
    pub fn get(&self, name: &str) -> Option<EndpointId> {
        self.by_name.get(name).copied()
    }

    /// Gives a name its number; one that has a number keeps it.
    pub fn assign(&mut self, name: &str) -> EndpointId {
        if let Some(number) = self.get(name) {
            return number;
        }
        let mut number = EndpointId(hash(name));
        while !self.taken.insert(number) {
            number.0 = number.0.wrapping_add(1);
        }
        self.by_name.insert(name.to_owned(), number);
        number
    }

    /// Forgets the names of all other numbers.
    pub fn retain(&mut self, keeps: impl Fn(EndpointId) -> bool) {
        self.by_name.retain(|_, number| keeps(*number));
        self.taken.retain(|number| keeps(*number));
    }
}

/// The FNV-1a hash of a name.
fn hash(name: &str) -> u32 {
    let mix = |sum: u32, byte: u8| (sum ^ u32::from(byte)).wrapping_mul(FNV_PRIME);
    name.bytes().fold(FNV_OFFSET, mix)
}
