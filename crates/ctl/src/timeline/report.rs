//! `lgctl timeline story`: reports on the stages of a build: events and departures, the counts of each node before and
//! during the stages, and what followed.
use std::time::Duration;

use clap::Args;
use lilacgate_timeline::entry::{AttemptCounts, Departure, DepartureScope, Entry, Event};
use serde::Serialize;
use serde_json::json;

use super::read::{ReadArguments, Timelines};
use super::totals::Totals;
use crate::{Answer, CommandResult, output, time};

/// The recorded name of the phase of a canary build.
const CANARY_PHASE: &str = "on-trial";
/// Events within this time after the end still count towards the stage.
const GRACE_AFTER_END: Duration = Duration::from_secs(1);
/// The least length of the span before the stage that the stage is compared with.
const MIN_COMPARISON_LENGTH: Duration = Duration::from_secs(10);

#[derive(Args)]
pub(crate) struct ReportArguments {
    #[command(flatten)]
    read: ReadArguments,
    /// Build to report on
    #[arg(long)]
    build: u16,
    /// Restrict the report to this stage
    #[arg(long)]
    stage: Option<u8>,
}

/// The span of one stage, or of all stages of a build.
struct StageSpan {
    from: Duration,
    to: Duration,
    /// The stage entry that ended the span; `None` if the stage has not ended.
    next: Option<String>,
}

impl StageSpan {
    /// The time up to which events count towards the stage.
    fn until(&self) -> Duration {
        self.to + GRACE_AFTER_END
    }
}

/// The totals of a node before and during the stage.
struct NodeReport {
    node: u32,
    build: Option<u16>,
    before: Totals,
    during: Totals,
}

#[derive(Serialize)]
struct NodeJson<'a> {
    node: String,
    build: Option<u16>,
    before: &'a AttemptCounts,
    during: &'a AttemptCounts,
}

#[derive(Serialize)]
struct ReportJson<'a> {
    build: u16,
    from_ms: u64,
    to_ms: u64,
    nodes: Vec<NodeJson<'a>>,
    departures: &'a [Departure],
    events: &'a [&'a Entry],
    #[serde(rename = "after")]
    next: Option<&'a str>,
}

/// The report of a stage.
struct Report<'a> {
    timelines: &'a Timelines,
    build: u16,
    stage: Option<u8>,
    span: StageSpan,
    departures: Vec<Departure>,
    events: Vec<&'a Entry>,
    nodes: Vec<NodeReport>,
}

impl ReportArguments {
    pub(super) fn run(self, as_json: bool) -> CommandResult {
        let timelines = self.read.read()?;
        let Some(span) = self.span(&timelines) else {
            if as_json {
                println!("null");
            } else {
                println!("build {} is not on trial in this span", self.build);
            }
            return Ok(Answer::No);
        };
        let report = Report {
            departures: departures(&timelines, &span),
            events: events(&timelines, &span),
            nodes: nodes(&timelines, &span),
            timelines: &timelines,
            build: self.build,
            stage: self.stage,
            span,
        };
        if as_json {
            println!("{}", json!(report.to_json()));
        } else {
            report.print();
        }
        Ok(Answer::Yes)
    }

    /// Returns the span of the selected stage, or of all stages of the build; `None` if there is none.
    fn span(&self, timelines: &Timelines) -> Option<StageSpan> {
        let mut found: Option<StageSpan> = None;
        for entry in &timelines.entries {
            let Event::Stage {
                build,
                stage,
                phase,
            } = &entry.event
            else {
                continue;
            };
            let is_wanted = *build == self.build
                && phase == CANARY_PHASE
                && self.stage.is_none_or(|wanted| wanted == *stage);
            match &mut found {
                None if is_wanted => {
                    found = Some(StageSpan {
                        from: entry.happened,
                        to: timelines.to,
                        next: None,
                    });
                }
                Some(span) if !is_wanted && span.next.is_none() => {
                    span.to = entry.happened;
                    span.next = Some(timelines.describe_entry(entry));
                }
                _ => {}
            }
        }
        found
    }
}

/// Returns the departures that overlap the stage.
fn departures(timelines: &Timelines, span: &StageSpan) -> Vec<Departure> {
    let touches = |departure: &Departure| {
        departure.onset <= span.until() && departure.ended.is_none_or(|at| at >= span.from)
    };
    let mut departures = timelines.departures();
    departures.retain(touches);
    departures
}

/// Returns the entries of the agent itself about stages, votes and pauses of its process.
fn events<'a>(timelines: &'a Timelines, span: &StageSpan) -> Vec<&'a Entry> {
    let is_reported = |entry: &&Entry| {
        let kind = matches!(
            entry.event,
            Event::Stage { .. } | Event::Vote { .. } | Event::Paused { .. }
        );
        let within = entry.happened >= span.from && entry.happened <= span.until();
        kind && within && entry.node.is_none()
    };
    timelines.entries.iter().filter(is_reported).collect()
}

