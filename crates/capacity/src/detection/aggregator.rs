//! The tests of a canary build at the agent that holds them. The arithmetic and
//! its order repeat those of the decision crate, which keeps them private.
use std::collections::BTreeMap;

use lilacgate_decision::{EndpointId, SequentialTest, SequentialTestSettings};

use super::{DetectionCase, DetectionSettings, Evidence};

/// Which outcomes are counted together. The order matters: the last key is
/// reported first, so that outcomes of the canary precede those of earlier
/// builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(super) struct OutcomeKey {
    /// The canary appliance that answered; `None` for any appliance with an
    /// earlier build.
    pub(super) canary: Option<EndpointId>,
    pub(super) route: u16,
}

/// Outcomes of one appliance and route.
#[derive(Clone, Copy, Debug, Default)]
pub(super) struct Counts {
    pub(super) outcomes: u8,
    pub(super) failures: u8,
}

/// The agent that holds the tests of a build: one for each route, and one of
/// all routes.
pub(super) struct Aggregator<'a> {
    settings: &'a DetectionSettings,
    level: f64,
    tests: Vec<RouteTest>,
}

impl<'a> Aggregator<'a> {
    pub(super) fn new(case: &DetectionCase, settings: &'a DetectionSettings) -> Self {
        let tests = usize::from(case.routes) + 1;
        // The decision crate has one more test, that of slow answers.
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

    /// Adds outcomes to the test of their route and to that of all routes.
    pub(super) fn observe(&mut self, key: OutcomeKey, counts: Counts) {
        let all = self.tests.len() - 1;
        for index in [usize::from(key.route), all] {
            self.tests[index].observe(key.canary, counts);
        }
    }

    /// Whether any test rejects the build.
    pub(super) fn detects_bad_build(&self) -> bool {
        let detects_bad_build =
            |one: &RouteTest| one.test.p_value() <= self.level && one.is_doubtful(self.settings);
        self.tests.iter().any(detects_bad_build)
    }
}

/// Sums of outcomes.
#[derive(Clone, Copy, Debug, Default)]
struct OutcomeSums {
    outcomes: f64,
    failures: f64,
}

impl OutcomeSums {
    fn failure_share(self) -> f64 {
        self.failures / self.outcomes.max(1.0)
    }
}

/// A test, and the sums that decide whether it may reject the build.
struct RouteTest {
    test: SequentialTest,
    earlier: OutcomeSums,
    by_appliance: BTreeMap<EndpointId, OutcomeSums>,
}

impl RouteTest {
    fn new(settings: &DetectionSettings, level: f64) -> Self {
        RouteTest {
            test: SequentialTest::new(SequentialTestSettings {
                tolerated_difference: settings.tolerance,
                mixing_deviation: settings.deviation,
                level,
            }),
            earlier: OutcomeSums::default(),
            by_appliance: BTreeMap::new(),
        }
    }

    fn observe(&mut self, canary: Option<EndpointId>, counts: Counts) {
        let (outcomes, failures) = (f64::from(counts.outcomes), f64::from(counts.failures));
        self.test.observe(canary, outcomes, failures);
        let sums = match canary {
            Some(appliance) => self.by_appliance.entry(appliance).or_default(),
            None => &mut self.earlier,
        };
        sums.outcomes += outcomes;
        sums.failures += failures;
    }

    /// Whether the canary looks worse on enough outcomes, also without the
    /// quarter of its appliances that look worst (`SequentialTest`).
    fn is_doubtful(&self, settings: &DetectionSettings) -> bool {
        let mut by_appliance: Vec<OutcomeSums> = self.by_appliance.values().copied().collect();
        by_appliance.sort_by(|one, other| {
            (other.failures / other.outcomes).total_cmp(&(one.failures / one.outcomes))
        });
        let all = sum(&by_appliance);
        let others = sum(&by_appliance[by_appliance.len().div_ceil(4)..]);
        let earlier = self.earlier.failure_share();
        let is_worse = |sums: OutcomeSums| sums.failure_share() - earlier > settings.tolerance;
        let is_enough = all.outcomes >= settings.least_outcomes;
        let is_spread = others.outcomes * 2.0 >= settings.least_outcomes;
        is_enough && is_spread && is_worse(all) && is_worse(others)
    }
}

fn sum(parts: &[OutcomeSums]) -> OutcomeSums {
    let add = |all: OutcomeSums, one: &OutcomeSums| OutcomeSums {
        outcomes: all.outcomes + one.outcomes,
        failures: all.failures + one.failures,
    };
    parts.iter().fold(OutcomeSums::default(), add)
}
