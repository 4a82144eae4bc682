//! An incremental parser that reads JSON values from bytes in pieces of any size.
//!
//! It buffers no more than the maximum length of a value, and accepts no nesting deeper than [`MAX_DEPTH`].
use crate::json::Json;
use crate::log::ConnectionEnd;
use crate::transport::Parse;

/// The deepest accepted nesting; no valid message is nested more deeply.
const MAX_DEPTH: usize = 16;

/// The characters that may follow a backslash in a string, except `u`, and the characters that they stand for, in the
/// same order.
const ESCAPES: &[u8] = b"\"\\/bfnrt";
const ESCAPED: &[u8] = b"\"\\/\x08\x0c\n\r\t";

/// The ranges of the two code units of a surrogate pair.
const HIGH_SURROGATES: std::ops::RangeInclusive<u32> = 0xD800..=0xDBFF;
const LOW_SURROGATES: std::ops::RangeInclusive<u32> = 0xDC00..=0xDFFF;

/// An array or object whose end has not been read yet.
#[derive(Debug)]
enum OpenValue {
    Array(Vec<Json>),
    Object {
        fields: Vec<(String, Json)>,
        /// The name of the field whose value comes next.
        name: String,
    },
}

/// What the parser expects next.
#[derive(Clone, Copy, Debug, PartialEq)]
enum State {
    Value,
    /// A value, or the end of an empty array.
    FirstItem,
    /// A field name, or the end of an empty object.
    FirstName,
    Name,
    Colon,
    /// A comma, or the end of the array or object.
    AfterValue,
    /// A character of a string, or its end.
    Text,
    /// The character after a backslash.
    Escape,
    /// This many more hexadecimal digits of an escaped character.
    HexDigits(u8),
    /// A character of a number, `null`, `true` or `false`.
    Unquoted,
}

/// How the parser detects that a value was truncated.
#[derive(Clone, Copy, Debug, PartialEq)]
enum TruncationRule {
    Never,
    /// By a line break within the value, where each value is on a line of its own.
    AtLineEnd,
    /// By an empty line within the value, where values may be indented over several lines.
    AtEmptyLine {
        /// The number of characters other than white space on the current line so far.
        line_length: usize,
    },
}

/// A parser that reads one value after another, optionally separated by white space.
#[derive(Debug)]
pub struct JsonParser {
    max_bytes: usize,
    truncation_rule: TruncationRule,
    /// How many bytes of the current value have been read.
    length: usize,
    /// The arrays and objects that contain the next value, outermost first.
    open: Vec<OpenValue>,
    state: State,
    /// Whether the string that is being read is a field name.
    is_name: bool,
    /// The string, number or literal that is being read.
    text: Vec<u8>,
    /// The code unit of the escape that is being read.
    code_unit: u32,
    /// The first half of a surrogate pair.
    high_surrogate: Option<u32>,
}

impl JsonParser {
    /// Creates a parser of values of at most `max_bytes`.
    pub fn new(max_bytes: usize) -> Self {
        JsonParser {
            max_bytes,
            truncation_rule: TruncationRule::Never,
            length: 0,
            open: Vec::new(),
            state: State::Value,
            is_name: false,
            text: Vec::new(),
            code_unit: 0,
            high_surrogate: None,
        }
    }

    /// Creates a parser of values that are each on one line.
    pub fn lines(max_bytes: usize) -> Self {
        JsonParser {
            truncation_rule: TruncationRule::AtLineEnd,
            ..JsonParser::new(max_bytes)
        }
    }

    /// Creates a parser of values that may extend over several lines, none of which is empty.
    pub fn indented(max_bytes: usize) -> Self {
        JsonParser {
            truncation_rule: TruncationRule::AtEmptyLine { line_length: 0 },
            ..JsonParser::new(max_bytes)
        }
    }

    /// Parses a text that consists of exactly one value.
    ///
    /// # Errors
    /// Fails if the text is not one JSON value, or is nested too deeply.
    pub fn parse(text: &[u8]) -> Result<Json, ConnectionEnd> {
        let mut parser = JsonParser::new(text.len() + 1);
        let (taken, value) = parser.take(text)?;
        let value = match value {
            Some(value) => Some(value),
            // A number at the end of the text is completed only by the byte after it.
            None => parser.take(b" ")?.1,
        };
        let rest = text.get(taken..).unwrap_or_default();
        value
            .filter(|_| rest.iter().all(u8::is_ascii_whitespace))
            .ok_or(ConnectionEnd::Malformed)
    }

