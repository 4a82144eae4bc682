//! Owns listening to a release desk: its news and signs of life on one connection, as JSON-RPC lines, with back-off.
//! The platform's own front listens through it, and so do the desks of other services. It must never hear half a
//! line, nor let one desk's noise cost more than its own connection.
use std::cell::Cell;
use std::convert::Infallible;
use std::net::SocketAddr;
use std::rc::Rc;
use std::time::{Duration, Instant};

use futures_lite::{FutureExt, StreamExt, pin};
use lilacgate_decision::{Build, ReleasePhase, Stage};

use crate::json::{self, Json};
use crate::log::{End, info};
use crate::transport::{InputReader, RingBuffer, ServiceAddress, connect, items, with_timeout};

/// A line as long as this ends the connection.
pub const LINE: usize = 8 << 10;
/// A desk gives a sign of life this often.
const PING: Duration = Duration::from_secs(1);

/// News of the newest build.
#[derive(Clone, Copy)]
pub struct ReleaseUpdate {
    pub build: Build,
    pub stage: Stage,
    pub course: ReleasePhase,
    /// The share of requests that may go to it.
    pub cap: f64,
    /// How long ago it came to stand so.
    pub age: Duration,
}

/// News, if all their fields can be read.
pub fn news(state: &Json) -> Option<ReleaseUpdate> {
    let small = |name| state.get(name).and_then(Json::whole);
    let build = Build(u16::try_from(small("Revision")?).ok()?);
    let stage = Stage(u8::try_from(small("Wave")?).ok()?);
    let course = match state.get("State")?.text()? {
        "Progressing" => ReleasePhase::Canary,
        "Aborting" => ReleasePhase::RollingBack,
        "Healthy" => ReleasePhase::Released,
        "Aborted" => ReleasePhase::Withdrawn,
        _ => return None,
    };
    let cap = state.get("MaxShare")?.figure().filter(|cap| *cap >= 0.0)?;
    let age = state
        .get("AgeMs")?
        .figure()
        .filter(|ms| (0.0..1e15).contains(ms))?;
    Some(ReleaseUpdate {
        build,
        stage,
        course,
        cap,
        age: Duration::from_secs_f64(age / 1e3),
    })
}

/// A call as a line.
pub fn call(id: u64, method: &str, params: &str) -> RingBuffer {
    let mut ring = RingBuffer::new(LINE);
    ring.append(
        format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\"{params}}}\n").as_bytes(),
    );
    ring
}

/// Who is told what a desk says.
pub trait ReleaseWatchListener {
    fn news(&self, news: ReleaseUpdate);
    /// A sign of life.
    fn lives(&self) {}
}

/// How much a desk may say.
#[derive(Clone, Copy)]
pub enum Bound {
    None,
    ASecond(u32),
}

pub struct ReleaseWatch {
    name: String,
    pub place: ServiceAddress,
    connect_within: Duration,
    bound: Bound,
    router: Rc<dyn ReleaseWatchListener>,
}

impl ReleaseWatch {
    pub fn new(
        name: String,
        at: SocketAddr,
        connect_within: Duration,
        bound: Bound,
        router: Rc<dyn ReleaseWatchListener>,
    ) -> Rc<Self> {
        Rc::new(ReleaseWatch {
            name,
            place: ServiceAddress::new(at),
            connect_within,
            bound,
            router,
        })
    }

    /// Listens for as long as the agent runs.
    pub async fn run(self: Rc<Self>) {
        let mut pause = PING / 20;
        loop {
            let heard = Cell::new(false);
            let at = self.place.get();
            let Err(end) = self.listen(at, &heard).or(self.place.changed()).await;
            info!("{} {at} ended: {end}", self.name);
            // One that only makes noise is not asked again at once.
            let fine = heard.get() && !matches!(end, End::Malformed | End::TooLong | End::Flood);
            pause = if fine || end == End::Moved {
                PING / 20
            } else {
                (pause * 2).min(PING)
            };
            if end != End::Moved {
                with_timeout(pause, self.place.changed::<()>()).await.ok();
            }
        }
    }

    async fn listen(&self, at: SocketAddr, heard: &Cell<bool>) -> Result<Infallible, End> {
        let stream = Rc::new(connect(at, self.connect_within).await?);
        let mut ask = call(1, "listen", "");
        with_timeout(self.connect_within, ask.flush(&stream)).await?;
        let told = items(
            stream,
            InputReader::new(json::Values::lines(LINE), LINE, PING * 3),
        );
        pin!(told);
        let (mut second, mut said) = (Instant::now(), 0);
        loop {
            let next = async { told.next().await.unwrap_or(Err(End::Closed)) };
            let (_, message) = with_timeout(PING * 3, next).await?;
            if second.elapsed() >= PING {
                (second, said) = (Instant::now(), 0);
            }
            said += 1;
            if matches!(self.bound, Bound::ASecond(most) if said > most) {
                return Err(End::Flood);
            }
            let fine = match (
                message.get("method").and_then(Json::text),
                message.get("params"),
            ) {
                (Some("ROLLOUT"), Some(state)) => {
                    news(state).map(|news| self.router.news(news)).is_some()
                }
                (Some("ping"), _) => {
                    self.router.lives();
                    true
                }
                (None, _) => message.get("result") == Some(&Json::Truth(true)),
                _ => false,
            };
            // What was told there is lost; a new connection begins with the state as it is.
            if !fine {
                return Err(End::Malformed);
            }
            heard.set(true);
        }
    }
}
