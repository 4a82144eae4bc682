//! The lilacgate agent: one program around the decision module, on real sockets. This file owns its start, its
//! signals and its end, and puts the parts together. It must never start half: what it is told is usable, or one line
//! says what is not.
#![forbid(unsafe_code)]

mod appliances;
mod clients;
mod discovery;
mod hub;
mod json;
mod log;
mod peers;
mod platform;
mod resp;
mod ring;
mod told;

use std::collections::BTreeSet;
use std::net::TcpListener;
use std::process::ExitCode;

use async_io::Async;
use async_signal::{Signal, Signals};
use futures_lite::StreamExt;

use crate::log::say;

fn main() -> ExitCode {
    match start() {
        Ok(()) => ExitCode::SUCCESS,
        Err(fault) => {
            eprintln!("lilacgate: {fault}");
            ExitCode::FAILURE
        }
    }
}

fn start() -> Result<(), String> {
    let file = std::env::var("RELAY_CONFIG").map_err(|_| "RELAY_CONFIG names no start file")?;
    let text = std::fs::read(&file).map_err(|fault| format!("the start file {file}: {fault}"))?;
    let told = told::read(&text)?;
    drop(text);
    let settings = &told.settings;
    let brain = lilacgate_start::instance(told.seed, settings)?.brain;
    let hub = hub::Hub::new(settings.span("rules.answer-slack")?);
    // Clients, and links to appliances, each have their part of the descriptors; the rest is the agent's own.
    let part = told.sockets * 7 / 16;
    let appliances = appliances::Appliances::new(hub.clone(), settings, part)?;
    let clients = clients::Clients::new(hub.clone(), appliances.clone(), settings, part)?;
    let most = told.memory / 16;
    let discovery =
        discovery::Discovery::new(hub.clone(), appliances.clone(), told.discovery, settings, most)?;
    let platform = platform::Platform::new(hub.clone(), told.platform, settings)?;
    let peers = match told.peer_listen {
        Some(listen) => Some(peers::Peers::new(hub.clone(), listen, told.peers, told.peers_all)?),
        None => None,
    };
    let unusable = |name: &str| format!("the start file's {name} cannot be used");
    discovery.told(&told.known, true).ok_or_else(|| unusable("known"))?;
    if !platform.told(&told.news) {
        return Err(unusable("pipeline.news"));
    }
    let listener =
        Async::<TcpListener>::bind(told.listen).map_err(|e| format!("listen {}: {e}", told.listen))?;
    say!("{} listens at {}", told.name, told.listen);
    hub.spawn(discovery.clone().run());
    hub.spawn(platform.clone().run());
    if let Some(peers) = &peers {
        hub.spawn(peers.clone().run());
    }
    hub.spawn(appliances.clone().sweep());
    let hands =
        hub::Hands { hub: hub.clone(), appliances, discovery, platform, peers, wakes: BTreeSet::new() };
    hub.spawn(hands.host(brain));
    hub.spawn(clients.accept(listener));
    async_io::block_on(hub.run(signals()))
}

/// Counters at SIGUSR1; ends at SIGTERM.
async fn signals() -> Result<(), String> {
    let mut signals =
        Signals::new([Signal::Term, Signal::Int, Signal::Usr1]).map_err(|e| format!("signals: {e}"))?;
    while let Some(signal) = signals.next().await {
        eprintln!("counters:{}", log::counters());
        if !matches!(signal, Ok(Signal::Usr1)) {
            break;
        }
    }
    Ok(())
}
