//! Owns the reading of JSON, as its bytes come, and what little of it is written. It knows no message; it must never
//! hold more than its bound, nor nest deeper than its own, whatever comes.
use std::fmt::Write;

use crate::log::End;
use crate::transport::Parse;

/// No message of ours nests deeper than this.
const DEEPEST: usize = 16;

/// A value. A number keeps its own text, to be read as what it is needed for.
#[derive(Clone, Debug, PartialEq)]
pub enum Json {
    Null,
    Truth(bool),
    Number(String),
    Text(String),
    List(Vec<Json>),
    Object(Vec<(String, Json)>),
}

impl Json {
    pub fn get(&self, name: &str) -> Option<&Json> {
        match self {
            Json::Object(fields) => fields
                .iter()
                .find(|(n, _)| n == name)
                .map(|(_, value)| value),
            _ => None,
        }
    }

    pub fn text(&self) -> Option<&str> {
        if let Json::Text(text) = self {
            Some(text)
        } else {
            None
        }
    }

    pub fn list(&self) -> Option<&[Json]> {
        if let Json::List(list) = self {
            Some(list)
        } else {
            None
        }
    }

    /// A finite number.
    pub fn figure(&self) -> Option<f64> {
        if let Json::Number(text) = self {
            text.parse().ok().filter(|x: &f64| x.is_finite())
        } else {
            None
        }
    }

    /// A whole number that is not negative, in whatever form.
    pub fn whole(&self) -> Option<u64> {
        if let Json::Number(text) = self {
            let whole = |x: &f64| x.fract() == 0.0 && (0.0..=9e15).contains(x);
            text.parse()
                .ok()
                .or_else(|| self.figure().filter(whole).map(|x| x as u64))
        } else {
            None
        }
    }

    /// As path=value: lists of objects by number with their count, lists of plain values joined.
    pub fn flatten(&self, path: &str, put: &mut dyn FnMut(String, String)) {
        let under = |name: &str| {
            if path.is_empty() {
                name.to_owned()
            } else {
                format!("{path}.{name}")
            }
        };
        match self {
            Json::Object(fields) => fields
                .iter()
                .for_each(|(name, value)| value.flatten(&under(name), put)),
            Json::List(list) if list.iter().any(|item| matches!(item, Json::Object(_))) => {
                put(under("count"), list.len().to_string());
                list.iter()
                    .enumerate()
                    .for_each(|(i, item)| item.flatten(&under(&i.to_string()), put));
            }
            Json::List(list) => put(
                path.to_owned(),
                list.iter().map(Json::plain).collect::<Vec<_>>().join(","),
            ),
            plain => put(path.to_owned(), plain.plain()),
        }
    }

    fn plain(&self) -> String {
        match self {
            Json::Truth(truth) => truth.to_string(),
            // A whole number may have been written as a broken one.
            Json::Number(text) => text.strip_suffix(".0").unwrap_or(text).to_owned(),
            Json::Text(text) => word(text),
            _ => String::new(),
        }
    }
}

/// A name as the flat settings have it.
pub fn word(text: &str) -> String {
    text.replace([' ', ','], "_")
}

/// A text as JSON, quotes included.
pub fn quoted(text: &str) -> String {
    let mut out = String::from("\"");
    for c in text.chars() {
        match c {
            '"' | '\\' => out.extend(['\\', c]),
            c if c < ' ' => drop(write!(out, "\\u{:04x}", u32::from(c))),
            c => out.push(c),
        }
    }
    out + "\""
}

enum Open {
    List(Vec<Json>),
    Object(Vec<(String, Json)>, String),
}

#[derive(Clone, Copy, PartialEq)]
enum State {
    Value,
    /// A value, or the end of an empty list.
    First,
    /// A name, or the end of an empty object.
    Opened,
    Name,
    Colon,
    After,
    Text,
    Escape,
    /// So many digits of an escaped character are still to come.
    Hex(u8),
    Bare,
}

/// What shows that a value was cut.
#[derive(Clone, Copy, PartialEq)]
enum Cut {
    Never,
    /// A line that ends amid it: each stands on a line of its own.
    AtLineEnd,
    /// An empty line amid it, by the length of the line so far: one may come indented, over many lines.
    AtEmptyLine(usize),
}

