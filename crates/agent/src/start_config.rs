//! Owns what the agent is told: the start file, taken apart at the start and again whenever that is asked for. It must
//! never guess: a field that is missing or unusable is named in one plain line, and the agent does not start, or goes
//! on as it was.
use std::net::SocketAddr;

use lilacgate_start_settings::Paths;

use crate::json::{self, Json};

/// What a running agent takes over from a start file that was replaced.
const MOVABLE: [&str; 2] = ["discovery", "pipeline.address"];

pub struct StartConfig {
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
    pub settings: Paths,
    /// All of it.
    pub file: Json,
}

/// A field, by its path.
pub fn field<'a>(file: &'a Json, path: &str) -> Option<&'a Json> {
    path.split('.')
        .try_fold(file, |at, name| at.get(name))
        .filter(|value| **value != Json::Null)
}

fn need<'a, T>(
    file: &'a Json,
    path: &str,
    read: impl FnOnce(&'a Json) -> Option<T>,
) -> Result<T, String> {
    let value = field(file, path).ok_or_else(|| format!("the start file lacks {path}"))?;
    read(value).ok_or_else(|| format!("the start file's {path} cannot be used"))
}

fn address(value: &Json) -> Option<SocketAddr> {
    value.text()?.parse().ok()
}

pub fn read(text: &[u8]) -> Result<StartConfig, String> {
    let file = json::Values::whole(text)
        .map_err(|end| format!("the start file is no JSON object: {end}"))?;
    let maybe = |path| {
        if field(&file, path).is_some() {
            need(&file, path, address).map(Some)
        } else {
            Ok(None)
        }
    };
    let mut pairs = Vec::new();
    let mut put = |path, value| pairs.push((path, value));
    need(&file, "settings", Some)?.flatten("", &mut put);
    need(&file, "pipeline.news", |_| Some(()))?;
    need(&file, "known", |_| Some(()))?;
    let peers = |value: &Json| value.list()?.iter().map(address).collect();
    let megabytes = |value: &Json| value.whole().and_then(|mb| usize::try_from(mb << 20).ok());
    Ok(StartConfig {
        name: need(&file, "name", |value| value.text().map(str::to_owned))?,
        seed: need(&file, "seed", |value| {
            u64::from_str_radix(value.text()?, 16).ok()
        })?,
        listen: need(&file, "listen", address)?,
        discovery: need(&file, "discovery", address)?,
        memory: need(&file, "limits.memory_mb", megabytes)?,
        sockets: need(&file, "limits.sockets", |value| {
            value.whole().and_then(|n| n.try_into().ok())
        })?,
        peer_listen: maybe("peer_listen")?,
        peers: if field(&file, "peers").is_some() {
            need(&file, "peers", peers)?
        } else {
            Vec::new()
        },
        peers_all: maybe("peers_all")?,
        platform: need(&file, "pipeline.address", address)?,
        settings: pairs.into_iter().collect(),
        file,
    })
}

/// What stands differently in two start files, apart from what may move.
pub fn differences(one: &Json, other: &Json) -> Vec<String> {
    let mut found = Vec::new();
    differ(one, other, "", &mut found);
    found.retain(|path| !MOVABLE.contains(&path.as_str()));
    found
}

fn differ(one: &Json, other: &Json, path: &str, found: &mut Vec<String>) {
    let (Json::Object(fields), Json::Object(others)) = (one, other) else {
        if one != other {
            found.push(path.to_owned());
        }
        return;
    };
    let under = |name: &str| {
        if path.is_empty() {
            name.to_owned()
        } else {
            format!("{path}.{name}")
        }
    };
    for (name, value) in fields {
        differ(
            value,
            other.get(name).unwrap_or(&Json::Null),
            &under(name),
            found,
        );
    }
    let new = others.iter().filter(|(name, _)| one.get(name).is_none());
    found.extend(new.map(|(name, _)| under(name)));
}
