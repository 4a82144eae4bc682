//! Release analysis: compares the canary with the earlier builds by sequential tests on the outcomes of attempts,
//! both the agent's own and those that peers report. [`super::voting`] decides on the results.
use std::time::Duration;

use super::sequential_test::{SequentialTest, SequentialTestSettings, Trials};
use crate::actions::Actions;
use crate::model::{
    AgentId, Arm, Build, EndpointId, EndpointStatus, FleetPosition, ReleaseAnalysisSettings,
    ReleaseStatus, RequestClass,
};
use crate::peer_reports::codec;
use crate::peer_reports::relays::{ReportRouting, is_aggregator};
use crate::peer_reports::reporter::Reporter;
use crate::state::demand::Demand;
use crate::state::endpoint_table::EndpointTable;
use crate::state::evidence::{
    Evidence, OutcomeCounts, OutcomeEntry, OutcomeKey, ServedWork, WorkSums,
};
use crate::state::half_lives::REPORTED_HALF_LIFE;
use crate::state::load_estimate::LoadEstimate;
use crate::state::votes::VotingState;

/// Excess of the canary's failure rate over the baseline's that is tolerated. With 0.02, builds that fail 4 to 7 %
/// of requests passed all stages.
const TOLERATED_FAILURE_RATE_DIFFERENCE: f64 = 0.005;
/// Mixing deviation of the tests of failure rates. With 0.1 it took about 420 outcomes to detect a build that fails
/// 5 % of requests, with 0.05 about 250.
const FAILURE_MIXING_DEVIATION: f64 = 0.05;
/// Excess of the canary's share of slow answers over the baseline's that is tolerated, 0.2: machines of one model
/// differ by a fifth.
const TOLERATED_SLOW_SHARE_DIFFERENCE: f64 = 40.0 * TOLERATED_FAILURE_RATE_DIFFERENCE;
/// Mixing deviation of the test of slow answers.
const SLOWNESS_MIXING_DEVIATION: f64 = 6.0 * FAILURE_MIXING_DEVIATION;
/// Probability of a false alarm, 0 to 1, over all tests of a build together.
const FALSE_ALARM_LEVEL: f64 = 0.05;
/// With fewer outcomes of the canary than this, a test is not evaluated.
pub(crate) const MIN_CANARY_OUTCOMES: f64 = 20.0;
/// Number of failures at the canary's oldest endpoints from which the vote to advance is delayed.
const MIN_OLDEST_FAILURES: f64 = MIN_CANARY_OUTCOMES / 6.0;
/// The failures of one of the canary's oldest endpoints count if its failure rate exceeds the baseline's by more
/// than this.
const OLDEST_EXCESS_FAILURE_RATE: f64 = 2.0 * TOLERATED_FAILURE_RATE_DIFFERENCE;
/// With less requested work than that of this many mean requests, lost capacity is not measured.
const MIN_DEMAND_REQUESTS: f64 = 1.25 * MIN_CANARY_OUTCOMES;

/// The analysis of the newest build: its tests, the evidence beside them, the reports to peers, and the votes.
#[derive(Debug)]
pub(crate) struct ReleaseAnalysis {
    pub(crate) settings: ReleaseAnalysisSettings,
    pub(crate) fleet_position: FleetPosition,
    class_count: usize,
    /// The build that is analysed; `None` until the first canary.
    pub(crate) build: Option<Build>,
    /// A test of failures for each class by its number, then one of failures over all classes, then one of slow
    /// answers over all classes. Empty until the first canary.
    pub(crate) tests: Vec<SequentialTest>,
    pub(crate) evidence: Evidence,
    pub(crate) reporter: Reporter,
    pub(crate) voting: VotingState,
}

