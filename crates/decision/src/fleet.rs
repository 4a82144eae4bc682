//! What an agent has seen of the appliances that it works with, beside all that its list names. Nothing here
//! decides anything: how large the subset is, and what is left alone, comes from `brain.rs`.
use std::collections::{BTreeMap, VecDeque};
use std::time::Duration;

use crate::catalog::Catalog;
use crate::model::{
    AttemptNumber, Build, Cell, Endpoint, EndpointId, EndpointStatus, ListUpdate, Model, Outcome,
    RequestClass, RequestId, Zone,
};
use crate::state::Ratio;
use crate::subset::{Position, Side, nearest};

/// An attempt that is out, as its appliance's record has it.
pub(crate) struct Out {
    pub(crate) sent: Duration,
    pub(crate) work: f64,
    pub(crate) class: RequestClass,
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
    pub(crate) fn ended(
        &mut self,
        now: Duration,
        half: Duration,
        outcome: Outcome,
        sent: Duration,
    ) {
        if matches!(
            outcome,
            Outcome::Succeeded
                | Outcome::Rejected
                | Outcome::Failed
                | Outcome::ConnectionLost
                | Outcome::Malformed
        ) {
            self.heard = now;
            self.passed = self.passed.max(sent);
        }
        if outcome == Outcome::ConnectFailed {
            self.unlinked = Some(now);
        }
        if !matches!(outcome, Outcome::Cancelled | Outcome::NotSent) {
            self.fails.add(
                now,
                half,
                f64::from(u8::from(outcome != Outcome::Succeeded)),
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

pub(crate) struct EndpointState {
    pub(crate) endpoint: Endpoint,
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

impl EndpointState {
    pub(crate) fn new(endpoint: Endpoint, rank: Option<usize>) -> Self {
        let (record, out, pushed, part, linked) = Default::default();
        EndpointState {
            endpoint,
            record,
            out,
            pushed,
            part,
            linked,
            rank,
        }
    }

    /// Takes a new line of the list.
    fn relist(&mut self, endpoint: Endpoint) {
        if self.endpoint.started != endpoint.started || self.endpoint.build != endpoint.build {
            // Another process: what the earlier one had or did is not its own.
            (self.record, self.out) = Default::default();
        }
        self.endpoint = endpoint;
    }

    pub(crate) fn age(&self, now: Duration) -> Option<Duration> {
        self.endpoint.started.map(|s| now.saturating_sub(s))
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
        f64::from(self.endpoint.weight)
    }
}

/// For each that is wanted outside the subset, so many are looked at.
const LOOKED_AT: usize = 4;

/// The appliances that the agent's own list names: all of them as compact rows, and records of those it works
/// with. These are all as long as the list is short; else the subset, and what was of use lately beside it.
#[derive(Default)]
pub(crate) struct Fleet {
    pub(crate) used: BTreeMap<EndpointId, EndpointState>,
    pub(crate) listed: Catalog,
    /// A list of up to so many has no subset.
    pub(crate) whole_up_to: usize,
    /// Whether the records are those of a subset.
    pub(crate) split: bool,
}

impl Fleet {
    pub(crate) fn list(
        &mut self,
        update: ListUpdate,
        endpoints: &mut dyn Iterator<Item = Endpoint>,
    ) {
        let whole = matches!(update, ListUpdate::Full | ListUpdate::Cached);
        // Of what is gone nothing is kept but what is out there still.
        self.used
            .retain(|_, a| a.endpoint.status != EndpointStatus::Removed || !a.out.is_empty());
        let endpoints: Vec<Endpoint> = endpoints.collect();
        self.listed.update(whole, &endpoints);
        self.split_or_join();
        self.relist(endpoints);
        if whole {
            let listed = &self.listed;
            let gone = self
                .used
                .iter_mut()
                .filter(|(id, _)| listed.get(**id).is_none());
            gone.for_each(|(_, a)| a.endpoint.status = EndpointStatus::Removed);
        }
    }

    /// Takes the lines into the records: without a subset, each has one.
    fn relist(&mut self, endpoints: Vec<Endpoint>) {
        if self.split && endpoints.len() > self.used.len() {
            for (id, a) in &mut self.used {
                match self.listed.get(*id) {
                    Some(endpoint) => a.relist(*endpoint),
                    None => a.endpoint.status = EndpointStatus::Removed,
                }
            }
            return;
        }
        for endpoint in endpoints {
            if !self.split {
                self.used
                    .entry(endpoint.id)
                    .or_insert_with(|| EndpointState::new(endpoint, Some(0)));
            }
            if let Some(a) = self.used.get_mut(&endpoint.id) {
                a.relist(endpoint);
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
            for endpoint in self.listed.rows() {
                let a = self
                    .used
                    .entry(endpoint.id)
                    .or_insert_with(|| EndpointState::new(*endpoint, None));
                a.rank = Some(0);
            }
        }
    }

    /// Makes these the members of the subset, each with its rank, and drops the records of others but those
    /// to be kept. Returns what was dropped with a connection that may be open.
    pub(crate) fn choose_members(
        &mut self,
        members: &[Vec<EndpointId>; 2],
        keep: impl Fn(&EndpointState) -> bool,
    ) -> Vec<EndpointId> {
        self.used.values_mut().for_each(|a| a.rank = None);
        for (rank, id) in members.iter().flat_map(|arm| arm.iter().enumerate()) {
            if let Some(endpoint) = self.listed.get(*id) {
                let a = self
                    .used
                    .entry(*id)
                    .or_insert_with(|| EndpointState::new(*endpoint, None));
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
    pub(crate) fn unlink_idle(&mut self) -> Vec<EndpointId> {
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
    pub(crate) fn middle(&self, value: impl Fn(&EndpointState) -> f64) -> Option<f64> {
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
    ) -> Vec<Endpoint> {
        if !self.split {
            return Vec::new();
        }
        let member = |endpoint: &&Endpoint| {
            self.used
                .get(&endpoint.id)
                .is_some_and(|a| a.rank.is_some())
        };
        if let Some(cell) = cell {
            let endpoints = self
                .listed
                .in_cell(cell, drawn.0 as usize)
                .take(many * LOOKED_AT);
            let others = endpoints
                .filter(|endpoint| !member(endpoint) && admits(endpoint.build, endpoint.zone));
            return others.take(many).copied().collect();
        }
        let fits = |b: Build, z: Zone| zone.is_none_or(|zone| zone == z) && admits(b, z);
        let rings = self
            .listed
            .pools()
            .filter(|(b, z, _)| fits(*b, *z))
            .map(|(.., pool)| pool.ring());
        let ids = nearest(rings, drawn, Side::After).take(many * LOOKED_AT);
        let endpoints = ids
            .inspect(|_| self.listed.visit(1))
            .filter_map(|id| self.listed.get(id));
        endpoints
            .filter(|endpoint| !member(endpoint))
            .take(many)
            .copied()
            .collect()
    }

    /// What the list says of an appliance, as the record of it has it, if there is one.
    pub(crate) fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.used
            .get(&id)
            .map(|a| &a.endpoint)
            .or_else(|| self.listed.get(id))
    }

    /// All that have a record; each walk is counted.
    pub(crate) fn walk(&self) -> impl Iterator<Item = (&EndpointId, &EndpointState)> {
        self.listed.visit(self.used.len());
        self.used.iter()
    }

    /// Those with a record that are ready.
    pub(crate) fn ready(&self) -> impl Iterator<Item = (EndpointId, &EndpointState)> {
        self.walk()
            .filter(|(_, a)| a.endpoint.status == EndpointStatus::Ready)
            .map(|(&id, a)| (id, a))
    }

    /// How many others run this build, and the sum of their shares of failures.
    pub(crate) fn mates(
        &self,
        now: Duration,
        half: Duration,
        at: EndpointId,
        build: Build,
    ) -> (f64, f64) {
        let mates = self
            .ready()
            .filter(|(id, a)| *id != at && a.endpoint.build == build);
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
        for (_, a) in self.ready().filter(|(_, a)| a.endpoint.build < build) {
            let (took, worked) = a.record.usual.read(now, half);
            let sum = sums.entry(a.endpoint.model).or_default();
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
