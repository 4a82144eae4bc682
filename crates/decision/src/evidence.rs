//! How evidence comes into a jury's tests: its own outcomes, and what other agents report of theirs. What the
//! tests then say is decided in `brain.rs`.
use std::time::Duration;

use crate::actions::Actions;
use crate::brain::{POOLED, TAU, THETA0, USUAL};
use crate::fleet::Fleet;
use crate::model::{AgentId, Build, EndpointId, RequestClass};
use crate::parts::ReleaseAnalysis;
use crate::report;
use crate::state::{Demand, ReleaseStatus, SequentialTest, SequentialTestSettings};

impl ReleaseAnalysis {
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
        self.own.tests = (0..=self.classes)
            .map(|_| {
                SequentialTest::new(SequentialTestSettings {
                    tolerated_difference: THETA0,
                    mixing_deviation: TAU,
                    level,
                })
            })
            .collect();
        self.own
            .tests
            .push(SequentialTest::new(SequentialTestSettings {
                tolerated_difference: 40.0 * THETA0,
                mixing_deviation: 6.0 * TAU,
                level,
            }));
    }

    /// Whether there is anything to say to the judges without hearing more.
    pub(crate) fn has_more_to_report(&self, release_status: ReleaseStatus) -> bool {
        self.may_report(release_status)
            || self.own.build == Some(release_status.build) && self.own.pooled.has_counts()
    }

    /// Whether there are outcomes at the build on trial that were not passed on yet.
    fn may_report(&self, release_status: ReleaseStatus) -> bool {
        self.own.build == Some(release_status.build)
            && self.own.report.keys().any(|(trial, _)| trial.is_some())
    }

    /// Passes counts of outcomes on to the judges, with what work was served in time since, would usually be
    /// and was asked: at most a short message a dwell, and none without an outcome of the trial's.
    pub(crate) fn report(
        &mut self,
        now: Duration,
        woke: Duration,
        release_status: ReleaseStatus,
        turn: f64,
        out: &mut dyn Actions,
    ) {
        self.pass_on(now, release_status.build, out);
        if now < self.own.report_at || !self.may_report(release_status) {
            return;
        }
        // What an agent that stood still did not serve in time is its own doing.
        let sums = self
            .own
            .take_sums()
            .map(|sum| if now < woke + POOLED { 0 } else { sum });
        self.own.pool(now, POOLED, sums);
        self.send_report(now, release_status.build, sums, turn, out);
    }

    fn learn(
        &mut self,
        trial: Option<EndpointId>,
        class: RequestClass,
        [many, bad, timed, late]: [u8; 4],
    ) {
        let (many, bad, last) = (f64::from(many), f64::from(bad), self.classes + 1);
        for i in [usize::from(class.0), self.classes] {
            self.own.tests[i].observe(trial, many, bad);
        }
        if timed > 0 {
            self.own.tests[last].observe(trial, f64::from(timed), f64::from(late));
        }
    }

    pub(crate) fn note(&mut self, trial: Option<EndpointId>, class: RequestClass, counts: [u8; 4]) {
        if !self.own.tests.is_empty() {
            self.learn(trial, class, counts);
            self.own.noted(trial, class, counts);
        }
    }

    /// Takes a report: only of the build in hand, newer than the last of its sender, about known products
    /// and appliances. What is lost, late, doubled or malformed is left out and changes nothing.
    pub(crate) fn told(&mut self, now: Duration, from: AgentId, octets: &[u8], fleet: &Fleet) {
        let Some((build, version, sums, entries)) = report::read(octets) else {
            return;
        };
        let last = self.own.heard.get(&from).copied().unwrap_or_default();
        let known = self.own.build == Some(build) && from.0 < self.fleet_position.agent_count;
        if !known || version <= last {
            return;
        }
        let (classes, at) = (self.classes, |id| {
            fleet
                .endpoint(id)
                .is_some_and(|endpoint| endpoint.build == build)
        });
        let entries = entries.filter(|e| e.0.is_none_or(at) && usize::from(e.1.0) < classes);
        if !self.judging(build) {
            return self.pool_for_group(now, from, (build, version), sums, entries);
        }
        self.own.heard.insert(from, version);
        self.own.pool(now, POOLED, sums);
        entries.for_each(|(trial, class, counts)| self.learn(trial, class, counts));
    }
}
