//! Where segments are written: files, or what stands in for them in tests.
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Opens files for a writer.
pub trait Storage: Send {
    /// Opens a file for appending, and creates it if it is missing.
    ///
    /// # Errors
    /// What the storage reports.
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn SegmentFile>>;
}

/// A file that is open for appending.
pub trait SegmentFile: Write + Send {
    /// Returns once all that was written is on disk.
    ///
    /// # Errors
    /// What the storage reports.
    fn sync(&mut self) -> io::Result<()>;

    /// Cuts the file off behind so many bytes.
    ///
    /// # Errors
    /// What the storage reports.
    fn truncate(&mut self, size: u64) -> io::Result<()>;
}

impl SegmentFile for File {
    fn sync(&mut self) -> io::Result<()> {
        self.sync_data()
    }

    fn truncate(&mut self, size: u64) -> io::Result<()> {
        self.set_len(size)
    }
}

/// The file system of the machine.
#[derive(Clone, Copy, Debug)]
pub struct FileSystem;

impl Storage for FileSystem {
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn SegmentFile>> {
        let file = OpenOptions::new().append(true).create(true).open(path)?;
        Ok(Box::new(file))
    }
}
