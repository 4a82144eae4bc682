//! Hosts many instances of the decision module on the bench's wire, in one process. Instances share nothing but
//! the pages of endpoints that the bench sends once for all of them.
//!
//! [`wire`] knows the bytes: it reads frames of events and writes frames of actions. [`serve`] is the loop that
//! passes events to the instances.

mod delivery;
mod error;
mod host;
mod segment;
pub mod wire;

pub use error::{AdapterError, EventError, RecordLocation};
pub use host::serve;
