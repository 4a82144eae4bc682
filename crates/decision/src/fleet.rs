//! What an agent has seen of the appliances that it works with, beside all that its list names. Nothing here
//! decides anything: how large the subset is, and what is left alone, comes from `brain.rs`.
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::catalog::Catalog;
use crate::port::*;
use crate::state::Ratio;
use crate::subset::{Position, Side, nearest};

/// An attempt that is out, as its appliance's record has it.
pub(crate) struct Out {
    pub(crate) sent: Duration,
    pub(crate) work: f64,
    pub(crate) product: Product,
    pub(crate) build: Build,
    /// Slow as it may be cold, and not to be taken as evidence at all.
    pub(crate) young: bool,
    pub(crate) mute: bool,
}

/// What this agent has seen of an appliance since it last started.
#[derive(Default)]
pub(crate) struct Record {
    /// Failures, and answers of any kind.
    pub(crate) fails: Ratio,
    /// Time taken and hinted work of served attempts: of late, and in the long run.
    pub(crate) recent: Ratio,
    pub(crate) usual: Ratio,
    /// Its last sign of life, and when the latest of the attempts it has answered was sent.
    pub(crate) heard: Duration,
    pub(crate) passed: Duration,
    /// When an attempt last found no connection there.
    pub(crate) unlinked: Option<Duration>,
    /// While above 0 it is barred, and may not even be tried until the time beside it.
    pub(crate) bar: Duration,
    pub(crate) barred_until: Duration,
}

impl Record {
    /// Notes how an attempt ended that was sent then.
    pub(crate) fn ended(&mut self, now: Duration, half: Duration, ending: Ending, sent: Duration) {
        if matches!(
            ending,
            Ending::Served | Ending::TurnedAway | Ending::Failed | Ending::Broken | Ending::Spoilt
        ) {
            self.heard = now;
            self.passed = self.passed.max(sent);
        }
        if ending == Ending::Unconnected {
            self.unlinked = Some(now);
        }
        if !matches!(ending, Ending::CalledOff | Ending::Unsent) {
            self.fails.add(
                now,
                half,
                f64::from(u8::from(ending != Ending::Served)),
                1.0,
            );
        }
    }

    pub(crate) fn served(
        &mut self,
        now: Duration,
        halves: (Duration, Duration),
        took: Duration,
        work: f64,
    ) {
        self.recent.add(now, halves.0, took.as_secs_f64(), work);
        self.usual.add(now, halves.1, took.as_secs_f64(), work);
    }
}

pub(crate) struct Appliance {
    pub(crate) line: Line,
    pub(crate) record: Record,
    pub(crate) out: BTreeMap<(RequestId, AttemptNumber), Out>,
    /// Work sent while it may be cold.
    pub(crate) pushed: VecDeque<(Duration, f64)>,
    /// What part of the agent's requests would go there.
    pub(crate) part: f64,
    /// Whether a connection there may be open.
    pub(crate) linked: bool,
    /// Its place in the subset, if it is a member; all have the first place where there is none.
    pub(crate) rank: Option<usize>,
}

impl Appliance {
    pub(crate) fn new(line: Line, rank: Option<usize>) -> Self {
        let (record, out, pushed, part, linked) = Default::default();
        Appliance {
            line,
            record,
            out,
            pushed,
            part,
            linked,
            rank,
        }
    }

    /// Takes a new line of the list.
    fn relist(&mut self, line: Line) {
        if self.line.started != line.started || self.line.build != line.build {
            // Another process: what the earlier one had or did is not its own.
            (self.record, self.out) = Default::default();
        }
        self.line = line;
    }

    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.line.started.map(|s| now.saturating_sub(s))
    }

    /// Notes what is sent there, and forgets what was before this span.
    pub(crate) fn sent(
        &mut self,
        now: Duration,
        span: Duration,
        which: (RequestId, AttemptNumber),
        out: Out,
    ) {
        self.pushed.retain(|(t, _)| *t + span >= now);
        self.pushed.push_back((now, out.work));
        self.linked = true;
        self.out.insert(which, out);
    }

    pub(crate) fn pushed(&self, now: Duration, span: Duration) -> f64 {
        self.pushed
            .iter()
            .filter(|(t, _)| *t + span >= now)
            .map(|(_, w)| w)
            .sum()
    }

    pub(crate) fn barred(&self) -> bool {
        !self.record.bar.is_zero()
    }

    /// When the oldest of several attempts out was sent, if nothing came from there since.
    pub(crate) fn unheard_since(&self) -> Option<Duration> {
        let oldest = self.out.values().map(|o| o.sent).min();
        oldest.filter(|&o| self.out.len() > 1 && self.record.heard < o)
    }

    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.line.weight)
    }
}

