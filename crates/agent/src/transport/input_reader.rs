//! Reads the input of a connection and splits it into items by a parser.
use std::cell::Cell;
use std::io;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_io::Timer;
use futures_lite::stream::{self, Stream};
use futures_lite::{FutureExt, pin};

use super::ring_buffer::SocketRead;
use super::system_call::{has_hung_up, has_no_input, is_resource_shortage, pause_for_resources};
use super::{ArrivalTracker, ByteLimit, ByteReservation, RingBuffer, TcpSocket, with_timeout};
use crate::log::ConnectionEnd;

/// An incremental parser. After an error the stream cannot be parsed any further, and its connection has to be closed.
pub trait Parse {
    /// What the parser produces, for example a command or a message.
    type Item;

    /// Consumes bytes from the front, at most up to the end of one item. Returns how many were consumed, and the item
    /// if it is complete.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionEnd::Malformed`] or [`ConnectionEnd::TooLong`]. The error does not depend on how the bytes
    /// are split into calls.
    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Self::Item>), ConnectionEnd>;

    /// Whether no byte of the next item has been consumed yet.
    fn is_between_items(&self) -> bool;

    /// How many bytes of the next item have been consumed, where they are to be counted in a [`ByteBudget`].
    fn consumed_bytes(&self) -> usize {
        0
    }
}

/// The bound on the bytes of items that readers together have read in part.
#[derive(Debug)]
struct PartialItemLimit {
    limit: ByteLimit,
    /// Counts the bytes of this reader.
    reservation: ByteReservation,
    /// How many bytes are reserved for an item before more than its first KiB is read, so that it can be read to its end;
    /// `None` if only the bytes that have been read count.
    item_reservation: Option<usize>,
    /// Whether the current item has got its reservation.
    has_item_reservation: bool,
}

impl PartialItemLimit {
    fn new(limit: &ByteLimit, item_reservation: Option<usize>) -> Self {
        PartialItemLimit {
            limit: limit.clone(),
            reservation: limit.budget.reserve(0),
            item_reservation,
            has_item_reservation: false,
        }
    }

    /// Counts the bytes of an item that have been read so far, or 0 at its end.
    fn count(&mut self, bytes: usize) {
        if bytes == 0 {
            self.has_item_reservation = false;
        }
        if !self.has_item_reservation {
            self.reservation.resize(bytes);
        }
    }

    /// Whether more of the item may be read now.
    fn allows_reading(&mut self) -> bool {
        if self.has_item_reservation || self.reservation.count() < UNLIMITED_BYTES {
            return true;
        }
        if self.limit.is_reached() {
            return false;
        }
        if let Some(bytes) = self.item_reservation {
            self.has_item_reservation = true;
            self.reservation.resize(bytes);
        }
        true
    }
}

/// How much of an item is read without regard to the bound on partial items, in bytes: most items are shorter.
const UNLIMITED_BYTES: usize = 1 << 10;
/// How long to wait before looking again whether partial items hold less than their bound.
const LIMIT_POLL_INTERVAL: Duration = Duration::from_millis(5);

/// Reads items from one connection.
#[derive(Debug)]
pub struct InputReader<P> {
    buffer: RingBuffer,
    parser: P,
    /// The time limit for an item from its first byte to its last.
    read_timeout: Duration,
    /// The time limit between two reads within an item; `None` for no limit.
    stall_timeout: Option<Duration>,
    /// Estimates when the input arrived; `None` to use the time of the read.
    arrivals: Option<ArrivalTracker>,
    /// The earliest time at which the bytes of the last read may have arrived.
    last_arrival: Instant,
    /// The earliest time at which the first byte of the current item may have arrived.
    item_arrived: Instant,
    /// The bound on partial items; `None` for none.
    partial_item_limit: Option<PartialItemLimit>,
    /// Whether input that has not been read is of no use once the other side has closed.
    ends_at_hang_up: bool,
    /// Since when bytes have been read that do not form a whole item yet; shared with the owner of the connection.
    partial_item_since: Rc<Cell<Option<Instant>>>,
}

