//! Properties of the planner.
use std::collections::{BTreeMap, BTreeSet};

use lilacgate_decision::{Build, ReleasePhase, RequestClass, Stage, Tenant, Zone};
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::{Ring, Rules, ServiceId};
use lilacgate_releases::planner::{Goal, PlannedStep, ReleasedBuilds, Statement, Step, plan};
use lilacgate_releases::reason::PermittedAdvance;
use lilacgate_releases::service_status::ReleaseStatus;
use proptest::prelude::*;

use crate::generated::{TENANTS, ZONES, config, goals, rules, seconds};
use crate::reference_plan::earliest_by_exhaustive_search;

const OWN_SERVICE: ServiceId = ServiceId(0);

/// The rules with only those dependencies and freezes for which `keep` is true.
fn reduced(rules: &Rules, keep: impl Fn(Statement) -> bool) -> Rules {
    let mut less = rules.clone();
    let mut index = 0..;
    less.dependencies
        .retain(|_| index.next().map(Statement::Dependency).is_some_and(&keep));
    let mut index = 0..;
    less.freezes
        .retain(|_| index.next().map(Statement::Freeze).is_some_and(&keep));
    less
}

fn is_rule(statement: Statement) -> bool {
    matches!(statement, Statement::Dependency(_) | Statement::Freeze(_))
}

/// A gate that receives the release statuses of a plan's steps.
struct PlanFollower {
    gate: Gate,
    rules: Rules,
    /// The stage of the canary; `None` before its first ring.
    stage: Option<Stage>,
}

impl PlanFollower {
    fn announce(&mut self, service: ServiceId, status: ReleaseStatus) {
        self.gate.on_release_status(status.since, service, status);
    }

    /// Checks that the canary may advance, if it is open to any requests.
    fn check_advance(&self, build: Build, planned: &PlannedStep) -> Result<(), TestCaseError> {
        if let Some(stage) = self.stage.filter(|_| self.gate.open_pairs(build) > 0) {
            let expected = PermittedAdvance { build, stage };
            prop_assert_eq!(self.gate.permitted_advance(), Ok(expected), "{:?}", planned);
        }
        Ok(())
    }

    /// Checks that requests of all pairs and request classes of a ring are admitted.
    fn check_ring(
        &self,
        build: Build,
        ring: &Ring,
        planned: &PlannedStep,
    ) -> Result<(), TestCaseError> {
        for pair in (0..ZONES * TENANTS).filter(|pair| ring.pairs.0[*pair]) {
            let zone = Zone((pair / TENANTS) as u8);
            let tenant = Tenant((pair % TENANTS) as u16);
            for class in (0..2).filter(|class| ring.request_classes >> class & 1 == 1) {
                let admits = self.gate.admits(build, zone, tenant, RequestClass(class));
                prop_assert_eq!(admits, Ok(()), "{:?}", planned);
            }
        }
        Ok(())
    }

    fn follow(&mut self, planned: &PlannedStep) -> Result<(), TestCaseError> {
        self.gate.advance(planned.at);
        match planned.step {
            Step::Released(service, build) => {
                if service == OWN_SERVICE {
                    self.check_advance(build, planned)?;
                }
                let status = ReleaseStatus {
                    build,
                    stage: Stage(if service == OWN_SERVICE { 9 } else { 0 }),
                    phase: ReleasePhase::Released,
                    since: planned.at,
                };
                self.announce(service, status);
            }
            Step::Ring(_, build, index) => {
                let ring = self.rules.ladders[0].rings[usize::from(index)].clone();
                if self.stage.is_some_and(|stage| stage < ring.stage) {
                    self.check_advance(build, planned)?;
                }
                if self.stage != Some(ring.stage) {
                    self.stage = Some(ring.stage);
                    let status = ReleaseStatus {
                        build,
                        stage: ring.stage,
                        phase: ReleasePhase::Canary,
                        since: planned.at,
                    };
                    self.announce(OWN_SERVICE, status);
                }
                self.check_ring(build, &ring, planned)?;
            }
        }
        Ok(())
    }
}

