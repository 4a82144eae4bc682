//! All decisions of an agent. Make the parts from what the deployment is told at its start, put them
//! together with [`Brain::new`], then call [`Brain::round`] once a round with all that came in; decisions go
//! straight into the writer passed along. What is heard and decided is defined in `port.rs`; why things are
//! decided so, in `docs/design.md`.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::port::*;

/// A sum whose older parts fade, brought up to date when it is read.
#[derive(Clone, Copy, Default)]
struct Fading {
    sum: f64,
    at: Duration,
}

impl Fading {
    fn read(&self, now: Duration, half: Duration) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / half.as_secs_f64()).exp2()
    }
    fn add(&mut self, now: Duration, half: Duration, x: f64) {
        *self = Fading { sum: self.read(now, half) + x, at: now };
    }
}

/// Outcomes and times fade by half in this long: a few answers of a small agent's share of an appliance.
const RECENT: Duration = Duration::from_secs(1);
/// What is usual fades by half in this long.
const USUAL: Duration = Duration::from_secs(10);

/// A submission that is out.
struct Out {
    sent: Duration,
    work: f64,
    product: Product,
    build: Build,
    /// Sent to an appliance too young, or too suspect, to be evidence.
    mute: bool,
}

/// What this agent has seen of an appliance since it last started.
#[derive(Default)]
struct Record {
    answers: Fading,
    fails: Fading,
    /// Time taken and hinted work of served submissions: of late, and in the long run.
    recent: (Fading, Fading),
    usual: (Fading, Fading),
    /// Its last sign of life, and when the latest of the submissions it has answered was sent.
    heard: Duration,
    passed: Duration,
    /// While above 0 it is barred, until the time beside it; after that, one submission at a time may try it.
    bar: Duration,
    barred_until: Duration,
}

struct Appliance {
    line: Line,
    record: Record,
    out: BTreeMap<(TxnId, Leg), Out>,
    /// Work sent while it may be cold.
    pushed: VecDeque<(Duration, f64)>,
}

impl Appliance {
    fn age(&self, now: Duration) -> Option<Duration> {
        self.line.started.map(|s| now.saturating_sub(s))
    }

    fn barred(&self) -> bool {
        !self.record.bar.is_zero()
    }

    /// Its own pace, drawn to the usual one while it has answered little of late. Silence counts before any
    /// answer does, unless what was sent later has come back.
    fn pace(&self, now: Duration, usual_pace: f64, usual_work: f64) -> f64 {
        let (took, worked) = self.record.recent;
        let prior = 2.0 * usual_work;
        let stall = |o: &Out| now.saturating_sub(o.sent).as_secs_f64() / o.work.max(usual_work);
        let fresh = self.out.values().filter(|o| o.sent > self.record.passed);
        let stalled = fresh.map(stall).fold(0.0, f64::max) / 3.0;
        stalled.max((took.read(now, RECENT) + prior * usual_pace) / (worked.read(now, RECENT) + prior))
    }

    /// Its own pace in the long run, drawn to that of all while it is little known.
    fn usual_pace(&self, now: Duration, all: f64) -> f64 {
        let (took, worked) = self.record.usual;
        ((took.read(now, USUAL) + all) / (worked.read(now, USUAL) + 1.0)).max(1e-3)
    }

    fn failing(&self, now: Duration) -> f64 {
        self.record.fails.read(now, RECENT) / (self.record.answers.read(now, RECENT) + 1.0)
    }

    /// Leaves it alone for a while, twice as long each time in a row.
    fn strike(&mut self, now: Duration) {
        if now >= self.record.barred_until {
            self.record.bar = (self.record.bar * 2).clamp(RECENT, RECENT * 8);
            self.record.barred_until = now + self.record.bar;
        }
    }
}

/// The appliances that the agent's own list names, and the list's upkeep.
pub struct Roster {
    zone: Zone,
    ask_within: Duration,
    ask_at: Option<Duration>,
    ask_pause: Duration,
    known: BTreeMap<ApplianceId, Appliance>,
}

impl Roster {
    /// `ask_within` is given where the list comes only when asked for.
    pub fn new(zone: Zone, ask_within: Option<Duration>) -> Self {
        let ask_at = ask_within.map(|_| Duration::ZERO);
        let ask_within = ask_within.unwrap_or_default();
        Roster { zone, ask_within, ask_at, ask_pause: ask_within / 20, known: BTreeMap::new() }
    }

    fn update(&mut self, now: Duration, listing: Listing, lines: &mut dyn Iterator<Item = Line>) {
        if listing == Listing::Failed {
            // Guards against a lost subscription, and against a storm of calls on a service that is down.
            self.ask_at = (!self.ask_within.is_zero()).then_some(now + self.ask_pause);
            self.ask_pause = (self.ask_pause * 2).min(self.ask_within / 4);
            return;
        }
        self.ask_pause = self.ask_within / 20;
        let whole = listing != Listing::Changes;
        let mut missing: BTreeSet<_> = self.known.keys().copied().filter(|_| whole).collect();
        for line in lines {
            missing.remove(&line.appliance);
            let fresh = || {
                let (record, out, pushed) = Default::default();
                Appliance { line, record, out, pushed }
            };
            let a = self.known.entry(line.appliance).or_insert_with(fresh);
            if a.line.started != line.started || a.line.build != line.build {
                a.record = Record::default();
            }
            a.line = line;
        }
        for id in missing {
            self.known.entry(id).and_modify(|a| a.line.mode = Mode::Gone);
        }
    }

