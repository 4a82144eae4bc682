//! Unused addresses on loopback for servers and agents under test.
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::sync::atomic::{AtomicU16, Ordering};

/// A TCP address at this host whose port nobody uses now.
///
/// # Panics
/// If no port is free.
pub fn unused_tcp_address(host: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((host, 0))
        .and_then(|listener| listener.local_addr())
        .expect("a free TCP port")
}

/// A UDP address at this host whose port nobody uses now.
///
/// # Panics
/// If no port is free.
pub fn unused_udp_address(host: Ipv4Addr) -> SocketAddr {
    UdpSocket::bind((host, 0))
        .and_then(|socket| socket.local_addr())
        .expect("a free UDP port")
}

/// A loopback host that nothing else in this process uses. It keeps a port that one test releases from being taken at
/// once by another.
pub fn unique_loopback_host() -> Ipv4Addr {
    const HOSTS_PER_BLOCK: u16 = 250;
    const PROCESS_BLOCKS: u32 = 200;
    static NEXT_HOST: AtomicU16 = AtomicU16::new(0);
    let number = NEXT_HOST.fetch_add(1, Ordering::Relaxed);
    let process_block = std::process::id() % PROCESS_BLOCKS;
    Ipv4Addr::new(
        127,
        1 + process_block as u8,
        (number / HOSTS_PER_BLOCK) as u8,
        1 + (number % HOSTS_PER_BLOCK) as u8,
    )
}
