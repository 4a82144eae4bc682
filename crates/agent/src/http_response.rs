//! Parses one HTTP/1.1 response as its bytes arrive, and the JSON values in its body.
//!
//! The head is bounded in the length and number of its lines, each value of the body in its length. A body that ends
//! amid a value is malformed. Only status 200 is accepted.
use crate::json::{Json, JsonParser};
use crate::log::ConnectionEnd;
use crate::transport::Parse;

/// The longest line of a head, in bytes.
pub(crate) const MAX_LINE_BYTES: usize = 8 << 10;
/// The most lines of a head.
const MAX_HEAD_LINES: usize = 100;

/// How the length of the body is known.
#[derive(Clone, Copy, Debug)]
enum BodyLength {
    Chunked,
    /// So many bytes.
    Counted(u64),
    /// It lasts as long as its connection.
    UntilClose,
}

/// What comes next.
#[derive(Debug)]
enum State {
    StatusLine,
    /// A line of the head, after `lines` of them; the body's length as far as the head has shown.
    Head {
        lines: usize,
        body: BodyLength,
    },
    ChunkSize,
    /// So many bytes of a chunk.
    Chunk(u64),
    /// The line end after a chunk.
    ChunkEnd,
    /// So many bytes of a body of known length.
    CountedBody(u64),
    /// A body that lasts as long as its connection.
    BodyUntilClose,
    /// The lines after the last chunk.
    Trailer,
    /// Nothing: the body has ended.
    Finished,
}

/// A parser of one HTTP/1.1 response, and of the JSON values in its body.
#[derive(Debug)]
pub struct HttpResponseParser {
    state: State,
    /// The line that is being read.
    line: Vec<u8>,
    values: JsonParser,
}

impl HttpResponseParser {
    /// A parser of values of at most so many bytes.
    pub fn new(max_value_bytes: usize) -> Self {
        HttpResponseParser {
            state: State::StatusLine,
            line: Vec::new(),
            values: JsonParser::indented(max_value_bytes),
        }
    }

    /// Takes bytes up to the end of a line; returns how many.
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

    /// What comes after a line.
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

    /// How many bytes of the body may come before anything else; none where a line comes next.
    fn body_bytes_left(&self) -> Result<Option<u64>, ConnectionEnd> {
        match self.state {
            State::Finished => Err(ConnectionEnd::Malformed),
            State::Chunk(left) | State::CountedBody(left) => Ok(Some(left)),
            State::BodyUntilClose => Ok(Some(u64::MAX)),
            _ => Ok(None),
        }
    }

    /// Takes note that so many bytes of the body have been read.
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
    /// What comes after the head.
    fn first_state(self) -> State {
        match self {
            BodyLength::Chunked => State::ChunkSize,
            BodyLength::Counted(0) => State::Finished,
            BodyLength::Counted(length) => State::CountedBody(length),
            BodyLength::UntilClose => State::BodyUntilClose,
        }
    }

    /// The length as known after one more field of the head.
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
    // The parser of numbers would also take a sign.
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
        // A body that ends amid a value was cut.
        if matches!(self.state, State::Finished) && !self.values.is_between_items() {
            return Err(ConnectionEnd::Malformed);
        }
        Ok((taken, None))
    }
}

/// A parser of the same response for which anything that comes between two values is an item too, without a value: a
/// heartbeat. What comes amid a value is none, so that a value that was cut is not waited for without end.
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
