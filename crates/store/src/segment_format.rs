//! The binary format of a segment: a header, then frames, each with a record's length, its checksum and the record.
//!
//! | offset in the header | bytes | content |
//! | --- | --- | --- |
//! | 0 | 4 | `lgtl` |
//! | 4 | 2 | the format's version |
//! | 6 | 2 | unused |
//! | 8 | 8 | when the segment was created, in seconds since 1970 |
//!
//! A frame begins with the length (4 bytes) and the CRC-32 (4 bytes) of its record. Numbers are little-endian.
use lilacgate_timeline::entry::Record;

/// The format version that is written. Segments of this version and all earlier ones can be read.
pub const VERSION: u16 = 1;
/// The size of a segment's header.
pub const HEADER_BYTES: usize = 16;
/// The size of the length and checksum before each record.
pub const FRAME_HEADER_BYTES: usize = 8;
/// The size of the largest record. A frame with a greater length is treated as damaged.
pub const MAX_RECORD_BYTES: usize = 1 << 20;

/// The bytes with which every segment begins.
const MAGIC: [u8; 4] = *b"lgtl";

/// Why a segment, or the rest of it, cannot be read.
#[derive(Clone, Debug, PartialEq, Eq, thiserror::Error)]
pub enum SegmentError {
    /// The file is shorter than a segment's header or does not begin with the segment's magic bytes.
    #[error("not a timeline segment: the file does not begin with a segment header")]
    NotASegment,
    /// The segment has version 0 or was written by a later version of this crate.
    #[error("unsupported segment version {found}; expected 1 to {VERSION}")]
    UnknownVersion {
        /// The version in the header.
        found: u16,
    },
    /// A record is damaged or incomplete. It and all bytes after it are lost.
    #[error("damaged at byte {offset}; the {lost} bytes from there to the end are lost")]
    Damaged {
        /// Where the damage begins, in bytes from the start of the file.
        offset: usize,
        /// The number of bytes that are lost.
        lost: usize,
    },
}

/// The records of a segment up to the first that is damaged or incomplete.
#[derive(Clone, Debug, PartialEq)]
pub struct DecodedRecords {
    /// The records in the order in which they were appended.
    pub records: Vec<Record>,
    /// The end of the last record, in bytes from the start of the segment.
    pub end: usize,
}

/// The header of a segment that is created at `created`, in seconds since 1970.
pub fn header(created: u64) -> [u8; HEADER_BYTES] {
    let mut header = [0; HEADER_BYTES];
    header[..4].copy_from_slice(&MAGIC);
    header[4..6].copy_from_slice(&VERSION.to_le_bytes());
    header[8..].copy_from_slice(&created.to_le_bytes());
    header
}

/// Reads from a segment's header when it was created, in seconds since 1970.
///
/// # Errors
/// [`SegmentError::NotASegment`] or [`SegmentError::UnknownVersion`].
pub fn creation_time(bytes: &[u8]) -> Result<u64, SegmentError> {
    let header = bytes
        .first_chunk::<HEADER_BYTES>()
        .filter(|header| header[..4] == MAGIC)
        .ok_or(SegmentError::NotASegment)?;
    let version = u16::from_le_bytes([header[4], header[5]]);
    if version == 0 || version > VERSION {
        return Err(SegmentError::UnknownVersion { found: version });
    }
    let seconds = header.last_chunk().copied().unwrap_or_default();
    Ok(u64::from_le_bytes(seconds))
}

/// Appends a record's frame to a segment. A record that is longer than [`MAX_RECORD_BYTES`], or cannot be serialized,
/// is left out.
pub fn append_record(segment: &mut Vec<u8>, record: &Record) {
    let Ok(body) = postcard::to_stdvec(record) else {
        return;
    };
    if body.len() > MAX_RECORD_BYTES {
        return;
    }
    segment.extend((body.len() as u32).to_le_bytes());
    segment.extend(crc32fast::hash(&body).to_le_bytes());
    segment.extend(body);
}

/// Decodes the records after a segment's header, up to the first that is damaged or incomplete.
pub fn decode_records(bytes: &[u8]) -> DecodedRecords {
    let mut records = Vec::new();
    let mut end = HEADER_BYTES;
    while let Some(frame) = bytes.get(end..).and_then(decode_frame) {
        records.push(frame.record);
        end += frame.length;
    }
    DecodedRecords { records, end }
}

struct Frame {
    record: Record,
    /// The size of the frame, including its header, in bytes.
    length: usize,
}

/// Decodes the frame at the start of `bytes`; `None` if it is damaged or incomplete.
fn decode_frame(bytes: &[u8]) -> Option<Frame> {
    let (length, rest) = bytes.split_first_chunk()?;
    let (checksum, rest) = rest.split_first_chunk()?;
    let length = u32::from_le_bytes(*length) as usize;
    let body = rest
        .get(..length)
        .filter(|body| body.len() <= MAX_RECORD_BYTES)?;
    if crc32fast::hash(body) != u32::from_le_bytes(*checksum) {
        return None;
    }
    let record = postcard::from_bytes(body).ok()?;
    Some(Frame {
        record,
        length: FRAME_HEADER_BYTES + length,
    })
}
