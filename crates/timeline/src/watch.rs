//! Owns the decision what is a departure, and whose: of a node, of most nodes of a build, or of the fleet. It weighs
//! each node against its own past and against what the others show now, with the tests of `detect`; it must never name
//! one trouble twice, nor blame a stage that only began beside it. What it needs to know it is told; it keeps no line.
//!
//! The rate of false events is set for the fleet: with K tests that run beside each other, each has `K x 3600 / rate`
//! seconds to its first false alarm at least, in the mean, as long as its premise holds. The premise, that a bad sign
//! is no likelier than `p0`, is where judgement lies: `p0` is half as much again as what is usual there, or as what the
//! others show now, whichever is more, and a floor above it.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::detect::{Bets, Detector};
use crate::entry::{Departure, Kind, Whom};
use crate::usual::{Sum, Usual};

/// How often `tick` is to be called; a gap of four of them means that the agent stood still.
pub const TICK: Duration = Duration::from_millis(250);
/// A bad sign is likelier than usual from half as much again on, and from so much above it: ordinary days swing.
const MORE: f64 = 1.5;
/// Looks that a usual share is drawn to the fleet's by, and that the fleet's needs before anything is said.
const DRAWN: f64 = 40.0;
/// Fewer looks of late than these say nothing of the others.
const FEW: f64 = 5.0;
/// An answer is late from this many times what is usual for its product at its node.
const LATE: f64 = 2.5;
/// Overdue from so many times the usual, and so much more.
const OVERDUE: (f64, Duration) = (6.0, Duration::from_millis(300));
/// A departure is said once it was sure for so long: what hits others too shows in them meanwhile.
const GATHERS: Duration = Duration::from_millis(500);
/// More traffic than usual, by this factor, excuses late answers: queues are no departure. So long after it, too.
const JUMP: f64 = 1.25;
const DRAINS: Duration = Duration::from_secs(6);
/// Most of a group: this share of those that get requests.
const MOST: f64 = 0.6;
/// A stage is named beside a departure that begins so soon after it.
const BESIDE: Duration = Duration::from_secs(20);
/// Back to the usual for so long ends a departure.
const CALM: Duration = Duration::from_secs(3);

/// What is set.
#[derive(Clone, Copy, Debug)]
pub struct Aims {
    /// False events an hour over all nodes, at most, in the mean.
    pub false_per_hour: f64,
    /// A node that started so lately may be slow.
    pub ramp: Duration,
    pub products: usize,
}

/// One signal: its test, and what is usual.
#[derive(Clone, Debug, Default)]
struct Signal {
    detector: Detector,
    usual: Usual,
    /// Since when its evidence suffices.
    sure: Option<Duration>,
    /// What its looks are weighed by until the next tick; not at all while too little is known.
    bets: Option<Bets>,
}

impl Signal {
    fn look(&mut self, now: Duration, yes: bool) {
        self.usual.look(now, yes);
        if let Some(bets) = &self.bets {
            self.detector.look(now, bets, yes);
        }
    }
}

/// The signals of a node, or of the fleet: by kind, then as a whole and by product.
#[derive(Clone, Debug)]
struct Signals {
    errors: Vec<Signal>,
    latency: Vec<Signal>,
    links: Signal,
    silence: Signal,
    load: Signal,
}

const KINDS: [Kind; 5] = [Kind::Silence, Kind::Links, Kind::Errors, Kind::Latency, Kind::Load];

impl Signals {
    fn new(products: usize) -> Self {
        let many = vec![Signal::default(); products + 1];
        let one = Signal::default;
        Signals { errors: many.clone(), latency: many, links: one(), silence: one(), load: one() }
    }

    /// As a whole first, then by product.
    fn of(&self, kind: Kind) -> &[Signal] {
        match kind {
            Kind::Errors => &self.errors,
            Kind::Latency => &self.latency,
            Kind::Links => std::slice::from_ref(&self.links),
            Kind::Silence => std::slice::from_ref(&self.silence),
            Kind::Load | Kind::Restart => std::slice::from_ref(&self.load),
        }
    }

