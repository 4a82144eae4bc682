//! A buffer between a socket and a parser or encoder, for one direction of a connection.
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;

use super::TcpSocket;
use super::system_call::{is_resource_shortage, pause_for_resources, retry_interrupted};
use crate::log::ConnectionEnd;

/// The capacity in bytes that a buffer starts with and may keep while it is empty.
const IDLE_CAPACITY: usize = 1 << 10;

/// The result of one read from a socket.
#[derive(Clone, Copy, Debug)]
pub(super) struct SocketRead {
    /// The number of bytes read; 0 at the end of the stream.
    pub(super) count: usize,
    /// Whether the read emptied the socket.
    pub(super) is_drained: bool,
}

/// Buffers bytes that were read from a socket or are to be written to one.
///
/// Reads from a socket never exceed the limit, and no byte is lost. The limit does not apply to bytes that are appended
/// for sending, which are bounded by the size of their message.
#[derive(Debug)]
pub struct RingBuffer {
    bytes: VecDeque<u8>,
    limit: usize,
}

impl RingBuffer {
    /// Creates an empty buffer, without allocating, that buffers at most `limit` bytes read from a socket.
    pub fn new(limit: usize) -> Self {
        RingBuffer {
            bytes: VecDeque::new(),
            limit,
        }
    }

    /// Whether there are no buffered bytes.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// The number of buffered bytes.
    pub(super) fn len(&self) -> usize {
        self.bytes.len()
    }

    /// Whether the limit for reads is reached.
    pub(super) fn is_full(&self) -> bool {
        self.bytes.len() >= self.limit
    }

    /// Appends bytes that are to be sent.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// Returns the first contiguous part of the buffered bytes, which is empty only if the buffer is.
    pub(super) fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Drops the first `count` bytes.
    pub(super) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
    }

    /// Frees memory that an idle connection does not need.
    pub(super) fn shrink_if_empty(&mut self) {
        if self.bytes.is_empty() && self.bytes.capacity() > IDLE_CAPACITY {
            self.bytes = VecDeque::new();
        }
    }

    /// Reads the available bytes, as far as there is room. The buffer doubles only when it is full, so that connections
    /// with small messages use little memory.
    pub(super) fn read_from(&mut self, mut socket: &TcpStream) -> io::Result<SocketRead> {
        let buffered = self.bytes.len();
        let unused = self
            .bytes
            .capacity()
            .max(IDLE_CAPACITY)
            .min(self.limit)
            .saturating_sub(buffered);
        let room = if unused == 0 {
            buffered.min(self.limit - buffered)
        } else {
            unused
        };
        self.bytes.resize(buffered + room, 0);
        let tail = &mut self.bytes.make_contiguous()[buffered..];
        let result = retry_interrupted(|| socket.read(tail));
        let count = *result.as_ref().unwrap_or(&0);
        self.bytes.truncate(buffered + count);
        result.map(|count| SocketRead {
            count,
            is_drained: count < room,
        })
    }

    /// Drops all buffered bytes.
    pub(crate) fn clear(&mut self) {
        self.bytes.clear();
        self.shrink_if_empty();
    }

    /// Writes as much as the socket takes, and returns the number of bytes; `None` if `may_write` forbids it.
    fn write_to(
        &mut self,
        mut socket: &TcpStream,
        may_write: &mut impl FnMut() -> bool,
    ) -> io::Result<Option<usize>> {
        let front = self.front();
        let written = retry_interrupted(|| {
            if may_write() {
                socket.write(front).map(Some)
            } else {
                Ok(None)
            }
        })?;
        self.consume(written.unwrap_or(0));
        Ok(written)
    }

    /// Writes all buffered bytes.
    ///
    /// # Errors
    ///
    /// Returns the code of the socket's error, or [`ConnectionEnd::Reset`] if a write takes no bytes.
    pub async fn flush(&mut self, stream: &TcpSocket) -> Result<(), ConnectionEnd> {
        self.flush_while(stream, || true).await.map(|_| ())
    }

    /// Writes all buffered bytes for as long as `may_write` allows, which is asked directly before each system call.
    /// Returns whether all were written.
    ///
    /// # Errors
    ///
    /// Returns the code of the socket's error, or [`ConnectionEnd::Reset`] if a write takes no bytes.
    pub async fn flush_while(
        &mut self,
        stream: &TcpSocket,
        mut may_write: impl FnMut() -> bool,
    ) -> Result<bool, ConnectionEnd> {
        while !self.bytes.is_empty() {
            let written = stream.write_with(|socket| self.write_to(socket, &mut may_write));
            match written.await {
                Ok(None) => return Ok(false),
                Ok(Some(0)) => return Err(ConnectionEnd::Reset),
                Ok(Some(_)) => {}
                Err(error) if is_resource_shortage(&error) => pause_for_resources().await,
                Err(error) => return Err(error.into()),
            }
        }
        self.shrink_if_empty();
        Ok(true)
    }
}
