//! System calls that fail for a moment: what a signal interrupts is called again, and a lack of this machine's means is
//! told apart from what the other side did.
use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Timer;

use super::TcpSocket;

/// How long to wait before a call is made again that lacked memory.
const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Makes a call, and makes it again for as long as a signal interrupts it.
///
/// # Errors
/// Any other error of the call.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Whether this machine or process lacks memory, descriptors or ports for a call. The call has done nothing.
#[must_use]
pub fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL)
    )
}

/// Whether `accept` failed for the connection that it was to accept, or for the network below it; others are accepted
/// all the same.
#[must_use]
pub fn is_per_connection_error(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(
            libc::ECONNABORTED
                | libc::EPERM
                | libc::EPROTO
                | libc::ENETDOWN
                | libc::ENOPROTOOPT
                | libc::EHOSTDOWN
                | libc::ENONET
                | libc::EHOSTUNREACH
                | libc::EOPNOTSUPP
                | libc::ENETUNREACH
                | libc::ETIMEDOUT
        )
    )
}

/// Whether `connect` failed at this machine's own end, before anything went to the other side.
#[must_use]
pub(super) fn is_local_connect_failure(error: &io::Error) -> bool {
    is_resource_shortage(error)
        || matches!(
            error.raw_os_error(),
            Some(
                libc::EAGAIN
                    | libc::EADDRINUSE
                    | libc::ENETUNREACH
                    | libc::ENETDOWN
                    | libc::EPERM
                    | libc::EACCES
            )
        )
}

/// How often something is tried again at the start of the agent while the machine lacks the means: for two seconds.
const STARTUP_RETRIES: u32 = 200;

/// Does something at the start of the agent, where nothing else runs yet, and does it again while this machine lacks the
/// means for it. It blocks.
///
/// # Errors
/// Any other error, or the last one of a shortage that lasts for two seconds.
pub fn retry_at_startup<T>(mut action: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..STARTUP_RETRIES {
        match retry_interrupted(&mut action) {
            Err(error) if is_resource_shortage(&error) => std::thread::sleep(RESOURCE_RETRY_DELAY),
            result => return result,
        }
    }
    action()
}

/// Waits before a call is made again that lacked memory.
pub(super) async fn pause_for_resources() {
    Timer::after(RESOURCE_RETRY_DELAY).await;
}

/// Looks at what a socket has without taking it, and without waiting.
///
/// # Errors
/// [`io::ErrorKind::WouldBlock`] if it has nothing; else the socket's error.
pub fn peek(socket: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    retry_interrupted(|| socket.peek(bytes))
}

/// Whether a socket has nothing to be read, not even the end of the stream.
pub fn has_no_input(stream: &TcpSocket) -> bool {
    peek(stream.get_ref(), &mut [0]).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
