//! Steps, causes and statements of a plan as text.
use lilacgate_releases::model::Rules;
use lilacgate_releases::planner::{Cause, Goal, Statement, Step};

/// Describes a step.
pub(super) fn step(rules: &Rules, step: Step) -> String {
    match step {
        Step::Ring(service, build, ring) => {
            let ladder = rules.ladder(service, build);
            let name = ladder
                .and_then(|ladder| ladder.rings.get(usize::from(ring)))
                .map_or("?", |ring| &ring.name);
            format!(
                "{} {} opens ring {name}",
                rules.service_name(service),
                build.0
            )
        }
        Step::Released(service, build) => {
            format!("{} {} is released", rules.service_name(service), build.0)
        }
    }
}

/// Describes what determined the time of a step.
pub(super) fn cause(rules: &Rules, cause: Cause) -> String {
    match cause {
        Cause::Start => "may begin".into(),
        Cause::NotBefore => "not wished before".into(),
        Cause::PreviousStep(previous) => format!("after {}", step(rules, previous)),
        Cause::Dependency(_, satisfied_by) => {
            format!("needs that {}", step(rules, satisfied_by))
        }
        Cause::Freeze(index) => format!("freeze {} ends", rules.freezes[index].name),
    }
}

/// Describes a statement that conflicts with others.
pub(super) fn statement(rules: &Rules, goals: &[Goal], statement: Statement) -> String {
    let goal = |index: usize| {
        let Goal { service, build, .. } = goals[index];
        format!("{} {}", rules.service_name(service), build.0)
    };
    match statement {
        Statement::GoalReached(index) => format!("{} comes out", goal(index)),
        Statement::Deadline(index) => format!("{} comes out by its time", goal(index)),
        Statement::Dependency(index) => {
            let dependency = &rules.dependencies[index];
            let service = rules.service_name(dependency.service);
            let required = rules.service_name(dependency.requires);
            let builds = dependency.builds;
            format!(
                "{service} {}..{} needs {required} {} or later",
                builds.from.0, builds.to.0, dependency.at_least.0
            )
        }
        Statement::Freeze(index) => format!("the freeze {}", rules.freezes[index].name),
        Statement::ReleaseOrder(service) => {
            let service = rules.service_name(service);
            format!("builds of {service} come out one after another")
        }
    }
}
