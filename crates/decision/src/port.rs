//! The interface of the decision module: ids, plain enums, what the module hears and what it decides.
//! Nothing here decides anything. Times are spans since the start.
use std::sync::Arc;
use std::time::Duration;

use crate::openings::Openings;

macro_rules! ids {
    ($($(#[$doc:meta])* $name:ident($inner:ty);)*) => {$(
        $(#[$doc])*
        #[derive(Clone, Copy, Debug, Default, PartialEq, Eq, PartialOrd, Ord, Hash)]
        pub struct $name(pub $inner);
    )*};
}

ids! {
    /// One try of a client; never used again.
    RequestId(u32);
    /// A process that serves requests; the number outlives a restart.
    ApplianceId(u32);
    /// An agent among its peers, counting from 0.
    AgentId(u32);
    /// A class of requests, as its place in the list of products.
    Product(u8);
    /// A customer with a share of its own, as its place in the list.
    Tenant(u16);
    /// A place where machines stand together.
    Zone(u8);
    /// A type of machine.
    Model(u8);
    /// A small group of appliances that tell each other which marks they have seen.
    Cell(u16);
    /// A version of the appliances' software; later ones are higher.
    Build(u16);
    /// A step of a build's way in, counting from 0.
    Stage(u8);
    /// What a request concerns.
    Mark(u64);
    /// Which attempt of a request, counting from 0.
    AttemptNumber(u8);
    /// Names a wake-up asked for earlier.
    Ticket(u64);
}

/// Which appliances drop a repeat of a referenced request.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Group {
    All,
    Zone,
    Cell,
}

/// What may be done again with a request of a product.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Repeat {
    InquiryLike,
    Referenced(Group),
    OnceOnly,
}

/// How an attempt or a call ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ending {
    Served,
    Failed,
    TurnedAway,
    TimedOut,
    Unconnected,
    Broken,
    /// What came back is no answer: it has run, and nobody knows how it ended.
    Spoilt,
    CalledOff,
    Unsent,
}

impl Ending {
    /// Whether the request may have run there; the other endings prove that it never did.
    pub fn may_have_run(self) -> bool {
        !matches!(
            self,
            Ending::TurnedAway | Ending::Unconnected | Ending::Unsent
        )
    }
}

/// What the membership list says of an appliance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Mode {
    Ready,
    Draining,
    Gone,
}

/// How a membership update is to be read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Listing {
    Changes,
    Whole,
    Saved,
    Failed,
}

/// Where a build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Course {
    OnTrial,
    GoingBack,
    Released,
    Withdrawn,
}

/// What moves a build through its stages.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Gate {
    Single,
    Majority,
    Clocked,
}

#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Verdict {
    Withdraw,
    On,
    Hold,
    Back,
}

/// A request as its client sent it.
#[derive(Clone, Copy, Debug)]
pub struct Request {
    pub product: Product,
    pub tenant: Tenant,
    pub mark: Option<Mark>,
    /// When the client gives this try up.
    pub deadline: Duration,
    /// Rough work on a yardstick core.
    pub hint: Option<Duration>,
    pub repeated: bool,
}

/// What is agreed for the requests of one product.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    pub repeat: Repeat,
    /// An answer inside this time earns the whole revenue.
    pub sla: Duration,
    /// How long a client waits at most, over all its tries.
    pub deadline: Duration,
    /// For referenced products: how long repeats are dropped, from the first attempt that may have run.
    pub remembered: Duration,
    pub revenue: f64,
    /// Share of the revenue for an answer after the SLA time.
    pub late_share: f64,
}

/// How long a vote stands, and how long the answer to its call may take.
#[derive(Clone, Copy, Debug)]
pub struct Calls {
    pub lasts: Duration,
    pub wait: Duration,
}

/// An agent's place among all agents, and whether it may send them messages.
#[derive(Clone, Copy, Debug)]
pub struct Among {
    pub me: AgentId,
    pub agents: u32,
    pub may_tell: bool,
}

/// A line of the membership list.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Line {
    pub appliance: ApplianceId,
    pub mode: Mode,
    pub model: Model,
    pub weight: f32,
    /// When it last started; `None` for long ago.
    pub started: Option<Duration>,
    pub build: Build,
    pub cell: Cell,
    pub zone: Zone,
}

/// Everything an agent can hear in a round, one method an event, in the order of the events. What a module
/// has no use for, it need not hear.
pub trait Hears {
    fn request(&mut self, id: RequestId, request: Request);
    fn ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        at: ApplianceId,
        ending: Ending,
        took: Duration,
        closed: bool,
    );
    fn stream_begun(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        at: ApplianceId,
        took: Duration,
    );
    fn client_left(&mut self, id: RequestId);
    /// Asks whether an attempt may still go that waited for its connection. If not, it ends as unsent.
    fn may_go(&mut self, id: RequestId, attempt: AttemptNumber) -> bool;
    /// `lines` are the entries of this update, none if it failed.
    fn membership(&mut self, listing: Listing, lines: &mut dyn Iterator<Item = Line>);
    fn load(&mut self, _at: ApplianceId, _gauges: &[f32]) {}
    fn probed(&mut self, _at: ApplianceId, _ending: Ending, _took: Duration) {}
    fn peer(&mut self, _from: AgentId, _octets: &[u8]) {}
    /// News of the newest build; `answer` if it answers a vote, with how the vote's call ended.
    fn stage(&mut self, build: Build, stage: Stage, course: Course, cap: f64, age: Duration);
    fn vote_answered(&mut self, ending: Ending);
    /// The platform's own count of a past period.
    fn tally(
        &mut self,
        _build: Build,
        _product: Product,
        _count: u32,
        _failed: u32,
        _mean: Duration,
        _age: Duration,
    ) {
    }
    /// What the operator's own rules leave open from now on; with none, they close nothing.
    fn openings(&mut self, _open: Option<Arc<Openings>>) {}
    fn wrong_answer(&mut self, at: ApplianceId, product: Product, sent_ago: Duration);
    /// The agent ends: no answer may be later than this moment.
    fn ends(&mut self, _last: Duration) {}
    fn woken(&mut self, _ticket: Ticket) {}
}

/// Something that the module notes by the way, for whoever keeps a record. Nothing depends on it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Note {
    /// An appliance is left alone, why, and until when it is not even tried.
    Barred {
        at: ApplianceId,
        why: &'static str,
        until: Duration,
    },
    /// One that was left alone is tried with a request.
    Tried(ApplianceId),
    Unbarred(ApplianceId),
    /// A request is given up, by reason.
    GivenUp(&'static str),
}

/// Takes the module's decisions as they are made, one method a decision.
pub trait Decisions {
    fn send_attempt(&mut self, id: RequestId, to: ApplianceId, give_up_after: Duration);
    fn decline(&mut self, id: RequestId, come_back_in: Duration);
    fn void(&mut self, id: RequestId);
    fn call_off(&mut self, id: RequestId, attempt: AttemptNumber);
    fn wake(&mut self, at: Duration, ticket: Ticket);
    fn probe(&mut self, at: ApplianceId);
    fn free_links(&mut self, at: ApplianceId);
    /// To one peer, or to all of them.
    fn tell(&mut self, peer: Option<AgentId>, octets: &[u8]);
    fn log(&mut self, text: &str);
    fn watch_membership(&mut self, on: bool);
    fn fetch_membership(&mut self);
    fn vote(&mut self, build: Build, stage: Stage, verdict: Verdict);
    fn note(&mut self, _note: Note) {}
}
