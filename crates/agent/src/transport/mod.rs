//! Byte transport that every protocol of the agent shares: buffers between a socket and a parser, timeouts,
//! notifications between tasks, and the addresses of services that may move.
//!
//! Nothing in here knows a protocol. A connection costs one [`RingBuffer`] for each direction; it starts small, grows
//! up to its bound, and is given back while the connection is idle.
mod arrival;
mod connect;
mod input_reader;
mod notifier;
mod ring_buffer;
mod service_address;

pub use arrival::ArrivalTracker;
pub use connect::{connect, with_timeout};
pub use input_reader::{InputReader, Parse, items};
pub use notifier::{Notifier, WakeSignal};
pub use ring_buffer::RingBuffer;
pub use service_address::ServiceAddress;
