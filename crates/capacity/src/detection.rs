//! How long a release's test takes to turn back a bad build.
//!
//! The test is [`lilacgate_decision::SequentialTest`]; what surrounds it (who reports what
//! to whom, and when a test speaks) is modelled here in virtual time for one
//! service. Requests of each agent arrive by chance at the mean rate of one
//! agent and service. An agent counts an outcome of an earlier build only while
//! both builds have answered it of late, as the decision module does.
//!
//! Left out: slowness and lost capacity, votes on and their stages, lost
//! reports, and that an agent prefers a few appliances of each build. All but
//! the last two could only turn a build back sooner.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{EndpointId, SequentialTest, SequentialTestSettings};
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use crate::result::{Experiment, Quantity, Role, Sample, Size, Source};
use crate::target::Target;

/// Bytes of a report's head, and of each count in it (`peer_reports/codec.rs` of the decision crate).
const REPORT_HEAD_BYTES: usize = 16;
const REPORT_RECORD_BYTES: usize = 9;
const REPORT_MOST_BYTES: usize = 256;
/// Records that one report holds.
const REPORT_MOST_RECORDS: usize = (REPORT_MOST_BYTES - REPORT_HEAD_BYTES) / REPORT_RECORD_BYTES;

/// The settings of the test and of the model around it.
///
/// The defaults of `tolerance`, `deviation`, `level`, `least_outcomes`,
/// `most_recent` and `report_spread` repeat the values of private constants
/// and expressions of the decision crate (`TOLERATED_FAILURES`, `FAILURE_DEVIATION`, `LEVEL` and
/// `MIN_CANARY_OUTCOMES` in `policy/release_analysis.rs`, `FEW_REQUESTS` and
/// `REPORT_PAUSE` in `engine/`); they have to be changed with those.
#[derive(Clone, Debug, PartialEq)]
pub struct DetectionSettings {
    /// The worsening that is tolerated.
    pub tolerance: f64,
    /// The mixing deviation of the test.
    pub deviation: f64,
    /// The level of the test, before it is divided among tests and agents.
    pub level: f64,
    /// Trial outcomes without which a test does not speak.
    pub least_outcomes: f64,
    /// Both builds have answered an agent within this time, or outcomes of the
    /// earlier one are not counted: five requests of a quiet agent.
    pub most_recent: Duration,
    /// Time between an agent's reports, before `report_spread`.
    pub minimum_stage_time: Duration,
    /// The least and most time between reports as a share of `minimum_stage_time`.
    pub report_spread: (f64, f64),
    /// Share of requests that any build fails.
    pub baseline_failure_share: f64,
    /// How many more requests a bad build fails, one case each.
    pub failure_shares: Vec<f64>,
    /// Share of appliances on trial, one case each.
    pub trial_shares: Vec<f64>,
    /// Which part of the agents reports to a judge, one case each.
    pub pooled_parts: Vec<f64>,
    /// When a run ends without a verdict.
    pub longest: Duration,
}

impl Default for DetectionSettings {
    fn default() -> Self {
        DetectionSettings {
            tolerance: 0.005,
            deviation: 0.05,
            level: 0.05,
            least_outcomes: 20.0,
            most_recent: Duration::from_secs(5),
            minimum_stage_time: Duration::from_secs(2),
            report_spread: (0.5, 0.8),
            baseline_failure_share: 0.002,
            failure_shares: vec![0.0, 0.05, 0.2, 0.5],
            trial_shares: vec![0.02, 0.1, 0.5],
            pooled_parts: vec![0.0, 0.02, 0.1, 0.25, 0.5, 1.0],
            longest: Duration::from_secs(3600),
        }
    }
}

/// Whose outcomes a test sees.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Evidence {
    /// One agent's own; the level is shared among all agents.
    Own,
    /// Those of so many agents, at a judge that is one of them.
    Pooled(u32),
}

impl Evidence {
    fn agents(self) -> u32 {
        match self {
            Evidence::Own => 1,
            Evidence::Pooled(agents) => agents,
        }
    }
}

/// One service with a build on trial.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionCase {
    /// Whose outcomes count.
    pub evidence: Evidence,
    /// Agents in the fleet.
    pub agents: u32,
    /// Routes of the service, each with a test of its own.
    pub routes: u16,
    /// Appliances of the service.
    pub appliances: u32,
    /// Requests per second of one agent.
    pub request_rate: f64,
    /// Share of appliances on trial.
    pub trial_share: f64,
    /// How many more requests the build on trial fails.
    pub failure_share: f64,
}

