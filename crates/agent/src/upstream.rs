//! Owns the links to appliances, and what goes over them: attempts, probes. One request a link at a time, so that
//! giving one up hurts no other. It must never send anything twice, say that an attempt never ran when its last byte
//! may have gone out, nor take for an answer what came behind another; which appliance serves what is not its to
//! decide.
use std::cell::{Cell, RefCell};
use std::collections::HashMap;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_channel::Sender;
use async_io::{Async, Timer};
use futures_lite::{FutureExt, StreamExt};
use lilacgate_decision::EventHandler as _;
use lilacgate_decision::{
    AttemptNumber, Build, Endpoint, EndpointId, EndpointStatus, Outcome, RequestId,
};
use lilacgate_start_settings::Paths;

use crate::event_loop::{Clock, EncodedRequest, EventLoop, Upstream};
use crate::log::{Count, End, count, info};
use crate::resp::{self, Resp};
use crate::transport::{InputReader, RingBuffer, connect, with_timeout};

/// A process that an appliance runs: where it listens, its build, and when it started. Links are to it alone.
type Life = (SocketAddr, Build, Option<Duration>);

/// An appliance in the list, and the links to it that carry nothing now.
struct Home {
    life: Life,
    mode: EndpointStatus,
    idle: Vec<Link>,
}

struct Link {
    stream: Async<TcpStream>,
    intake: InputReader<resp::ValueParser>,
    out: RingBuffer,
    to: Life,
    /// When it last carried something.
    since: Duration,
    /// Why it ends, if it ends now.
    why: End,
    open: Rc<Cell<usize>>,
}

impl Drop for Link {
    fn drop(&mut self) {
        self.open.set(self.open.get() - 1);
        count(Count::LinksClosed);
        info!("link to {} ended: {}", self.to.0, self.why);
    }
}

impl Link {
    fn is_usable(&mut self, now: Duration, idle_for: Duration) -> bool {
        if now > self.since + idle_for {
            self.why = End::Idle;
        } else if !self.intake.is_open_and_empty(&self.stream) {
            self.why = End::Stale;
        } else {
            return true;
        }
        false
    }
}

/// What an appliance answered.
struct Answered {
    ending: Outcome,
    value: Vec<u8>,
    load: Option<Vec<u8>>,
}

pub struct UpstreamPool {
    event_loop: Rc<EventLoop>,
    homes: RefCell<HashMap<EndpointId, Home>>,
    out: RefCell<HashMap<(RequestId, AttemptNumber), Sender<()>>>,
    /// The fields of a load report, in the module's order.
    gauges: Vec<String>,
    connect_within: Duration,
    /// In which time an answer must be whole, once begun.
    patience: Duration,
    idle_for: Duration,
    /// How long a link rests after an answer, so that what belongs to none shows itself before it is used again: as long
    /// as an answer may be late on its way.
    rest: Duration,
    most_links: usize,
    open: Rc<Cell<usize>>,
}

impl UpstreamPool {
    pub fn new(
        event_loop: Rc<EventLoop>,
        told: &Paths,
        most_links: usize,
    ) -> Result<Rc<Self>, String> {
        let (homes, out, open) = Default::default();
        Ok(Rc::new(UpstreamPool {
            event_loop,
            homes,
            out,
            gauges: told.names("feedback.names")?,
            connect_within: told.period("limits.connect-timeout")?,
            patience: told.longest_deadline()?,
            // Sooner than the appliance would: what is written to a link that it closes may have run.
            idle_for: told.period("limits.conn-idle")? * 9 / 10,
            rest: told.period("tick")?.max(told.span("rules.answer-slack")?),
            most_links,
            open,
        }))
    }

    fn clock(&self) -> Clock {
        self.event_loop.clock
    }

    /// Notes an entry of the list, and where that appliance listens.
    pub fn place(&self, line: &Endpoint, at: SocketAddr) {
        let mut homes = self.homes.borrow_mut();
        let (life, mode) = ((at, line.build, line.started), line.status);
        let home = homes.entry(line.id).or_insert_with(|| Home {
            life,
            mode,
            idle: Vec::new(),
        });
        if home.life != life || mode != EndpointStatus::Ready {
            close(&mut home.idle, End::Gone);
        }
        (home.life, home.mode) = (life, mode);
        if mode == EndpointStatus::Removed {
            homes.remove(&line.id);
        }
    }

    /// Notes that a whole list names these alone.
    pub fn keep_only(&self, listed: impl Fn(&EndpointId) -> bool) {
        for (_, mut home) in self.homes.borrow_mut().extract_if(|id, _| !listed(id)) {
            close(&mut home.idle, End::Gone);
        }
    }

    /// Whether there is one that takes requests.
    pub fn is_any_ready(&self) -> bool {
        self.homes
            .borrow()
            .values()
            .any(|home| home.mode == EndpointStatus::Ready)
    }