    fn of_mut(&mut self, kind: Kind) -> &mut [Signal] {
        match kind {
            Kind::Errors => &mut self.errors,
            Kind::Latency => &mut self.latency,
            Kind::Links => std::slice::from_mut(&mut self.links),
            Kind::Silence => std::slice::from_mut(&mut self.silence),
            Kind::Load | Kind::Restart => std::slice::from_mut(&mut self.load),
        }
    }

    fn many(&self) -> usize {
        KINDS.iter().map(|kind| self.of(*kind).len()).sum()
    }
}

/// How far above the usual a bad sign must lie.
fn floor(kind: Kind) -> f64 {
    match kind {
        Kind::Errors => 0.03,
        Kind::Links => 0.001,
        Kind::Latency => 0.12,
        Kind::Silence => 0.002,
        Kind::Load | Kind::Restart => 0.1,
    }
}

struct Watched {
    build: u16,
    started: Option<Duration>,
    signals: Signals,
    /// What it takes, as a multiple of what is usual for the product.
    pace: Usual,
    /// Attempts out there: how many, and when the oldest was sent.
    out: BTreeMap<(u32, u8), Duration>,
    /// What is out there in the mean.
    usual_out: Usual,
    heard: Duration,
    looked: Duration,
    /// Open departures, by kind.
    open: BTreeMap<Kind, u32>,
    calm_since: Option<Duration>,
}

/// How an attempt ended, as far as a watch is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    Served,
    Failed,
    TurnedAway,
    /// Not connected, or broken.
    Unlinked,
    /// Given up without an answer: timed out, or called off.
    Unanswered,
    /// It never went.
    Unsent,
}

pub struct Watch {
    aims: Aims,
    nodes: BTreeMap<u32, Watched>,
    fleet: Signals,
    /// What the nodes of each build show; their tests are not used.
    builds: BTreeMap<u16, Signals>,
    /// What a product takes, in seconds.
    takes: Vec<Usual>,
    /// Attempts a tick.
    rate: Usual,
    sent: f64,
    jumped: Option<Duration>,
    began: Option<Duration>,
    ticked: Duration,
    woke: Duration,
    stage: Option<(u16, u8, Duration)>,
    open: BTreeMap<u32, Departure>,
    last: u32,
    said: Vec<(Departure, bool)>,
}

impl Watch {
    pub fn new(aims: Aims) -> Self {
        let fleet = Signals::new(aims.products);
        let takes = vec![Usual::default(); aims.products];
        let (nodes, builds, rate, sent, jumped, began, ticked, woke, stage, open, last, said) =
            Default::default();
        Watch {
            aims,
            nodes,
            fleet,
            builds,
            takes,
            rate,
            sent,
            jumped,
            began,
            ticked,
            woke,
            stage,
            open,
            last,
            said,
        }
    }

    /// The evidence, in seconds, from which on a test alarms.
    pub fn threshold(&self) -> f64 {
        let many = self.fleet.many() * (self.nodes.len() + 1);
        many as f64 * 3600.0 / self.aims.false_per_hour
    }

    /// A node is listed, or known in another state.
    pub fn listed(&mut self, now: Duration, node: u32, build: u16, started: Option<Duration>) {
        let products = self.aims.products;
        let fresh = || Watched {
            build,
            started,
            signals: Signals::new(products),
            pace: Usual::default(),
            out: BTreeMap::new(),
            usual_out: Usual::default(),
            heard: now,
            looked: Duration::ZERO,
            open: BTreeMap::new(),
            calm_since: None,
        };
        let Some(known) = self.nodes.get_mut(&node) else {
            self.nodes.insert(node, fresh());
            return;
        };
        if (known.build, known.started) == (build, started) {
            return;
        }
        // Another process: a new build is a release, the same one again is a restart, if nothing has said so already.
        let (same, told) = (known.build == build, !known.open.is_empty());
        self.close_all(now, node);
        self.nodes.insert(node, fresh());
        if same && !told {
            let onset = started.unwrap_or(now);
            let departure = self.departure(now, Whom::Node(node), Kind::Restart, None, (onset, 0.0, 1.0));
            self.said.push((Departure { ended: Some(now), ..departure }, true));
        }
    }

