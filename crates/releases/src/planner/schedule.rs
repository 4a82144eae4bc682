//! Computes the earliest time of each step, and builds the plan from these times.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{Build, Stage, Zone};

use super::{Cause, Goal, Plan, PlannedStep, Problem, Statement, Step};
use crate::model::{ActiveFreeze, Dependency, DependencyScope, Ladder, PairSet, ServiceId};

/// The number of freezes without a gap between them after which they are regarded as endless.
const MAX_ADJACENT_FREEZES: usize = 1_000;

/// The time of a step, and what determined it.
#[derive(Clone, Copy, Debug)]
struct Timing {
    at: Duration,
    cause: Cause,
}

impl Timing {
    /// Delays the step until `at`, and notes the cause, if that is later.
    fn delay_until(&mut self, at: Duration, cause: Cause) {
        if at > self.at {
            *self = Timing { at, cause };
        }
    }
}

/// The times of the steps taken so far, and the order in which they were taken: each after those that it waited for.
#[derive(Debug, Default)]
pub(super) struct StepTimes {
    timings: BTreeMap<Step, Timing>,
    order: Vec<Step>,
}

impl StepTimes {
    fn at(&self, step: Step) -> Option<Duration> {
        self.timings.get(&step).map(|timing| timing.at)
    }

    fn record(&mut self, step: Step, timing: Timing) {
        self.timings.insert(step, timing);
        self.order.push(step);
    }

    fn planned(&self, step: Step) -> Option<PlannedStep> {
        self.timings.get(&step).map(|timing| PlannedStep {
            step,
            at: timing.at,
            cause: timing.cause,
        })
    }
}

/// A step of a goal's build.
#[derive(Clone, Copy, Debug)]
struct GoalStep<'a> {
    goal: &'a Goal,
    ladder: Option<&'a Ladder>,
    /// The index of the ring that opens; `None` for the release.
    ring: Option<usize>,
}

impl GoalStep<'_> {
    /// The index of the ring that opened before.
    fn previous_ring(&self) -> Option<usize> {
        let rings = self.ladder.map_or(0, |ladder| ladder.rings.len());
        self.ring.unwrap_or(rings).checked_sub(1)
    }

    /// The pairs of which a freeze must include at least one to delay the step; `None`, for all pairs, if there is no
    /// ladder.
    fn pairs(&self) -> Option<PairSet> {
        let ladder = self.ladder?;
        match self.ring {
            Some(0) => Some(ladder.rings[0].pairs.clone()),
            _ => Some(ladder.pairs()),
        }
    }
}

/// The earliest times of all steps that can be taken; `None` if these times do not satisfy the statements.
pub(super) fn earliest_times(
    problem: Problem<'_>,
    statements: &BTreeSet<Statement>,
) -> Option<StepTimes> {
    let search = Search {
        problem,
        statements,
    };
    let mut times = StepTimes::default();
    let goals = problem.goals.iter();
    let mut remaining: Vec<Step> = goals.flat_map(|goal| search.steps(goal)).collect();
    // The earliest possible step can be taken, since no later step can make it earlier.
    while let Some((timing, step)) = search.earliest_next_step(&remaining, &times) {
        times.record(step, timing);
        remaining.retain(|other| *other != step);
    }
    search.satisfies_goals(&times).then_some(times)
}

/// Builds the plan from the times of its steps.
pub(super) fn plan(problem: Problem<'_>, times: &StepTimes) -> Plan {
    let order = times.order.iter();
    let steps: Vec<PlannedStep> = order.filter_map(|step| times.planned(*step)).collect();
    let mut critical_path = Vec::new();
    let mut next = steps.last().copied();
    while let Some(planned) = next.filter(|_| critical_path.len() <= steps.len()) {
        critical_path.push(planned);
        let before = match planned.cause {
            Cause::PreviousStep(step) | Cause::Dependency(_, step) => Some(step),
            // The step was waiting for the previous step, if there is one, when the freeze delayed it.
            Cause::Freeze(_) => previous_step(problem, planned.step),
            Cause::Start | Cause::NotBefore => None,
        };
        next = before.and_then(|step| times.planned(step));
    }
    critical_path.reverse();
    Plan {
        steps,
        critical_path,
    }
}

