//! Appends batches of records to the last segment and syncs them, starts a new segment when that one is full, and
//! removes the oldest segments beyond the retention limits. It never writes into the middle of a file.
//!
//! After a failed write or sync it is unknown which bytes are on disk, and a later sync of the same pages may report
//! success although the pages were never written. The segment is therefore abandoned: it is truncated to the bytes that
//! were synced before, and the batch is written to a new segment.
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;

use lilacgate_timeline::entry::Record;

use crate::reader::{SEGMENT_EXTENSION, list_segments};
use crate::segment_format::{HEADER_BYTES, append_record, creation_time, decode_records, header};
use crate::storage::{SegmentFile, Storage};

/// The number of segments into which the store's size is divided, so that each removal drops a small part of the store.
const SEGMENTS_PER_STORE: u64 = 16;
/// The lower bound of the size at which a segment is full.
const MIN_SEGMENT_BYTES: u64 = 1 << 12;
/// The upper bound of the size at which a segment is full.
const MAX_SEGMENT_BYTES: u64 = 16 << 20;
/// The most abandoned segments that may wait to be truncated or removed. At this number no new segment is started.
const MAX_UNTRUNCATED_SEGMENTS: usize = 16;

/// The limits of a store's size and age.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// The total size of all segments.
    pub max_bytes: u64,
    /// Segments that were created longer ago than this are removed.
    pub max_age: Duration,
}

impl Retention {
    /// The size at which a segment is full.
    fn segment_bytes(self) -> u64 {
        (self.max_bytes / SEGMENTS_PER_STORE).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
    }
}

/// The segment to which batches are appended.
struct OpenSegment {
    path: PathBuf,
    file: Box<dyn SegmentFile>,
    /// The number of bytes that have been synced.
    size: u64,
}

/// An abandoned segment that could not yet be truncated to the bytes that had been synced, or removed.
struct UntruncatedSegment {
    path: PathBuf,
    /// The number of bytes that had been synced.
    size: u64,
}

impl UntruncatedSegment {
    /// Truncates the file to the synced bytes, or removes it if they hold no record.
    fn truncate_or_remove(&self) -> io::Result<()> {
        if self.size > HEADER_BYTES as u64 {
            return OpenOptions::new()
                .write(true)
                .open(&self.path)?
                .set_len(self.size);
        }
        match fs::remove_file(&self.path) {
            Err(error) if error.kind() == io::ErrorKind::NotFound => Ok(()),
            result => result,
        }
    }
}

/// A segment on disk that retention may remove.
struct StoredSegment {
    path: PathBuf,
    /// The file's size in bytes.
    size: u64,
    /// When it was created, in seconds since 1970; `None` if the header cannot be read.
    created: Option<u64>,
}

/// Writes the segments of a store.
pub struct StoreWriter {
    folder: PathBuf,
    retention: Retention,
    storage: Box<dyn Storage>,
    open_segment: Option<OpenSegment>,
    untruncated: Vec<UntruncatedSegment>,
    next_number: u64,
}

impl fmt::Debug for StoreWriter {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StoreWriter")
            .field("folder", &self.folder)
            .field("retention", &self.retention)
            .field("next_number", &self.next_number)
            .finish_non_exhaustive()
    }
}

impl StoreWriter {
    /// Opens a store, and creates its folder if it does not exist. An incomplete record at the end of the last segment
    /// is cut off, and the next batch starts a new segment.
    ///
    /// # Errors
    /// The folder cannot be created or read, or the last segment cannot be read or truncated.
    pub fn new(
        folder: &Path,
        retention: Retention,
        storage: Box<dyn Storage>,
    ) -> io::Result<StoreWriter> {
        fs::create_dir_all(folder)?;
        let last = list_segments(folder)?.pop();
        if let Some(last) = &last {
            truncate_torn_end(&last.path)?;
        }
        Ok(StoreWriter {
            folder: folder.to_owned(),
            retention,
            storage,
            open_segment: None,
            untruncated: Vec::new(),
            next_number: last.map_or(0, |last| last.number + 1),
        })
    }

    /// Appends a batch and syncs it. Once this returns without an error, the batch is on disk. `now` is the time since
    /// 1970.
    ///
    /// # Errors
    /// A file cannot be opened, written, synced or removed. The batch may then be appended again. None of its records
    /// is stored twice, unless an abandoned segment can neither be truncated nor removed until the process ends.
    pub fn append(&mut self, now: Duration, batch: &[Record]) -> io::Result<()> {
        self.untruncated
            .retain(|segment| segment.truncate_or_remove().is_err());
        let mut bytes = Vec::new();
        for record in batch {
            append_record(&mut bytes, record);
        }
        let added = bytes.len() as u64;
        let open = match self
            .open_segment
            .take()
            .filter(|open| self.has_room_for(open, added))
        {
            Some(open) => open,
            None => self.start_segment(now)?,
        };
        let open = self.open_segment.insert(open);
        match write_and_sync(open.file.as_mut(), &bytes) {
            Ok(()) => {
                open.size += added;
                Ok(())
            }
            Err(error) => {
                self.abandon_segment();
                Err(error)
            }
        }
    }

