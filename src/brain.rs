//! All decisions of an agent. Make the parts (`parts.rs`) from what the deployment is told at its start, put
//! them together with [`Brain::new`], then call [`Brain::round`] once a round with all that came in; what is
//! decided goes into the writer passed along. The interface is in `port.rs`, the reasons in `docs/design.md`.
use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::parts::*;
use crate::port::*;
use crate::report;
use crate::state::*;

/// Outcomes and times fade by half in this long: a few answers of a small agent's share of an appliance.
const RECENT: Duration = Duration::from_secs(1);
/// What is usual fades by half in this long.
pub(crate) const USUAL: Duration = Duration::from_secs(10);

/// Its own pace in the long run, drawn to that of all while it is little known.
fn usual(a: &Appliance, now: Duration, stock: &Stock) -> f64 {
    let (took, worked) = a.record.usual.read(now, USUAL);
    ((took + stock.usual_pace) / (worked + 1.0)).max(1e-3)
}

/// Its pace of late, drawn to its usual one.
fn pace(a: &Appliance, now: Duration, stock: &Stock) -> f64 {
    let (took, worked) = a.record.recent.read(now, RECENT);
    let prior = 2.0 * stock.usual_work;
    (took + prior * usual(a, now, stock)) / (worked + prior)
}

/// Whether a barred appliance is left alone; at times it is tried with one request.
fn shut(a: &Appliance, now: Duration, panic: bool) -> bool {
    a.barred() && !panic && (now < a.record.barred_until || !a.out.is_empty())
}

/// Leaves an appliance alone for a while, twice as long each time in a row, unless it is already.
fn strike(record: &mut Record, now: Duration, at: ApplianceId, why: &'static str) -> Option<Note> {
    (now >= record.barred_until).then(|| {
        record.bar = (record.bar * 2).clamp(RECENT, RECENT * 8);
        record.barred_until = now + record.bar;
        Note::Barred { at, why, until: record.barred_until }
    })
}

impl Membership {
    /// Agents that came up or were refused together ask one after another, by chance; many, over half of the
    /// time allowed. Guards against waves that a service of fixed capacity refuses whole, again and again.
    /// Harms, by as much, one that comes up alone amid a change. A watch that stood and broke is asked for in
    /// a fifth of that time at most: what it misses counts as told some seconds after it fell silent.
    pub(crate) fn update(
        &mut self, now: Duration, listing: Listing, lines: &mut dyn Iterator<Item = Line>, agents: u32,
        chance: &mut Pcg64Mcg,
    ) {
        self.fleet.list(listing, lines);
        let Some(within) = self.ask_within else { return };
        let crowd = within * agents.min(20) / 40;
        let (least, pause, luck) = (within / 20 + crowd, self.ask_pause, chance.random::<f64>());
        let (wait, next) = match listing {
            Listing::Saved => (crowd.mul_f64(luck), least),
            Listing::Failed if pause.is_zero() => (least.min(within / 5).mul_f64(luck), least),
            Listing::Failed => (pause.mul_f64(0.5 + luck), (pause * 2).min(within)),
            _ => return self.ask_pause = Duration::ZERO,
        };
        (self.ask_at, self.ask_pause) = (Some(now + wait), next);
    }
}

impl Thaw {
    /// The least share of its full capacity that an appliance can have now.
    fn warmth(&self, age: Option<Duration>) -> f64 {
        let Some(age) = age.filter(|&a| a < self.ramp) else { return 1.0 };
        self.cold_from + (1.0 - self.cold_from) * age.as_secs_f64() / self.ramp.as_secs_f64()
    }

    /// Whether an appliance was too young to be evidence when this was sent to it.
    pub(crate) fn young(&self, line: &Line, sent: Duration) -> bool {
        line.started.is_some_and(|s| sent < s + self.ramp * 9 / 8)
    }

    /// Whether a request keeps this agent's part of the budget: what it would send a warm one of its weight,
    /// so that all parts add up to what such a one bears. A part below one request is a chance of one: the
    /// luck a request draws once a span, against twice (for the two choices) what would go there of all `due`
    /// work. Guards against the first requests of hundreds of agents.
    fn bears(&self, now: Duration, a: &Appliance, fair_rate: f64, h: &Held, due: f64) -> bool {
        let warmth = self.warmth(a.age(now));
        let sent = || a.pushed(now, self.span);
        let budget = 0.75 * self.multiple * warmth * fair_rate * self.span.as_secs_f64();
        let first = || a.out.is_empty() && h.luck.1 * 2.0 * a.part * due < budget && sent() == 0.0;
        warmth >= 1.0 || sent() + h.work <= budget || first()
    }
}

impl Exposure {
    /// The stage and cap that bind for a build; nothing if it is not on trial.
    fn bound(&self, build: Build) -> Option<(Stage, f64)> {
        match self.news {
            Some(n) if build < n.build || (build == n.build && n.course == Course::Released) => None,
            Some(n) if build == n.build => Some((n.stage, n.cap)),
            _ => Some((Stage(0), self.first_cap)),
        }
    }

    /// Whether the operator's rules leave a build open there for a request; without any all are.
    fn open(&self, build: Build, zone: Zone, h: &Held) -> bool {
        self.openings.as_ref().is_none_or(|o| o.admits(build, zone, h.request.tenant, h.request.product))
    }

