//! Plays scenarios: holds the state of a scenario, and passes each step to the part that carries it out.
mod agent_process;
mod clients;
mod control;
mod endpoints;

use std::collections::HashMap;
use std::io::BufReader;
use std::net::{SocketAddr, TcpListener, TcpStream, UdpSocket};
use std::sync::mpsc::Receiver;
use std::sync::{Arc, Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use lilacgate_fault_script::script::Script;
use lilacgate_test_bed::agent_process::AgentProcess;
use lilacgate_test_bed::loopback_address::{unique_loopback_host, unused_tcp_address};
use lilacgate_test_bed::scripted_server::{
    MAX_WAIT, Received, ScriptedServer, discovery_server, release_server,
};
use lilacgate_test_bed::start_file::StartFileTemplate;

/// The version of the endpoint list that the agent starts with.
const FIRST_LIST_VERSION: u64 = 5;

/// A step or a part of one, split into its first word and the rest.
#[derive(Clone, Copy)]
struct Words<'a> {
    first: &'a str,
    rest: &'a str,
}

impl<'a> Words<'a> {
    fn of(text: &'a str) -> Words<'a> {
        let (first, rest) = text.split_once(' ').unwrap_or((text, ""));
        Words { first, rest }
    }

    fn number<T: std::str::FromStr>(self) -> T {
        self.rest.parse().ok().expect("a number")
    }
}

/// A scripted release control plane, with the connection of its last watch.
struct ControlPlane {
    server: ScriptedServer,
    watches: Receiver<Received>,
    last_watch: usize,
}

impl ControlPlane {
    fn new() -> Self {
        let (server, watches) = release_server();
        ControlPlane {
            server,
            watches,
            last_watch: 0,
        }
    }

    /// Waits for a new watch.
    fn await_watch(&mut self) {
        self.last_watch = self
            .watches
            .recv_timeout(MAX_WAIT)
            .expect("a watch")
            .connection;
    }

    /// Sends bytes on the connection of the last watch.
    fn send(&self, bytes: &[u8]) {
        self.server.write_to(self.last_watch, bytes);
    }
}

/// An endpoint whose backlog is full, with the connections that fill it.
struct FullBacklogEndpoint {
    listener: TcpListener,
    connections: Vec<TcpStream>,
}

/// The state of a scenario that is being played.
pub(crate) struct Scenario {
    start_file: StartFileTemplate,
    /// The entries of the endpoint list in the start file.
    saved_list: Vec<String>,
    endpoints: HashMap<String, ScriptedServer>,
    full_backlog_endpoints: HashMap<String, FullBacklogEndpoint>,
    discovery: ScriptedServer,
    list_version: u64,
    platform: ControlPlane,
    /// The release control planes of other services.
    services: HashMap<String, ControlPlane>,
    /// A peer that the start file names, and one that it does not name.
    peers: [UdpSocket; 2],
    clients: HashMap<String, BufReader<TcpStream>>,
    /// When each client sent its last command.
    commands_sent: HashMap<String, Instant>,
    /// Clients without a name, which only keep their connections open.
    unnamed_clients: Vec<BufReader<TcpStream>>,
    /// The limit on the files that the agent may open, if there is one.
    file_limit: Option<u32>,
    /// The rules by which the agent's system calls fail, if any do.
    fault_script: Option<Script>,
    /// The text of the operator's file, if there is one.
    operator_file: Option<String>,
    /// The address that the agent listens on for clients.
    listen: SocketAddr,
    folder: tempfile::TempDir,
    agent: Option<AgentProcess>,
    /// The agent's log, which outlasts the agent.
    log: Arc<Mutex<String>>,
}

impl Scenario {
    pub(crate) fn new() -> Self {
        let socket = || UdpSocket::bind("127.0.0.1:0").expect("a free port");
        Scenario {
            start_file: StartFileTemplate::default(),
            saved_list: Vec::new(),
            endpoints: HashMap::new(),
            full_backlog_endpoints: HashMap::new(),
            discovery: discovery_server(),
            list_version: FIRST_LIST_VERSION,
            platform: ControlPlane::new(),
            services: HashMap::new(),
            peers: [socket(), socket()],
            clients: HashMap::new(),
            commands_sent: HashMap::new(),
            unnamed_clients: Vec::new(),
            file_limit: None,
            fault_script: None,
            operator_file: None,
            listen: unused_tcp_address(unique_loopback_host()),
            folder: tempfile::tempdir().expect("a folder"),
            agent: None,
            log: Arc::default(),
        }
    }

    /// Plays one step.
    pub(crate) fn play(&mut self, step: &str) {
        let words = Words::of(step);
        match words.first {
            "wait" => thread::sleep(Duration::from_millis(words.number())),
            "set"
            | "start"
            | "start-fails"
            | "signal"
            | "main-thread-handles"
            | "counter"
            | "exits"
            | "log"
            | "file-limit"
            | "unread-log"
            | "start-file"
            | "faults"
            | "injected-at-least" => self.agent_step(words),
            "client"
            | "open"
            | "close-all"
            | "connect"
            | "open-with-partial-command"
            | "open-and-stop-mid-command" => self.client_step(words),
            "list" | "discovery" => self.discovery_step(words),
            "release" | "vote" | "platform" => self.platform_step(words),
            "control-plane" | "service" => self.service_step(words),
            "operator" | "timeline" | "operator-names-other-agent" => self.operator_step(words),
            "peer" | "unknown-peer" => self.peer_step(words),
            _ => self.endpoint_step(words),
        }
    }

    /// Opens a connection to the agent, and retries until the agent listens.
    fn connect(&self) -> BufReader<TcpStream> {
        for _ in 0..MAX_WAIT.as_millis() / 10 {
            if let Ok(connection) = TcpStream::connect(self.listen) {
                connection
                    .set_read_timeout(Some(MAX_WAIT))
                    .expect("a time-out");
                return BufReader::new(connection);
            }
            thread::sleep(Duration::from_millis(10));
        }
        panic!("the agent does not listen");
    }

    fn agent(&self) -> &AgentProcess {
        self.agent.as_ref().expect("an agent")
    }

    fn log_text(&self) -> String {
        self.log.lock().expect("the lock").clone()
    }
}

/// If the scenario fails, prints the agent's log after the steps played so far.
impl Drop for Scenario {
    fn drop(&mut self) {
        if thread::panicking() {
            let log = self.log.lock().unwrap_or_else(PoisonError::into_inner);
            println!("the agent's log:\n{log}");
        }
    }
}