    fn ready(&self) -> impl Iterator<Item = (ApplianceId, &Appliance)> {
        self.known.iter().filter(|(_, a)| a.line.mode == Mode::Ready).map(|(&id, a)| (id, a))
    }

    /// Usual time taken for each unit of hinted work, over the appliances that the filter takes.
    fn pace(&self, now: Duration, of: impl Fn(&Appliance) -> bool) -> Option<f64> {
        let sums = self.ready().filter(|(_, a)| of(a)).fold((0.0, 0.0), |(t, w), (_, a)| {
            (t + a.record.usual.0.read(now, USUAL), w + a.record.usual.1.read(now, USUAL))
        });
        (sums.1 > 0.0).then(|| sums.0 / sums.1)
    }

    /// How far the others that run the same build fail; none if there are no others.
    fn mates_failing(&self, now: Duration, at: ApplianceId, build: Build) -> Option<f64> {
        let mates = self.ready().filter(|(id, a)| *id != at && a.line.build == build);
        let (many, sum) = mates.fold((0.0, 0.0), |(n, s), (_, a)| (n + 1.0, s + a.failing(now)));
        (many > 0.0).then(|| sum / many)
    }
}

/// Keeps cold appliances from being pushed over.
pub struct Thaw {
    cold_from: f64,
    ramp: Duration,
    multiple: f64,
    span: Duration,
}

impl Thaw {
    pub fn new(cold_from: f64, ramp: Duration, multiple: f64, span: Duration) -> Self {
        Thaw { cold_from, ramp, multiple, span }
    }

    /// The least share of its full capacity that an appliance can have now.
    fn warmth(&self, age: Option<Duration>) -> f64 {
        let Some(age) = age.filter(|&a| a < self.ramp) else { return 1.0 };
        self.cold_from + (1.0 - self.cold_from) * age.as_secs_f64() / self.ramp.as_secs_f64()
    }

    /// Whether this much more work keeps this agent's part of the budget. The part is what the agent would
    /// send a warm appliance of that weight: whatever all agents do, their parts add up to what such an
    /// appliance is seen to bear, without knowing the others' traffic.
    fn bears(&self, now: Duration, a: &Appliance, fair_rate: f64, work: f64) -> bool {
        let warmth = self.warmth(a.age(now));
        if warmth >= 1.0 {
            return true;
        }
        let sent: f64 = a.pushed.iter().filter(|(t, _)| *t + self.span >= now).map(|(_, w)| w).sum();
        let budget = 0.9 * self.multiple * warmth * fair_rate * self.span.as_secs_f64();
        sent + work <= budget || (sent == 0.0 && a.out.is_empty())
    }

    fn note(&self, now: Duration, a: &mut Appliance, work: f64) {
        if self.warmth(a.age(now)) < 1.0 {
            a.pushed.retain(|(t, _)| *t + self.span >= now);
            a.pushed.push_back((now, work));
        }
    }
}

/// Keeps what is sent to builds on trial within the cap.
pub struct Exposure {
    span: Duration,
    tick: Duration,
    free: f64,
    first_cap: f64,
    per_product: bool,
    guarded: u8,
    forward_only: bool,
    started: Option<Duration>,
    news: Option<(Build, Stage, Course, f64)>,
    taken: VecDeque<(Duration, Product)>,
    sent: VecDeque<(Duration, Product, Build)>,
    answered: BTreeSet<Mark>,
}

impl Exposure {
    pub fn new(
        span: Duration, tick: Duration, free: f64, first_cap: f64, per_product: bool, guarded: u8,
        forward_only: bool,
    ) -> Self {
        let (taken, sent) = (VecDeque::new(), VecDeque::new());
        let (started, news, answered) = (None, None, BTreeSet::new());
        Exposure {
            span,
            tick,
            free,
            first_cap,
            per_product,
            guarded,
            forward_only,
            started,
            news,
            taken,
            sent,
            answered,
        }
    }

    /// The stage and cap that bind for a build; nothing if it is not on trial.
    fn bound(&self, build: Build) -> Option<(Stage, f64)> {
        match self.news {
            Some((b, ..)) if build < b => None,
            Some((b, _, Course::Released, _)) if build == b => None,
            Some((b, stage, Course::OnTrial, cap)) if build == b => Some((stage, cap)),
            Some((b, stage, ..)) if build == b => Some((stage, 0.0)),
            _ => Some((Stage(0), self.first_cap)),
        }
    }

    fn permits(
        &self, now: Duration, build: Build, product: Product, repeat: Repeat, mark: Option<Mark>,
    ) -> bool {
        let Some((stage, cap)) = self.bound(build) else {
            let Some((b, _, Course::OnTrial | Course::Released, _)) = self.news else { return true };
            return !(self.forward_only && build < b && mark.is_some_and(|m| self.answered.contains(&m)));
        };
        if cap <= 0.0 || (stage.0 < self.guarded && repeat != Repeat::InquiryLike) {
            return false;
        }
        let same = |p: Product| !self.per_product || p == product;
        let sent =
            self.sent.iter().filter(|(t, p, b)| *b == build && same(*p) && *t + self.span >= now).count();
        let since = (now + self.tick).saturating_sub(self.span);
        let taken = self.taken.iter().filter(|(t, p)| *t > since && same(*p)).count();
        // What an earlier life of this agent sent is not known: its free allowance may be used up.
        let free = if self.started.is_some_and(|s| s + self.span >= now) { 0.0 } else { self.free };
        sent as f64 + 1.0 <= free + cap * taken as f64
    }

