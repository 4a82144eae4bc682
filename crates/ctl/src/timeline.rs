//! Owns `lgctl timeline`: a line as text, departures, the story of a stage, an export, a picture.
use std::path::PathBuf;
use std::time::Duration;

use clap::{Args, Subcommand};
use comfy_table::{Table, presets};
use lilacgate_timeline::entry::{AttemptCounts, DepartureScope, Entry, Event};
use lilacgate_timeline::latency_sketch::LatencySketch;
use serde_json::json;

use crate::lines::{Lines, Reading};
use crate::{Answer, Unusable, plot, time, trimmed};

#[derive(Subcommand)]
pub enum Timeline {
    /// One node's line, or the agent's own
    Show(Show),
    /// Departures from what is usual; exit code 1 if there are none
    Events(Only),
    /// One build's stage: all nodes, departures, votes and their causes, in plain words
    Story(Story),
    /// Everything as JSON Lines
    Export(Only),
    /// Small pictures, one a node
    Plot(Plot),
}

#[derive(Args)]
pub struct Only {
    #[command(flatten)]
    reading: Reading,
}

#[derive(Args)]
pub struct Show {
    #[command(flatten)]
    reading: Reading,
    /// The node's name; the agent's own line, if left out
    #[arg(long)]
    node: Option<String>,
    /// What the agent knew then
    #[arg(long)]
    as_of: Option<String>,
}

#[derive(Args)]
pub struct Story {
    #[command(flatten)]
    reading: Reading,
    #[arg(long)]
    build: u16,
    /// One stage alone
    #[arg(long)]
    stage: Option<u8>,
}

#[derive(Args)]
pub struct Plot {
    #[command(flatten)]
    reading: Reading,
    /// Draws into this file
    #[arg(long)]
    svg: PathBuf,
}

impl Timeline {
    pub fn run(self, as_json: bool) -> Answer {
        match self {
            Timeline::Show(show) => show.run(as_json),
            Timeline::Events(only) => events(&only.reading.read()?, as_json),
            Timeline::Story(story) => story.run(as_json),
            Timeline::Export(only) => export(&only.reading.read()?),
            Timeline::Plot(plot) => {
                let lines = plot.reading.read()?;
                let fault = |fault| Unusable(format!("{}: {fault}", plot.svg.display()));
                plot::draw(&plot.svg, &lines).map_err(fault)?;
                Ok(true)
            }
        }
    }
}

impl Show {
    fn run(self, as_json: bool) -> Answer {
        let lines = self.reading.read()?;
        let node = match &self.node {
            Some(name) => Some(
                lines
                    .node(name)
                    .ok_or_else(|| Unusable(format!("no node {name:?} in this span")))?,
            ),
            None => None,
        };
        let known = match &self.as_of {
            Some(text) => time::read(text, &lines.zone).map_err(Unusable)?,
            None => Duration::MAX,
        };
        let shown: Vec<&Entry> = lines
            .entries
            .iter()
            .filter(|e| e.node == node && e.known <= known)
            .collect();
        if as_json {
            println!("{}", json!(shown));
            return Ok(!shown.is_empty());
        }
        let mut table = Table::new();
        table
            .load_preset(presets::NOTHING)
            .set_header(["happened", "known after", "what"]);
        for entry in &shown {
            let late = entry.known.saturating_sub(entry.happened);
            let late = if late < Duration::from_millis(50) {
                String::new()
            } else {
                format!("{:.1} s", late.as_secs_f64())
            };
            table.add_row([lines.show(entry.happened), late, lines.text(entry)]);
        }
        println!("{}", trimmed(&table));
        if let Some(node) = node {
            let mut table = Table::new();
            table
                .load_preset(presets::NOTHING)
                .set_header(["from", "attempts", "served", "failed", "late", "p50", "p95"]);
            for (from, counts, latency) in spans(&lines, Some(node), 12) {
                table.add_row(row(&lines, from, &counts, &latency));
            }
            println!("\n{}", trimmed(&table));
        }
        Ok(!shown.is_empty())
    }
}

fn millis(latency: &LatencySketch, share: f64) -> String {
    latency.quantile(share).map_or_else(
        || "-".into(),
        |took| format!("{:.1} ms", took.as_secs_f64() * 1e3),
    )
}

