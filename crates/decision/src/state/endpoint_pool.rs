//! The ready endpoints of one build in one zone, indexed by ring position and by start time.
use std::time::Duration;

use super::hash_ring::{Position, Ring, rank};
use crate::model::{Endpoint, EndpointId};

/// The start time of an endpoint whose start is known, and its listed weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointStart {
    pub(crate) started_at: Duration,
    endpoint: EndpointId,
    listed_weight: f32,
}

impl EndpointStart {
    pub(crate) fn listed_weight(&self) -> f64 {
        f64::from(self.listed_weight)
    }

    fn key(&self) -> (Duration, EndpointId) {
        (self.started_at, self.endpoint)
    }
}

/// The ready endpoints of one build in one zone.
#[derive(Debug, Default)]
pub(crate) struct EndpointPool {
    ring: Vec<(Position, EndpointId)>,
    listed_weight: f64,
    /// Endpoints whose start is known, the latest last.
    starts: Vec<EndpointStart>,
}

impl EndpointPool {
    pub(crate) fn ring(&self) -> &Ring {
        &self.ring
    }

    /// Sum of the listed weights.
    pub(crate) fn listed_weight(&self) -> f64 {
        self.listed_weight
    }

    /// When the most recently started of the endpoints started; `None` if no start is known.
    pub(crate) fn latest_start(&self) -> Option<Duration> {
        self.starts.last().map(|start| start.started_at)
    }

    /// The endpoints that are known to have started after this time, the latest last.
    pub(crate) fn started_after(&self, after: Duration) -> impl Iterator<Item = &EndpointStart> {
        let from = self
            .starts
            .partition_point(|start| start.started_at <= after);
        self.starts[from..].iter()
    }

    /// Appends an endpoint to each index without sorting. Call [`EndpointPool::sort`] after the last one.
    pub(super) fn push(&mut self, endpoint: &Endpoint) {
        self.ring
            .push((Position::of_endpoint(endpoint.id), endpoint.id));
        self.listed_weight += f64::from(endpoint.weight);
        self.starts.extend(start_of(endpoint));
    }

    /// Sorts the indexes after [`EndpointPool::push`].
    pub(super) fn sort(&mut self) {
        self.ring.sort_unstable();
        self.starts.sort_unstable_by_key(EndpointStart::key);
    }

    /// Adds an endpoint and keeps the indexes sorted.
    pub(super) fn insert(&mut self, endpoint: &Endpoint) {
        let entry = (Position::of_endpoint(endpoint.id), endpoint.id);
        insert_sorted(&mut self.ring, entry);
        self.listed_weight += f64::from(endpoint.weight);
        if let Some(start) = start_of(endpoint) {
            let index = self
                .starts
                .partition_point(|other| other.key() < start.key());
            self.starts.insert(index, start);
        }
    }

    pub(super) fn remove(&mut self, endpoint: &Endpoint) {
        let entry = (Position::of_endpoint(endpoint.id), endpoint.id);
        remove_sorted(&mut self.ring, &entry);
        self.listed_weight -= f64::from(endpoint.weight);
        if let Some(start) = start_of(endpoint) {
            let found = self
                .starts
                .binary_search_by_key(&start.key(), EndpointStart::key);
            if let Ok(index) = found {
                self.starts.remove(index);
            }
        }
    }
}

fn start_of(endpoint: &Endpoint) -> Option<EndpointStart> {
    endpoint.started.map(|started_at| EndpointStart {
        started_at,
        endpoint: endpoint.id,
        listed_weight: endpoint.weight,
    })
}

/// How many endpoints of these pools have a ring position below `position`.
pub(crate) fn rank_in<'a>(
    pools: impl Iterator<Item = &'a EndpointPool>,
    position: Position,
) -> usize {
    pools.map(|pool| rank(pool.ring(), position)).sum()
}

/// Inserts into a sorted vector and keeps it sorted.
pub(super) fn insert_sorted<T: Ord>(sorted: &mut Vec<T>, value: T) {
    let index = sorted.partition_point(|other| *other < value);
    sorted.insert(index, value);
}

/// Removes a value from a sorted vector, if it is there.
pub(super) fn remove_sorted<T: Ord>(sorted: &mut Vec<T>, value: &T) {
    if let Ok(index) = sorted.binary_search(value) {
        sorted.remove(index);
    }
}