    fn trim(&mut self, now: Duration) {
        while self.taken.front().is_some_and(|(t, _)| *t + self.span < now) {
            self.taken.pop_front();
        }
        while self.sent.front().is_some_and(|(t, ..)| *t + self.span < now) {
            self.sent.pop_front();
        }
    }
}

/// Mixing deviation of the test, and the tolerated worsening.
const TAU: f64 = 0.1;
const THETA0: f64 = 0.02;
/// Level of the test, before it is divided among the tests.
const ALPHA: f64 = 0.05;
/// Trial outcomes without which a test does not speak.
const ENOUGH: f64 = 20.0;

/// The paper's two-sample test: X at earlier builds, Y at the build on trial.
pub struct Test {
    theta0: f64,
    tau: f64,
    alpha: f64,
    x: (f64, f64),
    y: (f64, f64),
    /// The trial outcomes by appliance.
    by: BTreeMap<ApplianceId, (f64, f64)>,
    p: f64,
    interval: (f64, f64),
}

impl Test {
    pub fn new(theta0: f64, tau: f64, alpha: f64) -> Self {
        let (x, y, by, interval) = ((0.0, 0.0), (0.0, 0.0), BTreeMap::new(), (f64::MIN, f64::MAX));
        Test { theta0, tau, alpha, x, y, by, p: 1.0, interval }
    }

    pub fn p(&self) -> f64 {
        self.p
    }

    fn estimate(&self) -> f64 {
        self.y.1 / self.y.0.max(1.0) - self.x.1 / self.x.0.max(1.0)
    }

    /// Takes an outcome: 0 if good, 1 if bad, and the trial appliance it comes from.
    pub fn observe(&mut self, trial: Option<ApplianceId>, score: f64) {
        let add = |arm: &mut (f64, f64)| *arm = (arm.0 + 1.0, arm.1 + score);
        add(if trial.is_some() { &mut self.y } else { &mut self.x });
        if let Some(at) = trial {
            add(self.by.entry(at).or_default());
        }
        let n = self.x.0.min(self.y.0);
        let (x, y) = (self.x.1 / self.x.0.max(1.0), self.y.1 / self.y.0.max(1.0));
        let v = x * (1.0 - x) + y * (1.0 - y);
        if n < 1.0 || v <= 0.0 {
            return;
        }
        let mixed = v + n * self.tau * self.tau;
        let spread = 2.0 * v * mixed / (n * self.tau).powi(2);
        let lambda = (v / mixed).sqrt() * ((y - x - self.theta0).powi(2) / spread).exp();
        self.p = self.p.min(1.0 / lambda);
        // The running interval of the paper; when the estimate leaves it, inference begins anew.
        let half = (spread * ((1.0 / self.alpha).ln() + 0.5 * (mixed / v).ln())).sqrt();
        self.interval = (self.interval.0.max(y - x - half), self.interval.1.min(y - x + half));
        if y - x < self.interval.0 || y - x > self.interval.1 {
            (self.p, self.interval) = (1.0, (f64::MIN, f64::MAX));
        }
    }

    fn worse(&self, level: f64) -> bool {
        self.estimate() > self.theta0 && self.p <= level
    }

    /// Whether the trial is worse also without the appliance that looks worst. Guards against a slow or
    /// failing machine, or a noisy neighbour, that happens to carry the build: a build is bad wherever it
    /// runs. It harms where only one machine will ever carry it.
    fn everywhere(&self) -> bool {
        let Some(worst) = self.by.values().max_by(|a, b| (a.1 / a.0).total_cmp(&(b.1 / b.0))) else {
            return false;
        };
        let (n, sum) = (self.y.0 - worst.0, self.y.1 - worst.1);
        n * 4.0 >= ENOUGH && sum / n - self.x.1 / self.x.0.max(1.0) > self.theta0
    }
}

type Ballot = (Build, Stage, Verdict);

/// Judges builds and votes.
pub struct Jury {
    gate: Gate,
    rings: Vec<f64>,
    dwell: Duration,
    vote_lasts: Duration,
    call_wait: Duration,
    rolling: bool,
    products: usize,
    /// One test for each product, and one of pace over all.
    tests: Vec<Test>,
    judged: Option<Build>,
    /// Outcomes at earlier builds of late.
    beside: Fading,
    /// The usual pace of each model at earlier builds.
    paces: BTreeMap<Model, f64>,
    stage_heard: Duration,
    /// The last vote, when it was sent and how it was answered.
    vote: Option<(Ballot, Duration, Option<Ending>)>,
}

