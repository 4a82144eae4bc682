//! Owns the talk with discovery: the list of appliances, once or as a watch on its changes, over HTTP with chunks. It
//! must never pass on half a message, nor forget the last good list because of a bad one.
use std::cell::RefCell;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use async_channel::{Receiver, Sender};
use futures_lite::{FutureExt, StreamExt, pin};
use lilacgate_decision::EventHandler as _;
use lilacgate_decision::{EndpointId, ListUpdate};
use lilacgate_start_settings::Paths;

use crate::endpoint_list::EndpointListReader;
use crate::event_loop::{EndpointListSource, EventLoop};
use crate::json::{self, Json};
use crate::log::{Count, End, count, info};
use crate::pacing::{CallEnd, Pacing};
use crate::transport::{
    InputReader, Parse, RingBuffer, ServiceAddress, connect, items, with_timeout,
};
use crate::upstream::UpstreamPool;

/// A quiet watch sends an empty line this often.
const QUIET: Duration = Duration::from_secs(2);
/// One that says nothing for so long is given up.
const SILENT: Duration = QUIET.saturating_mul(5).checked_div(4).unwrap();
/// The longest line of a head, and the most lines.
const HEAD_LINE: usize = 8 << 10;
const HEAD_LINES: usize = 100;

enum State {
    /// In the head, so many lines in; the body's form as far as the head has told.
    Head(usize, Body),
    /// In the line that gives a chunk's size, or its end.
    Size,
    /// So many bytes of a chunk are left.
    Chunk(u64),
    /// In the line end after a chunk.
    ChunkEnd,
    /// So many bytes of a body of known length are left.
    Counted(u64),
    /// A body that lasts as long as its connection.
    Open,
    /// Behind the last chunk, and behind the end of the body.
    Trailer,
    Over,
}

#[derive(Clone, Copy)]
enum Body {
    Chunked,
    Counted(u64),
    Open,
}

/// One answer of HTTP/1.1, and the values in its body.
pub struct Answer {
    state: State,
    line: Vec<u8>,
    values: json::Values,
}

impl Answer {
    /// With values of at most so many bytes.
    pub fn new(most: usize) -> Self {
        Answer {
            state: State::Head(0, Body::Open),
            line: vec![],
            values: json::Values::indented(most),
        }
    }

    fn line(&mut self) -> Result<(), End> {
        let line = String::from_utf8(std::mem::take(&mut self.line)).map_err(|_| End::Malformed)?;
        let line = line.trim_end_matches(['\r', '\n']);
        self.state = match self.state {
            State::Head(0, body) => {
                let mut words = line.split(' ');
                let fine = words.next().is_some_and(|word| word.starts_with("HTTP/1."));
                if !fine || words.next() != Some("200") {
                    return Err(if fine { End::Refused } else { End::Malformed });
                }
                State::Head(1, body)
            }
            State::Head(_, body) if line.is_empty() => match body {
                Body::Chunked => State::Size,
                Body::Counted(0) => State::Over,
                Body::Counted(many) => State::Counted(many),
                Body::Open => State::Open,
            },
            State::Head(lines, _) if lines >= HEAD_LINES => return Err(End::TooLong),
            State::Head(lines, body) => {
                let (name, value) = line.split_once(':').ok_or(End::Malformed)?;
                let value = value.trim();
                let body = match name.to_ascii_lowercase().as_str() {
                    "transfer-encoding" if value.eq_ignore_ascii_case("chunked") => Body::Chunked,
                    "transfer-encoding" => return Err(End::Malformed),
                    "content-length" if !matches!(body, Body::Chunked) => {
                        Body::Counted(value.parse().map_err(|_| End::Malformed)?)
                    }
                    _ => body,
                };
                State::Head(lines + 1, body)
            }
            State::Size => {
                let size = line.split(';').next().unwrap_or_default().trim();
                let fine = !size.is_empty() && size.bytes().all(|b| b.is_ascii_hexdigit());
                match u64::from_str_radix(size, 16) {
                    Ok(0) => State::Trailer,
                    Ok(many) if fine => State::Chunk(many),
                    _ => return Err(End::Malformed),
                }
            }
            State::ChunkEnd if line.is_empty() => State::Size,
            State::Trailer if line.is_empty() => State::Over,
            State::Trailer => State::Trailer,
            _ => return Err(End::Malformed),
        };
        Ok(())
    }
}

