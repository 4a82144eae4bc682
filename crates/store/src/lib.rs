//! Stores timelines on disk: an append-only log of segments with checksums, limited in size and age.
//!
//! Records that were synced survive `kill -9` at any moment. A record that was written only in part is cut off from the
//! end of its segment. A flipped byte makes only the rest of its own segment unreadable. This crate frames records and
//! does not interpret them.
//!
//! - [`segment_format`]: the bytes of a segment;
//! - [`reader`]: reads all records of a store and reports damaged files;
//! - [`writer`]: appends batches to the files of a [`storage`], within the limits of [`writer::Retention`];
//! - [`background_writer`]: a writer on its own thread, so that its caller never waits for the disk.

pub mod background_writer;
pub mod reader;
pub mod segment_format;
pub mod storage;
pub mod writer;
