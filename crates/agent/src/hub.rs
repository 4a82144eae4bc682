//! Owns the decision module: its clock, the queue of all that it is to hear, its rounds, and the way of its decisions
//! to whoever carries them out, who hand their writers in. Nothing else may call the module, and neither a front nor
//! a protocol is known here. It must never wait within a round, nor decide anything itself.
use std::cell::{Cell, RefCell};
use std::collections::{BTreeSet, HashMap};
use std::future::Future;
use std::rc::Rc;
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use async_channel::{Receiver, Sender};
use async_executor::LocalExecutor;
use async_io::Timer;
use futures_lite::future;
use lilacgate_decision::EventHandler as _;
use lilacgate_decision::{
    Actions, AgentId, AttemptNumber, Build, DecisionEngine, EndpointId, Note, Outcome, Request,
    RequestId, Stage, TimerId, Vote,
};

use crate::keeper::{Ears, Keeper};
use crate::log::{Count, count, say};
use crate::recorder::{Deed, Recorder};
use crate::ring::Bell;

/// Something that the module is to hear, or the gate beside it.
type Call = Box<dyn FnOnce(&mut Ears)>;

/// Carries attempts and probes to appliances.
pub trait Carries {
    fn send_attempt(
        self: Rc<Self>,
        which: (RequestId, AttemptNumber),
        to: EndpointId,
        wording: Wording,
        began: Duration,
        until: Duration,
    );
    fn call_off(&self, which: (RequestId, AttemptNumber));
    fn probe(self: Rc<Self>, to: EndpointId);
    fn free_links(&self, id: EndpointId);
}

/// Asks for the list of appliances.
pub trait Lists {
    fn watch(&self, on: bool);
    fn fetch(self: Rc<Self>);
}

/// Casts votes.
pub trait Votes {
    fn vote(self: Rc<Self>, build: Build, stage: Stage, verdict: Vote);
}

/// Tells peers.
pub trait Tells {
    fn tell(&self, peer: Option<AgentId>, octets: &[u8]);
}

/// Spans since the zero point of the machines' common clock, long before any start, so that what started before
/// this agent has its place; they only go forward.
#[derive(Clone, Copy)]
pub struct Clock {
    started: Instant,
    before: Duration,
}

impl Clock {
    /// Reads the machine's clock, once.
    pub fn start() -> Self {
        let before = SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default();
        Clock {
            started: Instant::now(),
            before,
        }
    }

    pub fn now(&self) -> Duration {
        self.at(Instant::now())
    }

    pub fn at(&self, moment: Instant) -> Duration {
        self.before + moment.saturating_duration_since(self.started)
    }

    /// Waits until then.
    pub async fn until(&self, then: Duration) {
        Timer::at(self.started + then.saturating_sub(self.before)).await;
    }
}

/// A request's one final answer.
pub enum Answer {
    Settled(Vec<u8>),
    Declined(Duration),
    Voided,
}

/// What an attempt says to an appliance, told how long its answer is waited for.
pub type Wording = Rc<dyn Fn(Duration) -> Vec<u8>>;

/// A request that is owed its answer, or of whose end the module has not heard yet.
struct Owed {
    wording: Wording,
    /// When the last wait for it ends.
    until: Duration,
    attempts: u8,
    answer: Option<Box<dyn FnOnce(Answer)>>,
}

pub struct Hub {
    pub clock: Clock,
    tasks: LocalExecutor<'static>,
    queue: (Sender<Call>, Receiver<Call>),
    owed: RefCell<HashMap<RequestId, Owed>>,
    last: Cell<u32>,
    /// Room for an answer's way back before the client gives up.
    slack: Duration,
    /// When the agent ends, and the bell that rings once that is known.
    ends: Cell<Duration>,
    ending: Bell,
}

impl Hub {
    pub fn new(slack: Duration) -> Rc<Self> {
        let (owed, last, tasks) = Default::default();
        let (queue, ending) = (async_channel::unbounded(), Bell::default());
        let ends = Cell::new(Duration::MAX);
        Rc::new(Hub {
            clock: Clock::start(),
            tasks,
            queue,
            owed,
            last,
            slack,
            ends,
            ending,
        })
    }

    pub fn spawn(&self, task: impl Future<Output = ()> + 'static) {
        self.tasks.spawn(task).detach();
    }

    /// Runs all tasks until this one ends.
    pub async fn run<T>(&self, main: impl Future<Output = T>) -> T {
        self.tasks.run(main).await
    }

    /// Puts something in the queue for the next round.
    pub fn tell(&self, call: impl FnOnce(&mut Ears) + 'static) {
        count(Count::Calls);
        // The queue has no bound of its own, and lives as long as the hub: what fills it has bounds.
        self.queue.0.try_send(Box::new(call)).ok();
    }