    /// Whether a request may go to a build at all.
    fn admits(&self, build: Build, zone: Zone, h: &Held) -> bool {
        if !self.open(build, zone, h) {
            return false;
        }
        let Some((stage, cap)) = self.bound(build) else {
            let onward = |n: News| build < n.build && matches!(n.course, Course::OnTrial | Course::Released);
            let answered = h.request.mark.is_some_and(|m| self.windows.answered.contains(&m));
            return !(self.forward_only && answered && self.news.is_some_and(onward));
        };
        cap > 0.0 && (stage.0 >= self.guarded || h.terms.repeat == Repeat::InquiryLike)
    }

    fn permits(&self, now: Duration, Line { build, zone, .. }: Line, h: &Held) -> bool {
        let admitted = self.admits(build, zone, h);
        let Some((_, cap)) = self.bound(build).filter(|_| admitted) else { return admitted };
        // Strictly inside the window, by a tick: an arrival at its very edge may not be counted.
        let edge = (now + self.tick + Duration::from_micros(1)).saturating_sub(self.span);
        let (lane, from, w) = (self.lane(h.request.product), now.saturating_sub(self.span), &self.windows);
        let (sent, taken) = (w.sent_since(lane, build, from), w.taken_since(lane, edge));
        // What an earlier life of this agent sent is not known: its free allowance may be used up.
        let free = if w.started.is_some_and(|s| s + self.span >= now) { 0.0 } else { self.free };
        sent as f64 + 1.0 <= free + cap * taken as f64
    }
}

/// Mixing deviation of the test, and the tolerated worsening.
const TAU: f64 = 0.05;
const THETA0: f64 = 0.005;
/// After the release, going back costs some time without service: not for less than this.
const GRAVE: f64 = 0.05;
/// Level of the test, before it is divided among the tests.
const ALPHA: f64 = 0.05;
/// From the newest trial appliance's start to the on: the design's 3 s, and some for a late clock.
const WAIT: Duration = Duration::from_millis(3500);
/// Trial outcomes without which a test does not speak.
const ENOUGH: f64 = 20.0;
/// So many appliances of an arm serve an agent with hardly a request out: enough to choose and to lose some.
const HOMES: f64 = 8.0;
/// How many agents gather the others' outcomes.
const JUDGES: u32 = 3;
/// Share of what is usually served in time, and of what is asked, that must be missing to convict a build
/// that slows old and new alike; half holds the on. Short slowdowns pass; after the release it must last.
const LOST: f64 = 0.35;
/// Share of attempts without a connection at which connections are short.
const SHORT: f64 = 0.05;
/// Wait beyond the work, as a share of an SLA time, that counts as a queue.
const QUEUE: f64 = 0.15;

/// The paper's two-sample test: X at earlier builds, Y at the build on trial.
pub struct Test {
    theta0: f64,
    tau: f64,
    alpha: f64,
    arms: Arms,
    pub p: f64,
    interval: (f64, f64),
}

impl Test {
    pub fn new(theta0: f64, tau: f64, alpha: f64) -> Self {
        Test { theta0, tau, alpha, arms: Arms::default(), p: 1.0, interval: (f64::MIN, f64::MAX) }
    }

    /// Takes outcomes, how many of them bad, and the trial appliance they come from.
    pub fn observe(&mut self, trial: Option<ApplianceId>, many: f64, bad: f64) {
        self.arms.put(trial, many, bad);
        let (n, (x, y)) = (self.arms.x.0.min(self.arms.y.0), self.arms.means());
        let v = x * (1.0 - x) + y * (1.0 - y);
        if n < 1.0 || v <= 0.0 {
            return;
        }
        let mixed = v + n * self.tau * self.tau;
        let spread = 2.0 * v * mixed / (n * self.tau).powi(2);
        let lambda = (v / mixed).sqrt() * ((y - x - self.theta0).powi(2) / spread).exp();
        // One-sided, unlike the paper's: a trial that did better for a while must not count against it later.
        if y - x > self.theta0 {
            self.p = self.p.min(1.0 / lambda);
        }
        // The running interval of the paper; when the estimate leaves it, inference begins anew.
        let half = (spread * ((1.0 / self.alpha).ln() + 0.5 * (mixed / v).ln())).sqrt();
        self.interval = (self.interval.0.max(y - x - half), self.interval.1.min(y - x + half));
        if y - x < self.interval.0 || y - x > self.interval.1 {
            (self.p, self.interval) = (1.0, (f64::MIN, f64::MAX));
        }
    }

    /// Whether the trial looks worse, on enough outcomes, and also without the quarter of its appliances that
    /// look worst. Guards against bad machines and noisy neighbours that happen to carry the build: a build
    /// is bad wherever it runs. It harms where only one machine will ever carry it.
    fn doubtful(&self) -> bool {
        let by = worst_first(self.arms.by.values().copied());
        let rest = by.iter().skip(by.len().div_ceil(4));
        let (n, sum) = rest.fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        let elsewhere = n * 2.0 >= ENOUGH && sum / n - self.arms.means().0 > self.theta0;
        self.arms.y.0 >= ENOUGH && self.arms.worse() > self.theta0 && elsewhere
    }
}