    /// A node is gone.
    pub fn gone(&mut self, now: Duration, node: u32) {
        self.close_all(now, node);
        self.nodes.remove(&node);
    }

    fn close_all(&mut self, now: Duration, node: u32) {
        let open: Vec<u32> =
            self.nodes.get(&node).map(|n| n.open.values().copied().collect()).unwrap_or_default();
        for number in open {
            if self.open.get(&number).is_some_and(|departure| departure.whom == Whom::Node(node)) {
                self.end(now, number);
            }
        }
    }

    /// A build's stage began.
    pub fn staged(&mut self, build: u16, stage: u8, since: Duration) {
        if self.stage.is_none_or(|(b, s, _)| (b, s) != (build, stage)) {
            self.stage = Some((build, stage, since));
        }
    }

    pub fn sent(&mut self, now: Duration, node: u32, which: (u32, u8)) {
        self.sent += 1.0;
        if let Some(watched) = self.nodes.get_mut(&node) {
            watched.out.insert(which, now);
        }
    }

    /// How an attempt ended, and what it took since it was sent. Returns whether it was late.
    pub fn ended(
        &mut self, now: Duration, node: u32, which: (u32, u8), product: u8, how: Ended, took: Duration,
    ) -> bool {
        let Some(watched) = self.nodes.get_mut(&node) else { return false };
        let sent = watched.out.remove(&which).unwrap_or_else(|| now.saturating_sub(took));
        if how == Ended::Unsent {
            return false;
        }
        if !matches!(how, Ended::Unanswered) {
            watched.heard = watched.heard.max(now);
        }
        let young = watched.started.is_some_and(|at| sent < at + self.aims.ramp * 9 / 8);
        let blurred = sent < self.woke;
        let unheard = watched.heard < sent;
        let fine = usize::from(product) < self.aims.products;
        let place = usize::from(product) + 1;
        let mut late = false;
        let mut looks = [(Kind::Links, 0, how == Ended::Unlinked); 6];
        let mut many = 1;
        let mut put = |kind, place, yes| {
            looks[many] = (kind, place, yes);
            many += 1;
        };
        match how {
            Ended::Served | Ended::Failed => {
                put(Kind::Silence, 0, false);
                put(Kind::Errors, 0, how == Ended::Failed);
                if fine {
                    put(Kind::Errors, place, how == Ended::Failed);
                }
            }
            Ended::Unanswered if !blurred && unheard => put(Kind::Silence, 0, true),
            _ => {}
        }
        if how == Ended::Served && fine && !blurred {
            let takes = &mut self.takes[usize::from(product)];
            let secs = took.as_secs_f64();
            let usual = takes.share(secs, 1.0);
            let known = takes.looks() >= DRAWN / 2.0;
            takes.put(now, Sum { yes: secs, all: 1.0 });
            let ratio = secs / usual.max(1e-6);
            late = known && ratio > LATE * watched.pace.share(1.0, DRAWN / 2.0);
            watched.pace.put(now, Sum { yes: ratio, all: 1.0 });
            if known && !young {
                put(Kind::Latency, 0, late);
                put(Kind::Latency, place, late);
            }
        }
        // Who gave up says nothing of the link.
        let from = usize::from(how == Ended::Unanswered);
        self.look(now, node, &looks[from..many]);
        late
    }

    fn excused(&self, now: Duration, kind: Kind) -> bool {
        matches!(kind, Kind::Latency | Kind::Load | Kind::Silence)
            && self.jumped.is_some_and(|at| now < at + DRAINS)
    }

    /// What a bad sign is as likely as at most, for a node or for the fleet; nothing while too little is known.
    fn premise(&self, now: Duration, node: Option<u32>, kind: Kind, place: usize) -> Option<f64> {
        let fleet = &self.fleet.of(kind)[place].usual;
        if fleet.looks() < DRAWN || self.excused(now, kind) {
            return None;
        }
        let prior = fleet.share(0.0, 1.0);
        let above = |share: f64| share * MORE + floor(kind);
        let Some(node) = node else { return Some(above(prior)) };
        let watched = self.nodes.get(&node)?;
        let own = &watched.signals.of(kind)[place].usual;
        let share = own.share(prior, DRAWN);
        let spread = (share * (1.0 - share) / (own.looks() + DRAWN)).sqrt();
        // Against the nodes of other builds; a handful of looks says little of them, then against all others.
        let all = fleet.lately(now);
        let but = |some: Sum| Sum { yes: all.yes - some.yes, all: all.all - some.all };
        let build = self.builds.get(&watched.build).map(|of| but(of.of(kind)[place].usual.lately(now)));
        let others = build.filter(|others| others.all >= FEW).unwrap_or_else(|| but(own.lately(now)));
        let now_there = if others.all >= FEW { others.yes / others.all } else { 0.0 };
        Some(above(share + 2.0 * spread).max(above(now_there)))
    }