fn row(
    lines: &Lines,
    from: Duration,
    counts: &AttemptCounts,
    latency: &LatencySketch,
) -> [String; 7] {
    let AttemptCounts {
        attempts,
        succeeded,
        failed,
        late,
        ..
    } = counts;
    [
        lines.show(from),
        attempts.to_string(),
        succeeded.to_string(),
        failed.to_string(),
        late.to_string(),
        millis(latency, 0.5),
        millis(latency, 0.95),
    ]
}

/// The steps of a node, or of all, as so many equal spans.
fn spans(
    lines: &Lines,
    node: Option<u32>,
    many: u32,
) -> Vec<(Duration, AttemptCounts, LatencySketch)> {
    let long = (lines.to.saturating_sub(lines.from) / many).max(Duration::from_secs(1));
    (0..many)
        .map(|i| {
            let from = lines.from + long * i;
            (from, sums(lines, node, from, from + long))
        })
        .filter(|(_, (counts, _))| !counts.is_empty())
        .map(|(from, (counts, latency))| (from, counts, latency))
        .collect()
}

/// All that a node's steps hold of a span, added up.
fn sums(
    lines: &Lines,
    node: Option<u32>,
    from: Duration,
    to: Duration,
) -> (AttemptCounts, LatencySketch) {
    let of: Vec<_> = lines
        .steps
        .iter()
        .filter(|step| node.is_none_or(|node| step.node == node) && (from..to).contains(&step.from))
        .collect();
    let mut counts = AttemptCounts::default();
    of.iter().for_each(|step| counts.add(&step.counts));
    let latency: Vec<LatencySketch> = of
        .iter()
        .map(|step| LatencySketch::from_bytes(step.latency.clone()))
        .collect();
    (counts, LatencySketch::merged(latency.iter()))
}

fn events(lines: &Lines, as_json: bool) -> Answer {
    let all = lines.departures();
    if as_json {
        println!("{}", json!(all));
        return Ok(!all.is_empty());
    }
    if all.is_empty() {
        println!("no departures");
        return Ok(false);
    }
    let mut table = Table::new();
    table
        .load_preset(presets::NOTHING)
        .set_header(["", "onset", "sure after", "ended", "what"]);
    for departure in &all {
        let sure = departure
            .confirmed
            .saturating_sub(departure.onset)
            .as_secs_f64();
        let ended = departure
            .ended
            .map_or_else(|| "goes on".into(), |at| lines.clock(at));
        let number = departure.number.to_string();
        table.add_row([
            number,
            lines.show(departure.onset),
            format!("{sure:.1} s"),
            ended,
            lines.words(departure),
        ]);
    }
    println!("{}", trimmed(&table));
    Ok(true)
}

fn export(lines: &Lines) -> Answer {
    for entry in &lines.entries {
        let node = entry.node.map(|node| lines.name(node));
        println!("{}", json!({"node": node, "entry": entry}));
    }
    for step in &lines.steps {
        let latency = LatencySketch::from_bytes(step.latency.clone());
        let ms = |share| latency.quantile(share).map(|took| took.as_secs_f64() * 1e3);
        let (from, long) = (
            step.from.as_millis() as u64,
            step.duration.as_millis() as u64,
        );
        println!(
            "{}",
            json!({"node": lines.name(step.node), "from_ms": from, "long_ms": long, "build": step.build,
            "counts": step.counts, "p50_ms": ms(0.5), "p95_ms": ms(0.95), "p99_ms": ms(0.99)})
        );
    }
    Ok(!lines.entries.is_empty() || !lines.steps.is_empty())
}

impl Story {
    /// The span of the stage, or of all of the build's, and what came after.
    fn span(&self, lines: &Lines) -> Option<(Duration, Duration, Option<String>)> {
        let mut found: Option<(Duration, Duration, Option<String>)> = None;
        for entry in &lines.entries {
            let Event::Stage {
                build,
                stage,
                phase,
            } = &entry.event
            else {
                continue;
            };
            let is = *build == self.build
                && phase == "on-trial"
                && self.stage.is_none_or(|s| s == *stage);
            match &mut found {
                None if is => found = Some((entry.happened, lines.to, None)),
                Some((_, to, after)) if !is && after.is_none() => {
                    (*to, *after) = (entry.happened, Some(lines.text(entry)));
                }
                _ => {}
            }
        }
        found
    }

