//! The buffer between a socket and a codec, for one direction of one connection.
use std::collections::VecDeque;
use std::io::{self, Read, Write};
use std::net::TcpStream;

use super::TcpSocket;
use super::system_call::{is_resource_shortage, pause_for_resources, retry_interrupted};
use crate::log::ConnectionEnd;

/// The capacity in bytes that a buffer starts with, and that it may keep while it is empty.
const IDLE_CAPACITY: usize = 1 << 10;

/// What one read from a socket brought.
#[derive(Clone, Copy, Debug)]
pub(super) struct SocketRead {
    /// The bytes that were read, 0 at the end of the stream.
    pub(super) count: usize,
    /// Whether the socket had no more than these.
    pub(super) is_drained: bool,
}

/// Bytes on their way from or to a socket.
///
/// Reading from a socket never fills it beyond its limit, and no byte is lost. What is appended for sending has the
/// bounds of its message.
#[derive(Debug)]
pub struct RingBuffer {
    bytes: VecDeque<u8>,
    limit: usize,
}

impl RingBuffer {
    /// An empty buffer, without an allocation, that reads at most `limit` bytes ahead of their consumer.
    pub fn new(limit: usize) -> Self {
        RingBuffer {
            bytes: VecDeque::new(),
            limit,
        }
    }

    /// Whether no byte is buffered.
    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    /// Whether nothing more can be read ahead.
    pub(super) fn is_full(&self) -> bool {
        self.bytes.len() >= self.limit
    }

    /// Appends bytes that are to be sent.
    pub fn append(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// The first contiguous part of what is buffered; not empty unless the buffer is.
    pub(super) fn front(&self) -> &[u8] {
        self.bytes.as_slices().0
    }

    /// Drops the first `count` bytes.
    pub(super) fn consume(&mut self, count: usize) {
        self.bytes.drain(..count);
    }

    /// Returns memory that an idle connection does not need.
    pub(super) fn shrink_if_empty(&mut self) {
        if self.bytes.is_empty() && self.bytes.capacity() > IDLE_CAPACITY {
            self.bytes = VecDeque::new();
        }
    }

    /// Reads what the socket has, as far as there is room. The buffer doubles only once it is full, so that a connection
    /// with small messages stays small.
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

    /// Writes as much as the socket takes; returns how many bytes that were.
    fn write_to(&mut self, mut socket: &TcpStream) -> io::Result<usize> {
        let count = retry_interrupted(|| socket.write(self.front()))?;
        self.consume(count);
        Ok(count)
    }

    /// Writes all that is buffered.
    ///
    /// # Errors
    ///
    /// The code of the socket's error; [`ConnectionEnd::Reset`] if it takes nothing more.
    pub async fn flush(&mut self, stream: &TcpSocket) -> Result<(), ConnectionEnd> {
        while !self.bytes.is_empty() {
            match stream.write_with(|socket| self.write_to(socket)).await {
                Ok(0) => return Err(ConnectionEnd::Reset),
                Ok(_) => {}
                Err(error) if is_resource_shortage(&error) => pause_for_resources().await,
                Err(error) => return Err(error.into()),
            }
        }
        self.shrink_if_empty();
        Ok(())
    }
}
