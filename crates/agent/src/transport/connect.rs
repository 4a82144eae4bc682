//! Outgoing TCP connections, and timeouts for any network operation.
use std::future::Future;
use std::io;
use std::net::{SocketAddr, TcpStream};
use std::sync::Arc;
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{FutureExt, pin};
use socket2::{Domain, Protocol, Socket, Type};

use super::TcpSocket;
use super::system_call::{is_local_connect_failure, retry_interrupted};
use crate::log::ConnectionEnd;

/// The first pause after a connection could not be opened for lack of this machine's means; each further one is twice
/// as long.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// How often that is tried again, which takes an eighth of a second together. Nothing has gone to the other side then.
const LOCAL_RETRIES: u32 = 6;

/// Why a connection could not be opened.
#[derive(Debug)]
enum ConnectError {
    /// This machine lacks the means, or has no way there; nothing has been sent.
    Local(io::Error),
    /// The other side did not take it, or it did not get there.
    Remote(io::Error),
}

impl From<ConnectError> for ConnectionEnd {
    fn from(error: ConnectError) -> ConnectionEnd {
        match error {
            // Without a route for longer than a moment, it is the other side that cannot be reached.
            ConnectError::Local(error) if error.kind() != io::ErrorKind::NetworkUnreachable => {
                ConnectionEnd::ResourceLimit
            }
            ConnectError::Local(error) | ConnectError::Remote(error) => error.into(),
        }
    }
}

/// Opens a connection with Nagle's algorithm switched off. What this machine lacks for a moment is tried again.
///
/// # Errors
///
/// [`ConnectionEnd::TimedOut`] if the connection is not established within `timeout`,
/// [`ConnectionEnd::ResourceLimit`] if this machine lacks the means, else the code of the socket's error.
pub async fn connect(address: SocketAddr, timeout: Duration) -> Result<TcpSocket, ConnectionEnd> {
    let stream = with_timeout(timeout, async { Ok(connect_with_retries(address).await?) }).await?;
    stream
        .get_ref()
        .set_nodelay(true)
        .map_err(ConnectionEnd::from)?;
    Ok(stream)
}

async fn connect_with_retries(address: SocketAddr) -> Result<TcpSocket, ConnectError> {
    let mut pause = FIRST_RETRY_PAUSE;
    for _ in 0..LOCAL_RETRIES {
        match try_connect(address).await {
            Err(ConnectError::Local(_)) => Timer::after(pause).await,
            result => return result,
        };
        pause *= 2;
    }
    try_connect(address).await
}

async fn try_connect(address: SocketAddr) -> Result<TcpSocket, ConnectError> {
    let kind = Type::STREAM.nonblocking();
    let socket = Socket::new(Domain::for_address(address), kind, Some(Protocol::TCP));
    let socket = socket.map_err(ConnectError::Local)?;
    // A call that was interrupted may go on connecting: the next one tells.
    if let Err(error) = retry_interrupted(|| socket.connect(&address.into())) {
        let is_under_way = matches!(
            error.raw_os_error(),
            Some(libc::EINPROGRESS | libc::EALREADY | libc::EISCONN)
        );
        if is_local_connect_failure(&error) {
            return Err(ConnectError::Local(error));
        }
        if !is_under_way {
            return Err(ConnectError::Remote(error));
        }
    }
    let stream = Arc::new(TcpStream::from(socket));
    let stream = Async::new_nonblocking(stream).map_err(ConnectError::Local)?;
    stream.writable().await.map_err(ConnectError::Local)?;
    match stream.get_ref().take_error() {
        Ok(None) => Ok(stream),
        Ok(Some(error)) | Err(error) => Err(ConnectError::Remote(error)),
    }
}

/// Awaits an operation for at most `timeout`. Every wait for a peer needs one: a peer that has vanished sends no reset.
///
/// # Errors
///
/// [`ConnectionEnd::TimedOut`] after the timeout, else the error of the operation itself.
pub async fn with_timeout<T>(
    timeout: Duration,
    operation: impl Future<Output = Result<T, ConnectionEnd>>,
) -> Result<T, ConnectionEnd> {
    let timed_out = async {
        Timer::after(timeout).await;
        Err(ConnectionEnd::TimedOut)
    };
    pin!(operation);
    operation.or(timed_out).await
}
