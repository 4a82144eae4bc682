//! All decisions of an agent. Make the parts (`parts.rs`) from what the deployment is told at its start, put
//! them together with [`DecisionEngine::new`], then call [`DecisionEngine::round`] once a round with all that came in; what is
//! decided goes into the writer passed along. The interface is in `port.rs`, the reasons in `docs/design.md`.
use std::collections::BTreeSet;
use std::time::Duration;

use rand::seq::IndexedRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::actions::{Actions, EjectionReason, GiveUpReason, Note};
use crate::events::EventHandler;
use crate::fleet::{EndpointState, Fleet, Out, Record};
use crate::members::Segment;
use crate::model::{
    AdvanceRule, AgentId, AttemptNumber, Build, ClassPolicy, DeduplicationScope, Endpoint,
    EndpointId, EndpointStatus, EngineSettings, Idempotency, ListUpdate, Outcome, ReleasePhase,
    RequestId, Stage, TimerId, Vote, Zone,
};
use crate::parts::{EndpointDiscovery, Exposure, PendingRequests, ReleaseAnalysis, SlowStart};
use crate::report;

use crate::state::{
    Demand, LoadEstimate, PendingRequest, ReleaseStatus, Seat, SentVote, SequentialTest,
    worst_first,
};
use crate::subset::Position;

/// Outcomes and times fade by half in this long: a few answers of a small agent's share of an appliance.
const RECENT: Duration = Duration::from_secs(1);
/// What is usual fades by half in this long.
pub(crate) const USUAL: Duration = Duration::from_secs(10);
/// What reports bring fades by half in this long, a quarter of that.
pub(crate) const POOLED: Duration = Duration::from_millis(2500);

/// Its own pace in the long run, drawn to that of all while it is little known.
fn usual(a: &EndpointState, now: Duration, load: &LoadEstimate) -> f64 {
    let (took, worked) = a.record.usual.read(now, USUAL);
    ((took + load.usual_pace) / (worked + 1.0)).max(1e-3)
}

/// Its pace of late, drawn to its usual one.
fn pace(a: &EndpointState, now: Duration, load: &LoadEstimate) -> f64 {
    let (took, worked) = a.record.recent.read(now, RECENT);
    let prior = 2.0 * load.usual_work;
    (took + prior * usual(a, now, load)) / (worked + prior)
}

/// Whether a barred appliance is left alone; at times it is tried with one request.
fn shut(a: &EndpointState, now: Duration, panic: bool) -> bool {
    a.barred() && !panic && (now < a.record.barred_until || !a.out.is_empty())
}

/// Leaves an appliance alone for a while, twice as long each time in a row, unless it is already.
fn strike(
    record: &mut Record,
    now: Duration,
    endpoint: EndpointId,
    reason: EjectionReason,
) -> Option<Note> {
    (now >= record.barred_until).then(|| {
        record.bar = (record.bar * 2).clamp(RECENT, RECENT * 8);
        record.barred_until = now + record.bar;
        Note::Ejected {
            endpoint,
            reason,
            until: record.barred_until,
        }
    })
}

impl EndpointDiscovery {
    /// Agents that came up or were refused together ask one after another, by chance; many, over half of the
    /// time allowed. Guards against waves that a service of fixed capacity refuses whole, again and again.
    /// Harms, by as much, one that comes up alone amid a change. A watch that stood and broke is asked for in
    /// a fifth of that time at most: what it misses counts as told some seconds after it fell silent.
    pub(crate) fn update(
        &mut self,
        now: Duration,
        update: ListUpdate,
        endpoints: &mut dyn Iterator<Item = Endpoint>,
        agent_count: u32,
        chance: &mut Pcg64Mcg,
    ) {
        self.fleet.list(update, endpoints);
        let Some(within) = self.ask_within else {
            return;
        };
        let crowd = within * agent_count.min(20) / 40;
        let (least, pause, luck) = (within / 20 + crowd, self.ask_pause, chance.random::<f64>());
        let (wait, next) = match update {
            ListUpdate::Cached => (crowd.mul_f64(luck), least),
            ListUpdate::Failed if pause.is_zero() => (least.min(within / 5).mul_f64(luck), least),
            ListUpdate::Failed => (pause.mul_f64(0.5 + luck), (pause * 2).min(within)),
            _ => return self.ask_pause = Duration::ZERO,
        };
        (self.ask_at, self.ask_pause) = (Some(now + wait), next);
    }
}

impl SlowStart {
    /// The least share of its full capacity that an appliance can have now.
    pub(crate) fn warmth(&self, age: Option<Duration>) -> f64 {
        let Some(age) = age.filter(|&a| a < self.ramp) else {
            return 1.0;
        };
        self.cold_from + (1.0 - self.cold_from) * age.as_secs_f64() / self.ramp.as_secs_f64()
    }

    /// Whether an appliance was too young to be evidence when this was sent to it.
    pub(crate) fn young(&self, endpoint: &Endpoint, sent: Duration) -> bool {
        endpoint
            .started
            .is_some_and(|s| sent < s + self.ramp * 9 / 8)
    }

    /// Whether a request keeps this agent's part of the budget: what it would send a warm one of its weight,
    /// so that all parts add up to what such a one bears. A part below one request is a chance of one: the
    /// luck a request draws once a span, against twice (for the two choices) what would go there of all `due`
    /// work. Guards against the first requests of hundreds of agents.
    fn bears(
        &self,
        now: Duration,
        a: &EndpointState,
        fair_rate: f64,
        h: &PendingRequest,
        due: f64,
    ) -> bool {
        let warmth = self.warmth(a.age(now));
        let sent = || a.pushed(now, self.span);
        let budget = 0.75 * self.multiple * warmth * fair_rate * self.span.as_secs_f64();
        let first = || a.out.is_empty() && h.luck.1 * 2.0 * a.part * due < budget && sent() == 0.0;
        warmth >= 1.0 || sent() + h.work <= budget || first()
    }
}

