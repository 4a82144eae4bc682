//! A TCP listener with a thread for each connection, which ends when it is dropped.
use std::fmt;
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::thread::{self, JoinHandle};

/// Locks a mutex, also after a thread panicked while it held it: what a test asserts rests on the event log, not on
/// the stand-ins' threads.
pub(crate) fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}

/// Listens until it is dropped.
pub(crate) struct Listener {
    /// Where it listens.
    pub(crate) address: SocketAddr,
    running: Arc<AtomicBool>,
    connections: Arc<Mutex<Vec<TcpStream>>>,
    accept_thread: Option<JoinHandle<()>>,
}

impl Listener {
    /// Listens on an unused port of this host, and calls `serve` for each connection in a thread of its own.
    pub(crate) fn new(
        host: Ipv4Addr,
        serve: impl Fn(TcpStream) + Send + Sync + 'static,
    ) -> Listener {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        let running = Arc::new(AtomicBool::new(true));
        let connections = Arc::<Mutex<Vec<TcpStream>>>::default();
        let (still_running, accepted) = (running.clone(), connections.clone());
        let serve = Arc::new(serve);
        let accept_thread = thread::spawn(move || {
            for connection in listener.incoming().flatten() {
                if !still_running.load(Ordering::Relaxed) {
                    return;
                }
                lock(&accepted).extend(connection.try_clone());
                let serve = serve.clone();
                thread::spawn(move || serve(connection));
            }
        });
        Listener {
            address,
            running,
            connections,
            accept_thread: Some(accept_thread),
        }
    }

    /// Closes all connections that were accepted so far.
    pub(crate) fn close_connections(&self) {
        lock(&self.connections)
            .drain(..)
            .for_each(|connection| drop(connection.shutdown(Shutdown::Both)));
    }
}

impl Drop for Listener {
    fn drop(&mut self) {
        self.running.store(false, Ordering::Relaxed);
        // Wakes the accept thread.
        TcpStream::connect(self.address).ok();
        self.accept_thread.take().map(|thread| thread.join().ok());
        self.close_connections();
    }
}

impl fmt::Debug for Listener {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("Listener")
            .field("address", &self.address)
            .finish_non_exhaustive()
    }
}
