//! What becomes of written bytes that are still in the kernel when a connection is closed.
use std::time::Duration;

use socket2::SockRef;

use super::TcpSocket;

/// Makes the connection close abortively: the kernel discards what the remote machine has not acknowledged, and resets
/// the connection. Otherwise it would go on sending, for as long as its retransmissions last. It also holds if the process
/// is killed.
pub(crate) fn close_abortively(stream: &TcpSocket) {
    set_linger(stream, Some(Duration::ZERO));
}

/// Makes the connection close as usual: what has been written is delivered, and then the end of the stream.
pub(crate) fn close_gracefully(stream: &TcpSocket) {
    set_linger(stream, None);
}

fn set_linger(stream: &TcpSocket, linger: Option<Duration>) {
    let socket = SockRef::from(stream.get_ref().as_ref());
    // It fails only for a socket that is no socket any more.
    socket.set_linger(linger).ok();
}
