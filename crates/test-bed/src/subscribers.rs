//! Connections that get every update, and heartbeats between updates.
use std::io::Write;
use std::net::TcpStream;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread;
use std::time::Duration;

use crate::listener::lock;

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(250);

/// The subscribers of a stand-in. All clones share their connections.
#[derive(Clone, Debug)]
pub(crate) struct Subscribers {
    connections: Arc<Mutex<Vec<TcpStream>>>,
    /// Whether the heartbeat thread runs on.
    running: Arc<AtomicBool>,
    /// Whether heartbeats are sent.
    alive: Arc<AtomicBool>,
}

impl Subscribers {
    /// Starts the heartbeat thread; it ends after [`Subscribers::stop`].
    pub(crate) fn new(heartbeat: &'static [u8]) -> Subscribers {
        let subscribers = Subscribers {
            connections: Arc::default(),
            running: Arc::new(AtomicBool::new(true)),
            alive: Arc::new(AtomicBool::new(true)),
        };
        let shared = subscribers.clone();
        thread::spawn(move || {
            while shared.running.load(Ordering::Relaxed) {
                thread::sleep(HEARTBEAT_INTERVAL);
                if shared.is_alive() {
                    shared.send(heartbeat);
                }
            }
        });
        subscribers
    }

    /// Writes to all subscribers; those that cannot be written are removed.
    pub(crate) fn send(&self, bytes: &[u8]) {
        self.lock()
            .retain_mut(|connection| connection.write_all(bytes).is_ok());
    }

    /// Locks the connections. No update is sent meanwhile, so that a new subscriber misses none and gets none twice.
    pub(crate) fn lock(&self) -> MutexGuard<'_, Vec<TcpStream>> {
        lock(&self.connections)
    }

    pub(crate) fn is_alive(&self) -> bool {
        self.alive.load(Ordering::Relaxed)
    }

    /// Whether heartbeats are sent from now on.
    pub(crate) fn set_alive(&self, alive: bool) {
        self.alive.store(alive, Ordering::Relaxed);
    }

    /// Ends the heartbeat thread.
    pub(crate) fn stop(&self) {
        self.running.store(false, Ordering::Relaxed);
    }
}