impl Jury {
    /// Whether machines of an earlier stage fail, as younger ones may yet do, and not just a third of them.
    /// Guards against builds that turn bad some time after their start. It harms, by a delay, where more of
    /// just these have a trouble of their own.
    fn ages(&self, fleet: &Fleet, build: Build) -> bool {
        let test = self.own.tests.get(self.products).filter(|t| t.arms.worse() > THETA0);
        let Some(Test { arms, .. }) = test else { return false };
        let trial = fleet.running(build);
        let newest = trial.iter().filter_map(|(_, a)| a.line.started).max().unwrap_or_default();
        let old = |a: &Appliance| a.line.started.is_some_and(|s| s + self.dwell < newest) && !a.barred();
        let by = trial.iter().filter(|x| old(x.1)).filter_map(|x| arms.by.get(&x.0).copied());
        let by = worst_first(by);
        let rest = by.iter().skip((by.len() + 1) / 3);
        rest.filter(|b| b.1 / b.0 > arms.means().0 + 2.0 * THETA0).map(|b| b.1).sum::<f64>() >= ENOUGH / 6.0
    }

    /// Those that agents report to: a few, spread by the build, so that hundreds need not hear of each other.
    pub(crate) fn judges(&self, build: Build) -> impl Iterator<Item = AgentId> + use<> {
        let (agents, some) = (self.among.agents.max(1), self.among.agents.clamp(1, JUDGES));
        (0..some).map(move |i| AgentId((u32::from(build.0) + i * agents / some) % agents))
    }

    fn judging(&self, build: Build) -> bool {
        self.judges(build).any(|judge| judge == self.among.me)
    }

    /// Who is not told the others' outcomes shares the chance of a false alarm with all agents.
    fn level(&self) -> f64 {
        let alone = !self.own.build.is_some_and(|b| self.judging(b));
        ALPHA / (self.products + 2) as f64 / if alone { f64::from(self.among.agents) } else { 1.0 }
    }

    fn learn(&mut self, trial: Option<ApplianceId>, product: Product, [many, bad, timed, late]: [u8; 4]) {
        let (many, bad, last) = (f64::from(many), f64::from(bad), self.products + 1);
        for i in [usize::from(product.0), self.products] {
            self.own.tests[i].observe(trial, many, bad);
        }
        if timed > 0 {
            self.own.tests[last].observe(trial, f64::from(timed), f64::from(late));
        }
    }

    pub(crate) fn note(&mut self, trial: Option<ApplianceId>, product: Product, counts: [u8; 4]) {
        if !self.own.tests.is_empty() {
            self.learn(trial, product, counts);
            self.own.noted(trial, product, counts);
        }
    }

    /// Passes counts of outcomes on to the judges, with what work was served in time since, would usually be
    /// and was asked: at most a short message a dwell, and none without an outcome of the trial's.
    fn report(&mut self, now: Duration, woke: Duration, news: News, turn: f64, out: &mut dyn Decisions) {
        self.pass_on(now, news.build, out);
        let heard = self.own.report.keys().any(|(trial, _)| trial.is_some());
        if !heard || now < self.own.report_at || self.own.build != Some(news.build) {
            return;
        }
        // What an agent that stood still did not serve in time is its own doing.
        let sums = self.own.take_sums().map(|sum| if now < woke + USUAL / 4 { 0 } else { sum });
        self.own.pool(now, USUAL / 4, sums);
        self.send_report(now, news.build, sums, turn, out);
    }

    /// Takes a report: only of the build in hand, newer than the last of its sender, about known products
    /// and appliances. What is lost, late, doubled or malformed is left out and changes nothing.
    pub(crate) fn told(&mut self, now: Duration, from: AgentId, octets: &[u8], fleet: &Fleet) {
        let Some((build, version, sums, entries)) = report::read(octets) else { return };
        let last = self.own.heard.get(&from).copied().unwrap_or_default();
        let known = self.own.build == Some(build) && from.0 < self.among.agents;
        if !known || version <= last {
            return;
        }
        let (products, at) = (self.products, |id| fleet.0.get(&id).is_some_and(|a| a.line.build == build));
        let entries = entries.filter(|e| e.0.is_none_or(at) && usize::from(e.1.0) < products);
        if !self.judging(build) {
            return self.pool_for_group(now, from, (build, version), sums, entries);
        }
        self.own.heard.insert(from, version);
        self.own.pool(now, USUAL / 4, sums);
        entries.for_each(|(trial, product, counts)| self.learn(trial, product, counts));
    }

    pub(crate) fn begin(&mut self, now: Duration, build: Build, started: Duration, past: &Demand, turn: f64) {
        // An agent that restarted amid a trial has no time before it to compare with.
        let (borne, weight) = past.borne.read(now, USUAL);
        self.own.bore = if started + USUAL / 4 < now { borne / weight.max(1e-9) } else { 0.0 };
        (self.own.build, self.own.turn) = (Some(build), turn);
        self.own.version.0 = started.as_millis() as u32;
        (self.own.report, self.own.pooled) = Default::default();
        (self.own.sums, self.own.kept, self.own.met, self.own.before, self.own.stage) = Default::default();
        let level = self.level();
        self.own.tests = (0..=self.products).map(|_| Test::new(THETA0, TAU, level)).collect();
        self.own.tests.push(Test::new(40.0 * THETA0, 6.0 * TAU, level));
    }

