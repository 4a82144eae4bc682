//! The agent's endpoint list: all endpoints as rows of the catalog, and a record of each endpoint that the agent
//! sends requests to. A short list has a record for each endpoint; a long one only for the members of the subset and
//! for others that were used recently.
use std::collections::BTreeMap;
use std::time::Duration;

use super::decaying_sum::RatioSums;
use super::endpoint_catalog::EndpointCatalog;
use super::endpoint_record::EndpointRecord;
use super::half_lives::LONG_RUN_HALF_LIFE;
use super::hash_ring::{Position, Side, nearest};
use crate::model::{
    Build, Endpoint, EndpointId, EndpointStatus, ListUpdate, MachineModel, PerArm,
    RoutingConstraint, Zone,
};

/// At most this many endpoints are examined for each one that is wanted outside the subset.
const MAX_EXAMINED_PER_WANTED: usize = 4;

/// Failure shares of the other ready endpoints of the build that an endpoint runs.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct SameBuildFailures {
    pub(crate) endpoint_count: f64,
    pub(crate) failure_share_sum: f64,
}

/// The listed endpoints, and what the agent has observed of them.
#[derive(Debug)]
pub(crate) struct EndpointTable {
    pub(crate) records: BTreeMap<EndpointId, EndpointRecord>,
    pub(crate) catalog: EndpointCatalog,
    /// Longest endpoint list that begins without a subset.
    max_without_subset: usize,
    /// Whether the list is long enough for a subset; otherwise each listed endpoint has a record.
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
        // The record of a removed endpoint is kept only while attempts are outstanding there.
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

    /// Updates the records from the entries; without a subset, creates those that are missing.
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

