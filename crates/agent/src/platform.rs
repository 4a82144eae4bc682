//! Owns the talk with the platform that rolls builds out: its news by a desk's connection, votes on another, as
//! JSON-RPC lines. Other platforms' protocols will stand beside it, through the same calls of the hub. It must never send a
//! vote twice by itself, nor report one as not carried out that may have been.
use std::cell::{Cell, RefCell};
use std::net::{SocketAddr, TcpStream};
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use lilacgate_decision::EventHandler as _;
use lilacgate_decision::{Build, Outcome, Stage, Vote};
use lilacgate_start_settings::Paths;

use crate::event_loop::{EventLoop, VoteSender};
use crate::json::{self, Json};
use crate::log::{Count, End, count, info};
use crate::release_gate::EventRouter;
use crate::release_watch::{
    self, Bound, LINE, ReleaseUpdate, ReleaseWatch, ReleaseWatchListener as _,
};
use crate::transport::{InputReader, connect, with_timeout};

struct Line {
    to: SocketAddr,
    stream: Async<TcpStream>,
    intake: InputReader<json::Values>,
}

pub struct Platform {
    event_loop: Rc<EventLoop>,
    told: Rc<PlatformListener>,
    /// Where it tells its news, and takes votes.
    pub release_watch: Rc<ReleaseWatch>,
    connect_within: Duration,
    answer_within: Duration,
    /// The connection of the last vote.
    kept: RefCell<Option<Line>>,
    last: Cell<u64>,
}

/// News as a call on the module.
pub fn hear(news: ReleaseUpdate) -> impl FnOnce(&mut EventRouter) + 'static {
    move |router| router.on_release_status(news.build, news.stage, news.course, news.cap, news.age)
}

/// Passes the platform's own news on.
struct PlatformListener(Rc<EventLoop>);

impl release_watch::ReleaseWatchListener for PlatformListener {
    fn news(&self, news: ReleaseUpdate) {
        count(Count::ReleaseUpdate);
        self.0.enqueue(hear(news));
    }
}

impl Platform {
    pub fn new(
        event_loop: Rc<EventLoop>,
        at: SocketAddr,
        told: &Paths,
    ) -> Result<Rc<Self>, String> {
        let connect_within = told.period("limits.connect-timeout")?;
        let answer_within = told.period("family-info.call-timeout")?;
        let told = Rc::new(PlatformListener(event_loop.clone()));
        let release_watch = ReleaseWatch::new(
            "platform".into(),
            at,
            connect_within,
            Bound::None,
            told.clone(),
        );
        // The desk's own call is the first.
        let (kept, last) = (RefCell::default(), Cell::new(1));
        Ok(Rc::new(Platform {
            event_loop,
            told,
            release_watch,
            connect_within,
            answer_within,
            kept,
            last,
        }))
    }
}

impl VoteSender for Platform {
    fn vote(self: Rc<Self>, build: Build, stage: Stage, verdict: Vote) {
        count(Count::VoteSender);
        let me = self.clone();
        let word = match verdict {
            Vote::Retract => "abstain",
            Vote::Advance => "promote",
            Vote::Hold => "pause",
            Vote::RollBack => "abort",
        };
        let params = format!(
            ",\"params\":{{\"Revision\":{},\"Wave\":{},\"Decision\":{}}}",
            build.0,
            stage.0,
            json::quoted(word)
        );
        self.event_loop.clone().spawn(async move {
            let written = Cell::new(false);
            let ending = match with_timeout(me.answer_within, me.ask(&params, &written)).await {
                Ok(ending) => ending,
                Err(end) => {
                    info!(
                        "platform {}: a vote's connection ended: {end}",
                        me.release_watch.place.get()
                    );
                    // It may have been carried out, once it was written.
                    if written.get() {
                        Outcome::TimedOut
                    } else {
                        Outcome::ConnectFailed
                    }
                }
            };
            me.event_loop
                .enqueue(move |router| router.on_vote_answered(ending));
        });
    }
}

impl Platform {
    /// Asks on the kept connection, if it still stands, or on a new one.
    async fn ask(&self, params: &str, written: &Cell<bool>) -> Result<Outcome, End> {
        let kept = self.kept.take();
        let to = self.release_watch.place.get();
        let kept = kept.filter(|line| line.to == to).and_then(|mut line| {
            let quiet = line.intake.is_open_and_empty(&line.stream);
            if !quiet {
                info!("platform {to}: a vote's connection ended: {}", End::Stale);
            }
            quiet.then_some(line)
        });
        let mut line = match kept {
            Some(line) => line,
            None => Line {
                to,
                stream: connect(to, self.connect_within).await?,
                intake: InputReader::new(json::Values::lines(LINE), LINE, self.answer_within),
            },
        };
        let id = self.last.get() + 1;
        self.last.set(id);
        let mut ask = release_watch::call(id, "verdict", params);
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
    fn read(&self, answer: &Json) -> Option<Outcome> {
        if let Some(state) = answer.get("result") {
            release_watch::news(state).map(|news| self.told.news(news))?;
            return Some(Outcome::Succeeded);
        }
        Some(match answer.get("error")?.get("message")?.text()? {
            "limit" => Outcome::Rejected,
            "moot" => Outcome::NotSent,
            "error" | "malformed" => Outcome::Failed,
            _ => return None,
        })
    }
}