impl Exposure {
    /// The stage and cap that bind for a build; nothing if it is not on trial.
    pub(crate) fn bound(&self, build: Build) -> Option<(Stage, f64)> {
        match self.release_status {
            Some(n)
                if build < n.build || (build == n.build && n.phase == ReleasePhase::Released) =>
            {
                None
            }
            Some(n) if build == n.build => Some((n.stage, n.cap)),
            _ => Some((Stage(0), self.first_cap)),
        }
    }

    /// Whether the operator's rules leave a build open there for a request; without any all are.
    fn open(&self, build: Build, zone: Zone, h: &PendingRequest) -> bool {
        self.permissions
            .as_ref()
            .is_none_or(|o| o.admits(build, zone, h.request.tenant, h.request.class))
    }

    /// What is closed to all takes no part, or the share of the rest would be too large.
    fn shows(&self, build: Build, zone: Zone) -> bool {
        self.permissions.as_ref().is_none_or(|o| o.any(build, zone))
    }

    /// Whether a request may go to a build at all.
    fn admits(&self, build: Build, zone: Zone, h: &PendingRequest) -> bool {
        if !self.open(build, zone, h) {
            return false;
        }
        let Some((stage, cap)) = self.bound(build) else {
            let onward = |n: ReleaseStatus| {
                build < n.build && matches!(n.phase, ReleasePhase::Canary | ReleasePhase::Released)
            };
            let answered = h
                .request
                .idempotency_key
                .is_some_and(|m| self.windows.answered.contains(&m));
            return !(self.forward_only && answered && self.release_status.is_some_and(onward));
        };
        cap > 0.0 && (stage.0 >= self.guarded || h.policy.idempotency == Idempotency::Idempotent)
    }

    fn permits(
        &self,
        now: Duration,
        Endpoint { build, zone, .. }: Endpoint,
        h: &PendingRequest,
    ) -> bool {
        let admitted = self.admits(build, zone, h);
        let Some((_, cap)) = self.bound(build).filter(|_| admitted) else {
            return admitted;
        };
        // Strictly inside the window, by a tick: an arrival at its very edge may not be counted.
        let edge = (now + self.tick + Duration::from_micros(1)).saturating_sub(self.span);
        let (lane, from, w) = (
            self.lane(h.request.class),
            now.saturating_sub(self.span),
            &self.windows,
        );
        let (sent, taken) = (w.sent_since(lane, build, from), w.taken_since(lane, edge));
        // What an earlier life of this agent sent is not known: its free allowance may be used up.
        let free = if w.started.is_some_and(|s| s + self.span >= now) {
            0.0
        } else {
            self.free
        };
        sent as f64 + 1.0 <= free + cap * taken as f64
    }
}

/// Mixing deviation of the test, and the tolerated worsening.
pub(crate) const TAU: f64 = 0.05;
pub(crate) const THETA0: f64 = 0.005;
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
/// Of an arm with more appliances an agent works with a subset of so many, or a power of two times as many:
/// twice its homes at least, to lose some, and less again beyond five times, so that it does not swing. The
/// cost of a walk follows it. Room for the homes of a usual agent, whose place by rank may lie some way off
/// its place.
const MEMBERS: f64 = 20.0 * HOMES;
/// How many agents gather the others' outcomes.
const JUDGES: u32 = 3;
/// Share of what is usually served in time, and of what is asked, that must be missing to convict a build
/// that slows old and new alike; half holds the on. Short slowdowns pass; after the release it must last.
const LOST: f64 = 0.35;
/// Share of attempts without a connection at which connections are short.
const SHORT: f64 = 0.05;
/// Wait beyond the work, as a share of an SLA time, that counts as a queue.
const QUEUE: f64 = 0.15;

impl SequentialTest {
    /// Takes outcomes, how many of them bad, and the trial appliance they come from.
    pub fn observe(&mut self, trial: Option<EndpointId>, many: f64, bad: f64) {
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
            self.p_value = self.p_value.min(1.0 / lambda);
        }
        // The running interval of the paper; when the estimate leaves it, inference begins anew.
        let half = (spread * ((1.0 / self.alpha).ln() + 0.5 * (mixed / v).ln())).sqrt();
        self.interval = (
            self.interval.0.max(y - x - half),
            self.interval.1.min(y - x + half),
        );
        if y - x < self.interval.0 || y - x > self.interval.1 {
            (self.p_value, self.interval) = (1.0, (f64::MIN, f64::MAX));
        }
    }

    /// Whether the trial looks worse, on enough outcomes, and also without the quarter of its appliances that
    /// look worst. Guards against bad machines and noisy neighbours that happen to carry the build: a build
    /// is bad wherever it runs. It harms where only one machine will ever carry it.
    fn doubtful(&self) -> bool {
        if self.arms.y.0 < ENOUGH || self.arms.worse() <= self.theta0 {
            return false;
        }
        let by = worst_first(self.arms.by.values().copied());
        let rest = by.iter().skip(by.len().div_ceil(4));
        let (n, sum) = rest.fold((0.0, 0.0), |all, one| (all.0 + one.0, all.1 + one.1));
        n * 2.0 >= ENOUGH && sum / n - self.arms.means().0 > self.theta0
    }
}

impl ReleaseAnalysis {
    /// Whether machines of an earlier stage fail, as younger ones may yet do, and not just a third of them.
    /// Guards against builds that turn bad some time after their start. It harms, by a delay, where more of
    /// just these have a trouble of their own.
    fn ages(&self, fleet: &Fleet, build: Build) -> bool {
        let test = self
            .own
            .tests
            .get(self.classes)
            .filter(|t| t.arms.worse() > THETA0);
        let Some(SequentialTest { arms, .. }) = test else {
            return false;
        };
        let newest = fleet.listed.newest(build).unwrap_or_default();
        let running = |id| {
            fleet
                .listed
                .get(id)
                .filter(|l| l.status == EndpointStatus::Ready && l.build == build)
        };
        let old =
            |id| running(id).is_some_and(|l| l.started.is_some_and(|s| s + self.dwell < newest));
        let barred = |id| fleet.used.get(id).is_some_and(EndpointState::barred);
        let by = worst_first(
            arms.by
                .iter()
                .filter(|b| old(*b.0) && !barred(b.0))
                .map(|b| *b.1),
        );
        let rest = by.iter().skip((by.len() + 1) / 3);
        rest.filter(|b| b.1 / b.0 > arms.means().0 + 2.0 * THETA0)
            .map(|b| b.1)
            .sum::<f64>()
            >= ENOUGH / 6.0
    }

