//! The endpoints of the agent's own list: all of them as rows of the catalog, and records of those that it
//! works with. These are all while the list is short; else the subset, and what was used of late beside it.
use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_sum::Fraction;
use super::endpoint_catalog::EndpointCatalog;
use super::endpoint_record::EndpointRecord;
use super::half_lives::BASELINE;
use super::hash_ring::{Position, Side, nearest};
use crate::model::{
    Build, Confinement, Endpoint, EndpointId, EndpointStatus, ListUpdate, MachineModel, PerArm,
    Zone,
};

/// So many endpoints are looked at for each that is wanted outside the subset.
const EXAMINED_PER_WANTED: usize = 4;

/// The failure shares of an endpoint's peers: the others that run its build.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct PeerFailures {
    pub(crate) peer_count: f64,
    pub(crate) failure_share_sum: f64,
}

/// The endpoints of the agent's own list.
#[derive(Debug)]
pub(crate) struct EndpointTable {
    pub(crate) records: BTreeMap<EndpointId, EndpointRecord>,
    pub(crate) catalog: EndpointCatalog,
    /// A list of up to so many endpoints has no subset.
    max_without_subset: usize,
    /// Whether the records are those of a subset.
    pub(crate) has_subset: bool,
}

impl EndpointTable {
    pub(crate) fn new(max_without_subset: usize) -> Self {
        EndpointTable {
            records: BTreeMap::new(),
            catalog: EndpointCatalog::default(),
            max_without_subset,
            has_subset: false,
        }
    }

    /// Applies an update of the endpoint list.
    pub(crate) fn update(
        &mut self,
        update: ListUpdate,
        endpoints: &mut dyn Iterator<Item = Endpoint>,
    ) {
        let is_full = matches!(update, ListUpdate::Full | ListUpdate::Cached);
        // Of what is gone only outstanding attempts are kept.
        self.records.retain(|_, record| {
            record.endpoint.status != EndpointStatus::Removed || !record.outstanding.is_empty()
        });
        let endpoints: Vec<Endpoint> = endpoints.collect();
        self.catalog.update(is_full, &endpoints);
        self.begin_or_end_subset();
        self.update_records(endpoints);
        if is_full {
            for (id, record) in &mut self.records {
                if self.catalog.get(*id).is_none() {
                    record.endpoint.status = EndpointStatus::Removed;
                }
            }
        }
    }

    /// Puts the entries into the records: without a subset, each has one.
    fn update_records(&mut self, endpoints: Vec<Endpoint>) {
        if self.has_subset && endpoints.len() > self.records.len() {
            for (id, record) in &mut self.records {
                match self.catalog.get(*id) {
                    Some(endpoint) => record.update(*endpoint),
                    None => record.endpoint.status = EndpointStatus::Removed,
                }
            }
            return;
        }
        for endpoint in endpoints {
            if !self.has_subset {
                self.records
                    .entry(endpoint.id)
                    .or_insert_with(|| EndpointRecord::new(endpoint, Some(0)));
            }
            if let Some(record) = self.records.get_mut(&endpoint.id) {
                record.update(endpoint);
            }
        }
    }

    /// A list that grows long gets a subset, and keeps it until it is shorter by a quarter: at the border, one
    /// endpoint more or less would otherwise move all assigned endpoints.
    fn begin_or_end_subset(&mut self) {
        let count = self.catalog.len();
        let had_subset = self.has_subset;
        self.has_subset = count > self.max_without_subset
            || (had_subset && count * 4 > self.max_without_subset * 3);
        if had_subset && !self.has_subset {
            for endpoint in self.catalog.rows() {
                let record = self
                    .records
                    .entry(endpoint.id)
                    .or_insert_with(|| EndpointRecord::new(*endpoint, None));
                record.rank = Some(0);
            }
        }
    }

    /// Makes these the members of the subset, each with its rank, and drops the records of others but those
    /// to be kept. Returns what was dropped and may have an open connection.
    pub(crate) fn set_members(
        &mut self,
        members: PerArm<&[EndpointId]>,
        keep: impl Fn(&EndpointRecord) -> bool,
    ) -> Vec<EndpointId> {
        self.records
            .values_mut()
            .for_each(|record| record.rank = None);
        let ranked = members.iter().flat_map(|arm| arm.iter().enumerate());
        for (rank, id) in ranked {
            if let Some(endpoint) = self.catalog.get(*id) {
                let record = self
                    .records
                    .entry(*id)
                    .or_insert_with(|| EndpointRecord::new(*endpoint, None));
                record.rank = Some(rank);
            }
        }
        let mut removed = Vec::new();
        self.records.retain(|id, record| {
            let is_kept = record.rank.is_some() || keep(record);
            removed.extend((!is_kept && record.may_be_connected).then_some(*id));
            is_kept
        });
        removed
    }

