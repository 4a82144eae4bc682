//! Owns all lines, and takes what an agent hears and decides. It bounds them: each line, and all together whatever ids
//! come and go; what is dropped for it is counted. Records for a store wait here in a bounded queue, from which the
//! finest detail goes first. It must never change what it is told of, nor ask for anything.
use std::collections::{BTreeMap, HashMap, VecDeque};
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Endpoint as Listed, EndpointId, EndpointStatus, ListUpdate, Note,
    Outcome, ReleasePhase, RequestClass, RequestId, Stage, Vote,
};

use crate::entry::{Departure, DepartureScope, Entry, Event, Record, StepRecord};
use crate::line::Line;
use crate::steps::{LEVELS, Step};
use crate::watch::{Aims, Ended, TICK, Watch};

/// What is set.
#[derive(Clone, Copy, Debug)]
pub struct Room {
    /// Octets that all lines may hold.
    pub octets: usize,
    /// Records that wait for the store at most; none are kept where it is 0.
    pub records: usize,
}

/// An attempt that is out.
struct Out {
    node: u32,
    product: u8,
}

pub struct Book {
    room: Room,
    watch: Watch,
    lines: BTreeMap<u32, (Line, Listed, usize)>,
    /// What concerns no node: stages, votes, the agent itself.
    own: Line,
    out: HashMap<(u32, u8), Out>,
    products: HashMap<u32, u8>,
    given_up: BTreeMap<&'static str, u32>,
    next_tick: Duration,
    records: VecDeque<Record>,
    /// Records left out since the last one that says so, and entries and lines dropped for memory.
    left_out: u64,
    dropped: u64,
    said: Vec<(Departure, bool)>,
    figures: String,
}

fn course(course: ReleasePhase) -> &'static str {
    match course {
        ReleasePhase::Canary => "on-trial",
        ReleasePhase::RollingBack => "going-back",
        ReleasePhase::Released => "released",
        ReleasePhase::Withdrawn => "withdrawn",
    }
}

impl Book {
    pub fn new(now: Duration, aims: Aims, room: Room) -> Self {
        let (lines, out, products, given_up, records, left_out, dropped, said, figures) =
            Default::default();
        let (watch, own, next_tick) = (Watch::new(aims), Line::new(now), now);
        Book {
            room,
            watch,
            lines,
            own,
            out,
            products,
            given_up,
            next_tick,
            records,
            left_out,
            dropped,
            said,
            figures,
        }
    }

    /// A list, whole or as changes; `lines` are its entries.
    pub fn membership(&mut self, now: Duration, listing: ListUpdate, lines: &[Listed]) {
        if matches!(listing, ListUpdate::Full | ListUpdate::Cached) {
            let gone: Vec<u32> = self
                .lines
                .iter()
                .filter(|(_, l)| l.1.status != EndpointStatus::Removed)
                .map(|(n, _)| *n)
                .collect();
            for node in gone
                .into_iter()
                .filter(|node| !lines.iter().any(|line| line.id.0 == *node))
            {
                let mut line = self.lines[&node].1;
                line.status = EndpointStatus::Removed;
                self.listed(now, line);
            }
        }
        lines.iter().for_each(|line| self.listed(now, *line));
    }

    fn listed(&mut self, now: Duration, line: Listed) {
        let node = line.id.0;
        let known = self
            .lines
            .get(&node)
            .map(|(_, known, _)| (known.status, known.build, known.started));
        if known == Some((line.status, line.build, line.started)) {
            return;
        }
        self.lines
            .entry(node)
            .or_insert_with(|| (Line::new(now), line, 0))
            .1 = line;
        // It happened when its process started, if that is news; else nobody knows better than now.
        let restarted =
            known.is_none_or(|(_, build, started)| (build, started) != (line.build, line.started));
        let happened = line
            .started
            .filter(|_| restarted)
            .map_or(now, |started| started.min(now));
        let state = match line.status {
            EndpointStatus::Ready => "ready",
            EndpointStatus::Draining => "draining",
            EndpointStatus::Removed => "gone",
        };
        let event = Event::Listed {
            state: state.into(),
            build: line.build.0,
            started: line.started,
        };
        self.put(Entry {
            happened,
            known: now,
            node: Some(node),
            event,
        });
        if line.status == EndpointStatus::Removed {
            self.watch.gone(now, node);
        } else {
            self.watch.listed(now, node, line.build.0, line.started);
        }
        self.bound();
    }

    /// Where the build on trial stands.
    pub fn stage(
        &mut self,
        now: Duration,
        build: Build,
        stage: Stage,
        to: ReleasePhase,
        age: Duration,
    ) {
        let happened = now.saturating_sub(age);
        let event = Event::Stage {
            build: build.0,
            stage: stage.0,
            phase: course(to).into(),
        };
        let last = self
            .own
            .as_of(Duration::MAX)
            .filter(|entry| matches!(entry.event, Event::Stage { .. }))
            .last();
        if last.is_some_and(|entry| entry.event == event) {
            return;
        }
        self.put(Entry {
            happened,
            known: now,
            node: None,
            event,
        });
        if to == ReleasePhase::Canary {
            self.watch.staged(build.0, stage.0, happened);
        }
    }