    /// Those that agents report to: a few, spread by the build, so that hundreds need not hear of each other.
    pub(crate) fn judges(&self, build: Build) -> impl Iterator<Item = AgentId> + use<> {
        let (agent_count, some) = (
            self.fleet_position.agent_count.max(1),
            self.fleet_position.agent_count.clamp(1, JUDGES),
        );
        (0..some).map(move |i| AgentId((u32::from(build.0) + i * agent_count / some) % agent_count))
    }

    pub(crate) fn judging(&self, build: Build) -> bool {
        self.judges(build)
            .any(|judge| judge == self.fleet_position.own_id)
    }

    /// Who is not told the others' outcomes shares the chance of a false alarm with all agents.
    pub(crate) fn level(&self) -> f64 {
        let alone = !self.own.build.is_some_and(|b| self.judging(b));
        ALPHA
            / (self.classes + 2) as f64
            / if alone {
                f64::from(self.fleet_position.agent_count)
            } else {
                1.0
            }
    }

    /// `stays` while the operator's rules let no step on be asked for; a back is never held up.
    fn vote(
        &self,
        now: Duration,
        fleet: &Fleet,
        release_status: ReleaseStatus,
        lost: f64,
        stays: bool,
    ) -> Option<Vote> {
        let ReleaseStatus {
            build,
            stage,
            phase,
            ..
        } = release_status;
        if !matches!(phase, ReleasePhase::Canary | ReleasePhase::Released)
            || self.own.build != Some(build)
        {
            return None;
        }
        let released = phase == ReleasePhase::Released;
        let (grave, long) = if released {
            (GRAVE, USUAL * 3 / 2)
        } else {
            (0.0, Duration::ZERO)
        };
        let worse = |t: &SequentialTest| {
            t.p_value <= self.level() && t.doubtful() && t.arms.worse() > grave
        };
        // Slowness may lie on an agent's own way there: it convicts only for a judge, who hears of many.
        let spoken = self.classes + 1 + usize::from(self.judging(build));
        if self.own.tests.iter().take(spoken).any(worse) || now > self.own.well + long {
            return Some(Vote::RollBack);
        }
        if released {
            return None;
        }
        let doubt = self.own.tests.iter().any(SequentialTest::doubtful) || lost > LOST / 2.0;
        if self.advance_rule == AdvanceRule::Timed {
            return (stays || doubt && now < release_status.since + self.dwell * 4 / 3)
                .then_some(Vote::Hold);
        }
        let ring = self.rings.get(usize::from(stage.0)).copied().unwrap_or(1.0);
        let (listed, trial) = (&fleet.listed, fleet.listed.running(build));
        let places = listed.ready() - if self.rolling { 0 } else { trial };
        let newest = listed.newest(build)?;
        // The list runs late: a stage whose machines it does not show has not begun to wait.
        let shown = trial as f64 + 0.5 >= ring * places as f64
            || now >= release_status.since + self.dwell * 6;
        // In doubt, an agent and those it told wait for more outcomes; over failures, which a good build has
        // not, longer. Guards against agents that wave on what another is about to convict.
        let failing = self
            .own
            .tests
            .iter()
            .rev()
            .skip(1)
            .any(SequentialTest::doubtful)
            || now < self.own.warned;
        let waits = [1, 3, 6][usize::from(doubt).max(2 * usize::from(failing))];
        // The judges go first; others stand in, spread by chance, if none of them speaks.
        let stand_in = if self.judging(build) {
            0.0
        } else {
            1.0 + 2.0 * self.own.turn
        };
        let due = newest + WAIT * waits + WAIT.mul_f64(stand_in);
        (shown && !stays && now >= due && now >= release_status.since + self.dwell)
            .then_some(Vote::Advance)
    }

    /// Warns and votes; whether there may be more to say before anything new is heard.
    fn round(
        &mut self,
        now: Duration,
        fleet: &Fleet,
        release_status: ReleaseStatus,
        (lost, stays): (f64, bool),
        out: &mut dyn Actions,
    ) -> bool {
        self.own.well = if lost <= LOST { now } else { self.own.well };
        let tried = release_status.phase == ReleasePhase::Canary
            && self.own.build == Some(release_status.build);
        let ages = tried && self.ages(fleet, release_status.build);
        self.own.warned = if ages {
            now + self.dwell
        } else {
            self.own.warned
        };
        let doubt = tried && (ages || self.own.tests.iter().any(SequentialTest::doubtful));
        if self.fleet_position.can_message_peers
            && doubt
            && self.judging(release_status.build)
            && now >= self.own.warn_at
        {
            self.own.warn_at = now + self.dwell / 2;
            out.send_to_peer(None, &release_status.build.0.to_be_bytes());
        }
        let Some(vote) = self.vote(now, fleet, release_status, lost, stays) else {
            return release_status.phase == ReleasePhase::Canary
                || self.has_more_to_report(release_status);
        };
        let ballot = (release_status.build, release_status.stage, vote);
        if let Some(last) = self.own.vote.as_ref().filter(|v| v.ballot == ballot) {
            let again = match last.answer {
                Some(Outcome::Succeeded) => self.vote_timing.validity * 4 / 5,
                Some(_) => self.vote_timing.call_timeout / 4,
                None => self.vote_timing.call_timeout * 2,
            };
            if now < last.sent + again {
                return true;
            }
        } else {
            let tests = self
                .own
                .tests
                .iter()
                .map(|t| (t.arms.y.0, t.arms.worse(), t.p_value));
            out.log(&report::ballot(ballot, lost, tests));
        }
        self.own.vote = Some(SentVote {
            ballot,
            sent: now,
            answer: None,
        });
        out.vote(release_status.build, release_status.stage, vote);
        true
    }
}

