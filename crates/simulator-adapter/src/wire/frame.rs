//! Reads frames of events.
use std::io::{self, Read};
use std::time::Duration;

use super::event::Event;
use super::fields::{Fields, WireError};
use super::kind::EventKind;
use super::layout::{CODE, EVENT_SIZE, event_header, select_instance};
use crate::error::AdapterError;

/// The most bytes that are allocated for a frame because of the length in its header. The buffer of a longer frame
/// grows as its bytes arrive, so that a wrong length does not exhaust the memory.
const MAX_INITIAL_CAPACITY_BYTES: usize = 1 << 20;

/// A frame: all events of one instant.
#[derive(Clone, Debug)]
pub struct Frame {
    /// The time of the events on the simulator's clock.
    pub now: Duration,
    body: Vec<u8>,
    tail_start: usize,
}

/// One record of a frame, not yet decoded.
#[derive(Clone, Copy, Debug)]
pub struct EventRecord<'a> {
    fields: Fields<'a>,
    tail: &'a [u8],
}

impl Frame {
    /// The frame's records, in order.
    pub fn records(&self) -> Vec<EventRecord<'_>> {
        let (records, tail) = self.body.split_at(self.tail_start);
        records
            .chunks_exact(EVENT_SIZE)
            .map(|record| EventRecord {
                fields: Fields(record),
                tail,
            })
            .collect()
    }
}

impl<'a> EventRecord<'a> {
    /// The kind of event; `None` if the record's code is unknown.
    pub fn kind(self) -> Option<EventKind> {
        EventKind::from_code(self.fields.u8(CODE))
    }

    /// The instance that a record of kind [`EventKind::SelectInstance`] selects; `None` for other kinds.
    pub fn selected_instance(self) -> Option<u16> {
        let selects = self.kind() == Some(EventKind::SelectInstance);
        selects.then(|| self.fields.u16(select_instance::INSTANCE))
    }

    /// Decodes the record.
    ///
    /// # Errors
    /// A code is unknown, a number is out of range, or a reference points outside the frame.
    pub fn event(self) -> Result<Event<'a>, WireError> {
        let code = self.fields.u8(CODE);
        let kind = self.kind().ok_or(WireError::UnknownEvent(code))?;
        Event::decode(kind, self.fields, self.tail)
    }
}

/// Reads the next frame; `None` at the end of the input.
///
/// # Errors
/// The input fails, ends inside a frame, or holds a frame whose header contradicts itself.
pub fn read_frame(input: &mut impl Read) -> Result<Option<Frame>, AdapterError> {
    let Some(header) = read_header(input)? else {
        return Ok(None);
    };
    let header = Fields(&header);
    let length = header.u32(event_header::FRAME_LENGTH);
    let rest = (length as usize)
        .checked_sub(event_header::SIZE)
        .ok_or(AdapterError::LengthBelowHeader(length))?;
    let body = read_body(input, rest)?;
    let records = header.u32(event_header::RECORD_COUNT) as usize;
    let tail_start = records
        .checked_mul(EVENT_SIZE)
        .filter(|bytes| *bytes <= body.len())
        .ok_or(AdapterError::TooManyRecords {
            bytes: rest,
            records,
        })?;
    Ok(Some(Frame {
        now: header.instant(event_header::CLOCK),
        body,
        tail_start,
    }))
}

fn read_header(input: &mut impl Read) -> Result<Option<[u8; event_header::SIZE]>, AdapterError> {
    let mut header = [0; event_header::SIZE];
    let mut filled = 0;
    while filled < header.len() {
        match input.read(&mut header[filled..]) {
            Ok(0) if filled == 0 => return Ok(None),
            Ok(0) => return Err(AdapterError::IncompleteHeader),
            Ok(count) => filled += count,
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            Err(error) => return Err(AdapterError::Input(error)),
        }
    }
    Ok(Some(header))
}

fn read_body(input: &mut impl Read, length: usize) -> Result<Vec<u8>, AdapterError> {
    let mut body = Vec::with_capacity(length.min(MAX_INITIAL_CAPACITY_BYTES));
    input
        .take(length as u64)
        .read_to_end(&mut body)
        .map_err(AdapterError::Input)?;
    if body.len() == length {
        Ok(body)
    } else {
        Err(AdapterError::IncompleteFrame)
    }
}