impl Jury {
    pub fn new(
        gate: Gate, rings: Vec<f64>, dwell: Duration, vote_lasts: Duration, call_wait: Duration,
        rolling: bool, products: usize,
    ) -> Self {
        let (tests, judged, beside, paces, stage_heard, vote) = Default::default();
        Jury {
            gate,
            rings,
            dwell,
            vote_lasts,
            call_wait,
            rolling,
            products,
            tests,
            judged,
            beside,
            paces,
            stage_heard,
            vote,
        }
    }

    fn level(&self) -> f64 {
        ALPHA / (self.products + 1) as f64
    }

    fn begin(&mut self, build: Build) {
        self.judged = Some(build);
        let level = self.level();
        self.tests = (0..self.products).map(|_| Test::new(THETA0, TAU, level)).collect();
        // Pace differs by machine far more than failures do, and what it tells apart is larger.
        self.tests.push(Test::new(10.0 * THETA0, 3.0 * TAU, level));
    }

    fn verdict(&self, now: Duration, roster: &Roster, news: (Build, Stage, Course, f64)) -> Option<Verdict> {
        let (build, stage, course, _) = news;
        if !matches!(course, Course::OnTrial | Course::Released) || self.judged != Some(build) {
            return None;
        }
        if self.tests.iter().any(|t| t.y.0 >= ENOUGH && t.worse(self.level()) && t.everywhere()) {
            return Some(Verdict::Back);
        }
        if course != Course::OnTrial {
            return None;
        }
        let doubt = self.tests.iter().any(|t| t.worse(10.0 * self.level()));
        let hold = self.dwell * 4 / 3;
        if self.gate == Gate::Clocked {
            return (doubt && now < self.stage_heard + hold).then_some(Verdict::Hold);
        }
        let ring = self.rings.get(usize::from(stage.0)).copied().unwrap_or(1.0);
        let (trial, early): (Vec<_>, Vec<_>) = roster.ready().partition(|(_, a)| a.line.build == build);
        let places = early.len() + if self.rolling { trial.len() } else { 0 };
        let newest = trial.iter().filter_map(|(_, a)| a.line.started).max()?;
        // The list runs late: a stage whose machines it does not show yet has not begun to wait.
        let shown =
            trial.len() as f64 + 0.5 >= ring * places as f64 || now >= self.stage_heard + self.dwell * 6;
        let wait = self.dwell * 5 / 2 + if doubt { hold } else { Duration::ZERO };
        (shown && now >= newest + wait && now >= self.stage_heard + wait / 2).then_some(Verdict::On)
    }

    fn round(
        &mut self, now: Duration, roster: &Roster, news: (Build, Stage, Course, f64), out: &mut dyn Decisions,
    ) {
        let Some(verdict) = self.verdict(now, roster, news) else { return };
        let ballot = (news.0, news.1, verdict);
        if let Some((last, sent, answer)) = self.vote
            && last == ballot
        {
            let again = match answer {
                Some(Ending::Served) => self.vote_lasts * 4 / 5,
                Some(_) => self.call_wait / 4,
                None => self.call_wait * 2,
            };
            if now < sent + again {
                return;
            }
        } else {
            let line = |t: &Test| format!("{:.0}:{:+.2} p{:.3}", t.y.0, t.estimate(), t.p);
            let tests: Vec<_> = self.tests.iter().map(line).collect();
            out.log(&format!(
                "vote {verdict:?} on build {} stage {} [{}]",
                news.0.0,
                news.1.0,
                tests.join(" ")
            ));
        }
        self.vote = Some((ballot, now, None));
        out.vote(news.0, news.1, verdict);
    }
}

struct Submission {
    to: ApplianceId,
    build: Build,
    sent: Duration,
    ending: Option<Ending>,
    called_off: bool,
}

struct Held {
    txn: Txn,
    terms: Terms,
    work: f64,
    arrived: Duration,
    legs: Vec<Submission>,
    /// The first submission that may have run: when it was sent, and the group that drops its repeats.
    risk: Option<(Duration, Zone, Cell)>,
}

impl Held {
    fn out(&self) -> impl Iterator<Item = (Leg, &Submission)> {
        self.legs.iter().enumerate().filter(|(_, l)| l.ending.is_none()).map(|(i, l)| (Leg(i as u8), l))
    }

    /// Whether the rules let one more submission go out, to an appliance of the right group.
    fn resendable(&self, now: Duration) -> bool {
        match (self.terms.repeat, self.risk) {
            (_, None) | (Repeat::InquiryLike, _) => true,
            (Repeat::Referenced(_), Some((first, ..))) => now < first + self.terms.remembered,
            (Repeat::OnceOnly, Some(_)) => false,
        }
    }
}

/// What txns ask of the fleet, and what of it was served.
#[derive(Default)]
struct Demand {
    hints: BTreeMap<Product, (Fading, Fading)>,
    /// Served work, and listed weight x time: what a unit of weight is seen to bear.
    served: Fading,
    weight: Fading,
    taken: Fading,
    second: Fading,
}

/// The txns in hand, and what is agreed for them.
pub struct Desk {
    products: Vec<Terms>,
    max_submissions: usize,
    second_copies: bool,
    may_call_off: bool,
    longest_advice: Duration,
    tick: Duration,
    held: BTreeMap<TxnId, Held>,
}

