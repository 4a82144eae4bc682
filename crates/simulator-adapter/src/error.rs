//! The errors that stop the adapter.
use std::fmt;
use std::io;

use crate::wire::{EventKind, WireError};

/// Why the adapter stops before the end of its input.
#[derive(Debug, thiserror::Error)]
pub enum AdapterError {
    /// Standard input cannot be read.
    #[error("standard input cannot be read: {0}")]
    Input(#[source] io::Error),
    /// Standard output cannot be written.
    #[error("standard output cannot be written: {0}")]
    Output(#[source] io::Error),
    /// The input ended after some, but not all, bytes of a header.
    #[error("the input ends inside a frame's header")]
    IncompleteHeader,
    /// The length in a frame's header is less than the header's own size.
    #[error("a frame has a length of {0} bytes, which is shorter than its header")]
    LengthBelowHeader(u32),
    /// The input ended after a header and before the end of its frame.
    #[error("the input ends inside a frame, after its header")]
    IncompleteFrame,
    /// A frame is too short for the number of records that its header gives.
    #[error("a frame with {bytes} bytes after its header cannot hold {records} records")]
    TooManyRecords {
        /// The size of the frame without its header.
        bytes: usize,
        /// The number of records that the header gives.
        records: usize,
    },
    /// An event is malformed, or does not fit what the adapter has received before.
    #[error("{location}: {error}")]
    Event {
        /// The record of the event.
        location: RecordLocation,
        /// Why the event cannot be used.
        #[source]
        error: EventError,
    },
}

/// Identifies an event's record in its frame.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct RecordLocation {
    /// The record's position in the frame, counted from 0.
    pub record: usize,
    /// The event's kind; `None` if its code is unknown.
    pub kind: Option<EventKind>,
    /// The instance that the event is for; `None` if none has been selected yet.
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
    /// The record cannot be decoded.
    #[error(transparent)]
    Wire(#[from] WireError),
    /// The event needs an instance, and none has been selected in this frame.
    #[error("the event comes before the frame's first ON, which selects an instance")]
    NoInstance,
    /// The event is for an instance that is not running.
    #[error("the instance has not been started by UP")]
    UnknownInstance,
    /// The start settings are not text.
    #[error("the start settings are not UTF-8")]
    SettingsNotUtf8,
    /// A page's number is beyond those that the simulator uses.
    #[error("the page has the number {0}; expected 0 to 15")]
    PageNumberOutOfRange(u32),
    /// An update refers to a page that has not been sent.
    #[error("UPDATE refers to page {0}, which no PAGE has sent")]
    UnknownPage(u32),
    /// The instance's start settings have no such request class.
    #[error("request class {0} is not in the instance's start settings")]
    UnknownClass(u8),
    /// The instance's start settings have no such zone.
    #[error("zone {0} is not in the instance's start settings")]
    UnknownZone(u8),
}