/// Reads one value after another; white space may stand between them.
pub struct Values {
    most: usize,
    cut: Cut,
    seen: usize,
    open: Vec<Open>,
    state: State,
    /// Whether the text being read names a field.
    naming: bool,
    word: Vec<u8>,
    hex: u32,
    /// The first half of a pair that makes one character.
    half: Option<u32>,
}

impl Values {
    /// Values of at most so many bytes.
    pub fn new(most: usize) -> Self {
        let (open, word) = Default::default();
        Values {
            most,
            cut: Cut::Never,
            seen: 0,
            open,
            state: State::Value,
            naming: false,
            word,
            hex: 0,
            half: None,
        }
    }

    /// The same, one to a line.
    pub fn lines(most: usize) -> Self {
        Values {
            cut: Cut::AtLineEnd,
            ..Values::new(most)
        }
    }

    /// The same, each on as many lines as it likes, but for empty ones.
    pub fn indented(most: usize) -> Self {
        Values {
            cut: Cut::AtEmptyLine(0),
            ..Values::new(most)
        }
    }

    /// Whether a line that ends here shows that the value it stands in was cut.
    fn is_cut(&mut self, b: u8) -> bool {
        match &mut self.cut {
            Cut::Never => false,
            Cut::AtLineEnd => b == b'\n',
            Cut::AtEmptyLine(len) => {
                let empty = b == b'\n' && *len == 0;
                *len = if b == b'\n' {
                    0
                } else {
                    *len + usize::from(!b.is_ascii_whitespace())
                };
                empty
            }
        }
    }

    /// The one value that a whole text holds.
    pub fn whole(text: &[u8]) -> Result<Json, End> {
        let mut values = Values::new(text.len() + 1);
        // The space ends a number.
        let (taken, value) = values.take(text)?;
        let value = if let Some(value) = value {
            Some(value)
        } else {
            values.take(b" ")?.1
        };
        let rest = text.get(taken..).unwrap_or_default();
        value
            .filter(|_| rest.iter().all(u8::is_ascii_whitespace))
            .ok_or(End::Malformed)
    }

    fn byte(&mut self, b: u8) -> Result<Option<Json>, End> {
        let space = b.is_ascii_whitespace();
        match (self.state, b) {
            (State::Text, b'"') => return self.end_text(),
            (State::Text, b'\\') => self.state = State::Escape,
            (State::Text, b) if b >= b' ' => {
                self.lone_half()?;
                self.word.push(b);
            }
            (State::Escape, b'u') => (self.hex, self.state) = (0, State::Hex(4)),
            (State::Escape, b) => {
                self.lone_half()?;
                let at = b"\"\\/bfnrt"
                    .iter()
                    .position(|&c| c == b)
                    .ok_or(End::Malformed)?;
                self.word.push(b"\"\\/\x08\x0c\n\r\t"[at]);
                self.state = State::Text;
            }
            (State::Hex(left), b) => {
                let digit = char::from(b).to_digit(16).ok_or(End::Malformed)?;
                self.hex = self.hex * 16 + digit;
                self.state = State::Hex(left - 1);
                if left == 1 {
                    self.state = State::Text;
                    self.escaped(self.hex)?;
                }
            }
            (State::Bare, b) if b.is_ascii_alphanumeric() || b"+-.".contains(&b) => {
                self.word.push(b)
            }
            (State::Bare, b) => {
                let value = bare(std::mem::take(&mut self.word))?;
                let whole = self.put(value);
                // What ends it may itself be of use, within a list or an object.
                return match whole {
                    Some(_) if !space => Err(End::Malformed),
                    Some(value) => Ok(Some(value)),
                    None => self.byte(b),
                };
            }
            (State::Text, _) => return Err(End::Malformed),
            (_, _) if space => {}
            (State::First | State::After, b']') | (State::Opened | State::After, b'}') => {
                return self.close(b);
            }
            (State::Value | State::First, b'[' | b'{') => {
                if self.open.len() >= DEEPEST {
                    return Err(End::Malformed);
                }
                let list = b == b'[';
                self.open.push(if list {
                    Open::List(vec![])
                } else {
                    Open::Object(vec![], String::new())
                });
                self.state = if list { State::First } else { State::Opened };
            }
            (State::Value | State::First, b'"') => (self.naming, self.state) = (false, State::Text),
            (State::Opened | State::Name, b'"') => (self.naming, self.state) = (true, State::Text),
            (State::Value | State::First, b'-' | b'0'..=b'9' | b'a'..=b'z') => {
                self.word.push(b);
                self.state = State::Bare;
            }
            (State::Colon, b':') => self.state = State::Value,
            (State::After, b',') => {
                let list = matches!(self.open.last(), Some(Open::List(_)));
                self.state = if list { State::Value } else { State::Name };
            }
            _ => return Err(End::Malformed),
        }
        Ok(None)
    }

