//! A connection to an endpoint, which carries one exchange at a time.
use std::cell::Cell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{Build, Outcome, WriteStep};
use socket2::SockRef;

use super::recent_answers::RecentAnswers;
use super::reply::{is_error_answer, is_rejection};
use super::request_write::RequestWrite;
use crate::log::{ConnectionEnd, Count, count, info};
use crate::resp::{self, Resp};
use crate::transport::{
    ByteLimit, InputReader, RingBuffer, SocketAddresses, TcpSocket, close_abortively,
    close_gracefully,
};

/// A command that endpoints answer at once, after the requests before it, and that has no effect.
const FENCE_COMMAND: [&[u8]; 2] = [b"SELECT", b"0"];

/// Identifies the process that an endpoint runs. A connection belongs to one process: the same endpoint with another
/// build, start time or address is another process, which knows nothing of earlier requests.
#[derive(Clone, Copy, Debug, PartialEq)]
pub(super) struct EndpointProcess {
    pub(super) address: SocketAddr,
    pub(super) build: Build,
    pub(super) started: Option<Duration>,
}

/// Counts a connection, from before it is opened until the guard is dropped.
#[derive(Debug)]
pub(super) struct OpenConnectionGuard(Rc<Cell<usize>>);

impl OpenConnectionGuard {
    pub(super) fn new(open_connections: &Rc<Cell<usize>>) -> Self {
        open_connections.set(open_connections.get() + 1);
        OpenConnectionGuard(open_connections.clone())
    }
}

impl Drop for OpenConnectionGuard {
    fn drop(&mut self) {
        self.0.set(self.0.get() - 1);
    }
}

/// A connection to an endpoint's process. Dropping it closes the connection and logs the reason.
///
/// During an exchange it closes abortively: what the kernel has not delivered of a command is discarded, so that an
/// attempt that was given up cannot run when the endpoint takes bytes again. That holds for the end of the process, too.
#[derive(Debug)]
pub(super) struct Connection {
    stream: TcpSocket,
    input: InputReader<resp::ValueParser>,
    output: RingBuffer,
    pub(super) process: EndpointProcess,
    /// When the last exchange ended; before the first exchange, when the connection was opened.
    pub(super) last_used: Duration,
    recent_answers: RecentAnswers,
    /// Whether a request has been sent, so that surplus answers may come.
    has_carried_request: bool,
    /// Whether a health check has been sent, so that surplus load reports may come.
    has_carried_health_check: bool,
    /// Whether surplus answers have come, so that the connection carries no further exchange.
    pub(super) has_surplus_answers: bool,
    /// Whether an exchange has begun whose reply has not been read: the socket may hold a part of its command.
    is_in_exchange: bool,
    /// The reason that is logged when the connection is dropped.
    pub(super) close_reason: ConnectionEnd,
    _open: OpenConnectionGuard,
}

impl Drop for Connection {
    fn drop(&mut self) {
        if !self.is_in_exchange {
            close_gracefully(&self.stream);
        }
        count(Count::ConnectionsClosed);
        info!(
            "connection_closed peer=endpoint address={} reason={}",
            self.process.address, self.close_reason
        );
    }
}

impl Connection {
    /// Wraps a newly opened connection. A reply has to be complete within `read_timeout` of its first byte.
    pub(super) fn new(
        stream: TcpSocket,
        process: EndpointProcess,
        opened: Duration,
        read_timeout: Duration,
        reply_bytes: &ByteLimit,
        open: OpenConnectionGuard,
    ) -> Self {
        count(Count::ConnectionsOpened);
        close_abortively(&stream);
        let parser = resp::ValueParser::with_whole_allocations();
        Connection {
            stream,
            input: InputReader::new(parser, resp::MAX_MESSAGE, read_timeout)
                .with_whole_item_limit(reply_bytes, resp::MAX_MESSAGE),
            output: RingBuffer::new(resp::MAX_MESSAGE),
            process,
            last_used: opened,
            recent_answers: RecentAnswers::default(),
            has_carried_request: false,
            has_carried_health_check: false,
            has_surplus_answers: false,
            is_in_exchange: false,
            close_reason: ConnectionEnd::Cancelled,
            _open: open,
        }
    }

    /// Returns whether an idle connection can carry another exchange; if not, sets the reason to close it.
    pub(super) fn is_usable(&mut self, now: Duration, idle_timeout: Duration) -> bool {
        if now > self.last_used + idle_timeout {
            self.close_reason = ConnectionEnd::Idle;
        } else if !self.input.is_open_and_empty(&self.stream) {
            self.close_reason = ConnectionEnd::Stale;
        } else {
            return true;
        }
        false
    }

    /// Returns the addresses by which the kernel identifies this connection; `None` if it is not connected any more.
    pub(super) fn addresses(&self) -> Option<SocketAddresses> {
        SocketAddresses::of(&self.stream).ok()
    }

    /// Makes the connection close abortively, because the socket may still hold a part of a command that has been answered.
    pub(super) fn discard_undelivered(&mut self) {
        self.is_in_exchange = true;
    }

