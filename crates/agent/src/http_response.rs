//! An incremental parser of one HTTP/1.1 response and of the JSON values in its body.
//!
//! The number and length of the head's lines and the length of each JSON value are bounded. A body that ends within a
//! value is malformed. Only status 200 is accepted.
use crate::json::{Json, JsonParser};
use crate::log::ConnectionEnd;
use crate::transport::Parse;

/// The longest line of a response head, in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 8 << 10;
/// The largest number of lines in a response head.
const MAX_HEAD_LINES: usize = 100;

/// How the end of the body is determined.
#[derive(Clone, Copy, Debug)]
enum BodyLength {
    Chunked,
    /// By its length in bytes.
    Counted(u64),
    /// By the end of the connection.
    UntilClose,
}

/// The part of the response that is read next.
#[derive(Debug)]
enum State {
    StatusLine,
    /// A line of the head, after `lines` lines; `body` is what these lines say about the length of the body.
    Head {
        lines: usize,
        body: BodyLength,
    },
    ChunkSize,
    /// A chunk, of which this many bytes are left.
    Chunk(u64),
    /// The line break after a chunk.
    ChunkEnd,
    /// A body of known length, of which this many bytes are left.
    CountedBody(u64),
    /// A body that lasts until the connection ends.
    BodyUntilClose,
    /// The trailer lines after the last chunk.
    Trailer,
    /// Nothing, since the body has ended.
    Finished,
}

/// A parser of one HTTP/1.1 response and of the JSON values in its body.
#[derive(Debug)]
pub struct HttpResponseParser {
    state: State,
    /// The line that is being read.
    line: Vec<u8>,
    values: JsonParser,
}

impl HttpResponseParser {
    /// Creates a parser that accepts JSON values of at most `max_value_bytes`.
    pub fn new(max_value_bytes: usize) -> Self {
        HttpResponseParser {
            state: State::StatusLine,
            line: Vec::new(),
            values: JsonParser::indented(max_value_bytes),
        }
    }

    /// Reads up to the end of a line; returns the number of bytes read.
    fn take_line(&mut self, bytes: &[u8]) -> Result<usize, ConnectionEnd> {
        let line_end = bytes.iter().position(|&byte| byte == b'\n');
        let taken = line_end.map_or(bytes.len(), |index| index + 1);
        self.line.extend_from_slice(&bytes[..taken]);
        if self.line.len() > MAX_LINE_BYTES {
            return Err(ConnectionEnd::TooLong);
        }
        if self.line.ends_with(b"\n") {
            let line = String::from_utf8(std::mem::take(&mut self.line))
                .map_err(|_| ConnectionEnd::Malformed)?;
            self.state = self.state_after(line.trim_end_matches(['\r', '\n']))?;
        }
        Ok(taken)
    }

    /// The state after a complete line.
    fn state_after(&self, line: &str) -> Result<State, ConnectionEnd> {
        match self.state {
            State::StatusLine => after_status_line(line),
            State::Head { body, .. } if line.is_empty() => Ok(body.first_state()),
            State::Head { lines, .. } if lines >= MAX_HEAD_LINES => Err(ConnectionEnd::TooLong),
            State::Head { lines, body } => Ok(State::Head {
                lines: lines + 1,
                body: body.after_field(line)?,
            }),
            State::ChunkSize => after_chunk_size(line),
            State::ChunkEnd if line.is_empty() => Ok(State::ChunkSize),
            State::Trailer if line.is_empty() => Ok(State::Finished),
            State::Trailer => Ok(State::Trailer),
            _ => Err(ConnectionEnd::Malformed),
        }
    }

    /// How many bytes of the body can be read next; `None` if a line comes next.
    fn body_bytes_left(&self) -> Result<Option<u64>, ConnectionEnd> {
        match self.state {
            State::Finished => Err(ConnectionEnd::Malformed),
            State::Chunk(left) | State::CountedBody(left) => Ok(Some(left)),
            State::BodyUntilClose => Ok(Some(u64::MAX)),
            _ => Ok(None),
        }
    }

