//! A reference implementation of the planner. It goes from second to second and takes every step that may be taken, so
//! that no plan can be earlier.
use std::collections::BTreeMap;

use lilacgate_decision::{Build, Stage, Zone};
use lilacgate_releases::model::{Dependency, DependencyScope, Ladder, Ring, Rules, ServiceId};
use lilacgate_releases::planner::{Goal, ReleasedBuilds, Step};

use crate::generated::seconds;

/// The time in seconds at which the search ends.
const HORIZON: u64 = 80;

/// A step of a goal, and the minimum time after the previous step.
struct Soaked {
    step: Step,
    soak: u64,
}

/// The input of the planner, and the steps taken so far, with their times in seconds.
pub(crate) struct ReferencePlan<'a> {
    rules: &'a Rules,
    released: &'a ReleasedBuilds,
    goals: &'a [Goal],
    times: BTreeMap<Step, u64>,
}

/// The times of all steps in seconds; `None` if a goal is not reached.
pub(crate) fn earliest_by_exhaustive_search(
    rules: &Rules,
    released: &ReleasedBuilds,
    goals: &[Goal],
) -> Option<BTreeMap<Step, u64>> {
    let mut plan = ReferencePlan {
        rules,
        released,
        goals,
        times: BTreeMap::new(),
    };
    for now in 0..HORIZON {
        while let Some(step) = plan.next_step(now) {
            plan.times.insert(step, now);
        }
    }
    let is_reached = |goal: &Goal| {
        let released = plan.released_at(goal);
        released.is_some_and(|at| goal.deadline.is_none_or(|deadline| seconds(at) <= deadline))
    };
    goals.iter().all(is_reached).then_some(plan.times)
}

impl<'a> ReferencePlan<'a> {
    fn ladder(&self, goal: &Goal) -> Option<&'a Ladder> {
        self.rules.ladder(goal.service, goal.build)
    }

    fn released_at(&self, goal: &Goal) -> Option<u64> {
        let step = Step::Released(goal.service, goal.build);
        self.times.get(&step).copied()
    }

    /// The steps of a goal in their order.
    fn steps(&self, goal: &Goal) -> Vec<Soaked> {
        let release = |soak| Soaked {
            step: Step::Released(goal.service, goal.build),
            soak,
        };
        let Some(ladder) = self.ladder(goal) else {
            return vec![release(0)];
        };
        let ring = |(i, ring): (usize, &Ring)| Soaked {
            step: Step::Ring(goal.service, goal.build, i as u8),
            soak: ring.soak_before.as_secs(),
        };
        let rings = ladder.rings.iter().enumerate().map(ring);
        rings
            .chain([release(ladder.final_soak.as_secs())])
            .collect()
    }

    /// A step that may be taken now.
    fn next_step(&self, now: u64) -> Option<Step> {
        self.goals.iter().find_map(|goal| {
            let steps = self.steps(goal);
            let index = (0..steps.len()).find(|index| {
                !self.times.contains_key(&steps[*index].step) && self.may_take(goal, *index, now)
            })?;
            Some(steps[index].step)
        })
    }

    /// Whether a step, by its index, may be taken now under all rules.
    fn may_take(&self, goal: &Goal, index: usize, now: u64) -> bool {
        let mut dependencies = self.rules.dependencies(goal.service, goal.build);
        goal.not_before.is_none_or(|from| seconds(now) >= from)
            && !self.is_too_early(goal, index, now)
            && !self.is_frozen(goal, index, now)
            && dependencies.all(|(_, dependency)| self.is_satisfied(dependency, goal, index, now))
    }

    /// Whether the previous step was not taken yet, or not long enough ago.
    fn is_too_early(&self, goal: &Goal, index: usize, now: u64) -> bool {
        if index > 0 {
            let steps = self.steps(goal);
            let before = self.times.get(&steps[index - 1].step);
            return before.is_none_or(|before| now < before + steps[index].soak);
        }
        let goals = self.goals.iter();
        let earlier =
            goals.filter(|other| other.service == goal.service && other.build < goal.build);
        let last = earlier.max_by_key(|other| other.build);
        last.is_some_and(|last| self.released_at(last).is_none_or(|released| now < released))
    }

    fn is_frozen(&self, goal: &Goal, index: usize, now: u64) -> bool {
        let pairs = self.ladder(goal).map(|ladder| {
            if index == 0 {
                ladder.rings[0].pairs.clone()
            } else {
                ladder.pairs()
            }
        });
        let mut freezes = self.rules.active_freezes(goal.service, seconds(now));
        freezes.any(|frozen| {
            let pairs = pairs.as_ref();
            pairs.is_none_or(|pairs| pairs.intersects(&frozen.freeze.pairs))
        })
    }

    fn is_satisfied(&self, dependency: &Dependency, goal: &Goal, index: usize, now: u64) -> bool {
        let satisfies = |service: ServiceId, build: Build| {
            service == dependency.requires && build >= dependency.at_least
        };
        let mut released = self.released.iter();
        if released.any(|(service, build)| satisfies(*service, *build)) {
            return true;
        }
        let zones = self.zones_of(dependency, goal, index);
        self.goals.iter().any(|other| {
            satisfies(other.service, other.build)
                && zones.iter().all(|zone| self.covers(other, *zone))
                && self
                    .released_at(other)
                    .is_some_and(|released| released <= now)
        })
    }

    /// The zones in which a dependency must be satisfied for a step.
    fn zones_of(&self, dependency: &Dependency, goal: &Goal, index: usize) -> Vec<Zone> {
        let ladder = self.ladder(goal);
        let is_release = ladder.is_none_or(|ladder| index == ladder.rings.len());
        if dependency.scope == DependencyScope::Everywhere || is_release {
            return self.rules.zone_ids().collect();
        }
        let stage = ladder.map_or(Stage(0), |ladder| {
            let before = index.saturating_sub(1).min(ladder.rings.len() - 1);
            ladder.rings[before].stage
        });
        self.rules
            .zones_after_next_step(goal.service, goal.build, stage)
    }

    /// Whether a released build has reached all tenants of a zone.
    fn covers(&self, goal: &Goal, zone: Zone) -> bool {
        let pairs = self.ladder(goal).map(Ladder::pairs);
        pairs.is_none_or(|pairs| self.rules.zone_pairs(zone).all(|pair| pairs.0[pair]))
    }
}