impl ReleaseAnalysis {
    pub(crate) fn new(
        fleet_position: FleetPosition,
        class_count: usize,
        settings: ReleaseAnalysisSettings,
    ) -> Self {
        let routing = ReportRouting {
            fleet_position,
            minimum_stage_time: settings.minimum_stage_time,
            use_relays: settings.use_relays,
        };
        ReleaseAnalysis {
            settings,
            fleet_position,
            class_count,
            build: None,
            tests: Vec::new(),
            evidence: Evidence::default(),
            reporter: Reporter::new(routing),
            voting: VotingState::default(),
        }
    }

    /// Begins the analysis of a new build, with no outcomes yet. `backup_vote_draw` is a random draw from 0 to 1 that
    /// decides when this agent votes if no aggregator does.
    pub(crate) fn begin(
        &mut self,
        now: Duration,
        build: Build,
        agent_started_at: Duration,
        demand: &Demand,
        backup_vote_draw: f64,
    ) {
        // An agent that restarted during a canary did not observe the capacity before it, so there is nothing to
        // compare the capacity with.
        let has_past = agent_started_at + REPORTED_HALF_LIFE < now;
        let baseline_capacity = if has_past {
            demand.capacity_per_weight(now)
        } else {
            0.0
        };
        self.evidence.served_work = ServedWork::new(baseline_capacity);
        self.build = Some(build);
        self.voting.backup_vote_draw = backup_vote_draw;
        self.reporter.begin(agent_started_at);
        let level = self.level_per_test();
        let failures = SequentialTestSettings {
            tolerated_difference: TOLERATED_FAILURE_RATE_DIFFERENCE,
            mixing_deviation: FAILURE_MIXING_DEVIATION,
            level,
        };
        let slowness = SequentialTestSettings {
            tolerated_difference: TOLERATED_SLOW_SHARE_DIFFERENCE,
            mixing_deviation: SLOWNESS_MIXING_DEVIATION,
            level,
        };
        self.tests = (0..=self.class_count)
            .map(|_| SequentialTest::new(failures))
            .collect();
        self.tests.push(SequentialTest::new(slowness));
    }

    /// Whether this agent is one of the few that receive the reports on a build from all agents.
    pub(crate) fn is_aggregator(&self, build: Build) -> bool {
        is_aggregator(self.fleet_position, build)
    }

    /// The level of each test: [`FALSE_ALARM_LEVEL`] divided by the number of tests (Bonferroni correction). An agent
    /// that does not receive the other agents' outcomes divides it by the number of agents as well, since among
    /// hundreds of agents that test independently one would nearly always raise a false alarm.
    pub(crate) fn level_per_test(&self) -> f64 {
        let sees_only_own_outcomes = !self.build.is_some_and(|build| self.is_aggregator(build));
        let agents = if sees_only_own_outcomes {
            f64::from(self.fleet_position.agent_count)
        } else {
            1.0
        };
        FALSE_ALARM_LEVEL / (self.class_count + 2) as f64 / agents
    }

    /// Whether the tests count outcomes of this build as the canary's: those of the analysed build and of later ones.
    pub(crate) fn is_canary(&self, build: Build) -> bool {
        self.build.is_some_and(|analysed| build >= analysed)
    }

    /// Records that an arm has answered. Returns whether both arms have answered within `sample_period`: outcomes of
    /// different times are not comparable.
    pub(crate) fn on_arm_answered(
        &mut self,
        now: Duration,
        arm: Arm,
        sample_period: Duration,
    ) -> bool {
        self.evidence.last_outcome[arm] = Some(now);
        let is_recent = |at: &Option<Duration>| at.is_some_and(|at| at + sample_period >= now);
        self.evidence.last_outcome.iter().all(is_recent)
    }

    /// The test of failures over all classes; `None` until the first canary.
    pub(crate) fn failure_test(&self) -> Option<&SequentialTest> {
        self.tests.get(self.class_count)
    }

    /// How many of the tests, from the first, may cause a vote to roll back. The last one, of slow answers, may do so
    /// only at an aggregator, which has the outcomes of many agents: a single agent may see slow answers because of its
    /// own network path to a few endpoints.
    pub(crate) fn rollback_test_count(&self, build: Build) -> usize {
        self.class_count + 1 + usize::from(self.is_aggregator(build))
    }

