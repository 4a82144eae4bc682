//! The bytes of peers' messages. All numbers are big-endian.
use crate::model::{Build, EndpointId, RequestClass};
use crate::state::evidence::{OutcomeCounts, OutcomeEntry, OutcomeKey, WorkSums};

const HEADER_LENGTH: usize = 16;
const ENTRY_LENGTH: usize = 9;
/// The longest report, in bytes.
pub(crate) const MAX_REPORT_LENGTH: usize = 256;
/// How many entries a report can hold.
pub(crate) const MAX_ENTRIES: usize = (MAX_REPORT_LENGTH - HEADER_LENGTH) / ENTRY_LENGTH;
/// Stands for the earlier builds in an entry.
const NO_ENDPOINT: u32 = u32::MAX;

/// Orders the reports of one sender; later ones compare higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReportVersion {
    /// The agent's incarnation: when it started, in milliseconds.
    pub(crate) incarnation: u32,
    /// Grows with each report.
    pub(crate) sequence: u32,
}

/// What a report says besides its entries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportHeader {
    pub(crate) build: Build,
    pub(crate) version: ReportVersion,
    pub(crate) work: WorkSums<u16>,
}

/// A report as it was received.
#[derive(Debug)]
pub(crate) struct ReceivedReport<'a> {
    pub(crate) header: ReportHeader,
    entries: &'a [u8],
}

impl<'a> ReceivedReport<'a> {
    /// The counts that it holds.
    pub(crate) fn entries(&self) -> impl Iterator<Item = OutcomeEntry> + use<'a> {
        self.entries.chunks_exact(ENTRY_LENGTH).map(read_entry)
    }
}

/// A report with as many of the entries as fit.
pub(crate) fn write(header: ReportHeader, entries: impl Iterator<Item = OutcomeEntry>) -> Vec<u8> {
    let mut bytes = header.build.0.to_be_bytes().to_vec();
    bytes.extend(header.version.incarnation.to_be_bytes());
    bytes.extend(header.version.sequence.to_be_bytes());
    let work = header.work.to_array();
    bytes.extend(work.iter().flat_map(|sum| sum.to_be_bytes()));
    for OutcomeEntry { key, counts } in entries.take(MAX_ENTRIES) {
        let endpoint = key.canary_endpoint.map_or(NO_ENDPOINT, |id| id.0);
        bytes.extend(endpoint.to_be_bytes());
        bytes.push(key.class.0);
        bytes.extend(counts.to_array());
    }
    bytes
}

/// Reads a report; `None` if it is malformed or too long.
pub(crate) fn read(bytes: &[u8]) -> Option<ReceivedReport<'_>> {
    let (header, entries) = bytes.split_at_checked(HEADER_LENGTH)?;
    if bytes.len() > MAX_REPORT_LENGTH || entries.len() % ENTRY_LENGTH > 0 {
        return None;
    }
    let short = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
    let long = |at: usize| {
        u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let header = ReportHeader {
        build: Build(short(0)),
        version: ReportVersion {
            incarnation: long(2),
            sequence: long(6),
        },
        work: WorkSums::from_array([10, 12, 14].map(short)),
    };
    Some(ReceivedReport { header, entries })
}

fn read_entry(bytes: &[u8]) -> OutcomeEntry {
    let endpoint = u32::from_be_bytes([bytes[0], bytes[1], bytes[2], bytes[3]]);
    let key = OutcomeKey {
        canary_endpoint: (endpoint < NO_ENDPOINT).then_some(EndpointId(endpoint)),
        class: RequestClass(bytes[4]),
    };
    let counts = OutcomeCounts::from_array([bytes[5], bytes[6], bytes[7], bytes[8]]);
    OutcomeEntry { key, counts }
}

/// A warning that a build is in doubt.
pub(crate) fn write_warning(build: Build) -> [u8; 2] {
    build.0.to_be_bytes()
}

/// Whether a message is a warning about this build.
pub(crate) fn is_warning(bytes: &[u8], build: Build) -> bool {
    bytes == write_warning(build)
}
