//! Parser and encoder of RESP2, the protocol of clients and endpoints.
//!
//! The parsers are incremental and independent of any command. They never buffer more than [`MAX_MESSAGE`] bytes, and
//! allocate no memory for an announced length before its bytes have arrived.
use crate::log::ConnectionEnd;
use crate::transport::Parse;

/// The largest bulk string of the protocol, in bytes.
pub const MAX_VALUE: usize = 64 << 10;
/// The largest message in bytes: one value of the largest size, and an eighth of that for the rest of the message.
pub const MAX_MESSAGE: usize = MAX_VALUE + MAX_VALUE / 8;
/// The largest number of items in an array; no command or reply of this protocol has more.
const MAX_ITEMS: i64 = 64;
/// The largest depth of nested arrays.
const MAX_DEPTH: usize = 4;
/// How much of a bulk string has to arrive before its memory may be allocated as a whole, in bytes.
const FIRST_PART: usize = 1 << 10;
const LINE_END: &[u8] = b"\r\n";

/// A RESP2 value; `None` is the null bulk string or the null array.
#[derive(Clone, Debug, PartialEq)]
pub enum Resp {
    /// A simple string, such as `+OK`.
    Simple(Vec<u8>),
    /// An error, such as `-ERR failed`.
    Error(Vec<u8>),
    /// An integer, such as `:1`.
    Integer(i64),
    /// A bulk string, which is prefixed by its length.
    Bulk(Option<Vec<u8>>),
    /// An array of values.
    Array(Option<Vec<Resp>>),
}

#[derive(Clone, Copy, Debug)]
enum State {
    /// Reading a line: a type byte, followed by a length or a short value.
    Line,
    /// Reading a bulk string, of which `missing` bytes are still to come, including its line end.
    Bulk { missing: usize },
}

/// An array of which `missing` items are still to come.
#[derive(Debug)]
struct PartialArray {
    missing: usize,
    items: Vec<Resp>,
}

/// Parses a sequence of RESP2 values.
#[derive(Debug)]
pub struct ValueParser {
    state: State,
    /// The bytes read so far of the current line or bulk string.
    token: Vec<u8>,
    /// How many bytes of the current message have been read so far.
    message_length: usize,
    /// The incomplete arrays, outermost first.
    open_arrays: Vec<PartialArray>,
    /// Whether the memory of a bulk string is allocated at once when its first part has arrived.
    allocates_whole_strings: bool,
}

impl Default for ValueParser {
    fn default() -> Self {
        ValueParser {
            state: State::Line,
            token: vec![],
            message_length: 0,
            open_arrays: vec![],
            allocates_whole_strings: false,
        }
    }
}

impl ValueParser {
    /// Creates a parser that allocates the memory of a bulk string at once when its first KiB has arrived, so that growing
    /// buffers do not fragment the memory. The caller reserves the memory.
    pub fn with_whole_allocations() -> Self {
        ValueParser {
            allocates_whole_strings: true,
            ..ValueParser::default()
        }
    }

    /// Makes room for `count` more bytes of the token. A bulk string grows by doubling, but not beyond its length.
    fn reserve_token(&mut self, count: usize) {
        let State::Bulk { missing } = self.state else {
            return;
        };
        if self.token.capacity() - self.token.len() >= count {
            return;
        }
        let is_whole = self.allocates_whole_strings && self.token.len() + count >= FIRST_PART;
        let growth = if is_whole {
            missing
        } else {
            missing.min(self.token.len().max(count))
        };
        self.token.reserve_exact(growth);
    }

    /// Parses a whole line. Returns its value, or `None` if it begins a bulk string or an array.
    fn parse_line(&mut self) -> Result<Option<Resp>, ConnectionEnd> {
        let line = std::mem::take(&mut self.token);
        let line = line
            .strip_suffix(LINE_END)
            .ok_or(ConnectionEnd::Malformed)?;
        let (&kind, rest) = line.split_first().ok_or(ConnectionEnd::Malformed)?;
        Ok(Some(match kind {
            b'+' => Resp::Simple(rest.to_vec()),
            b'-' => Resp::Error(rest.to_vec()),
            b':' => Resp::Integer(parse_integer(rest)?),
            b'$' => match parse_integer(rest)? {
                -1 => Resp::Bulk(None),
                length @ 0.. if length <= MAX_VALUE as i64 => {
                    self.state = State::Bulk {
                        missing: length as usize + LINE_END.len(),
                    };
                    return Ok(None);
                }
                0.. => return Err(ConnectionEnd::TooLong),
                _ => return Err(ConnectionEnd::Malformed),
            },
            b'*' => match parse_integer(rest)? {
                -1 => Resp::Array(None),
                0 => Resp::Array(Some(vec![])),
                count @ 1..=MAX_ITEMS if self.open_arrays.len() < MAX_DEPTH => {
                    self.open_arrays.push(PartialArray {
                        missing: count as usize,
                        items: vec![],
                    });
                    return Ok(None);
                }
                1.. => return Err(ConnectionEnd::TooLong),
                _ => return Err(ConnectionEnd::Malformed),
            },
            _ => return Err(ConnectionEnd::Malformed),
        }))
    }

