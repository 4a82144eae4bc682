//! `lgctl releases explain`: explains what a release gate admits, what it rejects and why, and from when it admits.
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use jiff::tz::TimeZone;
use lilacgate_decision::{Build, RequestClass, Tenant, Zone};
use lilacgate_releases::calendar;
use lilacgate_releases::gate::Gate;
use lilacgate_releases::reason::{Hold, PermittedAdvance};
use serde::Serialize;
use serde_json::json;

use super::{read_rules, read_state};
use crate::error::CommandError;
use crate::{Answer, CommandResult, output, time};

/// Limit on how far ahead to search for the time at which a build is admitted.
const MAX_SEARCH_AHEAD: Duration = Duration::from_secs(400 * 24 * 3600);
/// Limit on the number of scheduled changes that the search evaluates.
const MAX_CHANGES: usize = 2000;

#[derive(Args)]
pub(crate) struct ExplainArguments {
    /// The operator file
    #[arg(long)]
    file: PathBuf,
    /// The stored state of an agent, which it writes on SIGUSR1 to the path that the operator file sets
    #[arg(long)]
    state: PathBuf,
    /// Time to evaluate, such as 2026-12-28T00:00Z; by default the time of the state. For a later time the last
    /// reported statuses are assumed to persist
    #[arg(long)]
    at: Option<String>,
    /// Time zone of local times in arguments and output
    #[arg(long, default_value = "UTC")]
    zone_of_reader: String,
    /// Restrict the answer to this build
    #[arg(long)]
    build: Option<u16>,
    /// Restrict the answer to this zone
    #[arg(long)]
    zone: Option<String>,
    /// Restrict the answer to this tenant
    #[arg(long = "firm", value_name = "FIRM")]
    tenant: Option<String>,
    /// Restrict the answer to this request class
    #[arg(long = "product", value_name = "PRODUCT")]
    request_class: Option<String>,
}

/// The properties of a request that decide its admission.
#[derive(Clone, Copy)]
struct AdmissionQuery {
    build: Build,
    zone: Zone,
    tenant: Tenant,
    class: RequestClass,
}

/// Whether requests with the given properties are admitted.
#[derive(Serialize)]
struct Admission {
    build: u16,
    zone: String,
    #[serde(rename = "firm")]
    tenant: String,
    #[serde(rename = "product")]
    request_class: String,
    open: bool,
    /// Whether the requests are admitted only because the tenant uses the build already.
    #[serde(rename = "kept")]
    retained: bool,
    code: &'static str,
    #[serde(rename = "why")]
    explanation: String,
    /// The time from which the requests are admitted if no status changes, in milliseconds since the Unix epoch.
    #[serde(rename = "from_ms")]
    opens_at_ms: Option<u64>,
}

/// Whether the agents may vote to advance the canary.
#[derive(Serialize)]
#[serde(untagged)]
enum Advance {
    Permitted {
        may: bool,
        build: u16,
        stage: u8,
    },
    Held {
        may: bool,
        code: &'static str,
        #[serde(rename = "why")]
        explanation: String,
        until: Option<String>,
    },
}

impl Advance {
    fn of(gate: &Gate, zone: &TimeZone) -> Self {
        match gate.permitted_advance() {
            Ok(PermittedAdvance { build, stage }) => Advance::Permitted {
                may: true,
                build: build.0,
                stage: stage.0,
            },
            Err(Hold { reason, until }) => {
                let build = gate.newest().unwrap_or_default();
                Advance::Held {
                    may: false,
                    code: reason.code(),
                    explanation: gate.describe_hold(build, reason),
                    until: until.map(|until| time::show(until, zone)),
                }
            }
        }
    }

    fn print(&self) {
        match self {
            Advance::Permitted { build, stage, .. } => {
                println!("build {build} may be voted on from stage {stage}");
            }
            Advance::Held {
                explanation, until, ..
            } => {
                let until = until
                    .as_ref()
                    .map(|until| format!("; not before {until}"))
                    .unwrap_or_default();
                println!("no step on: {explanation}{until}");
            }
        }
    }
}

/// Returns the indices of all names, or of `name` if it is given.
fn matching_indices(
    names: &[String],
    kind: &'static str,
    name: Option<&String>,
) -> Result<Vec<usize>, CommandError> {
    let found: Vec<usize> = (0..names.len())
        .filter(|i| name.is_none_or(|name| *name == names[*i]))
        .collect();
    if found.is_empty() {
        let name = name.cloned();
        return Err(CommandError::NotInFile { kind, name });
    }
    Ok(found)
}

