//! Carries the datagrams between agents, and counts them. Each agent has a socket here that stands for it: the others
//! know that socket's address as the peer's, so that what goes between two agents passes here and still comes from a
//! peer's address.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;

use tokio::net::UdpSocket;

use crate::error::LoopbackError;
use crate::traffic::{Counts, Traffic};

/// Longer than any datagram of an agent's.
const DATAGRAM_LIMIT: usize = 2048;

/// A running relay.
#[derive(Debug)]
pub struct Relay {
    /// The addresses that stand for the agents towards their peers, by agent number.
    stand_ins: Vec<SocketAddr>,
    /// The address that stands for all agents.
    all: SocketAddr,
    shared: Arc<Shared>,
}

#[derive(Debug)]
struct Shared {
    agents: Vec<SocketAddr>,
    sockets: Vec<UdpSocket>,
    traffic: Traffic,
    /// What was sent to each agent.
    to_each: Vec<Traffic>,
}

impl Shared {
    fn number_of(&self, address: SocketAddr) -> Option<usize> {
        self.agents.iter().position(|agent| *agent == address)
    }

    async fn carry(&self, from: usize, to: usize, datagram: &[u8]) {
        let counted = [&self.traffic, &self.to_each[to]];
        // Counted first: its receiver may read the counts as soon as it has it.
        counted
            .iter()
            .for_each(|traffic| traffic.sent(datagram.len()));
        let sent = self.sockets[from].send_to(datagram, self.agents[to]).await;
        if sent.is_err() {
            counted
                .iter()
                .for_each(|traffic| traffic.not_sent(datagram.len()));
        }
    }
}

impl Relay {
    /// Starts a relay between agents that listen at these addresses.
    ///
    /// # Errors
    /// [`LoopbackError::Setup`] if a socket cannot be bound.
    pub async fn start(host: Ipv4Addr, agents: Vec<SocketAddr>) -> Result<Self, LoopbackError> {
        let mut sockets = Vec::with_capacity(agents.len());
        for _ in &agents {
            sockets.push(bind(host).await?);
        }
        let to_all = bind(host).await?;
        let all = address(&to_all)?;
        let stand_ins = sockets.iter().map(address).collect::<Result<_, _>>()?;
        let to_each = agents.iter().map(|_| Traffic::default()).collect();
        let shared = Arc::new(Shared {
            agents,
            sockets,
            traffic: Traffic::default(),
            to_each,
        });
        for to in 0..shared.agents.len() {
            tokio::spawn(carry_to_one(to, shared.clone()));
        }
        tokio::spawn(carry_to_all(to_all, shared.clone()));
        Ok(Relay {
            stand_ins,
            all,
            shared,
        })
    }

    /// The peers' addresses in the start file of the agent with this number; its own entry is `own`.
    ///
    /// # Panics
    /// If there is no agent with this number.
    pub fn peers_of(&self, agent: usize, own: SocketAddr) -> Vec<SocketAddr> {
        let mut peers = self.stand_ins.clone();
        peers[agent] = own;
        peers
    }

    /// The address that stands for all agents.
    pub fn all(&self) -> SocketAddr {
        self.all
    }

    /// Datagrams received from agents, and sent on to them.
    pub fn traffic(&self) -> &Traffic {
        &self.shared.traffic
    }

    /// What was sent to each agent so far, by its number.
    pub fn counts_to_each(&self) -> Vec<Counts> {
        self.shared.to_each.iter().map(Traffic::counts).collect()
    }
}

async fn bind(host: Ipv4Addr) -> Result<UdpSocket, LoopbackError> {
    UdpSocket::bind((host, 0))
        .await
        .map_err(LoopbackError::setup("the datagram relay"))
}

fn address(socket: &UdpSocket) -> Result<SocketAddr, LoopbackError> {
    socket
        .local_addr()
        .map_err(LoopbackError::setup("the datagram relay"))
}

async fn carry_to_one(to: usize, shared: Arc<Shared>) {
    let mut datagram = [0; DATAGRAM_LIMIT];
    loop {
        let Ok((length, sender)) = shared.sockets[to].recv_from(&mut datagram).await else {
            continue;
        };
        let Some(from) = shared.number_of(sender) else {
            continue;
        };
        shared.traffic.received(length);
        shared.carry(from, to, &datagram[..length]).await;
    }
}

async fn carry_to_all(socket: UdpSocket, shared: Arc<Shared>) {
    let mut datagram = [0; DATAGRAM_LIMIT];
    loop {
        let Ok((length, sender)) = socket.recv_from(&mut datagram).await else {
            continue;
        };
        let Some(from) = shared.number_of(sender) else {
            continue;
        };
        shared.traffic.received(length);
        for to in (0..shared.agents.len()).filter(|to| *to != from) {
            shared.carry(from, to, &datagram[..length]).await;
        }
    }
}