    /// Closes what has been idle for long, or was closed by the other side.
    pub async fn sweep(self: Rc<Self>) {
        let mut beat = Timer::interval(self.idle_for / 20);
        while beat.next().await.is_some() {
            let now = self.clock().now();
            for home in self.homes.borrow_mut().values_mut() {
                home.idle
                    .retain_mut(|link| link.is_usable(now, self.idle_for));
            }
        }
    }

    fn idle_link(&self, id: EndpointId) -> Option<Link> {
        let now = self.clock().now();
        let mut homes = self.homes.borrow_mut();
        let idle = &mut homes.get_mut(&id)?.idle;
        idle.retain_mut(|link| link.is_usable(now, self.idle_for));
        let rested = idle
            .iter()
            .rposition(|link| link.since + self.rest <= now)?;
        Some(idle.remove(rested))
    }

    /// Opens a link; the longest idle one elsewhere goes where no more may be open.
    async fn connect(&self, id: EndpointId) -> Result<Link, Outcome> {
        let to = self
            .homes
            .borrow()
            .get(&id)
            .map(|home| home.life)
            .ok_or(Outcome::NotSent)?;
        let at = to.0;
        if self.open.get() >= self.most_links && !self.close_one() {
            info!("no link to {at}: all {} are in use", self.most_links);
            return Err(Outcome::NotSent);
        }
        self.open.set(self.open.get() + 1);
        let opening = Opening(Some(self.open.clone()));
        let stream = connect(at, self.connect_within).await.map_err(|end| {
            info!("no link to {at}: {end}");
            // What is short here says nothing of the appliance.
            if end == End::OwnLimit {
                Outcome::NotSent
            } else {
                Outcome::ConnectFailed
            }
        })?;
        count(Count::LinksOpened);
        Ok(Link {
            stream,
            intake: InputReader::new(
                resp::ValueParser::default(),
                resp::MAX_MESSAGE,
                self.patience,
            ),
            out: RingBuffer::new(resp::MAX_MESSAGE),
            to,
            since: self.clock().now(),
            why: End::GivenUp,
            open: opening.done(),
        })
    }

    fn close_one(&self) -> bool {
        let mut homes = self.homes.borrow_mut();
        let oldest = homes
            .values_mut()
            .filter(|home| !home.idle.is_empty())
            .min_by_key(|h| h.idle[0].since);
        oldest
            .map(|home| home.idle.remove(0).why = End::Crowded)
            .is_some()
    }

    /// Keeps a link for the next request, if its appliance is still there.
    fn keep(&self, id: EndpointId, mut link: Link) {
        link.since = self.clock().now();
        match self.homes.borrow_mut().get_mut(&id) {
            Some(home) if home.life == link.to && home.mode == EndpointStatus::Ready => {
                home.idle.push(link)
            }
            _ => link.why = End::Gone,
        }
    }

    async fn attempt(
        &self,
        which: (RequestId, AttemptNumber),
        to: EndpointId,
        encoded_request: EncodedRequest,
        until: Duration,
        written: &Cell<bool>,
    ) -> Result<Answered, Outcome> {
        let mut link = match self.idle_link(to) {
            Some(link) => link,
            None => {
                let link = self.connect(to).await?;
                if !self.event_loop.may_go(which.0, which.1).await {
                    self.keep(to, link);
                    return Err(Outcome::NotSent);
                }
                link
            }
        };
        let bytes = encoded_request(until.saturating_sub(self.clock().now()));
        let answer = self.exchange(&mut link, &bytes, written).await?;
        let (ending, value, load) = match answer {
            Resp::Array(Some(items)) => match <[Resp; 3]>::try_from(items) {
                Ok(
                    [
                        Resp::Bulk(Some(value)),
                        Resp::Bulk(None) | Resp::Array(None),
                        load,
                    ],
                ) => {
                    // A report that cannot be read is none; the answer is good all the same.
                    (
                        Outcome::Succeeded,
                        value,
                        if let Resp::Bulk(load) = load {
                            load
                        } else {
                            None
                        },
                    )
                }
                _ => return Err(malformed(&mut link)),
            },
            Resp::Error(line) => {
                let words = String::from_utf8(line).map_err(|_| malformed(&mut link))?;
                let (words, load) = match words.rsplit_once(' ') {
                    Some((words, load)) if load.contains('=') => {
                        (words, Some(load.as_bytes().to_vec()))
                    }
                    _ => (words.as_str(), None),
                };
                match words {
                    "BUSY" => (Outcome::Rejected, Vec::new(), load),
                    "ERR failed" => (Outcome::Failed, Vec::new(), load),
                    _ => return Err(malformed(&mut link)),
                }
            }
            _ => return Err(malformed(&mut link)),
        };
        self.keep(to, link);
        Ok(Answered {
            ending,
            value,
            load,
        })
    }

