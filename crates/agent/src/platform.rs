//! Owns the talk with the platform that rolls builds out: its news on one connection, votes on another, as JSON-RPC
//! lines. Other platforms' protocols will stand beside it, through the same calls of the hub. It must never send a
//! vote twice by itself, nor report one as not carried out that may have been.
use std::cell::{Cell, RefCell};
use std::convert::Infallible;
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use futures_lite::{FutureExt, StreamExt, pin};
use lilacgate::port::*;
use lilacgate_start::Paths;

use crate::hub::Hub;
use crate::json::{self, Json};
use crate::log::{Count, End, count, say};
use crate::ring::{Intake, Place, Ring, connect, items, within};

/// A line as long as this ends the connection.
const LINE: usize = 8 << 10;
/// The platform gives a sign of life this often.
const PING: Duration = Duration::from_secs(1);

struct Line {
    to: SocketAddr,
    stream: Async<TcpStream>,
    intake: Intake<json::Values>,
}

pub struct Platform {
    hub: Rc<Hub>,
    pub place: Place,
    connect_within: Duration,
    answer_within: Duration,
    /// The connection of the last vote.
    kept: RefCell<Option<Line>>,
    last: Cell<u64>,
}

/// News as a call on the module, if all its fields can be read.
pub fn news(state: &Json) -> Option<impl FnOnce(&mut dyn Hears) + 'static> {
    let small = |name| state.get(name).and_then(Json::whole);
    let build = Build(u16::try_from(small("Revision")?).ok()?);
    let stage = Stage(u8::try_from(small("Wave")?).ok()?);
    let course = match state.get("State")?.text()? {
        "Progressing" => Course::OnTrial,
        "Aborting" => Course::GoingBack,
        "Healthy" => Course::Released,
        "Aborted" => Course::Withdrawn,
        _ => return None,
    };
    let cap = state.get("MaxShare")?.figure().filter(|cap| *cap >= 0.0)?;
    let age = state.get("AgeMs")?.figure().filter(|ms| (0.0..1e15).contains(ms))?;
    Some(move |ear: &mut dyn Hears| ear.stage(build, stage, course, cap, Duration::from_secs_f64(age / 1e3)))
}

impl Platform {
    pub fn new(hub: Rc<Hub>, at: SocketAddr, told: &Paths) -> Result<Rc<Self>, String> {
        Ok(Rc::new(Platform {
            hub,
            place: Place::new(at),
            connect_within: told.period("limits.connect-timeout")?,
            answer_within: told.period("family-info.call-timeout")?,
            kept: RefCell::default(),
            last: Cell::new(0),
        }))
    }

    /// Passes news on; says whether they can be read, and changes nothing if not.
    pub fn told(&self, state: &Json) -> bool {
        let Some(news) = news(state) else {
            return false;
        };
        count(Count::News);
        self.hub.tell(news);
        true
    }

    fn wording(&self, method: &str, params: &str) -> (u64, Ring) {
        let id = self.last.get() + 1;
        self.last.set(id);
        let mut ring = Ring::new(LINE);
        ring.put(format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"{method}\"{params}}}\n").as_bytes());
        (id, ring)
    }

    /// Listens for news as long as the agent runs.
    pub async fn run(self: Rc<Self>) {
        let mut pause = PING / 20;
        loop {
            let heard = Cell::new(false);
            let at = self.place.at();
            let Err(end) = self.listen(at, &heard).or(self.place.moved()).await;
            say!("platform {at} ended: {end}");
            pause = if heard.get() || end == End::Moved { PING / 20 } else { (pause * 2).min(PING) };
            if end != End::Moved {
                within(pause, self.place.moved::<()>()).await.ok();
            }
        }
    }

    async fn listen(&self, at: SocketAddr, heard: &Cell<bool>) -> Result<Infallible, End> {
        let stream = Rc::new(connect(at, self.connect_within).await?);
        let (_, mut ask) = self.wording("listen", "");
        within(self.connect_within, ask.flush(&stream)).await?;
        let told = items(stream, Intake::new(json::Values::lines(LINE), LINE, PING * 3));
        pin!(told);
        loop {
            let next = async { told.next().await.unwrap_or(Err(End::Closed)) };
            let (_, message) = within(PING * 3, next).await?;
            let fine = match (message.get("method").and_then(Json::text), message.get("params")) {
                (Some("ROLLOUT"), Some(state)) => self.told(state),
                (Some("ping"), _) => true,
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

    pub fn vote(self: &Rc<Self>, build: Build, stage: Stage, verdict: Verdict) {
        count(Count::Votes);
        let me = self.clone();
        let word = match verdict {
            Verdict::Withdraw => "abstain",
            Verdict::On => "promote",
            Verdict::Hold => "pause",
            Verdict::Back => "abort",
        };
        let params = format!(
            ",\"params\":{{\"Revision\":{},\"Wave\":{},\"Decision\":{}}}",
            build.0,
            stage.0,
            json::quoted(word)
        );
        self.hub.spawn(async move {
            let written = Cell::new(false);
            let ending = match within(me.answer_within, me.ask(&params, &written)).await {
                Ok(ending) => ending,
                Err(end) => {
                    say!("platform {}: a vote's connection ended: {end}", me.place.at());
                    // It may have been carried out, once it was written.
                    if written.get() { Ending::TimedOut } else { Ending::Unconnected }
                }
            };
            me.hub.tell(move |ear| ear.vote_answered(ending));
        });
    }

    /// Asks on the kept connection, if it still stands, or on a new one.
    async fn ask(&self, params: &str, written: &Cell<bool>) -> Result<Ending, End> {
        let kept = self.kept.take();
        let to = self.place.at();
        let kept = kept.filter(|line| line.to == to).and_then(|mut line| {
            let quiet = line.intake.is_quiet(&line.stream);
            if !quiet {
                say!("platform {to}: a vote's connection ended: {}", End::Stale);
            }
            quiet.then_some(line)
        });
        let mut line = match kept {
            Some(line) => line,
            None => Line {
                to,
                stream: connect(to, self.connect_within).await?,
                intake: Intake::new(json::Values::lines(LINE), LINE, self.answer_within),
            },
        };
        let (id, mut ask) = self.wording("verdict", params);
        ask.flush(&line.stream).await?;
        written.set(true);
        let answer = line.intake.next(&line.stream).await?.ok_or(End::Closed)?;
        let asked = answer.get("id").and_then(Json::whole) == Some(id);
        let ending = if asked { self.read(&answer) } else { None };
        if ending.is_some() {
            self.kept.replace(Some(line));
        }
        ending.ok_or(End::Malformed)
    }

    /// How a vote's call ended, by an answer that can be read whole.
    fn read(&self, answer: &Json) -> Option<Ending> {
        if let Some(state) = answer.get("result") {
            return self.told(state).then_some(Ending::Served);
        }
        Some(match answer.get("error")?.get("message")?.text()? {
            "limit" => Ending::TurnedAway,
            "moot" => Ending::Unsent,
            "error" | "malformed" => Ending::Failed,
            _ => return None,
        })
    }
}
