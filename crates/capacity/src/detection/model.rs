//! One run of a case in virtual time: requests, their outcomes, and reports.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::EndpointId;
use rand::{RngExt, SeedableRng};
use rand_distr::{Distribution, Exp};
use rand_pcg::Pcg64Mcg;

use super::aggregator::{Aggregator, Counts, OutcomeKey};
use super::{DetectionCase, DetectionRun, DetectionSettings, ReportSpread};

/// Bytes of a report's head, and of each count in it (`peer_reports/codec.rs` of the decision crate).
const REPORT_HEAD_BYTES: usize = 16;
const REPORT_RECORD_BYTES: usize = 9;
const REPORT_MOST_BYTES: usize = 256;
/// Records that one report holds.
const REPORT_MOST_RECORDS: usize = (REPORT_MOST_BYTES - REPORT_HEAD_BYTES) / REPORT_RECORD_BYTES;
/// The agent that holds the tests; it observes its own outcomes without a report.
const AGGREGATOR: usize = 0;

/// When each group of builds last answered an agent.
#[derive(Clone, Copy, Debug, Default)]
struct LastAnswers {
    earlier: Option<Duration>,
    canary: Option<Duration>,
}

impl LastAnswers {
    fn note(&mut self, is_canary: bool, now: Duration) {
        let last = if is_canary {
            &mut self.canary
        } else {
            &mut self.earlier
        };
        *last = Some(now);
    }

    /// Whether both have answered within this time.
    fn are_recent(self, most_recent: Duration, now: Duration) -> bool {
        let is_recent = |last: Option<Duration>| last.is_some_and(|last| last + most_recent >= now);
        is_recent(self.earlier) && is_recent(self.canary)
    }
}

/// An agent that reports to the aggregator.
#[derive(Clone, Debug, Default)]
struct Reporter {
    last_answers: LastAnswers,
    /// Outcomes that have not been reported.
    counts: BTreeMap<OutcomeKey, Counts>,
    /// The earliest time of the next report.
    may_report_at: Duration,
    /// Whether a report is planned.
    is_planned: bool,
}

/// A planned report. The order is that of delivery: by time, then by agent.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct PlannedReport {
    at: Duration,
    reporter: usize,
}

/// The state of one run.
pub(super) struct Model<'a> {
    case: &'a DetectionCase,
    settings: &'a DetectionSettings,
    random: Pcg64Mcg,
    reporters: Vec<Reporter>,
    planned: BTreeSet<PlannedReport>,
    aggregator: Aggregator<'a>,
    messages: u64,
    bytes: u64,
}

impl<'a> Model<'a> {
    pub(super) fn new(case: &'a DetectionCase, settings: &'a DetectionSettings, seed: u64) -> Self {
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

    /// Runs until the build is rejected or the longest time is over.
    pub(super) fn run(mut self) -> DetectionRun {
        let arrivals = f64::from(self.case.evidence.agents()) * self.case.request_rate;
        let gap = Exp::new(arrivals).expect("a rate above 0");
        let mut now = Duration::ZERO;
        while now < self.settings.longest {
            now += Duration::from_secs_f64(gap.sample(&mut self.random));
            if let Some(after) = self.deliver_reports(now) {
                return self.ended(Some(after), after);
            }
            if self.request(now) {
                return self.ended(Some(now), now);
            }
        }
        self.ended(None, self.settings.longest)
    }

    fn ended(&self, after: Option<Duration>, lasted: Duration) -> DetectionRun {
        DetectionRun {
            after,
            messages: self.messages,
            bytes: self.bytes,
            lasted,
        }
    }

    /// Delivers all reports that are due to the aggregator; returns when one
    /// made it reject the build.
    fn deliver_reports(&mut self, now: Duration) -> Option<Duration> {
        while let Some(&planned) = self.planned.first() {
            if planned.at > now {
                return None;
            }
            self.planned.pop_first();
            self.report(planned);
            if self.aggregator.detects_bad_build() {
                return Some(planned.at);
            }
        }
        None
    }

    fn report(&mut self, planned: PlannedReport) {
        let ReportSpread { least, most } = self.settings.report_spread;
        let share = self.random.random_range(least..most);
        let reporter = &mut self.reporters[planned.reporter];
        reporter.is_planned = false;
        reporter.may_report_at = planned.at + self.settings.minimum_stage_time.mul_f64(share);
        let mut size = REPORT_HEAD_BYTES;
        for _ in 0..REPORT_MOST_RECORDS {
            // The canary's outcomes go first, as in the decision crate.
            let Some((key, counts)) = reporter.counts.pop_last() else {
                break;
            };
            size += REPORT_RECORD_BYTES;
            self.aggregator.observe(key, counts);
        }
        self.messages += 1;
        self.bytes += size as u64;
        if reporter.counts.keys().any(|key| key.canary.is_some()) {
            reporter.is_planned = true;
            self.planned.insert(PlannedReport {
                at: reporter.may_report_at,
                reporter: planned.reporter,
            });
        }
    }

    /// One request of one agent; returns whether its outcome makes the
    /// aggregator reject the build.
    fn request(&mut self, now: Duration) -> bool {
        let agent = self.random.random_range(0..self.reporters.len());
        let route = self.random.random_range(0..self.case.routes);
        let canary = self.choose_canary();
        let failed = self.random.random::<f64>() < self.failure_share(canary);
        let reporter = &mut self.reporters[agent];
        reporter.last_answers.note(canary.is_some(), now);
        let are_recent = reporter
            .last_answers
            .are_recent(self.settings.most_recent, now);
        if canary.is_none() && !are_recent {
            return false;
        }
        let key = OutcomeKey { canary, route };
        if agent == AGGREGATOR {
            let counts = Counts {
                outcomes: 1,
                failures: u8::from(failed),
            };
            self.aggregator.observe(key, counts);
            return self.aggregator.detects_bad_build();
        }
        let counts = reporter.counts.entry(key).or_default();
        counts.outcomes = counts.outcomes.saturating_add(1);
        counts.failures = counts.failures.saturating_add(u8::from(failed));
        if canary.is_some() && !reporter.is_planned {
            reporter.is_planned = true;
            self.planned.insert(PlannedReport {
                at: reporter.may_report_at.max(now),
                reporter: agent,
            });
        }
        false
    }

    fn choose_canary(&mut self) -> Option<EndpointId> {
        if self.random.random::<f64>() >= self.case.trial_share {
            return None;
        }
        let canaries = f64::from(self.case.appliances) * self.case.trial_share;
        let canaries = (canaries.round() as u32).max(1);
        Some(EndpointId(self.random.random_range(0..canaries)))
    }

    fn failure_share(&self, canary: Option<EndpointId>) -> f64 {
        let more = if canary.is_some() {
            self.case.failure_share
        } else {
            0.0
        };
        self.settings.baseline_failure_share + more
    }
}
