//! Owns the bytes between a socket and a parser: one ring a direction a connection, small at first, growing to a
//! bound, given back when idle. It knows no protocol, and must never hold more than its bound nor lose a byte.
use std::cell::Cell;
use std::collections::VecDeque;
use std::future::Future;
use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::stream::{self, Stream};
use futures_lite::{FutureExt, pin};

use crate::log::ConnectionEnd;

/// What a ring starts with, and what it may keep while nothing is in it.
const SMALL: usize = 1 << 10;

/// Turns bytes into items, as they come. A fault ends the connection.
pub trait Parse {
    type Item;
    /// Takes bytes from the front, up to the end of one item at most; returns how many it took.
    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Self::Item>), ConnectionEnd>;
    /// Whether nothing of a next item has come.
    fn is_between(&self) -> bool;
}

pub struct Ring {
    bytes: VecDeque<u8>,
    most: usize,
}

impl Ring {
    pub fn new(most: usize) -> Self {
        Ring {
            bytes: VecDeque::new(),
            most,
        }
    }

    pub fn is_empty(&self) -> bool {
        self.bytes.is_empty()
    }

    pub fn put(&mut self, bytes: &[u8]) {
        self.bytes.extend(bytes);
    }

    /// Gives memory back that an idle connection does not need.
    fn rest(&mut self) {
        if self.bytes.is_empty() && self.bytes.capacity() > SMALL {
            self.bytes = VecDeque::new();
        }
    }

    /// Reads what is there, as far as there is room; 0 at the end of the stream.
    fn fill(&mut self, mut from: &TcpStream) -> io::Result<usize> {
        let had = self.bytes.len();
        let room = self
            .bytes
            .capacity()
            .max(SMALL)
            .min(self.most)
            .saturating_sub(had);
        let room = if room == 0 {
            had.min(self.most - had)
        } else {
            room
        };
        self.bytes.resize(had + room, 0);
        let tail = &mut self.bytes.make_contiguous()[had..];
        let got = from.read(tail);
        self.bytes.truncate(had + *got.as_ref().unwrap_or(&0));
        got
    }

    fn drain(&mut self, mut to: &TcpStream) -> io::Result<usize> {
        let sent = to.write(self.bytes.as_slices().0)?;
        self.bytes.drain(..sent);
        Ok(sent)
    }

    /// Writes all that is in it.
    pub async fn flush(&mut self, to: &Async<TcpStream>) -> Result<(), ConnectionEnd> {
        while !self.bytes.is_empty() {
            if to
                .write_with(|to| self.drain(to))
                .await
                .map_err(ConnectionEnd::from)?
                == 0
            {
                return Err(ConnectionEnd::Reset);
            }
        }
        self.rest();
        Ok(())
    }
}

/// A connection's incoming side: its ring and the parser that reads from it.
pub struct Intake<P> {
    ring: Ring,
    parser: P,
    /// In which time an item must be whole, once begun.
    patience: Duration,
    /// How long more bytes of an item are waited for, once it has begun, if that has a bound of its own.
    stall: Option<Duration>,
    /// When bytes last came, and when those that began the present item did.
    came: Instant,
    begun: Instant,
    /// Whether something was read that has not become an item yet; seen by others too.
    pub amid: Rc<Cell<bool>>,
}

impl<P: Parse> Intake<P> {
    pub fn new(parser: P, most: usize, patience: Duration) -> Self {
        let now = Instant::now();
        let (ring, amid) = (Ring::new(most), Rc::default());
        Intake {
            ring,
            parser,
            patience,
            stall: None,
            came: now,
            begun: now,
            amid,
        }
    }

    /// The same, which ends as stalled once no more bytes of an item that has begun come for so long.
    pub fn stalls_after(self, stall: Duration) -> Self {
        Intake {
            stall: Some(stall),
            ..self
        }
    }

    /// The next item; nothing at the end of the stream.
    pub async fn next(
        &mut self,
        from: &Async<TcpStream>,
    ) -> Result<Option<P::Item>, ConnectionEnd> {
        if self.ring.is_empty() && self.parser.is_between() {
            from.readable().await.map_err(ConnectionEnd::from)?;
        }
        within(self.patience, self.whole(from)).await
    }

