//! All appliances that the list names, as compact rows, with sums and indexes that are kept up to date as
//! lists come. What an agent knows of those it works with stands in [`crate::fleet::Fleet`]. Nothing here
//! decides anything.
use std::cell::Cell as Counter;
use std::collections::BTreeMap;
use std::time::Duration;

use crate::model::{Build, Cell, Endpoint, EndpointId, EndpointStatus, Zone};
use crate::subset::{Position, Ring, rank};

/// Up to so many changes are made one by one; of more, the indexes are built anew.
const FEW_CHANGES: usize = 32;

/// The ready appliances of one build in one zone.
#[derive(Default)]
pub(crate) struct Pool {
    ring: Vec<(Position, EndpointId)>,
    weight: f64,
    /// Those that are known to have started, the latest last, with their weights.
    starts: Vec<(Duration, EndpointId, f32)>,
}

impl Pool {
    pub(crate) fn ring(&self) -> &Ring {
        &self.ring
    }

    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// When each one that started after this time did so, and its weight.
    pub(crate) fn started_after(&self, after: Duration) -> impl Iterator<Item = (Duration, f64)> {
        let from = self.starts.partition_point(|(start, ..)| *start <= after);
        self.starts[from..]
            .iter()
            .map(|(start, _, weight)| (*start, f64::from(*weight)))
    }

    /// Adds an appliance at the end of each index; the order is to be made afterwards.
    fn push(&mut self, endpoint: &Endpoint) {
        self.ring
            .push((Position::of_appliance(endpoint.id), endpoint.id));
        self.weight += f64::from(endpoint.weight);
        self.starts.extend(
            endpoint
                .started
                .map(|start| (start, endpoint.id, endpoint.weight)),
        );
    }

    fn sort(&mut self) {
        self.ring.sort_unstable();
        self.starts
            .sort_unstable_by_key(|(start, id, _)| (*start, *id));
    }

    fn insert(&mut self, endpoint: &Endpoint) {
        let place = (Position::of_appliance(endpoint.id), endpoint.id);
        insert_sorted(&mut self.ring, place);
        self.weight += f64::from(endpoint.weight);
        if let Some(start) = endpoint.started {
            let at = self
                .starts
                .partition_point(|(s, id, _)| (*s, *id) < (start, endpoint.id));
            self.starts
                .insert(at, (start, endpoint.id, endpoint.weight));
        }
    }

    fn remove(&mut self, endpoint: &Endpoint) {
        remove_sorted(
            &mut self.ring,
            &(Position::of_appliance(endpoint.id), endpoint.id),
        );
        self.weight -= f64::from(endpoint.weight);
        if let Some(start) = endpoint.started {
            let key = (start, endpoint.id);
            if let Ok(at) = self
                .starts
                .binary_search_by_key(&key, |(s, id, _)| (*s, *id))
            {
                self.starts.remove(at);
            }
        }
    }
}

fn insert_sorted<T: Ord>(all: &mut Vec<T>, one: T) {
    let at = all.partition_point(|other| *other < one);
    all.insert(at, one);
}

fn remove_sorted<T: Ord>(all: &mut Vec<T>, one: &T) {
    if let Ok(at) = all.binary_search(one) {
        all.remove(at);
    }
}

/// What the list says of all appliances.
#[derive(Default)]
pub(crate) struct Catalog {
    /// Ready and draining ones, by number.
    rows: Vec<Endpoint>,
    pools: BTreeMap<(Build, Zone), Pool>,
    /// Ready ones, by cell.
    cells: Vec<(Cell, EndpointId)>,
    /// Listed weight of all ready ones.
    weight: f64,
    /// Rows looked at since the start, here and in the records of [`crate::fleet::Fleet`].
    visited: Counter<u64>,
}

impl Catalog {
    pub(crate) fn len(&self) -> usize {
        self.rows.len()
    }

    pub(crate) fn rows(&self) -> impl Iterator<Item = &Endpoint> {
        self.visit(self.rows.len());
        self.rows.iter()
    }

    pub(crate) fn get(&self, id: EndpointId) -> Option<&Endpoint> {
        self.rows
            .binary_search_by_key(&id, |endpoint| endpoint.id)
            .ok()
            .map(|at| &self.rows[at])
    }

    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    pub(crate) fn ready(&self) -> usize {
        self.cells.len()
    }

    /// The ready ones by build and zone; none of these is empty.
    pub(crate) fn pools(&self) -> impl Iterator<Item = (Build, Zone, &Pool)> {
        self.pools
            .iter()
            .map(|((build, zone), pool)| (*build, *zone, pool))
    }

    fn of_build(&self, build: Build) -> impl Iterator<Item = &Pool> {
        self.pools
            .range((build, Zone(0))..=(build, Zone(u8::MAX)))
            .map(|(_, pool)| pool)
    }

    /// How many ready ones run a build.
    pub(crate) fn running(&self, build: Build) -> usize {
        self.of_build(build).map(|pool| pool.ring.len()).sum()
    }

    /// When the latest of those that run a build started.
    pub(crate) fn newest(&self, build: Build) -> Option<Duration> {
        self.of_build(build)
            .filter_map(|pool| pool.starts.last())
            .map(|(start, ..)| *start)
            .max()
    }