    /// Makes all calls that are queued.
    pub fn hear(&self, ear: &mut Ears) {
        while let Ok(call) = self.queue.1.try_recv() {
            call(ear);
        }
    }

    /// The agent ends then: all that is in hand, or comes still, has its answer before.
    pub fn ends(&self, last: Duration) {
        self.ends.set(last);
        self.ending.ring();
        self.tell(move |ear| ear.on_shutdown(last));
    }

    /// Waits until then, or until the agent's end is so near that an answer has to go out.
    pub async fn until(&self, then: Duration) {
        let ending = async {
            self.ending.rung().await;
            self.clock
                .until(self.ends.get().saturating_sub(self.slack))
                .await;
        };
        future::or(self.clock.until(then), ending).await;
    }

    /// Takes a request; `answer` is called once, with its final answer, unless the client leaves before.
    pub fn take(
        &self,
        request: Request,
        wording: Wording,
        answer: impl FnOnce(Answer) + 'static,
    ) -> RequestId {
        count(Count::RequestsTaken);
        let id = RequestId(self.last.replace(self.last.get().wrapping_add(1)));
        let until = request
            .deadline
            .min(self.ends.get())
            .saturating_sub(self.slack);
        self.owed.borrow_mut().insert(
            id,
            Owed {
                wording,
                until,
                attempts: 0,
                answer: Some(Box::new(answer)),
            },
        );
        self.tell(move |ear| ear.on_request(id, request));
        id
    }

    /// How many requests are in hand.
    pub fn in_hand(&self) -> usize {
        self.owed.borrow().len()
    }

    /// The way to its client of an answer that is still owed; from then on it is not.
    fn claim(&self, id: RequestId) -> Option<Box<dyn FnOnce(Answer)>> {
        self.owed.borrow_mut().get_mut(&id)?.answer.take()
    }

    /// Gives the final answer, if it is still owed.
    fn answer(&self, id: RequestId, answer: Answer) {
        if let Some(give) = self.claim(id) {
            count(match answer {
                Answer::Settled(_) => Count::Settled,
                Answer::Declined(_) => Count::Declined,
                Answer::Voided => Count::Voided,
            });
            give(answer);
        }
    }

    fn is_owed(&self, id: RequestId) -> bool {
        self.owed
            .borrow()
            .get(&id)
            .is_some_and(|owed| owed.answer.is_some())
    }

    pub fn client_left(self: &Rc<Self>, id: RequestId) {
        if self.claim(id).is_some() {
            count(Count::ClientsLeft);
            let hub = self.clone();
            self.tell(move |ear| {
                hub.owed.borrow_mut().remove(&id);
                ear.on_client_left(id);
            });
        }
    }

    /// Whether an attempt that has waited for its link may still go: the module says.
    pub async fn may_go(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let (say, said) = async_channel::bounded(1);
        self.tell(move |ear| {
            say.try_send(ear.may_send(id, attempt)).ok();
        });
        said.recv().await.unwrap_or(false)
    }

    /// An attempt has ended; a first answer goes to the client at once and ends the request.
    pub fn ended(
        self: &Rc<Self>,
        (id, attempt): (RequestId, AttemptNumber),
        at: EndpointId,
        ending: Outcome,
        took: Duration,
        value: Vec<u8>,
    ) {
        count(match ending {
            Outcome::Succeeded => Count::EndedServed,
            Outcome::Failed => Count::EndedFailed,
            Outcome::Rejected => Count::EndedTurnedAway,
            Outcome::TimedOut => Count::EndedTimedOut,
            Outcome::ConnectFailed => Count::EndedUnconnected,
            Outcome::ConnectionLost => Count::EndedBroken,
            Outcome::Malformed => Count::EndedSpoilt,
            Outcome::Cancelled => Count::EndedCalledOff,
            Outcome::NotSent => Count::EndedUnsent,
        });
        if ending == Outcome::Succeeded {
            self.answer(id, Answer::Settled(value));
        }
        let closed = !self.is_owed(id);
        let hub = self.clone();
        self.tell(move |ear| {
            if closed {
                hub.owed.borrow_mut().remove(&id);
            }
            ear.on_attempt_ended(id, attempt, at, ending, took, closed);
        });
    }
}

/// Where decisions go; all of them return at once, and what takes time is a task of its own.
pub struct Hands {
    pub hub: Rc<Hub>,
    pub appliances: Rc<dyn Carries>,
    pub discovery: Rc<dyn Lists>,
    pub platform: Rc<dyn Votes>,
    pub peers: Option<Rc<dyn Tells>>,
    /// What the operator's own rules leave open.
    pub keeper: Keeper,
    pub recorder: Rc<Recorder>,
    /// The module's own wake-ups that are not due yet.
    pub wakes: BTreeSet<(Duration, TimerId)>,
}

