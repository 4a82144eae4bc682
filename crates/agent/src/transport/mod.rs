//! Byte transport that all protocols of the agent share: buffers between a socket and a parser, timeouts, notifications
//! between tasks, and the addresses of services that may change.
//!
//! This module is independent of any protocol. A connection has one [`RingBuffer`] for each direction, which starts
//! small, grows up to its limit, and is freed while the connection is idle.
use std::net::TcpStream;
use std::sync::Arc;

use async_io::Async;

mod arrival;
mod backlog;
mod byte_budget;
mod close_mode;
mod connect;
mod input_reader;
mod notifier;
mod ring_buffer;
mod send_queue;
mod service_address;
mod system_call;

pub use arrival::ArrivalTracker;
pub use backlog::BacklogTracker;
pub use byte_budget::{ByteBudget, ByteLimit, ByteReservation};
pub(crate) use close_mode::{close_abortively, close_gracefully};
pub use connect::{connect, with_timeout};
pub use input_reader::{InputReader, Parse, items};
pub use notifier::{Notifier, WakeSignal};
pub use ring_buffer::RingBuffer;
pub(crate) use send_queue::{SendQueue, SendQueueReader, SocketAddresses};
pub use service_address::ServiceAddress;
pub use system_call::{
    has_hung_up, has_no_input, is_per_connection_error, is_resource_shortage, peek,
    retry_at_startup, retry_interrupted,
};

/// A TCP connection that is registered with the event loop. The stream is shared so that it survives a failed
/// registration.
pub type TcpSocket = Async<Arc<TcpStream>>;