    /// Whether a byte within a value shows that the value was truncated.
    fn shows_truncation(&mut self, byte: u8) -> bool {
        match &mut self.truncation_rule {
            TruncationRule::Never => false,
            TruncationRule::AtLineEnd => byte == b'\n',
            TruncationRule::AtEmptyLine { line_length } if byte == b'\n' => {
                std::mem::take(line_length) == 0
            }
            TruncationRule::AtEmptyLine { line_length } => {
                *line_length += usize::from(!byte.is_ascii_whitespace());
                false
            }
        }
    }

    /// Reads a byte; returns the value, if the byte completes it.
    fn take_byte(&mut self, byte: u8) -> Result<Option<Json>, ConnectionEnd> {
        match self.state {
            State::Text => self.take_text(byte),
            State::Escape => self.take_escape(byte).map(|()| None),
            State::HexDigits(left) => self.take_hex_digit(byte, left).map(|()| None),
            State::Unquoted => self.take_unquoted(byte),
            _ if byte.is_ascii_whitespace() => Ok(None),
            _ => self.take_structure(byte),
        }
    }

    fn take_text(&mut self, byte: u8) -> Result<Option<Json>, ConnectionEnd> {
        match byte {
            b'"' => return self.end_text(),
            b'\\' => self.state = State::Escape,
            byte if byte >= b' ' => {
                self.expect_no_surrogate()?;
                self.text.push(byte);
            }
            _ => return Err(ConnectionEnd::Malformed),
        }
        Ok(None)
    }

    fn take_escape(&mut self, byte: u8) -> Result<(), ConnectionEnd> {
        if byte == b'u' {
            self.code_unit = 0;
            self.state = State::HexDigits(4);
            return Ok(());
        }
        self.expect_no_surrogate()?;
        let index = ESCAPES
            .iter()
            .position(|&escape| escape == byte)
            .ok_or(ConnectionEnd::Malformed)?;
        self.text.push(ESCAPED[index]);
        self.state = State::Text;
        Ok(())
    }

    fn take_hex_digit(&mut self, byte: u8, left: u8) -> Result<(), ConnectionEnd> {
        let digit = char::from(byte)
            .to_digit(16)
            .ok_or(ConnectionEnd::Malformed)?;
        self.code_unit = self.code_unit * 16 + digit;
        if left > 1 {
            self.state = State::HexDigits(left - 1);
            return Ok(());
        }
        self.state = State::Text;
        self.push_code_unit(self.code_unit)
    }

    fn take_unquoted(&mut self, byte: u8) -> Result<Option<Json>, ConnectionEnd> {
        if byte.is_ascii_alphanumeric() || b"+-.".contains(&byte) {
            self.text.push(byte);
            return Ok(None);
        }
        let value = parse_unquoted(std::mem::take(&mut self.text))?;
        match self.add(value) {
            Some(value) if byte.is_ascii_whitespace() => Ok(Some(value)),
            Some(_) => Err(ConnectionEnd::Malformed),
            // Within an array or object, the byte after the value is part of the structure.
            None => self.take_byte(byte),
        }
    }

    /// Reads a byte outside of strings, numbers and literals that is not white space.
    fn take_structure(&mut self, byte: u8) -> Result<Option<Json>, ConnectionEnd> {
        match (self.state, byte) {
            (State::FirstItem | State::AfterValue, b']')
            | (State::FirstName | State::AfterValue, b'}') => return self.close(byte),
            (State::Value | State::FirstItem, b'[') => {
                self.open(OpenValue::Array(Vec::new()), State::FirstItem)?;
            }
            (State::Value | State::FirstItem, b'{') => {
                let object = OpenValue::Object {
                    fields: Vec::new(),
                    name: String::new(),
                };
                self.open(object, State::FirstName)?;
            }
            (State::Value | State::FirstItem, b'"') => self.begin_text(false),
            (State::FirstName | State::Name, b'"') => self.begin_text(true),
            (State::Value | State::FirstItem, b'-' | b'0'..=b'9' | b'a'..=b'z') => {
                self.text.push(byte);
                self.state = State::Unquoted;
            }
            (State::Colon, b':') => self.state = State::Value,
            (State::AfterValue, b',') => {
                self.state = match self.open.last() {
                    Some(OpenValue::Array(_)) => State::Value,
                    _ => State::Name,
                };
            }
            _ => return Err(ConnectionEnd::Malformed),
        }
        Ok(None)
    }

    fn open(&mut self, value: OpenValue, next: State) -> Result<(), ConnectionEnd> {
        if self.open.len() >= MAX_DEPTH {
            return Err(ConnectionEnd::Malformed);
        }
        self.open.push(value);
        self.state = next;
        Ok(())
    }

