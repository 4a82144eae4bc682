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

use crate::log::{Count, count, info};
use crate::recorder::{Recorder, RequestEvent};
use crate::release_gate::{EventRouter, ReleaseGateHost};
use crate::transport::Notifier;

/// Something that the module is to hear, or the gate beside it.
type Call = Box<dyn FnOnce(&mut EventRouter)>;

/// Carries attempts and probes to appliances.
pub trait Upstream {
    fn send_attempt(
        self: Rc<Self>,
        which: (RequestId, AttemptNumber),
        to: EndpointId,
        encoded_request: EncodedRequest,
        began: Duration,
        until: Duration,
    );
    fn call_off(&self, which: (RequestId, AttemptNumber));
    fn probe(self: Rc<Self>, to: EndpointId);
    fn free_links(&self, id: EndpointId);
}

/// Asks for the list of appliances.
pub trait EndpointListSource {
    fn watch(&self, on: bool);
    fn fetch(self: Rc<Self>);
}

/// Casts votes.
pub trait VoteSender {
    fn vote(self: Rc<Self>, build: Build, stage: Stage, verdict: Vote);
}

/// Tells peers.
pub trait PeerSender {
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
pub type EncodedRequest = Rc<dyn Fn(Duration) -> Vec<u8>>;

/// A request that is owed its answer, or of whose end the module has not heard yet.
struct UnansweredRequest {
    encoded_request: EncodedRequest,
    /// When the last wait for it ends.
    until: Duration,
    attempts: u8,
    answer: Option<Box<dyn FnOnce(Answer)>>,
}

pub struct EventLoop {
    pub clock: Clock,
    tasks: LocalExecutor<'static>,
    queue: (Sender<Call>, Receiver<Call>),
    unanswered: RefCell<HashMap<RequestId, UnansweredRequest>>,
    last: Cell<u32>,
    /// Room for an answer's way back before the client gives up.
    slack: Duration,
    /// When the agent ends, and the bell that rings once that is known.
    ends: Cell<Duration>,
    ending: Notifier,
}

impl EventLoop {
    pub fn new(slack: Duration) -> Rc<Self> {
        let (unanswered, last, tasks) = Default::default();
        let (queue, ending) = (async_channel::unbounded(), Notifier::default());
        let ends = Cell::new(Duration::MAX);
        Rc::new(EventLoop {
            clock: Clock::start(),
            tasks,
            queue,
            unanswered,
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
    pub fn enqueue(&self, call: impl FnOnce(&mut EventRouter) + 'static) {
        count(Count::Calls);
        // The queue has no bound of its own, and lives as long as the hub: what fills it has bounds.
        self.queue.0.try_send(Box::new(call)).ok();
    }

    /// Makes all calls that are queued.
    pub fn drain(&self, router: &mut EventRouter) {
        while let Ok(call) = self.queue.1.try_recv() {
            call(router);
        }
    }

    /// The agent ends then: all that is in hand, or comes still, has its answer before.
    pub fn ends(&self, last: Duration) {
        self.ends.set(last);
        self.ending.notify();
        self.enqueue(move |router| router.on_shutdown(last));
    }

    /// Waits until then, or until the agent's end is so near that an answer has to go out.
    pub async fn until(&self, then: Duration) {
        let ending = async {
            self.ending.notified().await;
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
        encoded_request: EncodedRequest,
        answer: impl FnOnce(Answer) + 'static,
    ) -> RequestId {
        count(Count::RequestsTaken);
        let id = RequestId(self.last.replace(self.last.get().wrapping_add(1)));
        let until = request
            .deadline
            .min(self.ends.get())
            .saturating_sub(self.slack);
        self.unanswered.borrow_mut().insert(
            id,
            UnansweredRequest {
                encoded_request,
                until,
                attempts: 0,
                answer: Some(Box::new(answer)),
            },
        );
        self.enqueue(move |router| router.on_request(id, request));
        id
    }

    /// How many requests are in hand.
    pub fn in_hand(&self) -> usize {
        self.unanswered.borrow().len()
    }

    /// The way to its client of an answer that is still owed; from then on it is not.
    fn claim(&self, id: RequestId) -> Option<Box<dyn FnOnce(Answer)>> {
        self.unanswered.borrow_mut().get_mut(&id)?.answer.take()
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
        self.unanswered
            .borrow()
            .get(&id)
            .is_some_and(|unanswered| unanswered.answer.is_some())
    }

    pub fn client_left(self: &Rc<Self>, id: RequestId) {
        if self.claim(id).is_some() {
            count(Count::ClientsLeft);
            let event_loop = self.clone();
            self.enqueue(move |router| {
                event_loop.unanswered.borrow_mut().remove(&id);
                router.on_client_left(id);
            });
        }
    }

    /// Whether an attempt that has waited for its link may still go: the module says.
    pub async fn may_go(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let (answer_sender, answer_receiver) = async_channel::bounded(1);
        self.enqueue(move |router| {
            answer_sender.try_send(router.may_send(id, attempt)).ok();
        });
        answer_receiver.recv().await.unwrap_or(false)
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
        let event_loop = self.clone();
        self.enqueue(move |router| {
            if closed {
                event_loop.unanswered.borrow_mut().remove(&id);
            }
            router.on_attempt_ended(id, attempt, at, ending, took, closed);
        });
    }
}

/// Where decisions go; all of them return at once, and what takes time is a task of its own.
pub struct ActionDispatcher {
    pub event_loop: Rc<EventLoop>,
    pub upstream: Rc<dyn Upstream>,
    pub discovery: Rc<dyn EndpointListSource>,
    pub platform: Rc<dyn VoteSender>,
    pub peers: Option<Rc<dyn PeerSender>>,
    /// What the operator's own rules leave open.
    pub gate_host: ReleaseGateHost,
    pub recorder: Rc<Recorder>,
    /// The module's own wake-ups that are not due yet.
    pub wakes: BTreeSet<(Duration, TimerId)>,
}

impl ActionDispatcher {
    /// Hosts the module for as long as the agent runs.
    pub async fn host(mut self, mut brain: DecisionEngine) {
        let queue = self.event_loop.queue.1.clone();
        let (event_loop, clock) = (self.event_loop.clone(), self.event_loop.clock);
        loop {
            let wake = self.wakes.first().map(|(at, _)| *at);
            let next = [wake, self.gate_host.next(), self.recorder.next()]
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
                .is_some_and(|(at, _)| *at + self.event_loop.slack < now)
            {
                count(Count::LateRounds);
            }
            count(Count::Rounds);
            self.wakes.retain(|(at, _)| *at > now);
            let (mut gate_host, recorder) =
                (std::mem::take(&mut self.gate_host), self.recorder.clone());
            recorder.advance(now);
            // The record's own time is none of the module's business.
            if first.is_none() && due.is_empty() && gate_host.next().is_none_or(|next| next > now) {
                self.gate_host = gate_host;
                continue;
            }
            brain.round(
                now,
                |module| {
                    let mut router = EventRouter {
                        module,
                        gate_host: &mut gate_host,
                        recorder: &recorder,
                        now,
                    };
                    router.advance();
                    first.into_iter().for_each(|call: Call| call(&mut router));
                    event_loop.drain(&mut router);
                    due.iter()
                        .for_each(|(_, ticket)| router.on_wake_up(*ticket));
                },
                &mut Round {
                    dispatcher: &mut self,
                    now,
                },
            );
            self.gate_host = gate_host;
        }
    }
}

/// The writer of one round.
struct Round<'a> {
    dispatcher: &'a mut ActionDispatcher,
    now: Duration,
}

impl Actions for Round<'_> {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, give_up_after: Duration) {
        count(Count::Attempts);
        let mut unanswered = self.dispatcher.event_loop.unanswered.borrow_mut();
        let Some(unanswered) = unanswered.get_mut(&id) else {
            return info!(
                "an attempt of request {}, which has had its answer, stays here",
                id.0
            );
        };
        let attempt = AttemptNumber(unanswered.attempts);
        unanswered.attempts += 1;
        let until = if give_up_after.is_zero() {
            unanswered.until
        } else {
            unanswered.until.min(self.now + give_up_after)
        };
        let encoded_request = unanswered.encoded_request.clone();
        self.dispatcher
            .recorder
            .put(self.now, RequestEvent::Attempt(id, attempt, to));
        self.dispatcher.upstream.clone().send_attempt(
            (id, attempt),
            to,
            encoded_request,
            self.now,
            until,
        );
    }

    fn reject(&mut self, id: RequestId, come_back_in: Duration) {
        self.dispatcher
            .recorder
            .put(self.now, RequestEvent::Closed(id));
        self.dispatcher
            .event_loop
            .answer(id, Answer::Declined(come_back_in));
        self.dispatcher
            .event_loop
            .unanswered
            .borrow_mut()
            .remove(&id);
    }

    fn fail(&mut self, id: RequestId) {
        self.dispatcher
            .recorder
            .put(self.now, RequestEvent::Closed(id));
        self.dispatcher.event_loop.answer(id, Answer::Voided);
        self.dispatcher
            .event_loop
            .unanswered
            .borrow_mut()
            .remove(&id);
    }

    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.dispatcher
            .recorder
            .book(|book| book.called_off(self.now, id, attempt));
        self.dispatcher.upstream.call_off((id, attempt));
    }

