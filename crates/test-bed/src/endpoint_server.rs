//! A stand-in for an endpoint: it serves every request after a random time, with the faults that its behavior says.
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpStream};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, SystemTime};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::event_log::{Event, EventLog};
use crate::framing::read_resp;
use crate::listener::{Listener, lock};

const FAILURE: &[u8] = b"-ERR failed\r\n";
/// The command that does nothing, and its reply.
const SELECT: &str = "SELECT 0";
const SELECTED: &[u8] = b"+OK\r\n";
/// How late a second copy of an answer may be.
const LATEST_SECOND_ANSWER: Duration = Duration::from_millis(60);
/// Distinguishes the random numbers of second copies from those of service times, which come from the same seed.
const SECOND_ANSWER_STREAM: u64 = 0x5ec0;

/// What one class of requests meets besides the endpoint's own behavior.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct ClassFault {
    /// The class as on the wire: `read`, `post` or `book`.
    pub class: &'static str,
    /// A factor of the service time.
    pub slowdown: f64,
    /// Added to the endpoint's share of failures.
    pub failure_share: f64,
}

/// How an endpoint serves.
#[derive(Clone, Copy, Debug)]
pub struct EndpointBehavior {
    /// The build that it runs.
    pub build: u16,
    /// An index into [`crate::test_bed::ZONES`].
    pub zone: usize,
    /// The share of requests that fail, 0 to 1.
    pub failure_share: f64,
    /// The mean time that a request takes.
    pub mean_service_time: Duration,
    /// A fault of one class.
    pub class_fault: Option<ClassFault>,
    /// It reads requests and never answers.
    pub silent: bool,
    /// It closes each connection as soon as a request arrives.
    pub closes_connections: bool,
    /// The share of answers that it writes twice, 0 to 1. The second copy comes up to 60 ms later, before the endpoint reads
    /// on from the connection.
    pub second_answer_share: f64,
}

impl EndpointBehavior {
    /// Without any fault.
    pub fn healthy(build: u16, zone: usize, mean_service_time: Duration) -> EndpointBehavior {
        EndpointBehavior {
            build,
            zone,
            failure_share: 0.0,
            mean_service_time,
            class_fault: None,
            silent: false,
            closes_connections: false,
            second_answer_share: 0.0,
        }
    }

    /// The factor of the service time, and the share of failures, for this command.
    fn service(&self, command: &str) -> Service {
        let fault = self
            .class_fault
            .filter(|fault| command.contains(&format!("c={},", fault.class)));
        Service {
            slowdown: fault.map_or(1.0, |fault| fault.slowdown),
            failure_share: self.failure_share + fault.map_or(0.0, |fault| fault.failure_share),
        }
    }
}

/// How one request is served.
struct Service {
    slowdown: f64,
    failure_share: f64,
}

/// An endpoint that listens.
#[derive(Debug)]
pub struct EndpointServer {
    listener: Listener,
    behavior: Arc<Mutex<EndpointBehavior>>,
    /// Whether it takes requests, as the endpoint list says.
    pub(crate) ready: bool,
    /// When it started, if that is not long ago.
    pub(crate) started: Option<SystemTime>,
}

impl EndpointServer {
    /// An endpoint with this number in the event log. `seed` draws service times and failures.
    pub(crate) fn new(
        host: Ipv4Addr,
        number: usize,
        behavior: EndpointBehavior,
        seed: u64,
        event_log: EventLog,
    ) -> EndpointServer {
        let behavior = Arc::new(Mutex::new(behavior));
        let handler = RequestHandler {
            number,
            behavior: behavior.clone(),
            rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed)),
            second_answer_rng: Mutex::new(Pcg64Mcg::seed_from_u64(seed ^ SECOND_ANSWER_STREAM)),
            event_log,
        };
        EndpointServer {
            listener: Listener::new(host, move |connection| handler.serve(&connection)),
            behavior,
            ready: true,
            started: None,
        }
    }

    /// Where it listens.
    pub fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// How it serves now.
    pub fn behavior(&self) -> EndpointBehavior {
        *lock(&self.behavior)
    }

    pub(crate) fn change_behavior(&self, change: impl FnOnce(&mut EndpointBehavior)) {
        change(&mut lock(&self.behavior));
    }

    pub(crate) fn close_connections(&self) {
        self.listener.close_connections();
    }
}

