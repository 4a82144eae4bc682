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

/// Outcomes and times fade by half in this long: about ten answers of a small agent's share of an appliance.
const HEALTH_HALF: Duration = Duration::from_secs(1);
/// What is usual fades by half in this long.
const BASE_HALF: Duration = Duration::from_secs(10);
/// Demand fades by half in this long.
const DEMAND_HALF: Duration = Duration::from_secs(2);

/// A submission that is out.
struct Out {
    sent: Duration,
    work: f64,
    product: Product,
    build: Build,
    /// Sent to an appliance too young to be evidence.
    young: bool,
}

/// Time taken, and the hinted work it was taken for.
#[derive(Clone, Copy, Default)]
struct Pace {
    took: Fading,
    worked: Fading,
}

impl Pace {
    fn add(&mut self, now: Duration, half: Duration, took: Duration, work: f64) {
        self.took.add(now, half, took.as_secs_f64());
        self.worked.add(now, half, work);
    }
}

struct Appliance {
    line: Line,
    out: BTreeMap<(TxnId, Leg), Out>,
    answers: Fading,
    fails: Fading,
    recent: Pace,
    base: Pace,
    /// Work sent while it may be cold.
    pushed: VecDeque<(Duration, f64)>,
    barred_until: Duration,
    bar: Duration,
}

impl Appliance {
    fn age(&self, now: Duration) -> Option<Duration> {
        self.line.started.map(|s| now.saturating_sub(s))
    }
    /// Its own pace, drawn to the given one while it has answered little of late.
    fn pace(&self, now: Duration, base: f64, usual: f64) -> f64 {
        let prior = 0.2;
        let took = self.recent.took.read(now, HEALTH_HALF) + prior * base;
        // Silence counts before any answer does.
        let stall = |o: &Out| now.saturating_sub(o.sent).as_secs_f64() / o.work.max(usual);
        let stalled = self.out.values().map(stall).fold(0.0, f64::max) / 3.0;
        stalled.max(took / (self.recent.worked.read(now, HEALTH_HALF) + prior))
    }

    fn failing(&self, now: Duration) -> f64 {
        self.fails.read(now, HEALTH_HALF) / (self.answers.read(now, HEALTH_HALF) + 1.0)
    }
}

/// The appliances that the agent's own list names, and the list's upkeep.
pub struct Roster {
    zone: Zone,
    /// The list comes only when asked for.
    asks: bool,
    ask_within: Duration,
    ask_at: Option<Duration>,
    ask_pause: Duration,
    known: BTreeMap<ApplianceId, Appliance>,
}

impl Roster {
    pub fn new(zone: Zone, asks: bool, ask_within: Duration) -> Self {
        let ask_pause = ask_within / 20;
        Roster {
            zone,
            asks,
            ask_within,
            ask_at: asks.then_some(Duration::ZERO),
            ask_pause,
            known: BTreeMap::new(),
        }
    }

    fn update(&mut self, now: Duration, listing: Listing, lines: &mut dyn Iterator<Item = Line>) {
        if listing == Listing::Failed {
            // Guards against a lost subscription and against a storm of calls on a service that is down.
            self.ask_at = self.asks.then_some(now + self.ask_pause);
            self.ask_pause = (self.ask_pause * 2).min(self.ask_within / 4);
            return;
        }
        self.ask_pause = self.ask_within / 20;
        let mut missing: BTreeSet<ApplianceId> = match listing {
            Listing::Changes => BTreeSet::new(),
            _ => self.known.keys().copied().collect(),
        };
        for line in lines {
            missing.remove(&line.appliance);
            let fresh = || Appliance {
                line,
                out: BTreeMap::new(),
                answers: Fading::default(),
                fails: Fading::default(),
                recent: Pace::default(),
                base: Pace::default(),
                pushed: VecDeque::new(),
                barred_until: Duration::ZERO,
                bar: Duration::ZERO,
            };
            let a = self.known.entry(line.appliance).or_insert_with(fresh);
            if a.line.started != line.started || a.line.build != line.build {
                let (out, pushed) = (std::mem::take(&mut a.out), std::mem::take(&mut a.pushed));
                *a = Appliance { out, pushed, ..fresh() };
            }
            a.line = line;
        }
        for id in missing {
            if let Some(a) = self.known.get_mut(&id) {
                a.line.mode = Mode::Gone;
            }
        }
    }

