//! Reads the timelines of a span of time from a store's folder or from a dump file.
use std::collections::{BTreeMap, BTreeSet};
use std::path::PathBuf;
use std::time::Duration;

use clap::Args;
use jiff::tz::TimeZone;
use lilacgate_releases::calendar;
use lilacgate_store::reader;
use lilacgate_timeline::entry::{Departure, Entry, Event, Record, StepRecord};

use crate::error::CommandError;
use crate::time;

// A doc comment here would become part of the commands' help.
#[derive(Args)]
pub(crate) struct ReadArguments {
    /// Folder of a store, or dump file of an agent
    path: PathBuf,
    /// Start of the span: a time, or a duration before the last record such as -5m; by default the first record
    #[arg(long, allow_hyphen_values = true)]
    from: Option<String>,
    /// End of the span, in the same forms; by default the last record
    #[arg(long, allow_hyphen_values = true)]
    to: Option<String>,
    /// Time zone of local times in arguments and output
    #[arg(long, default_value = "UTC")]
    zone_of_reader: String,
}

/// All records of a span.
pub(super) struct Timelines {
    /// The time zone of the output.
    pub(super) zone: TimeZone,
    /// The start of the span, since the Unix epoch.
    pub(super) from: Duration,
    /// The end of the span, since the Unix epoch.
    pub(super) to: Duration,
    /// The agents that wrote the records.
    pub(super) agents: Vec<String>,
    /// The names of the request classes, by class number.
    request_classes: Vec<String>,
    /// The names of the nodes, by node number.
    names: BTreeMap<u32, String>,
    /// The entries of the span, in the order in which they happened.
    pub(super) entries: Vec<Entry>,
    /// The steps of the span, in the order of their start.
    pub(super) steps: Vec<StepRecord>,
    /// The number of records that the agent dropped because its disk was too slow.
    dropped_records: u64,
}

/// When something happened, and when the agent learned of it.
#[derive(Clone, Copy)]
struct RecordTime {
    happened: Duration,
    known: Duration,
}

impl RecordTime {
    /// Returns the times of a record; a node name has none.
    fn of(record: &Record) -> Option<Self> {
        let (happened, known) = match record {
            Record::Entry(entry) => (entry.happened, entry.known),
            Record::Step(step) => (step.from, step.from + step.duration),
            Record::Start { at, .. } | Record::Dropped { at, .. } => (*at, *at),
            Record::Name { .. } => return None,
        };
        Some(RecordTime { happened, known })
    }
}

/// Parses a time, or a duration before the last record such as `-5m`.
fn read_span_bound(text: &str, end: Duration, zone: &TimeZone) -> Result<Duration, CommandError> {
    match text.strip_prefix('-') {
        Some(span) => Ok(end.saturating_sub(calendar::parse_span(span)?)),
        None => Ok(time::read(text, zone)?),
    }
}

impl ReadArguments {
    /// Reads the timelines of the span that the arguments select.
    pub(super) fn read(&self) -> Result<Timelines, CommandError> {
        let zone = calendar::parse_time_zone(&self.zone_of_reader)?;
        let records = self.records()?;
        let known = || records.iter().filter_map(RecordTime::of).map(|at| at.known);
        let (begin, end) = (
            known().min().unwrap_or_default(),
            known().max().unwrap_or_default(),
        );
        let bound = |text: &Option<String>, default| match text {
            Some(text) => read_span_bound(text, end, &zone),
            None => Ok(default),
        };
        let (from, to) = (bound(&self.from, begin)?, bound(&self.to, end)?);
        let mut timelines = Timelines::new(zone, from, to);
        for record in records {
            timelines.add(record);
        }
        timelines.finish();
        Ok(timelines)
    }