/// What is random of one request.
struct Draw {
    succeeds: bool,
    /// The factor by which its service time differs from the mean.
    variation: f64,
}

struct RequestHandler {
    number: usize,
    behavior: Arc<Mutex<EndpointBehavior>>,
    rng: Mutex<Pcg64Mcg>,
    second_answer_rng: Mutex<Pcg64Mcg>,
    event_log: EventLog,
}

impl RequestHandler {
    /// Serves a connection until it ends or a command has no id of a test client.
    fn serve(&self, connection: &TcpStream) {
        let mut reader = BufReader::new(connection.try_clone().expect("a second handle"));
        let mut last_id = None;
        while let Some(command) = read_resp(&mut reader) {
            if command == SELECT {
                (&*connection).write_all(SELECTED).ok();
                continue;
            }
            last_id = request_id(&command);
            let Some(id) = last_id else {
                return;
            };
            if self.serve_request(connection, id, &command).is_err() {
                return;
            }
        }
        // Whoever ends the connection gives up what is out on it.
        if let Some(id) = last_id {
            self.event_log.push(Event::AttemptCompleted {
                id,
                endpoint: self.number,
            });
        }
    }

    fn serve_request(
        &self,
        mut connection: &TcpStream,
        id: u32,
        command: &str,
    ) -> std::io::Result<()> {
        let behavior = *lock(&self.behavior);
        self.event_log.push(Event::AttemptReceived {
            id,
            endpoint: self.number,
            build: behavior.build,
            zone: behavior.zone,
        });
        if behavior.closes_connections {
            connection.shutdown(Shutdown::Both).ok();
            return Err(std::io::ErrorKind::ConnectionAborted.into());
        }
        let service = behavior.service(command);
        let draw = self.draw(service.failure_share);
        let service_factor = draw.variation * service.slowdown;
        thread::sleep(behavior.mean_service_time.mul_f64(service_factor));
        // It may have become silent meanwhile.
        if behavior.silent || lock(&self.behavior).silent {
            return Ok(());
        }
        self.event_log.push(Event::AttemptCompleted {
            id,
            endpoint: self.number,
        });
        if !draw.succeeds {
            return connection.write_all(FAILURE);
        }
        let answer = success(id);
        connection.write_all(answer.as_bytes())?;
        if let Some(delay) = self.second_answer_delay(behavior.second_answer_share) {
            thread::sleep(delay);
            connection.write_all(answer.as_bytes())?;
        }
        Ok(())
    }

    /// Draws how much later an answer is written again, if it is.
    fn second_answer_delay(&self, share: f64) -> Option<Duration> {
        let mut rng = lock(&self.second_answer_rng);
        let is_repeated = rng.random::<f64>() < share;
        is_repeated.then(|| LATEST_SECOND_ANSWER.mul_f64(rng.random()))
    }

    fn draw(&self, failure_share: f64) -> Draw {
        let mut rng = lock(&self.rng);
        Draw {
            succeeds: rng.random::<f64>() >= failure_share,
            variation: rng.random_range(0.5..1.5),
        }
    }
}

/// The answer to a request, whose value is the request's id.
fn success(id: u32) -> String {
    let value = request_value(id);
    format!("*3\r\n${}\r\n{value}\r\n$-1\r\n$-1\r\n", value.len())
}

/// The value with which endpoints serve the request with this number.
pub(crate) fn request_value(id: u32) -> String {
    format!("t{id}")
}

/// The number in a test client's request id: `t7` is 7.
fn request_id(command: &str) -> Option<u32> {
    command.split(' ').nth(2)?.strip_prefix('t')?.parse().ok()
}