    /// `stays` while the operator's rules let no step on be asked for; a back is never held up.
    fn verdict(&self, now: Duration, fleet: &Fleet, news: News, lost: f64, stays: bool) -> Option<Verdict> {
        let News { build, stage, course, .. } = news;
        if !matches!(course, Course::OnTrial | Course::Released) || self.own.build != Some(build) {
            return None;
        }
        let released = course == Course::Released;
        let (grave, long) = if released { (GRAVE, USUAL * 3 / 2) } else { (0.0, Duration::ZERO) };
        let worse = |t: &Test| t.p <= self.level() && t.doubtful() && t.arms.worse() > grave;
        // Slowness may lie on an agent's own way there: it convicts only for a judge, who hears of many.
        let spoken = self.products + 1 + usize::from(self.judging(build));
        if self.own.tests.iter().take(spoken).any(worse) || now > self.own.well + long {
            return Some(Verdict::Back);
        }
        if released {
            return None;
        }
        let doubt = self.own.tests.iter().any(Test::doubtful) || lost > LOST / 2.0;
        if self.gate == Gate::Clocked {
            return (stays || doubt && now < news.since + self.dwell * 4 / 3).then_some(Verdict::Hold);
        }
        let ring = self.rings.get(usize::from(stage.0)).copied().unwrap_or(1.0);
        let trial = fleet.running(build);
        let places = fleet.ready().count() - if self.rolling { 0 } else { trial.len() };
        let newest = trial.iter().filter_map(|(_, a)| a.line.started).max()?;
        // The list runs late: a stage whose machines it does not show has not begun to wait.
        let shown = trial.len() as f64 + 0.5 >= ring * places as f64 || now >= news.since + self.dwell * 6;
        // In doubt, an agent and those it told wait for more outcomes; over failures, which a good build has
        // not, longer. Guards against agents that wave on what another is about to convict.
        let failing = self.own.tests.iter().rev().skip(1).any(Test::doubtful) || now < self.own.warned;
        let waits = [1, 3, 6][usize::from(doubt).max(2 * usize::from(failing))];
        // The judges go first; others stand in, spread by chance, if none of them speaks.
        let stand_in = if self.judging(build) { 0.0 } else { 1.0 + 2.0 * self.own.turn };
        let due = newest + WAIT * waits + WAIT.mul_f64(stand_in);
        (shown && !stays && now >= due && now >= news.since + self.dwell).then_some(Verdict::On)
    }

    fn round(
        &mut self, now: Duration, fleet: &Fleet, news: News, (lost, stays): (f64, bool),
        out: &mut dyn Decisions,
    ) {
        self.own.well = if lost <= LOST { now } else { self.own.well };
        let tried = news.course == Course::OnTrial && self.own.build == Some(news.build);
        let ages = tried && self.ages(fleet, news.build);
        self.own.warned = if ages { now + self.dwell } else { self.own.warned };
        let doubt = tried && (ages || self.own.tests.iter().any(Test::doubtful));
        if self.among.may_tell && doubt && self.judging(news.build) && now >= self.own.warn_at {
            self.own.warn_at = now + self.dwell / 2;
            out.tell(None, &news.build.0.to_be_bytes());
        }
        let Some(verdict) = self.verdict(now, fleet, news, lost, stays) else { return };
        let ballot = (news.build, news.stage, verdict);
        if let Some(last) = self.own.vote.as_ref().filter(|v| v.ballot == ballot) {
            let again = match last.answer {
                Some(Ending::Served) => self.calls.lasts * 4 / 5,
                Some(_) => self.calls.wait / 4,
                None => self.calls.wait * 2,
            };
            if now < last.sent + again {
                return;
            }
        } else {
            let tests = self.own.tests.iter().map(|t| (t.arms.y.0, t.arms.worse(), t.p));
            out.log(&report::ballot(ballot, lost, tests));
        }
        self.own.vote = Some(Vote { ballot, sent: now, answer: None });
        out.vote(news.build, news.stage, verdict);
    }
}

/// Whether the rules let one more attempt go out, to an appliance of the right group.
fn resendable(h: &Held, now: Duration) -> bool {
    match (h.terms.repeat, h.risk) {
        (_, None) | (Repeat::InquiryLike, _) => true,
        (Repeat::Referenced(_), Some((first, ..))) => now < first + h.terms.remembered,
        (Repeat::OnceOnly, Some(_)) => false,
    }
}

pub struct Brain {
    pub(crate) now: Duration,
    pub(crate) chance: Pcg64Mcg,
    pub(crate) membership: Membership,
    pub(crate) thaw: Thaw,
    pub(crate) exposure: Exposure,
    pub(crate) jury: Jury,
    pub(crate) desk: Desk,
    pub(crate) demand: Demand,
    pub(crate) stock: Stock,
}

impl Brain {
    pub fn new(
        seed: u64, membership: Membership, thaw: Thaw, exposure: Exposure, jury: Jury, desk: Desk,
    ) -> Self {
        let (chance, now, demand) = (Pcg64Mcg::seed_from_u64(seed), Duration::ZERO, Demand::default());
        let stock = Stock { usual_pace: 1.0, middle_pace: 1.0, usual_work: 1e-3, ..Stock::default() };
        Brain { now, chance, membership, thaw, exposure, jury, desk, demand, stock }
    }

