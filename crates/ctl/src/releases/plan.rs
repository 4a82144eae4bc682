//! `lgctl releases plan`: computes the earliest release times of builds.
use std::path::PathBuf;

use clap::Args;
use jiff::tz::TimeZone;
use lilacgate_decision::Build;
use lilacgate_releases::calendar;
use lilacgate_releases::model::{Rules, ServiceId};
use lilacgate_releases::planner::{Conflict, Goal, Plan, PlannedStep, ReleasedBuilds, plan};
use serde::Serialize;
use serde_json::json;

use super::chart::{Chart, draw};
use super::{describe, read_rules, read_state};
use crate::error::CommandError;
use crate::{Answer, CommandResult, output, time};

#[derive(Args)]
pub(crate) struct PlanArguments {
    /// The operator file
    #[arg(long)]
    file: PathBuf,
    /// The stored state of an agent, which lists the builds that are released already
    #[arg(long)]
    state: Option<PathBuf>,
    /// The builds to release.
    #[arg(
        long = "bring",
        required = true,
        value_name = "WISH",
        help = "Build to release, as SERVICE:BUILD[,from=TIME][,by=TIME]"
    )]
    goals: Vec<String>,
    /// Build that is released already, as SERVICE:BUILD
    #[arg(long, value_name = "SERVICE:BUILD")]
    released: Vec<String>,
    /// Earliest time of the first step
    #[arg(long, default_value = "now")]
    from: String,
    /// Time zone of local times in arguments and output
    #[arg(long, default_value = "UTC")]
    zone_of_reader: String,
    /// Draw the plan as an SVG image into this file
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

/// A step of the plan, as printed.
#[derive(Serialize)]
struct StepReport {
    at: String,
    at_ms: u64,
    step: String,
    #[serde(rename = "because")]
    cause: String,
    determines_end: bool,
}

impl PlanArguments {
    pub(super) fn run(self, as_json: bool) -> CommandResult {
        let zone = calendar::parse_time_zone(&self.zone_of_reader)?;
        let rules = read_rules(&self.file)?;
        let released = self.released_builds(&rules)?;
        let goals = self
            .goals
            .iter()
            .map(|text| read_goal(&rules, text, &zone))
            .collect::<Result<Vec<Goal>, CommandError>>()?;
        let start = time::read(&self.from, &zone)?;
        match plan(&rules, &released, &goals, start) {
            Ok(plan) => {
                print_plan(&rules, &plan, &zone, as_json);
                if let Some(file) = &self.svg {
                    let chart = Chart {
                        rules: &rules,
                        plan: &plan,
                        start,
                        zone: &zone,
                    };
                    draw(file, &chart).map_err(|error| CommandError::file(file, error))?;
                }
                Ok(Answer::Yes)
            }
            Err(conflict) => {
                print_conflict(&rules, &goals, &conflict, as_json);
                Ok(Answer::No)
            }
        }
    }

    /// Returns the builds that are released already according to the arguments and the state.
    fn released_builds(&self, rules: &Rules) -> Result<ReleasedBuilds, CommandError> {
        let mut released = ReleasedBuilds::new();
        for text in &self.released {
            released.insert(read_service_build(rules, text)?);
        }
        let Some(file) = &self.state else {
            return Ok(released);
        };
        for stored in read_state(file)?.services {
            if let Some(id) = service_named(rules, &stored.name) {
                released.extend(stored.released.iter().map(|build| (id, Build(*build))));
            }
        }
        Ok(released)
    }
}

fn service_named(rules: &Rules, name: &str) -> Option<ServiceId> {
    rules
        .service_ids()
        .find(|id| rules.service_name(*id) == name)
}

/// Parses `SERVICE:BUILD`.
fn read_service_build(rules: &Rules, text: &str) -> Result<(ServiceId, Build), CommandError> {
    let error = || CommandError::InvalidServiceBuild(text.to_owned());
    let (name, build) = text.split_once(':').ok_or_else(error)?;
    let service = service_named(rules, name).ok_or_else(error)?;
    let build = build.parse().map_err(|_| error())?;
    Ok((service, Build(build)))
}

/// Parses `SERVICE:BUILD[,from=TIME][,by=TIME]`.
fn read_goal(rules: &Rules, text: &str, zone: &TimeZone) -> Result<Goal, CommandError> {
    let mut parts = text.split(',');
    let (service, build) = read_service_build(rules, parts.next().unwrap_or_default())?;
    let mut goal = Goal {
        service,
        build,
        not_before: None,
        deadline: None,
    };
    for part in parts {
        match part.split_once('=') {
            Some(("from", text)) => goal.not_before = Some(time::read(text, zone)?),
            Some(("by", text)) => goal.deadline = Some(time::read(text, zone)?),
            _ => return Err(CommandError::InvalidGoalTime(part.to_owned())),
        }
    }
    Ok(goal)
}

fn print_plan(rules: &Rules, plan: &Plan, zone: &TimeZone, as_json: bool) {
    let report = |planned: &PlannedStep| {
        let mut critical_path = plan.critical_path.iter();
        StepReport {
            at: time::show(planned.at, zone),
            at_ms: time::millis(planned.at),
            step: describe::step(rules, planned.step),
            cause: describe::cause(rules, planned.cause),
            determines_end: critical_path.any(|critical| critical.step == planned.step),
        }
    };
    let reports: Vec<StepReport> = plan.steps.iter().map(report).collect();
    if as_json {
        println!("{}", json!({"plan": reports}));
        return;
    }
    let mut table = output::table(["at", "", "step", "because"]);
    for report in reports {
        let mark = if report.determines_end { "*" } else { "" };
        table.add_row([report.at, mark.to_owned(), report.step, report.cause]);
    }
    println!("{}\n* what the end rests on", output::render(&table));
}

fn print_conflict(rules: &Rules, goals: &[Goal], conflict: &Conflict, as_json: bool) {
    let statements: Vec<String> = conflict
        .statements
        .iter()
        .map(|statement| describe::statement(rules, goals, *statement))
        .collect();
    let is_smallest = conflict.is_smallest;
    if as_json {
        let report = json!({"plan": null, "clash": statements, "is_smallest": is_smallest});
        println!("{report}");
        return;
    }
    let how = if is_smallest {
        "no smaller set of statements does"
    } else {
        "a smaller set may do, too"
    };
    println!("No plan. These cannot all hold ({how}):");
    for statement in statements {
        println!("  {statement}");
    }
}
