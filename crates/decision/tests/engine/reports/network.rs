//! A simulated lossy network between agents.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_decision::AgentId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::support::{MINIMUM_STAGE_TIME, TICK};

/// Length of the IPv4 and UDP headers of a datagram.
const HEADER_BYTES: usize = 28;

/// A message that an agent sent to one peer.
#[derive(Clone)]
pub(super) struct Datagram {
    pub(super) sent_at: Duration,
    pub(super) from: AgentId,
    pub(super) to: AgentId,
    pub(super) payload: Vec<u8>,
}

/// The faults of a network.
#[derive(Clone, Copy)]
pub(super) struct NetworkConditions {
    /// Share of the datagrams that are lost, 0 to 1.
    pub(super) loss: f64,
    /// Share of the datagrams that are duplicated, 0 to 1.
    pub(super) duplication: f64,
    pub(super) max_latency: Duration,
}

/// The datagrams in flight, by arrival time and a serial number that is unique.
pub(super) struct Network {
    conditions: NetworkConditions,
    in_flight: BTreeMap<(Duration, u64), Datagram>,
    sent_copies: u64,
}

impl Network {
    pub(super) fn new(conditions: NetworkConditions) -> Self {
        Network {
            conditions,
            in_flight: BTreeMap::new(),
            sent_copies: 0,
        }
    }

    pub(super) fn send(&mut self, datagram: &Datagram, random: &mut Pcg64Mcg) {
        let arrives = random.random::<f64>() >= self.conditions.loss;
        let duplicated = random.random::<f64>() < self.conditions.duplication;
        for _ in 0..u32::from(arrives) + u32::from(duplicated) {
            self.sent_copies += 1;
            let latency = TICK.max(self.conditions.max_latency.mul_f64(random.random()));
            let arrival = datagram.sent_at + latency;
            self.in_flight
                .insert((arrival, self.sent_copies), datagram.clone());
        }
    }

    /// Removes and returns the datagrams that have arrived by `now`, by receiver.
    pub(super) fn receive(&mut self, now: Duration) -> BTreeMap<AgentId, Vec<Datagram>> {
        let later = self.in_flight.split_off(&(now, u64::MAX));
        let mut inboxes = BTreeMap::<AgentId, Vec<Datagram>>::new();
        for datagram in std::mem::replace(&mut self.in_flight, later).into_values() {
            inboxes.entry(datagram.to).or_default().push(datagram);
        }
        inboxes
    }
}

/// Bytes of reports, headers included, that the agent that receives most of them receives per minimum stage time, from
/// one instant to another.
pub(super) fn most_received(sent: &[Datagram], from: Duration, to: Duration) -> f64 {
    let mut received = BTreeMap::<AgentId, (usize, usize)>::new();
    for datagram in sent {
        if (from..to).contains(&datagram.sent_at) {
            let (bytes, datagrams) = received.entry(datagram.to).or_default();
            *bytes += datagram.payload.len();
            *datagrams += 1;
        }
    }
    let (bytes, datagrams) = received.into_values().max().unwrap_or_default();
    let span = (to - from).as_secs_f64();
    let rate = bytes as f64 / span + datagrams as f64 / span * HEADER_BYTES as f64;
    rate * MINIMUM_STAGE_TIME.as_secs_f64()
}