impl<P: Parse> InputReader<P> {
    /// Creates a reader that buffers at most `limit` bytes. An item has to be complete within `read_timeout` of its
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
            partial_item_limit: None,
            ends_at_hang_up: false,
            partial_item_since: Rc::default(),
        }
    }

    /// Limits the time between two reads within an item. When it is exceeded, the reader fails with
    /// [`ConnectionEnd::Stalled`].
    #[must_use]
    pub fn with_stall_timeout(self, stall_timeout: Duration) -> Self {
        InputReader {
            stall_timeout: Some(stall_timeout),
            ..self
        }
    }

    /// Leaves the input in the socket while `limit` is reached, which counts the partial items of all readers with its
    /// budget, but for the first KiB of an item. If the other side closes meanwhile, that input is dropped.
    #[must_use]
    pub fn with_partial_item_limit(self, limit: &ByteLimit) -> Self {
        InputReader {
            partial_item_limit: Some(PartialItemLimit::new(limit, None)),
            ends_at_hang_up: true,
            ..self
        }
    }

    /// Leaves the input in the socket while `limit` is reached, but for the first KiB of an item. An item of which more is
    /// read counts as `item_bytes` from then to its end, so that it need not wait for others that are incomplete, too.
    #[must_use]
    pub fn with_whole_item_limit(self, limit: &ByteLimit, item_bytes: usize) -> Self {
        InputReader {
            partial_item_limit: Some(PartialItemLimit::new(limit, Some(item_bytes))),
            ..self
        }
    }

    /// Dates items by the earliest time at which they may have arrived, instead of by the time of the read.
    #[must_use]
    pub fn with_arrivals(self, arrivals: ArrivalTracker) -> Self {
        InputReader {
            arrivals: Some(arrivals),
            ..self
        }
    }

    /// Returns a shared cell that holds since when bytes have been read that do not form a whole item yet; `None` while
    /// there are none.
    pub fn partial_item_since(&self) -> Rc<Cell<Option<Instant>>> {
        self.partial_item_since.clone()
    }

    /// Waits for the next item; returns `None` at the end of the stream. There is no time limit before its first byte.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionEnd::TimedOut`] or [`ConnectionEnd::Stalled`] for an item that is not completed in time, the
    /// parser's error, or the code of the socket's error.
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
                    let next_item_since = (!self.buffer.is_empty()).then(Instant::now);
                    self.partial_item_since.set(next_item_since);
                    self.count_partial_item();
                    return Ok(Some(item));
                }
                // The parser needs more bytes before it consumes any.
                if consumed == 0 {
                    break;
                }
            }
            self.buffer.shrink_if_empty();
            self.count_partial_item();
            self.wait_for_limit(stream).await?;
            if self.read(stream).await?.count == 0 {
                return Ok(None);
            }
            let since = self.partial_item_since.get().unwrap_or_else(Instant::now);
            self.partial_item_since.set(Some(since));
        }
    }

    fn count_partial_item(&mut self) {
        let bytes = self.buffer.len() + self.parser.consumed_bytes();
        if let Some(limit) = &mut self.partial_item_limit {
            limit.count(bytes);
        }
    }

    /// Waits while the partial items of all readers exceed their bound. The read timeout of the item applies.
    ///
    /// # Errors
    ///
    /// Returns [`ConnectionEnd::Closed`] if the other side closes meanwhile: what it waits for is of no use any more.
    async fn wait_for_limit(&mut self, stream: &TcpSocket) -> Result<(), ConnectionEnd> {
        let Some(limit) = &mut self.partial_item_limit else {
            return Ok(());
        };
        while !limit.allows_reading() {
            if self.ends_at_hang_up && has_hung_up(stream.get_ref()) {
                return Err(ConnectionEnd::Closed);
            }
            Timer::after(LIMIT_POLL_INTERVAL).await;
        }
        Ok(())
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

    /// Reads the next bytes, within the stall timeout if an item is incomplete.
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

    /// Reads the next bytes, and records when they may have arrived.
    async fn read_and_track_arrival(
        &mut self,
        stream: &TcpSocket,
    ) -> Result<SocketRead, ConnectionEnd> {
        // A read into an empty slice returns 0, which would look like the end of the stream.
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

    /// Whether an idle connection is still open and has received no unexpected bytes. Reads from the socket without
    /// waiting.
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

/// Returns the items of a connection as a stream, each with the earliest time at which its first byte may have arrived.
/// The stream ends after the first error.
pub fn items<P: Parse>(
    stream: Rc<TcpSocket>,
    reader: InputReader<P>,
) -> impl Stream<Item = Result<(Instant, P::Item), ConnectionEnd>> {
    stream::try_unfold((stream, reader), async |(stream, mut reader)| {
        let item = reader.next(&stream).await?;
        Ok(item.map(|item| ((reader.item_arrived, item), (stream, reader))))
    })
}