/// Whether the rules let one more attempt go out, to an appliance of the right group.
fn resendable(h: &PendingRequest, now: Duration) -> bool {
    match (h.policy.idempotency, h.risk) {
        (_, None) | (Idempotency::Idempotent, _) => true,
        (Idempotency::Keyed(_), Some((first, ..))) => now < first + h.policy.deduplication_window,
        (Idempotency::NonIdempotent, Some(_)) => false,
    }
}

pub struct DecisionEngine {
    pub(crate) now: Duration,
    pub(crate) chance: Pcg64Mcg,
    pub(crate) discovery: EndpointDiscovery,
    pub(crate) slow_start: SlowStart,
    pub(crate) exposure: Exposure,
    pub(crate) analysis: ReleaseAnalysis,
    pub(crate) pending: PendingRequests,
    pub(crate) demand: Demand,
    pub(crate) load: LoadEstimate,
}

impl DecisionEngine {
    /// An engine that has seen nothing yet.
    pub fn new(settings: EngineSettings) -> Self {
        let (usual_pace, middle_pace, usual_work, members) = (1.0, 1.0, 1e-3, MEMBERS);
        let load = LoadEstimate {
            usual_pace,
            middle_pace,
            usual_work,
            members,
            ..LoadEstimate::default()
        };
        let mut discovery = EndpointDiscovery::new(settings.zone, settings.discovery);
        discovery.fleet.whole_up_to = MEMBERS as usize;
        DecisionEngine {
            now: Duration::ZERO,
            chance: Pcg64Mcg::seed_from_u64(settings.seed),
            discovery,
            slow_start: SlowStart::new(settings.slow_start),
            exposure: Exposure::new(settings.tick, settings.exposure),
            analysis: ReleaseAnalysis::new(
                settings.fleet_position,
                settings.requests.classes.len(),
                settings.release_analysis,
            ),
            pending: PendingRequests::new(settings.tick, settings.requests),
            demand: Demand::default(),
            load,
        }
    }

    pub fn round(
        &mut self,
        now: Duration,
        intake: impl FnOnce(&mut dyn EventHandler),
        out: &mut dyn Actions,
    ) {
        let before = std::mem::replace(&mut self.now, now);
        let started = *self.exposure.windows.started.get_or_insert(now);
        let passed = now.saturating_sub(before.max(started));
        // A wake-up far too late: the agent itself stood still, and takes none of it for others' troubles.
        if before >= started && now > self.load.wake_at.saturating_add(self.pending.tick * 20) {
            self.load.woke = now;
        }
        self.exposure
            .windows
            .trim(now.saturating_sub(self.exposure.span));
        intake(self);
        if self.discovery.ask_at.take_if(|t| *t <= now).is_some() {
            out.watch_endpoints(true);
        }
        self.load.passed += passed;
        // The walk over the fleet is made once a beat, or once for as many events as there are appliances.
        if now >= self.load.next || self.load.heard > self.discovery.fleet.used.len() {
            self.take_stock();
            // Where connections are refused, idle ones go back at once, to go round among agents. Guards
            // against appliances that accept far fewer than usual; costs handshakes.
            let short = self.demand.shut.share(now, USUAL, 2.0) > SHORT;
            let idle = if short {
                self.discovery.fleet.unlink_idle()
            } else {
                Vec::new()
            };
            idle.into_iter()
                .chain(self.load.left.drain(..))
                .for_each(|id| out.close_idle_connections(id));
        }
        let order: BTreeSet<_> = self
            .pending
            .requests
            .iter()
            .map(|(&id, h)| (h.arrived, id))
            .collect();
        let mut beat = now + self.pending.tick * 20;
        for (_, id) in order {
            beat = self.attend(id, out).map_or(beat, |next| beat.min(next));
        }
        let mut awake = !self.pending.requests.is_empty() || self.load.heard > 0;
        if let Some(release_status) = self.exposure.release_status {
            self.analysis.report(
                now,
                self.load.woke,
                release_status,
                self.chance.random_range(0.5..0.8),
                out,
            );
            let stays = self
                .exposure
                .permissions
                .as_ref()
                .is_some_and(|o| !o.may_step(release_status.build, release_status.stage));
            awake |= self.analysis.round(
                now,
                &self.discovery.fleet,
                release_status,
                (self.load.lost, stays),
                out,
            );
        }
        self.load.notes.drain(..).for_each(|note| out.note(note));
        // With nothing in hand, out or on trial, what is heard next brings its own walk: until then, none.
        let idle = !awake && self.discovery.fleet.walk().all(|(_, a)| a.out.is_empty());
        let next = if idle {
            self.discovery.ask_at
        } else {
            Some(beat.max(now + self.pending.tick * 2))
        };
        if self.load.wake_at <= now || next.is_some_and(|next| next < self.load.wake_at) {
            self.load.wake_at = next.unwrap_or(Duration::MAX);
            next.into_iter()
                .for_each(|next| out.schedule_wake_up(next, TimerId(0)));
        }
    }

    fn take_stock(&mut self) {
        let now = self.now;
        (self.load.next, self.load.heard) = (now + self.pending.tick * 20, 0);
        let fleet = &self.discovery.fleet;
        let listed = self.demand.lived(
            now,
            USUAL,
            std::mem::take(&mut self.load.passed),
            fleet.listed.weight(),
        );
        self.analysis
            .own
            .work([0.0, self.analysis.own.bore * listed, 0.0]);
        self.load.measure(now, (RECENT, USUAL), fleet, &self.demand);
        let middle = fleet.middle(|a| pace(a, now, &self.load));
        self.load.middle_pace = middle.unwrap_or(self.load.usual_pace);
        // Silence: several attempts wait far longer than usual, and nothing came since the oldest. Guards
        // against machines that vanished, froze or were cut off, long before the list tells.
        let patience = 6.0 * self.load.middle_pace * self.load.usual_work;
        for (&at, a) in &mut self.discovery.fleet.used {
            let silent = a
                .unheard_since()
                .map(|o| now.saturating_sub(o.max(self.load.woke)).as_secs_f64());
            if silent.is_some_and(|s| s > patience) {
                self.load
                    .notes
                    .extend(strike(&mut a.record, now, at, EjectionReason::Silence));
            }
        }
        self.arrange();
        let few = Duration::from_secs_f64(ENOUGH / 4.0 / self.load.served.max(1.0));
        self.load.few = few.clamp(RECENT, USUAL);
        let Some(ReleaseStatus { build, stage, .. }) = self.exposure.release_status else {
            return;
        };
        self.analysis
            .own
            .paces
            .extend(self.discovery.fleet.paces(now, USUAL, build));
        // Lost against what was at the end of the stage before: a build that slows all does so in step with
        // its stages; what came earlier is not its doing. Only with enough traffic to tell, a past, and from
        // a judge: of hundreds one always has a bad day. It harms where another trouble comes with a stage.
        let kept = self
            .analysis
            .own
            .kept(now, POOLED, stage, 1.25 * ENOUGH * self.load.usual_work);
        self.load.lost = kept
            .filter(|_| self.analysis.judging(build))
            .map_or(0.0, |kept| 1.0 - kept);
    }