    /// Takes looks at a node: kinds, places, and whether each is a bad sign.
    fn look(&mut self, now: Duration, node: u32, looks: &[(Kind, usize, bool)]) {
        let Some(watched) = self.nodes.get_mut(&node) else { return };
        watched.looked = now;
        let products = self.aims.products;
        let build = self.builds.entry(watched.build).or_insert_with(|| Signals::new(products));
        for &(kind, place, yes) in looks {
            build.of_mut(kind)[place].usual.look(now, yes);
            watched.signals.of_mut(kind)[place].look(now, yes);
            self.fleet.of_mut(kind)[place].look(now, yes);
        }
    }

    /// Works out what looks are weighed by until the next tick, from what came before.
    fn weigh(&mut self, now: Duration) {
        let bets = |p0: Option<f64>| p0.map(Bets::new);
        let nodes: Vec<u32> = self.nodes.keys().copied().collect();
        for kind in KINDS {
            for place in 0..self.fleet.of(kind).len() {
                self.fleet.of_mut(kind)[place].bets = bets(self.premise(now, None, kind, place));
                for &node in &nodes {
                    let bets = bets(self.premise(now, Some(node), kind, place));
                    if let Some(watched) = self.nodes.get_mut(&node) {
                        watched.signals.of_mut(kind)[place].bets = bets;
                    }
                }
            }
        }
    }

    /// To be called every [`TICK`]. Returns how long the agent stood still before, if it did.
    pub fn tick(&mut self, now: Duration) -> Option<Duration> {
        let began = *self.began.get_or_insert(now);
        let passed = now.saturating_sub(std::mem::replace(&mut self.ticked, now));
        let stood = (now > began && passed >= TICK * 4).then_some(passed);
        if stood.is_some() {
            self.woke = now;
        }
        let rate = Sum { yes: std::mem::take(&mut self.sent), all: passed.as_secs_f64().clamp(1e-3, 1.0) };
        if stood.is_none() && now > began {
            self.rate.put(now, rate);
            let lately = self.rate.lately(now);
            let usual = self.rate.share(0.0, 1e-6);
            if self.rate.learned().all > 4.0 && lately.yes / lately.all.max(1e-3) > JUMP * usual + 2.0 {
                self.jumped = Some(now);
            }
        }
        self.overdue(now, stood.is_some());
        self.learn(now);
        self.weigh(now);
        self.decide(now);
        self.calm(now);
        stood
    }

    /// Looks at what is out: whether a node owes a sign of life, and whether more is there than its share.
    fn overdue(&mut self, now: Duration, stood: bool) {
        let usual = self.takes.iter().map(|takes| takes.share(0.0, 1e-3)).fold(0.0, f64::max);
        let total: usize = self.nodes.values().map(|watched| watched.out.len()).sum();
        let many = self.nodes.len().max(1);
        let mut looks = Vec::new();
        for (&node, watched) in &mut self.nodes {
            let out = watched.out.len();
            let mean = watched.usual_out.share(1.0, 4.0);
            watched.usual_out.put(now, Sum { yes: out as f64, all: 1.0 });
            let others = (total - out) as f64 / (many - 1).max(1) as f64;
            if out > 0 {
                looks.push((node, Kind::Load, out >= 4 && out as f64 > 3.0 * mean.max(others).max(1.0)));
            }
            let Some(oldest) = watched.out.values().min().copied() else { continue };
            let pace = watched.pace.share(1.0, DRAWN / 2.0).max(1.0);
            let patience = Duration::from_secs_f64((usual * pace * OVERDUE.0).min(60.0)) + OVERDUE.1;
            let since = oldest.max(self.woke);
            let owes = watched.heard < oldest && now >= since + patience;
            // Answers are the looks at which nothing is owed; while nothing is overdue yet there is nothing to see.
            if owes {
                looks.push((node, Kind::Silence, true));
            }
        }
        for (node, kind, yes) in looks.into_iter().filter(|_| !stood) {
            self.look(now, node, &[(kind, 0, yes)]);
        }
    }