/// For each that is wanted outside the subset, so many are looked at.
const LOOKED_AT: usize = 4;

/// The appliances that the agent's own list names: all of them as compact rows, and records of those it works
/// with. These are all as long as the list is short; else the subset, and what was of use lately beside it.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) used: BTreeMap<ApplianceId, Appliance>,
    pub(crate) listed: Catalog,
    /// A list of up to so many has no subset.
    pub(crate) whole_up_to: usize,
    /// Whether the records are those of a subset.
    pub(crate) split: bool,
}

impl Fleet {
    pub(crate) fn list(&mut self, listing: Listing, lines: &mut dyn Iterator<Item = Line>) {
        let whole = matches!(listing, Listing::Whole | Listing::Saved);
        // Of what is gone nothing is kept but what is out there still.
        self.used
            .retain(|_, a| a.line.mode != Mode::Gone || !a.out.is_empty());
        let lines: Vec<Line> = lines.collect();
        self.listed.update(whole, &lines);
        self.split_or_join();
        self.relist(lines);
        if whole {
            let listed = &self.listed;
            let gone = self
                .used
                .iter_mut()
                .filter(|(id, _)| listed.get(**id).is_none());
            gone.for_each(|(_, a)| a.line.mode = Mode::Gone);
        }
    }

    /// Takes the lines into the records: without a subset, each has one.
    fn relist(&mut self, lines: Vec<Line>) {
        if self.split && lines.len() > self.used.len() {
            for (id, a) in &mut self.used {
                match self.listed.get(*id) {
                    Some(line) => a.relist(*line),
                    None => a.line.mode = Mode::Gone,
                }
            }
            return;
        }
        for line in lines {
            if !self.split {
                self.used
                    .entry(line.appliance)
                    .or_insert_with(|| Appliance::new(line, Some(0)));
            }
            if let Some(a) = self.used.get_mut(&line.appliance) {
                a.relist(line);
            }
        }
    }

    /// A list that grows long gets a subset, and keeps it until it is shorter by a quarter: at the border,
    /// one appliance more or less would else move all homes.
    fn split_or_join(&mut self) {
        let many = self.listed.len();
        let was = self.split;
        self.split = many > self.whole_up_to || (was && many * 4 > self.whole_up_to * 3);
        if was && !self.split {
            for line in self.listed.rows() {
                let a = self
                    .used
                    .entry(line.appliance)
                    .or_insert_with(|| Appliance::new(*line, None));
                a.rank = Some(0);
            }
        }
    }

    /// Makes these the members of the subset, each with its rank, and drops the records of others but those
    /// to be kept. Returns what was dropped with a connection that may be open.
    pub(crate) fn choose_members(
        &mut self,
        members: &[Vec<ApplianceId>; 2],
        keep: impl Fn(&Appliance) -> bool,
    ) -> Vec<ApplianceId> {
        self.used.values_mut().for_each(|a| a.rank = None);
        for (rank, id) in members.iter().flat_map(|arm| arm.iter().enumerate()) {
            if let Some(line) = self.listed.get(*id) {
                let a = self
                    .used
                    .entry(*id)
                    .or_insert_with(|| Appliance::new(*line, None));
                a.rank = Some(rank);
            }
        }
        let mut left = Vec::new();
        self.used.retain(|id, a| {
            let stays = a.rank.is_some() || keep(a);
            left.extend((!stays && a.linked).then_some(*id));
            stays
        });
        left
    }

    /// Notes that the connections of all that have nothing out are given back, and which these are.
    pub(crate) fn unlink_idle(&mut self) -> Vec<ApplianceId> {
        let idle = self
            .used
            .iter_mut()
            .filter(|(_, a)| a.linked && a.out.is_empty());
        let unlinked = idle.map(|(id, a)| {
            a.linked = false;
            *id
        });
        unlinked.collect()
    }