impl Parse for Answer {
    type Item = Json;

    fn is_between(&self) -> bool {
        self.values.is_between()
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Json>), End> {
        let mut at = 0;
        while at < bytes.len() {
            let rest = &bytes[at..];
            let left = match &mut self.state {
                State::Over => return Err(End::Malformed),
                State::Chunk(left) | State::Counted(left) => left,
                State::Open => &mut u64::MAX.clone(),
                _ => {
                    let many = rest
                        .iter()
                        .position(|&b| b == b'\n')
                        .map_or(rest.len(), |i| i + 1);
                    self.line.extend_from_slice(&rest[..many]);
                    at += many;
                    if self.line.len() > HEAD_LINE {
                        return Err(End::TooLong);
                    }
                    if self.line.ends_with(b"\n") {
                        self.line()?;
                    }
                    continue;
                }
            };
            let some = usize::try_from(*left).map_or(rest.len(), |left| left.min(rest.len()));
            let (taken, value) = self.values.take(&rest[..some])?;
            *left -= taken as u64;
            at += taken;
            match self.state {
                State::Chunk(0) => self.state = State::ChunkEnd,
                State::Counted(0) => self.state = State::Over,
                _ => {}
            }
            if value.is_some() {
                return Ok((at, value));
            }
        }
        // A body that ends amid a value was cut.
        if matches!(self.state, State::Over) && !self.values.is_between() {
            return Err(End::Malformed);
        }
        Ok((at, None))
    }
}

pub struct Discovery {
    event_loop: Rc<EventLoop>,
    upstream: Rc<UpstreamPool>,
    pub place: ServiceAddress,
    connect_within: Duration,
    /// Whether the module asks for the list; elsewhere it is watched always.
    asked: bool,
    /// The largest message.
    most: usize,
    endpoint_list: RefCell<EndpointListReader>,
    wish: (Sender<bool>, Receiver<bool>),
    pacing: RefCell<Pacing>,
}

impl Discovery {
    pub fn new(
        event_loop: Rc<EventLoop>,
        upstream: Rc<UpstreamPool>,
        at: SocketAddr,
        told: &Paths,
        most: usize,
    ) -> Result<Rc<Self>, String> {
        let endpoint_list = RefCell::new(EndpointListReader::new(told)?);
        let connect_within = told.period("limits.connect-timeout")?;
        Ok(Rc::new(Discovery {
            event_loop,
            upstream,
            place: ServiceAddress::new(at),
            connect_within,
            asked: told.asks()?,
            most,
            endpoint_list,
            wish: async_channel::unbounded(),
            // Whoever answers at all goes on within the time in which a connection comes up.
            pacing: RefCell::new(Pacing::new(connect_within, SILENT)),
        }))
    }

    /// Passes a list or its changes on, if all of it can be read.
    pub fn told(&self, list: &Json, saved: bool) -> Option<()> {
        let event_loop = &self.event_loop;
        let mut named = |number: EndpointId, name: &str| {
            let name = name.to_owned();
            event_loop.enqueue(move |router| router.recorder.named(number, &name));
        };
        let update = self.endpoint_list.borrow_mut().read(list, &mut named)?;
        if update.whole {
            self.upstream.retain(|id| update.names(*id));
        }
        update
            .entries
            .iter()
            .for_each(|(line, at)| self.upstream.update_endpoint(line, *at));
        count(Count::MembershipUpdates);
        let listing = match (saved, update.whole) {
            (true, _) => ListUpdate::Cached,
            (false, true) => ListUpdate::Full,
            (false, false) => ListUpdate::Delta,
        };
        self.event_loop.enqueue(move |router| {
            router.on_endpoints(listing, &mut update.entries.iter().map(|(line, _)| *line))
        });
        Some(())
    }

    fn failed(&self, end: End) {
        info!("discovery {} ended: {end}", self.place.get());
        if self.asked {
            self.event_loop
                .enqueue(|router| router.on_endpoints(ListUpdate::Failed, &mut std::iter::empty()));
        }
    }

