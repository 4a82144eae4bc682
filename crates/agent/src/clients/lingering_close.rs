//! Lingering close: shuts down the sending side first, and closes the socket only when the client has closed its side.
//!
//! Closing a socket with unread input resets the connection, and a reset discards replies that the client has not read
//! yet.
use std::io::Read;
use std::net::{Shutdown, TcpStream};
use std::time::Duration;

use futures_lite::{FutureExt, future};

use super::Clients;
use crate::log::ConnectionEnd;
use crate::transport::{TcpSocket, peek, retry_interrupted, with_timeout};

/// How many bytes of discarded input are read at a time.
const DISCARD_CHUNK: usize = 4 << 10;

/// How long an evicted connection, or any connection while places are scarce, waits for its client to close: enough time
/// for the last reply to arrive.
pub(super) const EVICTED_LINGER: Duration = Duration::from_millis(50);

/// What is done with input on a connection that accepts no more commands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(super) enum TrailingInput {
    /// It is read and discarded, because it belongs to a command that has had its reply or cannot be parsed.
    Discarded,
    /// It is left unread, so that its client may send it again on another connection.
    Unread,
}

impl Clients {
    /// Shuts down the sending side, and waits for the client to close its side: at most for the connect timeout, and
    /// not beyond the agent's own shutdown.
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
        // The place must soon be free for the connection that it is needed for.
        let timeout = if end == ConnectionEnd::Evicted || self.is_crowded() {
            self.connect_timeout.min(EVICTED_LINGER)
        } else {
            self.connect_timeout
        };
        with_timeout(timeout, client_end.or(shutdown)).await.ok();
    }

    /// Waits for the client to close its side of a connection that accepts no more commands. Returns
    /// [`ConnectionEnd::TooManyMessages`] if the client sends on instead: at the first byte if input is left unread,
    /// else once as many bytes have been discarded as all clients together may hold.
    pub(super) async fn wait_for_client_end(
        &self,
        stream: &TcpSocket,
        trailing_input: TrailingInput,
    ) -> ConnectionEnd {
        let discards = trailing_input == TrailingInput::Discarded;
        // On the heap, because an array in the future would enlarge the task of every connection.
        let mut bytes = vec![0; if discards { DISCARD_CHUNK } else { 1 }];
        let mut discarded = 0;
        while discarded < self.held_bytes.max_bytes {
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