    fn learn(&mut self, now: Duration) {
        self.rate.learn(now, false);
        self.takes.iter_mut().for_each(|takes| takes.learn(now, false));
        let held = |open: &BTreeMap<Kind, u32>, kind: Kind| open.contains_key(&kind);
        let some = self.threshold().sqrt();
        let running: BTreeSet<u16> = self.nodes.values().map(|watched| watched.build).collect();
        self.builds.retain(|build, _| running.contains(build));
        for build in self.builds.values_mut() {
            // Only what is of late counts there.
            for kind in KINDS {
                build.of_mut(kind).iter_mut().for_each(|signal| signal.usual.learn(now, true));
            }
        }
        for watched in self.nodes.values_mut() {
            watched.pace.learn(now, held(&watched.open, Kind::Latency));
            watched.usual_out.learn(now, !watched.open.is_empty());
            for kind in KINDS {
                // What is suspect is not learned as usual.
                let suspect =
                    watched.signals.of(kind).iter().any(|signal| signal.detector.evidence() >= some);
                let held = held(&watched.open, kind) || suspect;
                watched.signals.of_mut(kind).iter_mut().for_each(|signal| signal.usual.learn(now, held));
            }
        }
        for kind in KINDS {
            let held = self.open.values().any(|open| open.whom == Whom::Fleet && open.kind == kind);
            self.fleet.of_mut(kind).iter_mut().for_each(|signal| signal.usual.learn(now, held));
        }
    }

    /// Says what has become sure.
    fn decide(&mut self, now: Duration) {
        let enough = self.threshold();
        let mut ripe = Vec::new();
        for (&node, watched) in &mut self.nodes {
            for kind in KINDS {
                for signal in watched.signals.of_mut(kind) {
                    let sure = signal.detector.evidence() >= enough;
                    signal.sure = if sure { signal.sure.or(Some(now)) } else { None };
                }
                let since = watched.signals.of(kind).iter().filter_map(|signal| signal.sure).min();
                let quiet = !watched.open.contains_key(&kind) && !masked(&watched.open, kind);
                if quiet && since.is_some_and(|at| now >= at + GATHERS) {
                    ripe.push((node, kind));
                }
            }
        }
        for (node, kind) in ripe {
            // An earlier one of this round may have taken it in.
            let open = self.nodes.get(&node).map(|watched| &watched.open);
            if open.is_some_and(|open| !open.contains_key(&kind) && !masked(open, kind)) {
                self.say(now, node, kind, enough);
            }
        }
        for kind in KINDS {
            let enough_here = self.fleet.of(kind).iter().any(|signal| signal.detector.evidence() >= enough);
            let open = self.open.values().any(|open| open.kind == kind);
            if enough_here && !open && kind != Kind::Load {
                // Those that show more of it now than the fleet ever should: against each other they look alike.
                let usual = self.premise(now, None, kind, 0).unwrap_or(1.0);
                let shows = |node: &u32| {
                    let lately = self.nodes[node].signals.of(kind)[0].usual.lately(now);
                    lately.yes > usual * lately.all
                };
                let members: Vec<u32> = self.active(now).filter(shows).collect();
                let active = self.active(now).count();
                if active >= 3 && members.len() as f64 >= MOST * active as f64 {
                    let figures = self.figures(&self.fleet, kind, 0, now);
                    self.open_up(now, Whom::Fleet, kind, None, figures, &members);
                }
            }
        }
    }

    fn active(&self, now: Duration) -> impl Iterator<Item = u32> {
        let lately = move |(node, watched): (&u32, &Watched)| (watched.looked + CALM > now).then_some(*node);
        self.nodes.iter().filter_map(lately)
    }