    pub fn round(&mut self, now: Duration, intake: impl FnOnce(&mut dyn Hears), out: &mut dyn Decisions) {
        let before = std::mem::replace(&mut self.now, now);
        let started = *self.exposure.windows.started.get_or_insert(now);
        let passed = now.saturating_sub(before.max(started));
        // A wake-up far too late: the agent itself stood still, and takes none of it for others' troubles.
        if before >= started && now > self.stock.wake_at + self.desk.tick * 20 {
            self.stock.woke = now;
        }
        self.exposure.windows.trim(now.saturating_sub(self.exposure.span));
        intake(self);
        if self.membership.ask_at.take_if(|t| *t <= now).is_some() {
            out.watch_membership(true);
        }
        self.stock.passed += passed;
        // The walk over the fleet is made once a beat, or once for as many events as there are appliances.
        if now >= self.stock.next || self.stock.heard > self.membership.fleet.0.len() {
            self.take_stock();
            // Where connections are refused, idle ones go back at once, to go round among agents. Guards
            // against appliances that accept far fewer than usual; costs handshakes.
            let short = self.demand.shut.share(now, USUAL, 2.0) > SHORT;
            let idle = |a: &Appliance| short && a.linked && a.out.is_empty();
            for (&id, a) in self.membership.fleet.0.iter_mut().filter(|(_, a)| idle(a)) {
                a.linked = false;
                out.free_links(id);
            }
        }
        let order: BTreeSet<_> = self.desk.held.iter().map(|(&id, h)| (h.arrived, id)).collect();
        let mut beat = now + self.desk.tick * 20;
        for (_, id) in order {
            beat = self.attend(id, out).map_or(beat, |next| beat.min(next));
        }
        if let Some(news) = self.exposure.news {
            self.jury.report(now, self.stock.woke, news, self.chance.random_range(0.5..0.8), out);
            let stays = self.exposure.openings.as_ref().is_some_and(|o| !o.may_step(news.build, news.stage));
            self.jury.round(now, &self.membership.fleet, news, (self.stock.lost, stays), out);
        }
        self.stock.notes.drain(..).for_each(|note| out.note(note));
        let beat = beat.max(now + self.desk.tick * 2);
        if self.stock.wake_at <= now || beat < self.stock.wake_at {
            self.stock.wake_at = beat;
            out.wake(beat, Ticket(0));
        }
    }

    fn take_stock(&mut self) {
        let now = self.now;
        (self.stock.next, self.stock.heard) = (now + self.desk.tick * 20, 0);
        let fleet = &self.membership.fleet;
        let listed = self.demand.lived(now, USUAL, std::mem::take(&mut self.stock.passed), fleet.weight());
        self.jury.own.work([0.0, self.jury.own.bore * listed, 0.0]);
        self.stock.measure(now, (RECENT, USUAL), fleet, &self.demand);
        let mut paces: Vec<f64> = fleet.ready().map(|(_, a)| pace(a, now, &self.stock)).collect();
        paces.sort_by(f64::total_cmp);
        self.stock.middle_pace = paces.get(paces.len() / 2).copied().unwrap_or(self.stock.usual_pace);
        // Silence: several attempts wait far longer than usual, and nothing came since the oldest. Guards
        // against machines that vanished, froze or were cut off, long before the list tells.
        let patience = 6.0 * self.stock.middle_pace * self.stock.usual_work;
        for (&at, a) in &mut self.membership.fleet.0 {
            let silent = a.unheard_since().map(|o| now.saturating_sub(o.max(self.stock.woke)).as_secs_f64());
            if silent.is_some_and(|s| s > patience) {
                self.stock.notes.extend(strike(&mut a.record, now, at, "silent"));
            }
        }
        self.arrange();
        let few = Duration::from_secs_f64(ENOUGH / 4.0 / self.stock.served.max(1.0));
        self.stock.few = few.clamp(RECENT, USUAL);
        let Some(News { build, stage, .. }) = self.exposure.news else { return };
        self.jury.own.paces.extend(self.membership.fleet.paces(now, USUAL, build));
        // Lost against what was at the end of the stage before: a build that slows all does so in step with
        // its stages; what came earlier is not its doing. Only with enough traffic to tell, a past, and from
        // a judge: of hundreds one always has a bad day. It harms where another trouble comes with a stage.
        let kept = self.jury.own.kept(now, USUAL / 4, stage, 1.25 * ENOUGH * self.stock.usual_work);
        self.stock.lost = kept.filter(|_| self.jury.judging(build)).map_or(0.0, |kept| 1.0 - kept);
    }

    /// Does what is due for a request, and says when to look at it again without an event.
    fn attend(&mut self, id: RequestId, out: &mut dyn Decisions) -> Option<Duration> {
        let now = self.now;
        let h = self.desk.held.get_mut(&id)?;
        let usual = self.stock.middle_pace * h.work.max(self.stock.usual_work);
        let usual = Duration::from_secs_f64(usual.min(15.0));
        // Once the agent is to end, nothing begins of which it would not see the end.
        let need = if h.request.deadline == self.desk.ends { usual } else { Duration::ZERO };
        let left = h.request.deadline.saturating_sub(now) > need.max(self.desk.tick * 4);
        let sla_left = (h.arrived + h.terms.sla).saturating_sub(now);
        let more = left && h.attempts.len() < self.desk.max_attempts && resendable(h, now);
        let waiting = h.out().next().map(|(attempt, l)| (attempt, l.to, l.sent, l.called_off));
        if let Some((attempt, to, sent, called_off)) = waiting {
            let usual = (usual * 4).max(h.terms.sla / 4);
            // Given up for lost: nothing comes from there, or what was sent later has come back. Guards
            // against lost messages and stuck work as well as dead machines.
            let a = self.membership.fleet.0.get(&to);
            let lost = a.is_none_or(|a| a.record.passed > sent || (a.barred() && a.record.heard < sent));
            if !more || sla_left.is_zero() {
                return None;
            }
            if now < sent + usual {
                return Some(sent + usual);
            }
            if lost && self.desk.may_call_off && !called_off {
                h.attempts[usize::from(attempt.0)].called_off = true;
                out.call_off(id, attempt);
            }
            return Some(now + self.desk.tick * 8);
        }
        let (terms, hopeless) = (h.terms, sla_left.is_zero() && h.terms.late_share <= 0.0);
        let fresh = h.attempts.last().is_none_or(|l| l.ending == Some(Ending::TurnedAway));
        // Resends go on only as far as they have helped of late. Guards against storms over requests that
        // fail wherever they go; harms for a while where a trouble has just passed.
        let failed = h.attempts.last().is_some_and(|l| l.ending == Some(Ending::Failed));
        let vain =
            failed && self.chance.random::<f64>() > self.demand.again.helped(now, self.stock.few) + 0.1;
        if !more || hopeless || if fresh { self.crowded(&terms, sla_left) } else { vain } {
            let late = if hopeless { "late" } else { "no-more" };
            let why = if !more || hopeless { late } else { ["vain", "crowded"][usize::from(fresh)] };
            self.give_up(id, why, out);
            return None;
        }
        let Some(to) = self.choose(id) else {
            if self.shut_out(id) {
                self.give_up(id, "closed", out);
                return None;
            }
            self.stock.next = now;
            return Some(now + self.desk.tick * 2);
        };
        self.send_attempt(id, to, out);
        None
    }

