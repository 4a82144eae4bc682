//! The incoming side of a connection: bytes from its socket, cut into items by a parser.
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::stream::{self, Stream};
use futures_lite::{FutureExt, pin};

use super::ring_buffer::SocketRead;
use super::system_call::{has_no_input, is_resource_shortage, pause_for_resources};
use super::{ArrivalTracker, RingBuffer, TcpSocket, with_timeout};
use crate::log::ConnectionEnd;

/// An incremental parser. After an error the stream cannot be parsed any further, and its connection has to end.
pub trait Parse {
    /// What the parser makes of the bytes.
    type Item;

    /// Consumes bytes from the front, up to the end of one item at most; returns how many, and the item if it is
    /// complete.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::Malformed`] or [`ConnectionEnd::TooLong`], the same however the bytes were split.
    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Self::Item>), ConnectionEnd>;

    /// Whether no byte of a next item has been consumed yet.
    fn is_between_items(&self) -> bool;
}

/// Reads items from one connection.
#[derive(Debug)]
pub struct InputReader<P> {
    buffer: RingBuffer,
    parser: P,
    /// The time limit for an item from its first byte to its last.
    read_timeout: Duration,
    /// The time limit between two reads within an item, if there is one.
    stall_timeout: Option<Duration>,
    /// Bounds the arrival of the input, where that matters.
    arrivals: Option<ArrivalTracker>,
    /// When the bytes of the last read arrived, at the earliest.
    last_arrival: Instant,
    /// When the first byte of the current item arrived, at the earliest.
    item_arrived: Instant,
    /// Whether bytes were read that have not become an item yet; shared with the owner of the connection.
    has_partial_item: Rc<Cell<bool>>,
}

impl<P: Parse> InputReader<P> {
    /// A reader that buffers at most `limit` bytes, and whose items have to be complete `read_timeout` after their
    /// first byte.
    pub fn new(parser: P, limit: usize, read_timeout: Duration) -> Self {
        let now = Instant::now();
        InputReader {
            buffer: RingBuffer::new(limit),
            parser,
            read_timeout,
            stall_timeout: None,
            arrivals: None,
            last_arrival: now,
            item_arrived: now,
            has_partial_item: Rc::default(),
        }
    }

    /// Adds a limit to the time between two reads within one item; beyond it the reader ends with [`ConnectionEnd::Stalled`].
    #[must_use]
    pub fn with_stall_timeout(self, stall_timeout: Duration) -> Self {
        InputReader {
            stall_timeout: Some(stall_timeout),
            ..self
        }
    }

    /// Takes the time of an item from when it may have arrived; otherwise it is the time of the read.
    #[must_use]
    pub fn with_arrivals(self, arrivals: ArrivalTracker) -> Self {
        InputReader {
            arrivals: Some(arrivals),
            ..self
        }
    }

    /// A flag that says at any time whether bytes were read that have not become an item yet.
    pub fn partial_item_flag(&self) -> Rc<Cell<bool>> {
        self.has_partial_item.clone()
    }

    /// Waits for the next item; returns `None` at the end of the stream. No time limit holds before its first byte.
    ///
    /// # Errors
    ///
    /// [`ConnectionEnd::TimedOut`] or [`ConnectionEnd::Stalled`] for an item that is not completed in time, the parser's
    /// error, or the code of the socket's error.
    pub async fn next(&mut self, stream: &TcpSocket) -> Result<Option<P::Item>, ConnectionEnd> {
        if self.buffer.is_empty() && self.parser.is_between_items() {
            self.readable(stream).await?;
        }
        with_timeout(self.read_timeout, self.read_item(stream)).await
    }

    async fn read_item(&mut self, stream: &TcpSocket) -> Result<Option<P::Item>, ConnectionEnd> {
        loop {
            while !self.buffer.is_empty() {
                if self.parser.is_between_items() {
                    self.item_arrived = self.last_arrival;
                }
                let (consumed, item) = self.parser.take(self.buffer.front())?;
                self.buffer.consume(consumed);
                if let Some(item) = item {
                    self.has_partial_item.set(!self.buffer.is_empty());
                    return Ok(Some(item));
                }
                // It wants more bytes before it takes any.
                if consumed == 0 {
                    break;
                }
            }
            self.buffer.shrink_if_empty();
            if self.read(stream).await?.count == 0 {
                return Ok(None);
            }
            self.has_partial_item.set(true);
        }
    }

    /// Waits until there is input, or the end of the stream.
    async fn readable(&mut self, stream: &TcpSocket) -> Result<(), ConnectionEnd> {
        match &mut self.arrivals {
            Some(arrivals) if arrivals.is_unchecked() && !has_no_input(stream) => return Ok(()),
            Some(arrivals) => arrivals.readable(stream).await,
            None => stream.readable().await,
        }
        .map_err(ConnectionEnd::from)
    }

    /// Reads what comes next, within the stall timeout if an item has begun.
    async fn read(&mut self, stream: &TcpSocket) -> Result<SocketRead, ConnectionEnd> {
        let stall_timeout = self
            .stall_timeout
            .filter(|_| !self.parser.is_between_items());
        let read = self.read_and_track_arrival(stream);
        let Some(stall_timeout) = stall_timeout else {
            return read.await;
        };
        let stalled = async {
            Timer::after(stall_timeout).await;
            Err(ConnectionEnd::Stalled)
        };
        pin!(read);
        read.or(stalled).await
    }

    /// Reads what comes next, and notes when it may have arrived.
    async fn read_and_track_arrival(
        &mut self,
        stream: &TcpSocket,
    ) -> Result<SocketRead, ConnectionEnd> {
        // A read without room would look like the end of the stream.
        if self.buffer.is_full() {
            return Err(ConnectionEnd::TooLong);
        }
        let read = loop {
            match self.buffer.read_from(stream.get_ref()) {
                Err(error) if error.kind() == io::ErrorKind::WouldBlock => {
                    self.arrivals
                        .iter_mut()
                        .for_each(ArrivalTracker::note_empty);
                    self.readable(stream).await?;
                }
                Err(error) if is_resource_shortage(&error) => pause_for_resources().await,
                result => break result.map_err(ConnectionEnd::from)?,
            }
        };
        self.last_arrival = match &mut self.arrivals {
            Some(arrivals) => arrivals.note_read(read.is_drained),
            None => Instant::now(),
        };
        Ok(read)
    }

    /// Whether an idle connection is still open and has brought nothing that nobody asked for. It reads from the
    /// socket without waiting.
    pub fn is_open_and_empty(&mut self, stream: &TcpSocket) -> bool {
        let would_block = |error: &io::Error| error.kind() == io::ErrorKind::WouldBlock;
        self.buffer.is_empty()
            && self.parser.is_between_items()
            && self
                .buffer
                .read_from(stream.get_ref())
                .as_ref()
                .is_err_and(would_block)
    }
}

/// A connection as a stream of items, each with the earliest time at which its first byte may have arrived. It ends
/// after the first error.
pub fn items<P: Parse>(
    stream: Rc<TcpSocket>,
    reader: InputReader<P>,
) -> impl Stream<Item = Result<(Instant, P::Item), ConnectionEnd>> {
    stream::try_unfold((stream, reader), async |(stream, mut reader)| {
        let item = reader.next(&stream).await?;
        Ok(item.map(|item| ((reader.item_arrived, item), (stream, reader))))
    })
}
