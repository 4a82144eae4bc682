//! How evidence comes into a jury's tests: its own outcomes, and what other agents report of theirs. What the
//! tests then say is decided in `brain.rs`.
use std::time::Duration;

use crate::brain::{POOLED, TAU, THETA0, USUAL};
use crate::fleet::Fleet;
use crate::parts::Jury;
use crate::port::*;
use crate::report;
use crate::state::{Demand, News, Test};

impl Jury {
    /// Begins to judge a build anew.
    pub(crate) fn begin(
        &mut self,
        now: Duration,
        build: Build,
        started: Duration,
        past: &Demand,
        turn: f64,
    ) {
        // An agent that restarted amid a trial has no time before it to compare with.
        let (borne, weight) = past.borne.read(now, USUAL);
        self.own.bore = if started + POOLED < now {
            borne / weight.max(1e-9)
        } else {
            0.0
        };
        (self.own.build, self.own.turn) = (Some(build), turn);
        self.own.version.0 = started.as_millis() as u32;
        (self.own.report, self.own.pooled) = Default::default();
        (
            self.own.sums,
            self.own.kept,
            self.own.met,
            self.own.before,
            self.own.stage,
        ) = Default::default();
        let level = self.level();
        self.own.tests = (0..=self.products)
            .map(|_| Test::new(THETA0, TAU, level))
            .collect();
        self.own
            .tests
            .push(Test::new(40.0 * THETA0, 6.0 * TAU, level));
    }

    /// Whether there is anything to say to the judges without hearing more.
    pub(crate) fn has_more_to_report(&self, news: News) -> bool {
        self.may_report(news) || self.own.build == Some(news.build) && self.own.pooled.has_counts()
    }

    /// Whether there are outcomes at the build on trial that were not passed on yet.
    fn may_report(&self, news: News) -> bool {
        self.own.build == Some(news.build)
            && self.own.report.keys().any(|(trial, _)| trial.is_some())
    }

    /// Passes counts of outcomes on to the judges, with what work was served in time since, would usually be
    /// and was asked: at most a short message a dwell, and none without an outcome of the trial's.
    pub(crate) fn report(
        &mut self,
        now: Duration,
        woke: Duration,
        news: News,
        turn: f64,
        out: &mut dyn Decisions,
    ) {
        self.pass_on(now, news.build, out);
        if now < self.own.report_at || !self.may_report(news) {
            return;
        }
        // What an agent that stood still did not serve in time is its own doing.
        let sums = self
            .own
            .take_sums()
            .map(|sum| if now < woke + POOLED { 0 } else { sum });
        self.own.pool(now, POOLED, sums);
        self.send_report(now, news.build, sums, turn, out);
    }

    fn learn(
        &mut self,
        trial: Option<ApplianceId>,
        product: Product,
        [many, bad, timed, late]: [u8; 4],
    ) {
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

    /// Takes a report: only of the build in hand, newer than the last of its sender, about known products
    /// and appliances. What is lost, late, doubled or malformed is left out and changes nothing.
    pub(crate) fn told(&mut self, now: Duration, from: AgentId, octets: &[u8], fleet: &Fleet) {
        let Some((build, version, sums, entries)) = report::read(octets) else {
            return;
        };
        let last = self.own.heard.get(&from).copied().unwrap_or_default();
        let known = self.own.build == Some(build) && from.0 < self.among.agents;
        if !known || version <= last {
            return;
        }
        let (products, at) = (self.products, |id| {
            fleet.line(id).is_some_and(|line| line.build == build)
        });
        let entries = entries.filter(|e| e.0.is_none_or(at) && usize::from(e.1.0) < products);
        if !self.judging(build) {
            return self.pool_for_group(now, from, (build, version), sums, entries);
        }
        self.own.heard.insert(from, version);
        self.own.pool(now, POOLED, sums);
        entries.for_each(|(trial, product, counts)| self.learn(trial, product, counts));
    }
}
