//! Serves one client connection: a task that reads its commands and writes its replies.
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::{FutureExt, StreamExt, future, pin};

use super::connection_state::ConnectionState;
use super::lingering_close::EVICTED_LINGER;
use super::{COMMAND_TIMEOUT, Clients};
use crate::log::{ConnectionEnd, Count, count, info};
use crate::resp::{self, CommandParser};
use crate::transport::{
    ArrivalTracker, InputReader, RingBuffer, TcpSocket, has_hung_up, items, with_timeout,
};

/// A command that is read this long after its earliest possible arrival counts as read late, because the event loop
/// was held up.
const LATE_READ_THRESHOLD: Duration = Duration::from_millis(100);
/// How often a connection whose input stays unread is asked whether its client has left.
const HANG_UP_POLL_INTERVAL: Duration = Duration::from_millis(25);

impl Clients {
    /// Serves a connection until it is closed.
    pub(super) async fn serve(
        self: Rc<Self>,
        serial: u64,
        stream: TcpSocket,
        arrivals: ArrivalTracker,
    ) {
        stream.get_ref().set_nodelay(true).ok();
        let peer = stream
            .get_ref()
            .peer_addr()
            .map_or_else(|_| "unknown".into(), |address| address.to_string());
        let stream = Rc::new(stream);
        let reader = InputReader::new(CommandParser::default(), resp::MAX_MESSAGE, COMMAND_TIMEOUT)
            .with_arrivals(arrivals)
            .with_partial_item_limit(&self.partial_command_bytes);
        let connection = Rc::new(ConnectionState::new(
            &stream,
            reader.partial_item_since(),
            self.event_loop.clock.now(),
            self.held_bytes.budget.clone(),
        ));
        self.connections
            .borrow_mut()
            .insert(serial, connection.clone());
        let end = self
            .read_commands(stream.clone(), reader, &connection)
            .or(self.write_replies(&stream, &connection))
            .await;
        for request in connection.replies.abandon() {
            self.event_loop.client_left(request);
        }
        if connection.end_reason.get() == Some(end) && connection.replies.has_sent_any() {
            let trailing_input = connection.trailing_input(end);
            self.linger(&stream, end, trailing_input).await;
        }
        drop(stream);
        self.connections.borrow_mut().remove(&serial);
        self.connection_ended.wake();
        count(Count::ClientsDisconnected);
        info!("connection_closed peer=client address={peer} reason={end}");
    }