    /// Records that `taken` bytes of the body have been read.
    fn consume_body(&mut self, taken: u64) {
        match &mut self.state {
            State::Chunk(left) | State::CountedBody(left) => *left -= taken,
            _ => {}
        }
        match self.state {
            State::Chunk(0) => self.state = State::ChunkEnd,
            State::CountedBody(0) => self.state = State::Finished,
            _ => {}
        }
    }
}

impl BodyLength {
    /// The state after the head.
    fn first_state(self) -> State {
        match self {
            BodyLength::Chunked => State::ChunkSize,
            BodyLength::Counted(0) => State::Finished,
            BodyLength::Counted(length) => State::CountedBody(length),
            BodyLength::UntilClose => State::BodyUntilClose,
        }
    }

    /// The body length as known after one more header field.
    fn after_field(self, line: &str) -> Result<BodyLength, ConnectionEnd> {
        let (name, value) = line.split_once(':').ok_or(ConnectionEnd::Malformed)?;
        let value = value.trim();
        match name.to_ascii_lowercase().as_str() {
            "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => Ok(BodyLength::Chunked),
            "transfer-encoding" => Err(ConnectionEnd::Malformed),
            "content-length" if !matches!(self, BodyLength::Chunked) => {
                let length = value.parse().map_err(|_| ConnectionEnd::Malformed)?;
                Ok(BodyLength::Counted(length))
            }
            _ => Ok(self),
        }
    }
}

fn after_status_line(line: &str) -> Result<State, ConnectionEnd> {
    let mut words = line.split(' ');
    let version = words.next();
    if !version.is_some_and(|version| version.starts_with("HTTP/1.")) {
        return Err(ConnectionEnd::Malformed);
    }
    if words.next() != Some("200") {
        return Err(ConnectionEnd::Refused);
    }
    Ok(State::Head {
        lines: 1,
        body: BodyLength::UntilClose,
    })
}

fn after_chunk_size(line: &str) -> Result<State, ConnectionEnd> {
    let size = line.split(';').next().unwrap_or_default().trim();
    // `from_str_radix` also accepts a sign.
    let is_hexadecimal = size.bytes().all(|byte| byte.is_ascii_hexdigit());
    match u64::from_str_radix(size, 16) {
        Ok(0) => Ok(State::Trailer),
        Ok(size) if is_hexadecimal => Ok(State::Chunk(size)),
        _ => Err(ConnectionEnd::Malformed),
    }
}

impl Parse for HttpResponseParser {
    type Item = Json;

    fn is_between_items(&self) -> bool {
        self.values.is_between_items()
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Json>), ConnectionEnd> {
        let mut taken = 0;
        while taken < bytes.len() {
            let rest = &bytes[taken..];
            let Some(left) = self.body_bytes_left()? else {
                taken += self.take_line(rest)?;
                continue;
            };
            let length = usize::try_from(left).map_or(rest.len(), |left| left.min(rest.len()));
            let (body_taken, value) = self.values.take(&rest[..length])?;
            taken += body_taken;
            self.consume_body(body_taken as u64);
            if value.is_some() {
                return Ok((taken, value));
            }
        }
        // A body that ends within a value was truncated.
        if matches!(self.state, State::Finished) && !self.values.is_between_items() {
            return Err(ConnectionEnd::Malformed);
        }
        Ok((taken, None))
    }
}

/// A parser of the same response that also yields heartbeats: anything that arrives between two values is an item
/// without a value. What arrives within a value is not a heartbeat, so that the rest of a truncated value is not
/// awaited forever.
#[derive(Debug)]
pub struct WatchResponseParser(pub HttpResponseParser);

impl Parse for WatchResponseParser {
    type Item = Option<Json>;

    fn is_between_items(&self) -> bool {
        self.0.is_between_items()
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Option<Json>>), ConnectionEnd> {
        let (taken, value) = self.0.take(bytes)?;
        let is_item = value.is_some() || self.0.is_between_items();
        Ok((taken, is_item.then_some(value)))
    }
}
