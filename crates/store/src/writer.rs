//! Appends batches of records to the last segment and syncs them, begins a new segment when that is full, and removes
//! the oldest ones beyond the retention. It never writes into the middle of a file.
//!
//! After a write or sync that fails nobody knows what of it is on disk, and a later sync of the same pages may succeed
//! without them. The segment is given up then: it is cut off behind what was synced before, and the batch goes into a new
//! one.
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;

use lilacgate_timeline::entry::Record;

use crate::reader::{SEGMENT_EXTENSION, list_segments};
use crate::segment_format::{HEADER_BYTES, append_record, creation_time, decode_records, header};
use crate::storage::{SegmentFile, Storage};

/// A store is this many segments at most, so that little is removed at a time.
const SEGMENTS_PER_STORE: u64 = 16;
/// The bounds of a segment's size, in bytes.
const MIN_SEGMENT_BYTES: u64 = 1 << 12;
const MAX_SEGMENT_BYTES: u64 = 16 << 20;
/// How many segments may be given up without having been cut off yet; beyond it no new one is begun.
const MAX_UNTRUNCATED_SEGMENTS: usize = 16;

/// How much is kept.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Retention {
    /// The most bytes of all segments together.
    pub max_bytes: u64,
    /// Segments that were begun longer ago than this are removed.
    pub max_age: Duration,
}

impl Retention {
    /// The most bytes of a segment.
    fn segment_bytes(self) -> u64 {
        (self.max_bytes / SEGMENTS_PER_STORE).clamp(MIN_SEGMENT_BYTES, MAX_SEGMENT_BYTES)
    }
}

/// The segment to which batches are appended.
struct OpenSegment {
    path: PathBuf,
    file: Box<dyn SegmentFile>,
    /// How much of it has been synced, in bytes.
    size: u64,
}

/// A segment that was given up, and could not be cut off behind what had been synced.
struct UntruncatedSegment {
    path: PathBuf,
    /// How much of it counts, in bytes.
    size: u64,
}

impl UntruncatedSegment {
    /// Cuts it off, or removes it if nothing of it counts.
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

/// A segment that may be removed.
struct StoredSegment {
    path: PathBuf,
    /// Its size, in bytes.
    size: u64,
    /// When it was begun, in seconds since 1970; `None` if it can't be read.
    created: Option<u64>,
}

/// Writes a store.
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
    /// Continues a store, or begins one: the torn end of its last segment is cut off, and the next batch begins a new
    /// segment.
    ///
    /// # Errors
    /// What the file system reports.
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

    /// Appends a batch and syncs it: once this returns, the batch is kept. `now` is a span since 1970.
    ///
    /// # Errors
    /// What the file system reports; the batch may be appended again then, and none of its records is kept twice unless
    /// the file system refuses to cut off what was given up until the process ends.
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

    /// Gives the open segment up: what was synced of it is kept, and nothing more is written to it.
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

    /// Whether a batch fits into a segment. An empty segment takes a batch of any size.
    fn has_room_for(&self, open: &OpenSegment, added: u64) -> bool {
        let is_empty = open.size <= HEADER_BYTES as u64;
        is_empty || open.size + added <= self.retention.segment_bytes()
    }

    fn start_segment(&mut self, now: Duration) -> io::Result<OpenSegment> {
        if self.untruncated.len() >= MAX_UNTRUNCATED_SEGMENTS {
            return Err(io::Error::other("too many segments could not be cut off"));
        }
        self.enforce_retention(now)?;
        let name = format!("{:012}.{SEGMENT_EXTENSION}", self.next_number);
        // A number is used one time only: what a failed try has left in its file is never appended to.
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
        // Without syncing the folder, the file's name may be gone after a loss of power.
        File::open(&self.folder)?.sync_all()?;
        Ok(file)
    }

    /// Removes the oldest segments until the rest is young enough and leaves room for a new one.
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

/// When the segment in a file was begun, in seconds since 1970; `None` if it is none, or can't be read.
fn read_creation_time(path: &Path) -> Option<u64> {
    let mut header = [0; HEADER_BYTES];
    File::open(path).ok()?.read_exact(&mut header).ok()?;
    creation_time(&header).ok()
}

/// Cuts a segment off behind its last whole record. A file that is no segment stays as it is.
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
