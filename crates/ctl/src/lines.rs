//! Owns time lines as they are read back: from a store's folder or one file, in a span of time, by name. It judges
//! nothing.
use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use std::time::Duration;

use clap::Args;
use jiff::tz::TimeZone;
use lilacgate_store::reader;
use lilacgate_timeline::entry::{
    Departure, DepartureScope, Entry, Event, Record, ReleaseStage, StepRecord,
};

use crate::{Unusable, time};

/// What is read, and of which time.
#[derive(Args)]
pub struct Reading {
    /// A store's folder, or an agent's dump
    path: PathBuf,
    /// From when on: a time, or a span before the end such as -5m
    #[arg(long, allow_hyphen_values = true)]
    from: Option<String>,
    /// Until when
    #[arg(long, allow_hyphen_values = true)]
    to: Option<String>,
    /// The reader's time zone
    #[arg(long, default_value = "UTC")]
    zone_of_reader: String,
}

/// All that was read of a span.
pub struct Lines {
    pub zone: TimeZone,
    pub from: Duration,
    pub to: Duration,
    pub agents: Vec<String>,
    pub products: Vec<String>,
    names: BTreeMap<u32, String>,
    /// In the order in which they happened.
    pub entries: Vec<Entry>,
    pub steps: Vec<StepRecord>,
    /// Records that the agent had to leave out.
    pub left_out: u64,
}

fn at(record: &Record) -> Option<(Duration, Duration)> {
    match record {
        Record::Entry(entry) => Some((entry.happened, entry.known)),
        Record::Step(step) => Some((step.from, step.from + step.duration)),
        Record::Start { at, .. } | Record::Dropped { at, .. } => Some((*at, *at)),
        Record::Name { .. } => None,
    }
}

/// A span before the end, or a time.
fn moment(text: &str, end: Duration, zone: &TimeZone) -> Result<Duration, Unusable> {
    match text.strip_prefix('-') {
        Some(back) => {
            let back = lilacgate_releases::calendar::span(back).map_err(Unusable)?;
            Ok(end.saturating_sub(back))
        }
        None => time::read(text, zone).map_err(Unusable),
    }
}

impl Reading {
    pub fn read(&self) -> Result<Lines, Unusable> {
        let zone =
            lilacgate_releases::calendar::time_zone(&self.zone_of_reader).map_err(Unusable)?;
        let named = |path: &Path, why: &str| format!("{}: {why}", path.display());
        let read = reader::read(&self.path)
            .map_err(|why| Unusable(named(&self.path, &why.to_string())))?;
        let damaged: Vec<String> = read
            .damaged
            .iter()
            .map(|file| named(&file.path, &file.error.to_string()))
            .collect();
        damaged.iter().for_each(|what| tracing::warn!("{what}"));
        if read.records.is_empty() && !damaged.is_empty() {
            return Err(Unusable(named(&self.path, "nothing can be read")));
        }
        let end = read
            .records
            .iter()
            .filter_map(at)
            .map(|(_, known)| known)
            .max()
            .unwrap_or_default();
        let begin = read
            .records
            .iter()
            .filter_map(at)
            .map(|(_, known)| known)
            .min()
            .unwrap_or_default();
        let from = self
            .from
            .as_ref()
            .map_or(Ok(begin), |text| moment(text, end, &zone))?;
        let to = self
            .to
            .as_ref()
            .map_or(Ok(end), |text| moment(text, end, &zone))?;
        let (agents, products, names, entries, steps, left_out) = Default::default();
        let mut lines = Lines {
            zone,
            from,
            to,
            agents,
            products,
            names,
            entries,
            steps,
            left_out,
        };
        for record in read.records {
            let (happened, known) = at(&record).unwrap_or((from, from));
            let within = happened <= to && known >= from;
            match record {
                Record::Start {
                    agent,
                    classes: products,
                    ..
                } => {
                    lines.agents.push(agent);
                    lines.products = products;
                }
                Record::Name { node, name } => drop(lines.names.insert(node, name)),
                Record::Entry(entry) if within => lines.entries.push(entry),
                Record::Step(step) if within => lines.steps.push(step),
                Record::Dropped { count, .. } if within => lines.left_out += count,
                _ => {}
            }
        }
        if lines.left_out > 0 {
            tracing::warn!(
                "{} records were left out by the agent: its disk was behind",
                lines.left_out
            );
        }
        lines.entries.sort_by_key(|entry| entry.happened);
        lines.steps.sort_by_key(|step| (step.from, step.node));
        Ok(lines)
    }
}

impl Lines {
    pub fn name(&self, node: u32) -> String {
        self.names
            .get(&node)
            .cloned()
            .unwrap_or_else(|| format!("{node:08x}"))
    }

