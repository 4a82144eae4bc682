//! Asks the kernel how much of what was written to a connection the remote machine has not acknowledged.
//!
//! That is told by the kernel's socket diagnostics, over a netlink socket. A query does not wait, and takes some
//! microseconds.
use std::cell::{Cell, RefCell};
use std::io;
use std::net::{IpAddr, SocketAddr};

use netlink_packet_core::{NLM_F_REQUEST, NetlinkHeader, NetlinkMessage, NetlinkPayload};
use netlink_packet_sock_diag::SockDiagMessage;
use netlink_packet_sock_diag::constants::{AF_INET, AF_INET6, IPPROTO_TCP};
use netlink_packet_sock_diag::inet::nlas::Nla;
use netlink_packet_sock_diag::inet::{
    ExtensionFlags, InetRequest, InetResponse, SocketId, StateFlags,
};
use netlink_sys::protocols::NETLINK_SOCK_DIAG;
use netlink_sys::{Socket, SocketAddr as NetlinkAddress};

use super::TcpSocket;

/// The address of the kernel on a netlink socket.
const KERNEL: (u32, u32) = (0, 0);
/// Longer than the kernel's description of one socket.
const MAX_RESPONSE: usize = 4 << 10;
/// How many responses to earlier queries are skipped.
const MAX_STALE_RESPONSES: usize = 4;
/// A socket id's cookie that stands for any socket.
const ANY_COOKIE: [u8; 8] = [0xff; 8];

/// The addresses of both ends of a connection, which identify it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct SocketAddresses {
    local: SocketAddr,
    remote: SocketAddr,
}

impl SocketAddresses {
    /// Returns the addresses of a connection.
    ///
    /// # Errors
    ///
    /// Returns the socket's error, if it is not connected any more.
    pub(crate) fn of(stream: &TcpSocket) -> io::Result<Self> {
        Ok(SocketAddresses {
            local: stream.get_ref().local_addr()?,
            remote: stream.get_ref().peer_addr()?,
        })
    }

    fn query(self) -> InetRequest {
        let family = match self.local.ip() {
            IpAddr::V4(_) => AF_INET,
            IpAddr::V6(_) => AF_INET6,
        };
        InetRequest {
            family,
            protocol: IPPROTO_TCP,
            extensions: ExtensionFlags::INFO,
            states: StateFlags::all(),
            socket_id: SocketId {
                source_port: self.local.port(),
                destination_port: self.remote.port(),
                source_address: self.local.ip(),
                destination_address: self.remote.ip(),
                interface_id: 0,
                cookie: ANY_COOKIE,
            },
        }
    }
}

/// What the kernel holds of the bytes that were written to a connection.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct SendQueue {
    /// Bytes that have not been acknowledged, sent or not.
    pub(crate) unacknowledged: u32,
    /// Bytes that have never been sent.
    pub(crate) unsent: u32,
}

/// Reads the send queues of connections.
#[derive(Default)]
pub(crate) struct SendQueueReader {
    /// The netlink socket, opened by the first query.
    socket: RefCell<Option<Socket>>,
    last_sequence_number: Cell<u32>,
}

impl SendQueueReader {
    /// Reads the send queue of an open connection.
    ///
    /// # Errors
    ///
    /// Returns an error if the kernel has no socket diagnostics, if it does not know the connection, or if this process lacks
    /// resources.
    pub(crate) fn read(&self, addresses: SocketAddresses) -> io::Result<SendQueue> {
        let mut socket = self.socket.borrow_mut();
        let socket = match &mut *socket {
            Some(socket) => socket,
            None => socket.insert(open_socket()?),
        };
        let sequence_number = self.last_sequence_number.get().wrapping_add(1);
        self.last_sequence_number.set(sequence_number);
        let query = encode_query(addresses.query(), sequence_number);
        socket.send_to(&query, &NetlinkAddress::new(KERNEL.0, KERNEL.1), 0)?;
        for _ in 0..=MAX_STALE_RESPONSES {
            let mut bytes = Vec::with_capacity(MAX_RESPONSE);
            socket.recv_from(&mut bytes, 0)?;
            let response = NetlinkMessage::<SockDiagMessage>::deserialize(&bytes)
                .map_err(|error| io::Error::new(io::ErrorKind::InvalidData, error.to_string()))?;
            if response.header.sequence_number == sequence_number {
                return send_queue(response.payload);
            }
        }
        Err(io::ErrorKind::InvalidData.into())
    }
}

fn open_socket() -> io::Result<Socket> {
    let mut socket = Socket::new(NETLINK_SOCK_DIAG)?;
    socket.set_non_blocking(true)?;
    socket.bind_auto()?;
    Ok(socket)
}

fn encode_query(query: InetRequest, sequence_number: u32) -> Vec<u8> {
    let mut header = NetlinkHeader::default();
    header.flags = NLM_F_REQUEST;
    header.sequence_number = sequence_number;
    let mut message = NetlinkMessage::new(header, SockDiagMessage::InetRequest(query).into());
    message.finalize();
    let mut bytes = vec![0; message.buffer_len()];
    message.serialize(&mut bytes);
    bytes
}

fn send_queue(payload: NetlinkPayload<SockDiagMessage>) -> io::Result<SendQueue> {
    match payload {
        NetlinkPayload::InnerMessage(SockDiagMessage::InetResponse(response)) => {
            unsent_bytes(&response)
                .map(|unsent| SendQueue {
                    unacknowledged: response.header.send_queue,
                    unsent,
                })
                .ok_or_else(|| io::ErrorKind::Unsupported.into())
        }
        NetlinkPayload::Error(error) => Err(error.to_io()),
        _ => Err(io::ErrorKind::InvalidData.into()),
    }
}

fn unsent_bytes(response: &InetResponse) -> Option<u32> {
    response.nlas.iter().find_map(|attribute| match attribute {
        Nla::TcpInfo(info) => Some(info.notsent_bytes),
        _ => None,
    })
}
