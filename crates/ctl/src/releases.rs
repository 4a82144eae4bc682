//! Owns `lgctl releases`: what a gate with this file and state answers, from when, and the earliest plan. All rules are
//! those of `lilacgate-releases`; nothing is decided here.
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use jiff::tz::TimeZone;
use lilacgate_decision::{Build, RequestClass, Tenant, Zone};
use lilacgate_operator_config::{Known, load};
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::{Rules, ServiceId};
use lilacgate_releases::planner::{
    Cause, Conflict, Goal, Plan, PlannedStep, ReleasedBuilds, Statement, Step, plan,
};
use lilacgate_releases::reason::PermittedAdvance;
use lilacgate_releases::stored_state::StoredState;
use serde_json::{Value, json};

use crate::{Answer, Unusable, chart, time, trimmed};

#[derive(Subcommand)]
pub enum Releases {
    /// Why a build may be used or not, and from when
    Explain(Explain),
    /// The earliest times for builds to come out, or the statements that contradict each other
    Plan(Planning),
}

#[derive(Args)]
pub struct Explain {
    /// The operator's file
    #[arg(long)]
    file: PathBuf,
    /// An agent's state, which it writes at SIGUSR1 where the file says
    #[arg(long)]
    state: PathBuf,
    /// At which time: as in 2026-12-28T00:00Z; the state's own, if left out. Later on, what was heard is taken to last
    #[arg(long)]
    at: Option<String>,
    /// The reader's time zone
    #[arg(long, default_value = "UTC")]
    zone_of_reader: String,
    #[arg(long)]
    build: Option<u16>,
    #[arg(long)]
    zone: Option<String>,
    #[arg(long)]
    firm: Option<String>,
    #[arg(long)]
    product: Option<String>,
}

#[derive(Args)]
pub struct Planning {
    /// The operator's file
    #[arg(long)]
    file: PathBuf,
    /// An agent's state: what is released already
    #[arg(long)]
    state: Option<PathBuf>,
    /// A build to bring out, as SERVICE:BUILD[,from=TIME][,by=TIME]
    #[arg(long, required = true, value_name = "WISH")]
    bring: Vec<String>,
    /// A build that is released already, as SERVICE:BUILD
    #[arg(long, value_name = "SERVICE:BUILD")]
    released: Vec<String>,
    /// When it may begin
    #[arg(long, default_value = "now")]
    from: String,
    /// The reader's time zone
    #[arg(long, default_value = "UTC")]
    zone_of_reader: String,
    /// Draws the plan into this file
    #[arg(long, value_name = "FILE")]
    svg: Option<PathBuf>,
}

impl Releases {
    pub fn run(self, as_json: bool) -> Answer {
        match self {
            Releases::Explain(explain) => explain.run(as_json),
            Releases::Plan(planning) => planning.run(as_json),
        }
    }
}

fn rules(file: &Path) -> Result<Rules, Unusable> {
    let operator = load(file, &Known::default()).map_err(|faults| {
        let faults: Vec<String> = faults.iter().map(ToString::to_string).collect();
        Unusable(format!("{}: {}", file.display(), faults.join("; ")))
    })?;
    let none = || Unusable(format!("{}: no <releases>", file.display()));
    Ok(operator.releases.ok_or_else(none)?.rules)
}

fn state(file: &Path) -> Result<StoredState, Unusable> {
    let unusable = |fault: String| Unusable(format!("{}: {fault}", file.display()));
    let text = std::fs::read_to_string(file).map_err(|fault| unusable(fault.to_string()))?;
    serde_json::from_str(&text).map_err(|fault| unusable(fault.to_string()))
}

fn zone_of(name: &str) -> Result<TimeZone, Unusable> {
    lilacgate_releases::calendar::time_zone(name).map_err(|error| Unusable(error.to_string()))
}

/// The numbers of all names, or of the one that is asked for.
fn wanted(names: &[String], kind: &str, one: Option<&String>) -> Result<Vec<usize>, Unusable> {
    let found: Vec<usize> = (0..names.len())
        .filter(|i| one.is_none_or(|one| *one == names[*i]))
        .collect();
    if found.is_empty() {
        Err(Unusable(format!("{kind} {one:?} is not in the file")))
    } else {
        Ok(found)
    }
}

