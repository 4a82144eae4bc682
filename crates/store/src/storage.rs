//! The interface through which segments are written. Tests replace the file system with disks that fill up or fail.
use std::fs::{File, OpenOptions};
use std::io::{self, Write};
use std::path::Path;

/// Opens files for a writer.
pub trait Storage: Send {
    /// Opens a file for appending, and creates it if it does not exist.
    ///
    /// # Errors
    /// The file cannot be opened or created.
    fn open(&mut self, path: &Path) -> io::Result<Box<dyn SegmentFile>>;
}

/// A file that is open for appending.
pub trait SegmentFile: Write + Send {
    /// Returns once all bytes that were written are on disk.
    ///
    /// # Errors
    /// The storage cannot confirm that the bytes are on disk.
    fn sync(&mut self) -> io::Result<()>;

    /// Reduces the file to its first `size` bytes.
    ///
    /// # Errors
    /// The file cannot be truncated.
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
