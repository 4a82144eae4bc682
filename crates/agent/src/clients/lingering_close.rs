//! Lingering close: the sending side is shut down first, and the socket closed only once the client has seen that.
//!
//! Closing a socket while bytes stand unread resets the connection, and a reset destroys replies that the client has
//! not read yet.
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use futures_lite::{FutureExt, future};

use super::Clients;
use crate::log::ConnectionEnd;
use crate::transport::{TcpSocket, peek, retry_interrupted, with_timeout};

/// The most bytes to read at a time where they are discarded.
const DISCARD_CHUNK: usize = 4 << 10;

/// How long a connection that was evicted waits for its client's end: time enough for its last reply to arrive.
const EVICTED_LINGER: Duration = Duration::from_millis(50);

/// What becomes of input on a connection that takes no more commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrailingInput {
    /// It is read and dropped: it belongs to something that has had its reply, or cannot be read.
    Discarded,
    /// It is left unread: it is a command whose client sends it again elsewhere.
    Unread,
}

impl Clients {
    /// Shuts the sending side down, and waits for the client's end: no longer than a connection may take to be
    /// established, nor beyond the agent's own shutdown.
    pub(super) async fn linger(
        &self,
        stream: &TcpSocket,
        end: ConnectionEnd,
        trailing_input: TrailingInput,
    ) {
        stream.get_ref().shutdown(Shutdown::Write).ok();
        let shutdown = async {
            self.draining.notified().await;
            self.event_loop
                .clock
                .sleep_until(self.linger_deadline.get())
                .await;
            Err(ConnectionEnd::ShuttingDown)
        };
        let client_end =
            async { Err::<(), _>(self.wait_for_client_end(stream, trailing_input).await) };
        // One that made room for another must not keep its place from it.
        let timeout = if end == ConnectionEnd::Evicted {
            self.connect_timeout.min(EVICTED_LINGER)
        } else {
            self.connect_timeout
        };
        with_timeout(timeout, client_end.or(shutdown)).await.ok();
    }

    /// Waits for the client's end on a connection that takes no more commands; returns
    /// [`ConnectionEnd::TooManyMessages`] if it sends on instead. What is discarded is so up to as many bytes as all
    /// clients together may hold.
    pub(super) async fn wait_for_client_end(
        &self,
        stream: &TcpSocket,
        trailing_input: TrailingInput,
    ) -> ConnectionEnd {
        let discards = trailing_input == TrailingInput::Discarded;
        // On the heap: within the task it would enlarge every connection for as long as that lives.
        let mut bytes = vec![0; if discards { DISCARD_CHUNK } else { 1 }];
        let mut discarded = 0;
        while discarded < self.max_held_bytes {
            let result = if discards {
                let mut read =
                    |mut socket: &TcpStream| retry_interrupted(|| socket.read(&mut bytes));
                stream.read_with(|socket| read(socket)).await
            } else {
                stream.read_with(|socket| peek(socket, &mut bytes)).await
            };
            match result {
                Ok(0) => return ConnectionEnd::Closed,
                Ok(_) if !discards => break,
                Ok(count) => discarded += count,
                Err(error) => return error.into(),
            }
            future::yield_now().await;
        }
        ConnectionEnd::TooManyMessages
    }
}
