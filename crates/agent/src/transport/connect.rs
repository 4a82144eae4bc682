//! Outgoing TCP connections, and timeouts for any network operation.
use std::future::Future;
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use async_io::{Async, Timer};
use futures_lite::{FutureExt, pin};

use crate::log::ConnectionEnd;

/// Opens a connection with Nagle's algorithm switched off.
///
/// # Errors
///
/// [`ConnectionEnd::TimedOut`] if the connection is not established within `timeout`, else the code of the socket's
/// error.
pub async fn connect(
    address: SocketAddr,
    timeout: Duration,
) -> Result<Async<TcpStream>, ConnectionEnd> {
    let stream = with_timeout(timeout, async {
        Async::<TcpStream>::connect(address)
            .await
            .map_err(ConnectionEnd::from)
    })
    .await?;
    stream
        .get_ref()
        .set_nodelay(true)
        .map_err(ConnectionEnd::from)?;
    Ok(stream)
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
