//! The address of a service, which may change while the agent runs.
use std::cell::Cell;
use std::net::SocketAddr;

use super::WakeSignal;
use crate::log::ConnectionEnd;

/// The address that a service listens on. A change wakes the one task that waits for it, which then ends its operation
/// at the old address.
#[derive(Debug)]
pub struct ServiceAddress {
    address: Cell<SocketAddr>,
    changed: WakeSignal,
}

impl ServiceAddress {
    /// Creates a service address without a pending change.
    pub fn new(address: SocketAddr) -> Self {
        ServiceAddress {
            address: Cell::new(address),
            changed: WakeSignal::default(),
        }
    }

    /// The current address.
    pub fn get(&self) -> SocketAddr {
        self.address.get()
    }

    /// Changes the address. Nothing happens if it is the current address already.
    pub fn set(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.changed.wake();
        }
    }

    /// Waits until the address has changed.
    ///
    /// # Errors
    ///
    /// Always returns [`ConnectionEnd::AddressChanged`], so that it can end the operation that it is raced against.
    pub async fn changed<T>(&self) -> Result<T, ConnectionEnd> {
        self.changed.wait().await;
        Err(ConnectionEnd::AddressChanged)
    }
}
