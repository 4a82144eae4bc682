//! Owns the writing side: appends batches to the last segment, syncs, begins a new one when it is full, and takes away
//! the oldest beyond the bounds. It must never write into the middle of anything, nor keep more than it may.
use std::fs::{self, File, OpenOptions};
use std::io::{self, Write};
use std::path::{Path, PathBuf};
use std::time::Duration;

use lilacgate_timeline::entry::Record;

use crate::frames::{self, HEAD};
use crate::reader::segments;

/// What is kept at most.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Bounds {
    pub bytes: u64,
    pub age: Duration,
}

impl Bounds {
    /// A segment's size: a sixteenth of all, so that what goes at a time is little.
    fn segment(self) -> u64 {
        (self.bytes / 16).clamp(1 << 12, 16 << 20)
    }
}

/// Where segments are written; another one stands in for tests.
pub trait Disk: Send {
    /// Opens a file for appending, and makes it where it is missing.
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn Segment>>;
}

pub trait Segment: Write + Send {
    fn sync(&mut self) -> io::Result<()>;
}

impl Segment for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }
}

/// The file system as it is.
pub struct Real;

impl Disk for Real {
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn Segment>> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Box::new(file))
    }
}

pub struct Writer {
    folder: PathBuf,
    bounds: Bounds,
    disk: Box<dyn Disk>,
    open: Option<(Box<dyn Segment>, u64)>,
    number: u64,
}

impl Writer {
    /// Goes on where the last one stopped: the torn end of its last segment is cut off, and a new segment begins.
    ///
    /// # Errors
    /// What the file system says.
    pub fn new(folder: &Path, bounds: Bounds, disk: Box<dyn Disk>) -> io::Result<Writer> {
        fs::create_dir_all(folder)?;
        let last = segments(folder)?.pop();
        if let Some((_, path)) = &last {
            let bytes = fs::read(path)?;
            let end = if frames::begun(&bytes).is_ok() {
                frames::records(&bytes).1
            } else {
                bytes.len()
            };
            if end < bytes.len() {
                OpenOptions::new()
                    .write(true)
                    .open(path)?
                    .set_len(end as u64)?;
            }
        }
        let number = last.map_or(0, |(number, _)| number + 1);
        Ok(Writer {
            folder: folder.to_owned(),
            bounds,
            disk,
            open: None,
            number,
        })
    }

    /// Appends a batch and syncs it: when this returns, it is kept.
    ///
    /// # Errors
    /// What the file system says; of this batch anything may be there then.
    pub fn append(&mut self, now: Duration, batch: &[Record]) -> io::Result<()> {
        let mut bytes = Vec::new();
        batch
            .iter()
            .for_each(|record| frames::put(&mut bytes, record));
        let full =
            |size: u64| size > HEAD as u64 && size + bytes.len() as u64 > self.bounds.segment();
        if self.open.as_ref().is_none_or(|(_, size)| full(*size)) {
            self.begin(now)?;
        }
        let Some((file, size)) = &mut self.open else {
            return Ok(());
        };
        file.write_all(&bytes)?;
        file.sync()?;
        *size += bytes.len() as u64;
        Ok(())
    }

    fn begin(&mut self, now: Duration) -> io::Result<()> {
        self.open = None;
        self.prune(now)?;
        let path = self.folder.join(format!("{:012}.seg", self.number));
        let mut file = self.disk.open(&path)?;
        file.write_all(&frames::head(now.as_secs()))?;
        file.sync()?;
        // The folder too: else the file's name may be gone after a loss of power.
        File::open(&self.folder)?.sync_all()?;
        self.number += 1;
        self.open = Some((file, HEAD as u64));
        Ok(())
    }

    /// Takes away what is too old or too much, the oldest first; there is room for a new segment then.
    fn prune(&mut self, now: Duration) -> io::Result<()> {
        let mut all = Vec::new();
        for (_, path) in segments(&self.folder)? {
            let size = fs::metadata(&path)?.len();
            let mut head = [0; HEAD];
            let begun =
                File::open(&path).and_then(|mut file| io::Read::read_exact(&mut file, &mut head));
            all.push((
                path,
                size,
                begun.ok().and_then(|()| frames::begun(&head).ok()),
            ));
        }
        let mut sum: u64 = all.iter().map(|(_, size, _)| size).sum::<u64>() + self.bounds.segment();
        for (path, size, begun) in all {
            // Of what is not known to be a segment, nobody knows the age.
            let aged = |begun| now.saturating_sub(Duration::from_secs(begun)) > self.bounds.age;
            let old = begun.is_some_and(aged);
            if !old && sum <= self.bounds.bytes {
                return Ok(());
            }
            fs::remove_file(&path)?;
            sum -= size;
        }
        Ok(())
    }
}
