//! Reads all records of a store, or of a single segment such as a dump, and reports damaged files. It does not change
//! the files.
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use lilacgate_timeline::entry::Record;

use crate::segment_format::{SegmentError, creation_time, decode_records};

/// The file name extension of segments.
pub(crate) const SEGMENT_EXTENSION: &str = "seg";

/// The file of a segment.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SegmentPath {
    /// The segment's number, from its file name. Later segments have higher numbers.
    pub number: u64,
    /// The path, including the folder of the store.
    pub path: PathBuf,
}

impl SegmentPath {
    /// The segment at a path; `None` if the file name is not a number with the segments' extension.
    fn from_path(path: PathBuf) -> Option<SegmentPath> {
        if path.extension()? != SEGMENT_EXTENSION {
            return None;
        }
        let number = path.file_stem()?.to_str()?.parse().ok()?;
        Some(SegmentPath { number, path })
    }
}

/// Lists the segments in a folder, the oldest first.
///
/// # Errors
/// The folder cannot be read.
pub fn list_segments(folder: &Path) -> io::Result<Vec<SegmentPath>> {
    let mut found = Vec::new();
    for entry in fs::read_dir(folder)? {
        found.extend(SegmentPath::from_path(entry?.path()));
    }
    found.sort();
    Ok(found)
}

/// A file that cannot be read, in part or as a whole.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct DamagedFile {
    /// The path, including the folder of the store.
    pub path: PathBuf,
    /// Why the file, or the rest of it, cannot be read.
    pub error: SegmentError,
}

/// The records of a store, and the files whose records are lost.
#[derive(Clone, Debug, Default)]
pub struct StoreContents {
    /// All records that can be read, in the order in which they were appended.
    pub records: Vec<Record>,
    /// The files that are damaged, in the order of their numbers.
    pub damaged: Vec<DamagedFile>,
}

/// Reads all segments of a folder, or a single file that is a segment.
///
/// # Errors
/// The folder or a file cannot be read. A damaged file is not an error; it is listed in [`StoreContents::damaged`].
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

/// Adds a segment's records up to the first that is damaged or incomplete.
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
