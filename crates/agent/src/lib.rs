//! The lilacgate agent: one program around the decision module, on real sockets. This file owns its start, its
//! signals and its end, and puts the parts together; `main.rs` only calls it. It must never start half: what it is told
//! is usable, or one line says what is not.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::missing_errors_doc)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(clippy::wildcard_imports)] // Not met yet.
#![allow(missing_debug_implementations)] // Not met yet.
#![allow(missing_docs)] // Not met yet.

pub mod clients;
pub mod discovery;
pub mod endpoint_ids;
pub mod endpoint_list;
pub mod event_loop;
pub mod json;
pub mod log;
pub mod pacing;
pub mod peers;
pub mod platform;
pub mod recorder;
pub mod release_gate;
pub mod release_watch;
pub mod releases;
pub mod resp;
pub mod setting_error;
pub mod start_config;
pub mod transport;
pub mod upstream;

use std::collections::BTreeSet;
use std::io;
use std::net::{SocketAddr, TcpListener};
use std::path::PathBuf;
use std::process::ExitCode;
use std::rc::Rc;
use std::time::Duration;

use async_io::Async;
use async_signal::{Signal, Signals};
use clap::Parser;
use futures_lite::{FutureExt, StreamExt};
use socket2::{Domain, Socket, Type};

use crate::clients::Clients;
use crate::discovery::Discovery;
use crate::json::Json;
use crate::log::info;
use crate::platform::Platform;

/// Descriptors for all but clients and links: output, the reactor, signals, listeners, discovery, the platform.
const OWN: usize = 32;

/// So long a log's reader may take for the last lines, once all else is over.
const LAST_WORDS: Duration = Duration::from_secs(1);

/// Routes its clients' requests to appliances of the old and the new build, and votes the new one on or back.
///
/// RELAY_CONFIG names the start file. Signals: USR1 writes the counters, and the releases' state where the operator's
/// file wants it; HUP reads both files again; TERM and INT end it.
#[derive(Parser)]
#[command(name = "lilacgate-agent", version)]
struct Asking {
    /// The operator's own file; without one nothing is narrowed
    #[arg(long, value_name = "FILE", env = "LILACGATE_OPERATOR")]
    operator: Option<PathBuf>,
}