    /// Does what is due for a request, and says when to look at it again without an event.
    fn attend(&mut self, id: RequestId, out: &mut dyn Actions) -> Option<Duration> {
        let now = self.now;
        let h = self.pending.requests.get_mut(&id)?;
        let usual = self.load.middle_pace * h.work.max(self.load.usual_work);
        let usual = Duration::from_secs_f64(usual.min(15.0));
        // Once the agent is to end, nothing begins of which it would not see the end.
        let need = if h.request.deadline == self.pending.ends {
            usual
        } else {
            Duration::ZERO
        };
        let left = h.request.deadline.saturating_sub(now) > need.max(self.pending.tick * 4);
        let objective_left = (h.arrived + h.policy.latency_objective).saturating_sub(now);
        let more = left && h.attempts.len() < self.pending.max_attempts && resendable(h, now);
        let waiting = h
            .out()
            .next()
            .map(|(attempt, l)| (attempt, l.to, l.sent, l.called_off));
        if let Some((attempt, to, sent, called_off)) = waiting {
            let usual = (usual * 4).max(h.policy.latency_objective / 4);
            // Given up for lost: nothing comes from there, or what was sent later has come back. Guards
            // against lost messages and stuck work as well as dead machines.
            let a = self.discovery.fleet.used.get(&to);
            let lost =
                a.is_none_or(|a| a.record.passed > sent || (a.barred() && a.record.heard < sent));
            if !more || objective_left.is_zero() {
                return None;
            }
            if now < sent + usual {
                return Some(sent + usual);
            }
            if lost && self.pending.may_call_off && !called_off {
                h.attempts[usize::from(attempt.0)].called_off = true;
                out.cancel(id, attempt);
            }
            return Some(now + self.pending.tick * 8);
        }
        let (policy, hopeless) = (
            h.policy,
            objective_left.is_zero() && h.policy.late_weight_share <= 0.0,
        );
        let fresh = h
            .attempts
            .last()
            .is_none_or(|l| l.outcome == Some(Outcome::Rejected));
        // Resends go on only as far as they have helped of late. Guards against storms over requests that
        // fail wherever they go; harms for a while where a trouble has just passed.
        let failed = h
            .attempts
            .last()
            .is_some_and(|l| l.outcome == Some(Outcome::Failed));
        let vain = failed
            && self.chance.random::<f64>() > self.demand.again.helped(now, self.load.few) + 0.1;
        if !more
            || hopeless
            || if fresh {
                self.crowded(&policy, objective_left)
            } else {
                vain
            }
        {
            let late = if hopeless {
                GiveUpReason::TooLate
            } else {
                GiveUpReason::NoAttemptLeft
            };
            let why = if !more || hopeless {
                late
            } else {
                [GiveUpReason::RetriesFail, GiveUpReason::Overload][usize::from(fresh)]
            };
            self.give_up(id, why, out);
            return None;
        }
        let Some(to) = self.choose(id) else {
            if self.shut_out(id) {
                self.give_up(id, GiveUpReason::NotPermitted, out);
                return None;
            }
            self.load.next = now;
            return Some(now + self.pending.tick * 2);
        };
        self.send_attempt(id, to, out);
        None
    }

    /// Whether a request waits too long if it is sent: the less it earns, the sooner. Guards against queues
    /// (bursts, lost machines, shared slowdowns, retry storms). Harms if an idle appliance is late as it is.
    fn crowded(&mut self, policy: &ClassPolicy, objective_left: Duration) -> bool {
        let most = self
            .pending
            .classes
            .iter()
            .map(|t| t.priority_weight)
            .fold(f64::MIN_POSITIVE, f64::max);
        let pressure = self.queue(objective_left);
        // What came late: all that an agent sees of a queue with hardly a request of its own in it.
        let late = self.demand.late.share(self.now, self.load.few, 2.0);
        let strain = f64::max(
            (pressure - 0.15 - 0.1 * policy.priority_weight / most) / 0.25,
            2.0 * (late - 0.15),
        );
        self.chance.random::<f64>() < strain.max(self.demand.full.share(self.now, RECENT, 1.0))
    }

    /// What a request must expect to wait beyond its work, as a share of a time, by what is out and served. A
    /// few idle requests beside keep little traffic from looking like a queue.
    fn queue(&self, of: Duration) -> f64 {
        // Nothing can have been served yet by an agent that has just come up.
        if self
            .exposure
            .windows
            .started
            .is_none_or(|s| self.now < s + RECENT)
        {
            return 0.0;
        }
        let (few, idle) = (4.0, self.load.usual_work);
        let wait = (self.discovery.fleet.out() as f64 + few) / (self.load.served + few / idle);
        (wait - idle) / of.as_secs_f64().max(1e-6)
    }

    fn give_up(&mut self, id: RequestId, reason: GiveUpReason, out: &mut dyn Actions) {
        out.note(Note::GivenUp(reason));
        let Some(h) = self.pending.requests.remove(&id) else {
            return;
        };
        let safe = matches!(
            h.policy.idempotency,
            Idempotency::Idempotent | Idempotency::Keyed(DeduplicationScope::All)
        );
        if safe || h.risk.is_none() {
            out.reject(
                id,
                (h.policy.latency_objective / 4).min(self.pending.longest_advice),
            );
        } else {
            out.fail(id);
        }
    }