fn previous_step(problem: Problem<'_>, step: Step) -> Option<Step> {
    let (service, build, ring) = match step {
        Step::Ring(service, build, ring) => (service, build, ring),
        Step::Released(service, build) => {
            let ladder = problem.rules.ladder(service, build)?;
            (service, build, ladder.rings.len() as u8)
        }
    };
    let previous = ring.checked_sub(1)?;
    Some(Step::Ring(service, build, previous))
}

/// A search for the earliest times under a set of statements.
struct Search<'a> {
    problem: Problem<'a>,
    statements: &'a BTreeSet<Statement>,
}

impl<'a> Search<'a> {
    fn ladder(&self, goal: &Goal) -> Option<&'a Ladder> {
        self.problem.rules.ladder(goal.service, goal.build)
    }

    /// All steps of a goal's build, in their order.
    fn steps(&self, goal: &Goal) -> Vec<Step> {
        let rings = self.ladder(goal).map_or(0, |ladder| ladder.rings.len());
        let rings = (0..rings).map(|ring| Step::Ring(goal.service, goal.build, ring as u8));
        rings
            .chain([Step::Released(goal.service, goal.build)])
            .collect()
    }

    fn goal_step(&self, step: Step) -> Option<GoalStep<'a>> {
        let (service, build, ring) = match step {
            Step::Ring(service, build, ring) => (service, build, Some(usize::from(ring))),
            Step::Released(service, build) => (service, build, None),
        };
        let mut goals = self.problem.goals.iter();
        let goal = goals.find(|goal| goal.service == service && goal.build == build)?;
        Some(GoalStep {
            goal,
            ladder: self.ladder(goal),
            ring,
        })
    }

    fn earliest_next_step(&self, remaining: &[Step], times: &StepTimes) -> Option<(Timing, Step)> {
        remaining
            .iter()
            .filter_map(|&step| Some((self.earliest_time(step, times)?, step)))
            .min_by_key(|(timing, step)| (timing.at, *step))
    }

    /// Whether all goals are reached, and reached in time, that the statements require.
    fn satisfies_goals(&self, times: &StepTimes) -> bool {
        let mut goals = self.problem.goals.iter().enumerate();
        goals.all(|(index, goal)| {
            let released = times.at(Step::Released(goal.service, goal.build));
            let must_be_reached = self.statements.contains(&Statement::GoalReached(index));
            let must_be_in_time = self.statements.contains(&Statement::Deadline(index));
            let is_late = goal
                .deadline
                .zip(released)
                .is_some_and(|(deadline, released)| released > deadline);
            (!must_be_reached || released.is_some()) && (!must_be_in_time || !is_late)
        })
    }

    /// The earliest time of a step; `None` if a step that it waits for has not been taken.
    fn earliest_time(&self, step: Step, times: &StepTimes) -> Option<Timing> {
        let step = self.goal_step(step)?;
        let mut timing = Timing {
            at: self.problem.start,
            cause: Cause::Start,
        };
        if let Some(not_before) = step.goal.not_before {
            timing.delay_until(not_before, Cause::NotBefore);
        }
        self.wait_for_previous_step(step, times, &mut timing)?;
        self.wait_for_dependencies(step, times, &mut timing)?;
        self.wait_for_freezes(step, timing)
    }

    /// Delays the step until the previous ring has been open for long enough. The first step of a build waits for the
    /// release of the service's previous build instead.
    fn wait_for_previous_step(
        &self,
        step: GoalStep<'_>,
        times: &StepTimes,
        timing: &mut Timing,
    ) -> Option<()> {
        let Goal { service, build, .. } = *step.goal;
        if let (Some(previous), Some(ladder)) = (step.previous_ring(), step.ladder) {
            let soak = step
                .ring
                .map_or(ladder.final_soak, |ring| ladder.rings[ring].soak_before);
            let previous = Step::Ring(service, build, previous as u8);
            let at = times.at(previous)?.saturating_add(soak);
            timing.delay_until(at, Cause::PreviousStep(previous));
        } else if self.statements.contains(&Statement::ReleaseOrder(service)) {
            let goals = self.problem.goals.iter();
            let earlier = goals.filter(|other| other.service == service && other.build < build);
            if let Some(last) = earlier.max_by_key(|other| other.build) {
                let previous = Step::Released(service, last.build);
                timing.delay_until(times.at(previous)?, Cause::PreviousStep(previous));
            }
        }
        Some(())
    }

    /// Delays the step until all dependencies of the build are satisfied.
    fn wait_for_dependencies(
        &self,
        step: GoalStep<'_>,
        times: &StepTimes,
        timing: &mut Timing,
    ) -> Option<()> {
        let rules = self.problem.rules;
        for (index, dependency) in rules.dependencies(step.goal.service, step.goal.build) {
            if !self.statements.contains(&Statement::Dependency(index)) {
                continue;
            }
            let mut released = self.problem.released.iter();
            if released.any(|(service, build)| satisfies(dependency, *service, *build)) {
                continue;
            }
            let zones: Vec<Zone> = match dependency.scope {
                DependencyScope::SameZone => self.zones(step),
                DependencyScope::Everywhere => rules.zone_ids().collect(),
            };
            let (at, satisfied_by) = self.first_satisfying(dependency, &zones, times)?;
            timing.delay_until(at, Cause::Dependency(index, satisfied_by));
        }
        Some(())
    }

    /// The first release of a goal that satisfies a dependency in the given zones, with its time. A released build has
    /// reached every ring of its ladder, and thus all zones in these rings.
    fn first_satisfying(
        &self,
        dependency: &Dependency,
        zones: &[Zone],
        times: &StepTimes,
    ) -> Option<(Duration, Step)> {
        let goals = self.problem.goals.iter();
        goals
            .filter(|goal| satisfies(dependency, goal.service, goal.build))
            .filter(|goal| self.reaches(goal, zones))
            .filter_map(|goal| {
                let step = Step::Released(goal.service, goal.build);
                Some((times.at(step)?, step))
            })
            .min()
    }

    /// The zones in which the build is used once the step is taken.
    fn zones(&self, step: GoalStep<'_>) -> Vec<Zone> {
        let rules = self.problem.rules;
        let (Some(ladder), Some(ring)) = (step.ladder, step.ring) else {
            return rules.zone_ids().collect();
        };
        let stage: Stage = ladder.rings[ring.saturating_sub(1)].stage;
        rules.zones_after_next_step(step.goal.service, step.goal.build, stage)
    }

    /// Whether a released build has reached all tenants of the given zones.
    fn reaches(&self, goal: &Goal, zones: &[Zone]) -> bool {
        let Some(pairs) = self.ladder(goal).map(Ladder::pairs) else {
            return true;
        };
        let mut needed = zones
            .iter()
            .flat_map(|zone| self.problem.rules.zone_pairs(*zone));
        needed.all(|pair| pairs.0[pair])
    }

    /// Delays the step until no freeze blocks it; `None` if a freeze has no end.
    fn wait_for_freezes(&self, step: GoalStep<'_>, mut timing: Timing) -> Option<Timing> {
        let pairs = step.pairs();
        let blocks = |frozen: &ActiveFreeze<'_>| {
            let concerned = pairs.as_ref();
            self.statements.contains(&Statement::Freeze(frozen.index))
                && concerned.is_none_or(|pairs| pairs.intersects(&frozen.freeze.pairs))
        };
        for _ in 0..MAX_ADJACENT_FREEZES {
            let active = self
                .problem
                .rules
                .active_freezes(step.goal.service, timing.at);
            let Some(last) = active.filter(blocks).max_by_key(ActiveFreeze::end) else {
                return Some(timing);
            };
            timing = Timing {
                at: last.window.until?,
                cause: Cause::Freeze(last.index),
            };
        }
        None
    }
}

/// Whether a released build satisfies a dependency.
fn satisfies(dependency: &Dependency, service: ServiceId, build: Build) -> bool {
    service == dependency.requires && build >= dependency.at_least
}
