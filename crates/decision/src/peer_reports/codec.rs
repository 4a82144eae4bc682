//! Encoding of the messages between peers. All numbers are big-endian.
use crate::model::{Build, EndpointId, RequestClass};
use crate::state::evidence::{OutcomeCounts, OutcomeEntry, OutcomeKey, WorkSums};

const HEADER_LENGTH: usize = 16;
const ENTRY_LENGTH: usize = 9;
/// Maximum length of a report, in bytes.
pub(crate) const MAX_REPORT_LENGTH: usize = 256;
/// Largest number of entries in a report.
pub(crate) const MAX_ENTRIES: usize = (MAX_REPORT_LENGTH - HEADER_LENGTH) / ENTRY_LENGTH;
/// The endpoint field of an entry that counts outcomes of the earlier builds.
const NO_ENDPOINT: u32 = u32::MAX;

/// Version of a report, which orders the reports of one sender; a later one compares higher.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) struct ReportVersion {
    /// When the sender started, in milliseconds.
    pub(crate) incarnation: u32,
    /// Increases with each report of an incarnation.
    pub(crate) sequence: u32,
}

/// The content of a report apart from its entries.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportHeader {
    pub(crate) build: Build,
    pub(crate) version: ReportVersion,
    pub(crate) work: WorkSums<u16>,
}

/// A received report whose length is valid.
#[derive(Debug)]
pub(crate) struct ReceivedReport<'a> {
    pub(crate) header: ReportHeader,
    entries: &'a [u8],
}

impl<'a> ReceivedReport<'a> {
    /// Decodes the entries.
    pub(crate) fn entries(&self) -> impl Iterator<Item = OutcomeEntry> + use<'a> {
        self.entries.chunks_exact(ENTRY_LENGTH).map(read_entry)
    }
}

/// Encodes a report with as many of the entries as fit.
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

/// Decodes a report; `None` if it is malformed or too long.
pub(crate) fn read(bytes: &[u8]) -> Option<ReceivedReport<'_>> {
    let (header, entries) = bytes.split_at_checked(HEADER_LENGTH)?;
    if bytes.len() > MAX_REPORT_LENGTH || entries.len() % ENTRY_LENGTH > 0 {
        return None;
    }
    let u16_at = |at: usize| u16::from_be_bytes([header[at], header[at + 1]]);
    let u32_at = |at: usize| {
        u32::from_be_bytes([header[at], header[at + 1], header[at + 2], header[at + 3]])
    };
    let header = ReportHeader {
        build: Build(u16_at(0)),
        version: ReportVersion {
            incarnation: u32_at(2),
            sequence: u32_at(6),
        },
        work: WorkSums::from_array([10, 12, 14].map(u16_at)),
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

/// Encodes a warning that a build is in doubt.
pub(crate) fn write_warning(build: Build) -> [u8; 2] {
    build.0.to_be_bytes()
}

/// Whether a message is a warning about this build.
pub(crate) fn is_warning(bytes: &[u8], build: Build) -> bool {
    bytes == write_warning(build)
}