    /// Lays out what requests choose from: the arms' appliances and odds, and the trial's listed share.
    fn arrange(&mut self) {
        let (now, fleet) = (self.now, &self.discovery.fleet);
        // An agent keeps to so many of an arm, even over all agents, more the more it has out; to the rest
        // only in need. Guards against links that carry a request or two; harms evenness where few ask much.
        let homes = HOMES * (1.0 + self.load.asked * self.load.middle_pace * self.load.usual_work);
        let (first, full) = if fleet.split {
            self.choose_subset(homes)
        } else {
            ([0; 2], false)
        };
        self.load.full = full;
        // Most are barred: the trouble is not theirs and bars mean nothing, unless a subset found others.
        let sick = self
            .discovery
            .fleet
            .ready()
            .filter(|(_, a)| a.barred())
            .count();
        self.load.panic = 2 * sick > self.discovery.fleet.ready().count() && !full;
        let (fleet, mut seated, mut out) = (&self.discovery.fleet, [0.0; 2], [0.0; 2]);
        let (mut seats, mut sums): ([Vec<Seat>; 2], _) = (Default::default(), [0.0; 2]);
        let open = |a: &EndpointState| {
            a.rank.is_some() && self.exposure.shows(a.endpoint.build, a.endpoint.zone)
        };
        for (id, a) in fleet
            .ready()
            .filter(|(_, a)| !shut(a, now, self.load.panic) && open(a))
        {
            let weight = a.weight() * self.slow_start.warmth(a.age(now));
            let arm = self.exposure.arm(a.endpoint.build);
            seated[arm] += weight;
            out[arm] += a.out.len() as f64;
            let odds = weight / usual(a, now, &self.load);
            sums[arm] += odds;
            seats[arm].push(Seat {
                id,
                odds,
                rank: a.rank,
            });
        }
        // By what the list says of all, less what is shut, if there is a subset.
        let arm = |build, zone| {
            self.exposure
                .shows(build, zone)
                .then(|| self.exposure.arm(build))
        };
        let weigh = || {
            self.slow_start
                .listed_weights(now, fleet, arm, |a| shut(a, now, self.load.panic))
        };
        let listed = if fleet.split { weigh() } else { seated };
        // No share while more waits at the trial, for its size, than elsewhere. Guards against few, slow
        // machines that queue and look like a slow build: unlike loads do not compare.
        let queued = out[1] * listed[0] > 1.5 * (out[0] + 1.0) * listed[1] && listed[0] > 0.0;
        let trial = listed[1] / (listed[0] + listed[1]).max(1e-9);
        self.load.share = if queued { 0.0 } else { trial };
        let turn = f64::from(self.analysis.fleet_position.own_id.0)
            / f64::from(self.analysis.fleet_position.agent_count.max(1));
        // A cap, or a full window, keeps from the trial what is its share: at times all goes to others, which
        // are few and cold where a build goes back.
        for (arm, share) in [1.0, trial].into_iter().enumerate() {
            let many = seats[arm].len() as f64;
            seats[arm].sort_by_key(|seat| seat.rank);
            // Of a subset homes begin at a rank, and its part is that of what is listed.
            let begins =
                seats[arm].partition_point(|seat| seat.rank < Some(first[arm])) as f64 - 0.5;
            let of_all = seated[arm] / listed[arm].max(seated[arm]);
            let (turn, of) = if self.discovery.fleet.split {
                (begins / many, of_all)
            } else {
                (turn, 1.0)
            };
            for (i, seat) in seats[arm].iter_mut().enumerate() {
                let part = share * seat.odds / sums[arm] * of;
                self.discovery
                    .fleet
                    .used
                    .entry(seat.id)
                    .and_modify(|a| a.part = part);
                let home = (i as f64 / many - turn).rem_euclid(1.0) * many < homes;
                seat.odds *= if home { 1.0 } else { 1e-3 };
            }
        }
        let lately = self
            .exposure
            .windows
            .all_since(now.saturating_sub(self.slow_start.span)) as f64;
        let due = lately.max(self.load.asked * self.slow_start.span.as_secs_f64())
            + self.pending.requests.len() as f64;
        self.load.due = due * self.load.usual_work;
        (self.load.seats, self.load.listed) = (seats, listed);
    }

    /// Chooses the subset, where the list is long, and says at which rank of each arm the homes begin: at the
    /// agent's place among all by rank, which is even. On each side of its place on the ring it takes as many
    /// as hold half of the members that can serve now, so that what turns bad widens it with the next walk.
    /// It narrows by a sixteenth a walk: what comes back all at once moves little.
    fn choose_subset(&mut self, homes: f64) -> ([usize; 2], bool) {
        let (now, fleet, load) = (self.now, &self.discovery.fleet, &mut self.load);
        // An agent that has just come up does not know yet what it is asked.
        let known = self
            .exposure
            .windows
            .started
            .is_some_and(|s| s + RECENT <= now);
        if known && load.members < 2.0 * homes {
            load.members *= 2.0;
        } else if load.members > f64::max(MEMBERS, 5.0 * homes) {
            load.members /= 2.0;
        }
        let half = (load.members / 2.0) as usize;
        let warm = |l: &Endpoint| {
            self.slow_start
                .warmth(l.started.map(|s| now.saturating_sub(s)))
                >= 1.0
        };
        let barred = |id| fleet.used.get(&id).is_some_and(EndpointState::barred);
        let serves = |id| !barred(id) && fleet.listed.get(id).is_some_and(warm);
        // Where hardly any can serve, it does not look for them all over the list: `call_in` does, at need.
        let enough = |taken, serving| serving >= half || taken >= 4 * half;
        let segments = [0, 1].map(|arm| {
            let of =
                |build, zone| self.exposure.arm(build) == arm && self.exposure.shows(build, zone);
            let least = load.reach[arm].map(|reach| (reach * 15 / 16).max(1) - 1);
            let part = Segment::new(
                &fleet.listed,
                self.analysis.fleet_position,
                of,
                2 * half,
                least,
                serves,
                enough,
            );
            load.reach[arm] = part.reach;
            part
        });
        // What was of use lately stays for as long as the longest bar.
        let lately =
            |a: &EndpointState| a.record.barred_until.max(a.record.heard) + RECENT * 8 > now;
        let keep = |a: &EndpointState| {
            !a.out.is_empty() || lately(a) || a.pushed(now, self.slow_start.span) > 0.0
        };
        let first = segments.each_ref().map(|part| part.rank_of_own(homes));
        let full = segments.iter().map(|part| part.serving).sum::<usize>() >= half;
        load.left = self
            .discovery
            .fleet
            .choose_members(&segments.map(|part| part.members), keep);
        (first, full)
    }

