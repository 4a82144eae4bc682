//! Ids of endpoints are the same as those of a linear search through all ids, for the same order of names, but the cost
//! of assigning one does not grow with the number of names.
use std::collections::HashMap;
use std::time::Duration;

use lilacgate_agent::endpoint_ids::EndpointIds;
use lilacgate_decision::EndpointId;
use proptest::prelude::*;
use rstest::rstest;

/// Two pairs of names; the names of a pair have the same hash.
const SAME_HASH: [&str; 2] = ["s-000179bb", "s-00054848"];
const OTHER_SAME_HASH: [&str; 2] = ["s-000179bc", "s-00054849"];
const FIRST_ID: u32 = 588_264_878;

/// The same rule by linear search: the hash of the name, or the next id that no listed name has.
#[derive(Default)]
struct Reference(HashMap<String, u32>);

impl Reference {
    fn assign(&mut self, name: &str) -> u32 {
        if let Some(&id) = self.0.get(name) {
            return id;
        }
        let mix = |hash: u32, byte: u8| (hash ^ u32::from(byte)).wrapping_mul(0x0100_0193);
        let mut id = name.bytes().fold(0x811c_9dc5, mix);
        while self.0.values().any(|assigned| *assigned == id) {
            id = id.wrapping_add(1);
        }
        self.0.insert(name.to_owned(), id);
        id
    }
}

#[rstest]
fn names_with_the_same_hash_get_consecutive_ids() {
    let mut endpoint_ids = EndpointIds::default();
    assert_eq!(
        SAME_HASH.map(|name| endpoint_ids.assign(name).0),
        [FIRST_ID, FIRST_ID + 1]
    );
    assert_eq!(endpoint_ids.assign(SAME_HASH[0]).0, FIRST_ID);
    // After the first name is removed, the second keeps its id, and the first gets its old id when it returns.
    endpoint_ids.retain(|id| id != EndpointId(FIRST_ID));
    assert_eq!(endpoint_ids.get(SAME_HASH[0]), None);
    assert_eq!(endpoint_ids.assign(SAME_HASH[1]).0, FIRST_ID + 1);
    assert_eq!(endpoint_ids.assign(SAME_HASH[0]).0, FIRST_ID);
}

#[derive(Clone, Debug)]
enum Step {
    Assign(String),
    /// Keeps only the ids with this remainder modulo 2.
    Retain(u32),
}

fn step() -> impl Strategy<Value = Step> {
    let name = prop_oneof![
        prop::sample::select([SAME_HASH, OTHER_SAME_HASH].concat()).prop_map(str::to_owned),
        (0..40u32).prop_map(|index| format!("s-{index:08x}")),
    ];
    prop_oneof![9 => name.prop_map(Step::Assign), 1 => (0..2u32).prop_map(Step::Retain)]
}

proptest! {
    #[test]
    fn ids_are_the_same_as_by_linear_search(steps in prop::collection::vec(step(), 1..120)) {
        let (mut endpoint_ids, mut reference) = (EndpointIds::default(), Reference::default());
        for step in steps {
            match step {
                Step::Assign(name) => prop_assert_eq!(endpoint_ids.assign(&name).0, reference.assign(&name)),
                Step::Retain(remainder) => {
                    endpoint_ids.retain(|id| id.0 % 2 == remainder);
                    reference.0.retain(|_, id| *id % 2 == remainder);
                }
            }
        }
    }
}

/// The processor time that this thread has used so far.
fn processor_time() -> Duration {
    let text =
        std::fs::read_to_string("/proc/thread-self/schedstat").expect("the scheduler's figures");
    let nanoseconds = text.split(' ').next().and_then(|field| field.parse().ok());
    Duration::from_nanos(nanoseconds.expect("a number of nanoseconds"))
}

/// A linear search would take five thousand million steps here.
#[rstest]
fn a_hundred_thousand_names_take_less_than_a_second() {
    let names: Vec<String> = (0..100_000).map(|index| format!("s-{index:08x}")).collect();
    let started = processor_time();
    let mut endpoint_ids = EndpointIds::default();
    for name in &names {
        endpoint_ids.assign(name);
    }
    let duration = processor_time() - started;
    assert!(duration < Duration::from_secs(1), "it took {duration:?}");
}