    fn ready(&self) -> impl Iterator<Item = (ApplianceId, &Appliance)> {
        self.known.iter().filter(|(_, a)| a.line.mode == Mode::Ready).map(|(&id, a)| (id, a))
    }

    /// Usual time taken for each unit of hinted work, over all appliances that the filter takes.
    fn pace(&self, now: Duration, of: impl Fn(&Appliance) -> bool) -> Option<f64> {
        let sums = self.ready().filter(|(_, a)| of(a)).fold((0.0, 0.0), |(t, w), (_, a)| {
            (t + a.base.took.read(now, BASE_HALF), w + a.base.worked.read(now, BASE_HALF))
        });
        (sums.1 > 0.0).then(|| sums.0 / sums.1)
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

/// The paper's two-sample test for one product: X at earlier builds, Y at the build on trial.
#[derive(Clone, Copy)]
pub struct Test {
    x: (f64, f64),
    y: (f64, f64),
    p: f64,
    interval: (f64, f64),
}

/// Mixing deviation of the test.
const TAU: f64 = 0.1;
/// Tolerated worsening.
const THETA0: f64 = 0.02;
/// Level of the test, before it is divided among the products.
const ALPHA: f64 = 0.05;
/// Trial outcomes without which a product's test does not speak.
const ENOUGH: f64 = 20.0;
/// Appliances younger than this are not evidence.
const YOUNG: Duration = Duration::from_secs(5);
/// From the newest trial appliance's start to the vote.
const WAIT: Duration = Duration::from_secs(3);
/// Longest hold in a stage, under a clock.
const HOLD: Duration = Duration::from_secs(2);

impl Default for Test {
    fn default() -> Self {
        Test { x: (0.0, 0.0), y: (0.0, 0.0), p: 1.0, interval: (f64::NEG_INFINITY, f64::INFINITY) }
    }
}

impl Test {
    fn estimate(&self) -> f64 {
        self.y.1 / self.y.0.max(1.0) - self.x.1 / self.x.0.max(1.0)
    }

    pub fn observe(&mut self, trial: bool, score: f64, alpha: f64) {
        let arm = if trial { &mut self.y } else { &mut self.x };
        *arm = (arm.0 + 1.0, arm.1 + score);
        let n = self.x.0.min(self.y.0);
        if n < 1.0 {
            return;
        }
        let (x, y) = (self.x.1 / self.x.0, self.y.1 / self.y.0);
        let v = x * (1.0 - x) + y * (1.0 - y);
        if v <= 0.0 {
            return;
        }
        let mixed = v + n * TAU * TAU;
        let spread = 2.0 * v * mixed / (n * n * TAU * TAU);
        let lambda = (v / mixed).sqrt() * ((y - x - THETA0).powi(2) / spread).exp();
        self.p = self.p.min(1.0 / lambda);
        // The running interval of the paper; when the estimate leaves it, inference begins anew.
        let half = (spread * ((1.0 / alpha).ln() + 0.5 * (mixed / v).ln())).sqrt();
        self.interval = (self.interval.0.max(y - x - half), self.interval.1.min(y - x + half));
        if y - x < self.interval.0 || y - x > self.interval.1 {
            self.p = 1.0;
            self.interval = Test::default().interval;
        }
    }

    pub fn p(&self) -> f64 {
        self.p
    }

    fn worse(&self, level: f64) -> bool {
        self.estimate() > THETA0 && self.y.0 >= ENOUGH && self.p <= level
    }
}

/// Judges builds and votes.
pub struct Jury {
    gate: Gate,
    rings: Vec<f64>,
    vote_lasts: Duration,
    call_wait: Duration,
    tests: Vec<Test>,
    judged: Option<Build>,
    stage_heard: Duration,
    /// The last vote, when it was sent and how it was answered.
    vote: Option<(Build, Stage, Verdict, Duration, Option<Ending>)>,
}

impl Jury {
    pub fn new(
        gate: Gate, rings: Vec<f64>, vote_lasts: Duration, call_wait: Duration, products: usize,
    ) -> Self {
        let tests = vec![Test::default(); products];
        Jury {
            gate,
            rings,
            vote_lasts,
            call_wait,
            tests,
            judged: None,
            stage_heard: Duration::ZERO,
            vote: None,
        }
    }

    fn level(&self) -> f64 {
        ALPHA / self.tests.len().max(1) as f64
    }

    fn verdict(&self, now: Duration, roster: &Roster, news: (Build, Stage, Course, f64)) -> Option<Verdict> {
        let (build, stage, course, _) = news;
        if !matches!(course, Course::OnTrial | Course::Released) || self.judged != Some(build) {
            return None;
        }
        if self.tests.iter().any(|t| t.worse(self.level())) {
            return Some(Verdict::Back);
        }
        if course != Course::OnTrial {
            return None;
        }
        if self.gate == Gate::Clocked {
            let doubt = |t: &Test| t.estimate() > THETA0 && t.y.0 > 0.0 && t.p < 10.0 * self.level();
            return (self.tests.iter().any(doubt) && now < self.stage_heard + HOLD).then_some(Verdict::Hold);
        }
        let ring = self.rings.get(usize::from(stage.0)).copied().unwrap_or(1.0);
        let places = roster.ready().count() as f64;
        let trial: Vec<_> = roster.ready().filter(|(_, a)| a.line.build == build).collect();
        let newest = trial.iter().filter_map(|(_, a)| a.line.started).max()?;
        // The list runs late: a stage whose machines it does not show yet has not begun to wait.
        let shown = trial.len() as f64 + 1.0 > ring * places;
        (shown && now >= newest + WAIT && now >= self.stage_heard + WAIT / 2).then_some(Verdict::On)
    }

    fn round(
        &mut self, now: Duration, roster: &Roster, news: (Build, Stage, Course, f64), out: &mut dyn Decisions,
    ) {
        let Some(verdict) = self.verdict(now, roster, news) else { return };
        if let Some((b, s, v, sent, answer)) = self.vote
            && (b, s, v) == (news.0, news.1, verdict)
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
            let est: Vec<_> =
                self.tests.iter().map(|t| format!("{:.0}:{:+.2}", t.y.0, t.estimate())).collect();
            out.log(&format!(
                "vote {verdict:?} on build {} stage {} [{}]",
                news.0.0,
                news.1.0,
                est.join(" ")
            ));
        }
        self.vote = Some((news.0, news.1, verdict, now, None));
        out.vote(news.0, news.1, verdict);
    }
}

struct Submission {
    to: ApplianceId,
    sent: Duration,
    ending: Option<Ending>,
}

struct Held {
    txn: Txn,
    arrived: Duration,
    legs: Vec<Submission>,
    /// The first submission that may have run: when it was sent, and the group that drops its repeats.
    risk: Option<(Duration, Zone, Cell)>,
}

impl Held {
    fn out(&self) -> usize {
        self.legs.iter().filter(|l| l.ending.is_none()).count()
    }
}

/// The txns in hand, and what is agreed for them.
pub struct Desk {
    products: Vec<Terms>,
    max_submissions: usize,
    second_copies: bool,
    longest_advice: Duration,
    tick: Duration,
    held: BTreeMap<TxnId, Held>,
    /// Work that was served, and listed weight x time: what a unit of weight is seen to bear.
    served: Fading,
    weight: Fading,
    hints: Vec<(Fading, Fading)>,
    second: Fading,
    taken: Fading,
}

impl Desk {
    pub fn new(
        products: Vec<Terms>, max_submissions: usize, second_copies: bool, longest_advice: Duration,
        tick: Duration,
    ) -> Self {
        let hints = vec![<(Fading, Fading)>::default(); products.len()];
        let (held, served, weight) = (BTreeMap::new(), Fading::default(), Fading::default());
        let (second, taken) = (Fading::default(), Fading::default());
        Desk {
            products,
            max_submissions,
            second_copies,
            longest_advice,
            tick,
            held,
            served,
            weight,
            hints,
            second,
            taken,
        }
    }