    fn run(self, as_json: bool) -> Answer {
        let lines = self.reading.read()?;
        let Some((from, to, after)) = self.span(&lines) else {
            println!(
                "{}",
                if as_json {
                    "null".into()
                } else {
                    format!("build {} is not on trial in this span", self.build)
                }
            );
            return Ok(false);
        };
        // What shows just after the end belongs to it, too.
        let until = to + Duration::from_secs(1);
        let within = |at: Duration| at >= from && at <= until;
        let departures: Vec<_> = lines
            .departures()
            .into_iter()
            .filter(|d| d.onset <= until && d.ended.is_none_or(|at| at >= from))
            .collect();
        let own = lines
            .entries
            .iter()
            .filter(|e| e.node.is_none() && within(e.happened));
        let told = |e: &&Entry| {
            matches!(
                e.event,
                Event::Stage { .. } | Event::Vote { .. } | Event::Paused { .. }
            )
        };
        let events: Vec<&Entry> = own.filter(told).collect();
        let before = from.saturating_sub(to.saturating_sub(from).max(Duration::from_secs(10)));
        let nodes: Vec<_> = lines
            .nodes()
            .into_iter()
            .map(|node| {
                let listed = lines
                    .entries
                    .iter()
                    .filter(|e| e.node == Some(node) && e.happened <= until);
                let builds = listed.filter_map(|e| {
                    if let Event::Listed { build, .. } = e.event {
                        Some(build)
                    } else {
                        None
                    }
                });
                let build = builds.fold(None, |_, build| Some(build));
                (
                    node,
                    build,
                    sums(&lines, Some(node), before, from),
                    sums(&lines, Some(node), from, until),
                )
            })
            .filter(|(_, _, (was, _), (is, _))| !was.is_empty() || !is.is_empty())
            .collect();
        if as_json {
            let nodes: Vec<_> = nodes
                .iter()
                .map(|(node, build, (was, _), (is, _))| json!({"node": lines.name(*node), "build": build, "before": was, "during": is}))
                .collect();
            println!(
                "{}",
                json!({"build": self.build, "from_ms": from.as_millis() as u64, "to_ms": to.as_millis() as u64,
                "nodes": nodes, "departures": departures, "events": events, "after": after})
            );
            return Ok(true);
        }
        let stage = self
            .stage
            .map(|stage| format!(", stage {stage}"))
            .unwrap_or_default();
        println!(
            "Build {}{stage}: from {} for {:.1} s.",
            self.build,
            lines.show(from),
            to.saturating_sub(from).as_secs_f64()
        );
        println!("\nWhat happened:");
        let mut said: Vec<(Duration, String)> =
            events.iter().map(|e| (e.happened, lines.text(e))).collect();
        for departure in &departures {
            let sure = departure
                .confirmed
                .saturating_sub(departure.onset)
                .as_secs_f64();
            said.push((
                departure.onset,
                format!("{} (sure after {sure:.1} s)", lines.words(departure)),
            ));
        }
        said.sort();
        said.iter()
            .for_each(|(at, text)| println!("  {}  {text}", lines.clock(*at)));
        if departures.is_empty() {
            println!("  no node, build or fleet departed from its usual");
        }
        println!("\nThe nodes, before and during it:");
        let mut table = Table::new();
        table.load_preset(presets::NOTHING).set_header([
            "node", "build", "requests", "failed", "late", "p95", "", "requests", "failed", "late",
            "p95",
        ]);
        let share = |part: u32, counts: &AttemptCounts| {
            let all = counts.ended().max(1);
            format!("{:.0}%", f64::from(part) / f64::from(all) * 100.0)
        };
        for (node, build, was, is) in &nodes {
            let four = |(counts, latency): &(AttemptCounts, LatencySketch)| {
                [
                    counts.attempts.to_string(),
                    share(counts.failed, counts),
                    share(counts.late, counts),
                    millis(latency, 0.95),
                ]
            };
            let build = build.map_or_else(|| "?".into(), |build| build.to_string());
            let cells = [lines.name(*node), build]
                .into_iter()
                .chain(four(was))
                .chain(["|".into()])
                .chain(four(is));
            table.add_row(cells);
        }
        println!("{}", trimmed(&table));
        let by = |of: &dyn Fn(&DepartureScope) -> bool| {
            departures.iter().filter(|d| of(&d.scope)).count()
        };
        println!(
            "\nIn short: {} departures of nodes, {} of builds, {} of the fleet; then: {}.",
            by(&|whom| matches!(whom, DepartureScope::Node(_))),
            by(&|whom| matches!(whom, DepartureScope::Build(_))),
            by(&|whom| *whom == DepartureScope::Fleet),
            after.unwrap_or_else(|| "it goes on".into())
        );
        Ok(true)
    }
}
