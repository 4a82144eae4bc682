//! Release analysis: sequential tests on the outcomes of a canary, own and reported ones, and what they show.
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
use crate::state::half_lives::REPORTED;
use crate::state::load_estimate::LoadEstimate;
use crate::state::votes::VotingState;

/// Tolerated difference of the failure rates. With 0.02, builds that fail 4 to 7 % passed all stages.
const TOLERATED_FAILURE_RATE_DIFFERENCE: f64 = 0.005;
/// Mixing deviation of the tests of failures. With 0.1 some 420 outcomes were needed, now about 250 for 5 %
/// failures.
const FAILURE_MIXING_DEVIATION: f64 = 0.05;
/// Tolerated difference of the shares of slow answers: machines of one model differ by a fifth.
const TOLERATED_SLOW_SHARE_DIFFERENCE: f64 = 40.0 * TOLERATED_FAILURE_RATE_DIFFERENCE;
/// Mixing deviation of the test of pace.
const SLOWNESS_MIXING_DEVIATION: f64 = 6.0 * FAILURE_MIXING_DEVIATION;
/// Level of all tests together.
const FALSE_ALARM_LEVEL: f64 = 0.05;
/// Outcomes of the canary without which a test says nothing.
pub(crate) const MIN_CANARY_OUTCOMES: f64 = 20.0;
/// Failures of the canary's oldest endpoints that hold the advance.
const MIN_OLDEST_FAILURES: f64 = MIN_CANARY_OUTCOMES / 6.0;
/// Excess of an oldest endpoint's failure rate over the baseline's from which its failures count.
const OLDEST_EXCESS_FAILURE_RATE: f64 = 2.0 * TOLERATED_FAILURE_RATE_DIFFERENCE;
/// Work requested without which no lost capacity is measured, in requests.
const MIN_DEMAND_REQUESTS: f64 = 1.25 * MIN_CANARY_OUTCOMES;

/// The analysis of the newest build.
#[derive(Debug)]
pub(crate) struct ReleaseAnalysis {
    pub(crate) settings: ReleaseAnalysisSettings,
    pub(crate) fleet_position: FleetPosition,
    class_count: usize,
    /// The build that is analysed.
    pub(crate) build: Option<Build>,
    /// One test for each class, one of failures over all classes, one of pace over all classes.
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

    /// Begins the analysis of a new build. `backup_vote_draw` is a random draw from 0 to 1.
    pub(crate) fn begin(
        &mut self,
        now: Duration,
        build: Build,
        agent_started_at: Duration,
        demand: &Demand,
        backup_vote_draw: f64,
    ) {
        // An agent that restarted amid a canary has no time before it to compare with.
        let has_past = agent_started_at + REPORTED < now;
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

    /// Whether this agent aggregates the reports on a build.
    pub(crate) fn is_aggregator(&self, build: Build) -> bool {
        is_aggregator(self.fleet_position, build)
    }

    /// The level of each test (Bonferroni). An agent that does not receive the others' outcomes shares the chance
    /// of a false alarm with all agents: of hundreds one always errs.
    pub(crate) fn level_per_test(&self) -> f64 {
        let sees_only_own_outcomes = !self.build.is_some_and(|build| self.is_aggregator(build));
        let agents = if sees_only_own_outcomes {
            f64::from(self.fleet_position.agent_count)
        } else {
            1.0
        };
        FALSE_ALARM_LEVEL / (self.class_count + 2) as f64 / agents
    }

    /// Whether a build belongs to the canary of the tests.
    pub(crate) fn is_canary(&self, build: Build) -> bool {
        self.build.is_some_and(|analysed| build >= analysed)
    }

    /// Records that an arm has answered; returns whether both have within the time of the agent's last few
    /// requests: only then do they compare.
    pub(crate) fn on_arm_answered(
        &mut self,
        now: Duration,
        arm: Arm,
        few_requests: Duration,
    ) -> bool {
        self.evidence.last_outcome[arm] = Some(now);
        let is_recent = |at: &Option<Duration>| at.is_some_and(|at| at + few_requests >= now);
        self.evidence.last_outcome.iter().all(is_recent)
    }

    /// The test of failures over all classes.
    pub(crate) fn failure_test(&self) -> Option<&SequentialTest> {
        self.tests.get(self.class_count)
    }

    /// How many tests may convict a build. Slowness may lie on an agent's own way to a few endpoints: the test of
    /// pace convicts only for an aggregator, which has the outcomes of many.
    pub(crate) fn rollback_test_count(&self, build: Build) -> usize {
        self.class_count + 1 + usize::from(self.is_aggregator(build))
    }

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

    /// Adds own outcomes at an endpoint that runs this build.
    pub(crate) fn on_outcome(
        &mut self,
        endpoint: EndpointId,
        build: Build,
        class: RequestClass,
        counts: OutcomeCounts,
    ) {
        // Behind the classes stand the tests over all of them.
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

    /// Whether there is anything to report or forward without another event.
    pub(crate) fn has_more_to_report(&self, status: ReleaseStatus) -> bool {
        let is_analysed = self.build == Some(status.build);
        is_analysed && (self.reporter.has_canary_outcomes() || self.reporter.has_group_reports())
    }

    /// Sends counts of outcomes to the aggregators, with the work that was served in time since, would have been
    /// at the baseline and was requested: at most a short message each `direct_pause` (a share of the minimum
    /// stage time), and none without an outcome of the canary's.
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
        // What an agent that stood still did not serve in time is its own doing.
        let mut work = self.evidence.served_work.take_whole();
        if now < resumed_at + REPORTED {
            work = WorkSums::default();
        }
        self.evidence.served_work.pool(now, work);
        self.reporter
            .send(now, status.build, work, direct_pause, actions);
    }

    /// Takes a report: only on the build that is analysed, newer than the last of its sender, about known classes
    /// and endpoints. What is lost, late, duplicated or malformed is left out and changes nothing.
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
        self.evidence.served_work.pool(now, header.work);
        entries.for_each(|entry| self.observe(entry));
    }

