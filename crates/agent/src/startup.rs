//! Starts the agent: reads its settings, creates its components and connects them to each other.
//!
//! The agent either starts as a whole or reports which part of its configuration cannot be used.
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::rc::Rc;
use std::time::Instant;

use async_io::Async;
use lilacgate_decision::DecisionEngine;
use lilacgate_releases::gate::Gate;
use socket2::{Domain, Socket, Type};

use crate::clients::Clients;
use crate::command_line::{self, Arguments};
use crate::discovery::{Discovery, ListOrigin};
use crate::dispatcher::{ActionDispatcher, WakeUps};
use crate::engine_host::EngineHost;
use crate::error::{StartError, StartFileError};
use crate::event_loop::EventLoop;
use crate::json::Json;
use crate::lifecycle::{Lifecycle, read_start_file};
use crate::log::{Quoted, info};
use crate::operator_file::{OperatorFile, OperatorStart};
use crate::outbound::PeerSender;
use crate::peers::Peers;
use crate::platform::{Platform, release_event};
use crate::recorder::Recorder;
use crate::release_gate::ReleaseGateHost;
use crate::release_watch::ReleaseUpdate;
use crate::signals::{self, SignalStream};
use crate::start_config::{
    self, MAX_DESCRIPTORS_PATH, RELEASE_UPDATE_PATH, SAVED_LIST_PATH, StartConfig,
};
use crate::transport::{ByteLimit, retry_at_startup};
use crate::upstream::UpstreamPool;

/// File descriptors reserved for everything except connections to clients and endpoints: log, reactor, signals,
/// listeners, discovery and platform.
const RESERVED_DESCRIPTORS: usize = 32;
/// The smallest number of connections to clients, and to endpoints, with which the agent can work.
const MIN_CONNECTIONS: usize = 2;
/// Requests and answers of clients may use the memory limit divided by this.
const CLIENT_MEMORY_DIVISOR: usize = 5;
/// A message of discovery may use the memory limit divided by this.
const LIST_MEMORY_DIVISOR: usize = 16;

/// The components of the agent that run tasks of their own.
struct Components {
    event_loop: Rc<EventLoop>,
    upstream: Rc<UpstreamPool>,
    clients: Rc<Clients>,
    discovery: Rc<Discovery>,
    platform: Rc<Platform>,
    peers: Option<Rc<Peers>>,
}

/// Starts the agent and runs it until it ends.
///
/// # Errors
/// Fails if a part of the agent's configuration cannot be used, a socket or signal handler cannot be set up, or a task panics.
pub(crate) fn start(arguments: Arguments) -> Result<(), StartError> {
    let path = command_line::start_file_path()?;
    // Signals come first: until they are handled, one of them may kill the process. They are blocked while the helper
    // threads are started, so that these do not handle them.
    signals::block_in_thread().map_err(StartError::Signals)?;
    let signal_stream = retry_at_startup(SignalStream::new).map_err(StartError::Signals)?;
    let mut config = read_start_file(&path)?;
    let settings = &config.settings;
    let engine = lilacgate_start_settings::build_instance(config.seed, settings)?.engine;
    let event_loop = EventLoop::new(settings.duration("rules.answer-slack")?);
    let max_connections = max_connections(&config)?;
    let (upstream, clients) = create_data_path(&event_loop, &config, max_connections)?;
    let discovery = Discovery::new(
        event_loop.clone(),
        upstream.clone(),
        config.discovery,
        settings,
        config.memory / LIST_MEMORY_DIVISOR,
    )?;
    let platform = Platform::new(event_loop.clone(), config.platform, settings)?;
    let operator = OperatorFile::open(
        arguments.operator,
        &config.name,
        settings,
        event_loop.clone(),
    )?;
    let OperatorStart {
        file: operator_file,
        gate,
        timeline,
    } = operator;
    let peers = config.peers.take();
    let peers = peers.map(|addresses| Peers::new(event_loop.clone(), addresses));
    let peers = peers.transpose()?;
    let components = Components {
        event_loop,
        upstream,
        clients,
        discovery,
        platform,
        peers,
    };
    components.queue_initial_events(&config.file)?;
    let listening_since = Instant::now();
    let listener = listen_for_clients(&config, max_connections)?;
    components.spawn_control_tasks();
    let now = components.event_loop.clock.now();
    let recorder = Recorder::new(&config.name, &config.settings, timeline, now)?;
    let engine_host = components.engine_host(engine, gate, recorder);
    components.event_loop.spawn(engine_host.run());
    components.spawn_client_tasks(listener, listening_since);
    let lifecycle = Lifecycle {
        signals: signal_stream,
        path,
        initial_file: config.file,
        discovery: components.discovery,
        platform: components.platform,
        operator_file,
    };
    let lifetime = lifecycle.run(components.clients);
    signals::unblock_in_thread().map_err(StartError::Signals)?;
    async_io::block_on(components.event_loop.run(lifetime))?;
    Ok(())
}

