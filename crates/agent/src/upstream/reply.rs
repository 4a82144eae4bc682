//! Interprets the replies of endpoints to requests.
use lilacgate_decision::Outcome;

use crate::resp::Resp;

/// An endpoint's reply to an attempt.
pub(super) struct Reply {
    pub(super) outcome: Outcome,
    /// The value for the client; empty unless the attempt succeeded.
    pub(super) value: Vec<u8>,
    pub(super) load_report: Option<Vec<u8>>,
}

/// Interprets a reply to a request; returns `None` if it is not a valid reply to one.
pub(super) fn parse_reply(reply: Resp) -> Option<Reply> {
    match reply {
        Resp::Array(Some(items)) => parse_success(items),
        Resp::Error(line) => parse_error(line),
        _ => None,
    }
}

/// Parses `[value, null, load report]`. A load report of the wrong type is ignored, and the value is used all the same; but
/// an array is no load report: it may be an answer behind the first part of another one.
fn parse_success(items: Vec<Resp>) -> Option<Reply> {
    let [value, null, load_report] = <[Resp; 3]>::try_from(items).ok()?;
    let (Resp::Bulk(Some(value)), Resp::Bulk(None) | Resp::Array(None)) = (value, null) else {
        return None;
    };
    let load_report = match load_report {
        Resp::Bulk(load_report) => load_report,
        Resp::Array(Some(_)) => return None,
        _ => None,
    };
    Some(Reply {
        outcome: Outcome::Succeeded,
        value,
        load_report,
    })
}

/// Whether this reply says that the request has not run.
pub(super) fn is_rejection(reply: &Resp) -> bool {
    let Resp::Error(line) = reply else {
        return false;
    };
    parse_error(line.clone()).is_some_and(|reply| reply.outcome == Outcome::Rejected)
}

/// Whether an error line is a valid reply to a request.
pub(super) fn is_error_answer(line: &[u8]) -> bool {
    parse_error(line.to_vec()).is_some()
}

/// Parses an error code, which may be followed by a load report.
fn parse_error(line: Vec<u8>) -> Option<Reply> {
    let line = String::from_utf8(line).ok()?;
    let (code, load_report) = match line.rsplit_once(' ') {
        Some((code, load_report)) if load_report.contains('=') => {
            (code, Some(load_report.as_bytes().to_vec()))
        }
        _ => (line.as_str(), None),
    };
    let outcome = match code {
        "BUSY" => Outcome::Rejected,
        "ERR failed" => Outcome::Failed,
        _ => return None,
    };
    Some(Reply {
        outcome,
        value: Vec::new(),
        load_report,
    })
}
