//! Clients of the agent: each sends one request at a time on a connection of its own, and logs how it ended.
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread;
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::endpoint_server::request_value;
use crate::event_log::{ClientOutcome, Event, EventLog, RequestKind};
use crate::framing::{encode_command, read_resp};

/// How much longer than its deadline a client waits for an answer.
const READ_SLACK: Duration = Duration::from_millis(300);

/// What clients send.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// The number of clients.
    pub clients: usize,
    /// The mean time between an answer and the client's next request.
    pub mean_pause: Duration,
    /// The deadline of each request.
    pub deadline: Duration,
}

/// A class of requests.
struct Class {
    kind: RequestKind,
    verb: &'static str,
    name: &'static str,
}

const READ: Class = Class {
    kind: RequestKind::Idempotent,
    verb: "SVC.QUERY",
    name: "read",
};
const POST: Class = Class {
    kind: RequestKind::Keyed,
    verb: "SVC.SUBMIT",
    name: "post",
};
const BOOK: Class = Class {
    kind: RequestKind::NonIdempotent,
    verb: "SVC.SUBMIT",
    name: "book",
};

type Connection = BufReader<TcpStream>;

/// A client, in its own thread.
pub(crate) struct Client {
    pub(crate) rng: Pcg64Mcg,
    pub(crate) agent: SocketAddr,
    pub(crate) traffic: Traffic,
    pub(crate) event_log: EventLog,
    /// The next request's number, shared by all clients of a run.
    pub(crate) next_id: Arc<AtomicU32>,
    /// Set when clients are to end.
    pub(crate) stopping: Arc<AtomicBool>,
}

impl Client {
    /// Sends requests until clients are to end.
    pub(crate) fn run(mut self) {
        let mut connection: Option<Connection> = None;
        while !self.stopping.load(Ordering::Relaxed) {
            let variation = self.rng.random_range(0.2..1.8);
            thread::sleep(self.traffic.mean_pause.mul_f64(variation));
            let Some(mut open) = connection.take().or_else(|| self.connect()) else {
                continue;
            };
            if self.send_request(&mut open) {
                connection = Some(open);
            }
        }
    }

    fn connect(&self) -> Option<Connection> {
        let connection = TcpStream::connect(self.agent).ok()?;
        connection.set_nodelay(true).ok();
        connection
            .set_read_timeout(Some(self.traffic.deadline + READ_SLACK))
            .ok()?;
        Some(BufReader::new(connection))
    }

    /// Sends one request; whether the connection may be used again.
    fn send_request(&mut self, connection: &mut Connection) -> bool {
        if !is_open(connection.get_ref()) {
            return false;
        }
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let class = self.draw_class();
        let command = self.command(id, &class);
        self.event_log.push(Event::RequestSent {
            id,
            kind: class.kind,
            deadline: self.traffic.deadline,
        });
        let outcome = match exchange(connection, &command) {
            Answer::Text(text) if text.strip_prefix('$') == Some(request_value(id).as_str()) => {
                ClientOutcome::Succeeded
            }
            Answer::Text(text) if text.starts_with('$') => ClientOutcome::WrongValue,
            Answer::Text(text) if text.starts_with("-BUSY") => ClientOutcome::Rejected,
            Answer::Text(_) => ClientOutcome::Failed,
            Answer::Incomplete => return false,
            Answer::ConnectionEnded => {
                self.event_log.push(Event::ConnectionEnded { id });
                return false;
            }
        };
        self.event_log.push(Event::RequestEnded { id, outcome });
        true
    }

    fn draw_class(&mut self) -> Class {
        match self.rng.random_range(0..20) {
            0..12 => READ,
            12..17 => POST,
            _ => BOOK,
        }
    }

    fn command(&self, id: u32, class: &Class) -> String {
        let key = format!("k{id}");
        let idempotency_key = if class.kind == RequestKind::Keyed {
            format!(",k={key}")
        } else {
            String::new()
        };
        let options = format!(
            "c={},d={}{idempotency_key}",
            class.name,
            self.traffic.deadline.as_millis()
        );
        encode_command(&[class.verb, &key, &format!("t{id}"), &options])
    }
}

/// Whether an idle connection has neither ended nor brought anything. A request on one that has ended would not be
/// accepted.
fn is_open(connection: &TcpStream) -> bool {
    let idle = connection.set_nonblocking(true).is_ok()
        && connection
            .peek(&mut [0])
            .is_err_and(|error| error.kind() == ErrorKind::WouldBlock);
    connection.set_nonblocking(false).is_ok() && idle
}

/// What a client gets for a request.
enum Answer {
    Text(String),
    /// The connection ended before the first byte of an answer.
    ConnectionEnded,
    /// No complete answer arrived in time.
    Incomplete,
}

fn exchange(connection: &mut Connection, command: &str) -> Answer {
    if connection.get_ref().write_all(command.as_bytes()).is_err() {
        return Answer::ConnectionEnded;
    }
    match connection.fill_buf() {
        Ok([]) => Answer::ConnectionEnded,
        Err(error) if error.kind() != ErrorKind::WouldBlock => Answer::ConnectionEnded,
        Err(_) => Answer::Incomplete,
        Ok(_) => read_resp(connection).map_or(Answer::Incomplete, Answer::Text),
    }
}