/// The largest number of connections to clients, and of connections to endpoints. Each kind gets half of the file
/// descriptors that are left after the reserved ones.
fn max_connections(config: &StartConfig) -> Result<usize, StartError> {
    let max_connections = config.max_descriptors.saturating_sub(RESERVED_DESCRIPTORS) / 2;
    if max_connections < MIN_CONNECTIONS {
        return Err(unusable_field(MAX_DESCRIPTORS_PATH));
    }
    Ok(max_connections)
}

/// Creates the components that carry requests: the connections to endpoints and to clients.
fn create_data_path(
    event_loop: &Rc<EventLoop>,
    config: &StartConfig,
    max_connections: usize,
) -> Result<(Rc<UpstreamPool>, Rc<Clients>), StartError> {
    let held_bytes = ByteLimit::new(config.memory / CLIENT_MEMORY_DIVISOR);
    // Requests alone may reach their bound; their replies have a quarter of it beside them.
    let reply_bytes = ByteLimit {
        budget: held_bytes.budget.clone(),
        max_bytes: held_bytes.max_bytes / 4 * 5,
    };
    let upstream = UpstreamPool::new(
        event_loop.clone(),
        &config.settings,
        max_connections,
        reply_bytes,
    )?;
    let clients = Clients::new(
        event_loop.clone(),
        upstream.clone(),
        &config.settings,
        max_connections,
        held_bytes,
    )?;
    Ok((upstream, clients))
}

fn unusable_field(path: &str) -> StartError {
    StartError::StartFile(StartFileError::Unusable(path.to_owned()))
}

impl Components {
    /// Queues the release update and the endpoint list in the start file as the first events.
    fn queue_initial_events(&self, file: &Json) -> Result<(), StartError> {
        let field = |path| start_config::field(file, path).unwrap_or(&Json::Null);
        // The release update comes first, since the decision engine needs it to interpret the list.
        let update = ReleaseUpdate::from_json(field(RELEASE_UPDATE_PATH))
            .ok_or_else(|| unusable_field(RELEASE_UPDATE_PATH))?;
        self.event_loop.enqueue(release_event(update));
        self.discovery
            .receive(field(SAVED_LIST_PATH), ListOrigin::StartFile)
            .ok_or_else(|| unusable_field(SAVED_LIST_PATH))
    }

    /// Spawns the tasks that communicate with discovery, the platform, the peers and the endpoints.
    fn spawn_control_tasks(&self) {
        self.event_loop.spawn(self.discovery.clone().run());
        let release_watch = self.platform.release_watch.clone();
        self.event_loop.spawn(release_watch.run());
        if let Some(peers) = &self.peers {
            self.event_loop.spawn(peers.clone().run());
        }
        self.event_loop
            .spawn(self.upstream.clone().sweep_idle_connections());
    }

    /// Spawns the tasks that serve clients.
    fn spawn_client_tasks(&self, listener: Async<TcpListener>, listening_since: Instant) {
        self.event_loop
            .spawn(self.clients.clone().sweep_waiting_connections());
        let accept = self.clients.clone().accept(listener, listening_since);
        self.event_loop.spawn(accept);
    }

    /// Connects the decision engine to the components that carry out its decisions.
    fn engine_host(
        &self,
        engine: DecisionEngine,
        gate: Option<Gate>,
        recorder: Recorder,
    ) -> EngineHost {
        let peers = self.peers.clone();
        let dispatcher = ActionDispatcher {
            event_loop: self.event_loop.clone(),
            upstream: self.upstream.clone(),
            discovery: self.discovery.clone(),
            platform: self.platform.clone(),
            peers: peers.map(|peers| peers as Rc<dyn PeerSender>),
            recorder: Rc::new(recorder),
            wake_ups: WakeUps::default(),
        };
        EngineHost {
            engine,
            gate_host: ReleaseGateHost::new(gate),
            dispatcher,
        }
    }
}

/// Listens for clients at the address in the start file.
fn listen_for_clients(
    config: &StartConfig,
    backlog: usize,
) -> Result<Async<TcpListener>, StartError> {
    let listener = retry_at_startup(|| listen(config.listen, backlog)).map_err(|error| {
        StartError::Listen {
            address: config.listen,
            error,
        }
    })?;
    info!(
        "listening agent={} address={}",
        Quoted(&config.name),
        config.listen
    );
    Ok(listener)
}

/// Opens a listening socket. `backlog` is how many connections may wait to be accepted while the agent is busy; a
/// client that finds the backlog full retries only after a second.
fn listen(address: SocketAddr, backlog: usize) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(address), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Async::new(socket.into())
}
