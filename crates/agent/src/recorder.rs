//! Owns the agent's time lines: what the module hears and decides goes into a book beside it, and from there, off the
//! path of the requests, to the store that the operator's file names. It must never change a decision, wait for a disk,
//! nor cost a request: what the disk is too slow for is left out and counted.
use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_decision::{AttemptNumber, EndpointId, Outcome, RequestClass, RequestId};
use lilacgate_operator_config::Timeline;
use lilacgate_start_settings::Paths;
use lilacgate_store::background_writer::{BackgroundWriter, Submitted};
use lilacgate_store::segment_format;
use lilacgate_store::storage::FileSystem;
use lilacgate_store::writer::{Retention, StoreWriter};
use lilacgate_timeline::entry::{DepartureScope, Record, StepRecord};
use lilacgate_timeline::fleet_timeline::{AttemptEnd, FleetTimeline, MemoryLimits};
use lilacgate_timeline::monitor::MonitorConfig;
use lilacgate_timeline::step_history::TimedStep;

use crate::log::{Count, count, say};

/// Records that wait for the disk at most.
const WAITING: usize = 4096;
/// They are handed over this often.
const BATCH: Duration = Duration::from_secs(1);

/// What happens with each request: put aside as it is, and told to the book many at a time, which costs a third of it.
#[derive(Clone, Copy)]
pub enum Deed {
    Request(RequestId, RequestClass),
    Attempt(RequestId, AttemptNumber, EndpointId),
    Ended(
        (RequestId, AttemptNumber),
        EndpointId,
        Outcome,
        Duration,
        bool,
    ),
    Closed(RequestId),
}

/// Deeds that are put aside at most.
const ASIDE: usize = 4096;

/// What does not change while the agent runs.
struct Told {
    agent: String,
    products: Vec<String>,
    ramp: Duration,
}

struct Open {
    book: FleetTimeline,
    set: Timeline,
    pump: Option<BackgroundWriter>,
    /// What the disk was too slow for, to be handed over first.
    behind: Vec<Record>,
    next: Duration,
}

/// Keeps a record, if the operator's file wants one.
pub struct Recorder {
    told: Told,
    open: RefCell<Option<Open>>,
    aside: RefCell<Vec<(Duration, Deed)>>,
    on: Cell<bool>,
    /// The names of nodes: they outlast the book.
    names: RefCell<Vec<(EndpointId, String)>>,
}

impl Recorder {
    /// # Errors
    /// A setting that cannot be used.
    pub fn new(
        agent: &str,
        told: &Paths,
        set: Option<Timeline>,
        now: Duration,
    ) -> Result<Recorder, String> {
        let count: u8 = told.num("profiles.count")?;
        let product = |i| told.text(&format!("profiles.{i}.name")).map(str::to_owned);
        let products = (0..count).map(product).collect::<Result<_, _>>()?;
        let told = Told {
            agent: agent.into(),
            products,
            ramp: told.span("rules.ramp-time")?,
        };
        let recorder = Recorder {
            told,
            open: RefCell::default(),
            aside: RefCell::default(),
            on: Cell::new(false),
            names: RefCell::default(),
        };
        recorder.order(now, set);
        Ok(recorder)
    }

