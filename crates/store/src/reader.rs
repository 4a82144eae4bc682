//! Reads all records of a store, or of a single segment such as a dump, and reports what is damaged. It changes
//! nothing.
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use lilacgate_timeline::entry::Record;

use crate::segment_format::{SegmentError, creation_time, decode_records};

/// The file name extension of segments.
pub(crate) const SEGMENT_EXTENSION: &str = "seg";

/// A segment's file.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentPath {
    /// Its number; later segments have higher ones.
    pub number: u64,
    /// Where it is.
    pub path: PathBuf,
}

impl SegmentPath {
    /// The segment with this file name, if it is one of a segment.
    fn from_path(path: PathBuf) -> Option<SegmentPath> {
        if path.extension()? != SEGMENT_EXTENSION {
            return None;
        }
        let number = path.file_stem()?.to_str()?.parse().ok()?;
        Some(SegmentPath { number, path })
    }
}

/// The segments of a folder, in their order.
///
/// # Errors
/// What the file system reports.
pub fn list_segments(folder: &Path) -> io::Result<Vec<SegmentPath>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        found.extend(SegmentPath::from_path(entry?.path()));
    }
    found.sort();
    Ok(found)
}

/// A file of which a part, or all, can't be read.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedFile {
    /// Where it is.
    pub path: PathBuf,
    /// What is damaged.
    pub error: SegmentError,
}

/// What was read from a store.
#[derive(Clone, Debug, Default)]
pub struct StoreContents {
    /// All records that can be read, in their order.
    pub records: Vec<Record>,
    /// The files that are damaged.
    pub damaged: Vec<DamagedFile>,
}

/// Reads a folder of segments, or a file that is one.
///
/// # Errors
/// What the file system reports; damage is no error.
pub fn read(path: &Path) -> io::Result<StoreContents> {
    let files = if path.is_dir() {
        list_segments(path)?
            .into_iter()
            .map(|segment| segment.path)
            .collect()
    } else {
        vec![path.to_owned()]
    };
    let mut contents = StoreContents::default();
    for path in files {
        let bytes = fs::read(&path)?;
        if let Err(error) = read_segment(&bytes, &mut contents.records) {
            contents.damaged.push(DamagedFile { path, error });
        }
    }
    Ok(contents)
}

/// Adds a segment's records up to the first that is damaged.
fn read_segment(bytes: &[u8], records: &mut Vec<Record>) -> Result<(), SegmentError> {
    creation_time(bytes)?;
    let decoded = decode_records(bytes);
    records.extend(decoded.records);
    if decoded.end < bytes.len() {
        return Err(SegmentError::Damaged {
            offset: decoded.end,
            lost: bytes.len() - decoded.end,
        });
    }
    Ok(())
}