    fn begin_text(&mut self, is_name: bool) {
        self.is_name = is_name;
        self.state = State::Text;
    }

    /// Fails if the first half of a surrogate pair is not followed by the second.
    fn expect_no_surrogate(&self) -> Result<(), ConnectionEnd> {
        match self.high_surrogate {
            Some(_) => Err(ConnectionEnd::Malformed),
            None => Ok(()),
        }
    }

    /// Adds an escaped character, or keeps the first half of a surrogate pair until the second is read.
    fn push_code_unit(&mut self, code: u32) -> Result<(), ConnectionEnd> {
        let code = match self.high_surrogate.take() {
            Some(high) if LOW_SURROGATES.contains(&code) => {
                0x10000 + ((high - HIGH_SURROGATES.start()) << 10) + (code - LOW_SURROGATES.start())
            }
            Some(_) => return Err(ConnectionEnd::Malformed),
            None if HIGH_SURROGATES.contains(&code) => {
                self.high_surrogate = Some(code);
                return Ok(());
            }
            None => code,
        };
        let character = char::from_u32(code).ok_or(ConnectionEnd::Malformed)?;
        let mut buffer = [0; 4];
        let encoded = character.encode_utf8(&mut buffer);
        self.text.extend_from_slice(encoded.as_bytes());
        Ok(())
    }

    fn end_text(&mut self) -> Result<Option<Json>, ConnectionEnd> {
        self.expect_no_surrogate()?;
        let text = String::from_utf8(std::mem::take(&mut self.text))
            .map_err(|_| ConnectionEnd::Malformed)?;
        if !self.is_name {
            return Ok(self.add(Json::String(text)));
        }
        if let Some(OpenValue::Object { name, .. }) = self.open.last_mut() {
            *name = text;
        }
        self.state = State::Colon;
        Ok(None)
    }

    /// Adds a value to the innermost open array or object; returns the value if none is open.
    fn add(&mut self, value: Json) -> Option<Json> {
        self.state = State::AfterValue;
        match self.open.last_mut() {
            Some(OpenValue::Array(items)) => items.push(value),
            Some(OpenValue::Object { fields, name }) => fields.push((std::mem::take(name), value)),
            None => {
                self.state = State::Value;
                self.length = 0;
                return Some(value);
            }
        }
        None
    }

    /// Closes the innermost array or object with this bracket.
    fn close(&mut self, bracket: u8) -> Result<Option<Json>, ConnectionEnd> {
        match self.open.pop() {
            Some(OpenValue::Array(items)) if bracket == b']' => Ok(self.add(Json::Array(items))),
            Some(OpenValue::Object { fields, .. }) if bracket == b'}' => {
                Ok(self.add(Json::Object(fields)))
            }
            _ => Err(ConnectionEnd::Malformed),
        }
    }
}

/// Parses a number, `null`, `true` or `false`.
fn parse_unquoted(bytes: Vec<u8>) -> Result<Json, ConnectionEnd> {
    match bytes.as_slice() {
        b"null" => return Ok(Json::Null),
        b"true" => return Ok(Json::Bool(true)),
        b"false" => return Ok(Json::Bool(false)),
        _ => {}
    }
    let text = String::from_utf8(bytes).map_err(|_| ConnectionEnd::Malformed)?;
    // `f64::from_str` also accepts words such as `inf`, and a plus sign.
    let is_number = text.starts_with(['-', '0', '1', '2', '3', '4', '5', '6', '7', '8', '9']);
    if is_number && text.parse::<f64>().is_ok() {
        Ok(Json::Number(text))
    } else {
        Err(ConnectionEnd::Malformed)
    }
}

impl Parse for JsonParser {
    type Item = Json;

    fn is_between_items(&self) -> bool {
        self.length == 0
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Json>), ConnectionEnd> {
        for (index, &byte) in bytes.iter().enumerate() {
            let is_between_items = self.is_between_items() && self.open.is_empty();
            let is_skipped = is_between_items && byte.is_ascii_whitespace();
            self.length += usize::from(!is_skipped);
            if self.length > self.max_bytes {
                return Err(ConnectionEnd::TooLong);
            }
            if let Some(value) = self.take_byte(byte)? {
                return Ok((index + 1, Some(value)));
            }
            if !is_skipped && self.shows_truncation(byte) {
                return Err(ConnectionEnd::Malformed);
            }
        }
        Ok((bytes.len(), None))
    }
}
