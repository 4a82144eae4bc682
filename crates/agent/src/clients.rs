//! Owns the clients' connections: their commands in, their answers out, in order, each once and whole. It must never
//! answer for a request by itself once the hub has taken it, nor let one client's trouble reach another. What is beyond
//! its bounds (descriptors, memory, requests in hand) is turned away before the module hears of it.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeMap, HashSet, VecDeque};
use std::hash::{DefaultHasher, Hash, Hasher};
use std::io::{ErrorKind, Read};
use std::net::{Shutdown, TcpListener, TcpStream};
use std::rc::{Rc, Weak};
use std::time::Duration;

use async_channel::{Receiver, Sender};
use async_io::{Async, Timer};
use futures_lite::{FutureExt, StreamExt, future, pin};
use lilacgate_decision::{Idempotency, IdempotencyKey, Request, RequestClass, RequestId, Tenant};
use lilacgate_start_settings::Paths;

use crate::event_loop::{Answer, EncodedRequest, EventLoop};
use crate::json;
use crate::log::{Count, End, count, info};
use crate::resp;
use crate::transport::{InputReader, Notifier, RingBuffer, items, with_timeout};
use crate::upstream::UpstreamPool;

/// A connection that brings no whole command in this time, from its start or from the command's, ends; an idle one may
/// end after as long.
const WHOLE: Duration = Duration::from_secs(2);
/// A planned restart may kill the agent once the longest deadline, counted as this at most, and the time beside it have
/// passed since SIGTERM.
const MOST_DEADLINE: Duration = Duration::from_secs(3);
const LAST: Duration = Duration::from_millis(700);
/// Of these, the last are for the way out: all requests have their answer, and connections end between requests.
const WAY_OUT: Duration = LAST.checked_div(4).unwrap();
/// How long it waits for a connection to be gone before it looks again.
const LOOK: Duration = WAY_OUT.checked_div(8).unwrap();
/// So many bytes are read at a time where they are dropped.
const DISCARDED: usize = 4 << 10;

/// Bytes that clients' requests and answers hold, of all that may be held.
#[derive(Clone, Default)]
struct Held(Rc<Cell<usize>>);

/// Counts some of them, as long as it lives.
struct Share {
    all: Held,
    many: usize,
}

impl Held {
    fn share(&self, many: usize) -> Share {
        self.0.set(self.0.get() + many);
        Share {
            all: self.clone(),
            many,
        }
    }
}

impl Drop for Share {
    fn drop(&mut self) {
        self.all.0.set(self.all.0.get() - self.many);
    }
}

/// The ids of the requests in hand, as clients gave them.
type Ids = Rc<RefCell<HashSet<Vec<u8>>>>;

/// Holds one of them, as long as it lives.
struct InHand(Ids, Vec<u8>);

impl Drop for InHand {
    fn drop(&mut self) {
        self.0.borrow_mut().remove(&self.1);
    }
}

/// An answer that is due on a connection.
enum Due {
    UnansweredRequest(RequestId),
    Ready { bytes: Vec<u8>, _held: Share },
}

/// What one connection still owes, in the order of its commands.
struct Counter {
    due: RefCell<VecDeque<Due>>,
    /// The number of the first of them.
    first: Cell<u64>,
    notifier: (Sender<()>, Receiver<()>),
    stream: Weak<Async<TcpStream>>,
    /// Whether there is no place for its requests, or it has not asked for one yet, and whether a command has come.
    brief: Cell<bool>,
    used: Cell<bool>,
    /// Whether something was read that is no whole command yet.
    amid: Rc<Cell<bool>>,
    /// Why it ends once it stands between commands.
    ending: Cell<Option<End>>,
    /// Whether no more is read, as there is no time left for an answer.
    last: Cell<bool>,
    /// When something last came or went.
    since: Cell<Duration>,
    held: Held,
}

impl Counter {
    fn put(&self, due: Due) {
        self.due.borrow_mut().push_back(due);
        self.notifier.0.try_send(()).ok();
    }

    fn reply(&self, answer: &str) {
        let bytes = format!("{answer}\r\n").into_bytes();
        self.put(Due::Ready {
            bytes,
            _held: self.held.share(answer.len()),
        });
    }