    pub fn request(&mut self, id: RequestId, product: RequestClass) {
        self.products.insert(id.0, product.0);
    }

    /// An attempt goes out.
    pub fn attempt(
        &mut self,
        now: Duration,
        id: RequestId,
        attempt: AttemptNumber,
        to: EndpointId,
    ) {
        let product = self.products.get(&id.0).copied().unwrap_or_default();
        self.out.insert(
            (id.0, attempt.0),
            Out {
                node: to.0,
                product,
            },
        );
        self.watch.sent(now, to.0, (id.0, attempt.0));
        self.count(now, to.0, |counts| {
            counts.attempts += 1;
            let out = counts.attempts.saturating_sub(counts.ended());
            counts.max_in_flight = counts.max_in_flight.max(out);
        });
    }

    /// An attempt has ended; `closed` says that its request has, too.
    pub fn ended(
        &mut self,
        now: Duration,
        (id, attempt): (RequestId, AttemptNumber),
        at: EndpointId,
        ending: Outcome,
        took: Duration,
        closed: bool,
    ) {
        let product = match self.out.remove(&(id.0, attempt.0)) {
            Some(out) => out.product,
            None => self.products.get(&id.0).copied().unwrap_or_default(),
        };
        if closed {
            self.products.remove(&id.0);
        }
        let how = match ending {
            Outcome::Succeeded => Ended::Served,
            Outcome::Failed | Outcome::Malformed => Ended::Failed,
            Outcome::Rejected => Ended::TurnedAway,
            Outcome::ConnectFailed | Outcome::ConnectionLost => Ended::Unlinked,
            Outcome::TimedOut | Outcome::Cancelled => Ended::Unanswered,
            Outcome::NotSent => Ended::Unsent,
        };
        let late = self
            .watch
            .ended(now, at.0, (id.0, attempt.0), product, how, took);
        self.count(now, at.0, |counts| {
            match how {
                Ended::Served => counts.succeeded += 1,
                Ended::Failed => counts.failed += 1,
                Ended::TurnedAway => counts.rejected += 1,
                Ended::Unlinked => counts.connection_errors += 1,
                Ended::Unanswered => counts.timed_out += 1,
                Ended::Unsent => {}
            }
            counts.late += u32::from(late);
        });
        if how == Ended::Served
            && let Some((line, ..)) = self.lines.get_mut(&at.0)
        {
            line.steps.took(took);
        }
    }

    /// A request has had its final answer, or its client has left.
    pub fn closed(&mut self, id: RequestId) {
        self.products.remove(&id.0);
    }

    /// What the module notes by the way.
    pub fn note(&mut self, now: Duration, note: Note) {
        let at = |node: EndpointId, event| Entry {
            happened: now,
            known: now,
            node: Some(node.0),
            event,
        };
        match note {
            Note::Ejected {
                endpoint: node,
                reason: why,
                until,
            } => self.put(at(
                node,
                Event::Ejected {
                    reason: why.into(),
                    until,
                },
            )),
            Note::Tried(node) => self.put(at(node, Event::Probed)),
            Note::Readmitted(node) => self.put(at(node, Event::Readmitted)),
            Note::GivenUp(why) => *self.given_up.entry(why).or_default() += 1,
        }
    }

    pub fn called_off(&mut self, now: Duration, id: RequestId, attempt: AttemptNumber) {
        if let Some(out) = self.out.get(&(id.0, attempt.0)) {
            let event = Event::Cancelled { class: out.product };
            let entry = Entry {
                happened: now,
                known: now,
                node: Some(out.node),
                event,
            };
            self.put(entry);
        }
    }

    /// What the module says in words; the last before a vote holds its figures.
    pub fn words(&mut self, text: &str) {
        self.figures = text.into();
    }

    pub fn vote(&mut self, now: Duration, build: Build, stage: Stage, verdict: Vote) {
        let verdict = match verdict {
            Vote::Retract => "withdraw",
            Vote::Advance => "on",
            Vote::Hold => "hold",
            Vote::RollBack => "back",
        };
        let figures = std::mem::take(&mut self.figures);
        let event = Event::Vote {
            build: build.0,
            stage: stage.0,
            vote: verdict.into(),
            figures,
        };
        self.put(Entry {
            happened: now,
            known: now,
            node: None,
            event,
        });
    }

    /// When [`Book::advance`] is due.
    pub fn next(&self) -> Duration {
        self.next_tick
    }