    /// Writes replies in the order of their commands; returns why the connection ends.
    #[expect(
        clippy::manual_async_fn,
        reason = "an async fn stores its arguments twice in its future, which costs memory for every connection"
    )]
    fn write_replies(
        &self,
        stream: &TcpSocket,
        connection: &ConnectionState,
    ) -> impl Future<Output = ConnectionEnd> {
        async move {
            let mut output = RingBuffer::new(resp::MAX_MESSAGE);
            loop {
                let reply = match connection.next_reply().await {
                    Ok(reply) => reply,
                    Err(reason) => return reason,
                };
                let reservation = reply.append_to(&mut output);
                connection.is_writing.set(true);
                let flush = output.flush(stream);
                if let Err(end) = with_timeout(self.write_timeout(connection), flush).await {
                    return end;
                }
                connection.is_writing.set(false);
                // The bytes count as held until the socket has taken all of them.
                drop(reservation);
                connection.last_activity.set(self.event_loop.clock.now());
                if connection.replies.is_empty() {
                    connection.has_request_slot.set(false);
                }
            }
        }
    }

    /// The time limit for writing a reply: a client that does not read its replies must not hold its connection for
    /// ever, and one that is being evicted must soon free its place.
    fn write_timeout(&self, connection: &ConnectionState) -> Duration {
        if connection.end_reason.get() == Some(ConnectionEnd::Evicted) {
            EVICTED_LINGER
        } else {
            self.longest_deadline
        }
    }

    /// Reads and executes commands, and returns why the connection ends. After the last command it returns only if the
    /// client leaves while one of its requests is in flight; otherwise [`write_replies`](Self::write_replies) ends the
    /// connection after the last reply.
    async fn read_commands(
        &self,
        stream: Rc<TcpSocket>,
        reader: InputReader<CommandParser>,
        connection: &Rc<ConnectionState>,
    ) -> ConnectionEnd {
        let commands = items(stream.clone(), reader);
        pin!(commands);
        let reason = loop {
            let next = commands.next();
            let is_ending = connection.end_reason.get().is_some();
            let next = if connection.has_received_command.get() || is_ending {
                next.await
            } else {
                match with_timeout(COMMAND_TIMEOUT, async { Ok(next.await) }).await {
                    Ok(next) => next,
                    Err(end) => {
                        // A command whose first bytes arrive just now is still read, within its own time limit.
                        connection.end(end);
                        continue;
                    }
                }
            };
            match next {
                Some(Ok(_)) if connection.is_command_refused.get() => break ConnectionEnd::Evicted,
                Some(Ok((arrived, command))) => {
                    // An attempt for a client that has left would be wasted work for the endpoint.
                    if arrived.elapsed() >= LATE_READ_THRESHOLD
                        && self.is_gone_after(arrived, &stream)
                    {
                        return ConnectionEnd::Closed;
                    }
                    let arrived = self.event_loop.clock.time_of(arrived);
                    if let Err(reason) = self.execute_and_reply(arrived, command, connection) {
                        break reason;
                    }
                    // Let other tasks run, even if this client pipelines commands without pause.
                    future::yield_now().await;
                }
                Some(Err(end @ (ConnectionEnd::Malformed | ConnectionEnd::TooLong))) => {
                    count(Count::CommandsRefused);
                    connection.replies.push_line(&format!(
                        "-ERR protocol error: {}",
                        protocol_error_text(end)
                    ));
                    break end;
                }
                // Commands before the incomplete one still get their replies.
                Some(Err(ConnectionEnd::TimedOut)) => {
                    // It may be whole, if the bound on partial commands has kept the agent from reading it.
                    if connection.has_unread_input() {
                        connection.refuse_partial_command();
                    }
                    connection.has_command_timed_out.set(true);
                    break ConnectionEnd::TimedOut;
                }
                Some(Err(end)) => return end,
                None => return ConnectionEnd::Closed,
            }
        };
        let reason = connection.end_reason.get().unwrap_or(reason);
        connection.end(reason);
        self.wait_after_last_command(&stream, connection, reason)
            .await
    }

    /// Waits until the client leaves, after the last command that is read. If one of its requests is in flight then, returns
    /// so that the connection ends at once; otherwise it ends after its last reply.
    async fn wait_after_last_command(
        &self,
        stream: &TcpSocket,
        connection: &ConnectionState,
        reason: ConnectionEnd,
    ) -> ConnectionEnd {
        let trailing_input = connection.trailing_input(reason);
        let mut end = self.wait_for_client_end(stream, trailing_input).await;
        if end == ConnectionEnd::TooManyMessages {
            end = wait_for_hang_up(stream).await;
        }
        if connection.replies.has_unanswered() {
            end
        } else {
            future::pending().await
        }
    }

    /// Counts a command that was read late, and returns whether its client has closed its sending side since.
    fn is_gone_after(&self, arrived: Instant, stream: &TcpSocket) -> bool {
        count(Count::RequestsReadLate);
        let is_gone = has_hung_up(stream.get_ref());
        if is_gone {
            count(Count::RequestsAbandoned);
        }
        info!(
            "request_read_late delay_ms={} client_gone={is_gone}",
            arrived.elapsed().as_millis()
        );
        is_gone
    }

    /// Executes a command. An invalid command gets an error reply.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionEnd::TooManyMessages`] if too many replies are pending afterwards. No further input is read
    /// then.
    fn execute_and_reply(
        &self,
        arrived: Duration,
        command: Vec<Vec<u8>>,
        connection: &Rc<ConnectionState>,
    ) -> Result<(), ConnectionEnd> {
        if let Err(error) = self.execute(arrived, command, connection) {
            count(Count::CommandsRefused);
            connection.replies.push_line(&format!("-ERR {error}"));
        }
        if connection.replies.len() > self.max_pending_replies {
            count(Count::CommandsRefused);
            connection
                .replies
                .push_line("-ERR too many commands at once");
            return Err(ConnectionEnd::TooManyMessages);
        }
        Ok(())
    }
}

/// Waits until the client closes its side, while input before that stays unread.
async fn wait_for_hang_up(stream: &TcpSocket) -> ConnectionEnd {
    while !has_hung_up(stream.get_ref()) {
        Timer::after(HANG_UP_POLL_INTERVAL).await;
    }
    ConnectionEnd::Closed
}

/// Returns the text of the error reply to a malformed command. It is part of the protocol, unlike the codes in log
/// lines.
const fn protocol_error_text(end: ConnectionEnd) -> &'static str {
    match end {
        ConnectionEnd::TooLong => "too-long",
        other => other.code(),
    }
}