    /// Looks at a few outside the subset for a request that none of it can take: from a drawn place on the
    /// ring, or of the group to which it must keep. They have a record for as long as they are of use.
    fn call_in(&mut self, id: RequestId, chance: &mut Pcg64Mcg) -> Option<EndpointId> {
        let h = self.pending.requests.get(&id)?;
        let (now, load, fleet) = (self.now, &self.load, &mut self.discovery.fleet);
        let admits = |build, zone| self.exposure.admits(build, zone, h);
        let others = fleet.others(
            h.confined(),
            Position(chance.random()),
            HOMES as usize,
            admits,
        );
        for endpoint in &others {
            let (arm, warmth) = (
                self.exposure.arm(endpoint.build),
                endpoint.started.map(|s| now.saturating_sub(s)),
            );
            let part = [1.0, load.share][arm]
                * f64::from(endpoint.weight)
                * self.slow_start.warmth(warmth);
            let part = part / load.listed[arm].max(1e-9);
            let new = || EndpointState {
                part,
                ..EndpointState::new(*endpoint, None)
            };
            fleet.used.entry(endpoint.id).or_insert_with(new);
        }
        let fresh = |id: &EndpointId| h.attempts.iter().all(|l| l.to != *id);
        let open = others
            .iter()
            .map(|l| l.id)
            .filter(fresh)
            .filter(|id| self.takes(h, *id));
        open.collect::<Vec<_>>().choose(chance).copied()
    }

    fn takes(&self, h: &PendingRequest, to: EndpointId) -> bool {
        let listed = self.discovery.fleet.used.get(&to);
        let Some(a) = listed.filter(|a| a.endpoint.status == EndpointStatus::Ready) else {
            return false;
        };
        // Listed sizes leave out how fast a model is; what the mean bears can push a slow one over.
        let fair = self.load.fair * a.weight() * self.analysis.own.speed(a.endpoint.model);
        // A barred one is not tried with a resend while the subset has others.
        let probes = h.policy.idempotency != Idempotency::NonIdempotent
            && (h.attempts.is_empty() || !self.load.full);
        h.in_group(&a.endpoint)
            && !shut(a, self.now, self.load.panic)
            && (!a.barred() || self.load.panic || probes)
            && self.slow_start.bears(self.now, a, fair, h, self.load.due)
            && self.exposure.permits(self.now, a.endpoint, h)
    }

    /// Whether the rules close all that could take a request. Guards against holding it in vain.
    fn shut_out(&self, id: RequestId) -> bool {
        let Some(h) = self.pending.requests.get(&id) else {
            return false;
        };
        let mut ready = self.discovery.fleet.listed.places(h.confined()).peekable();
        ready.peek().is_some() && !ready.any(|(build, zone)| self.exposure.open(build, zone, h))
    }

    /// Two random choices by weight within an arm; the arm by the trial build's share of the listed weight.
    fn choose(&mut self, id: RequestId) -> Option<EndpointId> {
        let mut chance = Pcg64Mcg::seed_from_u64(self.chance.random());
        if let Some(h) = self
            .pending
            .requests
            .get_mut(&id)
            .filter(|h| self.now >= h.luck.0)
        {
            h.luck = (self.now + self.slow_start.span, chance.random());
        }
        let h = self.pending.requests.get(&id)?;
        // A request that the trial build has failed is better served by an earlier one.
        let failed_there = h
            .attempts
            .iter()
            .any(|l| self.exposure.bound(l.build).is_some());
        let arm = usize::from(chance.random::<f64>() < self.load.share && !failed_there);
        let mut again = None;
        for seats in [&self.load.seats[arm], &self.load.seats[1 - arm]] {
            let tried = |id: EndpointId| h.attempts.iter().any(|l| l.to == id);
            let mut pick = |spare: bool| {
                // A few draws mostly do; where little is open, the whole arm is looked through.
                for _ in 0..4 {
                    let seat = seats.choose_weighted(&mut chance, |s| s.odds).ok()?;
                    if self.takes(h, seat.id) && !tried(seat.id) {
                        return Some(seat.id);
                    }
                }
                let open: Vec<_> = seats
                    .iter()
                    .filter(|s| spare && self.takes(h, s.id))
                    .collect();
                let odds = |s: &&Seat| if tried(s.id) { s.odds / 100.0 } else { s.odds };
                open.choose_weighted(&mut chance, odds).ok().map(|s| s.id)
            };
            let Some(one) = pick(true) else { continue };
            // Outside the subset there may be one that it has not been to.
            if self.discovery.fleet.split && tried(one) {
                again = again.or(Some(one));
                continue;
            }
            let two = pick(false).unwrap_or(one);
            let cost = |id| {
                self.discovery
                    .fleet
                    .used
                    .get(&id)
                    .map_or(f64::MAX, |a| self.cost(a))
            };
            return Some(if cost(two) < cost(one) { two } else { one });
        }
        self.call_in(id, &mut chance).or(again)
    }

    /// What a request may expect to wait there, against the usual: speed and size are in the odds already.
    fn cost(&self, a: &EndpointState) -> f64 {
        let across = if a.endpoint.zone == self.discovery.zone {
            1.0
        } else {
            2.0
        };
        let pace = pace(a, self.now, &self.load) / usual(a, self.now, &self.load);
        let out = a.out.len() as f64 * self.load.weight / a.weight().max(1e-3);
        across * (1.0 + out) * pace / (1.0 - 0.9 * a.record.fails.share(self.now, RECENT, 1.0))
    }