    fn end(&self, why: End) {
        self.ending.set(Some(why));
        self.notifier.0.try_send(()).ok();
    }

    /// Whether it stands between commands, with none read in part or waiting to be read. To end it at another time
    /// would lose a command; but what follows one that cannot be read cannot be read either, and one that makes room
    /// with its first command still on its way has nobody's word for it.
    fn is_between(&self) -> bool {
        let quiet = |stream: Rc<Async<TcpStream>>| {
            stream
                .get_ref()
                .peek(&mut [0])
                .is_err_and(|e| e.kind() == ErrorKind::WouldBlock)
        };
        let deaf = match self.ending.get() {
            Some(End::Malformed | End::TooLong | End::Flood | End::Silent) => true,
            Some(End::Crowded) if !self.used.get() => true,
            _ => self.last.get(),
        };
        self.due.borrow().is_empty()
            && (deaf || !self.amid.get() && self.stream.upgrade().is_some_and(quiet))
    }

    fn is_idle(&self) -> bool {
        self.ending.get().is_none() && self.is_between()
    }

    /// Whether the module has yet to answer something that came here.
    fn owes(&self) -> bool {
        self.due
            .borrow()
            .iter()
            .any(|due| matches!(due, Due::UnansweredRequest(_)))
    }

    /// Fills the place of an answer, wherever in the order it stands.
    fn ready(&self, place: u64, bytes: Vec<u8>) {
        let at = place
            .checked_sub(self.first.get())
            .and_then(|at| usize::try_from(at).ok());
        let mut due = self.due.borrow_mut();
        if let Some(due) = at.and_then(|at| due.get_mut(at)) {
            let _held = self.held.share(bytes.len());
            *due = Due::Ready { bytes, _held };
            self.notifier.0.try_send(()).ok();
        }
    }

    fn take(&self) -> Option<Vec<u8>> {
        let mut due = self.due.borrow_mut();
        let ready = due.front_mut().and_then(|due| match due {
            Due::Ready { bytes, .. } => Some(std::mem::take(bytes)),
            Due::UnansweredRequest(_) => None,
        })?;
        due.pop_front();
        self.first.set(self.first.get() + 1);
        Some(ready)
    }

    /// The next answer, once it is ready, or the end.
    async fn next(&self) -> Result<Vec<u8>, End> {
        loop {
            if let Some(ready) = self.take() {
                return Ok(ready);
            }
            if let Some(end) = self.ending.get().filter(|_| self.is_between()) {
                return Err(end);
            }
            self.notifier.1.recv().await.ok();
        }
    }
}

/// A product, as clients name it.
struct Named {
    name: String,
    product: RequestClass,
    repeat: Idempotency,
}

pub struct Clients {
    event_loop: Rc<EventLoop>,
    upstream: Rc<UpstreamPool>,
    products: Vec<Named>,
    /// Whether a client may be told when to come back.
    advises: bool,
    /// So many connections, the last fifth of them only to be told that there is no room: what waits unaccepted
    /// counts as taken, and would get no answer at all.
    most: usize,
    /// So many answers may be owed on one connection: one at least, as a client keeps its connection.
    most_due: usize,
    most_held: usize,
    most_requests: usize,
    /// How long a connection must have been idle to make room for another: as long as that may take to come up.
    settles: Duration,
    /// The longest that a client waits.
    patience: Duration,
    held: Held,
    ids: Ids,
    open: RefCell<BTreeMap<u64, Rc<Counter>>>,
    /// Rings when a connection has ended.
    ended: (Sender<()>, Receiver<()>),
    /// Rings when nothing is taken any more, and when the listener is gone.
    leaving: Notifier,
    deaf: Notifier,
    /// When the last connection has to be gone, once the agent is to end.
    last: Cell<Duration>,
}