impl ExplainArguments {
    pub(super) fn run(self, as_json: bool) -> CommandResult {
        let zone = calendar::parse_time_zone(&self.zone_of_reader)?;
        let at = self.at.as_ref().map(|at| time::read(at, &zone));
        let gate = self.gate(at.transpose()?)?;
        let queries = self.queries(&gate)?;
        let admissions = queries
            .into_iter()
            .map(|query| self.admission(&gate, query))
            .collect::<Result<Vec<Admission>, CommandError>>()?;
        let advance = Advance::of(&gate, &zone);
        let now = time::show(gate.now(), &zone);
        if as_json {
            println!(
                "{}",
                json!({"at": now, "step": advance, "cells": admissions})
            );
        } else {
            println!("at {now}");
            advance.print();
            print_admissions(&admissions, &zone);
        }
        let all_open = admissions.iter().all(|admission| admission.open);
        Ok(Answer::yes_if(all_open))
    }

    /// Restores the gate from the operator file and the state, and advances it to `at` if that is later.
    fn gate(&self, at: Option<Duration>) -> Result<Gate, CommandError> {
        let rules = read_rules(&self.file)?;
        let state = read_state(&self.state)?;
        let mut gate = Gate::from_state(rules, &state)
            .map_err(|error| CommandError::file(&self.state, error))?;
        if let Some(at) = at {
            if at < gate.now() {
                tracing::warn!(
                    "--at is before the time of the state; the gate is explained at the time of the state"
                );
            }
            gate.advance_assuming_heartbeats(at);
        }
        Ok(gate)
    }

    /// Returns all combinations of builds, zones, tenants and request classes that the arguments select.
    fn queries(&self, gate: &Gate) -> Result<Vec<AdmissionQuery>, CommandError> {
        let rules = gate.rules();
        let zones = matching_indices(&rules.zones, "zone", self.zone.as_ref())?;
        let tenants = matching_indices(&rules.tenants, "firm", self.tenant.as_ref())?;
        let classes = matching_indices(
            &rules.request_classes,
            "product",
            self.request_class.as_ref(),
        )?;
        let builds: Vec<Build> = match self.build {
            Some(build) => vec![Build(build)],
            None => gate.builds().collect(),
        };
        let mut queries = Vec::new();
        for build in builds {
            for zone in &zones {
                for tenant in &tenants {
                    for class in &classes {
                        queries.push(AdmissionQuery {
                            build,
                            zone: Zone(*zone as u8),
                            tenant: Tenant(*tenant as u16),
                            class: RequestClass(*class as u8),
                        });
                    }
                }
            }
        }
        Ok(queries)
    }

    fn admission(&self, gate: &Gate, query: AdmissionQuery) -> Result<Admission, CommandError> {
        let AdmissionQuery {
            build,
            zone,
            tenant,
            class,
        } = query;
        let rules = gate.rules();
        let admits = gate.admits(build, zone, tenant, class);
        let retained = gate
            .closed_to_new_users(build, zone, tenant)
            .filter(|_| admits.is_ok());
        let reason = retained.or(admits.err());
        let explanation = reason.map_or_else(
            || "open".into(),
            |reason| gate.describe_closed(build, reason),
        );
        let explanation = if retained.is_some() {
            format!("kept by who has it, though {explanation}")
        } else {
            explanation
        };
        let opens_at = if admits.is_err() {
            self.opens_at(gate.now(), query)?
        } else {
            None
        };
        Ok(Admission {
            build: build.0,
            zone: rules.zones[usize::from(zone.0)].clone(),
            tenant: rules.tenants[usize::from(tenant.0)].clone(),
            request_class: rules.request_classes[usize::from(class.0)].clone(),
            open: admits.is_ok(),
            retained: retained.is_some(),
            code: reason.map_or("open", |reason| reason.code()),
            explanation,
            opens_at_ms: opens_at.map(time::millis),
        })
    }

    /// Returns the time from which the requests are admitted if no status changes, or `None` if the search finds none.
    fn opens_at(
        &self,
        from: Duration,
        query: AdmissionQuery,
    ) -> Result<Option<Duration>, CommandError> {
        let mut gate = self.gate(Some(from))?;
        for _ in 0..MAX_CHANGES {
            let next = gate.next_scheduled_change();
            let Some(next) = next.filter(|next| *next < from + MAX_SEARCH_AHEAD) else {
                return Ok(None);
            };
            gate.advance_assuming_heartbeats(next);
            let admits = gate.admits(query.build, query.zone, query.tenant, query.class);
            if admits.is_ok() {
                return Ok(Some(next));
            }
        }
        Ok(None)
    }
}

fn print_admissions(admissions: &[Admission], zone: &TimeZone) {
    let mut table = output::table([
        "build", "zone", "firm", "product", "open", "code", "why", "from",
    ]);
    for admission in admissions {
        let opens_at = match admission.opens_at_ms {
            Some(at) => time::show(Duration::from_millis(at), zone),
            None if admission.open => String::new(),
            None => "no time is known".into(),
        };
        table.add_row([
            admission.build.to_string().as_str(),
            admission.zone.as_str(),
            admission.tenant.as_str(),
            admission.request_class.as_str(),
            if admission.open { "yes" } else { "no" },
            admission.code,
            admission.explanation.as_str(),
            opens_at.as_str(),
        ]);
    }
    println!("{}", output::render(&table));
}
