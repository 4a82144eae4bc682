//! What the decision module remembers: plain records and sums. Nothing here decides anything.
use std::collections::{BTreeMap, BTreeSet, VecDeque};
use std::time::Duration;

use crate::actions::Note;
use crate::fleet::Fleet;
use crate::model::{
    AgentId, AttemptNumber, Build, Cell, ClassPolicy, DeduplicationScope, Endpoint, EndpointId,
    Idempotency, IdempotencyKey, Model, Outcome, ReleasePhase, Request, RequestClass, Stage, Vote,
    Zone,
};
use crate::relay::Pool;
use crate::report::Version;

/// A sum whose older parts fade, brought up to date when it is read.
#[derive(Clone, Copy, Default)]
pub(crate) struct Fading {
    sum: f64,
    at: Duration,
}

impl Fading {
    pub(crate) fn read(&self, now: Duration, half: Duration) -> f64 {
        self.sum * (-now.saturating_sub(self.at).as_secs_f64() / half.as_secs_f64()).exp2()
    }

    pub(crate) fn add(&mut self, now: Duration, half: Duration, x: f64) {
        *self = Fading {
            sum: self.read(now, half) + x,
            at: now,
        };
    }
}

/// Two sums that fade together, of which the ratio is of interest.
#[derive(Clone, Copy, Default)]
pub(crate) struct Ratio(Fading, Fading);

impl Ratio {
    pub(crate) fn read(&self, now: Duration, half: Duration) -> (f64, f64) {
        (self.0.read(now, half), self.1.read(now, half))
    }

    /// The first as a share of the second and something beside it.
    pub(crate) fn share(&self, now: Duration, half: Duration, beside: f64) -> f64 {
        let (over, under) = self.read(now, half);
        over / (under + beside)
    }

    /// The first as a share of the second, of which there was once one that helped.
    pub(crate) fn helped(&self, now: Duration, half: Duration) -> f64 {
        let (over, under) = self.read(now, half);
        (over + 1.0) / (under + 1.0)
    }

    pub(crate) fn add(&mut self, now: Duration, half: Duration, over: f64, under: f64) {
        self.0.add(now, half, over);
        self.1.add(now, half, under);
    }
}

/// An attempt, as its request has it.
pub(crate) struct Attempt {
    pub(crate) to: EndpointId,
    pub(crate) build: Build,
    pub(crate) group: (Zone, Cell),
    pub(crate) sent: Duration,
    pub(crate) outcome: Option<Outcome>,
    pub(crate) called_off: bool,
}

/// A request that is owed its final answer.
pub(crate) struct PendingRequest {
    pub(crate) request: Request,
    pub(crate) policy: ClassPolicy,
    pub(crate) work: f64,
    pub(crate) arrived: Duration,
    pub(crate) attempts: Vec<Attempt>,
    /// The first attempt that may have run: when it was sent, and the group that drops its repeats.
    pub(crate) risk: Option<(Duration, Zone, Cell)>,
    /// A draw in 0..1, and until when it stands.
    pub(crate) luck: (Duration, f64),
}

impl PendingRequest {
    /// Whether an appliance would drop this as a repeat, if it may have run before.
    pub(crate) fn in_group(&self, endpoint: &Endpoint) -> bool {
        let (zone, cell) = self.confined();
        zone.is_none_or(|zone| endpoint.zone == zone)
            && cell.is_none_or(|cell| endpoint.cell == cell)
    }

    /// The zone and the cell that this has to stay in, if it may have run before.
    pub(crate) fn confined(&self) -> (Option<Zone>, Option<Cell>) {
        match (self.policy.idempotency, self.risk) {
            (Idempotency::Keyed(DeduplicationScope::Zone), Some((_, zone, _))) => {
                (Some(zone), None)
            }
            (Idempotency::Keyed(DeduplicationScope::Cell), Some((.., cell))) => (None, Some(cell)),
            _ => (None, None),
        }
    }

    /// Notes how an attempt ended, and which is now the first that may have run.
    pub(crate) fn ended(&mut self, attempt: AttemptNumber, outcome: Outcome) {
        if let Some(l) = self.attempts.get_mut(usize::from(attempt.0)) {
            l.outcome = Some(outcome);
        }
        let first = self
            .attempts
            .iter()
            .find(|l| l.outcome.is_none_or(Outcome::may_have_run));
        self.risk = first.map(|l| (l.sent, l.group.0, l.group.1));
    }

