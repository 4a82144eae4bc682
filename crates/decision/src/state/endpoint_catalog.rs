//! All endpoints that the list names, as compact rows, with sums and indexes that follow each update. What the
//! agent has observed of those it works with is in [`super::endpoint_table`].
use std::cell::Cell as Counter;
use std::collections::BTreeMap;
use std::time::Duration;

use super::endpoint_pool::{EndpointPool, insert_sorted, remove_sorted};
use crate::model::{Build, Cell, Endpoint, EndpointId, EndpointStatus, RoutingConstraint, Zone};

/// Up to so many changes are made one by one; for more, the indexes are rebuilt.
const MAX_SINGLE_CHANGES: usize = 32;

/// The first endpoints of a walk, and how many of them can serve.
#[derive(Debug, Default)]
pub(crate) struct WalkedEndpoints {
    pub(crate) ids: Vec<EndpointId>,
    pub(crate) serving: usize,
}

/// What the list says of all endpoints.
#[derive(Debug, Default)]
pub(crate) struct EndpointCatalog {
    /// Ready and draining ones, by id.
    rows: Vec<Endpoint>,
    pools: BTreeMap<(Build, Zone), EndpointPool>,
    /// Ready ones, by cell.
    cells: Vec<(Cell, EndpointId)>,
    /// Listed weight of all ready ones.
    weight: f64,
    /// Rows looked at since the start, here and in the records of the endpoint table.
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
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// How many endpoints are ready.
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

    /// How many ready endpoints run a build.
    pub(crate) fn count_running(&self, build: Build) -> usize {
        self.pools_of(build).map(|pool| pool.ring().len()).sum()
    }

    /// When the latest of those that run a build started.
    pub(crate) fn latest_start(&self, build: Build) -> Option<Duration> {
        self.pools_of(build)
            .filter_map(EndpointPool::latest_start)
            .max()
    }

    /// The ready endpoints of a cell, a full turn from the one at a random index.
    pub(crate) fn in_cell(&self, cell: Cell, start: usize) -> impl Iterator<Item = &Endpoint> {
        let from = self.cells.partition_point(|(other, _)| *other < cell);
        let to = self.cells.partition_point(|(other, _)| *other <= cell);
        let first = start.checked_rem(to - from).unwrap_or(0);
        let (before, after) = self.cells[from..to].split_at(first);
        after
            .iter()
            .chain(before)
            .inspect(|_| self.count_visits(1))
            .filter_map(|(_, id)| self.get(*id))
    }

    /// The builds and zones of the ready endpoints that a request may go to.
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

    /// The first of these endpoints: at least `minimum`, and on until it is `enough` by how many were taken and
    /// how many of these can serve.
    pub(crate) fn take_until(
        &self,
        ids: impl Iterator<Item = EndpointId>,
        minimum: usize,
        can_serve: impl Fn(EndpointId) -> bool,
        enough: impl Fn(usize, usize) -> bool,
    ) -> WalkedEndpoints {
        let mut walked = WalkedEndpoints::default();
        for id in ids {
            if walked.ids.len() >= minimum && enough(walked.ids.len(), walked.serving) {
                break;
            }
            walked.serving += usize::from(can_serve(id));
            walked.ids.push(id);
        }
        self.count_visits(walked.ids.len());
        walked
    }

    /// Rows looked at since the start.
    pub(crate) fn visited(&self) -> u64 {
        self.visited.get()
    }

    pub(crate) fn count_visits(&self, rows: usize) {
        self.visited.set(self.visited.get() + rows as u64);
    }

    /// Applies an update; with `is_full`, what it does not name is gone.
    pub(crate) fn update(&mut self, is_full: bool, endpoints: &[Endpoint]) {
        self.count_visits(endpoints.len());
        let indexes = endpoints
            .iter()
            .zip(0..)
            .map(|(endpoint, index)| (endpoint.id, index));
        let mut order: Vec<(EndpointId, u32)> = indexes.collect();
        order.sort_unstable();
        // Of several entries for one endpoint the last one holds.
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
            changes.iter().for_each(|endpoint| self.put(endpoint));
        } else {
            self.put_many(changes);
        }
    }

    /// What differs from the rows in a full list, both by id; what is not in it is gone.
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

    /// Puts one entry into the rows and all indexes.
    fn put(&mut self, endpoint: &Endpoint) {
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
        self.weight += f64::from(endpoint.weight);
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
        self.weight -= f64::from(endpoint.weight);
    }

    /// Puts many entries, by id, and rebuilds the indexes.
    fn put_many(&mut self, changes: Vec<Endpoint>) {
        self.count_visits(self.rows.len());
        let mut rows = Vec::with_capacity(self.rows.len() + changes.len());
        let mut before = std::mem::take(&mut self.rows).into_iter().peekable();
        for endpoint in changes {
            while let Some(row) = before.next_if(|row| row.id < endpoint.id) {
                rows.push(row);
            }
            before.next_if(|row| row.id == endpoint.id);
            if endpoint.status != EndpointStatus::Removed {
                rows.push(endpoint);
            }
        }
        rows.extend(before);
        self.rows = rows;
        self.rebuild();
    }

    fn rebuild(&mut self) {
        self.pools.clear();
        self.cells.clear();
        self.weight = 0.0;
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
            self.weight += f64::from(endpoint.weight);
        }
        self.pools.values_mut().for_each(EndpointPool::sort);
        self.cells.sort_unstable();
    }
}