    /// Mean hinted work of a product, in seconds.
    fn typical(&self, now: Duration, p: Product) -> f64 {
        let Some((work, many)) = self.hints.get(usize::from(p.0)) else { return 0.0 };
        let many = many.read(now, DEMAND_HALF);
        if many > 0.0 { work.read(now, DEMAND_HALF) / many } else { 0.0 }
    }

    fn terms(&self, p: Product) -> Option<Terms> {
        self.products.get(usize::from(p.0)).copied()
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
    wake_at: Duration,
    /// Time for a unit of hinted work: long-run mean of all appliances, and the middle appliance's now.
    base_pace: f64,
    middle_pace: f64,
    usual_work: f64,
}

impl Brain {
    pub fn new(seed: u64, roster: Roster, thaw: Thaw, exposure: Exposure, jury: Jury, desk: Desk) -> Self {
        let chance = Pcg64Mcg::seed_from_u64(seed);
        let (now, wake_at, begun) = (Duration::ZERO, Duration::ZERO, false);
        let (base_pace, middle_pace, usual_work) = (1.0, 1.0, 1e-3);
        Brain {
            now,
            begun,
            chance,
            roster,
            thaw,
            exposure,
            jury,
            desk,
            wake_at,
            base_pace,
            middle_pace,
            usual_work,
        }
    }

