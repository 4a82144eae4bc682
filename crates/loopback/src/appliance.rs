//! Stand-ins for appliances: a few listeners that all listed appliances share. Each answers a request after a fixed
//! time, and a probe at once.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::{Instant, sleep};

use crate::error::LoopbackError;
use crate::served::ServedLog;

/// The reply to a command that does nothing.
const SELECTED: &[u8] = b"+OK\r\n";
/// The answer to a probe.
const LOAD: &[u8] = b"$10\r\nlat_ms=2.0\r\n";
/// Which word of a request is its id.
const ID_WORD: usize = 2;
/// The most words of a command, and the longest word.
const WORD_COUNT_LIMIT: usize = 16;
const WORD_LENGTH_LIMIT: usize = 64 << 10;

/// A listener that stands for one listed appliance or more.
#[derive(Debug)]
pub struct Appliance {
    address: SocketAddr,
    requests: Arc<AtomicU64>,
}

impl Appliance {
    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// How many requests it has received, without probes.
    pub fn requests(&self) -> u64 {
        self.requests.load(Ordering::Relaxed)
    }
}

/// Starts `count` listeners at this host; each answers after `service_time` and records the request in `log`.
///
/// # Errors
/// [`LoopbackError::Setup`] if a listener cannot be bound.
pub async fn start(
    host: Ipv4Addr,
    count: usize,
    service_time: Duration,
    log: &Arc<ServedLog>,
) -> Result<Vec<Appliance>, LoopbackError> {
    let mut appliances = Vec::with_capacity(count);
    for number in 0..count {
        let listener = TcpListener::bind((host, 0))
            .await
            .map_err(LoopbackError::setup("an appliance"))?;
        let address = listener
            .local_addr()
            .map_err(LoopbackError::setup("an appliance"))?;
        let requests = Arc::<AtomicU64>::default();
        let service = Service {
            number,
            service_time,
            requests: requests.clone(),
            log: log.clone(),
        };
        tokio::spawn(accept(listener, service));
        appliances.push(Appliance { address, requests });
    }
    Ok(appliances)
}

/// How one listener serves.
#[derive(Clone)]
struct Service {
    number: usize,
    service_time: Duration,
    requests: Arc<AtomicU64>,
    log: Arc<ServedLog>,
}

impl Service {
    /// Waits for the service time and records the request.
    async fn serve(&self, command: &[Vec<u8>]) {
        let began = Instant::now();
        self.requests.fetch_add(1, Ordering::Relaxed);
        if !self.service_time.is_zero() {
            sleep(self.service_time).await;
        }
        let id = command
            .get(ID_WORD)
            .and_then(|word| std::str::from_utf8(word).ok());
        if let Some(id) = id.and_then(|id| id.parse().ok()) {
            self.log.note(id, self.number, began.elapsed());
        }
    }
}

async fn accept(listener: TcpListener, service: Service) {
    loop {
        // A lack of descriptors is temporary: retry instead of ending the listener.
        match listener.accept().await {
            Ok((stream, _)) => drop(tokio::spawn(serve(stream, service.clone()))),
            Err(_) => sleep(Duration::from_millis(10)).await,
        }
    }
}

async fn serve(stream: TcpStream, service: Service) {
    let mut stream = BufReader::new(stream);
    while let Some(command) = read_command(&mut stream).await {
        let answer = match command.first().map(Vec::as_slice) {
            Some(b"INFO") => LOAD.to_vec(),
            Some(b"SELECT") => SELECTED.to_vec(),
            _ => {
                service.serve(&command).await;
                success(&command)
            }
        };
        if stream.write_all(&answer).await.is_err() {
            return;
        }
    }
}

/// The answer to a request: its id as the value, no further keys, no load report.
fn success(command: &[Vec<u8>]) -> Vec<u8> {
    let value = command.get(ID_WORD).map_or(&[][..], Vec::as_slice);
    let mut answer = format!("*3\r\n${}\r\n", value.len()).into_bytes();
    answer.extend_from_slice(value);
    answer.extend_from_slice(b"\r\n$-1\r\n$-1\r\n");
    answer
}

/// Reads one command: an array of bulk strings. `None` at the end of the stream, or if it is not a command.
async fn read_command(stream: &mut BufReader<TcpStream>) -> Option<Vec<Vec<u8>>> {
    let count = read_length(stream, '*', WORD_COUNT_LIMIT).await?;
    let mut words = Vec::with_capacity(count);
    for _ in 0..count {
        let length = read_length(stream, '$', WORD_LENGTH_LIMIT).await?;
        let mut word = vec![0; length + 2];
        stream.read_exact(&mut word).await.ok()?;
        word.truncate(length);
        words.push(word);
    }
    Some(words)
}

async fn read_length(stream: &mut BufReader<TcpStream>, kind: char, limit: usize) -> Option<usize> {
    let mut line = String::new();
    stream.read_line(&mut line).await.ok()?;
    let length = line.trim_end().strip_prefix(kind)?.parse().ok()?;
    (length <= limit).then_some(length)
}
