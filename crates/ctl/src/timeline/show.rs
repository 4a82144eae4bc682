//! `lgctl timeline show`: prints the timeline of one node, or the entries of the agent itself.
use std::time::Duration;

use clap::Args;
use lilacgate_timeline::entry::Entry;
use serde_json::json;

use super::read::{ReadArguments, Timelines};
use super::totals::Totals;
use crate::error::CommandError;
use crate::{Answer, CommandResult, output, time};

/// The delay between an event and the agent learning of it is shown only from this length on.
const MIN_SHOWN_DELAY: Duration = Duration::from_millis(50);
/// The number of equal spans that a node's counts are divided into.
const COUNT_SPANS: u32 = 12;

#[derive(Args)]
pub(crate) struct ShowArguments {
    #[command(flatten)]
    read: ReadArguments,
    /// Name of the node; by default the entries of the agent itself
    #[arg(long)]
    node: Option<String>,
    /// Show only what the agent knew at this time
    #[arg(long)]
    as_of: Option<String>,
}

impl ShowArguments {
    pub(super) fn run(self, as_json: bool) -> CommandResult {
        let timelines = self.read.read()?;
        let node = self.node.as_ref().map(|name| {
            let unknown = || CommandError::UnknownNode(name.clone());
            timelines.node(name).ok_or_else(unknown)
        });
        let node = node.transpose()?;
        let known_until = match &self.as_of {
            Some(text) => time::read(text, &timelines.zone)?,
            None => Duration::MAX,
        };
        let entries: Vec<&Entry> = timelines
            .entries
            .iter()
            .filter(|entry| entry.node == node && entry.known <= known_until)
            .collect();
        if as_json {
            println!("{}", json!(entries));
        } else {
            print_entries(&timelines, &entries);
            if let Some(node) = node {
                print_counts(&timelines, node);
            }
        }
        Ok(Answer::yes_if(!entries.is_empty()))
    }
}

fn print_entries(timelines: &Timelines, entries: &[&Entry]) {
    let mut table = output::table(["happened", "known after", "what"]);
    for entry in entries {
        let delay = entry.known.saturating_sub(entry.happened);
        let delay = if delay < MIN_SHOWN_DELAY {
            String::new()
        } else {
            format!("{:.1} s", delay.as_secs_f64())
        };
        table.add_row([
            timelines.show(entry.happened),
            delay,
            timelines.describe_entry(entry),
        ]);
    }
    println!("{}", output::render(&table));
}

/// Prints the totals of a node in equal spans, without empty ones.
fn print_counts(timelines: &Timelines, node: u32) {
    let mut table = output::table(["from", "attempts", "served", "failed", "late", "p50", "p95"]);
    let whole = timelines.to.saturating_sub(timelines.from);
    let length = (whole / COUNT_SPANS).max(Duration::from_secs(1));
    for index in 0..COUNT_SPANS {
        let from = timelines.from + length * index;
        let totals = Totals::of_span(timelines, node, from..from + length);
        if totals.is_empty() {
            continue;
        }
        table.add_row([
            timelines.show(from),
            totals.counts.attempts.to_string(),
            totals.counts.succeeded.to_string(),
            totals.counts.failed.to_string(),
            totals.counts.late.to_string(),
            totals.latency_text(0.5),
            totals.latency_text(0.95),
        ]);
    }
    println!("\n{}", output::render(&table));
}
