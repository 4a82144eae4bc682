//! One client connection: the task that reads its commands and writes its replies.
use std::cell::Cell;
use std::rc::{Rc, Weak};
use std::time::{Duration, Instant};

use futures_lite::{FutureExt, StreamExt, future, pin};

use super::byte_budget::ByteBudget;
use super::lingering_close::TrailingInput;
use super::reply_queue::{ReadyReply, ReplyQueue};
use super::{COMMAND_TIMEOUT, Clients};
use crate::log::{ConnectionEnd, Count, count, info};
use crate::resp::{self, CommandParser};
use crate::transport::{
    ArrivalTracker, InputReader, RingBuffer, TcpSocket, has_no_input, items, peek, with_timeout,
};

/// A command that is read so long after it may have come is one that the agent was held up for.
const LATE_READ_THRESHOLD: Duration = Duration::from_millis(100);

/// What other tasks can see of an open connection.
pub(super) struct ConnectionState {
    pub(super) replies: ReplyQueue,
    stream: Weak<TcpSocket>,
    /// Whether it may have requests in flight; its first request claims that.
    pub(super) has_request_slot: Cell<bool>,
    pub(super) has_received_command: Cell<bool>,
    /// Whether bytes were read that are no whole command yet.
    has_partial_command: Rc<Cell<bool>>,
    /// Why it is closed once it stands between commands.
    pub(super) end_reason: Cell<Option<ConnectionEnd>>,
    /// Whether its last command took too long to come.
    has_command_timed_out: Cell<bool>,
    /// Whether a command that had begun was answered before it was read to its end; nothing more is executed.
    is_partial_command_refused: Cell<bool>,
    /// When a command last arrived or a reply was last written.
    pub(super) last_activity: Cell<Duration>,
}

impl ConnectionState {
    fn new(
        stream: &Rc<TcpSocket>,
        has_partial_command: Rc<Cell<bool>>,
        opened: Duration,
        held_bytes: ByteBudget,
    ) -> Self {
        ConnectionState {
            replies: ReplyQueue::new(held_bytes),
            stream: Rc::downgrade(stream),
            has_request_slot: Cell::default(),
            has_received_command: Cell::default(),
            has_partial_command,
            end_reason: Cell::default(),
            has_command_timed_out: Cell::default(),
            is_partial_command_refused: Cell::default(),
            last_activity: Cell::new(opened),
        }
    }

    /// Has the connection closed as soon as it stands between commands.
    pub(super) fn end(&self, reason: ConnectionEnd) {
        self.end_reason.set(Some(reason));
        self.replies.wake();
    }

    /// Answers a command that has begun, or that is waiting to be read, without waiting for its end: a command that was
    /// read in part must not be left without an answer. Nothing has been done for it, so it is rejected.
    pub(super) fn refuse_partial_command(&self) {
        let is_empty = || {
            self.stream
                .upgrade()
                .is_none_or(|stream| has_no_input(&stream))
        };
        if self.is_partial_command_refused.get() || !self.has_partial_command.get() && is_empty() {
            return;
        }
        count(Count::RequestsRefused);
        self.is_partial_command_refused.set(true);
        self.replies.push_line("-BUSY");
    }

    /// Whether the connection is not about to be closed, and stands between commands.
    pub(super) fn is_idle(&self) -> bool {
        self.end_reason.get().is_none() && self.is_between_commands()
    }

    /// Whether the connection can be closed without losing a command: all replies are written, no command was read in
    /// part, and none is waiting to be read.
    fn is_between_commands(&self) -> bool {
        if !self.replies.is_empty() {
            return false;
        }
        self.is_input_over()
            || !self.has_partial_command.get()
                && self
                    .stream
                    .upgrade()
                    .is_some_and(|stream| has_no_input(&stream))
    }

    /// Whether input no longer counts: what follows a command that cannot be parsed cannot be parsed either, and what
    /// follows one that was refused or came too slowly is the rest of it.
    fn is_input_over(&self) -> bool {
        let is_unreadable = matches!(
            self.end_reason.get(),
            Some(
                ConnectionEnd::Malformed | ConnectionEnd::TooLong | ConnectionEnd::TooManyMessages
            )
        );
        is_unreadable || self.has_command_timed_out.get() || self.is_partial_command_refused.get()
    }

