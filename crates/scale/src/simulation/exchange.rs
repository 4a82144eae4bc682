//! The network of a simulation: what agents have sent is delivered between slices.
use std::sync::Arc;
use std::time::Duration;

use lilacgate_capacity::fleet::{RegionId, ZoneId};
use lilacgate_decision::{AgentId, Outcome};

use super::Simulation;
use super::attempts::OpenAttempt;
use crate::discovery::Delivery;
use crate::endpoint::{CONNECT_TIMEOUT, Reply};
use crate::module::ModuleEvent;
use crate::network::{AttemptCall, Incoming, ONE_WAY, Outgoing, Sent, ServiceIndex};

/// A message with its sender.
struct FromAgent {
    agent: AgentId,
    sent: Sent,
}

/// A datagram on its way from an agent.
struct Datagram {
    from: AgentId,
    service: ServiceIndex,
    /// When it was sent.
    sent: Duration,
    payload: Arc<[u8]>,
}

impl Simulation {
    /// Delivers the ends of attempts before the end of a slice.
    pub(super) fn deliver_attempt_ends(&mut self, end: Duration) {
        while let Some(ended) = self.open_attempts.pop_before(end) {
            let incoming = Incoming::Ended {
                attempt: ended.attempt,
                outcome: ended.outcome,
            };
            let agent = &mut self.agents[ended.agent.0 as usize];
            agent.deliver(ended.at, ended.service, incoming);
        }
    }

    /// Delivers a message to its agent, now at the earliest.
    pub(super) fn deliver(&mut self, delivery: Delivery) {
        if let Some(agent) = self.agents.get_mut(delivery.to.0 as usize) {
            let at = delivery.at.max(self.now);
            agent.deliver(at, delivery.service, delivery.message);
        }
    }

    /// Delivers what agents have sent in the last slice.
    pub(super) fn exchange(&mut self) {
        let mut messages: Vec<FromAgent> = Vec::new();
        for agent in &mut self.agents {
            let id = agent.id;
            let sent = agent.outbox.drain(..);
            messages.extend(sent.map(|sent| FromAgent { agent: id, sent }));
        }
        // The sort is stable: an agent's messages of the same moment stay in their order.
        messages.sort_by_key(|message| (message.sent.at, message.agent));
        for message in messages {
            self.transmit(message.agent, message.sent);
        }
    }

    fn transmit(&mut self, agent: AgentId, sent: Sent) {
        let Sent {
            at,
            service,
            message,
        } = sent;
        match message {
            Outgoing::Attempt(call) => self.transmit_attempt(agent, at, service, call),
            Outgoing::Datagram { to, payload } => {
                let datagram = Datagram {
                    from: agent,
                    service,
                    sent: at,
                    payload,
                };
                self.transmit_datagram(to, &datagram);
            }
            Outgoing::Vote { vote, .. } => self.platform.vote(at, service, vote),
            Outgoing::Watch { connection } if !self.reaches_discovery(agent) => {
                self.close_watch(agent, service, connection);
            }
            Outgoing::Watch { connection } => {
                let delivery = self.discovery.watch(at, service, agent, connection);
                self.deliver(delivery);
            }
            Outgoing::Unwatch => self.discovery.unwatch(service, agent),
        }
    }

    fn transmit_attempt(
        &mut self,
        agent: AgentId,
        sent: Duration,
        service: ServiceIndex,
        call: AttemptCall,
    ) {
        let endpoints = &self.directories[service.0 as usize];
        let endpoint = endpoints.get(&call.to).copied();
        let reply = match endpoint {
            Some(index) => self.attempt(agent, index, sent, &call),
            None => Reply {
                outcome: Outcome::ConnectFailed,
                at: sent + ONE_WAY,
            },
        };
        self.open_attempts.push(OpenAttempt {
            at: reply.at.max(self.now),
            agent,
            service,
            attempt: call.attempt,
            outcome: reply.outcome,
            endpoint,
        });
    }

    fn attempt(&mut self, agent: AgentId, index: u32, sent: Duration, call: &AttemptCall) -> Reply {
        let zone = ZoneId(self.endpoints[index as usize].zone);
        let is_cut_off =
            self.is_partitioned && self.region(agent) != self.common.fleet.region(zone);
        if is_cut_off {
            return Reply {
                outcome: Outcome::TimedOut,
                at: call.until,
            };
        }
        self.endpoints[index as usize].take(sent, call.work, call.until)
    }

    /// Delivers a datagram to one peer, or to all for `None`.
    fn transmit_datagram(&mut self, to: Option<AgentId>, datagram: &Datagram) {
        let all = self.agents.len() as u32;
        let receivers = to.map_or(0..all, |to| to.0..to.0 + 1).map(AgentId);
        for to in receivers.filter(|to| *to != datagram.from) {
            if !self.reaches(datagram.from, to) {
                continue;
            }
            let event = ModuleEvent::Datagram(datagram.from, datagram.payload.clone());
            self.deliver(Delivery {
                to,
                service: datagram.service,
                at: datagram.sent + ONE_WAY,
                message: Incoming::Event(event),
            });
        }
    }

    /// The region of an agent.
    pub fn region(&self, agent: AgentId) -> RegionId {
        let fleet = &self.common.fleet;
        fleet.region(fleet.agents[agent.0 as usize].zone)
    }

    fn reaches(&self, from: AgentId, to: AgentId) -> bool {
        !self.is_partitioned || self.region(from) == self.region(to)
    }

    /// Whether an agent reaches discovery, which is in the first region.
    pub(super) fn reaches_discovery(&self, agent: AgentId) -> bool {
        !self.is_partitioned || self.region(agent) == RegionId(0)
    }

    /// A watch's connection ends, or cannot be opened.
    fn close_watch(&mut self, to: AgentId, service: ServiceIndex, connection: u32) {
        self.deliver(Delivery {
            to,
            service,
            at: self.now + CONNECT_TIMEOUT,
            message: Incoming::ListClosed { connection },
        });
    }

    /// Cuts the network between the regions: watches across it end, attempts and datagrams get
    /// lost. Messages on their way still arrive.
    pub fn partition_regions(&mut self) {
        self.is_partitioned = true;
        for agent in (0..self.agents.len() as u32).map(AgentId) {
            if self.reaches_discovery(agent) {
                continue;
            }
            for service in (0..self.common.size.services).map(ServiceIndex) {
                self.discovery.unwatch(service, agent);
                let module = &self.agents[agent.0 as usize].modules[service.0 as usize];
                let connection = module.connection;
                self.close_watch(agent, service, connection);
            }
        }
    }

    /// Joins the regions again.
    pub fn join_regions(&mut self) {
        self.is_partitioned = false;
    }
}