    /// Whether a request waits too long if it is sent: the less it earns, the sooner. Guards against queues
    /// (bursts, lost machines, shared slowdowns, retry storms). Harms if an idle appliance is late as it is.
    fn crowded(&mut self, terms: &Terms, sla_left: Duration) -> bool {
        let most = self.desk.products.iter().map(|t| t.revenue).fold(f64::MIN_POSITIVE, f64::max);
        let pressure = self.queue(sla_left);
        // What came late: all that an agent sees of a queue with hardly a request of its own in it.
        let late = self.demand.late.share(self.now, self.stock.few, 2.0);
        let strain = f64::max((pressure - 0.15 - 0.1 * terms.revenue / most) / 0.25, 2.0 * (late - 0.15));
        self.chance.random::<f64>() < strain.max(self.demand.full.share(self.now, RECENT, 1.0))
    }

    /// What a request must expect to wait beyond its work, as a share of a time, by what is out and served. A
    /// few idle requests beside keep little traffic from looking like a queue.
    fn queue(&self, of: Duration) -> f64 {
        // Nothing can have been served yet by an agent that has just come up.
        if self.exposure.windows.started.is_none_or(|s| self.now < s + RECENT) {
            return 0.0;
        }
        let (few, idle) = (4.0, self.stock.usual_work);
        let wait = (self.membership.fleet.out() as f64 + few) / (self.stock.served + few / idle);
        (wait - idle) / of.as_secs_f64().max(1e-6)
    }

    fn give_up(&mut self, id: RequestId, why: &'static str, out: &mut dyn Decisions) {
        out.note(Note::GivenUp(why));
        let Some(h) = self.desk.held.remove(&id) else { return };
        let safe = matches!(h.terms.repeat, Repeat::InquiryLike | Repeat::Referenced(Group::All));
        if safe || h.risk.is_none() {
            out.decline(id, (h.terms.sla / 4).min(self.desk.longest_advice));
        } else {
            out.void(id);
        }
    }

    /// Lays out what requests choose from: the arms' appliances and odds, and the trial's listed share.
    fn arrange(&mut self) {
        let (now, fleet) = (self.now, &self.membership.fleet);
        // When most are barred the trouble is not theirs: then bars mean nothing.
        let sick = fleet.ready().filter(|(_, a)| a.barred()).count();
        self.stock.panic = 2 * sick > fleet.ready().count();
        let (mut listed, mut out) = ([0.0; 2], [0.0; 2]);
        let (mut seats, mut sums): ([Vec<Seat>; 2], _) = (Default::default(), [0.0; 2]);
        // What is closed to all takes no part, or the share of the rest would be too large.
        let open = |l: &Line| self.exposure.openings.as_ref().is_none_or(|o| o.any(l.build, l.zone));
        for (id, a) in fleet.ready().filter(|(_, a)| !shut(a, now, self.stock.panic) && open(&a.line)) {
            let weight = a.weight() * self.thaw.warmth(a.age(now));
            let arm = usize::from(self.exposure.bound(a.line.build).is_some());
            listed[arm] += weight;
            out[arm] += a.out.len() as f64;
            let odds = weight / usual(a, now, &self.stock);
            sums[arm] += odds;
            seats[arm].push(Seat { id, odds });
        }
        // No share while more waits at the trial, for its size, than elsewhere. Guards against few, slow
        // machines that queue and look like a slow build: unlike loads do not compare.
        let queued = out[1] * listed[0] > 1.5 * (out[0] + 1.0) * listed[1] && listed[0] > 0.0;
        let trial = listed[1] / (listed[0] + listed[1]).max(1e-9);
        self.stock.share = if queued { 0.0 } else { trial };
        // An agent keeps to so many of an arm, even over all agents, more the more it has out; to the rest
        // only in need. Guards against links that carry a request or two; harms evenness where few ask much.
        let homes = HOMES * (1.0 + self.stock.asked * self.stock.middle_pace * self.stock.usual_work);
        let turn = f64::from(self.jury.among.me.0) / f64::from(self.jury.among.agents.max(1));
        // A cap, or a full window, keeps from the trial what is its share: at times all goes to others, which
        // are few and cold where a build goes back.
        for (arm, share) in [1.0, trial].into_iter().enumerate() {
            let many = seats[arm].len() as f64;
            for (i, seat) in seats[arm].iter_mut().enumerate() {
                self.membership.fleet.0.entry(seat.id).and_modify(|a| a.part = share * seat.odds / sums[arm]);
                let home = (i as f64 / many - turn).rem_euclid(1.0) * many < homes;
                seat.odds *= if home { 1.0 } else { 1e-3 };
            }
        }
        let lately = self.exposure.windows.all_since(now.saturating_sub(self.thaw.span)) as f64;
        let due = lately.max(self.stock.asked * self.thaw.span.as_secs_f64()) + self.desk.held.len() as f64;
        self.stock.due = due * self.stock.usual_work;
        self.stock.seats = seats;
    }

