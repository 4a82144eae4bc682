//! The plan: when the builds that are wanted can be released at the earliest under the rules of the gate, and what
//! determines the end; or a small set of statements that contradict each other. What a freeze, a dependency or a ring
//! forbids is asked of [`crate::model`]; the planner has no rules of its own, and never plans a step that the gate
//! would refuse.
//!
//! Each step waits for all that it requires, and for a dependency the first build that satisfies it will do. So the
//! earliest time of each step is the least fixed point of functions that never fall, found by taking the steps in the
//! order of their times (Knuth's generalization of Dijkstra's search). A step that is never taken can never be.
mod conflict;
mod schedule;

use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_decision::Build;

use crate::model::{Rules, ServiceId};

/// A build to release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// The service.
    pub service: ServiceId,
    /// Its build.
    pub build: Build,
    /// The earliest time of any step, since 1970.
    pub not_before: Option<Duration>,
    /// The latest time of the release, since 1970.
    pub deadline: Option<Duration>,
}

/// Builds that are released everywhere at the start.
pub type ReleasedBuilds = BTreeSet<(ServiceId, Build)>;

/// A step of a build's release.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub enum Step {
    /// The ring of this index opens. A build without a ladder has no such step.
    Ring(ServiceId, Build, u8),
    /// The build is released.
    Released(ServiceId, Build),
}

/// What determined a step's time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Cause {
    /// The start of the plan.
    Start,
    /// The earliest time of the goal.
    NotBefore,
    /// The step before it, and the least time since.
    PreviousStep(Step),
    /// A dependency, by its index in the rules, and the step that satisfied it.
    Dependency(usize, Step),
    /// The end of a freeze, by its index in the rules.
    Freeze(usize),
}

/// A step with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStep {
    /// The step.
    pub step: Step,
    /// Its earliest time, since 1970.
    pub at: Duration,
    /// What determined the time.
    pub cause: Cause,
}

/// The earliest plan.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// All steps, in the order of their times.
    pub steps: Vec<PlannedStep>,
    /// The steps that determine the end, each caused by the one before.
    pub critical_path: Vec<PlannedStep>,
}

/// Something that can be given up. The order is the one in which it is tried to leave statements out.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Statement {
    /// The build of a goal, by its index, is released.
    GoalReached(usize),
    /// A goal's deadline, by the goal's index, is met.
    Deadline(usize),
    /// A dependency, by its index in the rules, is satisfied.
    Dependency(usize),
    /// A freeze, by its index in the rules, is respected.
    Freeze(usize),
    /// The builds of a service are released one after another.
    ReleaseOrder(ServiceId),
}

/// Statements that cannot all hold; without any one of them the others can.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The statements.
    pub statements: Vec<Statement>,
    /// Whether no smaller set of statements is in conflict. The search for one is bounded.
    pub is_smallest: bool,
}

/// What is planned.
#[derive(Clone, Copy, Debug)]
struct Problem<'a> {
    rules: &'a Rules,
    released: &'a ReleasedBuilds,
    goals: &'a [Goal],
    start: Duration,
}

/// The earliest plan that reaches all goals, from a start on.
///
/// # Errors
/// Statements that contradict each other.
pub fn plan(
    rules: &Rules,
    released: &ReleasedBuilds,
    goals: &[Goal],
    start: Duration,
) -> Result<Plan, Conflict> {
    let problem = Problem {
        rules,
        released,
        goals,
        start,
    };
    let all = all_statements(rules, goals);
    match schedule::earliest_times(problem, &all) {
        Some(times) => Ok(schedule::plan(problem, &times)),
        None => Err(conflict::find(problem, &all)),
    }
}

fn all_statements(rules: &Rules, goals: &[Goal]) -> BTreeSet<Statement> {
    let reached = (0..goals.len()).map(Statement::GoalReached);
    let deadlines = (0..goals.len())
        .filter(|goal| goals[*goal].deadline.is_some())
        .map(Statement::Deadline);
    let dependencies = (0..rules.dependencies.len()).map(Statement::Dependency);
    let freezes = (0..rules.freezes.len()).map(Statement::Freeze);
    let orders = rules.service_ids().map(Statement::ReleaseOrder);
    reached
        .chain(deadlines)
        .chain(dependencies)
        .chain(freezes)
        .chain(orders)
        .collect()
}