    /// Writes a command and reads its answer. Before its last byte is written, nothing has run.
    async fn exchange(
        &self,
        link: &mut Link,
        bytes: &[u8],
        written: &Cell<bool>,
    ) -> Result<Resp, Outcome> {
        link.out.append(bytes);
        if let Err(end) = link.out.flush(&link.stream).await {
            link.why = end;
            return Err(Outcome::ConnectFailed);
        }
        written.set(true);
        let answer = link.intake.next(&link.stream).await;
        link.why = match answer {
            Ok(Some(answer)) => return Ok(answer),
            Ok(None) => End::Closed,
            Err(end) => end,
        };
        Err(if matches!(link.why, End::Malformed | End::TooLong) {
            Outcome::Malformed
        } else {
            Outcome::ConnectionLost
        })
    }

    /// Passes a load report on; fields that it lacks are not numbers.
    fn tell_load(&self, from: EndpointId, report: Option<Vec<u8>>) {
        let Some(report) = report.and_then(|report| String::from_utf8(report).ok()) else {
            return;
        };
        let field = |name: &String| {
            let value = report
                .split(',')
                .find_map(|pair| pair.strip_prefix(name.as_str())?.strip_prefix('='));
            value
                .and_then(|value| value.trim().parse().ok())
                .unwrap_or(f32::NAN)
        };
        let gauges: Vec<f32> = self.gauges.iter().map(field).collect();
        if gauges.iter().any(|gauge| gauge.is_finite()) {
            self.event_loop
                .enqueue(move |router| router.on_load_report(from, &gauges));
        }
    }
}

impl Upstream for UpstreamPool {
    fn send_attempt(
        self: Rc<Self>,
        which: (RequestId, AttemptNumber),
        to: EndpointId,
        encoded_request: EncodedRequest,
        began: Duration,
        until: Duration,
    ) {
        let (off, called_off) = async_channel::bounded::<()>(1);
        self.out.borrow_mut().insert(which, off);
        let me = self.clone();
        self.event_loop.clone().spawn(async move {
            let written = Cell::new(false);
            let over = async {
                me.event_loop.until(until).await;
                Err(Outcome::TimedOut)
            };
            let off = async {
                called_off.recv().await.ok();
                Err(Outcome::Cancelled)
            };
            let work = me.attempt(which, to, encoded_request, until, &written);
            let ended = work.or(off).or(over).await;
            me.out.borrow_mut().remove(&which);
            let (ending, value) = match ended {
                Ok(answered) => {
                    me.tell_load(to, answered.load);
                    (answered.ending, answered.value)
                }
                // What was never written whole has never run.
                Err(Outcome::TimedOut | Outcome::Cancelled) if !written.get() => {
                    (Outcome::NotSent, Vec::new())
                }
                Err(ending) => (ending, Vec::new()),
            };
            let took = me.clock().now().saturating_sub(began);
            me.event_loop.ended(which, to, ending, took, value);
        });
    }

    fn call_off(&self, which: (RequestId, AttemptNumber)) {
        if let Some(off) = self.out.borrow().get(&which) {
            off.try_send(()).ok();
        }
    }

    /// Asks an appliance for its load.
    fn probe(self: Rc<Self>, to: EndpointId) {
        count(Count::Probes);
        let me = self.clone();
        self.event_loop.clone().spawn(async move {
            let began = me.clock().now();
            let ask = async {
                let mut link = match me.idle_link(to) {
                    Some(link) => link,
                    None => me.connect(to).await?,
                };
                let ask = resp::encode_command([&b"INFO"[..], b"load"].into_iter());
                let answer = me.exchange(&mut link, &ask, &Cell::new(false)).await?;
                let load = match answer {
                    Resp::Bulk(load) => Ok(load),
                    Resp::Error(_) => Err(Outcome::Failed),
                    _ => return Err(malformed(&mut link)),
                };
                me.keep(to, link);
                load
            };
            let answer = with_timeout(me.connect_within, async { Ok(ask.await) }).await;
            let answer = answer.unwrap_or(Err(Outcome::TimedOut));
            let took = me.clock().now().saturating_sub(began);
            let ending = answer
                .as_ref()
                .map_or_else(|ending| *ending, |_| Outcome::Succeeded);
            me.tell_load(to, answer.ok().flatten());
            me.event_loop
                .enqueue(move |router| router.on_health_check(to, ending, took));
        });
    }

    fn free_links(&self, id: EndpointId) {
        if let Some(home) = self.homes.borrow_mut().get_mut(&id) {
            close(&mut home.idle, End::GivenUp);
        }
    }
}

/// Counts a link while it comes up, whatever becomes of it.
struct Opening(Option<Rc<Cell<usize>>>);

impl Opening {
    fn done(mut self) -> Rc<Cell<usize>> {
        self.0.take().unwrap_or_default()
    }
}

impl Drop for Opening {
    fn drop(&mut self) {
        if let Some(open) = &self.0 {
            open.set(open.get() - 1);
        }
    }
}

fn malformed(link: &mut Link) -> Outcome {
    link.why = End::Malformed;
    Outcome::Malformed
}

fn close(links: &mut Vec<Link>, why: End) {
    links.iter_mut().for_each(|link| link.why = why);
    links.clear();
}