    /// Begins a subset when the list exceeds `max_without_subset`, and ends it when the list has shrunk to three
    /// quarters of that. Without this hysteresis, one endpoint more or less at the limit would change all endpoints
    /// that the agent is assigned.
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
                record.subset_rank = Some(0);
            }
        }
    }

    /// Makes these endpoints the members of the subset, ranked in their order, and drops the records of all others
    /// except those that `keep` selects. Returns the dropped endpoints that may have an open connection.
    pub(crate) fn set_members(
        &mut self,
        members: PerArm<&[EndpointId]>,
        keep: impl Fn(&EndpointRecord) -> bool,
    ) -> Vec<EndpointId> {
        self.records
            .values_mut()
            .for_each(|record| record.subset_rank = None);
        let ranked = members.iter().flat_map(|arm| arm.iter().enumerate());
        for (rank, id) in ranked {
            if let Some(endpoint) = self.catalog.get(*id) {
                let record = self
                    .records
                    .entry(*id)
                    .or_insert_with(|| EndpointRecord::new(*endpoint, None));
                record.subset_rank = Some(rank);
            }
        }
        let mut removed = Vec::new();
        self.records.retain(|id, record| {
            let is_kept = record.subset_rank.is_some() || keep(record);
            removed.extend((!is_kept && record.may_be_connected).then_some(*id));
            is_kept
        });
        removed
    }

    /// Marks all endpoints without an outstanding attempt as not connected. Returns those that may have had an open
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

    /// Median of a value over the records of ready endpoints, the upper one of two; `None` without a record.
    pub(crate) fn median(&self, value: impl Fn(&EndpointRecord) -> f64) -> Option<f64> {
        let mut values: Vec<f64> = self.ready_records().map(value).collect();
        values.sort_by(f64::total_cmp);
        values.get(values.len() / 2).copied()
    }

    /// Up to `wanted` ready endpoints outside the subset that satisfy the constraint and run a permitted build in
    /// their zone, beginning at the ring position `from`.
    pub(crate) fn find_outside_subset(
        &self,
        routing_constraint: RoutingConstraint,
        from: Position,
        wanted: usize,
        permits: impl Fn(Build, Zone) -> bool,
    ) -> Vec<Endpoint> {
        if !self.has_subset {
            return Vec::new();
        }
        let RoutingConstraint { zone, cell } = routing_constraint;
        let is_member = |endpoint: &&Endpoint| {
            self.records
                .get(&endpoint.id)
                .is_some_and(|record| record.subset_rank.is_some())
        };
        if let Some(cell) = cell {
            let endpoints = self
                .catalog
                .in_cell(cell, from.0 as usize)
                .take(wanted * MAX_EXAMINED_PER_WANTED);
            let others = endpoints
                .filter(|endpoint| !is_member(endpoint) && permits(endpoint.build, endpoint.zone));
            return others.take(wanted).copied().collect();
        }
        let fits = |build: Build, other: Zone| {
            zone.is_none_or(|zone| zone == other) && permits(build, other)
        };
        let rings = self
            .catalog
            .pools()
            .filter(|(build, zone, _)| fits(*build, *zone))
            .map(|(.., pool)| pool.ring());
        let ids = nearest(rings, from, Side::After).take(wanted * MAX_EXAMINED_PER_WANTED);
        let endpoints = ids
            .inspect(|_| self.catalog.count_visits(1))
            .filter_map(|id| self.catalog.get(id));
        endpoints
            .filter(|endpoint| !is_member(endpoint))
            .take(wanted)
            .copied()
            .collect()
    }

    /// The list entry of an endpoint, from its record if it has one, or else from the catalog.
    pub(crate) fn endpoint(&self, id: EndpointId) -> Option<&Endpoint> {
        self.records
            .get(&id)
            .map(|record| &record.endpoint)
            .or_else(|| self.catalog.get(id))
    }

    /// Whether an endpoint is ejected; `false` without a record.
    pub(crate) fn is_ejected(&self, id: EndpointId) -> bool {
        self.records
            .get(&id)
            .is_some_and(EndpointRecord::is_ejected)
    }

    /// All records, counted as visited.
    pub(crate) fn visit_records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.catalog.count_visits(self.records.len());
        self.records.values()
    }

    /// The records of ready endpoints.
    pub(crate) fn ready_records(&self) -> impl Iterator<Item = &EndpointRecord> {
        self.visit_records()
            .filter(|record| record.endpoint.status == EndpointStatus::Ready)
    }

    /// Failure shares of the other ready endpoints that run a build.
    pub(crate) fn same_build_failures(
        &self,
        now: Duration,
        endpoint: EndpointId,
        build: Build,
    ) -> SameBuildFailures {
        let others = self
            .ready_records()
            .filter(|record| record.id() != endpoint && record.endpoint.build == build);
        others.fold(SameBuildFailures::default(), |sums, record| {
            SameBuildFailures {
                endpoint_count: sums.endpoint_count + 1.0,
                failure_share_sum: sums.failure_share_sum + record.health.failure_share(now),
            }
        })
    }

    /// Long-run latency ratio of each machine model on ready endpoints with builds earlier than this one.
    pub(crate) fn latency_ratios_before(
        &self,
        now: Duration,
        build: Build,
    ) -> BTreeMap<MachineModel, f64> {
        let mut sums = BTreeMap::<MachineModel, RatioSums>::new();
        let earlier = self
            .ready_records()
            .filter(|record| record.endpoint.build < build);
        for record in earlier {
            let latency_ratio = record
                .health
                .long_run_latency_ratio
                .read(now, LONG_RUN_HALF_LIFE);
            let sum = sums.entry(record.endpoint.machine_model).or_default();
            *sum = RatioSums::sum([*sum, latency_ratio].into_iter());
        }
        sums.into_iter()
            .filter(|(_, sum)| sum.denominator > 0.0)
            .map(|(model, sum)| (model, sum.numerator / sum.denominator))
            .collect()
    }

    /// Number of outstanding attempts, without those at ejected endpoints.
    pub(crate) fn outstanding_count(&self) -> usize {
        self.visit_records()
            .filter(|record| !record.is_ejected())
            .map(|record| record.outstanding.len())
            .sum()
    }

    /// Long-run latency ratio over all ready endpoints together; `None` before any attempt was served.
    pub(crate) fn mean_latency_ratio(&self, now: Duration) -> Option<f64> {
        let latency_ratios = self.ready_records().map(|record| {
            record
                .health
                .long_run_latency_ratio
                .read(now, LONG_RUN_HALF_LIFE)
        });
        let sums = RatioSums::sum(latency_ratios);
        (sums.denominator > 0.0).then(|| sums.numerator / sums.denominator)
    }
}
