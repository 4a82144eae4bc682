//! Appends batches of records to the last segment and syncs them, begins a new segment when that is full, and removes
//! the oldest ones beyond the retention. It never writes into the middle of a file.
use std::fmt;
use std::fs::{self, File, OpenOptions};
use std::io::{self, Read};
use std::path::{Path, PathBuf};
use std::time::Duration;

use lilacgate_timeline::entry::Record;

use crate::reader::{EXTENSION, segments};
use crate::segment_format::{HEADER_BYTES, append_record, begun_at, decode_records, header};
use crate::storage::{SegmentFile, Storage};

/// A store is this many segments at most, so that little is removed at a time.
const SEGMENTS_PER_STORE: u64 = 16;
/// The bounds of a segment's size, in bytes.
const MIN_SEGMENT_BYTES: u64 = 1 << 12;
const MAX_SEGMENT_BYTES: u64 = 16 << 20;

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
    file: Box<dyn SegmentFile>,
    /// Its size, in bytes.
    size: u64,
}

/// A segment that may be removed.
struct KeptSegment {
    path: PathBuf,
    /// Its size, in bytes.
    size: u64,
    /// When it was begun, in seconds since 1970; `None` if it can't be read.
    begun: Option<u64>,
}

/// Writes a store.
pub struct StoreWriter {
    folder: PathBuf,
    retention: Retention,
    storage: Box<dyn Storage>,
    open: Option<OpenSegment>,
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
        let last = segments(folder)?.pop();
        if let Some(last) = &last {
            cut_off_torn_end(&last.path)?;
        }
        Ok(StoreWriter {
            folder: folder.to_owned(),
            retention,
            storage,
            open: None,
            next_number: last.map_or(0, |last| last.number + 1),
        })
    }

    /// Appends a batch and syncs it: once this returns, the batch is kept. `now` is a span since 1970.
    ///
    /// # Errors
    /// What the file system reports; any part of the batch may be written then.
    pub fn append(&mut self, now: Duration, batch: &[Record]) -> io::Result<()> {
        let mut bytes = Vec::new();
        for record in batch {
            append_record(&mut bytes, record);
        }
        let added = bytes.len() as u64;
        let open = match self.open.take().filter(|open| self.has_room(open, added)) {
            Some(open) => open,
            None => self.begin_segment(now)?,
        };
        let open = self.open.insert(open);
        open.file.write_all(&bytes)?;
        open.file.sync()?;
        open.size += added;
        Ok(())
    }

    /// Whether a batch fits into a segment. An empty segment takes a batch of any size.
    fn has_room(&self, open: &OpenSegment, added: u64) -> bool {
        let is_empty = open.size <= HEADER_BYTES as u64;
        is_empty || open.size + added <= self.retention.segment_bytes()
    }

    fn begin_segment(&mut self, now: Duration) -> io::Result<OpenSegment> {
        self.remove_beyond_retention(now)?;
        let name = format!("{:012}.{EXTENSION}", self.next_number);
        let mut file = self.storage.open(&self.folder.join(name))?;
        file.write_all(&header(now.as_secs()))?;
        file.sync()?;
        // Without syncing the folder, the file's name may be gone after a loss of power.
        File::open(&self.folder)?.sync_all()?;
        self.next_number += 1;
        Ok(OpenSegment {
            file,
            size: HEADER_BYTES as u64,
        })
    }

    /// Removes the oldest segments until the rest is young enough and leaves room for a new one.
    fn remove_beyond_retention(&self, now: Duration) -> io::Result<()> {
        let kept = self.kept_segments()?;
        let sizes: u64 = kept.iter().map(|segment| segment.size).sum();
        let mut total = sizes + self.retention.segment_bytes();
        for segment in kept {
            let is_old = segment.begun.is_some_and(|begun| {
                now.saturating_sub(Duration::from_secs(begun)) > self.retention.max_age
            });
            if !is_old && total <= self.retention.max_bytes {
                return Ok(());
            }
            fs::remove_file(&segment.path)?;
            total -= segment.size;
        }
        Ok(())
    }

    fn kept_segments(&self) -> io::Result<Vec<KeptSegment>> {
        let mut kept = Vec::new();
        for segment in segments(&self.folder)? {
            let size = fs::metadata(&segment.path)?.len();
            kept.push(KeptSegment {
                begun: begun_of_file(&segment.path),
                path: segment.path,
                size,
            });
        }
        Ok(kept)
    }
}

/// When the segment in a file was begun, in seconds since 1970; `None` if it is none, or can't be read.
fn begun_of_file(path: &Path) -> Option<u64> {
    let mut header = [0; HEADER_BYTES];
    File::open(path).ok()?.read_exact(&mut header).ok()?;
    begun_at(&header).ok()
}

/// Cuts a segment off behind its last whole record. A file that is no segment stays as it is.
fn cut_off_torn_end(path: &Path) -> io::Result<()> {
    let bytes = fs::read(path)?;
    if begun_at(&bytes).is_err() {
        return Ok(());
    }
    let end = decode_records(&bytes).end;
    if end < bytes.len() {
        let file = OpenOptions::new().write(true).open(path)?;
        file.set_len(end as u64)?;
    }
    Ok(())
}
