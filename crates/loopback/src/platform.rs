//! A stand-in for the release platform: JSON-RPC lines. Listeners receive the release update of the newest build and a
//! ping every second; a vote changes nothing and is answered with the unchanged state.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use lilacgate_test_bed::protocol_messages::{
    LISTEN_ACCEPTED, RELEASE_HEARTBEAT, rollout_notification,
};
use serde_json::Value;
use tokio::io::{AsyncBufReadExt, AsyncWriteExt, BufReader};
use tokio::net::tcp::OwnedWriteHalf;
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use crate::error::LoopbackError;
use crate::traffic::Traffic;

/// The period of the pings to a listener.
const PING_PERIOD: Duration = Duration::from_secs(1);

/// A running platform.
#[derive(Debug)]
pub struct Platform {
    address: SocketAddr,
    traffic: Arc<Traffic>,
}

impl Platform {
    /// Listens at this host; `release_update` is the state of the newest build, as a JSON object.
    ///
    /// # Errors
    /// [`LoopbackError::Setup`] if the listener cannot be bound.
    pub async fn start(host: Ipv4Addr, release_update: Value) -> Result<Self, LoopbackError> {
        let listener = TcpListener::bind((host, 0))
            .await
            .map_err(LoopbackError::setup("platform"))?;
        let address = listener
            .local_addr()
            .map_err(LoopbackError::setup("platform"))?;
        let traffic = Arc::new(Traffic::default());
        tokio::spawn(accept(listener, release_update, traffic.clone()));
        Ok(Platform { address, traffic })
    }

    /// The address that it listens on.
    pub fn address(&self) -> SocketAddr {
        self.address
    }

    /// Release updates, pings and answers sent; calls received.
    pub fn traffic(&self) -> &Traffic {
        &self.traffic
    }
}

async fn accept(listener: TcpListener, release_update: Value, traffic: Arc<Traffic>) {
    while let Ok((stream, _)) = listener.accept().await {
        tokio::spawn(serve(stream, release_update.clone(), traffic.clone()));
    }
}

async fn serve(stream: TcpStream, release_update: Value, traffic: Arc<Traffic>) {
    stream.set_nodelay(true).ok();
    let (reader, mut writer) = stream.into_split();
    let mut lines = BufReader::new(reader).lines();
    while let Ok(Some(line)) = lines.next_line().await {
        traffic.received(line.len() + 1);
        let Ok(call) = serde_json::from_str::<Value>(&line) else {
            return;
        };
        if call["method"] == "listen" {
            tokio::select! {
                _ = notify(&mut writer, &release_update, &traffic) => {}
                _ = lines.next_line() => {}
            }
            return;
        }
        let answer =
            serde_json::json!({"jsonrpc": "2.0", "id": call["id"], "result": release_update});
        if send(&mut writer, format!("{answer}\n").as_bytes(), &traffic)
            .await
            .is_err()
        {
            return;
        }
    }
}

/// Sends a listener the release update, then pings until the connection ends.
async fn notify(
    writer: &mut OwnedWriteHalf,
    release_update: &Value,
    traffic: &Traffic,
) -> std::io::Result<()> {
    send(writer, LISTEN_ACCEPTED, traffic).await?;
    send(
        writer,
        rollout_notification(&release_update.to_string()).as_bytes(),
        traffic,
    )
    .await?;
    loop {
        sleep(PING_PERIOD).await;
        send(writer, RELEASE_HEARTBEAT, traffic).await?;
    }
}

async fn send(writer: &mut OwnedWriteHalf, bytes: &[u8], traffic: &Traffic) -> std::io::Result<()> {
    writer.write_all(bytes).await?;
    traffic.sent(bytes.len());
    Ok(())
}