    /// The ready ones of a cell, from a drawn one on, once round.
    pub(crate) fn in_cell(&self, cell: Cell, drawn: usize) -> impl Iterator<Item = &Endpoint> {
        let from = self.cells.partition_point(|(other, _)| *other < cell);
        let to = self.cells.partition_point(|(other, _)| *other <= cell);
        let (before, after) =
            self.cells[from..to].split_at(drawn.checked_rem(to - from).unwrap_or(0));
        after
            .iter()
            .chain(before)
            .inspect(|_| self.visit(1))
            .filter_map(|(_, id)| self.get(*id))
    }

    /// The builds and zones of the ready ones in a zone or a cell, or of all.
    pub(crate) fn places(
        &self,
        (zone, cell): (Option<Zone>, Option<Cell>),
    ) -> impl Iterator<Item = (Build, Zone)> {
        let by_cell = cell
            .into_iter()
            .flat_map(|cell| self.in_cell(cell, 0))
            .map(|l| (l.build, l.zone));
        let all = self.pools.keys().copied().filter(move |_| cell.is_none());
        by_cell
            .chain(all)
            .filter(move |(_, other)| zone.is_none_or(|zone| zone == *other))
    }

    /// The first of these: at least so many, and on until it is enough, by how many were taken and can serve. How many
    /// can is told beside them.
    pub(crate) fn take_until(
        &self,
        ids: impl Iterator<Item = EndpointId>,
        least: usize,
        serves: impl Fn(EndpointId) -> bool,
        enough: impl Fn(usize, usize) -> bool,
    ) -> (Vec<EndpointId>, usize) {
        let (mut taken, mut serving) = (Vec::new(), 0);
        for id in ids {
            if taken.len() >= least && enough(taken.len(), serving) {
                break;
            }
            serving += usize::from(serves(id));
            taken.push(id);
        }
        self.visit(taken.len());
        (taken, serving)
    }

    /// Rows looked at since the start.
    pub(crate) fn visited(&self) -> u64 {
        self.visited.get()
    }

    pub(crate) fn visit(&self, rows: usize) {
        self.visited.set(self.visited.get() + rows as u64);
    }

    /// Takes the lines of an update; `whole` if what they do not name is gone.
    pub(crate) fn update(&mut self, whole: bool, endpoints: &[Endpoint]) {
        self.visit(endpoints.len());
        let places = endpoints
            .iter()
            .zip(0..)
            .map(|(endpoint, place)| (endpoint.id, place));
        let mut order: Vec<(EndpointId, u32)> = places.collect();
        order.sort_unstable();
        // Of several lines for one appliance the last holds.
        let last = order
            .chunk_by(|one, other| one.0 == other.0)
            .filter_map(|same| same.last());
        let told = last.map(|(_, place)| &endpoints[*place as usize]);
        let changes = if whole {
            self.changes(told)
        } else {
            told.copied().collect()
        };
        if changes.len() <= FEW_CHANGES {
            changes.iter().for_each(|endpoint| self.put(endpoint));
        } else {
            self.put_many(changes);
        }
    }

    /// What differs from the rows in a whole list, both by number; what is not in it is gone.
    fn changes<'a>(&self, whole: impl Iterator<Item = &'a Endpoint>) -> Vec<Endpoint> {
        self.visit(self.rows.len());
        let mut changes = Vec::new();
        let mut rows = self.rows.iter().peekable();
        for endpoint in whole {
            while let Some(row) = rows.next_if(|row| row.id < endpoint.id) {
                changes.push(Endpoint {
                    status: EndpointStatus::Removed,
                    ..*row
                });
            }
            if rows.next_if(|row| row.id == endpoint.id) != Some(endpoint) {
                changes.push(*endpoint);
            }
        }
        changes.extend(rows.map(|row| Endpoint {
            status: EndpointStatus::Removed,
            ..*row
        }));
        changes
    }

    /// Takes one line into the rows and all indexes.
    fn put(&mut self, endpoint: &Endpoint) {
        let at = self.rows.binary_search_by_key(&endpoint.id, |row| row.id);
        if let Ok(at) = at {
            let row = self.rows[at];
            self.remove_ready(&row);
        }
        match at {
            Ok(at) if endpoint.status == EndpointStatus::Removed => _ = self.rows.remove(at),
            Ok(at) => self.rows[at] = *endpoint,
            Err(_) if endpoint.status == EndpointStatus::Removed => {}
            Err(at) => self.rows.insert(at, *endpoint),
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
        }
        if self
            .pools
            .get(&key)
            .is_some_and(|pool| pool.ring.is_empty())
        {
            self.pools.remove(&key);
        }
        remove_sorted(&mut self.cells, &(endpoint.cell, endpoint.id));
        self.weight -= f64::from(endpoint.weight);
    }

    /// Takes many lines, by number, and builds the indexes anew.
    fn put_many(&mut self, changes: Vec<Endpoint>) {
        self.visit(self.rows.len());
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
        for endpoint in self
            .rows
            .iter()
            .filter(|endpoint| endpoint.status == EndpointStatus::Ready)
        {
            self.pools
                .entry((endpoint.build, endpoint.zone))
                .or_default()
                .push(endpoint);
            self.cells.push((endpoint.cell, endpoint.id));
            self.weight += f64::from(endpoint.weight);
        }
        self.pools.values_mut().for_each(Pool::sort);
        self.cells.sort_unstable();
    }
}

/// How many of several pools' appliances stand before a place on the ring.
pub(crate) fn rank_in<'a>(pools: impl Iterator<Item = &'a Pool>, place: Position) -> usize {
    pools.map(|pool| rank(pool.ring(), place)).sum()
}