    /// The share of capacity that is lost, against what it was at the end of the stage before: a build that slows
    /// all endpoints does so in step with its stages; what came earlier is not its doing. Only with enough traffic
    /// to tell, a past, and for an aggregator: of hundreds of agents one is always in trouble of its own. It harms where
    /// another fault comes with a stage.
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

    /// Whether endpoints of an earlier stage fail, as younger ones may yet do, and not just a third of them.
    /// Ejected ones are left out, since a bad machine fails far more. Guards against builds that turn bad some
    /// time after their start. It harms, by a delay, where more of just these have a fault of their own.
    pub(crate) fn oldest_endpoints_fail(&self, endpoints: &EndpointTable, build: Build) -> bool {
        let failures = self
            .failure_test()
            .filter(|test| test.difference() > TOLERATED_FAILURE_RATE_DIFFERENCE);
        let Some(test) = failures else {
            return false;
        };
        let newest = endpoints.catalog.latest_start(build).unwrap_or_default();
        let minimum_stage_time = self.settings.minimum_stage_time;
        let is_of_earlier_stage = |id| {
            let endpoint = endpoints
                .catalog
                .get(id)
                .filter(|found| found.status == EndpointStatus::Ready && found.build == build);
            endpoint
                .and_then(|endpoint| endpoint.started)
                .is_some_and(|started| started + minimum_stage_time < newest)
        };
        let oldest = test.worst_first(|id| is_of_earlier_stage(id) && !endpoints.is_ejected(id));
        let others = oldest.iter().skip((oldest.len() + 1) / 3);
        let limit = test.baseline_rate() + OLDEST_EXCESS_FAILURE_RATE;
        let failures = others
            .filter(|trials| trials.failures / trials.outcomes > limit)
            .map(|trials| trials.failures);
        failures.sum::<f64>() >= MIN_OLDEST_FAILURES
    }
}

/// Whether the canary looks worse, on enough outcomes, and also without the quarter of its endpoints that look
/// worst. Guards against bad machines and noisy neighbours that happen to carry the build: a build is bad
/// wherever it runs. It harms where only one machine will ever carry it.
pub(crate) fn suggests_regression(test: &SequentialTest) -> bool {
    if test.canary_outcomes() < MIN_CANARY_OUTCOMES || !test.is_worse() {
        return false;
    }
    let trials = test.worst_first(|_| true);
    let mut others = Trials::default();
    for one in trials.iter().skip(trials.len().div_ceil(4)) {
        others.outcomes += one.outcomes;
        others.failures += one.failures;
    }
    let rate = others.failures / others.outcomes;
    others.outcomes * 2.0 >= MIN_CANARY_OUTCOMES
        && rate - test.baseline_rate() > test.tolerated_difference()
}