    pub(crate) fn out(&self) -> impl Iterator<Item = (AttemptNumber, &Attempt)> {
        self.attempts
            .iter()
            .enumerate()
            .filter(|(_, l)| l.outcome.is_none())
            .map(|(i, l)| (AttemptNumber(i as u8), l))
    }
}

/// What is left now of a stretch of time that was added up as it passed, fading by this half. Of a short one, all.
fn faded(passed: Duration, half: Duration) -> f64 {
    if passed < half / 8 {
        return passed.as_secs_f64();
    }
    let mean_life = half.as_secs_f64() / std::f64::consts::LN_2;
    mean_life * (1.0 - (-passed.as_secs_f64() / half.as_secs_f64()).exp2())
}

/// What requests ask of the fleet, and what of it was served.
#[derive(Default)]
pub(crate) struct Demand {
    /// Hinted work and number of requests, by product.
    pub(crate) hints: BTreeMap<RequestClass, Ratio>,
    /// Served work, and listed weight x time: what a unit of weight is seen to bear.
    pub(crate) borne: Ratio,
    /// Attempts served of late.
    pub(crate) lately: Fading,
    /// Attempts that found no connection where connections are short, and all that ended.
    pub(crate) shut: Ratio,
    /// Attempts turned away unseen, and all that ended.
    pub(crate) full: Ratio,
    /// Answers that came after the SLA time or not at all, and all answers.
    pub(crate) late: Ratio,
    /// Attempts served, and requests taken, in the long run; and for how long the agent has been up
    /// meanwhile.
    pub(crate) met: Ratio,
    pub(crate) up: Fading,
    /// Resends served, and all that ended.
    pub(crate) again: Ratio,
}

impl Demand {
    /// Mean hinted work of a request, in seconds, over the products that the filter takes.
    pub(crate) fn work(
        &self,
        now: Duration,
        half: Duration,
        of: impl Fn(RequestClass) -> bool,
    ) -> Option<f64> {
        let taken = self
            .hints
            .iter()
            .filter(|(p, _)| of(**p))
            .map(|(_, h)| h.read(now, half));
        let (work, many) = taken.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        (many > 0.0).then(|| work / many)
    }

    /// Learns of a request; its work by its hint, or what is usual for its product.
    pub(crate) fn taken(
        &mut self,
        now: Duration,
        half: Duration,
        request: &Request,
    ) -> Option<f64> {
        self.met.add(now, half / 2, 0.0, 1.0);
        if let Some(estimated_work) = request.estimated_work {
            self.hints.entry(request.class).or_default().add(
                now,
                half,
                estimated_work.as_secs_f64(),
                1.0,
            );
        }
        request
            .estimated_work
            .map(|h| h.as_secs_f64())
            .or_else(|| self.work(now, half, |p| p == request.class))
    }

    /// Notes how an attempt ended; the sums fade by these halves: of late, over a few requests, and usual.
    pub(crate) fn ended(
        &mut self,
        now: Duration,
        halves: (Duration, Duration, Duration),
        attempt: AttemptNumber,
        outcome: Outcome,
        (late, short): (bool, bool),
    ) {
        let ((recent, few, usual), one) = (halves, |yes: bool| f64::from(u8::from(yes)));
        let served = outcome == Outcome::Succeeded;
        self.full
            .add(now, recent, one(outcome == Outcome::Rejected), 1.0);
        self.shut.add(now, usual, one(short), 1.0);
        if served || outcome == Outcome::TimedOut {
            self.late.add(now, few, one(!served || late), 1.0);
        }
        if attempt.0 > 0 && matches!(outcome, Outcome::Succeeded | Outcome::Failed) {
            self.again.add(now, few, one(served), 1.0);
        }
    }

    /// Notes that time has passed at this listed weight, and returns their product.
    pub(crate) fn lived(
        &mut self,
        now: Duration,
        half: Duration,
        passed: Duration,
        weight: f64,
    ) -> f64 {
        let listed = faded(passed, half) * weight;
        self.borne.add(now, half, 0.0, listed);
        self.up.add(now, half / 2, faded(passed, half / 2));
        listed
    }

    pub(crate) fn served(&mut self, now: Duration, halves: (Duration, Duration), work: f64) {
        self.lately.add(now, halves.0, 1.0);
        self.borne.add(now, halves.1, work, 0.0);
        self.met.add(now, halves.1 / 2, 1.0, 0.0);
    }
}

