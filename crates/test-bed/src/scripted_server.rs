//! Servers whose answers come from a test's script, step by step: each message that arrives is queued until the script
//! takes it.
use std::collections::VecDeque;
use std::io::{BufReader, Write};
use std::net::{Shutdown, SocketAddr, TcpListener, TcpStream};
use std::sync::mpsc::{Receiver, Sender, channel};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::Duration;

use crate::framing::{read_http_head, read_line};
use crate::protocol_messages::{
    LISTEN_ACCEPTED, RELEASE_HEARTBEAT, WATCH_HEARTBEAT, WATCH_RESPONSE_HEAD,
};

/// The longest wait for anything in a scenario. It is longer than every timeout of an agent, so that only a failing
/// scenario takes so long.
pub const MAX_WAIT: Duration = Duration::from_secs(20);

/// The message that stands for the end of a connection.
pub const CONNECTION_END: &str = "end-of-connection";

const HEARTBEAT_INTERVAL: Duration = Duration::from_millis(500);

/// Reads one message of a protocol from a connection; `None` at its end.
pub type ReadMessage = fn(&mut BufReader<TcpStream>) -> Option<String>;

/// A message, and the connection that brought it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Received {
    /// The connection's number, in the order in which connections were accepted.
    pub connection: usize,
    /// The message, or [`CONNECTION_END`].
    pub message: String,
}

/// What a server writes by itself once a message has asked for it.
#[derive(Clone, Copy, Debug)]
pub struct Greeting {
    /// A text within the message that asks for the greeting.
    pub requested_by: &'static str,
    /// Written once.
    pub hello: &'static [u8],
    /// Written again and again after it.
    pub heartbeat: &'static [u8],
}

/// A server that queues what arrives, and writes what the script says.
#[derive(Debug)]
pub struct ScriptedServer {
    /// Where it listens.
    pub address: SocketAddr,
    /// Messages that the script has not taken yet.
    pub received: Receiver<Received>,
    /// All connections so far, by number.
    pub connections: Arc<Mutex<Vec<TcpStream>>>,
    listening: Arc<Mutex<bool>>,
    current_connection: usize,
    /// Messages that arrived while the end of another connection was awaited.
    deferred: VecDeque<Received>,
    /// Messages that the script has taken.
    taken: Vec<Received>,
    accept_thread: Option<thread::JoinHandle<()>>,
}

impl ScriptedServer {
    /// A server that writes only what the script says.
    ///
    /// # Panics
    /// If no port is free.
    pub fn silent(read: ReadMessage) -> ScriptedServer {
        Self::new(read, None)
    }

    /// A server that greets by itself.
    ///
    /// # Panics
    /// If no port is free.
    pub fn greeting(read: ReadMessage, greeting: Greeting) -> ScriptedServer {
        Self::new(read, Some(greeting))
    }

    fn new(read: ReadMessage, greeting: Option<Greeting>) -> ScriptedServer {
        let listener = TcpListener::bind("127.0.0.1:0").expect("a free port");
        let address = listener.local_addr().expect("the listener's address");
        let (sender, received) = channel();
        let connections = Arc::<Mutex<Vec<TcpStream>>>::default();
        let listening = Arc::new(Mutex::new(true));
        let (all_connections, still_listening) = (connections.clone(), listening.clone());
        let accept_thread = thread::spawn(move || {
            for stream in listener.incoming().flatten() {
                if !*still_listening.lock().expect("a lock") {
                    return;
                }
                let mut connections = all_connections.lock().expect("a lock");
                let connection = Connection {
                    number: connections.len(),
                    stream: stream.try_clone().expect("a second handle"),
                    read,
                    greeting,
                };
                connections.push(stream);
                drop(connections);
                let sender = sender.clone();
                thread::spawn(move || connection.serve(&sender));
            }
        });
        ScriptedServer {
            address,
            received,
            connections,
            listening,
            current_connection: 0,
            deferred: VecDeque::new(),
            taken: Vec::new(),
            accept_thread: Some(accept_thread),
        }
    }

    /// Takes the next message of any connection, which becomes the current one.
    ///
    /// # Panics
    /// If nothing arrives within [`MAX_WAIT`].
    pub fn next_message(&mut self) -> String {
        let received = self.take_next();
        self.current_connection = received.connection;
        let message = received.message.clone();
        self.taken.push(received);
        message
    }

    /// The message that the script took last.
    pub fn last_message(&self) -> Option<&str> {
        self.taken.last().map(|received| received.message.as_str())
    }

    /// Waits for the end of a connection. Messages of other connections that arrive before it stay for later calls,
    /// since two connections have no common order.
    ///
    /// # Panics
    /// If no connection ends within [`MAX_WAIT`], or if the one that ends has brought a message before.
    pub fn expect_connection_end(&mut self) {
        let mut others = VecDeque::new();
        loop {
            let received = self.take_next();
            if received.message == CONNECTION_END {
                assert!(
                    others
                        .iter()
                        .all(|other: &Received| other.connection != received.connection),
                    "it brought more before: {others:?}"
                );
                self.current_connection = received.connection;
                break;
            }
            others.push_back(received);
        }
        self.deferred.extend(others);
    }

