//! All listed endpoints as compact rows, with indexes and sums that are maintained by each update. The agent's own
//! observations of the endpoints that it sends requests to are in [`super::endpoint_table`].
use std::cell::Cell as Counter;
use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint_pool::{EndpointPool, insert_sorted, remove_sorted};
use crate::model::{Build, Cell, Endpoint, EndpointId, EndpointStatus, RoutingConstraint, Zone};

/// Largest number of changes that are applied one by one; for more, all indexes are rebuilt.
const MAX_SINGLE_CHANGES: usize = 32;

/// The endpoints that [`EndpointCatalog::take_until`] took, and how many of them can serve.
#[derive(Debug, Default)]
pub(crate) struct WalkedEndpoints {
    pub(crate) ids: Vec<EndpointId>,
    pub(crate) serving_count: usize,
}

/// All listed endpoints, with indexes over the ready ones.
#[derive(Debug, Default)]
pub(crate) struct EndpointCatalog {
    /// Ready and draining endpoints, ordered by id.
    rows: Vec<Endpoint>,
    pools: BTreeMap<(Build, Zone), EndpointPool>,
    /// Ready endpoints, ordered by cell and id.
    cells: Vec<(Cell, EndpointId)>,
    /// Listed weight of all ready endpoints.
    listed_weight: f64,
    /// Rows and records of the endpoint table that were examined since the start: a measure of the cost.
    visited: Counter<u64>,
}

