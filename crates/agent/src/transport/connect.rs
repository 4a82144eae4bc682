//! Opens outgoing TCP connections, and applies timeouts to network operations.
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

/// The delay before the first retry after a local failure to connect; it doubles with each further retry.
const FIRST_RETRY_PAUSE: Duration = Duration::from_millis(2);
/// How many times a local failure to connect is retried, for 126 ms in total. Nothing has been sent to the remote side
/// in such a failure.
const LOCAL_RETRIES: u32 = 6;

/// Why a connection could not be opened.
#[derive(Debug)]
enum ConnectError {
    /// This machine lacks resources or a route; nothing has been sent.
    Local(io::Error),
    /// The remote side refused the connection or could not be reached.
    Remote(io::Error),
}

impl From<ConnectError> for ConnectionEnd {
    fn from(error: ConnectError) -> ConnectionEnd {
        match error {
            // If there is still no route after the retries, the remote side counts as unreachable.
            ConnectError::Local(error) if error.kind() != io::ErrorKind::NetworkUnreachable => {
                ConnectionEnd::ResourceLimit
            }
            ConnectError::Local(error) | ConnectError::Remote(error) => error.into(),
        }
    }
}

/// Opens a connection with Nagle's algorithm disabled. Retries for a short time if this machine lacks resources or a
/// route.
///
/// # Errors
///
/// Returns [`ConnectionEnd::TimedOut`] if the connection is not established within `timeout`,
/// [`ConnectionEnd::ResourceLimit`] if this machine lacks resources, otherwise the code of the socket's error.
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
    // An interrupted call may have started the connection. The next call then fails with EALREADY or EISCONN, which is
    // no failure.
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

/// Awaits an operation for at most `timeout`. Every wait for a peer needs a timeout, because a peer that has
/// disappeared sends no reset.
///
/// # Errors
///
/// Returns [`ConnectionEnd::TimedOut`] after the timeout, otherwise the error of the operation itself.
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