    /// What becomes of input behind the last command that counts.
    fn trailing_input(&self, end: ConnectionEnd) -> TrailingInput {
        match end {
            ConnectionEnd::Malformed | ConnectionEnd::TooLong | ConnectionEnd::TooManyMessages => {
                TrailingInput::Discarded
            }
            _ if self.is_partial_command_refused.get() => TrailingInput::Discarded,
            _ => TrailingInput::Unread,
        }
    }

    /// Waits for the next reply to write.
    ///
    /// # Errors
    ///
    /// The reason to close the connection, once it stands between commands.
    async fn next_reply(&self) -> Result<ReadyReply, ConnectionEnd> {
        loop {
            if let Some(reply) = self.replies.take_ready() {
                return Ok(reply);
            }
            if let Some(reason) = self.end_reason.get().filter(|_| self.is_between_commands()) {
                return Err(reason);
            }
            self.replies.changed().await;
        }
    }
}

impl Clients {
    /// Serves a connection up to its end.
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
            .with_arrivals(arrivals);
        let connection = Rc::new(ConnectionState::new(
            &stream,
            reader.partial_item_flag(),
            self.event_loop.clock.now(),
            self.held_bytes.clone(),
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
        reason = "an async fn keeps its arguments twice, in the task of every connection"
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
                output.append(&reply.bytes);
                // A client that does not read its replies delays nobody else, and is not waited for without end.
                let flush = output.flush(stream);
                if let Err(end) = with_timeout(self.longest_deadline, flush).await {
                    return end;
                }
                // Until then its bytes were held, by the socket's side of this connection.
                drop(reply);
                connection.last_activity.set(self.event_loop.clock.now());
            }
        }
    }

    /// Reads and executes commands; returns why the connection ends, unless that is for the replies to decide.
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
                        // A command that begins just now is still read, in a time of its own.
                        connection.end(end);
                        continue;
                    }
                }
            };
            match next {
                Some(Ok(_)) if connection.is_partial_command_refused.get() => {
                    break ConnectionEnd::Evicted;
                }
                Some(Ok((arrived, command))) => {
                    // An attempt for a client that has gone would run for nobody.
                    if arrived.elapsed() >= LATE_READ_THRESHOLD
                        && self.is_gone_after(arrived, &stream)
                    {
                        return ConnectionEnd::Closed;
                    }
                    let arrived = self.event_loop.clock.time_of(arrived);
                    if let Err(reason) = self.execute_and_reply(arrived, command, connection) {
                        break reason;
                    }
                    // A client that pipelines without end leaves others their turn.
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
                // The commands before one that was never completed get their replies still.
                Some(Err(ConnectionEnd::TimedOut)) => {
                    connection.has_command_timed_out.set(true);
                    break ConnectionEnd::TimedOut;
                }
                Some(Err(end)) => return end,
                None => return ConnectionEnd::Closed,
            }
        };
        // No more commands are taken. A client that leaves while one of its requests is in flight ends the connection;
        // else it ends with its last reply.
        let reason = connection.end_reason.get().unwrap_or(reason);
        connection.end(reason);
        let trailing_input = connection.trailing_input(reason);
        let end = self.wait_for_client_end(&stream, trailing_input).await;
        if end != ConnectionEnd::TooManyMessages && connection.replies.has_unanswered() {
            end
        } else {
            future::pending().await
        }
    }

    /// Counts a command that was read late, and returns whether its client has closed its side since.
    fn is_gone_after(&self, arrived: Instant, stream: &TcpSocket) -> bool {
        count(Count::RequestsReadLate);
        let is_gone = matches!(peek(stream.get_ref(), &mut [0]), Ok(0));
        if is_gone {
            count(Count::RequestsAbandoned);
        }
        info!(
            "request_read_late delay_ms={} client_gone={is_gone}",
            arrived.elapsed().as_millis()
        );
        is_gone
    }

    /// Executes a command. An invalid one gets its error as reply.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::TooManyMessages`] if too many replies are pending then; what follows is not read.
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

/// The text of the error reply to a command that cannot be read. Part of the protocol, unlike the codes in log lines.
const fn protocol_error_text(end: ConnectionEnd) -> &'static str {
    match end {
        ConnectionEnd::TooLong => "too-long",
        other => other.code(),
    }
}