    /// Takes what the operator's file sets now; lines go on where it sets the same.
    pub fn order(&self, now: Duration, set: Option<Timeline>) {
        let mut open = self.open.borrow_mut();
        if open.as_ref().map(|open| &open.set) == set.as_ref() {
            return;
        }
        self.on.set(set.is_some());
        self.aside.borrow_mut().clear();
        *open = set.map(|set| {
            let aims = MonitorConfig {
                false_alarms_per_hour: set.false_per_hour,
                slow_start: self.told.ramp,
                classes: self.told.products.len(),
            };
            let records = if set.store.is_some() { WAITING } else { 0 };
            let book = FleetTimeline::new(
                now,
                aims,
                MemoryLimits {
                    timeline_bytes: set.memory,
                    queued_records: records,
                },
            );
            let pump = set.store.as_ref().and_then(|store| {
                let bounds = Retention {
                    max_bytes: store.keep,
                    max_age: store.age,
                };
                let writer = StoreWriter::new(&store.folder, bounds, Box::new(FileSystem));
                let fault = |fault| {
                    say!(
                        "timeline: nothing is kept on disk: {}: {fault}",
                        store.folder.display()
                    )
                };
                writer.map_err(fault).ok().map(BackgroundWriter::new)
            });
            let behind = if pump.is_some() {
                self.beginning(now)
            } else {
                Vec::new()
            };
            Open {
                book,
                set,
                pump,
                behind,
                next: now + BATCH,
            }
        });
    }

    /// What stands first: the start, and the names known.
    fn beginning(&self, at: Duration) -> Vec<Record> {
        let start = Record::Start {
            agent: self.told.agent.clone(),
            at,
            classes: self.told.products.clone(),
        };
        let names = self.names.borrow();
        let name = |(node, name): &(EndpointId, String)| Record::Name {
            node: node.0,
            name: name.clone(),
        };
        std::iter::once(start)
            .chain(names.iter().map(name))
            .collect()
    }

    /// A node's number and name.
    pub fn named(&self, node: EndpointId, name: &str) {
        let mut names = self.names.borrow_mut();
        if !names.iter().any(|(known, _)| *known == node) {
            // As many names as a list may hold; what is gone for long is not needed.
            if names.len() >= WAITING {
                names.remove(0);
            }
            names.push((node, name.into()));
            if let Some(open) = self
                .open
                .borrow_mut()
                .as_mut()
                .filter(|open| open.pump.is_some())
            {
                open.behind.push(Record::Name {
                    node: node.0,
                    name: name.into(),
                });
            }
        }
    }

    /// Puts a deed aside, if there is a book.
    pub fn put(&self, now: Duration, deed: Deed) {
        if self.on.get() {
            self.aside.borrow_mut().push((now, deed));
            if self.aside.borrow().len() >= ASIDE {
                self.book(|_| {});
            }
        }
    }

    /// Tells the book something, if there is one, after all that was put aside.
    pub fn book(&self, tell: impl FnOnce(&mut FleetTimeline)) {
        if let Some(open) = self.open.borrow_mut().as_mut() {
            self.catch_up(&mut open.book);
            tell(&mut open.book);
        }
    }

    fn catch_up(&self, book: &mut FleetTimeline) {
        for (now, deed) in self.aside.borrow_mut().drain(..) {
            match deed {
                Deed::Request(id, product) => book.request_started(id, product),
                Deed::Attempt(id, attempt, to) => book.attempt_started(now, id, attempt, to),
                Deed::Ended(which, at, ending, took, closed) => book.attempt_ended(
                    now,
                    &AttemptEnd {
                        request: which.0,
                        attempt: which.1,
                        endpoint: at,
                        outcome: ending,
                        duration: took,
                        request_closed: closed,
                    },
                ),
                Deed::Closed(id) => book.request_closed(id),
            }
        }
    }

    /// When time alone is to be told.
    pub fn next(&self) -> Option<Duration> {
        self.open
            .borrow()
            .as_ref()
            .map(|open| open.book.next_tick())
    }

