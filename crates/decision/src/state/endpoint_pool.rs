//! The ready endpoints of one build in one zone, indexed.
use std::time::Duration;

use super::hash_ring::{Position, Ring, rank};
use crate::model::{Endpoint, EndpointId};

/// When an endpoint that is known to have started did so, and its weight.
#[derive(Clone, Copy, Debug)]
pub(crate) struct EndpointStart {
    pub(crate) at: Duration,
    endpoint: EndpointId,
    weight: f32,
}

impl EndpointStart {
    pub(crate) fn weight(&self) -> f64 {
        f64::from(self.weight)
    }

    fn key(&self) -> (Duration, EndpointId) {
        (self.at, self.endpoint)
    }
}

/// The ready endpoints of one build in one zone.
#[derive(Debug, Default)]
pub(crate) struct EndpointPool {
    ring: Vec<(Position, EndpointId)>,
    weight: f64,
    /// Latest last.
    starts: Vec<EndpointStart>,
}

impl EndpointPool {
    /// The endpoints in the order of the ring.
    pub(crate) fn ring(&self) -> &Ring {
        &self.ring
    }

    /// The sum of the listed weights.
    pub(crate) fn weight(&self) -> f64 {
        self.weight
    }

    /// When the latest of them started.
    pub(crate) fn latest_start(&self) -> Option<Duration> {
        self.starts.last().map(|start| start.at)
    }

    /// The endpoints that started after this time, the latest last.
    pub(crate) fn started_after(&self, after: Duration) -> impl Iterator<Item = &EndpointStart> {
        let from = self.starts.partition_point(|start| start.at <= after);
        self.starts[from..].iter()
    }

    /// Adds an endpoint at the end of each index; [`EndpointPool::sort`] has to follow.
    pub(super) fn push(&mut self, endpoint: &Endpoint) {
        self.ring
            .push((Position::of_endpoint(endpoint.id), endpoint.id));
        self.weight += f64::from(endpoint.weight);
        self.starts.extend(start_of(endpoint));
    }

    /// Restores the order of the indexes.
    pub(super) fn sort(&mut self) {
        self.ring.sort_unstable();
        self.starts.sort_unstable_by_key(EndpointStart::key);
    }

    /// Adds an endpoint in order.
    pub(super) fn insert(&mut self, endpoint: &Endpoint) {
        let entry = (Position::of_endpoint(endpoint.id), endpoint.id);
        insert_sorted(&mut self.ring, entry);
        self.weight += f64::from(endpoint.weight);
        if let Some(start) = start_of(endpoint) {
            let index = self
                .starts
                .partition_point(|other| other.key() < start.key());
            self.starts.insert(index, start);
        }
    }

    /// Removes an endpoint.
    pub(super) fn remove(&mut self, endpoint: &Endpoint) {
        let entry = (Position::of_endpoint(endpoint.id), endpoint.id);
        remove_sorted(&mut self.ring, &entry);
        self.weight -= f64::from(endpoint.weight);
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
    endpoint.started.map(|at| EndpointStart {
        at,
        endpoint: endpoint.id,
        weight: endpoint.weight,
    })
}

/// How many of several pools' endpoints stand before a position on the ring.
pub(crate) fn rank_in<'a>(
    pools: impl Iterator<Item = &'a EndpointPool>,
    position: Position,
) -> usize {
    pools.map(|pool| rank(pool.ring(), position)).sum()
}

/// Inserts into a sorted vector.
pub(super) fn insert_sorted<T: Ord>(all: &mut Vec<T>, one: T) {
    let index = all.partition_point(|other| *other < one);
    all.insert(index, one);
}

/// Removes from a sorted vector.
pub(super) fn remove_sorted<T: Ord>(all: &mut Vec<T>, one: &T) {
    if let Ok(index) = all.binary_search(one) {
        all.remove(index);
    }
}