/// Runs the agent, as its command line and its environment ask, up to its end. What keeps it from starting is one line
/// on standard error, and a failure.
pub fn run() -> ExitCode {
    match start(Asking::parse()) {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lilacgate: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn start(asking: Asking) -> Result<(), String> {
    let file = std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG names no start file")?;
    // First of all: until it is heard, a signal may end the agent.
    let heard = [Signal::Term, Signal::Int, Signal::Usr1, Signal::Hup];
    let heard = Signals::new(heard).map_err(|fault| format!("signals: {fault}"))?;
    let config = read_start_file(&file)?;
    let unusable = |name: &str| format!("the start file's {name} cannot be used");
    let settings = &config.settings;
    let brain = lilacgate_start_settings::instance(config.seed, settings)?.brain;
    let event_loop = event_loop::EventLoop::new(settings.span("rules.answer-slack")?);
    // What the agent itself needs comes first; clients, and links to appliances, have half of the rest each.
    let part = config.sockets.saturating_sub(OWN) / 2;
    if part < 2 {
        return Err(unusable("limits.sockets"));
    }
    let upstream = upstream::UpstreamPool::new(event_loop.clone(), settings, part)?;
    let clients = clients::Clients::new(
        event_loop.clone(),
        upstream.clone(),
        settings,
        part,
        config.memory / 4,
    )?;
    let most = config.memory / 16;
    let discovery = discovery::Discovery::new(
        event_loop.clone(),
        upstream.clone(),
        config.discovery,
        settings,
        most,
    )?;
    let platform = platform::Platform::new(event_loop.clone(), config.platform, settings)?;
    let (releases, gate, timeline) =
        releases::File::new(asking.operator, &config.name, settings, event_loop.clone())?;
    let peers = match config.peer_listen {
        Some(listen) => Some(peers::Peers::new(
            event_loop.clone(),
            listen,
            config.peers,
            config.peers_all,
        )?),
        None => None,
    };
    let within = |path| start_config::field(&config.file, path).unwrap_or(&Json::Null);
    // The news first: what is listed is read by them.
    let news =
        release_watch::news(within("pipeline.news")).ok_or_else(|| unusable("pipeline.news"))?;
    event_loop.enqueue(platform::hear(news));
    discovery
        .told(within("known"), true)
        .ok_or_else(|| unusable("known"))?;
    let listener =
        listen(config.listen, part).map_err(|e| format!("listen {}: {e}", config.listen))?;
    info!("{} listens at {}", config.name, config.listen);
    event_loop.spawn(discovery.clone().run());
    event_loop.spawn(platform.release_watch.clone().run());
    if let Some(peers) = &peers {
        event_loop.spawn(peers.clone().run());
    }
    event_loop.spawn(upstream.clone().sweep_idle_connections());
    let asked = (discovery.clone(), platform.clone());
    let signals = Asked {
        heard,
        file,
        first: config.file,
        discovery: asked.0,
        platform: asked.1,
        releases,
    };
    let peers = peers.map(|peers| peers as Rc<dyn event_loop::PeerSender>);
    let recorder = recorder::Recorder::new(
        &config.name,
        &config.settings,
        timeline,
        event_loop.clock.now(),
    )?;
    let (gate_host, recorder, wakes) = (
        release_gate::ReleaseGateHost::new(gate),
        Rc::new(recorder),
        BTreeSet::new(),
    );
    let dispatcher = event_loop::ActionDispatcher {
        event_loop: event_loop.clone(),
        upstream,
        discovery,
        platform,
        peers,
        gate_host,
        recorder,
        wakes,
    };
    event_loop.spawn(dispatcher.host(brain));
    event_loop.spawn(clients.clone().sweep_idle_connections());
    event_loop.spawn(clients.clone().accept(listener));
    async_io::block_on(event_loop.run(signals.serve(clients)));
    Ok(())
}

/// Listens there. As many as there are places for may wait in line while the agent is busy: whom a full line shuts out
/// tries again only a second later.
fn listen(at: SocketAddr, line: usize) -> io::Result<Async<TcpListener>> {
    let socket = Socket::new(Domain::for_address(at), Type::STREAM, None)?;
    socket.set_reuse_address(true)?;
    socket.bind(&at.into())?;
    socket.listen(i32::try_from(line).unwrap_or(i32::MAX))?;
    Async::new(socket.into())
}

fn read_start_file(file: &str) -> Result<start_config::StartConfig, String> {
    let text = std::fs::read(file).map_err(|fault| format!("the start file {file}: {fault}"))?;
    start_config::read(&text)
}

/// What the agent is asked by signals.
struct Asked {
    heard: Signals,
    file: String,
    /// The start file as it was at the start.
    first: Json,
    discovery: Rc<Discovery>,
    platform: Rc<Platform>,
    releases: releases::File,
}

impl Asked {
    /// Until the end. At SIGTERM the agent serves on as long as it may, then answers all that was taken; a second one
    /// makes it take nothing more, a third one ends it at once.
    async fn serve(mut self, clients: Rc<Clients>) {
        self.until_stop().await;
        info!("stopping");
        let asked_again = async {
            self.until_stop().await;
            info!("stopping sooner");
            clients.drain();
            self.until_stop().await;
        };
        clients.shut_down().or(asked_again).await;
        // Room for the last line first, should others still wait.
        log::flush(LAST_WORDS);
        log::write(format!("counters:{}", log::counters()));
        log::flush(LAST_WORDS);
    }

    /// Counters at SIGUSR1; at SIGHUP the start file is read again.
    async fn until_stop(&mut self) {
        while let Some(Ok(signal @ (Signal::Usr1 | Signal::Hup))) = self.heard.next().await {
            match signal {
                Signal::Hup => {
                    self.reload();
                    self.releases.reload();
                }
                _ => {
                    log::write(format!("counters:{}", log::counters()));
                    self.releases.write_state();
                }
            }
        }
    }

    /// Takes over where discovery and the platform listen, and nothing else; of a file that cannot be used, nothing.
    fn reload(&self) {
        let config = match read_start_file(&self.file) {
            Ok(config) => config,
            Err(fault) => return info!("reload: {fault}; nothing changes"),
        };
        let left = start_config::differences(&self.first, &config.file);
        if !left.is_empty() {
            info!("reload: only a restart takes over {}", left.join(", "));
        }
        info!(
            "reload: discovery at {}, platform at {}",
            config.discovery, config.platform
        );
        self.discovery.place.set(config.discovery);
        self.platform.release_watch.place.set(config.platform);
    }
}
