//! Why the adapter stops.
use std::fmt;
use std::io;

use crate::wire::{EventKind, WireError};

/// Why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("input: {0}")]
    Input(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("output: {0}")]
    Output(#[source] io::Error),
    /// The input ended after the first bytes of a header.
    #[error("input ends inside a frame's header")]
    IncompleteHeader,
    /// A frame claims to be shorter than the header that every frame has.
    #[error("a frame's length, {0} bytes, is shorter than its header")]
    LengthBelowHeader(u32),
    /// The input ended after a header and before the end of its frame.
    #[error("input ends inside a frame")]
    IncompleteFrame,
    /// A frame is too short for the number of records that its header gives.
    #[error("a frame of {bytes} bytes after its header cannot hold {records} records")]
    TooManyRecords {
        /// The bytes of the frame behind its header.
        bytes: usize,
        /// The records that the header announces.
        records: usize,
    },
    /// An event cannot be used.
    #[error("{location}: {error}")]
    Event {
        /// Where the event stands.
        location: RecordLocation,
        /// What is wrong with it.
        #[source]
        error: EventError,
    },
}

/// Where an event's record stands in its frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The record's position in the frame, from 0.
    pub record: usize,
    /// The event's kind, where its code is known.
    pub kind: Option<EventKind>,
    /// The instance that the event is for, where one has been selected.
    pub instance: Option<u16>,
}

impl fmt::Display for RecordLocation {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "record {}", self.record)?;
        if let Some(kind) = self.kind {
            write!(formatter, ", {kind}")?;
        }
        if let Some(instance) = self.instance {
            write!(formatter, " of instance {instance}")?;
        }
        Ok(())
    }
}

/// Why an event cannot be used.
#[derive(Debug, thiserror::Error)]
pub enum EventError {
    /// The record's bytes mean nothing.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The event needs an instance, and none has been selected in this frame.
    #[error("an event before any ON")]
    NoInstance,
    /// The event is for an instance that is not running.
    #[error("the instance was never started")]
    UnknownInstance,
    /// The start settings are not text.
    #[error("options are not UTF-8")]
    SettingsNotUtf8,
    /// A page's number is beyond those that the bench uses.
    #[error("PAGE has the number {0}")]
    PageNumberOutOfRange(u32),
    /// An update refers to a page that has not been sent.
    #[error("UPDATE names list {0}, which was never given")]
    UnknownPage(u32),
    /// The instance's start settings have no such request class.
    #[error("product {0} was never named")]
    UnknownClass(u8),
    /// The instance's start settings have no such zone.
    #[error("zone {0} was never named")]
    UnknownZone(u8),
}