    /// Writes a request, for as long as `write` allows. Returns [`WriteStep::Write`] once the socket has taken the last byte;
    /// before that, the endpoint cannot have run the request. Any other step is to be taken before it may be written; then
    /// nothing has been written, and the connection can still be used.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if the request was not fully written.
    pub(super) async fn write_request(
        &mut self,
        command: Vec<u8>,
        write: &RequestWrite<'_>,
    ) -> Result<WriteStep, Outcome> {
        self.is_in_exchange = true;
        self.output.append(&command);
        // The wait for the reply is long; the command is not needed any more.
        drop(command);
        let flush = self.output.flush_while(&self.stream, || write.may_write());
        match flush.await {
            Ok(true) => Ok(WriteStep::Write),
            Ok(false) => {
                self.output.clear();
                let step = write.step_before();
                // Nothing has been written if another step comes before.
                self.is_in_exchange = step.is_none();
                step.ok_or_else(|| {
                    self.close_reason = ConnectionEnd::TimedOut;
                    Outcome::NotSent
                })
            }
            Err(end) => {
                self.close_reason = end;
                Err(Outcome::ConnectFailed)
            }
        }
    }

    /// Reads the reply to the request that was written last. What belongs to an earlier request is not taken for it.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the attempt if its own reply was not read.
    pub(super) async fn read_request_reply(&mut self) -> Result<Resp, Outcome> {
        let mut reply = self.next_reply().await?;
        if self.has_carried_health_check {
            let is_load_report = |reply: &Resp| matches!(reply, Resp::Bulk(_));
            reply = self.skip_surplus(reply, is_load_report).await?;
        }
        if self.may_be_surplus(&reply) {
            reply = self.own_reply(reply).await?;
        }
        self.has_carried_request = true;
        self.is_in_exchange = false;
        self.recent_answers.record(&reply);
        Ok(reply)
    }

    /// Sends a health check and reads its reply. A late copy of an earlier answer is not taken for it.
    ///
    /// # Errors
    ///
    /// Returns the outcome of the exchange if its own reply was not read.
    pub(super) async fn exchange_health_check(
        &mut self,
        command: Vec<u8>,
    ) -> Result<Resp, Outcome> {
        self.is_in_exchange = true;
        if let Err(end) = self.write(command).await {
            self.close_reason = end;
            return Err(Outcome::ConnectFailed);
        }
        let mut reply = self.next_reply().await?;
        if self.has_carried_request {
            let is_answer = |reply: &Resp| matches!(reply, Resp::Array(_));
            reply = self.skip_surplus(reply, is_answer).await?;
        }
        self.has_carried_health_check = true;
        self.is_in_exchange = false;
        Ok(reply)
    }

    /// Returns the first reply that is not surplus, beginning with `reply`.
    async fn skip_surplus(
        &mut self,
        mut reply: Resp,
        is_surplus: impl Fn(&Resp) -> bool,
    ) -> Result<Resp, Outcome> {
        while is_surplus(&reply) {
            count(Count::SurplusReplies);
            self.has_surplus_answers = true;
            reply = self.next_reply().await?;
        }
        Ok(reply)
    }

    /// Whether a reply may belong to an earlier request: an answer with the value of an earlier one, or a rejection, which
    /// is a promise that the request has not run.
    fn may_be_surplus(&self, reply: &Resp) -> bool {
        self.recent_answers.contains(reply) || self.has_carried_request && is_rejection(reply)
    }

    /// Returns the reply to the last request, given a reply that may as well belong to an earlier one. Replies
    /// come in the order of their commands, so that the request's own one comes before the reply to a further command.
    async fn own_reply(&mut self, mut last_reply: Resp) -> Result<Resp, Outcome> {
        count(Count::RepliesFenced);
        let fence = resp::encode_command(FENCE_COMMAND.into_iter());
        if let Err(end) = self.write(fence).await {
            self.close_reason = end;
            return Err(Outcome::ConnectionLost);
        }
        loop {
            let next = self.next_reply().await?;
            if is_fence_reply(&next) {
                return Ok(last_reply);
            }
            count(Count::SurplusReplies);
            self.has_surplus_answers = true;
            if !self.may_be_surplus(&next) {
                return Ok(next);
            }
            last_reply = next;
        }
    }

    async fn write(&mut self, command: Vec<u8>) -> Result<(), ConnectionEnd> {
        self.output.append(&command);
        self.output.flush(&self.stream).await
    }

    async fn next_reply(&mut self) -> Result<Resp, Outcome> {
        let reply = self.input.next(&self.stream).await;
        self.acknowledge_now();
        self.close_reason = match reply {
            Ok(Some(reply)) => return Ok(reply),
            Ok(None) => ConnectionEnd::Closed,
            Err(end) => end,
        };
        Err(match self.close_reason {
            ConnectionEnd::Malformed | ConnectionEnd::TooLong => Outcome::Malformed,
            _ => Outcome::ConnectionLost,
        })
    }

    /// Acknowledges what has been read at once. By default the kernel delays an acknowledgement, and the endpoint's kernel
    /// holds back further bytes until it gets one (Nagle's algorithm): surplus bytes behind a reply would arrive only with
    /// the next request, and look like the reply to it.
    fn acknowledge_now(&self) {
        let socket = SockRef::from(self.stream.get_ref().as_ref());
        // If it fails, the delay before the connection is used again covers the delayed acknowledgement.
        socket.set_tcp_quickack(true).ok();
    }

    /// Marks the connection as malformed because its reply was valid RESP2, but not a valid reply to the command.
    pub(super) fn reject_reply(&mut self) -> Outcome {
        // It need not be the reply to the command, of which the socket may still hold a part.
        self.discard_undelivered();
        self.close_reason = ConnectionEnd::Malformed;
        Outcome::Malformed
    }
}

/// Whether this is the reply to [`FENCE_COMMAND`] and not to a request. An endpoint that does not know the command replies
/// with an error.
fn is_fence_reply(reply: &Resp) -> bool {
    match reply {
        Resp::Simple(_) => true,
        Resp::Error(line) => !is_error_answer(line),
        _ => false,
    }
}