    fn lone_half(&self) -> Result<(), End> {
        if self.half.is_some() {
            Err(End::Malformed)
        } else {
            Ok(())
        }
    }

    fn escaped(&mut self, code: u32) -> Result<(), End> {
        let code = match (self.half.take(), code) {
            (Some(first), 0xDC00..=0xDFFF) => 0x10000 + ((first - 0xD800) << 10) + (code - 0xDC00),
            (Some(_), _) => return Err(End::Malformed),
            (None, 0xD800..=0xDBFF) => {
                self.half = Some(code);
                return Ok(());
            }
            (None, code) => code,
        };
        let c = char::from_u32(code).ok_or(End::Malformed)?;
        self.word
            .extend_from_slice(c.encode_utf8(&mut [0; 4]).as_bytes());
        Ok(())
    }

    fn end_text(&mut self) -> Result<Option<Json>, End> {
        self.lone_half()?;
        let text = String::from_utf8(std::mem::take(&mut self.word)).map_err(|_| End::Malformed)?;
        if !self.naming {
            return Ok(self.put(Json::Text(text)));
        }
        if let Some(Open::Object(_, name)) = self.open.last_mut() {
            *name = text;
        }
        self.state = State::Colon;
        Ok(None)
    }

    /// Puts a value where it belongs; returns it if it is the whole.
    fn put(&mut self, value: Json) -> Option<Json> {
        self.state = State::After;
        match self.open.last_mut() {
            Some(Open::List(list)) => list.push(value),
            Some(Open::Object(fields, name)) => fields.push((std::mem::take(name), value)),
            None => {
                (self.state, self.seen) = (State::Value, 0);
                return Some(value);
            }
        }
        None
    }

    fn close(&mut self, by: u8) -> Result<Option<Json>, End> {
        match self.open.pop() {
            Some(Open::List(list)) if by == b']' => Ok(self.put(Json::List(list))),
            Some(Open::Object(fields, _)) if by == b'}' => Ok(self.put(Json::Object(fields))),
            _ => Err(End::Malformed),
        }
    }
}

fn bare(word: Vec<u8>) -> Result<Json, End> {
    match word.as_slice() {
        b"null" => return Ok(Json::Null),
        b"true" => return Ok(Json::Truth(true)),
        b"false" => return Ok(Json::Truth(false)),
        _ => {}
    }
    let text = String::from_utf8(word).map_err(|_| End::Malformed)?;
    let number = text.starts_with(['-', '0', '1', '2', '3', '4', '5', '6', '7', '8', '9']);
    if number && text.parse::<f64>().is_ok() {
        Ok(Json::Number(text))
    } else {
        Err(End::Malformed)
    }
}

impl Parse for Values {
    type Item = Json;

    fn is_between(&self) -> bool {
        self.seen == 0
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Json>), End> {
        for (i, &b) in bytes.iter().enumerate() {
            let between = self.seen == 0 && self.open.is_empty() && b.is_ascii_whitespace();
            self.seen += usize::from(!between);
            if self.seen > self.most {
                return Err(End::TooLong);
            }
            if let Some(value) = self.byte(b)? {
                return Ok((i + 1, Some(value)));
            }
            if !between && self.is_cut(b) {
                return Err(End::Malformed);
            }
        }
        Ok((bytes.len(), None))
    }
}