impl Hands {
    /// Hosts the module for as long as the agent runs.
    pub async fn host(mut self, mut brain: DecisionEngine) {
        let queue = self.hub.queue.1.clone();
        let (hub, clock) = (self.hub.clone(), self.hub.clock);
        loop {
            let wake = self.wakes.first().map(|(at, _)| *at);
            let next = [wake, self.keeper.next(), self.recorder.next()]
                .into_iter()
                .flatten()
                .min();
            let alarm = async {
                match next {
                    Some(at) => clock.until(at).await,
                    None => future::pending().await,
                }
                None
            };
            let first = future::or(async { queue.recv().await.ok() }, alarm).await;
            // What else is ready to be read joins the same round.
            future::yield_now().await;
            let now = clock.now();
            let due: Vec<_> = self
                .wakes
                .iter()
                .take_while(|(at, _)| *at <= now)
                .copied()
                .collect();
            if due
                .first()
                .is_some_and(|(at, _)| *at + self.hub.slack < now)
            {
                count(Count::LateRounds);
            }
            count(Count::Rounds);
            self.wakes.retain(|(at, _)| *at > now);
            let (mut keeper, recorder) = (std::mem::take(&mut self.keeper), self.recorder.clone());
            recorder.advance(now);
            // The record's own time is none of the module's business.
            if first.is_none() && due.is_empty() && keeper.next().is_none_or(|next| next > now) {
                self.keeper = keeper;
                continue;
            }
            brain.round(
                now,
                |module| {
                    let mut ears = Ears {
                        module,
                        keeper: &mut keeper,
                        recorder: &recorder,
                        now,
                    };
                    ears.advance();
                    first.into_iter().for_each(|call: Call| call(&mut ears));
                    hub.hear(&mut ears);
                    due.iter().for_each(|(_, ticket)| ears.on_wake_up(*ticket));
                },
                &mut Round {
                    hands: &mut self,
                    now,
                },
            );
            self.keeper = keeper;
        }
    }
}

/// The writer of one round.
struct Round<'a> {
    hands: &'a mut Hands,
    now: Duration,
}

impl Actions for Round<'_> {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, give_up_after: Duration) {
        count(Count::Attempts);
        let mut owed = self.hands.hub.owed.borrow_mut();
        let Some(owed) = owed.get_mut(&id) else {
            return say!(
                "an attempt of request {}, which has had its answer, stays here",
                id.0
            );
        };
        let attempt = AttemptNumber(owed.attempts);
        owed.attempts += 1;
        let until = if give_up_after.is_zero() {
            owed.until
        } else {
            owed.until.min(self.now + give_up_after)
        };
        let wording = owed.wording.clone();
        self.hands
            .recorder
            .put(self.now, Deed::Attempt(id, attempt, to));
        self.hands
            .appliances
            .clone()
            .send_attempt((id, attempt), to, wording, self.now, until);
    }

    fn reject(&mut self, id: RequestId, come_back_in: Duration) {
        self.hands.recorder.put(self.now, Deed::Closed(id));
        self.hands.hub.answer(id, Answer::Declined(come_back_in));
        self.hands.hub.owed.borrow_mut().remove(&id);
    }

    fn fail(&mut self, id: RequestId) {
        self.hands.recorder.put(self.now, Deed::Closed(id));
        self.hands.hub.answer(id, Answer::Voided);
        self.hands.hub.owed.borrow_mut().remove(&id);
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.hands
            .recorder
            .book(|book| book.attempt_cancelled(self.now, id, attempt));
        self.hands.appliances.call_off((id, attempt));
    }

    fn schedule_wake_up(&mut self, at: Duration, ticket: TimerId) {
        self.hands.wakes.insert((at, ticket));
    }

    fn check_health(&mut self, at: EndpointId) {
        self.hands.appliances.clone().probe(at);
    }

    fn close_idle_connections(&mut self, at: EndpointId) {
        self.hands.appliances.free_links(at);
    }

    fn send_to_peer(&mut self, peer: Option<AgentId>, octets: &[u8]) {
        if let Some(peers) = &self.hands.peers {
            peers.tell(peer, octets);
        }
    }

    fn log(&mut self, text: &str) {
        self.hands.recorder.book(|book| book.set_vote_figures(text));
        say!("{text}");
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.hands.discovery.watch(on);
    }

    fn fetch_endpoints(&mut self) {
        self.hands.discovery.clone().fetch();
    }

    fn vote(&mut self, build: Build, stage: Stage, verdict: Vote) {
        self.hands
            .recorder
            .book(|book| book.record_vote(self.now, build, stage, verdict));
        self.hands.platform.clone().vote(build, stage, verdict);
    }

    fn note(&mut self, note: Note) {
        self.hands
            .recorder
            .book(|book| book.record_note(self.now, note));
    }
}
