//! Keeps timelines on disk: an append-only log of segments with checksums, bounded in bytes and age.
//!
//! What was synced is there after `kill -9` at any moment. A torn end is cut off; a flipped byte costs the rest of its
//! segment only. This crate knows how records are framed, not what they mean, and never makes its caller wait for a
//! disk.
//!
//! - [`segment_format`]: the bytes of a segment;
//! - [`reader`]: all records of a store, and what is damaged;
//! - [`writer`]: appends batches, within [`writer::Retention`], to files of a [`storage`];
//! - [`background_writer`]: a writer on a thread of its own.

pub mod background_writer;
pub mod reader;
pub mod segment_format;
pub mod storage;
pub mod writer;
