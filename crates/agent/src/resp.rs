//! Owns the reading and writing of RESP2, as its bytes come. It knows no command; it must never hold more than its
//! bound, nor take a length on trust.
use crate::log::End;
use crate::transport::Parse;

/// The protocol's largest value.
pub const VALUE: usize = 64 << 10;
/// The largest message: a value, and what stands around it.
pub const MESSAGE: usize = VALUE + VALUE / 8;
/// No command or answer of ours has more items, nor nests deeper.
const ITEMS: i64 = 64;
const DEEPEST: usize = 4;

#[derive(Clone, Debug, PartialEq)]
pub enum Resp {
    Simple(Vec<u8>),
    Error(Vec<u8>),
    Integer(i64),
    Bulk(Option<Vec<u8>>),
    Array(Option<Vec<Resp>>),
}

enum State {
    /// In a line that gives a kind, and a length or a short value.
    Line,
    /// So many bytes of a bulk string are still to come, with the line end after it.
    Bulk(usize),
}

/// Reads one value after another.
pub struct Values {
    state: State,
    held: Vec<u8>,
    seen: usize,
    /// Arrays that are not whole yet, and how many items each still lacks.
    open: Vec<(usize, Vec<Resp>)>,
}

impl Default for Values {
    fn default() -> Self {
        Values {
            state: State::Line,
            held: vec![],
            seen: 0,
            open: vec![],
        }
    }
}

impl Values {
    fn line(&mut self) -> Result<Option<Resp>, End> {
        let line = std::mem::take(&mut self.held);
        let line = line.strip_suffix(b"\r\n").ok_or(End::Malformed)?;
        let (&kind, rest) = line.split_first().ok_or(End::Malformed)?;
        let number = || {
            let text = std::str::from_utf8(rest)
                .ok()
                .filter(|text| !text.starts_with('+'));
            text.and_then(|text| text.parse::<i64>().ok())
                .ok_or(End::Malformed)
        };
        Ok(Some(match kind {
            b'+' => Resp::Simple(rest.to_vec()),
            b'-' => Resp::Error(rest.to_vec()),
            b':' => Resp::Integer(number()?),
            b'$' => match number()? {
                -1 => Resp::Bulk(None),
                len @ 0.. if len <= VALUE as i64 => {
                    self.state = State::Bulk(len as usize + 2);
                    return Ok(None);
                }
                0.. => return Err(End::TooLong),
                _ => return Err(End::Malformed),
            },
            b'*' => match number()? {
                -1 => Resp::Array(None),
                0 => Resp::Array(Some(vec![])),
                len @ 1..=ITEMS if self.open.len() < DEEPEST => {
                    self.open.push((len as usize, vec![]));
                    return Ok(None);
                }
                1.. => return Err(End::TooLong),
                _ => return Err(End::Malformed),
            },
            _ => return Err(End::Malformed),
        }))
    }

    /// Puts a value where it belongs; returns it if it is the whole.
    fn put(&mut self, mut value: Resp) -> Option<Resp> {
        while let Some((left, mut items)) = self.open.pop() {
            items.push(value);
            if left > 1 {
                self.open.push((left - 1, items));
                return None;
            }
            value = Resp::Array(Some(items));
        }
        self.seen = 0;
        Some(value)
    }
}

impl Parse for Values {
    type Item = Resp;

    fn is_between(&self) -> bool {
        self.seen == 0
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Resp>), End> {
        let mut at = 0;
        while at < bytes.len() {
            let rest = &bytes[at..];
            let many = match self.state {
                State::Line => rest
                    .iter()
                    .position(|&b| b == b'\n')
                    .map_or(rest.len(), |i| i + 1),
                State::Bulk(left) => left.min(rest.len()),
            };
            self.seen += many;
            if self.seen > MESSAGE {
                return Err(End::TooLong);
            }
            self.held.extend_from_slice(&rest[..many]);
            at += many;
            let value = match &mut self.state {
                State::Line if self.held.last() == Some(&b'\n') => self.line()?,
                State::Line => None,
                State::Bulk(left) => {
                    *left -= many;
                    if *left > 0 {
                        continue;
                    }
                    self.state = State::Line;
                    let mut value = std::mem::take(&mut self.held);
                    if !value.ends_with(b"\r\n") {
                        return Err(End::Malformed);
                    }
                    value.truncate(value.len() - 2);
                    Some(Resp::Bulk(Some(value)))
                }
            };
            if let Some(whole) = value.and_then(|value| self.put(value)) {
                return Ok((at, Some(whole)));
            }
        }
        Ok((at, None))
    }
}

/// Reads one command after another: arrays of bulk strings, and nothing else.
#[derive(Default)]
pub struct Commands(Values);

impl Parse for Commands {
    type Item = Vec<Vec<u8>>;

    fn is_between(&self) -> bool {
        self.0.is_between()
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Self::Item>), End> {
        if self.0.seen == 0 && bytes.first().is_some_and(|&b| b != b'*') {
            return Err(End::Malformed);
        }
        let (taken, value) = self.0.take(bytes)?;
        let Some(value) = value else {
            return Ok((taken, None));
        };
        let Resp::Array(Some(items)) = value else {
            return Err(End::Malformed);
        };
        let item = |item| {
            if let Resp::Bulk(Some(text)) = item {
                Ok(text)
            } else {
                Err(End::Malformed)
            }
        };
        let command = items.into_iter().map(item).collect::<Result<Vec<_>, _>>()?;
        if command.is_empty() {
            Err(End::Malformed)
        } else {
            Ok((taken, Some(command)))
        }
    }
}

pub fn put_bulk(out: &mut Vec<u8>, text: &[u8]) {
    out.extend_from_slice(format!("${}\r\n", text.len()).as_bytes());
    out.extend_from_slice(text);
    out.extend_from_slice(b"\r\n");
}

pub fn bulk(text: &[u8]) -> Vec<u8> {
    let mut out = Vec::with_capacity(text.len() + 16);
    put_bulk(&mut out, text);
    out
}

pub fn command<'a>(parts: impl ExactSizeIterator<Item = &'a [u8]>) -> Vec<u8> {
    let mut out = format!("*{}\r\n", parts.len()).into_bytes();
    parts.for_each(|part| put_bulk(&mut out, part));
    out
}