    /// The number of a node by its name, or by the number itself.
    pub fn node(&self, name: &str) -> Option<u32> {
        let named = self
            .names
            .iter()
            .find(|(_, n)| *n == name)
            .map(|(node, _)| *node);
        named.or_else(|| {
            u32::from_str_radix(name, 16)
                .ok()
                .filter(|node| self.nodes().contains(node))
        })
    }

    /// All nodes with anything in this span, by name.
    pub fn nodes(&self) -> Vec<u32> {
        let of_entries = self.entries.iter().filter_map(|entry| entry.node);
        let all = of_entries.chain(self.steps.iter().map(|step| step.node));
        let mut found: Vec<u32> = all
            .collect::<std::collections::BTreeSet<_>>()
            .into_iter()
            .collect();
        // Short names first: d2 stands before d10.
        found.sort_by_key(|node| (self.name(*node).len(), self.name(*node)));
        found
    }

    pub fn product(&self, product: u8) -> String {
        self.products
            .get(usize::from(product))
            .cloned()
            .unwrap_or_else(|| format!("product {product}"))
    }

    pub fn show(&self, at: Duration) -> String {
        time::show(at, &self.zone)
    }

    /// The time of day, to the tenth of a second.
    pub fn clock(&self, at: Duration) -> String {
        let text = self.show(at);
        format!(
            "{}.{}",
            text.get(11..19).unwrap_or(&text),
            at.subsec_millis() / 100
        )
    }

    /// Departures, each once: with its end, if that came in the span.
    pub fn departures(&self) -> Vec<Departure> {
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
        let mut all: Vec<Departure> = found.into_values().collect();
        all.sort_by_key(|departure| departure.confirmed);
        all
    }

    pub fn whom(&self, whom: DepartureScope) -> String {
        match whom {
            DepartureScope::Node(node) => format!("node {}", self.name(node)),
            DepartureScope::Build(build) => format!("build {build}"),
            DepartureScope::Fleet => "the fleet".into(),
        }
    }

    /// A departure in plain words, without its times.
    pub fn words(&self, departure: &Departure) -> String {
        use lilacgate_timeline::entry::DepartureKind;
        let whom = self.whom(departure.scope);
        let of = departure
            .class
            .map(|product| format!(" of {}", self.product(product)))
            .unwrap_or_default();
        let (seen, usual) = (departure.observed * 100.0, departure.baseline * 100.0);
        let text = match departure.kind {
            DepartureKind::Errors => {
                format!("{whom} failed {seen:.0}%{of}, where {usual:.0}% are usual")
            }
            DepartureKind::Latency => {
                format!("{whom} was late with {seen:.0}%{of}, where {usual:.0}% are usual")
            }
            DepartureKind::Silence => format!("{whom} owed answers and said nothing"),
            DepartureKind::Links => format!("{whom} refused or broke {seen:.0}% of its links"),
            DepartureKind::Load => format!("{whom} held far more than its share"),
            DepartureKind::Restart => {
                format!("{whom} came back as another process of the same build")
            }
        };
        let beside = departure
            .concurrent_stage
            .map(|ReleaseStage { build, stage }| {
                format!("; stage {stage} of build {build} had begun shortly before")
            });
        text + &beside.unwrap_or_default()
    }

    /// What an entry says.
    pub fn text(&self, entry: &Entry) -> String {
        match &entry.event {
            Event::Listed {
                state,
                build,
                started,
            } => {
                let since = started
                    .map(|at| format!(", started {}", self.clock(at)))
                    .unwrap_or_default();
                format!("listed {state} with build {build}{since}")
            }
            Event::Ejected { reason, until } => {
                format!("left alone until {}: {reason}", self.clock(*until))
            }
            Event::Probed => "tried with a request".into(),
            Event::Readmitted => "taken in again".into(),
            Event::Cancelled { class } => {
                format!("an attempt of {} called off", self.product(*class))
            }
            Event::GivenUp { reason, count } => format!("{count} requests given up: {reason}"),
            Event::Stage {
                build,
                stage,
                phase,
            } => format!("build {build} is {phase} in stage {stage}"),
            Event::Vote {
                build,
                stage,
                vote,
                figures,
            } => {
                format!("voted {vote} on build {build} in stage {stage}: {figures}")
            }
            Event::Paused { duration } => {
                format!("this agent stood still for {:.1} s", duration.as_secs_f64())
            }
            Event::DepartureBegan(departure) => {
                format!("departure {}: {}", departure.number, self.words(departure))
            }
            Event::DepartureEnded(departure) => format!("departure {} has ended", departure.number),
        }
    }
}