impl Clients {
    /// At most so many connections, and so many bytes held for them.
    pub fn new(
        event_loop: Rc<EventLoop>,
        upstream: Rc<UpstreamPool>,
        told: &Paths,
        most: usize,
        most_held: usize,
    ) -> Result<Rc<Self>, String> {
        let named = |i: usize| {
            let name = told.text(&format!("profiles.{i}.name"))?.to_owned();
            Ok(Named {
                name,
                product: RequestClass(i as u8),
                repeat: told.repeat(i)?,
            })
        };
        let indices = 0..usize::from(told.num::<u8>("profiles.count")?);
        let (held, ids, open) = Default::default();
        Ok(Rc::new(Clients {
            event_loop,
            upstream,
            products: indices.map(named).collect::<Result<_, String>>()?,
            advises: told.num("limits.retry-after")?,
            most,
            most_due: told
                .num("limits.streams-per-conn")
                .map(|most: usize| most.max(1))?,
            most_held,
            most_requests: told.num("limits.max-open")?,
            settles: told.period("limits.connect-timeout")?,
            patience: told.longest_deadline()?,
            held,
            ids,
            open,
            ended: async_channel::bounded(1),
            leaving: Notifier::default(),
            deaf: Notifier::default(),
            last: Cell::default(),
        }))
    }

    /// Takes connections up to the agent's end. What the machine has accepted by then counts as taken: whoever still
    /// waits in line comes in, to be told.
    pub async fn accept(self: Rc<Self>, listener: Async<TcpListener>) {
        let serial = Cell::new(0);
        let take = |stream| {
            count(Count::ClientsIn);
            serial.set(serial.get() + 1);
            self.event_loop
                .spawn(self.clone().serve(serial.get(), stream));
        };
        let leaving = async {
            self.leaving.notified().await;
            None
        };
        pin!(leaving);
        while let Some(next) = async { Some(listener.accept().await) }
            .or(&mut leaving)
            .await
        {
            match next {
                Ok((stream, _)) => {
                    take(stream);
                    future::yield_now().await;
                }
                Err(fault) => {
                    info!("no client accepted: {}", End::from(fault));
                    self.make_room(false);
                    self.moment().await;
                }
            }
            while self.open.borrow().len() >= self.most && !self.leaving.is_notified() {
                // None ends before another waits for its place.
                let waiting = async { listener.readable().await.map_err(End::from) };
                if with_timeout(LOOK, waiting).await.is_ok()
                    && self.open.borrow().len() >= self.most
                {
                    self.make_room(false);
                    self.moment().await;
                }
            }
        }
        // Nothing may come between the last look and the end.
        while let Ok(stream) = listener
            .get_ref()
            .accept()
            .and_then(|(stream, _)| Async::new(stream))
        {
            take(stream);
        }
        drop(listener);
        self.deaf.notify();
    }

    /// So many connections are for requests. One that has brought none yet takes no place of theirs.
    fn has_room(&self) -> bool {
        let open = self.open.borrow();
        let many = open
            .values()
            .filter(|c| !c.brief.get() && c.ending.get().is_none())
            .count();
        many < self.most - self.most.div_ceil(5)
    }

    /// Whether there is no room for the requests that a connection brings.
    fn is_brief(&self, counter: &Counter) -> bool {
        if counter.brief.get() {
            counter.brief.set(!self.has_room() && !self.make_room(true));
        }
        counter.brief.get()
    }

    /// Ends the longest idle connection, if there is one, or the longest idle of those for requests: rather one that
    /// has said nothing while a first command had time to come, or only a part of one. Where even those without room
    /// are all, any that stands between commands may go.
    fn make_room(&self, for_requests: bool) -> bool {
        let now = self.event_loop.clock.now();
        let all = self.open.borrow().len() >= self.most;
        let idle = |counter: &&Rc<Counter>| {
            let settles = if all { Duration::ZERO } else { self.settles };
            let rest = if counter.used.get() {
                settles
            } else {
                WHOLE / 4
            };
            let among = !(for_requests && counter.brief.get());
            let begun = !counter.used.get() && counter.ending.get().is_none();
            among && counter.since.get() + rest <= now && (begun || counter.is_idle())
        };
        let first = |counter: &&Rc<Counter>| (counter.used.get(), counter.since.get());
        let longest = self
            .open
            .borrow()
            .values()
            .filter(idle)
            .min_by_key(first)
            .cloned();
        longest
            .inspect(|counter| counter.end(End::Crowded))
            .is_some()
    }