/// How one run went.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct DetectionRun {
    /// When the build was turned back; nothing if it was not.
    pub after: Option<Duration>,
    /// Reports that the judge received.
    pub messages: u64,
    /// Their bytes.
    pub bytes: u64,
    /// How long the run lasted.
    pub lasted: Duration,
}

/// Runs all cases of a target, each with every seed. One sample per case, with
/// the median and the ninth decile over its runs; figures of time are left out
/// where a run they stand for came to no verdict.
pub fn detections(
    target: &Target,
    settings: &DetectionSettings,
    seeds: &[u64],
    command: &str,
) -> Vec<Sample> {
    let mut samples = Vec::new();
    for case in cases(target, settings) {
        let run = |seed: &u64| run(&case, settings, *seed);
        let runs: Vec<DetectionRun> = seeds.iter().map(run).collect();
        samples.push(Sample {
            experiment: Experiment::Detection,
            command: command.to_owned(),
            seed: seeds.first().copied().unwrap_or_default(),
            source: Source::Model,
            role: match case.evidence {
                Evidence::Own => Role::Agent,
                Evidence::Pooled(_) => Role::Aggregator,
            },
            factor: None,
            size: case_size(target, &case),
            event: None,
            held_back: false,
            complete: true,
            figures: figures(&case, &runs),
        });
    }
    samples
}

fn cases(target: &Target, settings: &DetectionSettings) -> Vec<DetectionCase> {
    let mut cases = Vec::new();
    for &failure_share in &settings.failure_shares {
        for &trial_share in &settings.trial_shares {
            for evidence in evidences(target.agents, &settings.pooled_parts) {
                cases.push(DetectionCase {
                    evidence,
                    agents: target.agents,
                    routes: target.routes.div_ceil(target.services.count) as u16,
                    appliances: target.services.appliances.div_ceil(target.services.count),
                    request_rate: target.rate_per_agent_and_service(),
                    trial_share,
                    failure_share,
                });
            }
        }
    }
    cases
}

fn evidences(agents: u32, parts: &[f64]) -> Vec<Evidence> {
    let pooled = |part: &f64| ((f64::from(agents) * part).round() as u32).clamp(1, agents);
    let mut counts: Vec<u32> = parts.iter().map(pooled).collect();
    counts.dedup();
    let pooled = counts.into_iter().map(Evidence::Pooled);
    std::iter::once(Evidence::Own).chain(pooled).collect()
}

fn case_size(target: &Target, case: &DetectionCase) -> Size {
    Size {
        listed_appliances: case.appliances,
        used_appliances: case.appliances,
        services: 1,
        routes: u32::from(case.routes),
        request_rate: case.request_rate * f64::from(case.agents),
        releases: 1,
        ..target.size()
    }
}

fn figures(case: &DetectionCase, runs: &[DetectionRun]) -> BTreeMap<Quantity, f64> {
    let decided = runs.iter().filter(|run| run.after.is_some()).count() as f64;
    let lasted: f64 = runs.iter().map(|run| run.lasted.as_secs_f64()).sum();
    let messages: u64 = runs.iter().map(|run| run.messages).sum();
    let bytes: u64 = runs.iter().map(|run| run.bytes).sum();
    let pooled = f64::from(case.evidence.agents());
    let mut figures = BTreeMap::from([
        (Quantity::BadBuildFailureShare, case.failure_share),
        (Quantity::TrialShare, case.trial_share),
        (Quantity::PooledAgents, pooled),
        (Quantity::Runs, runs.len() as f64),
        (Quantity::DetectedShare, decided / runs.len() as f64),
        (Quantity::MessagesInPerSecond, messages as f64 / lasted),
        (Quantity::BytesInPerSecond, bytes as f64 / lasted),
    ]);
    let times = [
        (Quantity::DetectionSeconds, 0.5),
        (Quantity::DetectionSecondsP90, 0.9),
    ];
    for (quantity, part) in times {
        let time = quantile(runs, part).map(|time| time.as_secs_f64());
        figures.extend(time.map(|seconds| (quantity, seconds)));
    }
    figures
}

/// The time that this part of the runs came to a verdict in, if it did.
fn quantile(runs: &[DetectionRun], part: f64) -> Option<Duration> {
    let mut times: Vec<Duration> = runs.iter().filter_map(|run| run.after).collect();
    times.sort();
    let rank = (part * runs.len() as f64).ceil() as usize;
    times.get(rank.max(1) - 1).copied()
}

