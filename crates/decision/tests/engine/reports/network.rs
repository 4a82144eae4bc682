//! A lossy network between agents, and what it brings to each.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_decision::AgentId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::support::{MINIMUM_STAGE_TIME, TICK};

/// What a datagram costs on the wire beside its payload: the headers of IPv4 and UDP.
const HEADER_BYTES: usize = 28;

/// A message that an agent sent to one peer.
#[derive(Clone)]
pub(super) struct Datagram {
    pub(super) sent_at: Duration,
    pub(super) from: AgentId,
    pub(super) to: AgentId,
    pub(super) payload: Vec<u8>,
}

/// How a network treats datagrams.
#[derive(Clone, Copy)]
pub(super) struct Quality {
    /// The shares of the datagrams that are lost, and that come twice.
    pub(super) loss: f64,
    pub(super) duplication: f64,
    pub(super) max_latency: Duration,
}

/// The datagrams that are on their way, by arrival; a serial number keeps those apart that arrive together.
pub(super) struct Network {
    quality: Quality,
    in_flight: BTreeMap<(Duration, u64), Datagram>,
    copies: u64,
}

impl Network {
    pub(super) fn new(quality: Quality) -> Self {
        Network {
            quality,
            in_flight: BTreeMap::new(),
            copies: 0,
        }
    }

    pub(super) fn send(&mut self, datagram: &Datagram, random: &mut Pcg64Mcg) {
        let arrives = random.random::<f64>() >= self.quality.loss;
        let duplicated = random.random::<f64>() < self.quality.duplication;
        for _ in 0..u32::from(arrives) + u32::from(duplicated) {
            self.copies += 1;
            let latency = TICK.max(self.quality.max_latency.mul_f64(random.random()));
            let arrival = datagram.sent_at + latency;
            self.in_flight
                .insert((arrival, self.copies), datagram.clone());
        }
    }

    /// What arrives until now, by receiver.
    pub(super) fn receive(&mut self, now: Duration) -> BTreeMap<AgentId, Vec<Datagram>> {
        let later = self.in_flight.split_off(&(now, u64::MAX));
        let mut inboxes = BTreeMap::<AgentId, Vec<Datagram>>::new();
        for datagram in std::mem::replace(&mut self.in_flight, later).into_values() {
            inboxes.entry(datagram.to).or_default().push(datagram);
        }
        inboxes
    }
}

/// The bytes, headers included, that the busiest agent receives of others' reports in a minimum stage time,
/// from one instant to another.
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
