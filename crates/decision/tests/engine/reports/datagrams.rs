//! The layout of reports, as far as the tests need it: a header of 16 bytes, then an entry of 9 bytes for each endpoint
//! and request class.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::EndpointId;

use super::single::Message;
use super::{CANARY, MAX_REPORT};

const HEADER_LENGTH: usize = 16;
const ENTRY_LENGTH: usize = 9;
/// Numbers of outcomes, failures, timed outcomes and slow ones among the timed.
pub(super) type Counts = [u8; 4];

/// A report as members of a large fleet send it: its sequence number is the time since the start of its sender.
pub(super) fn report(
    started: Duration,
    made: Duration,
    entries: &[(EndpointId, Counts)],
) -> Vec<u8> {
    let mut payload = CANARY.0.to_be_bytes().to_vec();
    payload.extend((started.as_millis() as u32).to_be_bytes());
    payload.extend(((made - started).as_millis() as u32).to_be_bytes());
    payload.extend([0, 1, 0, 2, 0, 3]);
    for (endpoint, counts) in entries {
        payload.extend(endpoint.0.to_be_bytes());
        payload.push(0);
        payload.extend(counts);
    }
    payload
}

/// The endpoint and the counts of each entry.
pub(super) fn entries(payload: &[u8]) -> impl Iterator<Item = (EndpointId, &[u8])> {
    payload[HEADER_LENGTH..]
        .chunks_exact(ENTRY_LENGTH)
        .map(|entry| {
            let id = u32::from_be_bytes([entry[0], entry[1], entry[2], entry[3]]);
            (EndpointId(id), &entry[5..])
        })
}

/// Sums of the counts of several reports, by endpoint.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Sums(pub(super) BTreeMap<EndpointId, [u32; 4]>);

impl Sums {
    pub(super) fn add_report(&mut self, payload: &[u8]) {
        assert!(
            payload.len() <= MAX_REPORT,
            "a report has {} bytes, at most {MAX_REPORT} are allowed",
            payload.len()
        );
        for (endpoint, counts) in entries(payload) {
            let sums = self.0.entry(endpoint).or_default();
            for (sum, count) in sums.iter_mut().zip(counts) {
                *sum += u32::from(*count);
            }
        }
    }

    /// Adds the reports among these messages that are for the first aggregator; all aggregators are sent the same.
    pub(super) fn add_forwarded(&mut self, messages: &[Message]) {
        let aggregators: BTreeSet<_> = messages.iter().filter_map(|(to, _)| *to).collect();
        for (to, payload) in messages {
            if *to == aggregators.first().copied() {
                self.add_report(payload);
            }
        }
    }
}