    /// Whether what waited for a connection may still go: drains, caps, builds told, keys forgotten since.
    pub(crate) fn stands(&self, id: RequestId, attempt: AttemptNumber) -> bool {
        let Some(h) = self.pending.requests.get(&id) else {
            return false;
        };
        let Some(l) = h
            .attempts
            .get(usize::from(attempt.0))
            .filter(|l| !l.called_off)
        else {
            return false;
        };
        let known = h.risk.is_none_or(|(first, ..)| first == l.sent) || resendable(h, self.now);
        let same = |endpoint: &Endpoint| {
            known && endpoint.status == EndpointStatus::Ready && endpoint.build == l.build
        };
        self.discovery.fleet.endpoint(l.to).is_some_and(same)
            && self.exposure.admits(l.build, l.group.0, h)
    }

    /// Hands an outcome to the tests. No answer, or one turned away, says nothing of the build: machines die,
    /// freeze or are cut off, queues fill. Slowness counts only without a queue, while both builds answer.
    /// Guards against bursts, cold starts, dead machines and shared slowdowns.
    fn judge(&mut self, at: EndpointId, o: &Out, outcome: Outcome, took: Duration, alive: bool) {
        let Some(policy) = self.pending.classes.get(usize::from(o.class.0)) else {
            return;
        };
        if o.mute || self.analysis.own.tests.is_empty() {
            return;
        }
        let trial = self.analysis.own.on_trial(o.build).then_some(at);
        // Both arms have answered within the agent's last few requests: only then do they compare.
        self.analysis.own.last[usize::from(trial.is_some())] = Some(self.now);
        let beside = self
            .analysis
            .own
            .last
            .iter()
            .all(|t| t.is_some_and(|t| t + self.load.few >= self.now));
        if trial.is_none() && !beside {
            return;
        }
        // A cold appliance is slow, but fails no more than a warm one.
        let fair = beside && !o.young && self.queue(policy.latency_objective) < QUEUE;
        let score = match outcome {
            Outcome::Failed => 1,
            Outcome::Succeeded => u8::from(fair && took > policy.latency_objective * 2),
            Outcome::TimedOut | Outcome::Cancelled
                if fair && alive && took > policy.latency_objective * 2 =>
            {
                1
            }
            _ => return,
        };
        // Against its model's usual time at earlier builds, for work between the rough hint and the usual,
        // half as much again counts as late: a build that needs more work seldom passes twice the SLA time.
        let model = self
            .discovery
            .fleet
            .used
            .get(&at)
            .and_then(|a| self.analysis.own.paces.get(&a.endpoint.model));
        let timed = model.filter(|_| fair && outcome == Outcome::Succeeded);
        let slow =
            |pace: &f64| took.as_secs_f64() > 1.5 * pace * (o.work + self.load.usual_work) / 2.0;
        let counts = [
            1,
            score,
            u8::from(timed.is_some()),
            u8::from(timed.is_some_and(slow)),
        ];
        self.analysis.note(trial, o.class, counts);
    }

    /// Takes in how an attempt ended: what it tells of the appliance, of queues, and of the build.
    pub(crate) fn outcome(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        at: EndpointId,
        o: &Out,
        outcome: Outcome,
        took: Duration,
    ) {
        let (now, fleet) = (self.now, &mut self.discovery.fleet);
        let Some(build) = fleet.used.get(&at).map(|a| a.endpoint.build) else {
            return;
        };
        let served = outcome == Outcome::Succeeded;
        let (many, sum) = if served {
            (0.0, 0.0)
        } else {
            fleet.mates(now, RECENT, at, build)
        };
        let Some(a) = fleet.used.get_mut(&at) else {
            return;
        };
        let alive = a.record.heard > o.sent;
        let latency_objective = self
            .pending
            .classes
            .get(usize::from(o.class.0))
            .map_or(took, |policy| policy.latency_objective);
        let blurred = o.sent < self.load.woke;
        // Short of connections is what has answered between two that failed; what is gone or silent is not.
        let short =
            outcome == Outcome::ConnectFailed && a.record.heard > a.record.unlinked.unwrap_or(now);
        self.demand.ended(
            now,
            (RECENT, self.load.few, USUAL),
            attempt,
            outcome,
            (took > latency_objective, short),
        );
        a.record.ended(now, RECENT, outcome, o.sent);
        if served {
            if !blurred {
                a.record.served(now, (RECENT, USUAL), took, o.work);
            }
            self.demand.served(now, (RECENT, USUAL), o.work);
            self.analysis.own.work([
                if took <= latency_objective {
                    o.work
                } else {
                    0.0
                },
                0.0,
                0.0,
            ]);
            if a.barred() && now >= a.record.barred_until {
                a.record.bar = Duration::ZERO;
                self.load.notes.push(Note::Readmitted(at));
            }
        }
        // An appliance that breaks connections or fails far more than others of its build is left alone a
        // while, a build as a whole never: its failures are the test's evidence. Spoilt answers say less.
        let fails = a.record.fails.share(now, RECENT, 1.0);
        let worse = many > 0.0
            && fails
                > sum / many
                    + if outcome == Outcome::Malformed {
                        0.6
                    } else {
                        0.3
                    };
        if worse || matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionLost) {
            self.load.notes.extend(strike(
                &mut a.record,
                now,
                at,
                if worse {
                    EjectionReason::FailureRate
                } else {
                    EjectionReason::ConnectionFailure
                },
            ));
        }
        self.load.heard += 1;
        if !blurred {
            self.judge(at, o, outcome, took, alive);
        }
        let release_status = self
            .exposure
            .release_status
            .filter(|n| served && self.exposure.forward_only && o.build == n.build);
        let idempotency_key = self
            .pending
            .requests
            .get(&id)
            .and_then(|h| h.request.idempotency_key);
        self.exposure
            .windows
            .answered
            .extend(idempotency_key.filter(|_| release_status.is_some()));
    }
}
