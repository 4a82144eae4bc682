//! Owns the datagrams between agents. It must never send one that is longer than the bound, nor pass on one from a
//! stranger; what is lost is lost.
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;

use async_io::Async;
use lilacgate_decision::{AgentId, EventHandler};

use crate::event_loop::{EventLoop, PeerSender};
use crate::log::{Count, End, count, info};

/// The longest datagram.
const MOST: usize = 256;

pub struct Peers {
    event_loop: Rc<EventLoop>,
    socket: Async<UdpSocket>,
    own: SocketAddr,
    peers: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    pub fn new(
        event_loop: Rc<EventLoop>,
        listen: SocketAddr,
        peers: Vec<SocketAddr>,
        all: Option<SocketAddr>,
    ) -> Result<Rc<Self>, String> {
        let socket = Async::<UdpSocket>::bind(listen)
            .map_err(|fault| format!("peer_listen {listen}: {fault}"))?;
        Ok(Rc::new(Peers {
            event_loop,
            socket,
            own: listen,
            peers,
            all,
        }))
    }

    pub async fn run(self: Rc<Self>) {
        let mut octets = [0; MOST + 1];
        loop {
            match self.socket.recv_from(&mut octets).await {
                Ok((len, from)) => match self.peers.iter().position(|peer| *peer == from) {
                    // One to all may come back to its sender.
                    Some(peer) if self.peers[peer] == self.own => {}
                    Some(peer) if (1..=MOST).contains(&len) => {
                        count(Count::PeersIn);
                        let octets = octets[..len].to_vec();
                        self.event_loop.enqueue(move |router| {
                            router.on_peer_message(AgentId(peer as u32), &octets)
                        });
                    }
                    _ => {
                        count(Count::Strangers);
                        info!("a datagram of {len} octets from {from} is dropped");
                    }
                },
                Err(fault) => info!("a datagram was not read: {}", End::from(fault)),
            }
        }
    }
}

impl PeerSender for Peers {
    /// To one peer, or to all of them.
    fn tell(&self, peer: Option<AgentId>, octets: &[u8]) {
        let to = match peer {
            Some(peer) => self.peers.get(peer.0 as usize).copied(),
            None => self.all,
        };
        let (Some(to), true) = (to, octets.len() <= MOST) else {
            return info!(
                "a datagram of {} octets to {peer:?} stays here",
                octets.len()
            );
        };
        match self.socket.get_ref().send_to(octets, to) {
            Ok(_) => count(Count::PeersOut),
            Err(fault) => info!("a datagram to {to} is lost: {}", End::from(fault)),
        }
    }
}