    /// Ends connections that have been idle for long, once a quarter of the places are in use, and much sooner once
    /// half are: clients bound how many they open, and some ask once and stay.
    pub async fn sweep(self: Rc<Self>) {
        let mut beat = Timer::interval(self.settles / 4);
        while beat.next().await.is_some() {
            let (open, now) = (self.open.borrow(), self.event_loop.clock.now());
            let used = open.values().filter(|c| c.used.get()).count();
            let rest = if used * 2 >= self.most {
                self.settles
            } else {
                WHOLE
            };
            let long =
                |c: &&Rc<Counter>| c.used.get() && c.since.get() + rest <= now && c.is_idle();
            if used * 4 >= self.most {
                open.values()
                    .filter(long)
                    .for_each(|counter| counter.end(End::Idle));
            }
        }
    }

    /// Waits a moment for a connection to be gone.
    async fn moment(&self) {
        let gone = async { self.ended.1.recv().await.map_err(|_| End::Closed) };
        with_timeout(LOOK, gone).await.ok();
    }

    /// Serves on for as long as the agent is sure to live: clients go on using connections that stay open. Then
    /// turns away what comes, answers all that was taken, and ends the connections between requests.
    pub async fn stop(&self) {
        let began = self.event_loop.clock.now();
        let last = began + self.patience.min(MOST_DEADLINE) + LAST;
        self.last.set(last - LOOK);
        self.event_loop.ends(last - WAY_OUT);
        self.event_loop
            .clock
            .until(last - WAY_OUT)
            .or(self.leaving.notified())
            .await;
        self.leaving.notify();
        self.deaf.notified().await;
        let way_out = self.event_loop.clock.now();
        while !self.open.borrow().is_empty() && self.event_loop.clock.now() < last + self.patience {
            let now = self.event_loop.clock.now();
            // What comes without a pause is not read any more; on a new connection a first command is due.
            let late = way_out + WAY_OUT * 3 / 4 <= now;
            for counter in self
                .open
                .borrow()
                .values()
                .filter(|c| late || c.ending.get().is_none())
            {
                counter.last.set(late);
                let rest = if counter.used.get() {
                    Duration::ZERO
                } else {
                    WAY_OUT / 4
                };
                if late || counter.since.get() + rest <= now {
                    counter.end(counter.ending.get().unwrap_or(End::Stopping));
                }
            }
            self.moment().await;
        }
        let left = self.event_loop.in_hand();
        info!(
            "stopped after {} ms with {left} requests in hand",
            (self.event_loop.clock.now() - began).as_millis()
        );
    }

    /// Ends sooner: takes nothing from now on.
    pub fn hurry(&self) {
        self.leaving.notify();
    }

    async fn serve(self: Rc<Self>, serial: u64, stream: Async<TcpStream>) {
        stream.get_ref().set_nodelay(true).ok();
        let who = stream
            .get_ref()
            .peer_addr()
            .map_or_else(|_| "unknown".into(), |at| at.to_string());
        let stream = Rc::new(stream);
        let intake = InputReader::new(resp::CommandParser::default(), resp::MAX_MESSAGE, WHOLE);
        let (due, first, used, ending, last) = Default::default();
        let since = Cell::new(self.event_loop.clock.now());
        let notifier = async_channel::bounded(1);
        let (held, brief) = (self.held.clone(), Cell::new(true));
        let counter = Rc::new(Counter {
            due,
            first,
            notifier,
            stream: Rc::downgrade(&stream),
            brief,
            used,
            amid: intake.partial_item_flag(),
            ending,
            last,
            since,
            held,
        });
        self.open.borrow_mut().insert(serial, counter.clone());
        let answers = async {
            let mut out = RingBuffer::new(resp::MAX_MESSAGE);
            loop {
                match counter.next().await {
                    Ok(answer) => out.append(&answer),
                    Err(end) => return end,
                }
                // A client that does not read its answers holds up nobody else, and not for ever.
                if let Err(end) = with_timeout(self.patience, out.flush(&stream)).await {
                    return end;
                }
                counter.since.set(self.event_loop.clock.now());
            }
        };
        let end = self
            .read(stream.clone(), intake, &counter)
            .or(answers)
            .await;
        for due in counter.due.take() {
            if let Due::UnansweredRequest(id) = due {
                self.event_loop.client_left(id);
            }
        }
        if counter.ending.get() == Some(end) && counter.first.get() > 0 {
            self.linger(&stream, end).await;
        }
        drop(stream);
        self.open.borrow_mut().remove(&serial);
        self.ended.0.try_send(()).ok();
        count(Count::ClientsOut);
        info!("client {who} ended: {end}");
    }