/// What the exposure rule counts, exactly.
#[derive(Default)]
pub(crate) struct Windows {
    pub(crate) started: Option<Duration>,
    pub(crate) taken: BTreeMap<RequestClass, VecDeque<Duration>>,
    pub(crate) sent: BTreeMap<(RequestClass, Build), VecDeque<Duration>>,
    /// Marks that the build on trial has answered.
    pub(crate) answered: BTreeSet<IdempotencyKey>,
}

impl Windows {
    pub(crate) fn sent_since(&self, lane: RequestClass, build: Build, from: Duration) -> usize {
        self.sent
            .get(&(lane, build))
            .map_or(0, |times| since(times, from))
    }

    pub(crate) fn taken_since(&self, lane: RequestClass, from: Duration) -> usize {
        self.taken.get(&lane).map_or(0, |times| since(times, from))
    }

    /// Requests of all lanes taken since then.
    pub(crate) fn all_since(&self, from: Duration) -> usize {
        self.taken.values().map(|times| since(times, from)).sum()
    }

    pub(crate) fn trim(&mut self, before: Duration) {
        for times in self.taken.values_mut().chain(self.sent.values_mut()) {
            while times.front().is_some_and(|t| *t < before) {
                times.pop_front();
            }
        }
        self.sent.retain(|_, times| !times.is_empty());
    }
}

/// How many of these times, in order, are not before another.
fn since(times: &VecDeque<Duration>, from: Duration) -> usize {
    times.len() - times.partition_point(|t| *t < from)
}

/// Where the newest build stands, as last told.
#[derive(Clone, Copy)]
pub(crate) struct ReleaseStatus {
    pub(crate) build: Build,
    pub(crate) stage: Stage,
    pub(crate) phase: ReleasePhase,
    pub(crate) cap: f64,
    /// When this stage began.
    pub(crate) since: Duration,
}

/// A vote, when it was sent and how its call ended.
pub(crate) struct SentVote {
    pub(crate) ballot: (Build, Stage, Vote),
    pub(crate) sent: Duration,
    pub(crate) answer: Option<Outcome>,
}

/// Outcomes: how many, how many of them bad, how many could be timed, and how many of those were late.
pub(crate) type Counts = [u8; 4];
/// Outcomes by trial appliance (none: earlier builds) and product.
pub(crate) type Report = BTreeMap<(Option<EndpointId>, RequestClass), Counts>;

/// What a test has taken: outcomes and bad ones at earlier builds, at the trial, and by trial appliance.
#[derive(Default)]
pub(crate) struct Arms {
    pub(crate) x: (f64, f64),
    pub(crate) y: (f64, f64),
    pub(crate) by: BTreeMap<EndpointId, (f64, f64)>,
}

impl Arms {
    pub(crate) fn put(&mut self, trial: Option<EndpointId>, many: f64, bad: f64) {
        let put = |arm: &mut (f64, f64)| *arm = (arm.0 + many, (arm.1 + bad).min(arm.0 + many));
        put(if trial.is_some() {
            &mut self.y
        } else {
            &mut self.x
        });
        if let Some(at) = trial {
            put(self.by.entry(at).or_default());
        }
    }

    /// By how much the trial is worse.
    pub(crate) fn worse(&self) -> f64 {
        self.means().1 - self.means().0
    }

    pub(crate) fn means(&self) -> (f64, f64) {
        (self.x.1 / self.x.0.max(1.0), self.y.1 / self.y.0.max(1.0))
    }
}

/// What a sequential test is made with.
#[derive(Clone, Copy, Debug)]
pub struct SequentialTestSettings {
    /// Tolerated difference of the two failure rates (the paper's theta0).
    pub tolerated_difference: f64,
    /// Standard deviation of the normal mixing distribution over that difference (the paper's tau).
    pub mixing_deviation: f64,
    /// Level of the test: its probability of a false alarm (the paper's alpha).
    pub level: f64,
}

/// A mixture sequential probability ratio test (mSPRT) of two failure rates: those of the earlier builds (the
/// paper's X) and of the canary (its Y).
pub struct SequentialTest {
    pub(crate) theta0: f64,
    pub(crate) tau: f64,
    pub(crate) alpha: f64,
    pub(crate) arms: Arms,
    pub(crate) p_value: f64,
    pub(crate) interval: (f64, f64),
}

