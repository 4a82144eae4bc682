//! The address of a service that may move while the agent runs.
use std::cell::Cell;
use std::net::SocketAddr;

use super::WakeSignal;
use crate::log::ConnectionEnd;

/// Where a service listens. A change ends what one task does at the old address.
#[derive(Debug)]
pub struct ServiceAddress {
    address: Cell<SocketAddr>,
    changed: WakeSignal,
}

impl ServiceAddress {
    /// Starts with this address.
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

    /// Moves the service; nothing happens if this is its address already.
    pub fn set(&self, address: SocketAddr) {
        if self.address.replace(address) != address {
            self.changed.wake();
        }
    }

    /// Waits until the address has changed.
    ///
    /// # Errors
    ///
    /// Always [`ConnectionEnd::AddressChanged`], so that it can end the operation it is raced against.
    pub async fn changed<T>(&self) -> Result<T, ConnectionEnd> {
        self.changed.wait().await;
        Err(ConnectionEnd::AddressChanged)
    }
}