/// Plays one case until the build is turned back or the longest time is over.
pub fn run(case: &DetectionCase, settings: &DetectionSettings, seed: u64) -> DetectionRun {
    let mut model = Model::new(case, settings, seed);
    let arrivals = f64::from(case.evidence.agents()) * case.request_rate;
    let gap = Exp::new(arrivals).expect("a rate above 0");
    let mut now = Duration::ZERO;
    while now < settings.longest {
        now += Duration::from_secs_f64(gap.sample(&mut model.random));
        if let Some(after) = model.deliver_reports(now) {
            return model.ended(Some(after), after);
        }
        if model.arrive(now) {
            return model.ended(Some(now), now);
        }
    }
    model.ended(None, settings.longest)
}

/// The trial appliance, if it is one, and the route.
type OutcomeKey = (Option<EndpointId>, u16);

/// Outcomes of one appliance and route.
#[derive(Clone, Copy, Debug, Default)]
struct Counts {
    outcomes: u8,
    failures: u8,
}

/// An agent that reports to the judge.
#[derive(Clone, Debug, Default)]
struct Reporter {
    /// The last answer of the earlier builds and of the one on trial.
    last_answers: [Option<Duration>; 2],
    /// What has not been reported.
    counts: BTreeMap<OutcomeKey, Counts>,
    /// The earliest time of the next report.
    may_report_at: Duration,
    /// Whether a report is planned.
    is_planned: bool,
}

struct Model<'a> {
    case: &'a DetectionCase,
    settings: &'a DetectionSettings,
    random: Pcg64Mcg,
    reporters: Vec<Reporter>,
    /// Reports that are planned, by their time.
    planned: BTreeSet<(Duration, usize)>,
    aggregator: Aggregator<'a>,
    messages: u64,
    bytes: u64,
}

impl<'a> Model<'a> {
    fn new(case: &'a DetectionCase, settings: &'a DetectionSettings, seed: u64) -> Self {
        Model {
            case,
            settings,
            random: Pcg64Mcg::seed_from_u64(seed),
            reporters: vec![Reporter::default(); case.evidence.agents() as usize],
            planned: BTreeSet::new(),
            aggregator: Aggregator::new(case, settings),
            messages: 0,
            bytes: 0,
        }
    }

    fn ended(&self, after: Option<Duration>, lasted: Duration) -> DetectionRun {
        DetectionRun {
            after,
            messages: self.messages,
            bytes: self.bytes,
            lasted,
        }
    }

    /// Hands the judge all reports that are due; says when it turned the build
    /// back.
    fn deliver_reports(&mut self, now: Duration) -> Option<Duration> {
        while let Some(&(at, from)) = self.planned.first() {
            if at > now {
                return None;
            }
            self.planned.pop_first();
            self.report(at, from);
            if self.aggregator.detects_bad_build() {
                return Some(at);
            }
        }
        None
    }

    fn report(&mut self, at: Duration, from: usize) {
        let (least, most) = self.settings.report_spread;
        let reporter = &mut self.reporters[from];
        reporter.is_planned = false;
        reporter.may_report_at = at
            + self
                .settings
                .minimum_stage_time
                .mul_f64(self.random.random_range(least..most));
        let mut size = REPORT_HEAD_BYTES;
        for _ in 0..REPORT_MOST_RECORDS {
            // The trial's outcomes go first, as in the module.
            let Some(((trial, route), counts)) = reporter.counts.pop_last() else {
                break;
            };
            size += REPORT_RECORD_BYTES;
            self.aggregator.learn(trial, route, counts);
        }
        self.messages += 1;
        self.bytes += size as u64;
        if reporter.counts.keys().any(|(trial, _)| trial.is_some()) {
            reporter.is_planned = true;
            self.planned.insert((reporter.may_report_at, from));
        }
    }

    /// One request of one agent; whether its outcome turns the build back. The
    /// first agent is the judge and sees its own outcomes at once.
    fn arrive(&mut self, now: Duration) -> bool {
        let agent = self.random.random_range(0..self.reporters.len());
        let route = self.random.random_range(0..self.case.routes);
        let trial = self.choose_trial();
        let failed = self.random.random::<f64>() < self.failure_share(trial);
        let reporter = &mut self.reporters[agent];
        reporter.last_answers[usize::from(trial.is_some())] = Some(now);
        let recent = |last: &Option<Duration>| {
            last.is_some_and(|last| last + self.settings.most_recent >= now)
        };
        if trial.is_none() && !reporter.last_answers.iter().all(recent) {
            return false;
        }
        if agent == 0 {
            let counts = Counts {
                outcomes: 1,
                failures: u8::from(failed),
            };
            self.aggregator.learn(trial, route, counts);
            return self.aggregator.detects_bad_build();
        }
        let counts = reporter.counts.entry((trial, route)).or_default();
        counts.outcomes = counts.outcomes.saturating_add(1);
        counts.failures = counts.failures.saturating_add(u8::from(failed));
        if trial.is_some() && !reporter.is_planned {
            reporter.is_planned = true;
            self.planned
                .insert((reporter.may_report_at.max(now), agent));
        }
        false
    }

