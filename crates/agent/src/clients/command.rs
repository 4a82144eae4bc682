//! Parses the commands of clients, and encodes requests for endpoints.
use std::collections::BTreeMap;
use std::hash::{DefaultHasher, Hash, Hasher};
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{Idempotency, IdempotencyKey, RequestClass};
use thiserror::Error;

use crate::json;
use crate::outbound::EncodedRequest;
use crate::resp;
use crate::transport::ByteReservation;

/// A request class, with the name by which clients refer to it.
#[derive(Debug)]
pub(super) struct NamedClass {
    pub(super) name: String,
    pub(super) class: RequestClass,
    pub(super) idempotency: Idempotency,
}

/// A parsed command.
#[derive(Debug)]
pub(super) enum Command {
    /// Asks whether any endpoint takes requests.
    Ping,
    /// A request for an endpoint.
    Request(RequestArguments),
}

/// The arguments by which the decision engine routes a request.
#[derive(Debug)]
pub(super) struct RequestArguments {
    pub(super) class: RequestClass,
    pub(super) idempotency: Idempotency,
    pub(super) idempotency_key: Option<IdempotencyKey>,
    /// How long the client waits for the answer.
    pub(super) timeout: Duration,
    pub(super) estimated_work: Option<Duration>,
    pub(super) is_retry: bool,
}

/// Why a command is invalid. Clients receive the text after `-ERR`; it is part of the protocol.
#[derive(Debug, Error)]
pub(super) enum CommandError {
    #[error("no appliance is known")]
    NoReadyEndpoint,
    #[error("unknown command {0}")]
    UnknownCommand(String),
    #[error("wrong number of arguments")]
    ArgumentCount,
    #[error("no id")]
    MissingId,
    #[error("bad id")]
    InvalidId,
    #[error("this id is in hand")]
    IdInFlight,
    #[error("this id may have run")]
    IdUsed,
    #[error("values are not UTF-8")]
    NotUtf8,
    #[error("too many values")]
    TooManyValues,
    #[error("a value without a name")]
    UnnamedValue,
    #[error("{0} stands twice")]
    RepeatedName(String),
    #[error("no class")]
    MissingClass,
    #[error("unknown class")]
    UnknownClass,
    #[error("this class takes the other command")]
    WrongCommandForClass,
    #[error("no {0}")]
    MissingValue(&'static str),
    #[error("bad {0}")]
    InvalidValue(&'static str),
}

/// The index of the request's id among the parts of its command.
pub(super) const ID_INDEX: usize = 2;
/// The index of the `name=value` pairs among the parts of a command.
const PAIRS_INDEX: usize = 3;

/// The pair that names the request class.
const CLASS: &str = "c";
/// The pair with the deadline, in milliseconds from the command's arrival.
const DEADLINE: &str = "d";
/// The pair with the estimated work of the request, in microseconds.
const WORK_HINT: &str = "h";
/// The pair with the idempotency key, which endpoints read.
const KEY: &str = "k";
/// The pair that is 1 if the request is a client's retry.
const RETRY: &str = "r";

/// Parses a command. `parts` must not be empty.
///
/// # Errors
///
/// Returns the first error found.
pub(super) fn parse(parts: &[Vec<u8>], classes: &[NamedClass]) -> Result<Command, CommandError> {
    let is_write = match parts[0].to_ascii_uppercase().as_slice() {
        b"PING" => return Ok(Command::Ping),
        b"SVC.QUERY" => false,
        b"SVC.SUBMIT" => true,
        other => {
            let name = other.escape_ascii().to_string();
            return Err(CommandError::UnknownCommand(name));
        }
    };
    let (key, id, pairs) = match parts {
        [_, key, id, pairs] | [_, key, id, pairs, _] => (key, id, pairs),
        _ => return Err(CommandError::ArgumentCount),
    };
    if id.is_empty() {
        return Err(CommandError::MissingId);
    }
    if !id.iter().all(u8::is_ascii_graphic) {
        return Err(CommandError::InvalidId);
    }
    let pairs = Pairs::parse(pairs)?;
    let class = pairs.class(classes)?;
    if is_write == (class.idempotency == Idempotency::Idempotent) {
        return Err(CommandError::WrongCommandForClass);
    }
    let timeout = pairs
        .number(DEADLINE)?
        .ok_or(CommandError::MissingValue(DEADLINE))?;
    let work_hint = pairs.number(WORK_HINT)?;
    let is_keyed = matches!(class.idempotency, Idempotency::Keyed(_));
    if is_keyed && pairs.get(KEY).is_none_or(str::is_empty) {
        return Err(CommandError::MissingValue(KEY));
    }
    Ok(Command::Request(RequestArguments {
        class: class.class,
        idempotency: class.idempotency,
        idempotency_key: hash_key(key),
        timeout: Duration::from_millis(timeout.into()),
        estimated_work: work_hint.map(|micros| Duration::from_micros(micros.into())),
        is_retry: pairs.get(RETRY) == Some("1"),
    }))
}

/// The largest number of `name=value` pairs in a request; the protocol names six.
const MAX_VALUES: usize = 64;

/// The `name=value` pairs of a request.
struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn parse(bytes: &'a [u8]) -> Result<Self, CommandError> {
        let text = std::str::from_utf8(bytes).map_err(|_| CommandError::NotUtf8)?;
        let mut values = BTreeMap::new();
        for pair in text.split(',') {
            if values.len() >= MAX_VALUES {
                return Err(CommandError::TooManyValues);
            }
            let (name, value) = pair.split_once('=').ok_or(CommandError::UnnamedValue)?;
            if values.insert(name, value).is_some() {
                return Err(CommandError::RepeatedName(name.to_owned()));
            }
        }
        Ok(Pairs(values))
    }

    fn get(&self, name: &str) -> Option<&'a str> {
        self.0.get(name).copied()
    }

