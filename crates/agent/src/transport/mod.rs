//! Byte transport that every protocol of the agent shares: buffers between a socket and a parser, timeouts,
//! notifications between tasks, and the addresses of services that may move.
//!
//! Nothing in here knows a protocol. A connection costs one [`RingBuffer`] for each direction; it starts small, grows
//! up to its bound, and is given back while the connection is idle.
use std::net::TcpStream;
use std::sync::Arc;

use async_io::Async;

mod arrival;
mod connect;
mod input_reader;
mod notifier;
mod ring_buffer;
mod service_address;
mod system_call;

pub use arrival::ArrivalTracker;
pub use connect::{connect, with_timeout};
pub use input_reader::{InputReader, Parse, items};
pub use notifier::{Notifier, WakeSignal};
pub use ring_buffer::RingBuffer;
pub use service_address::ServiceAddress;
pub use system_call::{
    has_no_input, is_per_connection_error, is_resource_shortage, peek, retry_at_startup,
    retry_interrupted,
};

/// A TCP connection that the event loop watches. The stream is shared, so that it outlives a failed attempt to watch it.
pub type TcpSocket = Async<Arc<TcpStream>>;
