//! The layout of a report, as far as the tests write and read it: a header of 16 bytes, then a record for each
//! endpoint and request class.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::EndpointId;

use super::single::Message;
use super::{CANARY, MAX_REPORT};

const HEADER_LENGTH: usize = 16;
const RECORD_LENGTH: usize = 9;
/// Outcomes, failed ones, timed ones and the sum of their times.
pub(super) type Counts = [u8; 4];

/// A report as members of a large fleet send it: its serial number says when it was made.
pub(super) fn report(
    started: Duration,
    made: Duration,
    records: &[(EndpointId, Counts)],
) -> Vec<u8> {
    let mut payload = CANARY.0.to_be_bytes().to_vec();
    payload.extend((started.as_millis() as u32).to_be_bytes());
    payload.extend(((made - started).as_millis() as u32).to_be_bytes());
    payload.extend([0, 1, 0, 2, 0, 3]);
    for (endpoint, counts) in records {
        payload.extend(endpoint.0.to_be_bytes());
        payload.push(0);
        payload.extend(counts);
    }
    payload
}

/// The endpoint and the counts of each record.
pub(super) fn records(payload: &[u8]) -> impl Iterator<Item = (EndpointId, &[u8])> {
    payload[HEADER_LENGTH..]
        .chunks_exact(RECORD_LENGTH)
        .map(|record| {
            let id = u32::from_be_bytes([record[0], record[1], record[2], record[3]]);
            (EndpointId(id), &record[5..])
        })
}

/// What several reports say together, by endpoint.
#[derive(Debug, Default, PartialEq)]
pub(super) struct Sums(pub(super) BTreeMap<EndpointId, [u32; 4]>);

impl Sums {
    pub(super) fn add_report(&mut self, payload: &[u8]) {
        assert!(
            payload.len() <= MAX_REPORT,
            "a report of {} bytes",
            payload.len()
        );
        for (endpoint, counts) in records(payload) {
            let sums = self.0.entry(endpoint).or_default();
            for (sum, count) in sums.iter_mut().zip(counts) {
                *sum += u32::from(*count);
            }
        }
    }

    /// Adds up what one of the aggregators is sent; all are sent the same.
    pub(super) fn add_relayed(&mut self, messages: &[Message]) {
        let aggregators: BTreeSet<_> = messages.iter().filter_map(|(to, _)| *to).collect();
        for (to, payload) in messages {
            if *to == aggregators.first().copied() {
                self.add_report(payload);
            }
        }
    }
}