    /// Hears all that came in, then decides.
    pub fn round(&mut self, now: Duration, intake: impl FnOnce(&mut dyn Hears), out: &mut dyn Decisions) {
        let passed = now.saturating_sub(std::mem::replace(&mut self.now, now));
        if !self.begun {
            self.begun = true;
            self.exposure.started = Some(now);
        }
        self.exposure.trim(now);
        intake(self);
        if self.roster.ask_at.is_some_and(|t| t <= now) {
            self.roster.ask_at = None;
            out.watch_roster(true);
        }
        let weight: f64 = self.roster.ready().map(|(_, a)| f64::from(a.line.weight)).sum();
        self.desk.weight.add(now, BASE_HALF, weight * passed.as_secs_f64());
        self.base_pace = self.roster.pace(now, |_| true).unwrap_or(1.0);
        let products = (0..self.desk.products.len()).map(|p| self.desk.typical(now, Product(p as u8)));
        self.usual_work = products.fold(1e-3, f64::max);
        let mut paces: Vec<f64> =
            self.roster.ready().map(|(_, a)| a.pace(now, self.base_pace, self.usual_work)).collect();
        paces.sort_by(f64::total_cmp);
        self.middle_pace = paces.get(paces.len() / 2).copied().unwrap_or(self.base_pace);
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

    fn attend(&mut self, id: TxnId, out: &mut dyn Decisions) {
        let now = self.now;
        let Some(h) = self.desk.held.get(&id) else { return };
        let Some(terms) = self.desk.terms(h.txn.product) else { return };
        let left = h.txn.expiry.saturating_sub(now);
        let sla_left = (h.arrived + terms.sla).saturating_sub(now);
        if h.out() > 0 {
            if self.overdue(h, &terms) && sla_left > Duration::ZERO && left > self.desk.tick * 4 {
                let spare =
                    0.1 * self.desk.taken.read(now, DEMAND_HALF) - self.desk.second.read(now, DEMAND_HALF);
                if self.desk.second_copies && spare > 0.0 && self.resendable(h, &terms) {
                    if let Some(to) = self.choose(id) {
                        self.desk.second.add(now, DEMAND_HALF, 1.0);
                        self.submit(id, to, out);
                    }
                }
            }
            return;
        }
        let hopeless = sla_left.is_zero() && terms.late_share <= 0.0;
        if left <= self.desk.tick * 4 || hopeless || !self.resendable(h, &terms) {
            return self.give_up(id, out);
        }
        let (product, first) = (h.txn.product, h.legs.is_empty());
        if first && self.crowded(product, &terms, sla_left) {
            return self.give_up(id, out);
        }
        if let Some(to) = self.choose(id) {
            self.submit(id, to, out);
        }
    }

    /// Whether the rules let one more submission of this txn go out, to the right appliance.
    fn resendable(&self, h: &Held, terms: &Terms) -> bool {
        if h.legs.len() >= self.desk.max_submissions {
            return false;
        }
        match (terms.repeat, h.risk) {
            (_, None) | (Repeat::InquiryLike, _) => true,
            (Repeat::Referenced(_), Some((first, ..))) => self.now < first + terms.remembered,
            (Repeat::OnceOnly, Some(_)) => false,
        }
    }

    /// Whether the submissions out have taken far longer than their appliances usually need.
    fn overdue(&self, h: &Held, terms: &Terms) -> bool {
        let pace = self.middle_pace;
        let usual = Duration::from_secs_f64((3.0 * pace * self.work(&h.txn)).min(1e3));
        let late = usual.max(terms.sla / 4);
        h.out() == 1 && h.legs.iter().all(|l| l.ending.is_some() || self.now >= l.sent + late)
    }

    /// Whether the middle appliance answers so slowly that this product would be late: the less it earns, the
    /// sooner. Guards against queues everywhere (bursts, mass crashes, shared slowdowns). One sick appliance
    /// does not move the middle, and with no fresh answers the pace goes back to its long-run mean, so that
    /// declines end by themselves. It harms if SLA times are tighter than an idle appliance can keep.
    fn crowded(&mut self, product: Product, terms: &Terms, sla_left: Duration) -> bool {
        let most = self.desk.products.iter().map(|t| t.revenue).fold(f64::MIN_POSITIVE, f64::max);
        let expected = self.middle_pace * self.desk.typical(self.now, product);
        let pressure = expected / sla_left.as_secs_f64().max(1e-6);
        let from = 0.4 + 0.3 * terms.revenue / most;
        self.chance.random::<f64>() < (pressure - from) / 0.3
    }

    fn work(&self, txn: &Txn) -> f64 {
        let typical = self.desk.typical(self.now, txn.product);
        txn.hint.map_or(typical, |h| h.as_secs_f64()).max(1e-4)
    }

    fn give_up(&mut self, id: TxnId, out: &mut dyn Decisions) {
        let Some(h) = self.desk.held.remove(&id) else { return };
        let terms = self.desk.terms(h.txn.product);
        let repeat = terms.map(|t| t.repeat);
        let safe = matches!(repeat, Some(Repeat::InquiryLike | Repeat::Referenced(Group::All)));
        if safe || h.risk.is_none() {
            let advice = terms.map_or(Duration::ZERO, |t| t.sla / 4).min(self.desk.longest_advice);
            out.decline(id, advice);
        } else {
            out.void(id);
        }
    }

    /// Two random choices by weight within an arm; the arm by the trial build's share of the listed weight.
    fn choose(&mut self, id: TxnId) -> Option<ApplianceId> {
        let now = self.now;
        let h = self.desk.held.get(&id)?;
        let terms = self.desk.terms(h.txn.product)?;
        let work = self.work(&h.txn);
        // What the fleet was seen to bear, for each unit of weight.
        let weight = self.desk.weight.read(now, BASE_HALF);
        let fair = self.desk.served.read(now, BASE_HALF) / weight.max(1e-9);
        let mut arms: [Vec<(ApplianceId, f64, f64)>; 2] = Default::default();
        let mut listed = [0.0; 2];
        let mut permitted = BTreeMap::new();
        for (aid, a) in self.roster.ready() {
            let weight = f64::from(a.line.weight) * self.thaw.warmth(a.age(now));
            let arm = usize::from(self.exposure.bound(a.line.build).is_some());
            let in_group = match (terms.repeat, h.risk) {
                (Repeat::Referenced(Group::Zone), Some((_, zone, _))) => a.line.zone == zone,
                (Repeat::Referenced(Group::Cell), Some((.., cell))) => a.line.cell == cell,
                _ => true,
            };
            let may = || self.exposure.permits(now, a.line.build, h.txn.product, terms.repeat, h.txn.mark);
            let out_there = h.legs.iter().any(|l| l.to == aid && l.ending.is_none());
            if !in_group
                || out_there
                || !*permitted.entry(a.line.build).or_insert_with(may)
                || !self.thaw.bears(now, a, fair * f64::from(a.line.weight), work)
            {
                continue;
            }
            let tried = h.legs.iter().any(|l| l.to == aid);
            let barred = now < a.barred_until;
            listed[arm] += if barred { 0.0 } else { weight };
            let odds = weight * if tried { 0.01 } else { 1.0 } * if barred { 1e-4 } else { 1.0 };
            arms[arm].push((aid, odds, self.cost(a)));
        }
        let share = listed[1] / (listed[0] + listed[1]).max(1e-9);
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

    /// What a txn may expect to wait there, relative to others of the same build.
    fn cost(&self, a: &Appliance) -> f64 {
        let now = self.now;
        let pace = a.pace(now, self.base_pace, self.usual_work);
        let across = if a.line.zone == self.roster.zone { 1.0 } else { 1.3 };
        pace * (1.0 + a.out.len() as f64) * across
            / (1.0 - 0.9 * a.failing(now))
            / f64::from(a.line.weight).max(1e-3)
    }

    /// The one place that every submission passes.
    fn submit(&mut self, id: TxnId, to: ApplianceId, out: &mut dyn Decisions) {
        let now = self.now;
        let (Some(h), Some(a)) = (self.desk.held.get(&id), self.roster.known.get(&to)) else { return };
        let (txn, build) = (h.txn, a.line.build);
        let work = self.work(&txn);
        let Some(terms) = self.desk.terms(txn.product) else { return };
        if a.line.mode != Mode::Ready
            || !self.resendable(h, &terms)
            || !self.exposure.permits(now, build, txn.product, terms.repeat, txn.mark)
        {
            return;
        }
        if self.exposure.bound(build).is_some() {
            self.exposure.sent.push_back((now, txn.product, build));
        }
        let (Some(h), Some(a)) = (self.desk.held.get_mut(&id), self.roster.known.get_mut(&to)) else {
            return;
        };
        self.thaw.note(now, a, work);
        let leg = Leg(h.legs.len() as u8);
        let young = a.age(now).is_some_and(|age| age < YOUNG);
        a.out.insert((id, leg), Out { sent: now, work, product: txn.product, build, young });
        h.legs.push(Submission { to, sent: now, ending: None });
        // Until it is proved not to have run, it may have: the group and window of a repeat are fixed by it.
        h.risk = h.risk.or(Some((now, a.line.zone, a.line.cell)));
        out.submit(id, to, Duration::ZERO);
    }

    fn judge(&mut self, o: &Out, ending: Ending, took: Duration) {
        let Some(terms) = self.desk.terms(o.product) else { return };
        let slow = took > terms.sla * 2;
        let score = match ending {
            Ending::Unsent | Ending::Unconnected => return,
            Ending::CalledOff if !slow => return,
            Ending::Served => f64::from(u8::from(slow)),
            _ => 1.0,
        };
        let trial = self.jury.judged.is_some_and(|b| o.build >= b);
        if o.young && trial {
            return;
        }
        let level = self.jury.level();
        if let Some(test) = self.jury.tests.get_mut(usize::from(o.product.0)) {
            test.observe(trial, score, level);
        }
    }
}

impl Hears for Brain {
    fn txn(&mut self, id: TxnId, txn: Txn) {
        let now = self.now;
        self.exposure.taken.push_back((now, txn.product));
        self.desk.taken.add(now, DEMAND_HALF, 1.0);
        if let (Some(hint), Some(sums)) = (txn.hint, self.desk.hints.get_mut(usize::from(txn.product.0))) {
            sums.0.add(now, DEMAND_HALF, hint.as_secs_f64());
            sums.1.add(now, DEMAND_HALF, 1.0);
        }
        self.desk.held.insert(id, Held { txn, arrived: now, legs: Vec::new(), risk: None });
    }

    fn ended(&mut self, id: TxnId, leg: Leg, at: ApplianceId, ending: Ending, took: Duration, closed: bool) {
        let now = self.now;
        let mates_fail = {
            let build = self.roster.known.get(&at).map(|a| a.line.build);
            let mates = self.roster.ready().filter(|(id, a)| *id != at && Some(a.line.build) == build);
            let (many, sum) = mates.fold((0.0, 0.0), |(n, s), (_, a)| (n + 1.0, s + a.failing(now)));
            (many > 0.0).then(|| sum / many)
        };
        let mut gone = None;
        if let Some(a) = self.roster.known.get_mut(&at)
            && let Some(o) = a.out.remove(&(id, leg))
        {
            let fail = !matches!(ending, Ending::Served | Ending::CalledOff | Ending::Unsent);
            if ending != Ending::Unsent {
                a.answers.add(now, HEALTH_HALF, 1.0);
                a.fails.add(now, HEALTH_HALF, f64::from(u8::from(fail)));
            }
            if ending == Ending::Served {
                a.recent.add(now, HEALTH_HALF, took, o.work);
                a.base.add(now, BASE_HALF, took, o.work);
                self.desk.served.add(now, BASE_HALF, o.work);
            }
            // An appliance that fails far more than others of its build is left alone for a while, longer each
            // time. A build as a whole is never barred: its failures are the test's evidence.
            if fail && mates_fail.is_some_and(|m| a.failing(now) > m + 0.3) && now >= a.barred_until {
                a.bar = (a.bar * 2).clamp(HEALTH_HALF / 2, HEALTH_HALF * 2);
                a.barred_until = now + a.bar;
            } else if ending == Ending::Served && now >= a.barred_until {
                a.bar = Duration::ZERO;
            }
            gone = Some(o);
        }
        if let Some(o) = gone {
            self.judge(&o, ending, took);
            if ending == Ending::Served
                && self.exposure.news.is_some_and(|(b, ..)| o.build == b)
                && let Some(mark) = self.desk.held.get(&id).and_then(|h| h.txn.mark)
                && self.exposure.forward_only
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
            let ran = |l: &&Submission| {
                !matches!(l.ending, Some(Ending::TurnedAway | Ending::Unconnected | Ending::Unsent))
            };
            let first = h.legs.iter().find(ran).map(|l| (l.sent, l.to));
            h.risk = first
                .and_then(|(sent, to)| self.roster.known.get(&to).map(|a| (sent, a.line.zone, a.line.cell)));
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
        if self.exposure.news.is_some_and(|(b, ..)| build < b) {
            return;
        }
        if self.exposure.news.is_none_or(|(b, s, ..)| (b, s) != (build, stage)) {
            self.jury.stage_heard = self.now.saturating_sub(age);
        }
        if self.exposure.news.is_none_or(|(b, ..)| b != build) {
            self.exposure.answered.clear();
        }
        if course == Course::OnTrial && self.jury.judged != Some(build) {
            self.jury.judged = Some(build);
            self.jury.tests.fill(Test::default());
        }
        self.exposure.news = Some((build, stage, course, cap));
    }

    fn vote_answered(&mut self, ending: Ending) {
        if let Some(vote) = &mut self.jury.vote {
            vote.4 = Some(ending);
        }
    }

    fn tally(&mut self, _: Build, _: Product, _: u32, _: u32, _: Duration, _: Duration) {}

    fn wrong_answer(&mut self, at: ApplianceId, product: Product, sent_ago: Duration) {
        let sent = self.now.saturating_sub(sent_ago);
        let Some(a) = self.roster.known.get(&at) else { return };
        let trial = self.jury.judged.is_some_and(|b| a.line.build >= b);
        let young = a.line.started.is_some_and(|s| sent < s + YOUNG);
        let Some(test) = self.jury.tests.get_mut(usize::from(product.0)) else { return };
        let arm = if trial { &mut test.y } else { &mut test.x };
        // The outcome it names was counted as good.
        if !young && arm.1 + 1.0 <= arm.0 {
            arm.1 += 1.0;
        }
    }

    fn woken(&mut self, _: Ticket) {}
}