proptest! {
    #![proptest_config(config(300))]

    #[test]
    fn plans_are_as_early_as_any(rules in rules(), goals in goals()) {
        let released = ReleasedBuilds::from([(ServiceId(2), Build(1))]);
        let found = plan(&rules, &released, &goals, seconds(0));
        match earliest_by_exhaustive_search(&rules, &released, &goals) {
            Some(times) => {
                let plan = found.expect("there is a plan");
                let steps = plan.steps.iter();
                let planned: BTreeMap<Step, u64> =
                    steps.map(|planned| (planned.step, planned.at.as_secs())).collect();
                prop_assert_eq!(&planned, &times);
                let end = plan.steps.last().map(|planned| planned.at);
                prop_assert_eq!(plan.critical_path.last().map(|planned| planned.at), end);
                prop_assert!(plan.critical_path.is_sorted_by_key(|planned| planned.at));
            }
            None => prop_assert!(found.is_err(), "{:?}", found),
        }
    }

    #[test]
    fn conflicts_are_as_small_as_any(rules in rules(), goals in goals()) {
        let released = ReleasedBuilds::new();
        let Err(conflict) = plan(&rules, &released, &goals, seconds(0)) else {
            return Ok(());
        };
        // With only the dependencies and freezes of the conflict there still is a conflict. Without any one of them
        // this conflict is resolved.
        let conflicting: BTreeSet<Statement> = conflict.statements.iter().copied().collect();
        prop_assert!(conflict.is_smallest);
        let only_conflicting = reduced(&rules, |statement| conflicting.contains(&statement));
        prop_assert!(plan(&only_conflicting, &released, &goals, seconds(0)).is_err());
        for removed in conflicting.iter().copied().filter(|statement| is_rule(*statement)) {
            let rest = reduced(&rules, |statement| conflicting.contains(&statement) && statement != removed);
            let named = |(index, goal): (usize, &Goal)| Goal {
                deadline: goal.deadline.filter(|_| conflicting.contains(&Statement::Deadline(index))),
                ..*goal
            };
            let named: Vec<Goal> = goals.iter().enumerate().map(named).collect();
            // Goals that the conflict does not name may still be out of reach.
            let without = plan(&rest, &released, &named, seconds(0));
            let is_resolved = without.as_ref().map_or_else(
                |other| {
                    let mut statements = other.statements.iter();
                    !statements.all(|statement| conflicting.contains(statement) || is_rule(*statement))
                },
                |_| true,
            );
            prop_assert!(is_resolved, "{:?} without {:?}: still {:?}", conflicting, removed, without);
        }
    }

    /// At the planned times the gate permits the canary to advance and admits the requests of the opened rings.
    #[test]
    fn the_gate_admits_the_plan(rules in rules(), build in 2u16..4) {
        let mut rules = rules;
        for service in &mut rules.services {
            service.silent_after = None;
        }
        rules.dependencies.retain(|dependency| dependency.service == OWN_SERVICE);
        rules.ladders.retain(|ladder| ladder.service == OWN_SERVICE);
        let goals = [0, 1, 2].map(|service| Goal {
            service: ServiceId(service),
            build: Build(build),
            not_before: Some(seconds(1)),
            deadline: None,
        });
        let Ok(found) = plan(&rules, &ReleasedBuilds::new(), &goals, seconds(0)) else {
            return Ok(());
        };
        let mut follower = PlanFollower {
            gate: Gate::new(rules.clone(), None, seconds(0)).expect("no cycle"),
            rules,
            stage: None,
        };
        let status = ReleaseStatus {
            build: Build(1),
            stage: Stage(0),
            phase: ReleasePhase::Released,
            since: seconds(0),
        };
        follower.announce(OWN_SERVICE, status);
        for planned in &found.steps {
            follower.follow(planned)?;
        }
    }
}