    fn schedule_wake_up(&mut self, at: Duration, ticket: TimerId) {
        self.dispatcher.wakes.insert((at, ticket));
    }

    fn check_health(&mut self, at: EndpointId) {
        self.dispatcher.upstream.clone().probe(at);
    }

    fn close_idle_connections(&mut self, at: EndpointId) {
        self.dispatcher.upstream.free_links(at);
    }

    fn send_to_peer(&mut self, peer: Option<AgentId>, octets: &[u8]) {
        if let Some(peers) = &self.dispatcher.peers {
            peers.tell(peer, octets);
        }
    }

    fn log(&mut self, text: &str) {
        self.dispatcher.recorder.book(|book| book.words(text));
        info!("{text}");
    }

    fn watch_endpoints(&mut self, on: bool) {
        self.dispatcher.discovery.watch(on);
    }

    fn fetch_endpoints(&mut self) {
        self.dispatcher.discovery.clone().fetch();
    }

    fn vote(&mut self, build: Build, stage: Stage, verdict: Vote) {
        self.dispatcher
            .recorder
            .book(|book| book.vote(self.now, build, stage, verdict));
        self.dispatcher.platform.clone().vote(build, stage, verdict);
    }

    fn note(&mut self, note: Note) {
        self.dispatcher
            .recorder
            .book(|book| book.note(self.now, note));
    }
}