/// How long ahead it is looked for when something opens, and at how many changes at most.
const AHEAD: Duration = Duration::from_secs(400 * 24 * 3600);
const CHANGES: usize = 2000;

impl Explain {
    fn gate(&self, at: Option<Duration>) -> Result<Gate, Unusable> {
        let (rules, state) = (rules(&self.file)?, state(&self.state)?);
        let mut gate = Gate::from_state(rules, &state)
            .map_err(|fault| Unusable(format!("{}: {fault}", self.state.display())))?;
        if let Some(at) = at {
            if at < gate.now() {
                tracing::warn!("the state is of a later time; it is explained as it is");
            }
            gate.advance_assuming_heartbeats(at);
        }
        Ok(gate)
    }

    fn run(self, as_json: bool) -> Answer {
        let zone = zone_of(&self.zone_of_reader)?;
        let at = self
            .at
            .as_ref()
            .map(|at| time::read(at, &zone))
            .transpose()
            .map_err(Unusable)?;
        let gate = self.gate(at)?;
        let rules = gate.rules();
        let zones = wanted(&rules.zones, "zone", self.zone.as_ref())?;
        let firms = wanted(&rules.tenants, "firm", self.firm.as_ref())?;
        let products = wanted(&rules.request_classes, "product", self.product.as_ref())?;
        let builds: Vec<Build> = match self.build {
            Some(build) => vec![Build(build)],
            None => gate.builds().collect(),
        };
        let mut rows = Vec::new();
        for &build in &builds {
            for &z in &zones {
                for &f in &firms {
                    for &p in &products {
                        let place = (
                            build,
                            Zone(z as u8),
                            Tenant(f as u16),
                            RequestClass(p as u8),
                        );
                        rows.push(self.row(&gate, place)?);
                    }
                }
            }
        }
        let step = match gate.permitted_advance() {
            Ok(PermittedAdvance { build, stage }) => {
                json!({"may": true, "build": build.0, "stage": stage.0})
            }
            Err(stay) => {
                let build = gate.newest().unwrap_or_default();
                json!({"may": false, "code": stay.reason.code(), "why": gate.describe_hold(build, stay.reason),
                    "until": stay.until.map(|until| time::show(until, &zone))})
            }
        };
        let all_open = rows.iter().all(|row| row["open"] == true);
        let when = |row: &Value| {
            row["from_ms"]
                .as_u64()
                .map(|at| time::show(Duration::from_millis(at), &zone))
        };
        if as_json {
            println!(
                "{}",
                json!({"at": time::show(gate.now(), &zone), "step": step, "cells": rows})
            );
            return Ok(all_open);
        }
        println!("at {}", time::show(gate.now(), &zone));
        match (step["may"].as_bool(), &step["why"]) {
            (Some(true), _) => {
                println!(
                    "build {} may be voted on from stage {}",
                    step["build"], step["stage"]
                )
            }
            (_, why) => {
                let until = step["until"]
                    .as_str()
                    .map(|until| format!("; not before {until}"))
                    .unwrap_or_default();
                println!("no step on: {}{until}", why.as_str().unwrap_or_default());
            }
        }
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header([
            "build", "zone", "firm", "product", "open", "code", "why", "from",
        ]);
        let text = |value: &Value| {
            value
                .as_str()
                .map_or_else(|| value.to_string(), str::to_owned)
        };
        for row in &rows {
            let from = when(row).unwrap_or_else(|| {
                if row["open"] == true {
                    String::new()
                } else {
                    "no time is known".into()
                }
            });
            let cells = ["build", "zone", "firm", "product"].map(|name| text(&row[name]));
            let open = if row["open"] == true { "yes" } else { "no" };
            let rest = [open.to_owned(), text(&row["code"]), text(&row["why"]), from];
            table.add_row(cells.into_iter().chain(rest));
        }
        println!("{}", trimmed(&table));
        Ok(all_open)
    }