    /// Marks all endpoints without an outstanding attempt as not connected; returns which of them may have had a
    /// connection.
    pub(crate) fn disconnect_idle(&mut self) -> Vec<EndpointId> {
        let idle = self
            .records
            .iter_mut()
            .filter(|(_, record)| record.may_be_connected && record.outstanding.is_empty());
        let disconnected = idle.map(|(id, record)| {
            record.may_be_connected = false;
            *id
        });
        disconnected.collect()
    }

    /// The median of all ready endpoints' values.
    pub(crate) fn median(&self, value: impl Fn(&EndpointRecord) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self.ready().map(value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }

    /// Up to `wanted` ready endpoints outside the subset that a request may go to, from a random position on.
    pub(crate) fn outside_subset(
        &self,
        confinement: Confinement,
        from: Position,
        wanted: usize,
        admits: impl Fn(Build, Zone) -> bool,
    ) -> Vec<Endpoint> {
        if !self.has_subset {
            return Vec::new();
        }
        let Confinement { zone, cell } = confinement;
        let is_member = |endpoint: &&Endpoint| {
            self.records
                .get(&endpoint.id)
                .is_some_and(|record| record.rank.is_some())
        };
        if let Some(cell) = cell {
            let endpoints = self
                .catalog
                .in_cell(cell, from.0 as usize)
                .take(wanted * EXAMINED_PER_WANTED);
            let others = endpoints
                .filter(|endpoint| !is_member(endpoint) && admits(endpoint.build, endpoint.zone));
            return others.take(wanted).copied().collect();
        }
        let fits = |build: Build, other: Zone| {
            zone.is_none_or(|zone| zone == other) && admits(build, other)
        };
        let rings = self
            .catalog
            .pools()
            .filter(|(build, zone, _)| fits(*build, *zone))
            .map(|(.., pool)| pool.ring());
        let ids = nearest(rings, from, Side::After).take(wanted * EXAMINED_PER_WANTED);
        let endpoints = ids
            .inspect(|_| self.catalog.count_visits(1))
            .filter_map(|id| self.catalog.get(id));
        endpoints
            .filter(|endpoint| !is_member(endpoint))
            .take(wanted)
            .copied()
            .collect()
    }

    /// The entry of an endpoint, as its record has it, if there is one, or else the list.
    pub(crate) fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.records
            .get(&id)
            .map(|record| &record.endpoint)
            .or_else(|| self.catalog.get(id))
    }

    /// Whether an endpoint has a record and is ejected.
    pub(crate) fn is_ejected(&self, id: EndpointId) -> bool {
        self.records
            .get(&id)
            .is_some_and(EndpointRecord::is_ejected)
    }

    /// All records; each walk is counted.
    pub(crate) fn walk(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.catalog.count_visits(self.records.len());
        self.records.values()
    }

    /// The records of ready endpoints.
    pub(crate) fn ready(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.walk()
            .filter(|record| record.endpoint.status == EndpointStatus::Ready)
    }

    /// The failure shares of the other endpoints that run a build.
    pub(crate) fn peer_failures(
        &self,
        now: Duration,
        endpoint: EndpointId,
        build: Build,
    ) -> PeerFailures {
        let peers = self
            .ready()
            .filter(|record| record.id() != endpoint && record.endpoint.build == build);
        peers.fold(PeerFailures::default(), |sums, record| PeerFailures {
            peer_count: sums.peer_count + 1.0,
            failure_share_sum: sums.failure_share_sum + record.health.failure_share(now),
        })
    }

    /// The long-run pace of each model at builds before this one.
    pub(crate) fn paces_before(&self, now: Duration, build: Build) -> BTreeMap<MachineModel, f64> {
        let mut sums = BTreeMap::<MachineModel, Fraction>::new();
        let earlier = self.ready().filter(|record| record.endpoint.build < build);
        for record in earlier {
            let pace = record.health.baseline_pace.read(now, BASELINE);
            let sum = sums.entry(record.endpoint.machine_model).or_default();
            *sum = Fraction::sum([*sum, pace].into_iter());
        }
        sums.into_iter()
            .filter(|(_, sum)| sum.denominator > 0.0)
            .map(|(model, sum)| (model, sum.numerator / sum.denominator))
            .collect()
    }

    /// How many attempts are outstanding, but for those at ejected endpoints.
    pub(crate) fn outstanding_count(&self) -> usize {
        self.walk()
            .filter(|record| !record.is_ejected())
            .map(|record| record.outstanding.len())
            .sum()
    }

    /// Time taken for each unit of estimated work in the long run, over all ready endpoints.
    pub(crate) fn mean_pace(&self, now: Duration) -> Option<f64> {
        let paces = self
            .ready()
            .map(|record| record.health.baseline_pace.read(now, BASELINE));
        let sums = Fraction::sum(paces);
        (sums.denominator > 0.0).then(|| sums.numerator / sums.denominator)
    }
}