    fn takes(&self, h: &Held, to: ApplianceId) -> bool {
        let listed = self.membership.fleet.0.get(&to);
        let Some(a) = listed.filter(|a| a.line.mode == Mode::Ready) else { return false };
        // Listed sizes leave out how fast a model is; what the mean bears can push a slow one over.
        let fair = self.stock.fair * a.weight() * self.jury.own.speed(a.line.model);
        h.in_group(&a.line)
            && !shut(a, self.now, self.stock.panic)
            && (!a.barred() || self.stock.panic || h.terms.repeat != Repeat::OnceOnly)
            && self.thaw.bears(self.now, a, fair, h, self.stock.due)
            && self.exposure.permits(self.now, a.line, h)
    }

    /// Whether the rules close all that could take a request. Guards against holding it in vain.
    fn shut_out(&self, id: RequestId) -> bool {
        let Some(h) = self.desk.held.get(&id) else { return false };
        let mut ready = self.membership.fleet.ready().filter(|(_, a)| h.in_group(&a.line)).peekable();
        let open = |(_, a): (_, &Appliance)| self.exposure.open(a.line.build, a.line.zone, h);
        ready.peek().is_some() && !ready.any(open)
    }

    /// Two random choices by weight within an arm; the arm by the trial build's share of the listed weight.
    fn choose(&mut self, id: RequestId) -> Option<ApplianceId> {
        let mut chance = Pcg64Mcg::seed_from_u64(self.chance.random());
        if let Some(h) = self.desk.held.get_mut(&id).filter(|h| self.now >= h.luck.0) {
            h.luck = (self.now + self.thaw.span, chance.random());
        }
        let h = self.desk.held.get(&id)?;
        // A request that the trial build has failed is better served by an earlier one.
        let failed_there = h.attempts.iter().any(|l| self.exposure.bound(l.build).is_some());
        let arm = usize::from(chance.random::<f64>() < self.stock.share && !failed_there);
        for seats in [&self.stock.seats[arm], &self.stock.seats[1 - arm]] {
            let tried = |id: ApplianceId| h.attempts.iter().any(|l| l.to == id);
            let mut pick = |spare: bool| {
                // A few draws mostly do; where little is open, the whole arm is looked through.
                for _ in 0..4 {
                    let seat = seats.choose_weighted(&mut chance, |s| s.odds).ok()?;
                    if self.takes(h, seat.id) && !tried(seat.id) {
                        return Some(seat.id);
                    }
                }
                let open: Vec<_> = seats.iter().filter(|s| spare && self.takes(h, s.id)).collect();
                let odds = |s: &&Seat| if tried(s.id) { s.odds / 100.0 } else { s.odds };
                open.choose_weighted(&mut chance, odds).ok().map(|s| s.id)
            };
            let Some(one) = pick(true) else { continue };
            let two = pick(false).unwrap_or(one);
            let cost = |id| self.membership.fleet.0.get(&id).map_or(f64::MAX, |a| self.cost(a));
            return Some(if cost(two) < cost(one) { two } else { one });
        }
        None
    }

    /// What a request may expect to wait there, against the usual: speed and size are in the odds already.
    fn cost(&self, a: &Appliance) -> f64 {
        let across = if a.line.zone == self.membership.zone { 1.0 } else { 2.0 };
        let pace = pace(a, self.now, &self.stock) / usual(a, self.now, &self.stock);
        let out = a.out.len() as f64 * self.stock.weight / a.weight().max(1e-3);
        across * (1.0 + out) * pace / (1.0 - 0.9 * a.record.fails.share(self.now, RECENT, 1.0))
    }

    /// Whether what waited for a connection may still go: drains, caps, builds told, keys forgotten since.
    pub(crate) fn stands(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let Some(h) = self.desk.held.get(&id) else { return false };
        let Some(l) = h.attempts.get(usize::from(attempt.0)).filter(|l| !l.called_off) else { return false };
        let known = h.risk.is_none_or(|(first, ..)| first == l.sent) || resendable(h, self.now);
        let same = |a: &Appliance| known && a.line.mode == Mode::Ready && a.line.build == l.build;
        self.membership.fleet.0.get(&l.to).is_some_and(same) && self.exposure.admits(l.build, l.group.0, h)
    }