impl Desk {
    pub fn new(
        products: Vec<Terms>, max_submissions: usize, second_copies: bool, may_call_off: bool,
        longest_advice: Duration, tick: Duration,
    ) -> Self {
        let held = BTreeMap::new();
        Desk { products, max_submissions, second_copies, may_call_off, longest_advice, tick, held }
    }
}

pub struct Brain {
    now: Duration,
    begun: bool,
    chance: Pcg64Mcg,
    roster: Roster,
    thaw: Thaw,
    exposure: Exposure,
    jury: Jury,
    desk: Desk,
    demand: Demand,
    wake_at: Duration,
    /// Time for a unit of hinted work: long-run mean of all appliances, and the middle appliance's now.
    usual_pace: f64,
    middle_pace: f64,
    usual_work: f64,
    /// The middle appliance's time for a usual txn as a share of the SLA time, for the tightest product.
    pressure: f64,
}

impl Brain {
    pub fn new(seed: u64, roster: Roster, thaw: Thaw, exposure: Exposure, jury: Jury, desk: Desk) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(seed);
        let (now, wake_at, begun, demand) = Default::default();
        let (usual_pace, middle_pace, usual_work) = (1.0, 1.0, 1e-3);
        Brain {
            now,
            begun,
            chance,
            roster,
            thaw,
            exposure,
            jury,
            desk,
            demand,
            wake_at,
            usual_pace,
            middle_pace,
            usual_work,
            pressure: 0.0,
        }
    }

    /// Hears all that came in, then decides.
    pub fn round(&mut self, now: Duration, intake: impl FnOnce(&mut dyn Hears), out: &mut dyn Decisions) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.now, now));
        if !std::mem::replace(&mut self.begun, true) {
            self.exposure.started = Some(now);
        }
        self.exposure.trim(now);
        intake(self);
        if self.roster.ask_at.take_if(|t| *t <= now).is_some() {
            out.watch_roster(true);
        }
        self.take_stock(passed);
        let mut order: Vec<_> = self.desk.held.iter().map(|(&id, h)| (h.arrived, id)).collect();
        order.sort();
        for (_, id) in order {
            self.attend(id, out);
        }
        if let Some(news) = self.exposure.news {
            self.jury.round(now, &self.roster, news, out);
        }
        // A beat, so that waits end without an event: short while txns are in hand.
        if self.wake_at <= now {
            self.wake_at = now + self.desk.tick * if self.desk.held.is_empty() { 20 } else { 2 };
            out.wake(self.wake_at, Ticket(0));
        }
    }

    fn take_stock(&mut self, passed: Duration) {
        let now = self.now;
        let weight: f64 = self.roster.ready().map(|(_, a)| f64::from(a.line.weight)).sum();
        self.demand.weight.add(now, USUAL, weight * passed.as_secs_f64());
        self.usual_pace = self.roster.pace(now, |_| true).unwrap_or(1.0);
        let sums = self.demand.hints.values().map(|h| (h.0.read(now, USUAL), h.1.read(now, USUAL)));
        let sums = sums.fold((1e-9, 1e-6), |(w, n), (work, many)| (w + work, n + many));
        self.usual_work = sums.0 / sums.1;
        let pace = |a: &Appliance| a.pace(now, self.usual_pace, self.usual_work);
        let mut paces: Vec<f64> = self.roster.ready().map(|(_, a)| pace(a)).collect();
        paces.sort_by(f64::total_cmp);
        self.middle_pace = paces.get(paces.len() / 2).copied().unwrap_or(self.usual_pace);
        let tight = |(i, t): (usize, &Terms)| self.typical(Product(i as u8)) / t.sla.as_secs_f64();
        self.pressure =
            self.middle_pace * self.desk.products.iter().enumerate().map(tight).fold(0.0, f64::max);
        for (_, a) in self.roster.ready().filter(|(_, a)| self.jury.judged.is_some_and(|b| a.line.build < b))
        {
            let same = |m: &Appliance| m.line.model == a.line.model && m.line.build <= a.line.build;
            if let Some(pace) = self.roster.pace(now, same) {
                self.jury.paces.insert(a.line.model, pace);
            }
        }
        // Silence: several submissions wait far longer than usual and nothing came since the oldest was sent.
        // Guards against a machine that vanished, froze or was cut off, long before the list tells.
        let patience = Duration::from_secs_f64((6.0 * self.middle_pace * self.usual_work).clamp(0.0, 60.0));
        for a in self.roster.known.values_mut() {
            let oldest = a.out.values().map(|o| o.sent).min();
            if a.out.len() > 1 && oldest.is_some_and(|o| now > o + patience && a.record.heard < o) {
                a.strike(now);
            }
        }
    }

    fn attend(&mut self, id: TxnId, out: &mut dyn Decisions) {
        let now = self.now;
        let Some(h) = self.desk.held.get_mut(&id) else { return };
        let left = h.txn.expiry.saturating_sub(now);
        let sla_left = (h.arrived + h.terms.sla).saturating_sub(now);
        let more = h.legs.len() < self.desk.max_submissions && h.resendable(now) && left > self.desk.tick * 4;
        let waiting = h.out().next().map(|(leg, l)| (leg, l.to, l.sent, l.called_off));
        if let Some((leg, to, sent, called_off)) = waiting {
            let usual = 4.0 * self.middle_pace * h.work.max(self.usual_work);
            let usual = Duration::from_secs_f64(usual.min(60.0)).max(h.terms.sla / 4);
            // Given up for lost: nothing comes from there at all, or what was sent there later has come back.
            // Guards against lost messages and stuck work as well as dead machines.
            let seen =
                self.roster.known.get(&to).map(|a| (a.barred() && a.record.heard < sent, a.record.passed));
            let (silent, overtaken) = seen.map_or((true, true), |(silent, passed)| (silent, passed > sent));
            if !more || sla_left.is_zero() || h.out().count() > 1 || now < sent + usual {
                return;
            }
            let second = self.desk.second_copies;
            let spare = 0.1 * self.demand.taken.read(now, USUAL) - self.demand.second.read(now, USUAL);
            if !second && self.desk.may_call_off && (silent || overtaken) && !called_off {
                h.legs[usize::from(leg.0)].called_off = true;
                out.call_off(id, leg);
            }
            if second
                && (silent || spare > 1.0)
                && let Some(to) = self.choose(id)
            {
                self.demand.second.add(now, USUAL, 1.0);
                self.submit(id, to, out);
            }
            return;
        }
        let hopeless = sla_left.is_zero() && h.terms.late_share <= 0.0;
        let (product, terms, first) = (h.txn.product, h.terms, h.legs.is_empty());
        if !more || hopeless || (first && self.crowded(product, &terms, sla_left)) {
            return self.give_up(id, out);
        }
        if let Some(to) = self.choose(id) {
            self.submit(id, to, out);
        }
    }

    /// Whether the middle appliance answers so slowly that this product would be late: the less it earns, the
    /// sooner. Guards against queues everywhere (bursts, mass crashes, shared slowdowns). One sick appliance
    /// does not move the middle, and with no fresh answers the pace goes back to its long-run mean, so that
    /// declines end by themselves. It harms if SLA times are tighter than an idle appliance can keep.
    fn crowded(&mut self, product: Product, terms: &Terms, sla_left: Duration) -> bool {
        let most = self.desk.products.iter().map(|t| t.revenue).fold(f64::MIN_POSITIVE, f64::max);
        let expected = self.middle_pace * self.typical(product);
        let pressure = expected / sla_left.as_secs_f64().max(1e-6);
        let from = 0.3 + 0.3 * terms.revenue / most;
        self.chance.random::<f64>() < (pressure - from) / 0.6
    }

    /// Mean hinted work of a product, in seconds.
    fn typical(&self, p: Product) -> f64 {
        let Some((work, many)) = self.demand.hints.get(&p) else { return self.usual_work };
        work.read(self.now, USUAL) / many.read(self.now, USUAL).max(1e-9)
    }

    fn give_up(&mut self, id: TxnId, out: &mut dyn Decisions) {
        let Some(h) = self.desk.held.remove(&id) else { return };
        let safe = matches!(h.terms.repeat, Repeat::InquiryLike | Repeat::Referenced(Group::All));
        if safe || h.risk.is_none() {
            out.decline(id, (h.terms.sla / 4).min(self.desk.longest_advice));
        } else {
            out.void(id);
        }
    }

    /// Two random choices by weight within an arm; the arm by the trial build's share of the listed weight.
    fn choose(&mut self, id: TxnId) -> Option<ApplianceId> {
        let now = self.now;
        let h = self.desk.held.get(&id)?;
        let fair = self.demand.served.read(now, USUAL) / self.demand.weight.read(now, USUAL).max(1e-9);
        // When most are barred the trouble is not theirs: then bars mean nothing.
        let (sick, all) =
            self.roster.ready().fold((0, 0), |(s, n), (_, a)| (s + usize::from(a.barred()), n + 1));
        let panic = 2 * sick > all;
        let mut arms: [Vec<(ApplianceId, f64, f64)>; 2] = Default::default();
        let mut listed = [0.0; 2];
        let mut permitted = BTreeMap::new();
        for (aid, a) in self.roster.ready() {
            let weight = f64::from(a.line.weight) * self.thaw.warmth(a.age(now));
            let arm = usize::from(self.exposure.bound(a.line.build).is_some());
            let in_group = match (h.terms.repeat, h.risk) {
                (Repeat::Referenced(Group::Zone), Some((_, zone, _))) => a.line.zone == zone,
                (Repeat::Referenced(Group::Cell), Some((.., cell))) => a.line.cell == cell,
                _ => true,
            };
            let may = || self.exposure.permits(now, a.line.build, h.txn.product, h.terms.repeat, h.txn.mark);
            let parole =
                now >= a.record.barred_until && a.out.is_empty() && h.terms.repeat != Repeat::OnceOnly;
            if !in_group
                || h.out().any(|(_, l)| l.to == aid)
                || (a.barred() && !panic && !parole)
                || !*permitted.entry(a.line.build).or_insert_with(may)
                || !self.thaw.bears(now, a, fair * f64::from(a.line.weight), h.work)
            {
                continue;
            }
            listed[arm] += weight;
            let odds = weight / a.usual_pace(now, self.usual_pace)
                * if h.legs.iter().any(|l| l.to == aid) { 0.01 } else { 1.0 };
            arms[arm].push((aid, odds, self.cost(a)));
        }
        // A txn that the trial build has failed is better served by an earlier one.
        let failed_there = h.legs.iter().any(|l| self.exposure.bound(l.build).is_some());
        let share = if failed_there { 0.0 } else { listed[1] / (listed[0] + listed[1]).max(1e-9) };
        let arm = usize::from(self.chance.random::<f64>() < share);
        let arm = if arms[arm].is_empty() { 1 - arm } else { arm };
        let sum: f64 = arms[arm].iter().map(|c| c.1).sum();
        let mut draw = || {
            let mut at = self.chance.random::<f64>() * sum;
            let hit = arms[arm].iter().find(|c| {
                at -= c.1;
                at < 0.0
            });
            hit.or(arms[arm].last()).copied()
        };
        let (one, two) = (draw()?, draw()?);
        Some(if two.2 < one.2 { two.0 } else { one.0 })
    }

    /// What a txn may expect to wait there, against the others.
    fn cost(&self, a: &Appliance) -> f64 {
        let across = if a.line.zone == self.roster.zone { 1.0 } else { 1.3 };
        let pace = a.pace(self.now, self.usual_pace, self.usual_work) / (1.0 - 0.9 * a.failing(self.now));
        pace * (1.0 + a.out.len() as f64) * across / f64::from(a.line.weight).max(1e-3)
    }

    /// The one place that every submission passes.
    fn submit(&mut self, id: TxnId, to: ApplianceId, out: &mut dyn Decisions) {
        let now = self.now;
        let (Some(h), Some(a)) = (self.desk.held.get_mut(&id), self.roster.known.get_mut(&to)) else {
            return;
        };
        let (txn, build, work) = (h.txn, a.line.build, h.work);
        if a.line.mode != Mode::Ready
            || !h.resendable(now)
            || !self.exposure.permits(now, build, txn.product, h.terms.repeat, txn.mark)
        {
            return;
        }
        if self.exposure.bound(build).is_some() {
            self.exposure.sent.push_back((now, txn.product, build));
        }
        self.thaw.note(now, a, work);
        let leg = Leg(h.legs.len() as u8);
        let young = self.jury.judged.is_some_and(|b| build >= b) && a.age(now) < Some(self.thaw.ramp * 9 / 8);
        let mute = (young && a.line.started.is_some()) || a.barred();
        a.out.insert((id, leg), Out { sent: now, work, product: txn.product, build, mute });
        h.legs.push(Submission { to, build, sent: now, ending: None, called_off: false });
        // Until it is proved not to have run, it may have: the group and window of a repeat are fixed by it.
        h.risk = h.risk.or(Some((now, a.line.zone, a.line.cell)));
        out.submit(id, to, Duration::ZERO);
    }

    /// Hands an outcome to the tests. What is no answer, or was turned away, says nothing of the build: a machine
    /// may have died, frozen or been cut off, a queue may be full. Slowness counts only while the fleet is not
    /// crowded and, at the trial build, beside an earlier one under the same load. Guards against bursts, cold
    /// starts, dead machines and shared slowdowns; a build that is bad only under pressure is seen later for it.
    fn judge(&mut self, at: ApplianceId, o: &Out, ending: Ending, took: Duration, alive: bool) {
        let Some(terms) = self.desk.products.get(usize::from(o.product.0)) else { return };
        if o.mute || self.jury.tests.is_empty() {
            return;
        }
        let trial = self.jury.judged.is_some_and(|b| o.build >= b).then_some(at);
        if trial.is_none() {
            self.jury.beside.add(self.now, RECENT, 1.0);
        }
        let fair = self.pressure < 0.35 && self.jury.beside.read(self.now, RECENT) > 2.0;
        let score = match ending {
            Ending::Failed => 1.0,
            Ending::Served => f64::from(u8::from(fair && took > terms.sla * 2)),
            Ending::TimedOut | Ending::CalledOff if fair && alive && took > terms.sla * 2 => 1.0,
            _ => return,
        };
        if let Some(test) = self.jury.tests.get_mut(usize::from(o.product.0)) {
            test.observe(trial, score);
        }
        if !fair {
            return;
        }
        // A build that needs more work seldom passes twice the SLA time: against the same model's usual time
        // at earlier builds, for work between the rough hint and the usual, half as much again counts as bad.
        let model = self.roster.known.get(&at).and_then(|a| self.jury.paces.get(&a.line.model));
        if let (Some(pace), Some(test), Ending::Served) = (model, self.jury.tests.last_mut(), ending) {
            let late = took.as_secs_f64() > 1.5 * pace * (o.work + self.usual_work) / 2.0;
            test.observe(trial, f64::from(u8::from(late)));
        }
    }
}

