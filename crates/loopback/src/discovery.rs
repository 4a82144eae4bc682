//! A stand-in for discovery: one HTTP server that answers each watcher with a chunked body, one JSON object a line, and
//! an empty line every two seconds while nothing changes.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use tokio::io::{AsyncBufReadExt, AsyncReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::sync::watch;
use tokio::time::timeout;

use crate::error::LoopbackError;
use crate::membership::{Membership, Update, Version};
use crate::plan::Delivery;
use crate::traffic::Traffic;

/// The longest time between two lines to a watcher; an empty line is sent if there is no change.
const QUIET_PERIOD: Duration = Duration::from_secs(2);
/// The head of each answer.
const HEAD: &[u8] = b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The longest request head.
const HEAD_LIMIT: u64 = 8 << 10;

/// A running discovery server.
#[derive(Debug)]
pub struct Discovery {
    address: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    membership: Mutex<Membership>,
    versions: watch::Sender<Version>,
    /// Traffic of whole lists.
    lists: Traffic,
    /// Traffic of changes.
    changes: Traffic,
    /// Traffic of heads and empty lines, and of the requests received.
    framing: Traffic,
    delivery: Delivery,
    /// Whether the first whole list is still to be cut short.
    is_cut_due: AtomicBool,
}

impl Shared {
    fn membership(&self) -> MutexGuard<'_, Membership> {
        self.membership
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }
}

impl Discovery {
    /// Listens at this host and serves the list with this delivery.
    ///
    /// # Errors
    /// [`LoopbackError::Setup`] if the listener cannot be bound.
    pub async fn start(
        host: Ipv4Addr,
        membership: Membership,
        delivery: Delivery,
    ) -> Result<Self, LoopbackError> {
        let listener = TcpListener::bind((host, 0))
            .await
            .map_err(LoopbackError::setup("discovery"))?;
        let address = listener
            .local_addr()
            .map_err(LoopbackError::setup("discovery"))?;
        let (versions, _) = watch::channel(membership.version());
        let shared = Arc::new(Shared {
            membership: Mutex::new(membership),
            versions,
            lists: Traffic::default(),
            changes: Traffic::default(),
            framing: Traffic::default(),
            delivery,
            is_cut_due: AtomicBool::new(delivery.first_list_cut_at.is_some()),
        });
        tokio::spawn(accept(listener, shared.clone()));
        Ok(Discovery { address, shared })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Changes the list, and notifies all watchers.
    pub fn change(&self, change: impl FnOnce(&mut Membership)) {
        let mut membership = self.shared.membership();
        change(&mut membership);
        self.shared.versions.send_replace(membership.version());
    }

    /// The whole list as a start file has it.
    pub fn whole_list(&self) -> String {
        self.shared.membership().whole()
    }

    /// Whole lists: messages and bytes sent, chunk framing included.
    pub fn lists(&self) -> &Traffic {
        &self.shared.lists
    }

    /// Changes: messages and bytes sent, chunk framing included.
    pub fn changes(&self) -> &Traffic {
        &self.shared.changes
    }

    /// Heads and empty lines sent; requests received.
    pub fn framing(&self) -> &Traffic {
        &self.shared.framing
    }
}

async fn accept(listener: TcpListener, shared: Arc<Shared>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, shared.clone()));
    }
}

/// Serves one watcher until it closes its connection.
async fn serve(stream: TcpStream, shared: Arc<Shared>) {
    stream.set_nodelay(true).ok();
    let (reader, mut writer) = stream.into_split();
    let mut reader = BufReader::new(reader);
    let Some(request) = read_request(&mut reader, &shared.framing).await else {
        return;
    };
    let versions = shared.versions.subscribe();
    tokio::select! {
        _ = watch_changes(&mut writer, request, versions, &shared) => {}
        _ = until_closed(&mut reader) => {}
    }
}

/// The parameters of a watcher's request.
#[derive(Clone, Copy)]
struct Request {
    follows: bool,
    since: Version,
}

async fn read_request(reader: &mut BufReader<OwnedReadHalf>, framing: &Traffic) -> Option<Request> {
    let mut head = String::new();
    let mut limited = reader.take(HEAD_LIMIT);
    while !head.ends_with("\r\n\r\n") {
        if limited.read_line(&mut head).await.ok()? == 0 {
            return None;
        }
    }
    framing.received(head.len());
    let path = head.split(' ').nth(1)?;
    let query = path.split_once('?').map_or("", |(_, query)| query);
    let value = |name: &str| {
        query
            .split('&')
            .find_map(|pair| pair.strip_prefix(name)?.strip_prefix('='))
    };
    let since = value("since")
        .and_then(|since| since.parse().ok())
        .unwrap_or_default();
    Some(Request {
        follows: value("follow") == Some("1"),
        since: Version(since),
    })
}

/// Waits until the watcher has closed its side of the connection.
async fn until_closed(reader: &mut BufReader<OwnedReadHalf>) {
    let mut ignored = [0; 64];
    while reader.read(&mut ignored).await.is_ok_and(|count| count > 0) {}
}

async fn watch_changes(
    writer: &mut OwnedWriteHalf,
    request: Request,
    mut versions: watch::Receiver<Version>,
    shared: &Shared,
) -> std::io::Result<()> {
    writer.write_all(HEAD).await?;
    shared.framing.sent(HEAD.len());
    let mut known = request.since;
    loop {
        versions.borrow_and_update();
        let update = shared.membership().since(known);
        match update {
            Update::None => send(writer, "", &shared.framing, shared.delivery).await?,
            Update::Changes(version, text) => {
                send(writer, &text, &shared.changes, shared.delivery).await?;
                known = version;
            }
            Update::Whole(version, text) => {
                send_list(writer, &text, shared).await?;
                known = version;
            }
        }
        if !request.follows {
            return writer.write_all(b"0\r\n\r\n").await;
        }
        let next = timeout(QUIET_PERIOD, versions.changed()).await;
        if matches!(next, Ok(Err(_))) {
            return Ok(());
        }
    }
}

/// Sends a whole list. If the plan cuts the first one short, an error ends its connection.
async fn send_list(
    writer: &mut OwnedWriteHalf,
    text: &str,
    shared: &Shared,
) -> std::io::Result<()> {
    if shared.is_cut_due.swap(false, Ordering::Relaxed) {
        let chunk = chunk(text);
        let length = shared
            .delivery
            .first_list_cut_at
            .unwrap_or_default()
            .min(chunk.len());
        writer.write_all(&chunk.as_bytes()[..length]).await?;
        return Err(std::io::ErrorKind::ConnectionAborted.into());
    }
    send(writer, text, &shared.lists, shared.delivery).await?;
    if shared.delivery.is_doubled {
        send(writer, text, &shared.lists, shared.delivery).await?;
    }
    Ok(())
}

/// One line as one chunk of a chunked body.
fn chunk(line: &str) -> String {
    format!("{:x}\r\n{line}\n\r\n", line.len() + 1)
}

/// Sends one line as one chunk, and counts it once it is written.
async fn send(
    writer: &mut OwnedWriteHalf,
    text: &str,
    traffic: &Traffic,
    delivery: Delivery,
) -> std::io::Result<()> {
    let chunk = chunk(text);
    for part in chunk
        .as_bytes()
        .chunks(delivery.piece.unwrap_or(usize::MAX))
    {
        writer.write_all(part).await?;
    }
    traffic.sent(chunk.len());
    Ok(())
}