    /// Nodes of which there is some evidence.
    fn suspects(&self, now: Duration, kind: Kind, some: f64) -> impl Iterator<Item = u32> {
        self.active(now).filter(move |node| {
            let signals = self.nodes.get(node).map(|watched| watched.signals.of(kind));
            signals.is_some_and(|signals| signals.iter().any(|signal| signal.detector.evidence() >= some))
        })
    }

    /// Whose departure it is: the fleet's or the build's, if most others there are suspect too.
    fn say(&mut self, now: Duration, node: u32, kind: Kind, enough: f64) {
        let suspects: BTreeSet<u32> = self.suspects(now, kind, enough.sqrt()).collect();
        let active: Vec<u32> = self.active(now).collect();
        let build_of = |node: &u32| self.nodes.get(node).map(|watched| watched.build);
        let Some(build) = build_of(&node) else { return };
        // One that goes on already takes it in.
        let takes_in =
            |open: &&Departure| open.kind == kind && [Whom::Fleet, Whom::Build(build)].contains(&open.whom);
        if let Some(number) = self.open.values().find(takes_in).map(|open| open.number) {
            if let Some(watched) = self.nodes.get_mut(&node) {
                watched.open.insert(kind, number);
            }
            return;
        }
        let mates: Vec<u32> = active.iter().copied().filter(|node| build_of(node) == Some(build)).collect();
        let many = |of: &[u32]| of.iter().filter(|node| suspects.contains(node)).count();
        let most = |of: &[u32]| many(of) as f64 >= MOST * of.len() as f64;
        let beyond = active.len() - mates.len();
        let (whom, members) =
            if active.len() >= 3 && most(&active) && (beyond == 0 || many(&active) > many(&mates)) {
                (Whom::Fleet, suspects.iter().copied().collect())
            } else if mates.len() >= 2 && many(&mates) >= 2 && most(&mates) && beyond > 0 {
                (Whom::Build(build), mates.iter().copied().filter(|node| suspects.contains(node)).collect())
            } else {
                (Whom::Node(node), vec![node])
            };
        let Some(watched) = self.nodes.get(&node) else { return };
        let place = alone(watched.signals.of(kind), enough.sqrt());
        let figures = self.figures(&watched.signals, kind, place, now);
        let product = place.checked_sub(1).map(|product| product as u8);
        self.open_up(now, whom, kind, product, figures, &members);
    }

    /// When it seems to have begun, and the usual and the present share.
    fn figures(&self, signals: &Signals, kind: Kind, place: usize, now: Duration) -> (Duration, f64, f64) {
        let signal = &signals.of(kind)[place];
        let prior = self.fleet.of(kind)[place].usual.share(0.0, 1.0);
        let (onset, seen) = signal.detector.onset();
        (onset.min(now), signal.usual.share(prior, DRAWN), seen)
    }

    fn departure(
        &mut self, now: Duration, whom: Whom, kind: Kind, product: Option<u8>,
        (onset, usual, seen): (Duration, f64, f64),
    ) -> Departure {
        let number = self.last;
        self.last += 1;
        let near = |at: Duration| at <= now && onset + TICK * 8 >= at && onset <= at + BESIDE;
        let beside = self.stage.filter(|(.., at)| near(*at)).map(|(build, stage, _)| (build, stage));
        Departure { number, whom, kind, product, onset, confirmed: now, ended: None, usual, seen, beside }
    }

    fn open_up(
        &mut self, now: Duration, whom: Whom, kind: Kind, product: Option<u8>, figures: (Duration, f64, f64),
        members: &[u32],
    ) {
        let departure = self.departure(now, whom, kind, product, figures);
        for member in members {
            if let Some(watched) = self.nodes.get_mut(member) {
                watched.open.entry(kind).or_insert(departure.number);
                watched.calm_since = None;
            }
        }
        self.said.push((departure.clone(), true));
        self.open.insert(departure.number, departure);
    }