impl Hears for Brain {
    fn txn(&mut self, id: TxnId, txn: Txn) {
        let now = self.now;
        let Some(&terms) = self.desk.products.get(usize::from(txn.product.0)) else { return };
        self.exposure.taken.push_back((now, txn.product));
        self.demand.taken.add(now, USUAL, 1.0);
        if let Some(hint) = txn.hint {
            let sums = self.demand.hints.entry(txn.product).or_default();
            sums.0.add(now, USUAL, hint.as_secs_f64());
            sums.1.add(now, USUAL, 1.0);
        }
        let work = txn.hint.map_or_else(|| self.typical(txn.product), |h| h.as_secs_f64()).max(1e-4);
        self.desk.held.insert(id, Held { txn, terms, work, arrived: now, legs: Vec::new(), risk: None });
    }

    fn ended(&mut self, id: TxnId, leg: Leg, at: ApplianceId, ending: Ending, took: Duration, closed: bool) {
        let now = self.now;
        if let Some(a) = self.roster.known.get_mut(&at)
            && let Some(o) = a.out.remove(&(id, leg))
        {
            let alive = a.record.heard > o.sent;
            let build = a.line.build;
            match ending {
                Ending::Served => {
                    let r = &mut a.record;
                    for (sums, half) in [(&mut r.recent, RECENT), (&mut r.usual, USUAL)] {
                        sums.0.add(now, half, took.as_secs_f64());
                        sums.1.add(now, half, o.work);
                    }
                    self.demand.served.add(now, USUAL, o.work);
                    if now >= r.barred_until {
                        r.bar = Duration::ZERO;
                    }
                }
                Ending::Unconnected | Ending::Broken => a.strike(now),
                _ => {}
            }
            if !matches!(ending, Ending::TimedOut | Ending::CalledOff | Ending::Unconnected | Ending::Unsent)
            {
                a.record.heard = now;
                a.record.passed = a.record.passed.max(o.sent);
            }
            if !matches!(ending, Ending::CalledOff | Ending::Unsent) {
                a.record.answers.add(now, RECENT, 1.0);
                a.record.fails.add(now, RECENT, f64::from(u8::from(ending != Ending::Served)));
            }
            // An appliance that fails far more than others of its build is left alone for a while. A build as
            // a whole is never barred: its failures are the test's evidence.
            let fails = a.failing(now);
            let mates = self.roster.mates_failing(now, at, build);
            if ending != Ending::Served
                && mates.is_some_and(|m| fails > m + 0.3)
                && let Some(a) = self.roster.known.get_mut(&at)
            {
                a.strike(now);
            }
            self.judge(at, &o, ending, took, alive);
            if ending == Ending::Served
                && self.exposure.forward_only
                && self.exposure.news.is_some_and(|(b, ..)| o.build == b)
                && let Some(mark) = self.desk.held.get(&id).and_then(|h| h.txn.mark)
            {
                self.exposure.answered.insert(mark);
            }
        }
        if closed {
            self.desk.held.remove(&id);
        } else if let Some(h) = self.desk.held.get_mut(&id) {
            if let Some(l) = h.legs.get_mut(usize::from(leg.0)) {
                l.ending = Some(ending);
            }
            let unrun = [Some(Ending::TurnedAway), Some(Ending::Unconnected), Some(Ending::Unsent)];
            let first = h.legs.iter().find(|l| !unrun.contains(&l.ending));
            let line =
                first.and_then(|l| self.roster.known.get(&l.to).map(|a| (l.sent, a.line.zone, a.line.cell)));
            h.risk = line;
        }
    }