    /// Ends the sending side first, and waits until the client has seen it: to close while noise stands unread would
    /// reset the connection, and a reset destroys answers that the client has not read yet. It takes no longer than a
    /// connection may take to come up, nor beyond the agent's own end.
    async fn linger(&self, stream: &Async<TcpStream>, why: End) {
        stream.get_ref().shutdown(Shutdown::Write).ok();
        let over = async {
            self.leaving.notified().await;
            self.event_loop.clock.until(self.last.get()).await;
            Err(End::Stopping)
        };
        let seen = async { Err::<(), _>(self.rest(stream, why).await) };
        with_timeout(self.settles, seen.or(over)).await.ok();
    }

    /// What comes on a connection that takes nothing more: its client's end, or else `Flood`. What is noise, or behind
    /// it, is dropped, up to as many bytes as all clients together may have held. A command is left unread: its client
    /// has read all its answers, and sends what was not read once more elsewhere.
    async fn rest(&self, stream: &Async<TcpStream>, why: End) -> End {
        let noise = matches!(why, End::Malformed | End::TooLong | End::Flood);
        // On the heap: in the task it would cost every connection as much for as long as it lives.
        let (mut dropped, mut bytes) = (0, vec![0; if noise { DISCARDED } else { 1 }]);
        while dropped < self.most_held {
            let came = if noise {
                stream.read_with(|mut from| from.read(&mut bytes)).await
            } else {
                stream.peek(&mut bytes).await
            };
            match came {
                Ok(0) => return End::Closed,
                Ok(_) if !noise => break,
                Ok(many) => dropped += many,
                Err(fault) => return fault.into(),
            }
            future::yield_now().await;
        }
        End::Flood
    }

    async fn read(
        &self,
        stream: Rc<Async<TcpStream>>,
        intake: InputReader<resp::CommandParser>,
        counter: &Rc<Counter>,
    ) -> End {
        let commands = items(stream.clone(), intake);
        pin!(commands);
        let why = loop {
            let next = commands.next();
            let next = if counter.used.get() {
                next.await
            } else {
                with_timeout(WHOLE, async { Ok(next.await) })
                    .await
                    .unwrap_or_else(|end| Some(Err(end)))
            };
            match next {
                Some(Ok((came, command))) => {
                    if let Err(why) = self.command(self.event_loop.clock.at(came), command, counter)
                    {
                        count(Count::CommandsRefused);
                        counter.reply(&format!("-ERR {why}"));
                    }
                    // What is asked one behind another has a bound; the rest is not read.
                    if counter.due.borrow().len() > self.most_due {
                        count(Count::CommandsRefused);
                        counter.reply("-ERR too many commands at once");
                        break End::Flood;
                    }
                    // One that pipelines without end leaves others their turn.
                    future::yield_now().await;
                }
                Some(Err(end @ (End::Malformed | End::TooLong))) => {
                    count(Count::CommandsRefused);
                    counter.reply(&format!("-ERR protocol error: {end}"));
                    break end;
                }
                // What came before a command that was never made whole has its answers still.
                Some(Err(End::Silent)) => break End::Silent,
                Some(Err(end)) => return end,
                None => return End::Closed,
            }
        };
        // Nothing more is taken; but a client that goes while it is owed an answer has to be noticed.
        counter.end(why);
        let gone = self.rest(&stream, why).await;
        if gone != End::Flood && counter.owes() {
            gone
        } else {
            future::pending().await
        }
    }