    /// Parses a whole bulk string, including its line end.
    fn parse_bulk(&mut self) -> Result<Resp, ConnectionEnd> {
        self.state = State::Line;
        let mut value = std::mem::take(&mut self.token);
        if !value.ends_with(LINE_END) {
            return Err(ConnectionEnd::Malformed);
        }
        value.truncate(value.len() - LINE_END.len());
        Ok(Resp::Bulk(Some(value)))
    }

    /// Adds a value to the innermost incomplete array. Returns the outermost value once it is complete.
    fn add_value(&mut self, mut value: Resp) -> Option<Resp> {
        while let Some(mut array) = self.open_arrays.pop() {
            array.items.push(value);
            array.missing -= 1;
            if array.missing > 0 {
                self.open_arrays.push(array);
                return None;
            }
            value = Resp::Array(Some(array.items));
        }
        self.message_length = 0;
        Some(value)
    }
}

/// Parses a decimal integer. The protocol allows no plus sign.
fn parse_integer(digits: &[u8]) -> Result<i64, ConnectionEnd> {
    std::str::from_utf8(digits)
        .ok()
        .filter(|text| !text.starts_with('+'))
        .and_then(|text| text.parse().ok())
        .ok_or(ConnectionEnd::Malformed)
}

impl Parse for ValueParser {
    type Item = Resp;

    fn is_between_items(&self) -> bool {
        self.message_length == 0
    }

    fn consumed_bytes(&self) -> usize {
        self.message_length
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Resp>), ConnectionEnd> {
        let mut consumed = 0;
        while consumed < bytes.len() {
            let rest = &bytes[consumed..];
            let count = match self.state {
                State::Line => rest
                    .iter()
                    .position(|&byte| byte == b'\n')
                    .map_or(rest.len(), |position| position + 1),
                State::Bulk { missing } => missing.min(rest.len()),
            };
            self.message_length += count;
            if self.message_length > MAX_MESSAGE {
                return Err(ConnectionEnd::TooLong);
            }
            self.reserve_token(count);
            self.token.extend_from_slice(&rest[..count]);
            consumed += count;
            let value = match &mut self.state {
                State::Line if self.token.last() == Some(&b'\n') => self.parse_line()?,
                State::Line => None,
                State::Bulk { missing } => {
                    *missing -= count;
                    if *missing > 0 {
                        continue;
                    }
                    Some(self.parse_bulk()?)
                }
            };
            if let Some(message) = value.and_then(|value| self.add_value(value)) {
                return Ok((consumed, Some(message)));
            }
        }
        Ok((consumed, None))
    }
}

/// Parses a sequence of commands: arrays of at least one bulk string.
#[derive(Debug, Default)]
pub struct CommandParser(ValueParser);

impl Parse for CommandParser {
    type Item = Vec<Vec<u8>>;

    fn is_between_items(&self) -> bool {
        self.0.is_between_items()
    }

    fn consumed_bytes(&self) -> usize {
        self.0.consumed_bytes()
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Self::Item>), ConnectionEnd> {
        if self.0.is_between_items() && bytes.first().is_some_and(|&byte| byte != b'*') {
            return Err(ConnectionEnd::Malformed);
        }
        let (consumed, value) = self.0.take(bytes)?;
        let Some(value) = value else {
            return Ok((consumed, None));
        };
        let Resp::Array(Some(items)) = value else {
            return Err(ConnectionEnd::Malformed);
        };
        let part = |item| match item {
            Resp::Bulk(Some(text)) => Ok(text),
            _ => Err(ConnectionEnd::Malformed),
        };
        let command = items.into_iter().map(part).collect::<Result<Vec<_>, _>>()?;
        if command.is_empty() {
            Err(ConnectionEnd::Malformed)
        } else {
            Ok((consumed, Some(command)))
        }
    }
}

/// Appends `text` to `output` as a bulk string.
pub fn append_bulk(output: &mut Vec<u8>, text: &[u8]) {
    output.extend_from_slice(format!("${}\r\n", text.len()).as_bytes());
    output.extend_from_slice(text);
    output.extend_from_slice(LINE_END);
}

/// Encodes `text` as a bulk string.
pub fn encode_bulk(text: &[u8]) -> Vec<u8> {
    let mut output = Vec::with_capacity(text.len() + 16);
    append_bulk(&mut output, text);
    output
}

/// Encodes a command as an array of bulk strings.
pub fn encode_command<'a>(parts: impl ExactSizeIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut output = format!("*{}\r\n", parts.len()).into_bytes();
    parts.for_each(|part| append_bulk(&mut output, part));
    output
}