    fn stream_begun(&mut self, id: TxnId, _: Leg, _: ApplianceId, _: Duration) {
        // The client has its answer: nothing is owed any more, and nothing more may be sent.
        self.desk.held.remove(&id);
    }

    fn client_left(&mut self, id: TxnId) {
        self.desk.held.remove(&id);
    }

    fn roster(&mut self, listing: Listing, lines: &mut dyn Iterator<Item = Line>) {
        self.roster.update(self.now, listing, lines);
    }

    fn load(&mut self, _: ApplianceId, _: &[f32]) {}

    fn probed(&mut self, _: ApplianceId, _: Ending, _: Duration) {}

    fn peer(&mut self, _: AgentId, _: &[u8]) {}

    fn stage(&mut self, build: Build, stage: Stage, course: Course, cap: f64, age: Duration) {
        let known = self.exposure.news.map(|(b, s, ..)| (b, s));
        if known.is_some_and(|(b, _)| build < b) {
            return;
        }
        if known != Some((build, stage)) {
            self.jury.stage_heard = self.now.saturating_sub(age);
        }
        if known.is_none_or(|(b, _)| b != build) {
            self.exposure.answered.clear();
        }
        if course == Course::OnTrial && self.jury.judged != Some(build) {
            self.jury.begin(build);
        }
        self.exposure.news = Some((build, stage, course, cap));
    }

    fn vote_answered(&mut self, ending: Ending) {
        if let Some(vote) = &mut self.jury.vote {
            vote.2 = Some(ending);
        }
    }

    fn tally(&mut self, _: Build, _: Product, _: u32, _: u32, _: Duration, _: Duration) {}

    fn wrong_answer(&mut self, at: ApplianceId, product: Product, sent_ago: Duration) {
        let sent = self.now.saturating_sub(sent_ago);
        let Some(a) = self.roster.known.get(&at) else { return };
        let trial = self.jury.judged.is_some_and(|b| a.line.build >= b);
        let young = a.line.started.is_some_and(|s| sent < s + self.thaw.ramp * 9 / 8);
        let Some(test) = self.jury.tests.get_mut(usize::from(product.0)) else { return };
        let arm = if trial { &mut test.y } else { &mut test.x };
        // The outcome it names was counted as good.
        if !young && arm.1 + 1.0 <= arm.0 {
            arm.1 += 1.0;
        }
    }

    fn woken(&mut self, _: Ticket) {}
}