    fn command(
        &self,
        arrived: Duration,
        command: Vec<Vec<u8>>,
        counter: &Rc<Counter>,
    ) -> Result<(), String> {
        counter.since.set(arrived);
        counter.used.set(true);
        let writes = match command[0].to_ascii_uppercase().as_slice() {
            b"PING" => {
                if !self.upstream.has_ready_endpoint() {
                    return Err("no appliance is known".into());
                }
                counter.reply("+PONG");
                return Ok(());
            }
            b"SVC.QUERY" => false,
            b"SVC.SUBMIT" => true,
            other => return Err(format!("unknown command {}", other.escape_ascii())),
        };
        let (key, id, pairs) = match command.as_slice() {
            [_, key, id, pairs] | [_, key, id, pairs, _] => (key, id, pairs),
            _ => return Err("wrong number of arguments".into()),
        };
        if id.is_empty() {
            return Err("no id".into());
        }
        if !id.iter().all(u8::is_ascii_graphic) {
            return Err("bad id".into());
        }
        let text = std::str::from_utf8(pairs).map_err(|_| "values are not UTF-8")?;
        let mut values = BTreeMap::new();
        for pair in text.split(',') {
            let (name, value) = pair.split_once('=').ok_or("a value without a name")?;
            if values.insert(name, value).is_some() {
                return Err(format!("{name} stands twice"));
            }
        }
        let value = |name: &str| values.get(name).copied();
        let class = json::word(value("c").ok_or("no class")?);
        let named = self
            .products
            .iter()
            .find(|named| named.name == class)
            .ok_or("unknown class")?;
        if writes == (named.repeat == Idempotency::Idempotent) {
            return Err("this class takes the other command".into());
        }
        let digits = |value: &&str| value.bytes().all(|b| b.is_ascii_digit());
        let number = |value: &str| Some(value).filter(digits)?.parse::<u32>().ok();
        let whole =
            |name| value(name).map(|value| number(value).ok_or_else(|| format!("bad {name}")));
        let wait = whole("d").ok_or("no d")??;
        let hint = whole("h").transpose()?;
        if matches!(named.repeat, Idempotency::Keyed(_)) && value("k").is_none_or(str::is_empty) {
            return Err("no k".into());
        }
        if self.ids.borrow().contains(id) {
            return Err("this id is in hand".into());
        }
        let mut hasher = DefaultHasher::new();
        key.hash(&mut hasher);
        let request = Request {
            class: named.product,
            tenant: Tenant(0),
            idempotency_key: Some(IdempotencyKey(hasher.finish())).filter(|_| !key.is_empty()),
            // What has no time left is declined by the module.
            deadline: if self.leaving.is_notified() {
                arrived
            } else {
                arrived + Duration::from_millis(wait.into())
            },
            estimated_work: hint.map(|micros| Duration::from_micros(micros.into())),
            is_retry: value("r") == Some("1"),
        };
        let size = command
            .iter()
            .map(|part| part.len() + size_of_val(part))
            .sum::<usize>();
        let full = self.event_loop.in_hand() >= self.most_requests
            || self.held.0.get() + size > self.most_held;
        if full || self.is_brief(counter) {
            count(Count::TurnedAway);
            counter.reply("-BUSY");
            return Ok(());
        }
        let place = counter.first.get() + counter.due.borrow().len() as u64;
        let (to, advises) = (counter.clone(), self.advises);
        self.ids.borrow_mut().insert(id.clone());
        let in_hand = InHand(self.ids.clone(), id.clone());
        let request = self.event_loop.take(
            request,
            encoded_request(command, self.held.share(size)),
            move |answer| {
                drop(in_hand);
                let answer = match answer {
                    Answer::Settled(value) => resp::encode_bulk(&value),
                    Answer::Declined(wait) if advises && !wait.is_zero() => {
                        format!("-BUSY {}\r\n", wait.as_millis()).into_bytes()
                    }
                    Answer::Declined(_) => b"-BUSY\r\n".to_vec(),
                    Answer::Voided => b"-ERR failed\r\n".to_vec(),
                };
                to.ready(place, answer);
            },
        );
        counter.put(Due::UnansweredRequest(request));
        Ok(())
    }
}

/// The command as it came, but for how long its answer is waited for.
fn encoded_request(command: Vec<Vec<u8>>, held: Share) -> EncodedRequest {
    Rc::new(move |wait| {
        let _ = &held;
        let pairs = String::from_utf8_lossy(&command[3]);
        let put = |pair: &str| {
            if pair.starts_with("d=") {
                format!("d={}", wait.as_millis())
            } else {
                pair.into()
            }
        };
        let pairs = pairs.split(',').map(put).collect::<Vec<String>>().join(",");
        let part = |(i, part)| {
            if i == 3 {
                pairs.as_bytes()
            } else {
                Vec::as_slice(part)
            }
        };
        resp::encode_command(command.iter().enumerate().map(part))
    })
}