    /// Time has passed: departures go to the log, records to the store.
    pub fn advance(&self, now: Duration) {
        let mut open = self.open.borrow_mut();
        let Some(open) = open.as_mut() else { return };
        if now >= open.book.next_tick() {
            self.catch_up(&mut open.book);
        }
        open.book.advance(now);
        for report in open.book.take_reports() {
            let departure = report.departure;
            if !report.began {
                say!("timeline: departure {} has ended", departure.number);
                continue;
            }
            count(Count::Departures);
            let whom = match departure.scope {
                DepartureScope::Node(node) => {
                    let names = self.names.borrow();
                    let name = names
                        .iter()
                        .find(|(id, _)| id.0 == node)
                        .map(|(_, name)| name.as_str());
                    format!("node {}", name.unwrap_or("?"))
                }
                DepartureScope::Build(build) => format!("build {build}"),
                DepartureScope::Fleet => "the fleet".into(),
            };
            let (number, kind) = (departure.number, departure.kind);
            let product = departure
                .class
                .and_then(|product| self.told.products.get(usize::from(product)));
            let product = product
                .map(|name| format!(" for {name}"))
                .unwrap_or_default();
            let (usual, seen) = (departure.baseline, departure.observed);
            say!(
                "timeline: departure {number}: {whom}: {kind:?}{product}, {seen:.2} where {usual:.2} is usual"
            );
        }
        if now >= open.next {
            open.next = now + BATCH;
            open.hand(now);
        }
    }

    /// All lines as one segment, in the store's own form.
    fn whole(&self, now: Duration) -> Vec<u8> {
        let mut records = self.beginning(now);
        if let Some(open) = self.open.borrow().as_ref() {
            records.extend(
                open.book
                    .agent()
                    .as_of(Duration::MAX)
                    .cloned()
                    .map(Record::Entry),
            );
            for node in open.book.nodes() {
                let Some(line) = open.book.node(node) else {
                    continue;
                };
                records.extend(line.as_of(Duration::MAX).cloned().map(Record::Entry));
                let step = |TimedStep { duration, step }: TimedStep| {
                    let latency = step.latency.as_bytes().to_vec();
                    let (from, counts) = (step.from, step.counts);
                    Record::Step(StepRecord {
                        node,
                        from,
                        duration,
                        build: 0,
                        counts,
                        latency,
                    })
                };
                records.extend(line.steps().since(Duration::ZERO).into_iter().map(step));
            }
        }
        let mut bytes = segment_format::header(now.as_secs()).to_vec();
        records
            .iter()
            .for_each(|record| segment_format::append_record(&mut bytes, record));
        bytes
    }

    /// Writes all lines where the file wants them, off the loop, by rename.
    pub fn dump(&self, now: Duration) {
        let path: Option<PathBuf> = self
            .open
            .borrow()
            .as_ref()
            .and_then(|open| open.set.dump.clone());
        let Some(path) = path else { return };
        let bytes = self.whole(now);
        replace("timeline:", path, bytes);
    }
}

/// Replaces a file by rename, off the loop, and says what became of it: a reader finds the old or the new one whole.
pub fn replace(what: &'static str, path: PathBuf, bytes: Vec<u8>) {
    std::thread::spawn(move || {
        let new = path.with_extension("new");
        match std::fs::write(&new, bytes).and_then(|()| std::fs::rename(&new, &path)) {
            Ok(()) => say!("{what} written to {}", path.display()),
            Err(fault) => say!("{what} not written to {}: {fault}", path.display()),
        }
    });
}

impl Open {
    fn hand(&mut self, now: Duration) {
        let Some(pump) = &mut self.pump else { return };
        let mut batch = std::mem::take(&mut self.behind);
        batch.extend(self.book.take_records());
        if batch.is_empty() {
            return;
        }
        match pump.submit(now, batch) {
            Submitted::Accepted => {}
            Submitted::QueueFull(mut batch) => {
                // The finest detail goes first; what is left waits for the next time.
                let all = batch.len();
                if all > WAITING {
                    batch.retain(|record| !matches!(record, Record::Step(_)));
                    batch.truncate(WAITING);
                    batch.push(Record::Dropped {
                        at: now,
                        count: (all - batch.len()) as u64,
                    });
                }
                self.behind = batch;
            }
            Submitted::Closed(why) => {
                self.pump = None;
                if let Some(why) = why {
                    say!("timeline: nothing more is kept on disk: {why}");
                }
            }
        }
    }
}
