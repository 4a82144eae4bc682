//! Clients of one agent: a few connections that send requests at a steady rate, and time the answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_test_bed::framing::encode_command;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::TcpStream;
use tokio::sync::mpsc::UnboundedSender;
use tokio::task::JoinSet;
use tokio::time::{Instant, MissedTickBehavior, interval_at, sleep, timeout};

use crate::agent::Agent;
use crate::request::{RequestId, RequestIds};
use crate::served::ServedLog;
use crate::start_file::SECOND_SAFE_ROUTE;

/// Connections that a client holds to its agent.
const CONNECTIONS: usize = 4;
/// How long a client waits for an answer, as its requests say.
const DEADLINE: Duration = Duration::from_secs(1);
/// How long a client waits beyond that before it counts the answer as lost.
const GRACE: Duration = Duration::from_millis(300);
/// The retry period of a client that waits for readiness.
const RETRY_PERIOD: Duration = Duration::from_millis(10);

/// How a request ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Outcome {
    /// It has an appliance's answer.
    Served,
    /// The agent refused it or reported a failure.
    Refused,
    /// No complete answer arrived in time.
    Lost,
    /// The connection ended before a complete answer: it was broken, or the agent closed it as idle at the same time.
    Closed,
}

/// A completed request.
#[derive(Clone, Copy, Debug)]
pub struct Answered {
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took at the client.
    pub took: Duration,
    /// How much of that the appliance had it.
    pub at_appliance: Duration,
}

/// The kinds of request that the start file's profiles name.
#[derive(Clone, Copy)]
enum Kind {
    Read,
    Scan,
    Post,
    Book,
}

impl Kind {
    /// Of twenty requests, twelve are safe (over two routes), five carry an idempotency key, and three are unsafe.
    fn draw(random: &mut Pcg64Mcg) -> Self {
        match random.random_range(0..20) {
            0..6 => Kind::Read,
            6..12 => Kind::Scan,
            12..17 => Kind::Post,
            _ => Kind::Book,
        }
    }

    fn request(self, id: RequestId) -> String {
        let deadline = DEADLINE.as_millis();
        let (key, id) = (format!("k{id}"), id.to_string());
        let (verb, pairs) = match self {
            Kind::Read => ("SVC.QUERY", format!("c=read,d={deadline}")),
            Kind::Scan => ("SVC.QUERY", format!("c={SECOND_SAFE_ROUTE},d={deadline}")),
            Kind::Post => ("SVC.SUBMIT", format!("c=post,d={deadline},k={key}")),
            Kind::Book => ("SVC.SUBMIT", format!("c=book,d={deadline}")),
        };
        encode_command(&[verb, &key, &id, &pairs])
    }
}

/// Waits until the agent has served one request.
pub async fn until_served(agent: SocketAddr, number: usize, ids: RequestIds) -> Instant {
    loop {
        if let Ok(mut connection) = connect(agent).await {
            let id = ids.next(number);
            let answered = send_request(&mut connection, &Kind::Read.request(id)).await;
            if answered.outcome == Outcome::Served {
                return Instant::now();
            }
        }
        sleep(RETRY_PERIOD).await;
    }
}

/// Clients of a fleet: what they need to send requests and to report their outcomes.
#[derive(Clone, Debug)]
pub struct Clients {
    /// The source of request ids.
    pub ids: RequestIds,
    /// The appliances' record of how long they had each request.
    pub served: Arc<ServedLog>,
    /// Receives the outcome of each request.
    pub report: UnboundedSender<Answered>,
}

impl Clients {
    /// Sends `rate` requests per second to an agent, until the set is dropped.
    pub fn drive(&self, tasks: &mut JoinSet<()>, agent: &Agent, rate: f64, seed: u64) {
        if rate <= 0.0 {
            return;
        }
        let period = Duration::from_secs_f64(CONNECTIONS as f64 / rate);
        for connection in 0..CONNECTIONS as u64 {
            let driver = Driver {
                agent: agent.number(),
                address: agent.listen(),
                period,
                random: Pcg64Mcg::seed_from_u64(seed.wrapping_mul(31).wrapping_add(connection)),
                clients: self.clone(),
            };
            tasks.spawn(driver.run());
        }
    }
}

/// One connection that sends requests at a steady pace, one at a time.
struct Driver {
    agent: usize,
    address: SocketAddr,
    period: Duration,
    random: Pcg64Mcg,
    clients: Clients,
}

impl Driver {
    async fn run(mut self) {
        let offset = self.period.mul_f64(self.random.random::<f64>());
        let mut ticks = interval_at(Instant::now() + offset, self.period);
        ticks.set_missed_tick_behavior(MissedTickBehavior::Burst);
        let mut connection = None;
        loop {
            ticks.tick().await;
            let mut open = match connection.take() {
                Some(open) => open,
                None => match connect(self.address).await {
                    Ok(open) => open,
                    Err(_) => continue,
                },
            };
            let id = self.clients.ids.next(self.agent);
            let request = Kind::draw(&mut self.random).request(id);
            let mut answered = send_request(&mut open, &request).await;
            answered.at_appliance = self.clients.served.take_time(id).unwrap_or_default();
            if matches!(answered.outcome, Outcome::Served | Outcome::Refused) {
                connection = Some(open);
            }
            if self.clients.report.send(answered).is_err() {
                return;
            }
        }
    }
}

async fn connect(agent: SocketAddr) -> std::io::Result<BufReader<TcpStream>> {
    let stream = TcpStream::connect(agent).await?;
    stream.set_nodelay(true)?;
    Ok(BufReader::new(stream))
}

async fn send_request(connection: &mut BufReader<TcpStream>, request: &str) -> Answered {
    let began = Instant::now();
    let exchange = async {
        connection.write_all(request.as_bytes()).await?;
        read_answer(connection).await
    };
    let outcome = match timeout(DEADLINE + GRACE, exchange).await {
        Ok(Ok(outcome)) => outcome,
        Ok(Err(_)) => Outcome::Closed,
        Err(_) => Outcome::Lost,
    };
    Answered {
        outcome,
        took: began.elapsed(),
        at_appliance: Duration::ZERO,
    }
}

/// Reads one answer: a bulk string, or one line.
async fn read_answer(connection: &mut BufReader<TcpStream>) -> std::io::Result<Outcome> {
    let mut line = String::new();
    if connection.read_line(&mut line).await? == 0 {
        return Err(std::io::ErrorKind::UnexpectedEof.into());
    }
    let Some(length) = line
        .strip_prefix('$')
        .and_then(|length| length.trim_end().parse::<usize>().ok())
    else {
        return Ok(Outcome::Refused);
    };
    let mut value = vec![0; length + 2];
    connection.read_exact(&mut value).await?;
    Ok(Outcome::Served)
}