impl SequentialTest {
    /// A test without any outcome.
    pub fn new(settings: SequentialTestSettings) -> Self {
        SequentialTest {
            theta0: settings.tolerated_difference,
            tau: settings.mixing_deviation,
            alpha: settings.level,
            arms: Arms::default(),
            p_value: 1.0,
            interval: (f64::MIN, f64::MAX),
        }
    }

    /// The always valid p-value, 0 to 1: the canary is worse at the test's level once this is no higher.
    pub fn p_value(&self) -> f64 {
        self.p_value
    }
}

/// Appliances' outcomes and bad ones, those first of which most are bad.
pub(crate) fn worst_first(by: impl Iterator<Item = (f64, f64)>) -> Vec<(f64, f64)> {
    let mut by: Vec<_> = by.collect();
    by.sort_by(|a, b| (b.1 / b.0).total_cmp(&(a.1 / a.0)));
    by
}

/// What a jury has gathered on the build it judges.
#[derive(Default)]
pub(crate) struct AnalysisState {
    /// What a unit of weight bore when the build was first heard of.
    pub(crate) bore: f64,
    /// When last not too much of what was borne was lost.
    pub(crate) well: Duration,
    /// One test for each product, one of failures over all and one of pace over all.
    pub(crate) tests: Vec<SequentialTest>,
    pub(crate) build: Option<Build>,
    /// The last outcome at earlier builds, and at the build on trial.
    pub(crate) last: [Option<Duration>; 2],
    /// The usual pace of each model at earlier builds.
    pub(crate) paces: BTreeMap<Model, f64>,
    pub(crate) vote: Option<SentVote>,
    /// When to tell peers of a doubt again, and until when a peer's doubt counts.
    pub(crate) warn_at: Duration,
    pub(crate) warned: Duration,
    /// Where in the spread of those who stand in for the judges this agent votes, 0 to 1.
    pub(crate) turn: f64,
    /// Outcomes to report, when next, and the last report's version.
    pub(crate) report: Report,
    pub(crate) report_at: Duration,
    /// Work served in time, usual and asked since the last report, in hundredths of a second.
    pub(crate) sums: [f64; 3],
    /// The same, pooled over those that report: served in time of usual, and of asked.
    pub(crate) kept: Ratio,
    pub(crate) met: Ratio,
    /// These two shares when the last stage ended, and the stage that runs.
    pub(crate) before: Option<[f64; 2]>,
    pub(crate) stage: Stage,
    pub(crate) version: Version,
    /// What this agent has to pass on for its group.
    pub(crate) pooled: Pool,
    /// The version of the last report from each sender.
    pub(crate) heard: BTreeMap<AgentId, Version>,
}

/// An appliance that requests may choose, and its odds.
pub(crate) struct Seat {
    pub(crate) id: EndpointId,
    pub(crate) odds: f64,
    /// Its place in the subset.
    pub(crate) rank: Option<usize>,
}

/// The fleet at a glance, as of the last walk over it.
#[derive(Default)]
pub(crate) struct LoadEstimate {
    /// Noted since the last round's end.
    pub(crate) notes: Vec<Note>,
    /// When to wake next, and until when the agent itself last stood still.
    pub(crate) wake_at: Duration,
    pub(crate) woke: Duration,
    /// When to walk again, the events heard and the time passed since the last walk.
    pub(crate) next: Duration,
    pub(crate) heard: usize,
    pub(crate) passed: Duration,
    /// How many of an arm the subset is to have that can take a request, and how many it has on each side of the
    /// agent's own place.
    pub(crate) members: f64,
    pub(crate) reach: [[usize; 2]; 2],
    /// Whether the subset has as many as it is to have.
    pub(crate) full: bool,
    /// Where a connection may be given back, since it left the subset.
    pub(crate) left: Vec<EndpointId>,
    /// Listed weight by arm, as far as it is open and warm.
    pub(crate) listed: [f64; 2],
    /// Earlier builds' appliances and the trial's, and the trial's share of the listed weight.
    pub(crate) seats: [Vec<Seat>; 2],
    pub(crate) share: f64,
    /// Whether most are barred.
    pub(crate) panic: bool,
    /// What a unit of listed weight is seen to bear.
    pub(crate) fair: f64,
    /// Mean listed weight of an appliance.
    pub(crate) weight: f64,
    /// Work in hand, and to come in the span that the rule on cold appliances looks at.
    pub(crate) due: f64,
    /// Time for a unit of hinted work: long-run mean of all appliances, and the middle appliance's now.
    pub(crate) usual_pace: f64,
    pub(crate) middle_pace: f64,
    /// Mean hinted work of a request, in seconds.
    pub(crate) usual_work: f64,
    /// How long the agent takes to be served a few requests.
    pub(crate) few: Duration,
    /// Requests taken a second.
    pub(crate) asked: f64,
    /// Attempts served a second, of late.
    pub(crate) served: f64,
    /// Share that goes unserved both of what was borne before the trial and of what is asked now.
    pub(crate) lost: f64,
}

