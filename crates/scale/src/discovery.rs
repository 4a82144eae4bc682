//! Simulated discovery: a list for each service, its versions, and its watchers. It counts the calls
//! and the bytes that it sends, and sends whole lists at the rate of one machine's network interface.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::AgentId;
use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::meter::Traffic;
use crate::network::{Incoming, ListMessage, ONE_WAY, ServiceIndex};
use crate::wire::{self, Entry, ListedState};

/// Bytes per second that discovery sends at most: one interface of 1 Gbit/s.
pub const BYTES_PER_SECOND: f64 = 125e6;
/// The longest random delay of a message beyond the network's, at the sending side.
const LONGEST_DELAY: Duration = Duration::from_millis(4);

/// A message to an agent's module.
#[derive(Debug)]
pub struct Delivery {
    /// The agent that receives it.
    pub to: AgentId,
    /// The service that it is about.
    pub service: ServiceIndex,
    /// When it arrives.
    pub at: Duration,
    /// The message.
    pub message: Incoming,
}

/// The list of a service.
#[derive(Debug, Default)]
struct ServiceList {
    version: u64,
    entries: BTreeMap<u32, Entry>,
    watchers: BTreeMap<AgentId, u32>,
    whole: Option<Arc<[u8]>>,
}

/// Simulated discovery.
#[derive(Debug)]
pub struct Discovery {
    lists: Vec<ServiceList>,
    /// Whole lists and changes that it has sent.
    pub sent: Traffic,
    /// Calls that it has answered.
    pub calls: u64,
    /// Whether it sends no faster than its interface allows.
    pub is_paced: bool,
    free_at: Duration,
    random: Pcg64Mcg,
}

impl Discovery {
    /// Creates discovery with empty lists for a number of services.
    pub fn new(services: u32, random: Pcg64Mcg) -> Self {
        let lists = (0..services).map(|_| ServiceList::default()).collect();
        Discovery {
            lists,
            sent: Traffic::default(),
            calls: 0,
            is_paced: false,
            free_at: Duration::ZERO,
            random,
        }
    }

    /// Adds an endpoint to its list before the first watch.
    pub fn add(&mut self, service: ServiceIndex, entry: Entry) {
        let list = &mut self.lists[service.0 as usize];
        list.version = 1;
        list.entries.insert(entry.index, entry);
    }

    /// Bytes of the whole list of a service.
    pub fn whole(&mut self, service: ServiceIndex) -> Arc<[u8]> {
        let list = &mut self.lists[service.0 as usize];
        let version = list.version;
        let entries = &list.entries;
        let whole = list.whole.get_or_insert_with(|| {
            let entries: Vec<Entry> = entries.values().cloned().collect();
            wire::watch(version, &entries).into()
        });
        whole.clone()
    }

    /// The whole list of a service as a start file holds it.
    pub fn saved(&self, service: ServiceIndex) -> Arc<[u8]> {
        let list = &self.lists[service.0 as usize];
        let entries: Vec<Entry> = list.entries.values().cloned().collect();
        wire::list(list.version, true, &entries).into_bytes().into()
    }

    /// The version of a service's list.
    pub fn version(&self, service: ServiceIndex) -> u64 {
        self.lists[service.0 as usize].version
    }

    /// Opens a watch: the whole list, then its changes.
    pub fn watch(
        &mut self,
        now: Duration,
        service: ServiceIndex,
        agent: AgentId,
        connection: u32,
    ) -> Delivery {
        self.calls += 1;
        let bytes = self.whole(service);
        self.lists[service.0 as usize]
            .watchers
            .insert(agent, connection);
        let at = self.send(now, bytes.len());
        Delivery {
            to: agent,
            service,
            at,
            message: Incoming::List(ListMessage {
                connection,
                bytes,
                since: now,
                whole: true,
            }),
        }
    }

    /// Ends a watch.
    pub fn unwatch(&mut self, service: ServiceIndex, agent: AgentId) {
        self.lists[service.0 as usize].watchers.remove(&agent);
    }

    /// Changes entries of a list and notifies all watchers that `reaches` accepts.
    pub fn change(
        &mut self,
        now: Duration,
        service: ServiceIndex,
        changed: &[Entry],
        reaches: impl Fn(AgentId) -> bool,
    ) -> Vec<Delivery> {
        let list = &mut self.lists[service.0 as usize];
        list.version += 1;
        list.whole = None;
        for entry in changed {
            if entry.state == ListedState::Gone {
                list.entries.remove(&entry.index);
            } else {
                list.entries.insert(entry.index, entry.clone());
            }
        }
        let text = wire::list(list.version, false, changed);
        let bytes: Arc<[u8]> = wire::chunk(&text).into();
        let watchers: Vec<_> = list
            .watchers
            .iter()
            .map(|(&agent, &connection)| (agent, connection))
            .collect();
        let mut deliveries = Vec::new();
        for (to, connection) in watchers {
            if reaches(to) {
                let at = self.send(now, bytes.len());
                let message = Incoming::List(ListMessage {
                    connection,
                    bytes: bytes.clone(),
                    since: now,
                    whole: false,
                });
                deliveries.push(Delivery {
                    to,
                    service,
                    at,
                    message,
                });
            }
        }
        deliveries
    }

    /// Sends a message of this many bytes; returns when the last of them arrives.
    fn send(&mut self, now: Duration, bytes: usize) -> Duration {
        self.sent.add(bytes);
        let delay = LONGEST_DELAY.mul_f64(self.random.random::<f64>());
        if !self.is_paced {
            return now + ONE_WAY + delay;
        }
        let takes = Duration::from_secs_f64(bytes as f64 / BYTES_PER_SECOND);
        self.free_at = self.free_at.max(now) + takes;
        self.free_at + ONE_WAY + delay
    }
}