    /// Adds outcomes to the tests of their class, of failures over all classes, and, if timed, of slow answers.
    fn observe(&mut self, entry: OutcomeEntry) {
        let OutcomeEntry { key, counts } = entry;
        let counts = counts.map(f64::from);
        for test in [usize::from(key.class.0), self.class_count] {
            self.tests[test].observe(key.canary_endpoint, counts.outcomes, counts.failures);
        }
        if counts.timed > 0.0 {
            let slowness = self.class_count + 1;
            self.tests[slowness].observe(key.canary_endpoint, counts.timed, counts.slow);
        }
    }

    /// Adds this agent's own outcomes at an endpoint that runs this build, to the tests and to the next report.
    pub(crate) fn on_outcome(
        &mut self,
        endpoint: EndpointId,
        build: Build,
        class: RequestClass,
        counts: OutcomeCounts,
    ) {
        // The tests after those of the classes are over all classes: an unknown class must not be counted there.
        if self.tests.is_empty() || usize::from(class.0) >= self.class_count {
            return;
        }
        let key = OutcomeKey {
            canary_endpoint: self.is_canary(build).then_some(endpoint),
            class,
        };
        self.observe(OutcomeEntry { key, counts });
        self.reporter.add(OutcomeEntry { key, counts });
    }

    /// Whether outcomes of the analysed build wait to be reported, or the group's reports to be forwarded.
    pub(crate) fn has_more_to_report(&self, status: ReleaseStatus) -> bool {
        let is_analysed = self.build == Some(status.build);
        is_analysed && (self.reporter.has_canary_outcomes() || self.reporter.has_group_reports())
    }

    /// Forwards the group's reports that are due, then sends this agent's own report to the aggregators if the pause
    /// after the last one is over and the canary has new outcomes. A report holds counts of outcomes and, for the time
    /// since the last report, the work that was served in time, that would have been served at the baseline capacity,
    /// and that was requested. Without relays the pause is `direct_pause`, a share of the minimum stage time.
    pub(crate) fn report(
        &mut self,
        now: Duration,
        resumed_at: Duration,
        status: ReleaseStatus,
        direct_pause: f64,
        actions: &mut dyn Actions,
    ) {
        if self.build != Some(status.build) {
            return;
        }
        self.reporter.forward(now, status.build, actions);
        if now < self.reporter.next_report_at || !self.reporter.has_canary_outcomes() {
            return;
        }
        // Work that was not served in time because this agent itself stalled is not evidence against the build.
        let mut work = self.evidence.served_work.take_unreported();
        if now < resumed_at + REPORTED_HALF_LIFE {
            work = WorkSums::default();
        }
        self.evidence.served_work.add_reported(now, work);
        self.reporter
            .send(now, status.build, work, direct_pause, actions);
    }

    /// Takes a peer's report. It is ignored unless it is well-formed, on the analysed build, and newer than the last
    /// one of its sender; entries on unknown classes, or on endpoints that do not run the build, are left out. An
    /// aggregator adds the entries to its tests, a relay keeps them for forwarding.
    pub(crate) fn on_report(
        &mut self,
        now: Duration,
        from: AgentId,
        payload: &[u8],
        endpoints: &EndpointTable,
    ) {
        let Some(report) = codec::read(payload) else {
            return;
        };
        let header = report.header;
        let is_known = self.build == Some(header.build) && from.0 < self.fleet_position.agent_count;
        if !is_known || !self.reporter.is_new(from, header.version) {
            return;
        }
        let class_count = self.class_count;
        let runs_build = |id| {
            endpoints
                .endpoint(id)
                .is_some_and(|endpoint| endpoint.build == header.build)
        };
        let entries = report.entries().filter(|OutcomeEntry { key, .. }| {
            key.canary_endpoint.is_none_or(runs_build) && usize::from(key.class.0) < class_count
        });
        if !self.is_aggregator(header.build) {
            self.reporter.add_for_group(now, from, header, entries);
            return;
        }
        self.reporter.on_received(from, header.version);
        self.evidence.served_work.add_reported(now, header.work);
        entries.for_each(|entry| self.observe(entry));
    }