    fn row(
        &self,
        gate: &Gate,
        place: (Build, Zone, Tenant, RequestClass),
    ) -> Result<Value, Unusable> {
        let (build, zone, firm, product) = place;
        let rules = gate.rules();
        let admits = gate.admits(build, zone, firm, product);
        let kept = gate
            .retained_despite(build, zone, firm)
            .filter(|_| admits.is_ok());
        let why = kept.or(admits.err());
        let words = why.map_or("open".into(), |why| gate.describe_closed(build, why));
        let words = if kept.is_some() {
            format!("kept by who has it, though {words}")
        } else {
            words
        };
        let from = if admits.is_err() {
            self.opens_at(gate.now(), place)?
        } else {
            None
        };
        Ok(json!({
            "build": build.0,
            "zone": rules.zones[usize::from(zone.0)],
            "firm": rules.tenants[usize::from(firm.0)],
            "product": rules.request_classes[usize::from(product.0)],
            "open": admits.is_ok(),
            "kept": kept.is_some(),
            "code": why.map_or("open", |why| why.code()),
            "why": words,
            "from_ms": from.map(|at| at.as_millis() as u64),
        }))
    }

    /// When time alone opens it, if it does.
    fn opens_at(
        &self,
        from: Duration,
        (build, zone, firm, product): (Build, Zone, Tenant, RequestClass),
    ) -> Result<Option<Duration>, Unusable> {
        let mut gate = self.gate(Some(from))?;
        for _ in 0..CHANGES {
            let Some(next) = gate
                .next_scheduled_change()
                .filter(|next| *next < from + AHEAD)
            else {
                return Ok(None);
            };
            gate.advance_assuming_heartbeats(next);
            if gate.admits(build, zone, firm, product).is_ok() {
                return Ok(Some(next));
            }
        }
        Ok(None)
    }
}

fn service_build(rules: &Rules, text: &str) -> Result<(ServiceId, Build), Unusable> {
    let wrong = || Unusable(format!("{text:?} is no SERVICE:BUILD of the file"));
    let (name, build) = text.split_once(':').ok_or_else(wrong)?;
    let service = rules
        .services
        .iter()
        .position(|service| service.name == name)
        .ok_or_else(wrong)?;
    Ok((
        ServiceId(service as u8),
        Build(build.parse().map_err(|_| wrong())?),
    ))
}

fn wish(rules: &Rules, text: &str, zone: &TimeZone) -> Result<Goal, Unusable> {
    let mut parts = text.split(',');
    let (service, build) = service_build(rules, parts.next().unwrap_or_default())?;
    let mut wish = Goal {
        service,
        build,
        not_before: None,
        deadline: None,
    };
    for part in parts {
        let at = |text| time::read(text, zone).map_err(Unusable);
        match part.split_once('=') {
            Some(("from", text)) => wish.not_before = Some(at(text)?),
            Some(("by", text)) => wish.deadline = Some(at(text)?),
            _ => {
                return Err(Unusable(format!(
                    "{part:?} is neither from=TIME nor by=TIME"
                )));
            }
        }
    }
    Ok(wish)
}

fn step_words(rules: &Rules, step: Step) -> String {
    match step {
        Step::Ring(service, build, ring) => {
            let ladder = rules.ladder(service, build);
            let name = ladder
                .and_then(|l| l.rings.get(usize::from(ring)))
                .map_or("?", |r| &r.name);
            format!("{} {} opens ring {name}", rules.service(service), build.0)
        }
        Step::Released(service, build) => {
            format!("{} {} is released", rules.service(service), build.0)
        }
    }
}

fn because_words(rules: &Rules, cause: Cause) -> String {
    match cause {
        Cause::Start => "may begin".into(),
        Cause::NotBefore => "not wished before".into(),
        Cause::PreviousStep(step) => format!("after {}", step_words(rules, step)),
        Cause::Dependency(_, step) => format!("needs that {}", step_words(rules, step)),
        Cause::Freeze(i) => format!("freeze {} ends", rules.freezes[i].name),
    }
}

