//! Computes the earliest plan by which given builds can be released under the rules of the gate, and the critical path
//! that determines its end. If there is no plan, it finds a small set of statements that contradict each other. The
//! planner uses the queries of [`crate::model`] for freezes, dependencies and rings and has no rules of its own, so
//! that it never plans a step that the gate would refuse.
//!
//! Each step waits for everything that it requires; a dependency is satisfied by the first suitable build. The earliest
//! times of the steps are therefore the least fixed point of monotone functions, which is found by taking the steps in
//! the order of their times (Knuth's generalization of Dijkstra's algorithm). A step that this search does not reach
//! cannot be taken at all.
mod conflict;
mod schedule;

use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_decision::Build;

use crate::model::{Rules, ServiceId};

/// A build to release.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Goal {
    /// The service whose build is to be released.
    pub service: ServiceId,
    /// The build to release.
    pub build: Build,
    /// The earliest time of any of the build's steps, since 1970.
    pub not_before: Option<Duration>,
    /// The latest time of the release, since 1970.
    pub deadline: Option<Duration>,
}

/// Builds that are released everywhere when the plan starts.
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
    /// The build's previous step and the minimum time after it, or the release of the service's previous build.
    PreviousStep(Step),
    /// A dependency, by its index in the rules, and the step that satisfied it.
    Dependency(usize, Step),
    /// The end of a freeze, by its index in the rules.
    Freeze(usize),
}

/// A step with its time.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct PlannedStep {
    /// The step that is planned.
    pub step: Step,
    /// The step's earliest time, since 1970.
    pub at: Duration,
    /// What determined the time.
    pub cause: Cause,
}

/// The earliest plan that reaches all goals.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Plan {
    /// All steps in the order of their times.
    pub steps: Vec<PlannedStep>,
    /// The steps that determine the end, each caused by the one before.
    pub critical_path: Vec<PlannedStep>,
}

/// A requirement that a plan must satisfy. When a conflict is reduced, statements are removed in this order.
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

/// Statements that cannot all hold. If any one of them is removed, the others can hold.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Conflict {
    /// The statements in the order of [`Statement`].
    pub statements: Vec<Statement>,
    /// Whether it is known that no smaller set of statements is in conflict. The search for one is bounded.
    pub is_smallest: bool,
}

/// The input of the planner.
#[derive(Clone, Copy, Debug)]
struct Problem<'a> {
    rules: &'a Rules,
    released: &'a ReleasedBuilds,
    goals: &'a [Goal],
    start: Duration,
}

/// Computes the earliest plan that reaches all goals. No step is earlier than `start`, which is time since 1970.
///
/// # Errors
/// No plan reaches all goals; the error is a set of statements that contradict each other.
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
