//! Handles temporary failures of system calls: retries calls that a signal interrupted, and distinguishes a lack of
//! local resources from failures of the remote side.
use std::io;
use std::net::TcpStream;
use std::time::Duration;

use async_io::Timer;
use rustix::event::{PollFd, PollFlags, Timespec, poll};

use super::TcpSocket;

/// How long to wait before retrying a call that failed for lack of resources.
const RESOURCE_RETRY_DELAY: Duration = Duration::from_millis(10);

/// Makes a call, and repeats it for as long as a signal interrupts it.
///
/// # Errors
///
/// Returns any other error of the call.
pub fn retry_interrupted<T>(mut call: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    loop {
        match call() {
            Err(error) if error.kind() == io::ErrorKind::Interrupted => {}
            result => return result,
        }
    }
}

/// Whether a call failed because this machine or process lacks memory, descriptors or ports. Such a call has had no
/// effect.
#[must_use]
pub fn is_resource_shortage(error: &io::Error) -> bool {
    matches!(
        error.raw_os_error(),
        Some(libc::EMFILE | libc::ENFILE | libc::ENOBUFS | libc::ENOMEM | libc::EADDRNOTAVAIL)
    )
}

/// Whether `accept` failed because of the one connection that it was about to accept or its network. Other connections
/// can still be accepted.
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

/// Whether `connect` failed on this machine, before anything was sent to the remote side.
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

/// How many times an action is retried at start-up while this machine lacks resources; 200 retries take 2 s.
const STARTUP_RETRIES: u32 = 200;

/// Runs an action at start-up, and retries it while this machine lacks resources. It blocks the thread, so it must be
/// called only before the event loop runs.
///
/// # Errors
///
/// Returns any other error, or the last one if resources are lacking for two seconds.
pub fn retry_at_startup<T>(mut action: impl FnMut() -> io::Result<T>) -> io::Result<T> {
    for _ in 0..STARTUP_RETRIES {
        match retry_interrupted(&mut action) {
            Err(error) if is_resource_shortage(&error) => std::thread::sleep(RESOURCE_RETRY_DELAY),
            result => return result,
        }
    }
    action()
}

/// Waits before a call that failed for lack of resources is retried.
pub(super) async fn pause_for_resources() {
    Timer::after(RESOURCE_RETRY_DELAY).await;
}

/// Copies available input of a socket without consuming it, and without waiting.
///
/// # Errors
///
/// Returns [`io::ErrorKind::WouldBlock`] if there is no input, otherwise the socket's error.
pub fn peek(socket: &TcpStream, bytes: &mut [u8]) -> io::Result<usize> {
    retry_interrupted(|| socket.peek(bytes))
}

/// Whether the other side has closed its sending side, even if input before the end of the stream has not been read yet.
pub fn has_hung_up(stream: &TcpStream) -> bool {
    let mut polled = [PollFd::new(stream, PollFlags::RDHUP)];
    let now = Timespec::default();
    let is_ready = matches!(poll(&mut polled, Some(&now)), Ok(1));
    is_ready && polled[0].revents().contains(PollFlags::RDHUP)
}

/// Whether a socket has nothing to read, not even the end of the stream.
pub fn has_no_input(stream: &TcpSocket) -> bool {
    peek(stream.get_ref(), &mut [0]).is_err_and(|error| error.kind() == io::ErrorKind::WouldBlock)
}