    /// The middle one of all ready appliances' values.
    pub(crate) fn middle(&self, value: impl Fn(&Appliance) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self.ready().map(|(_, a)| value(a)).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }

    /// Up to so many ready ones outside the subset, of a zone, a cell or all, from a drawn place on.
    pub(crate) fn others(
        &self,
        (zone, cell): (Option<Zone>, Option<Cell>),
        drawn: Position,
        many: usize,
        admits: impl Fn(Build, Zone) -> bool,
    ) -> Vec<Line> {
        if !self.split {
            return Vec::new();
        }
        let member = |line: &&Line| {
            self.used
                .get(&line.appliance)
                .is_some_and(|a| a.rank.is_some())
        };
        if let Some(cell) = cell {
            let lines = self
                .listed
                .in_cell(cell, drawn.0 as usize)
                .take(many * LOOKED_AT);
            let others = lines.filter(|line| !member(line) && admits(line.build, line.zone));
            return others.take(many).copied().collect();
        }
        let fits = |b: Build, z: Zone| zone.is_none_or(|zone| zone == z) && admits(b, z);
        let rings = self
            .listed
            .pools()
            .filter(|(b, z, _)| fits(*b, *z))
            .map(|(.., pool)| pool.ring());
        let ids = nearest(rings, drawn, Side::After).take(many * LOOKED_AT);
        let lines = ids
            .inspect(|_| self.listed.visit(1))
            .filter_map(|id| self.listed.get(id));
        lines
            .filter(|line| !member(line))
            .take(many)
            .copied()
            .collect()
    }

    /// What the list says of an appliance, as the record of it has it, if there is one.
    pub(crate) fn line(&self, id: ApplianceId) -> Option<&Line> {
        self.used
            .get(&id)
            .map(|a| &a.line)
            .or_else(|| self.listed.get(id))
    }

    /// All that have a record; each walk is counted.
    pub(crate) fn walk(&self) -> impl Iterator<Item = (&ApplianceId, &Appliance)> {
        self.listed.visit(self.used.len());
        self.used.iter()
    }

    /// Those with a record that are ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (ApplianceId, &Appliance)> {
        self.walk()
            .filter(|(_, a)| a.line.mode == Mode::Ready)
            .map(|(&id, a)| (id, a))
    }

    /// How many others run this build, and the sum of their shares of failures.
    pub(crate) fn mates(
        &self,
        now: Duration,
        half: Duration,
        at: ApplianceId,
        build: Build,
    ) -> (f64, f64) {
        let mates = self
            .ready()
            .filter(|(id, a)| *id != at && a.line.build == build);
        mates.fold((0.0, 0.0), |(n, s), (_, a)| {
            (n + 1.0, s + a.record.fails.share(now, half, 1.0))
        })
    }

    /// The usual pace of each model at builds before this one.
    pub(crate) fn paces(
        &self,
        now: Duration,
        half: Duration,
        build: Build,
    ) -> BTreeMap<Model, f64> {
        let mut sums = BTreeMap::<Model, (f64, f64)>::new();
        for (_, a) in self.ready().filter(|(_, a)| a.line.build < build) {
            let (took, worked) = a.record.usual.read(now, half);
            let sum = sums.entry(a.line.model).or_default();
            *sum = (sum.0 + took, sum.1 + worked);
        }
        sums.into_iter()
            .filter(|(_, s)| s.1 > 0.0)
            .map(|(m, s)| (m, s.0 / s.1))
            .collect()
    }

    /// How many attempts are out, but for those at barred appliances.
    pub(crate) fn out(&self) -> usize {
        self.walk()
            .filter(|(_, a)| !a.barred())
            .map(|(_, a)| a.out.len())
            .sum()
    }

    /// Time taken for each unit of hinted work in the long run.
    pub(crate) fn pace(&self, now: Duration, half: Duration) -> Option<f64> {
        let taken = self.ready().map(|(_, a)| a.record.usual.read(now, half));
        let (took, worked) = taken.fold((0.0, 0.0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        (worked > 0.0).then(|| took / worked)
    }
}
