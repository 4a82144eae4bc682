//! Owns what the agent is told at its start: the start file, read once and taken apart. It must never guess: a field
//! that is missing or unusable is named in one plain line, and the agent does not start.
use std::net::SocketAddr;

use lilacgate_start::Paths;

use crate::json::{self, Json};

pub struct Told {
    pub name: String,
    pub seed: u64,
    pub listen: SocketAddr,
    pub discovery: SocketAddr,
    pub memory: usize,
    pub sockets: usize,
    /// Where peers' datagrams arrive, and every agent's address; none where there are no peers.
    pub peer_listen: Option<SocketAddr>,
    pub peers: Vec<SocketAddr>,
    pub peers_all: Option<SocketAddr>,
    pub platform: SocketAddr,
    pub news: Json,
    pub known: Json,
    pub settings: Paths,
}

/// A field, by its path.
fn field<'a>(file: &'a Json, path: &str) -> Option<&'a Json> {
    path.split('.').try_fold(file, |at, name| at.get(name)).filter(|value| **value != Json::Null)
}

fn need<T>(file: &Json, path: &str, read: impl Fn(&Json) -> Option<T>) -> Result<T, String> {
    let value = field(file, path).ok_or_else(|| format!("the start file lacks {path}"))?;
    read(value).ok_or_else(|| format!("the start file's {path} cannot be used"))
}

fn address(value: &Json) -> Option<SocketAddr> {
    value.text()?.parse().ok()
}

pub fn read(text: &[u8]) -> Result<Told, String> {
    let file = json::Values::whole(text).map_err(|end| format!("the start file is no JSON object: {end}"))?;
    let maybe =
        |path| if field(&file, path).is_some() { need(&file, path, address).map(Some) } else { Ok(None) };
    let mut pairs = Vec::new();
    let settings = need(&file, "settings", |value| Some(value.clone()))?;
    settings.flatten("", &mut |path, value| pairs.push((path, value)));
    let peers = |value: &Json| value.list()?.iter().map(address).collect();
    let megabytes = |value: &Json| value.whole().and_then(|mb| usize::try_from(mb << 20).ok());
    Ok(Told {
        name: need(&file, "name", |value| value.text().map(str::to_owned))?,
        seed: need(&file, "seed", |value| u64::from_str_radix(value.text()?, 16).ok())?,
        listen: need(&file, "listen", address)?,
        discovery: need(&file, "discovery", address)?,
        memory: need(&file, "limits.memory_mb", megabytes)?,
        sockets: need(&file, "limits.sockets", |value| value.whole().and_then(|n| n.try_into().ok()))?,
        peer_listen: maybe("peer_listen")?,
        peers: if field(&file, "peers").is_some() { need(&file, "peers", peers)? } else { Vec::new() },
        peers_all: maybe("peers_all")?,
        platform: need(&file, "pipeline.address", address)?,
        news: need(&file, "pipeline.news", |value| Some(value.clone()))?,
        known: need(&file, "known", |value| Some(value.clone()))?,
        settings: pairs.into_iter().collect(),
    })
}