    /// Time has passed.
    pub fn advance(&mut self, now: Duration) {
        if now < self.next_tick {
            return;
        }
        self.next_tick = now + TICK;
        if let Some(long) = self.watch.tick(now) {
            let happened = now.saturating_sub(long);
            self.put(Entry {
                happened,
                known: now,
                node: None,
                event: Event::Paused { duration: long },
            });
        }
        for (why, many) in std::mem::take(&mut self.given_up) {
            let event = Event::GivenUp {
                reason: why.into(),
                count: many,
            };
            self.put(Entry {
                happened: now,
                known: now,
                node: None,
                event,
            });
        }
        for (departure, begins) in self.watch.said() {
            let node = if let DepartureScope::Node(node) = departure.scope {
                Some(node)
            } else {
                None
            };
            let happened = if begins { departure.onset } else { now };
            let event = if begins {
                Event::DepartureBegan(departure.clone())
            } else {
                Event::DepartureEnded(departure.clone())
            };
            self.put(Entry {
                happened,
                known: now,
                node,
                event,
            });
            self.said.push((departure, begins));
        }
        // Steps end by time, too.
        let nodes: Vec<u32> = self.lines.keys().copied().collect();
        for node in nodes {
            self.count(now, node, |_| {});
        }
    }

    /// Departures that were confirmed (true) or have ended since the last look.
    pub fn said(&mut self) -> Vec<(Departure, bool)> {
        std::mem::take(&mut self.said)
    }

    fn count(
        &mut self,
        now: Duration,
        node: u32,
        count: impl FnOnce(&mut crate::entry::AttemptCounts),
    ) {
        let Some((line, listed, octets)) = self.lines.get_mut(&node) else {
            return;
        };
        let mut ended: Option<Step> = None;
        count(line.steps.now(now, &mut |step| ended = Some(step.clone())));
        if let Some(step) = ended {
            line.touched = now;
            *octets = line.octets();
            let record = StepRecord {
                node,
                from: step.from,
                duration: LEVELS[0].long,
                build: listed.build.0,
                counts: step.counts,
                latency: step.latency.octets().to_vec(),
            };
            self.record(now, Record::Step(record));
        }
    }

    fn put(&mut self, entry: Entry) {
        self.record(entry.known, Record::Entry(entry.clone()));
        let line = match entry.node {
            Some(node) => match self.lines.get_mut(&node) {
                Some((line, ..)) => line,
                None => return,
            },
            None => &mut self.own,
        };
        let before = line.dropped;
        line.put(entry);
        self.dropped += line.dropped - before;
    }

    /// Queues a record; where there is no room, the finest detail goes first, and is counted.
    fn record(&mut self, now: Duration, record: Record) {
        if self.room.records == 0 {
            return;
        }
        if self.records.len() >= self.room.records {
            let fine = self
                .records
                .iter()
                .position(|record| matches!(record, Record::Step(_)));
            match (fine, &record) {
                (Some(at), Record::Entry(_)) => drop(self.records.remove(at)),
                _ => {
                    self.left_out += 1;
                    return;
                }
            }
            self.left_out += 1;
        } else if self.left_out > 0 && self.records.len() + 1 < self.room.records {
            let many = std::mem::take(&mut self.left_out);
            self.records.push_back(Record::Dropped {
                at: now,
                count: many,
            });
        }
        self.records.push_back(record);
    }

    /// Records for the store, in their order.
    pub fn records(&mut self) -> Vec<Record> {
        self.records.drain(..).collect()
    }

    /// Keeps all lines within their room: the one that has been quiet longest goes, those that are gone first.
    fn bound(&mut self) {
        let each = self.watch.octets_a_node();
        let mut sum: usize = self
            .lines
            .values()
            .map(|(.., octets)| octets.max(&(1 << 14)) + each)
            .sum();
        while sum > self.room.octets && self.lines.len() > 1 {
            let quiet = |(_, (line, listed, _)): &(&u32, &(Line, Listed, usize))| {
                (listed.status != EndpointStatus::Removed, line.touched)
            };
            let Some(node) = self.lines.iter().min_by_key(quiet).map(|(node, _)| *node) else {
                return;
            };
            if let Some((line, _, octets)) = self.lines.remove(&node) {
                self.dropped += 1 + line.as_of(Duration::MAX).count() as u64;
                sum -= octets.max(1 << 14) + each;
                self.watch.gone(Duration::ZERO, node);
            }
        }
    }

    /// Entries and lines dropped for memory.
    pub fn dropped(&self) -> u64 {
        self.dropped
    }

    /// About how many octets all lines hold.
    pub fn octets(&self) -> usize {
        let each = self.watch.octets_a_node();
        self.lines
            .values()
            .map(|(line, ..)| line.octets() + each)
            .sum::<usize>()
            + self.own.octets()
    }

    pub fn nodes(&self) -> impl Iterator<Item = u32> {
        self.lines.keys().copied()
    }

    pub fn line(&self, node: u32) -> Option<&Line> {
        self.lines.get(&node).map(|(line, ..)| line)
    }

    /// What concerns no node.
    pub fn own(&self) -> &Line {
        &self.own
    }

    /// Departures that go on.
    pub fn open(&self) -> impl Iterator<Item = &Departure> {
        self.watch.open()
    }
}