    /// Watches the list, where the module does not ask for it by itself, as long as the agent runs.
    pub async fn run(self: Rc<Self>) {
        let mut on = !self.asked;
        loop {
            while !on {
                on = self.wish.1.recv().await.unwrap_or(false);
            }
            let (end, pause) = self.watched().await;
            let mut moved = end == Err(End::Moved);
            if !moved {
                on = !self.asked;
                moved =
                    on && with_timeout(pause, self.place.changed::<()>()).await == Err(End::Moved);
            }
            if moved {
                // Another service may count its versions otherwise: the whole list, at once.
                self.endpoint_list.borrow_mut().restart();
                self.pacing.borrow_mut().moved();
            }
        }
    }

    /// One watch, up to its end; how it ended, and the pause before the next one.
    async fn watched(&self) -> (Result<(), End>, Duration) {
        let (at, heard, began) = (
            self.place.get(),
            std::cell::Cell::new(false),
            Instant::now(),
        );
        let path = format!(
            "/catalog/members?follow=1&since={}",
            self.endpoint_list.borrow().version()
        );
        let call = self.call(path, false, &heard);
        let off = async {
            while self.wish.1.recv().await.unwrap_or(true) {}
            Err(End::GivenUp)
        };
        let end = call.or(off).or(self.place.changed()).await;
        match end {
            Err(End::Moved) => info!("discovery {at} ended: {}", End::Moved),
            Err(end) => self.failed(end),
            Ok(()) => {}
        }
        let how = match end {
            _ if heard.get() => CallEnd::Answered,
            Err(End::Stalled) => CallEnd::Stalled,
            _ => CallEnd::Unanswered,
        };
        (
            end,
            self.pacing.borrow_mut().pause_after(how, began.elapsed()),
        )
    }

    /// One call, up to its end, or to its first message.
    async fn call(
        &self,
        path: String,
        once: bool,
        heard: &std::cell::Cell<bool>,
    ) -> Result<(), End> {
        let at = self.place.get();
        let stream = Rc::new(connect(at, self.connect_within).await?);
        let mut ask = RingBuffer::new(HEAD_LINE);
        ask.append(
            format!("GET {path} HTTP/1.1\r\nHost: {at}\r\nAccept: application/json\r\n\r\n")
                .as_bytes(),
        );
        with_timeout(self.connect_within, ask.flush(&stream)).await?;
        let intake = InputReader::new(Lines(Answer::new(self.most)), self.most, SILENT);
        let lists = items(
            stream,
            intake.with_stall_timeout(self.pacing.borrow().stall()),
        );
        pin!(lists);
        loop {
            let next = async { lists.next().await.unwrap_or(Err(End::Closed)) };
            let (_, Some(list)) = with_timeout(SILENT, next).await? else {
                continue;
            };
            heard.set(true);
            if self.told(&list, false).is_none() {
                // The whole list next time: what was missed here cannot be known.
                self.endpoint_list.borrow_mut().restart();
                return Err(End::Malformed);
            }
            if once {
                return Ok(());
            }
        }
    }
}

impl EndpointListSource for Discovery {
    fn watch(&self, on: bool) {
        self.wish.0.try_send(on).ok();
    }

    fn fetch(self: Rc<Self>) {
        let me = self.clone();
        self.event_loop.clone().spawn(async move {
            match me
                .call(
                    "/catalog/members".into(),
                    true,
                    &std::cell::Cell::new(false),
                )
                .await
            {
                Ok(()) => info!("discovery {} ended: {}", me.place.get(), End::Closed),
                Err(end) => me.failed(end),
            }
        });
    }
}

/// The same, where whatever comes between values is an item too: a sign of life. What comes amid one is none, so that
/// a value that was cut is not waited for without end.
pub struct Lines(pub Answer);

impl Parse for Lines {
    type Item = Option<Json>;

    fn is_between(&self) -> bool {
        self.0.is_between()
    }

    fn take(&mut self, bytes: &[u8]) -> Result<(usize, Option<Option<Json>>), End> {
        let (taken, value) = self.0.take(bytes)?;
        let lives = value.is_some() || self.0.is_between();
        Ok((taken, lives.then_some(value)))
    }
}