    fn send_attempt(&mut self, id: RequestId, to: ApplianceId, out: &mut dyn Decisions) {
        let (now, fleet) = (self.now, &mut self.membership.fleet);
        let (Some(h), Some(a)) = (self.desk.held.get_mut(&id), fleet.0.get_mut(&to)) else { return };
        let (request, build, work, group) = (h.request, a.line.build, h.work, (a.line.zone, a.line.cell));
        if self.exposure.bound(build).is_some() {
            let lane = self.exposure.lane(request.product);
            self.exposure.windows.sent.entry((lane, build)).or_default().push_back(now);
        }
        let attempt = AttemptNumber(h.attempts.len() as u8);
        let young = self.jury.own.on_trial(build) && self.thaw.young(&a.line, now);
        let out_there = Out { sent: now, work, product: request.product, build, young, mute: a.barred() };
        self.stock.notes.extend(out_there.mute.then_some(Note::Tried(to)));
        a.sent(now, self.thaw.span, (id, attempt), out_there);
        h.attempts.push(Attempt { to, build, group, sent: now, ending: None, called_off: false });
        // Until it is proved not to have run, it may have: the group and window of a repeat are fixed by it.
        h.risk = h.risk.or(Some((now, group.0, group.1)));
        out.send_attempt(id, to, Duration::ZERO);
    }

    /// Hands an outcome to the tests. No answer, or one turned away, says nothing of the build: machines die,
    /// freeze or are cut off, queues fill. Slowness counts only without a queue, while both builds answer.
    /// Guards against bursts, cold starts, dead machines and shared slowdowns.
    fn judge(&mut self, at: ApplianceId, o: &Out, ending: Ending, took: Duration, alive: bool) {
        let Some(terms) = self.desk.products.get(usize::from(o.product.0)) else { return };
        if o.mute || self.jury.own.tests.is_empty() {
            return;
        }
        let trial = self.jury.own.on_trial(o.build).then_some(at);
        // Both arms have answered within the agent's last few requests: only then do they compare.
        self.jury.own.last[usize::from(trial.is_some())] = Some(self.now);
        let beside = self.jury.own.last.iter().all(|t| t.is_some_and(|t| t + self.stock.few >= self.now));
        if trial.is_none() && !beside {
            return;
        }
        // A cold appliance is slow, but fails no more than a warm one.
        let fair = beside && !o.young && self.queue(terms.sla) < QUEUE;
        let score = match ending {
            Ending::Failed => 1,
            Ending::Served => u8::from(fair && took > terms.sla * 2),
            Ending::TimedOut | Ending::CalledOff if fair && alive && took > terms.sla * 2 => 1,
            _ => return,
        };
        // Against its model's usual time at earlier builds, for work between the rough hint and the usual,
        // half as much again counts as late: a build that needs more work seldom passes twice the SLA time.
        let model = self.membership.fleet.0.get(&at).and_then(|a| self.jury.own.paces.get(&a.line.model));
        let timed = model.filter(|_| fair && ending == Ending::Served);
        let slow = |pace: &f64| took.as_secs_f64() > 1.5 * pace * (o.work + self.stock.usual_work) / 2.0;
        let counts = [1, score, u8::from(timed.is_some()), u8::from(timed.is_some_and(slow))];
        self.jury.note(trial, o.product, counts);
    }

    /// Takes in how an attempt ended: what it tells of the appliance, of queues, and of the build.
    pub(crate) fn outcome(
        &mut self, id: RequestId, attempt: AttemptNumber, at: ApplianceId, o: &Out, ending: Ending,
        took: Duration,
    ) {
        let (now, fleet) = (self.now, &mut self.membership.fleet);
        let Some(build) = fleet.0.get(&at).map(|a| a.line.build) else { return };
        let served = ending == Ending::Served;
        let (many, sum) = if served { (0.0, 0.0) } else { fleet.mates(now, RECENT, at, build) };
        let Some(a) = fleet.0.get_mut(&at) else { return };
        let alive = a.record.heard > o.sent;
        let sla = self.desk.products.get(usize::from(o.product.0)).map_or(took, |terms| terms.sla);
        let blurred = o.sent < self.stock.woke;
        // Short of connections is what has answered between two that failed; what is gone or silent is not.
        let short = ending == Ending::Unconnected && a.record.heard > a.record.unlinked.unwrap_or(now);
        self.demand.ended(now, (RECENT, self.stock.few, USUAL), attempt, ending, (took > sla, short));
        a.record.ended(now, RECENT, ending, o.sent);
        if served {
            if !blurred {
                a.record.served(now, (RECENT, USUAL), took, o.work);
            }
            self.demand.served(now, (RECENT, USUAL), o.work);
            self.jury.own.work([if took <= sla { o.work } else { 0.0 }, 0.0, 0.0]);
            if a.barred() && now >= a.record.barred_until {
                a.record.bar = Duration::ZERO;
                self.stock.notes.push(Note::Unbarred(at));
            }
        }
        // An appliance that breaks connections or fails far more than others of its build is left alone a
        // while, a build as a whole never: its failures are the test's evidence. Spoilt answers say less.
        let fails = a.record.fails.share(now, RECENT, 1.0);
        let worse = many > 0.0 && fails > sum / many + if ending == Ending::Spoilt { 0.6 } else { 0.3 };
        if worse || matches!(ending, Ending::Unconnected | Ending::Broken) {
            self.stock.notes.extend(strike(&mut a.record, now, at, if worse { "fails" } else { "unlinked" }));
        }
        self.stock.heard += 1;
        if !blurred {
            self.judge(at, o, ending, took, alive);
        }
        let news = self.exposure.news.filter(|n| served && self.exposure.forward_only && o.build == n.build);
        let mark = self.desk.held.get(&id).and_then(|h| h.request.mark);
        self.exposure.windows.answered.extend(mark.filter(|_| news.is_some()));
    }
}