impl AnalysisState {
    pub(crate) fn on_trial(&self, build: Build) -> bool {
        self.build.is_some_and(|judged| build >= judged)
    }

    /// A model's speed over that of the mean model, 1 at most.
    pub(crate) fn speed(&self, model: Model) -> f64 {
        let mean = self.paces.values().sum::<f64>() / self.paces.len().max(1) as f64;
        self.paces
            .get(&model)
            .map_or(1.0, |pace| (mean / pace).min(1.0))
    }

    /// The whole part of the sums; the rest stays for the next time.
    pub(crate) fn take_sums(&mut self) -> [u16; 3] {
        self.sums.each_mut().map(|sum| {
            let whole = sum.floor().clamp(0.0, f64::from(u16::MAX));
            *sum -= whole;
            whole as u16
        })
    }

    pub(crate) fn noted(&mut self, trial: Option<EndpointId>, class: RequestClass, counts: Counts) {
        let sums = self.report.entry((trial, class)).or_default();
        sums.iter_mut()
            .zip(counts)
            .for_each(|(sum, one)| *sum = sum.saturating_add(one));
    }

    pub(crate) fn pool(&mut self, now: Duration, half: Duration, sums: [u16; 3]) {
        let [timely, usual, asked] = sums.map(f64::from);
        self.kept.add(now, half, timely, usual);
        self.met.add(now, half, timely, asked);
    }

    /// The better of the two shares over what they were when the last stage ended, if this much was asked.
    pub(crate) fn kept(
        &mut self,
        now: Duration,
        half: Duration,
        stage: Stage,
        least: f64,
    ) -> Option<f64> {
        let ((timely, usual), (_, asked)) = (self.kept.read(now, half), self.met.read(now, half));
        let shares =
            [timely / usual.max(1e-9), timely / asked.max(1e-9)].map(|share| share.min(1.0));
        let enough = asked > 100.0 * least && usual > 0.0;
        if std::mem::replace(&mut self.stage, stage) != stage {
            self.before = enough.then_some(shares);
        }
        let before = self.before.filter(|_| enough)?;
        Some(f64::max(
            shares[0] / before[0].max(0.1),
            shares[1] / before[1].max(0.1),
        ))
    }

    /// Learns of own work in seconds, served in time, usual and asked, if there is a past to compare with.
    pub(crate) fn work(&mut self, work: [f64; 3]) {
        if self.bore > 0.0 {
            self.sums
                .iter_mut()
                .zip(work)
                .for_each(|(sum, one)| *sum += 100.0 * one);
        }
    }
}

impl LoadEstimate {
    /// Brings what is measured of fleet and demand up to date; the sums fade by these halves.
    pub(crate) fn measure(
        &mut self,
        now: Duration,
        halves: (Duration, Duration),
        fleet: &Fleet,
        demand: &Demand,
    ) {
        let rate = |sum: f64, half: Duration| sum * std::f64::consts::LN_2 / half.as_secs_f64();
        self.weight = fleet.listed.weight() / fleet.listed.ready().max(1) as f64;
        self.usual_pace = fleet.pace(now, halves.1).unwrap_or(1.0);
        self.usual_work = demand
            .work(now, halves.1, |_| true)
            .unwrap_or(1e-3)
            .max(1e-4);
        self.served = rate(demand.lately.read(now, halves.0), halves.0);
        // Over the time that the agent has been up: one that has just started is asked no less than others.
        self.asked =
            demand.met.read(now, halves.1 / 2).1 / demand.up.read(now, halves.1 / 2).max(1e-3);
        let (borne, weight) = demand.borne.read(now, halves.1);
        self.fair = borne / weight.max(1e-9);
    }
}