impl EndpointCatalog {
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = &Endpoint> {
        self.count_visits(self.rows.len());
        self.rows.iter()
    }

    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.rows
            .binary_search_by_key(&id, |endpoint| endpoint.id)
            .ok()
            .map(|index| &self.rows[index])
    }

    /// Listed weight of all ready endpoints.
    pub(crate) fn listed_weight(&self) -> f64 {
        self.listed_weight
    }

    pub(crate) fn ready_count(&self) -> usize {
        self.cells.len()
    }

    /// The ready endpoints by build and zone; no pool is empty.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (Build, Zone, &EndpointPool)> {
        self.pools
            .iter()
            .map(|((build, zone), pool)| (*build, *zone, pool))
    }

    fn pools_of(&self, build: Build) -> impl Iterator<Item = &EndpointPool> {
        self.pools
            .range((build, Zone(0))..=(build, Zone(u8::MAX)))
            .map(|(_, pool)| pool)
    }

    /// Number of ready endpoints that run a build.
    pub(crate) fn count_running(&self, build: Build) -> usize {
        self.pools_of(build).map(|pool| pool.ring().len()).sum()
    }

    /// When the most recently started ready endpoint of a build started; `None` if no start is known.
    pub(crate) fn latest_start(&self, build: Build) -> Option<Duration> {
        self.pools_of(build)
            .filter_map(EndpointPool::latest_start)
            .max()
    }

    /// The ready endpoints of a cell, each once. The walk begins at the index `start` modulo their number and wraps
    /// around.
    pub(crate) fn in_cell(&self, cell: Cell, start: usize) -> impl Iterator<Item = &Endpoint> {
        let from = self.cells.partition_point(|(other, _)| *other < cell);
        let to = self.cells.partition_point(|(other, _)| *other <= cell);
        let first = start.checked_rem(to - from).unwrap_or(0);
        let (before, from_first) = self.cells[from..to].split_at(first);
        from_first
            .iter()
            .chain(before)
            .inspect(|_| self.count_visits(1))
            .filter_map(|(_, id)| self.get(*id))
    }

    /// The builds and zones of the ready endpoints that satisfy a routing constraint. For a cell, each pair occurs
    /// once for each of its endpoints.
    pub(crate) fn builds_and_zones(
        &self,
        routing_constraint: RoutingConstraint,
    ) -> impl Iterator<Item = (Build, Zone)> {
        let RoutingConstraint { zone, cell } = routing_constraint;
        let by_cell = cell
            .into_iter()
            .flat_map(|cell| self.in_cell(cell, 0))
            .map(|endpoint| (endpoint.build, endpoint.zone));
        let all = self.pools.keys().copied().filter(move |_| cell.is_none());
        by_cell
            .chain(all)
            .filter(move |(_, other)| zone.is_none_or(|zone| zone == *other))
    }

    /// Takes at least `minimum` of these endpoints, and then more until `enough` is true of the numbers of
    /// endpoints taken and of endpoints among them that can serve.
    pub(crate) fn take_until(
        &self,
        ids: impl Iterator<Item = EndpointId>,
        minimum: usize,
        can_serve: impl Fn(EndpointId) -> bool,
        enough: impl Fn(usize, usize) -> bool,
    ) -> WalkedEndpoints {
        let mut walked = WalkedEndpoints::default();
        for id in ids {
            if walked.ids.len() >= minimum && enough(walked.ids.len(), walked.serving_count) {
                break;
            }
            walked.serving_count += usize::from(can_serve(id));
            walked.ids.push(id);
        }
        self.count_visits(walked.ids.len());
        walked
    }

    /// Rows and records examined since the start.
    pub(crate) fn visited(&self) -> u64 {
        self.visited.get()
    }

    pub(crate) fn count_visits(&self, rows: usize) {
        self.visited.set(self.visited.get() + rows as u64);
    }

    /// Applies an update; with `is_full`, endpoints that it does not name are removed.
    pub(crate) fn update(&mut self, is_full: bool, endpoints: &[Endpoint]) {
        self.count_visits(endpoints.len());
        let indexes = endpoints
            .iter()
            .zip(0..)
            .map(|(endpoint, index)| (endpoint.id, index));
        let mut order: Vec<(EndpointId, u32)> = indexes.collect();
        order.sort_unstable();
        // Of several entries for one endpoint, the last one takes effect.
        let last = order
            .chunk_by(|one, other| one.0 == other.0)
            .filter_map(|same| same.last());
        let updated = last.map(|(_, index)| &endpoints[*index as usize]);
        let changes = if is_full {
            self.changes(updated)
        } else {
            updated.copied().collect()
        };
        if changes.len() <= MAX_SINGLE_CHANGES {
            changes.iter().for_each(|endpoint| self.apply(endpoint));
        } else {
            self.apply_many(changes);
        }
    }

    /// The entries of a full list, ordered by id, that differ from the rows. Rows that the list lacks are returned as
    /// removed.
    fn changes<'a>(&self, full: impl Iterator<Item = &'a Endpoint>) -> Vec<Endpoint> {
        self.count_visits(self.rows.len());
        let removed = |row: &Endpoint| Endpoint {
            status: EndpointStatus::Removed,
            ..*row
        };
        let mut changes = Vec::new();
        let mut rows = self.rows.iter().peekable();
        for endpoint in full {
            while let Some(row) = rows.next_if(|row| row.id < endpoint.id) {
                changes.push(removed(row));
            }
            if rows.next_if(|row| row.id == endpoint.id) != Some(endpoint) {
                changes.push(*endpoint);
            }
        }
        changes.extend(rows.map(removed));
        changes
    }

    /// Inserts, replaces or removes one row, and updates all indexes.
    fn apply(&mut self, endpoint: &Endpoint) {
        let found = self.rows.binary_search_by_key(&endpoint.id, |row| row.id);
        if let Ok(index) = found {
            let row = self.rows[index];
            self.remove_ready(&row);
        }
        let is_removed = endpoint.status == EndpointStatus::Removed;
        match found {
            Ok(index) if is_removed => _ = self.rows.remove(index),
            Ok(index) => self.rows[index] = *endpoint,
            Err(_) if is_removed => {}
            Err(index) => self.rows.insert(index, *endpoint),
        }
        self.insert_ready(endpoint);
    }

    fn insert_ready(&mut self, endpoint: &Endpoint) {
        if endpoint.status != EndpointStatus::Ready {
            return;
        }
        self.pools
            .entry((endpoint.build, endpoint.zone))
            .or_default()
            .insert(endpoint);
        insert_sorted(&mut self.cells, (endpoint.cell, endpoint.id));
        self.listed_weight += f64::from(endpoint.weight);
    }

    fn remove_ready(&mut self, endpoint: &Endpoint) {
        if endpoint.status != EndpointStatus::Ready {
            return;
        }
        let key = (endpoint.build, endpoint.zone);
        if let Some(pool) = self.pools.get_mut(&key) {
            pool.remove(endpoint);
            if pool.ring().is_empty() {
                self.pools.remove(&key);
            }
        }
        remove_sorted(&mut self.cells, &(endpoint.cell, endpoint.id));
        self.listed_weight -= f64::from(endpoint.weight);
    }

    /// Applies many changes, ordered by id, and rebuilds the indexes.
    fn apply_many(&mut self, changes: Vec<Endpoint>) {
        self.count_visits(self.rows.len());
        let mut rows = Vec::with_capacity(self.rows.len() + changes.len());
        let mut previous = std::mem::take(&mut self.rows).into_iter().peekable();
        for endpoint in changes {
            while let Some(row) = previous.next_if(|row| row.id < endpoint.id) {
                rows.push(row);
            }
            previous.next_if(|row| row.id == endpoint.id);
            if endpoint.status != EndpointStatus::Removed {
                rows.push(endpoint);
            }
        }
        rows.extend(previous);
        self.rows = rows;
        self.rebuild_indexes();
    }

    fn rebuild_indexes(&mut self) {
        self.pools.clear();
        self.cells.clear();
        self.listed_weight = 0.0;
        let ready = self
            .rows
            .iter()
            .filter(|endpoint| endpoint.status == EndpointStatus::Ready);
        for endpoint in ready {
            self.pools
                .entry((endpoint.build, endpoint.zone))
                .or_default()
                .push(endpoint);
            self.cells.push((endpoint.cell, endpoint.id));
            self.listed_weight += f64::from(endpoint.weight);
        }
        self.pools.values_mut().for_each(EndpointPool::sort);
        self.cells.sort_unstable();
    }
}