    /// Ends what is back to the usual.
    fn calm(&mut self, now: Duration) {
        let mut back: BTreeMap<u32, bool> = BTreeMap::new();
        let numbers: Vec<(u32, Kind)> = self.open.iter().map(|(number, open)| (*number, open.kind)).collect();
        for (number, kind) in numbers {
            let members: Vec<u32> = self
                .nodes
                .iter()
                .filter(|(_, w)| w.open.get(&kind) == Some(&number))
                .map(|(n, _)| *n)
                .collect();
            let calm = members.iter().filter(|node| self.is_calm(now, **node, kind)).count();
            // A group is back once most of its members are.
            back.insert(number, calm as f64 >= MOST * members.len() as f64);
        }
        for (number, is_back) in back {
            let Some(open) = self.open.get(&number) else { continue };
            let kind = open.kind;
            let since = {
                let member = self.nodes.values_mut().find(|w| w.open.get(&kind) == Some(&number));
                let Some(member) = member else {
                    self.end(now, number);
                    continue;
                };
                member.calm_since = if is_back { member.calm_since.or(Some(now)) } else { None };
                member.calm_since
            };
            if since.is_some_and(|since| now >= since + CALM) {
                self.end(now, number);
            }
        }
    }

    fn is_calm(&self, now: Duration, node: u32, kind: Kind) -> bool {
        let Some(watched) = self.nodes.get(&node) else { return true };
        if kind == Kind::Silence {
            return watched.heard + TICK * 4 > now;
        }
        watched.signals.of(kind).iter().enumerate().all(|(place, signal)| {
            let lately = signal.usual.lately(now);
            let prior = self.fleet.of(kind)[place].usual.share(0.0, 1.0);
            let p0 = signal.usual.share(prior, DRAWN) * MORE + floor(kind);
            lately.all > 0.0 && lately.yes <= p0 * lately.all + 1.0 || (place > 0 && lately.all == 0.0)
        })
    }

    fn end(&mut self, now: Duration, number: u32) {
        let Some(mut departure) = self.open.remove(&number) else { return };
        departure.ended = Some(now);
        for watched in self.nodes.values_mut() {
            if watched.open.get(&departure.kind) == Some(&number) {
                watched.open.remove(&departure.kind);
                watched.calm_since = None;
                for signal in watched.signals.of_mut(departure.kind) {
                    (signal.detector, signal.sure) = Default::default();
                }
            }
        }
        for signal in self.fleet.of_mut(departure.kind) {
            (signal.detector, signal.sure) = Default::default();
        }
        self.said.push((departure, false));
    }

    /// What was said since the last look: departures that were confirmed (true), and that have ended.
    pub fn said(&mut self) -> Vec<(Departure, bool)> {
        std::mem::take(&mut self.said)
    }

    /// Departures that go on.
    pub fn open(&self) -> impl Iterator<Item = &Departure> {
        self.open.values()
    }

    pub fn octets_a_node(&self) -> usize {
        self.fleet.many() * (size_of::<Signal>() + 12 * size_of::<(Duration, Sum)>()) + size_of::<Watched>()
    }
}

/// Whether an open departure explains one of another kind: what is silent is also loaded, what is slow piles up.
fn masked(open: &BTreeMap<Kind, u32>, kind: Kind) -> bool {
    let by: &[Kind] = match kind {
        Kind::Load => &[Kind::Silence, Kind::Links, Kind::Latency, Kind::Errors],
        Kind::Latency | Kind::Errors => &[Kind::Silence, Kind::Links],
        Kind::Links => &[Kind::Silence],
        Kind::Silence => &[Kind::Links],
        Kind::Restart => &[],
    };
    by.iter().any(|kind| open.contains_key(kind))
}

/// The place of the one product that shows it, where the others show nothing of it; else that of all.
fn alone(signals: &[Signal], some: f64) -> usize {
    let shows = |place: &usize, some: f64| signals[*place].detector.evidence() >= some;
    let products: Vec<usize> = (1..signals.len()).filter(|place| shows(place, some)).collect();
    let others: Vec<usize> = (1..signals.len()).filter(|place| !products.contains(place)).collect();
    let seen = others.iter().any(|place| signals[*place].usual.looks() >= DRAWN / 2.0);
    match products[..] {
        [place] if seen && !others.iter().any(|place| shows(place, some.sqrt())) => place,
        _ => 0,
    }
}