/// Returns the totals of all nodes that have counts before or during the stage.
fn nodes(timelines: &Timelines, span: &StageSpan) -> Vec<NodeReport> {
    let length = span.to.saturating_sub(span.from).max(MIN_COMPARISON_LENGTH);
    let before = span.from.saturating_sub(length);
    let report = |node| NodeReport {
        node,
        build: last_listed_build(timelines, node, span.until()),
        before: Totals::of_span(timelines, node, before..span.from),
        during: Totals::of_span(timelines, node, span.from..span.until()),
    };
    let mut reports: Vec<NodeReport> = timelines.nodes().into_iter().map(report).collect();
    reports.retain(|report| !report.before.is_empty() || !report.during.is_empty());
    reports
}

/// Returns the build that a node was last listed with up to a time.
fn last_listed_build(timelines: &Timelines, node: u32, until: Duration) -> Option<u16> {
    let mut entries = timelines.entries.iter().rev();
    entries.find_map(|entry| match entry.event {
        Event::Listed { build, .. } if entry.node == Some(node) && entry.happened <= until => {
            Some(build)
        }
        _ => None,
    })
}

impl Report<'_> {
    fn to_json(&self) -> ReportJson<'_> {
        let node = |report| {
            let NodeReport {
                node,
                build,
                before,
                during,
            }: &NodeReport = report;
            NodeJson {
                node: self.timelines.name(*node),
                build: *build,
                before: &before.counts,
                during: &during.counts,
            }
        };
        ReportJson {
            build: self.build,
            from_ms: time::millis(self.span.from),
            to_ms: time::millis(self.span.to),
            nodes: self.nodes.iter().map(node).collect(),
            departures: &self.departures,
            events: &self.events,
            next: self.span.next.as_deref(),
        }
    }

    fn print(&self) {
        let stage = self
            .stage
            .map(|stage| format!(", stage {stage}"))
            .unwrap_or_default();
        println!(
            "Build {}{stage}: from {} for {:.1} s.",
            self.build,
            self.timelines.show(self.span.from),
            self.span.to.saturating_sub(self.span.from).as_secs_f64()
        );
        self.print_events();
        self.print_nodes();
        self.print_summary();
    }

    fn print_events(&self) {
        println!("\nWhat happened:");
        let events = self.events.iter();
        let events = events.map(|entry| (entry.happened, self.timelines.describe_entry(entry)));
        let departures = self.departures.iter().map(|departure| {
            let text = self.timelines.describe_departure(departure);
            let confirmed_after = departure.confirmed.saturating_sub(departure.onset);
            let confirmed_after = confirmed_after.as_secs_f64();
            let text = format!("{text} (sure after {confirmed_after:.1} s)");
            (departure.onset, text)
        });
        let mut lines: Vec<(Duration, String)> = events.chain(departures).collect();
        lines.sort();
        for (at, text) in lines {
            println!("  {}  {text}", self.timelines.clock(at));
        }
        if self.departures.is_empty() {
            println!("  no node, build or fleet departed from its usual");
        }
    }

    fn print_nodes(&self) {
        println!("\nThe nodes, before and during it:");
        let mut table = output::table([
            "node", "build", "requests", "failed", "late", "p95", "", "requests", "failed", "late",
            "p95",
        ]);
        for report in &self.nodes {
            let build = report
                .build
                .map_or_else(|| "?".into(), |build| build.to_string());
            let cells = [self.timelines.name(report.node), build]
                .into_iter()
                .chain(totals_cells(&report.before))
                .chain(["|".into()])
                .chain(totals_cells(&report.during));
            table.add_row(cells);
        }
        println!("{}", output::render(&table));
    }

    fn print_summary(&self) {
        let count = |in_scope: fn(DepartureScope) -> bool| {
            let departures = self.departures.iter();
            departures
                .filter(|departure| in_scope(departure.scope))
                .count()
        };
        println!(
            "\nIn short: {} departures of nodes, {} of builds, {} of the fleet; then: {}.",
            count(|scope| matches!(scope, DepartureScope::Node(_))),
            count(|scope| matches!(scope, DepartureScope::Build(_))),
            count(|scope| scope == DepartureScope::Fleet),
            self.span.next.as_deref().unwrap_or("it goes on")
        );
    }
}

/// Formats the attempts, the shares of failed and late ones, and the 95th percentile of latency.
fn totals_cells(totals: &Totals) -> [String; 4] {
    let ended = f64::from(totals.counts.ended().max(1));
    let share = |part: u32| format!("{:.0}%", f64::from(part) / ended * 100.0);
    [
        totals.counts.attempts.to_string(),
        share(totals.counts.failed),
        share(totals.counts.late),
        totals.latency_text(0.95),
    ]
}