    async fn whole(&mut self, from: &Async<TcpStream>) -> Result<Option<P::Item>, ConnectionEnd> {
        loop {
            while !self.ring.is_empty() {
                if self.parser.is_between() {
                    self.begun = self.came;
                }
                let (taken, item) = self.parser.take(self.ring.bytes.as_slices().0)?;
                self.ring.bytes.drain(..taken);
                if let Some(item) = item {
                    self.amid.set(!self.ring.is_empty());
                    return Ok(Some(item));
                }
            }
            self.ring.rest();
            if self.read(from).await? == 0 {
                return Ok(None);
            }
            self.came = Instant::now();
            self.amid.set(true);
        }
    }

    /// Reads what comes next, and waits for it no longer than an item that has begun may stall.
    async fn read(&mut self, from: &Async<TcpStream>) -> Result<usize, ConnectionEnd> {
        let stall = self.stall.filter(|_| !self.parser.is_between());
        let ring = &mut self.ring;
        let read = async {
            from.read_with(|from| ring.fill(from))
                .await
                .map_err(ConnectionEnd::from)
        };
        let Some(stall) = stall else {
            return read.await;
        };
        let stalled = async {
            Timer::after(stall).await;
            Err(ConnectionEnd::Stalled)
        };
        pin!(read);
        read.or(stalled).await
    }

    /// Whether a quiet connection is still open, with nothing left over on it.
    pub fn is_quiet(&mut self, from: &Async<TcpStream>) -> bool {
        let waits = |e: &io::Error| e.kind() == io::ErrorKind::WouldBlock;
        self.ring.is_empty()
            && self.parser.is_between()
            && self.ring.fill(from.get_ref()).as_ref().is_err_and(waits)
    }
}

/// A connection as a stream of items, each with the time at which its first byte was read.
pub fn items<P: Parse>(
    from: Rc<Async<TcpStream>>,
    intake: Intake<P>,
) -> impl Stream<Item = Result<(Instant, P::Item), ConnectionEnd>> {
    stream::try_unfold((from, intake), async |(from, mut intake)| {
        let item = intake.next(&from).await?;
        Ok(item.map(|item| ((intake.begun, item), (from, intake))))
    })
}

/// Waits for something no longer than so: a silent peer sends no reset.
pub async fn within<T>(
    wait: Duration,
    work: impl Future<Output = Result<T, ConnectionEnd>>,
) -> Result<T, ConnectionEnd> {
    let late = async {
        Timer::after(wait).await;
        Err(ConnectionEnd::Silent)
    };
    pin!(work);
    work.or(late).await
}

/// Rings once, for good: whoever waits for it, before or after, goes on.
pub struct Notifier(Sender<()>, Receiver<()>);

impl Default for Notifier {
    fn default() -> Self {
        let (sender, receiver) = async_channel::bounded(1);
        Notifier(sender, receiver)
    }
}

impl Notifier {
    pub fn ring(&self) {
        self.0.close();
    }

    pub fn has_rung(&self) -> bool {
        self.0.is_closed()
    }

    pub async fn rung(&self) {
        self.1.recv().await.ok();
    }
}

/// Where a service listens. A move ends what waits for the old place.
pub struct Place {
    at: Cell<SocketAddr>,
    notifier: (Sender<()>, Receiver<()>),
}

impl Place {
    pub fn new(at: SocketAddr) -> Self {
        Place {
            at: Cell::new(at),
            notifier: async_channel::bounded(1),
        }
    }

    pub fn at(&self) -> SocketAddr {
        self.at.get()
    }

    pub fn move_to(&self, at: SocketAddr) {
        if self.at.replace(at) != at {
            self.notifier.0.try_send(()).ok();
        }
    }

    /// Waits until it has moved.
    pub async fn moved<T>(&self) -> Result<T, ConnectionEnd> {
        self.notifier.1.recv().await.ok();
        Err(ConnectionEnd::Moved)
    }
}

pub async fn connect(to: SocketAddr, wait: Duration) -> Result<Async<TcpStream>, ConnectionEnd> {
    let stream = within(wait, async {
        Async::<TcpStream>::connect(to)
            .await
            .map_err(ConnectionEnd::from)
    })
    .await?;
    stream
        .get_ref()
        .set_nodelay(true)
        .map_err(ConnectionEnd::from)?;
    Ok(stream)
}