    fn choose_trial(&mut self) -> Option<EndpointId> {
        if self.random.random::<f64>() >= self.case.trial_share {
            return None;
        }
        let on_trial = f64::from(self.case.appliances) * self.case.trial_share;
        let on_trial = (on_trial.round() as u32).max(1);
        Some(EndpointId(self.random.random_range(0..on_trial)))
    }

    fn failure_share(&self, trial: Option<EndpointId>) -> f64 {
        let more = if trial.is_some() {
            self.case.failure_share
        } else {
            0.0
        };
        self.settings.baseline_failure_share + more
    }
}

/// Who holds the tests of a build: one for each route, and one of all.
struct Aggregator<'a> {
    settings: &'a DetectionSettings,
    level: f64,
    tests: Vec<RouteTest>,
}

impl<'a> Aggregator<'a> {
    fn new(case: &DetectionCase, settings: &'a DetectionSettings) -> Self {
        let tests = usize::from(case.routes) + 1;
        // The module has one more test, that of pace.
        let level = settings.level / (tests + 1) as f64;
        let level = match case.evidence {
            Evidence::Own => level / f64::from(case.agents),
            Evidence::Pooled(_) => level,
        };
        let test = |_| RouteTest::new(settings, level);
        Aggregator {
            settings,
            level,
            tests: (0..tests).map(test).collect(),
        }
    }

    fn learn(&mut self, trial: Option<EndpointId>, route: u16, counts: Counts) {
        let all = self.tests.len() - 1;
        for index in [usize::from(route), all] {
            self.tests[index].observe(trial, counts);
        }
    }

    fn detects_bad_build(&self) -> bool {
        let detects_bad_build =
            |one: &RouteTest| one.test.p_value() <= self.level && one.is_doubtful(self.settings);
        self.tests.iter().any(detects_bad_build)
    }
}

/// A test and the sums that decide when it may speak, which the module keeps to
/// itself.
struct RouteTest {
    test: SequentialTest,
    earlier: (f64, f64),
    by_appliance: BTreeMap<EndpointId, (f64, f64)>,
}

impl RouteTest {
    fn new(settings: &DetectionSettings, level: f64) -> Self {
        RouteTest {
            test: SequentialTest::new(SequentialTestSettings {
                tolerated_difference: settings.tolerance,
                mixing_deviation: settings.deviation,
                level,
            }),
            earlier: (0.0, 0.0),
            by_appliance: BTreeMap::new(),
        }
    }

    fn observe(&mut self, trial: Option<EndpointId>, counts: Counts) {
        let (outcomes, failures) = (f64::from(counts.outcomes), f64::from(counts.failures));
        self.test.observe(trial, outcomes, failures);
        let sums = match trial {
            Some(appliance) => self.by_appliance.entry(appliance).or_default(),
            None => &mut self.earlier,
        };
        sums.0 += outcomes;
        sums.1 += failures;
    }

    /// Whether the trial looks worse on enough outcomes, also without the
    /// quarter of its appliances that look worst (`SequentialTest`).
    fn is_doubtful(&self, settings: &DetectionSettings) -> bool {
        let mut by: Vec<(f64, f64)> = self.by_appliance.values().copied().collect();
        by.sort_by(|one, other| (other.1 / other.0).total_cmp(&(one.1 / one.0)));
        let all = sums(&by);
        let others = sums(&by[by.len().div_ceil(4)..]);
        let earlier = self.earlier.1 / self.earlier.0.max(1.0);
        let is_worse = |(outcomes, failures): (f64, f64)| {
            failures / outcomes.max(1.0) - earlier > settings.tolerance
        };
        let is_enough = all.0 >= settings.least_outcomes;
        let is_spread = others.0 * 2.0 >= settings.least_outcomes;
        is_enough && is_spread && is_worse(all) && is_worse(others)
    }
}

fn sums(by: &[(f64, f64)]) -> (f64, f64) {
    let add = |all: (f64, f64), one: &(f64, f64)| (all.0 + one.0, all.1 + one.1);
    by.iter().fold((0.0, 0.0), add)
}