fn statement_words(rules: &Rules, wishes: &[Goal], statement: Statement) -> String {
    let wished = |i: usize| format!("{} {}", rules.service(wishes[i].service), wishes[i].build.0);
    match statement {
        Statement::GoalReached(i) => format!("{} comes out", wished(i)),
        Statement::Deadline(i) => format!("{} comes out by its time", wished(i)),
        Statement::Dependency(i) => {
            let need = &rules.dependencies[i];
            let (service, of) = (rules.service(need.service), rules.service(need.requires));
            format!(
                "{service} {}..{} needs {of} {} or later",
                need.builds.from.0, need.builds.to.0, need.at_least.0
            )
        }
        Statement::Freeze(i) => format!("the freeze {}", rules.freezes[i].name),
        Statement::ReleaseOrder(service) => {
            format!(
                "builds of {} come out one after another",
                rules.service(service)
            )
        }
    }
}

impl Planning {
    fn run(self, as_json: bool) -> Answer {
        let zone = zone_of(&self.zone_of_reader)?;
        let rules = rules(&self.file)?;
        let mut given = ReleasedBuilds::new();
        for text in &self.released {
            given.insert(service_build(&rules, text)?);
        }
        if let Some(file) = &self.state {
            for kept in state(file)?.services {
                let Some(id) = rules
                    .services
                    .iter()
                    .position(|service| service.name == kept.name)
                else {
                    continue;
                };
                given.extend(
                    kept.released
                        .iter()
                        .map(|build| (ServiceId(id as u8), Build(*build))),
                );
            }
        }
        let wishes = self
            .bring
            .iter()
            .map(|text| wish(&rules, text, &zone))
            .collect::<Result<Vec<_>, _>>()?;
        let start = time::read(&self.from, &zone).map_err(Unusable)?;
        match plan(&rules, &given, &wishes, start) {
            Ok(found) => {
                self.show(&rules, &found, &zone, as_json);
                if let Some(file) = &self.svg {
                    chart::draw(file, &rules, &found, start, &zone)
                        .map_err(|fault| Unusable(format!("{}: {fault}", file.display())))?;
                }
                Ok(true)
            }
            Err(Conflict {
                statements,
                is_smallest,
            }) => {
                let words: Vec<String> = statements
                    .iter()
                    .map(|one| statement_words(&rules, &wishes, *one))
                    .collect();
                if as_json {
                    println!(
                        "{}",
                        json!({"plan": null, "clash": words, "is_smallest": is_smallest})
                    );
                } else {
                    let how = if is_smallest {
                        "no smaller set of statements does"
                    } else {
                        "a smaller set may do, too"
                    };
                    println!("No plan. These cannot all hold ({how}):");
                    words.iter().for_each(|words| println!("  {words}"));
                }
                Ok(false)
            }
        }
    }

    fn show(&self, rules: &Rules, plan: &Plan, zone: &TimeZone, as_json: bool) {
        let line = |planned: &PlannedStep| {
            let (step, cause) = (
                step_words(rules, planned.step),
                because_words(rules, planned.cause),
            );
            let on_chain = plan
                .critical_path
                .iter()
                .any(|other| other.step == planned.step);
            json!({"at": time::show(planned.at, zone), "at_ms": planned.at.as_millis() as u64, "step": step,
                "because": cause, "determines_end": on_chain})
        };
        let lines: Vec<Value> = plan.steps.iter().map(line).collect();
        if as_json {
            return println!("{}", json!({"plan": lines}));
        }
        let mut table = Table::new();
        table
            .load_preset(presets::NOTHING)
            .set_header(["at", "", "step", "because"]);
        for line in &lines {
            let text = |name: &str| line[name].as_str().unwrap_or_default().to_owned();
            let mark = if line["determines_end"] == true {
                "*"
            } else {
                ""
            };
            table.add_row([text("at"), mark.to_owned(), text("step"), text("because")]);
        }
        println!("{}\n* what the end rests on", trimmed(&table));
    }
}