    /// Reads all records of the path. Damaged files are logged as warnings, or are an error if no record is
    /// readable.
    fn records(&self) -> Result<Vec<Record>, CommandError> {
        let read =
            reader::read(&self.path).map_err(|error| CommandError::file(&self.path, error))?;
        for file in &read.damaged {
            tracing::warn!("{}: {}", file.path.display(), file.error);
        }
        if read.records.is_empty() && !read.damaged.is_empty() {
            return Err(CommandError::UnreadableStore(self.path.clone()));
        }
        Ok(read.records)
    }
}

impl Timelines {
    fn new(zone: TimeZone, from: Duration, to: Duration) -> Self {
        Timelines {
            zone,
            from,
            to,
            agents: Vec::new(),
            request_classes: Vec::new(),
            names: BTreeMap::new(),
            entries: Vec::new(),
            steps: Vec::new(),
            dropped_records: 0,
        }
    }

    /// Adds a record. Entries, steps and counts of dropped records outside the span are ignored.
    fn add(&mut self, record: Record) {
        let within = RecordTime::of(&record)
            .is_none_or(|at| at.happened <= self.to && at.known >= self.from);
        match record {
            Record::Start { agent, classes, .. } => {
                self.agents.push(agent);
                self.request_classes = classes;
            }
            Record::Name { node, name } => drop(self.names.insert(node, name)),
            Record::Entry(entry) if within => self.entries.push(entry),
            Record::Step(step) if within => self.steps.push(step),
            Record::Dropped { count, .. } if within => self.dropped_records += count,
            _ => {}
        }
    }

    fn finish(&mut self) {
        if self.dropped_records > 0 {
            tracing::warn!(
                "the agent dropped {} records in this span because its disk was too slow",
                self.dropped_records
            );
        }
        self.entries.sort_by_key(|entry| entry.happened);
        self.steps.sort_by_key(|step| (step.from, step.node));
    }

    /// Returns a node's name, or its number in hexadecimal if no name was recorded.
    pub(super) fn name(&self, node: u32) -> String {
        let name = self.names.get(&node).cloned();
        name.unwrap_or_else(|| format!("{node:08x}"))
    }

    /// Finds a node by its name, or by its hexadecimal number if the span has records of it.
    pub(super) fn node(&self, name: &str) -> Option<u32> {
        let mut names = self.names.iter();
        let named = names.find(|(_, other)| *other == name);
        if let Some((node, _)) = named {
            return Some(*node);
        }
        let number = u32::from_str_radix(name, 16).ok()?;
        self.nodes().contains(&number).then_some(number)
    }

    /// Returns all nodes with records in the span, sorted by name; shorter names first, so that d2 precedes d10.
    pub(super) fn nodes(&self) -> Vec<u32> {
        let of_entries = self.entries.iter().filter_map(|entry| entry.node);
        let of_steps = self.steps.iter().map(|step| step.node);
        let unique: BTreeSet<u32> = of_entries.chain(of_steps).collect();
        let mut nodes: Vec<u32> = unique.into_iter().collect();
        nodes.sort_by_key(|node| (self.name(*node).len(), self.name(*node)));
        nodes
    }

    /// Returns the name of a request class, or its number if no name was recorded.
    pub(super) fn request_class(&self, class: u8) -> String {
        let name = self.request_classes.get(usize::from(class)).cloned();
        name.unwrap_or_else(|| format!("product {class}"))
    }

    /// Returns each departure once, with its end if the span has it, in the order of confirmation.
    pub(super) fn departures(&self) -> Vec<Departure> {
        let mut found: BTreeMap<(u32, Duration), Departure> = BTreeMap::new();
        for entry in &self.entries {
            match &entry.event {
                Event::DepartureBegan(departure) => {
                    found
                        .entry((departure.number, departure.confirmed))
                        .or_insert_with(|| departure.clone());
                }
                Event::DepartureEnded(departure) => {
                    found.insert((departure.number, departure.confirmed), departure.clone());
                }
                _ => {}
            }
        }
        let mut departures: Vec<Departure> = found.into_values().collect();
        departures.sort_by_key(|departure| departure.confirmed);
        departures
    }
}