    /// The share of capacity, 1 at most, that has been lost since the end of the stage before. Guards against a build
    /// that slows the endpoints of all builds, which no comparison of the two arms shows: such a loss grows with the
    /// stages, while an earlier loss is not the build's fault. 0 with too little traffic, until a stage has ended,
    /// where the capacity before the canary is unknown, and at all agents but the aggregators, since among hundreds of
    /// agents one always has trouble of its own. False alarm: another fault that begins with a stage.
    pub(crate) fn lost_share(
        &mut self,
        now: Duration,
        status: ReleaseStatus,
        load: &LoadEstimate,
    ) -> f64 {
        let retained = self.evidence.served_work.retained_share(
            now,
            status.stage,
            MIN_DEMAND_REQUESTS * load.mean_work,
        );
        retained
            .filter(|_| self.is_aggregator(status.build))
            .map_or(0.0, |retained| 1.0 - retained)
    }

    /// Whether the canary's endpoints of earlier stages fail more than the baseline, also without the third of them
    /// that fails most. Ejected endpoints are left out, since a bad machine fails far more than a bad build. Guards
    /// against builds that turn bad some time after their start, while the newer endpoints still look good. False
    /// alarm, at the cost of a delay: more than a third of these endpoints have a fault of their own.
    pub(crate) fn oldest_endpoints_fail(&self, endpoints: &EndpointTable, build: Build) -> bool {
        let failures = self
            .failure_test()
            .filter(|test| test.difference() > TOLERATED_FAILURE_RATE_DIFFERENCE);
        let Some(test) = failures else {
            return false;
        };
        let newest_start = endpoints.catalog.latest_start(build).unwrap_or_default();
        let minimum_stage_time = self.settings.minimum_stage_time;
        let is_of_earlier_stage = |id| {
            let endpoint = endpoints
                .catalog
                .get(id)
                .filter(|found| found.status == EndpointStatus::Ready && found.build == build);
            endpoint
                .and_then(|endpoint| endpoint.started)
                .is_some_and(|started| started + minimum_stage_time < newest_start)
        };
        let oldest = test
            .by_descending_failure_rate(|id| is_of_earlier_stage(id) && !endpoints.is_ejected(id));
        let all_but_worst = oldest.iter().skip((oldest.len() + 1) / 3);
        let limit = test.baseline_rate() + OLDEST_EXCESS_FAILURE_RATE;
        let failures = all_but_worst
            .filter(|trials| trials.failures / trials.outcomes > limit)
            .map(|trials| trials.failures);
        failures.sum::<f64>() >= MIN_OLDEST_FAILURES
    }
}

/// Whether a test suggests that the canary is worse than the baseline: by more than the tolerated difference, on enough
/// outcomes, and also without the quarter of its endpoints with the highest rates. Leaving out that quarter guards
/// against blaming the build for bad machines and noisy neighbours that happen to run it: a bad build is bad on every
/// endpoint. A regression is missed where only one endpoint ever runs the build.
pub(crate) fn suggests_regression(test: &SequentialTest) -> bool {
    if test.canary_outcomes() < MIN_CANARY_OUTCOMES || !test.is_worse() {
        return false;
    }
    let trials = test.by_descending_failure_rate(|_| true);
    let mut all_but_worst = Trials::default();
    for endpoint_trials in trials.iter().skip(trials.len().div_ceil(4)) {
        all_but_worst.outcomes += endpoint_trials.outcomes;
        all_but_worst.failures += endpoint_trials.failures;
    }
    let rate = all_but_worst.failures / all_but_worst.outcomes;
    all_but_worst.outcomes * 2.0 >= MIN_CANARY_OUTCOMES
        && rate - test.baseline_rate() > test.tolerated_difference()
}