    /// Whether no message is waiting.
    pub fn is_idle(&self) -> bool {
        self.deferred.is_empty() && self.received.try_recv().is_err()
    }

    fn take_next(&mut self) -> Received {
        let deferred = self.deferred.pop_front();
        deferred.unwrap_or_else(|| {
            self.received
                .recv_timeout(MAX_WAIT)
                .expect("a message arrives")
        })
    }

    /// Makes the connection that brought a command with this id the current one.
    ///
    /// # Panics
    /// If no connection brought it.
    pub fn select_connection_of(&mut self, id: &str) {
        let found = self
            .taken
            .iter()
            .rfind(|received| received.message.contains(&format!(" {id} ")));
        self.current_connection = found.expect("a command with this id").connection;
    }

    /// Writes to the current connection.
    ///
    /// # Panics
    /// If it cannot be written.
    pub fn write(&self, bytes: &[u8]) {
        self.write_to(self.current_connection, bytes);
    }

    /// Writes to a connection by its number.
    ///
    /// # Panics
    /// If there is no such connection, or it cannot be written.
    pub fn write_to(&self, connection: usize, bytes: &[u8]) {
        let connections = self.connections.lock().expect("a lock");
        (&connections[connection])
            .write_all(bytes)
            .expect("the connection can be written");
    }

    /// Closes the current connection.
    pub fn close_current(&self) {
        self.close(self.current_connection);
    }

    /// Closes a connection by its number.
    ///
    /// # Panics
    /// If there is no such connection.
    pub fn close(&self, connection: usize) {
        self.connections.lock().expect("a lock")[connection]
            .shutdown(Shutdown::Both)
            .ok();
    }

    /// Stops listening and closes all connections.
    ///
    /// # Panics
    /// If a thread panicked while it held a lock.
    pub fn shut_down(&mut self) {
        *self.listening.lock().expect("a lock") = false;
        // Wakes the accept thread.
        TcpStream::connect(self.address).ok();
        self.accept_thread.take().map(|thread| thread.join().ok());
        self.connections
            .lock()
            .expect("a lock")
            .iter()
            .for_each(|connection| drop(connection.shutdown(Shutdown::Both)));
    }
}

/// One accepted connection, in its own thread.
struct Connection {
    number: usize,
    stream: TcpStream,
    read: ReadMessage,
    greeting: Option<Greeting>,
}

impl Connection {
    fn serve(self, sender: &Sender<Received>) {
        let mut reader = BufReader::new(self.stream.try_clone().expect("a second handle"));
        while let Some(message) = (self.read)(&mut reader) {
            if let Some(greeting) = self.greeting
                && message.contains(greeting.requested_by)
            {
                self.greet(greeting);
            }
            if self.forward(sender, message).is_err() {
                return;
            }
        }
        self.forward(sender, CONNECTION_END.into()).ok();
    }

    fn forward(
        &self,
        sender: &Sender<Received>,
        message: String,
    ) -> Result<(), std::sync::mpsc::SendError<Received>> {
        sender.send(Received {
            connection: self.number,
            message,
        })
    }

    fn greet(&self, greeting: Greeting) {
        (&self.stream).write_all(greeting.hello).ok();
        let stream = self.stream.try_clone().expect("a second handle");
        thread::spawn(move || {
            while (&stream).write_all(greeting.heartbeat).is_ok() {
                thread::sleep(HEARTBEAT_INTERVAL);
            }
        });
    }
}

/// An endpoint list service that answers a watch with its head and heartbeats.
///
/// # Panics
/// If no port is free.
pub fn discovery_server() -> ScriptedServer {
    let greeting = Greeting {
        requested_by: "follow",
        hello: WATCH_RESPONSE_HEAD,
        heartbeat: WATCH_HEARTBEAT,
    };
    ScriptedServer::greeting(read_http_head, greeting)
}

/// An endpoint list service that accepts requests and writes nothing by itself.
///
/// # Panics
/// If no port is free.
pub fn silent_discovery_server() -> ScriptedServer {
    ScriptedServer::silent(read_http_head)
}

/// A release control plane: the server, whose queue gets the votes, and the queue of the requests to listen. Both come
/// to one address and are told apart by their text.
///
/// # Panics
/// If no port is free.
pub fn release_server() -> (ScriptedServer, Receiver<Received>) {
    let greeting = Greeting {
        requested_by: "listen",
        hello: LISTEN_ACCEPTED,
        heartbeat: RELEASE_HEARTBEAT,
    };
    let mut server = ScriptedServer::greeting(read_line, greeting);
    let (vote_sender, votes) = channel();
    let (listener_sender, listeners) = channel();
    let messages = std::mem::replace(&mut server.received, votes);
    thread::spawn(move || {
        for received in messages {
            if received.message == CONNECTION_END {
                continue;
            }
            let queue = if received.message.contains("listen") {
                &listener_sender
            } else {
                &vote_sender
            };
            if queue.send(received).is_err() {
                return;
            }
        }
    });
    (server, listeners)
}
