//! Sends and receives the datagrams between agents. Datagrams above the length limit are neither sent nor accepted,
//! those from unknown senders are dropped, and lost ones are not sent again.
use std::fmt;
use std::net::{SocketAddr, UdpSocket};
use std::rc::Rc;
use std::time::Duration;

use async_io::{Async, Timer};
use lilacgate_decision::{AgentId, EventHandler as _};

use crate::error::StartError;
use crate::event_loop::EventLoop;
use crate::log::{ConnectionEnd, Count, count, info};
use crate::outbound::PeerSender;
use crate::transport::{retry_at_startup, retry_interrupted};

/// The longest datagram that is sent or accepted, in bytes.
const MAX_DATAGRAM_BYTES: usize = 256;
/// The pause after a failed receive call.
const RECEIVE_PAUSE: Duration = Duration::from_millis(10);

/// The addresses at which agents reach each other.
#[derive(Clone, Debug)]
pub struct PeerAddresses {
    /// Where this agent receives datagrams.
    pub listen: SocketAddr,
    /// The addresses of all agents, this one included, by agent number.
    pub peers: Vec<SocketAddr>,
    /// Where a datagram to all agents is sent.
    pub all: Option<SocketAddr>,
}

/// The socket for datagrams between agents.
pub struct Peers {
    event_loop: Rc<EventLoop>,
    socket: Async<UdpSocket>,
    addresses: PeerAddresses,
}

impl fmt::Debug for Peers {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Peers")
            .field("addresses", &self.addresses)
            .finish_non_exhaustive()
    }
}

impl Peers {
    /// Opens the socket.
    ///
    /// # Errors
    /// Fails if the socket cannot be bound to the address.
    pub fn new(
        event_loop: Rc<EventLoop>,
        addresses: PeerAddresses,
    ) -> Result<Rc<Self>, StartError> {
        let socket =
            retry_at_startup(|| Async::<UdpSocket>::bind(addresses.listen)).map_err(|error| {
                StartError::PeerListen {
                    address: addresses.listen,
                    error,
                }
            })?;
        Ok(Rc::new(Peers {
            event_loop,
            socket,
            addresses,
        }))
    }

    /// Receives datagrams until the agent ends.
    pub async fn run(self: Rc<Self>) {
        // One extra byte, to detect a datagram that is too long.
        let mut buffer = [0; MAX_DATAGRAM_BYTES + 1];
        loop {
            let receive = |socket: &UdpSocket| retry_interrupted(|| socket.recv_from(&mut buffer));
            match self.socket.read_with(receive).await {
                Ok((length, sender)) => self.receive(&buffer[..length], sender),
                Err(error) => {
                    info!(
                        "datagram_receive_failed error={}",
                        ConnectionEnd::from(error)
                    );
                    Timer::after(RECEIVE_PAUSE).await;
                }
            }
        }
    }

    fn receive(&self, payload: &[u8], sender: SocketAddr) {
        let peers = &self.addresses.peers;
        match peers.iter().position(|peer| *peer == sender) {
            // A datagram to all agents may also reach its sender, which ignores it.
            Some(peer) if peers[peer] == self.addresses.listen => {}
            Some(peer) if (1..=MAX_DATAGRAM_BYTES).contains(&payload.len()) => {
                count(Count::DatagramsReceived);
                let payload = payload.to_vec();
                self.event_loop.enqueue(move |router| {
                    router.on_peer_message(AgentId(peer as u32), &payload);
                });
            }
            _ => {
                count(Count::DatagramsDropped);
                info!("datagram_dropped address={sender} bytes={}", payload.len());
            }
        }
    }
}

impl PeerSender for Peers {
    fn send_to_peer(&self, peer: Option<AgentId>, payload: &[u8]) {
        let receiver = match peer {
            Some(peer) => self.addresses.peers.get(peer.0 as usize).copied(),
            None => self.addresses.all,
        };
        let (Some(receiver), true) = (receiver, payload.len() <= MAX_DATAGRAM_BYTES) else {
            let bytes = payload.len();
            return match peer {
                Some(AgentId(peer)) => info!("datagram_not_sent peer={peer} bytes={bytes}"),
                None => info!("datagram_not_sent peer=all bytes={bytes}"),
            };
        };
        match retry_interrupted(|| self.socket.get_ref().send_to(payload, receiver)) {
            Ok(_) => count(Count::DatagramsSent),
            Err(error) => info!(
                "datagram_send_failed address={receiver} error={}",
                ConnectionEnd::from(error)
            ),
        }
    }
}
