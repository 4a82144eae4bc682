//! Runs many instances of the decision module in one process, driven by the simulator's wire protocol. Instances
//! share no state but the pages of endpoints, which the simulator sends once for all of them.
//!
//! [`wire`] decodes frames of events and encodes frames of actions. [`serve`] is the loop that passes events to the
//! instances.

mod delivery;
mod error;
mod host;
mod segment;
pub mod wire;

pub use error::{AdapterError, EventError, RecordLocation};
pub use host::serve;