    /// Abandons the open segment: its synced bytes are kept, and nothing more is written to it.
    fn abandon_segment(&mut self) {
        let Some(OpenSegment {
            path,
            mut file,
            size,
        }) = self.open_segment.take()
        else {
            return;
        };
        let has_records = size > HEADER_BYTES as u64;
        if !has_records || file.truncate(size).is_err() {
            drop(file);
            let segment = UntruncatedSegment { path, size };
            if segment.truncate_or_remove().is_err() {
                self.untruncated.push(segment);
            }
        }
    }

    /// Whether a batch of `added` bytes fits into a segment. An empty segment takes a batch of any size.
    fn has_room_for(&self, open: &OpenSegment, added: u64) -> bool {
        let is_empty = open.size <= HEADER_BYTES as u64;
        is_empty || open.size + added <= self.retention.segment_bytes()
    }

    fn start_segment(&mut self, now: Duration) -> io::Result<OpenSegment> {
        if self.untruncated.len() >= MAX_UNTRUNCATED_SEGMENTS {
            return Err(io::Error::other(
                "too many abandoned segments could not be truncated or removed",
            ));
        }
        self.enforce_retention(now)?;
        let name = format!("{:012}.{SEGMENT_EXTENSION}", self.next_number);
        // Each number is used only once, so that nothing is appended to a file that a failed attempt has left.
        self.next_number += 1;
        let path = self.folder.join(name);
        match self.create_segment(&path, now) {
            Ok(file) => Ok(OpenSegment {
                path,
                file,
                size: HEADER_BYTES as u64,
            }),
            Err(error) => {
                let segment = UntruncatedSegment { path, size: 0 };
                if segment.truncate_or_remove().is_err() {
                    self.untruncated.push(segment);
                }
                Err(error)
            }
        }
    }

    fn create_segment(&mut self, path: &Path, now: Duration) -> io::Result<Box<dyn SegmentFile>> {
        let mut file = self.storage.open(path)?;
        write_and_sync(file.as_mut(), &header(now.as_secs()))?;
        // Without a sync of the folder, the new file's name may be lost in a power failure.
        File::open(&self.folder)?.sync_all()?;
        Ok(file)
    }

    /// Removes the oldest segments until the others are within the maximal age and leave room for a new segment.
    fn enforce_retention(&self, now: Duration) -> io::Result<()> {
        let stored = self.stored_segments()?;
        let sizes: u64 = stored.iter().map(|segment| segment.size).sum();
        let mut total = sizes + self.retention.segment_bytes();
        for segment in stored {
            let is_old = segment.created.is_some_and(|created| {
                now.saturating_sub(Duration::from_secs(created)) > self.retention.max_age
            });
            if !is_old && total <= self.retention.max_bytes {
                return Ok(());
            }
            fs::remove_file(&segment.path)?;
            total -= segment.size;
        }
        Ok(())
    }

    fn stored_segments(&self) -> io::Result<Vec<StoredSegment>> {
        let mut stored = Vec::new();
        for segment in list_segments(&self.folder)? {
            let size = fs::metadata(&segment.path)?.len();
            stored.push(StoredSegment {
                created: read_creation_time(&segment.path),
                path: segment.path,
                size,
            });
        }
        Ok(stored)
    }
}

fn write_and_sync(file: &mut dyn SegmentFile, bytes: &[u8]) -> io::Result<()> {
    file.write_all(bytes)?;
    loop {
        match file.sync() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Reads when the segment in a file was created, in seconds since 1970; `None` if the file cannot be read or is not a
/// segment.
fn read_creation_time(path: &Path) -> Option<u64> {
    let mut header = [0; HEADER_BYTES];
    File::open(path).ok()?.read_exact(&mut header).ok()?;
    creation_time(&header).ok()
}

/// Truncates a segment after its last complete record. A file that is not a segment is not changed.
fn truncate_torn_end(path: &Path) -> io::Result<()> {
    let bytes = fs::read(path)?;
    if creation_time(&bytes).is_err() {
        return Ok(());
    }
    let end = decode_records(&bytes).end;
    if end < bytes.len() {
        let file = OpenOptions::new().write(true).open(path)?;
        file.set_len(end as u64)?;
    }
    Ok(())
}