    fn class<'c>(&self, classes: &'c [NamedClass]) -> Result<&'c NamedClass, CommandError> {
        let name = json::settings_name(self.get(CLASS).ok_or(CommandError::MissingClass)?);
        classes
            .iter()
            .find(|class| class.name == name)
            .ok_or(CommandError::UnknownClass)
    }

    /// Returns the value of a pair that consists of decimal digits only, or `None` if there is no such pair.
    fn number(&self, name: &'static str) -> Result<Option<u32>, CommandError> {
        let Some(value) = self.get(name) else {
            return Ok(None);
        };
        let is_plain = value.bytes().all(|byte| byte.is_ascii_digit());
        let number = Some(value).filter(|_| is_plain);
        number
            .and_then(|value| value.parse().ok())
            .map(Some)
            .ok_or(CommandError::InvalidValue(name))
    }
}

/// Hashes the key of a command to the idempotency key that the decision engine uses; an empty key has none.
fn hash_key(key: &[u8]) -> Option<IdempotencyKey> {
    if key.is_empty() {
        return None;
    }
    let mut hasher = DefaultHasher::new();
    key.hash(&mut hasher);
    Some(IdempotencyKey(hasher.finish()))
}

/// Encodes a request for an endpoint. It is sent as received, except that its deadline is replaced by the time left.
/// The encoded request owns the reservation of its bytes.
pub(super) fn encode_request(parts: Vec<Vec<u8>>, reservation: ByteReservation) -> EncodedRequest {
    Rc::new(move |time_left| {
        // A closure captures only what it mentions, and this one has to own the reservation.
        let _ = &reservation;
        let pairs = with_deadline(&parts[PAIRS_INDEX], time_left);
        let part = |(index, part)| {
            if index == PAIRS_INDEX {
                pairs.as_bytes()
            } else {
                Vec::as_slice(part)
            }
        };
        resp::encode_command(parts.iter().enumerate().map(part))
    })
}

/// Returns the pairs in their order, with the deadline replaced by `time_left`.
fn with_deadline(pairs: &[u8], time_left: Duration) -> String {
    let pairs = String::from_utf8_lossy(pairs);
    let replace = |pair: &str| {
        if pair.starts_with("d=") {
            format!("{DEADLINE}={}", time_left.as_millis())
        } else {
            pair.to_owned()
        }
    };
    let pairs: Vec<String> = pairs.split(',').map(replace).collect();
    pairs.join(",")
}
