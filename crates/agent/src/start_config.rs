//! Reads the start file: the agent's addresses and limits, and the start settings of the decision engine.
//!
//! Required fields have no defaults: one that is missing or cannot be used is an error that names the field.
use std::fmt;
use std::net::SocketAddr;

use lilacgate_start_settings::Settings;

use crate::error::StartFileError;
use crate::json::{self, Json, JsonParser};
use crate::peers::PeerAddresses;

/// The paths of the fields that a running agent takes over when the start file is reloaded.
const RELOADABLE_PATHS: [&str; 2] = ["discovery", "pipeline.address"];

/// The path of the last release update of the platform.
pub(crate) const RELEASE_UPDATE_PATH: &str = "pipeline.news";
/// The path of the saved list of endpoints.
pub(crate) const SAVED_LIST_PATH: &str = "known";
/// The path of the limit on open file descriptors.
pub(crate) const MAX_DESCRIPTORS_PATH: &str = "limits.sockets";

/// A start file that has been read.
pub struct StartConfig {
    /// The name of this agent.
    pub name: String,
    /// The seed of the decision engine's random numbers.
    pub seed: u64,
    /// The address at which clients connect.
    pub listen: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The memory that the agent may use, in bytes.
    pub memory: usize,
    /// How many file descriptors the agent may have open.
    pub max_descriptors: usize,
    /// The addresses for datagrams between agents; `None` without peers.
    pub peers: Option<PeerAddresses>,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The start settings of the decision engine, as pairs of path and value.
    pub settings: Settings,
    /// The whole file, for comparison at a reload.
    pub file: Json,
}

impl fmt::Debug for StartConfig {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        formatter
            .debug_struct("StartConfig")
            .field("name", &self.name)
            .field("listen", &self.listen)
            .field("discovery", &self.discovery)
            .field("peers", &self.peers)
            .field("platform", &self.platform)
            .finish_non_exhaustive()
    }
}

/// Returns the field at a path such as `limits.sockets`, or `None` if it is missing or null.
pub fn field<'a>(file: &'a Json, path: &str) -> Option<&'a Json> {
    path.split('.')
        .try_fold(file, |value, name| value.get(name))
        .filter(|value| **value != Json::Null)
}

fn required<'a, T>(
    file: &'a Json,
    path: &str,
    read: impl FnOnce(&'a Json) -> Option<T>,
) -> Result<T, StartFileError> {
    let value = field(file, path).ok_or_else(|| StartFileError::Missing(path.to_owned()))?;
    read(value).ok_or_else(|| StartFileError::Unusable(path.to_owned()))
}

fn optional<'a, T>(
    file: &'a Json,
    path: &str,
    read: impl FnOnce(&'a Json) -> Option<T>,
) -> Result<Option<T>, StartFileError> {
    match field(file, path) {
        Some(_) => required(file, path, read).map(Some),
        None => Ok(None),
    }
}

fn address(value: &Json) -> Option<SocketAddr> {
    value.as_str()?.parse().ok()
}

fn addresses(value: &Json) -> Option<Vec<SocketAddr>> {
    value.as_array()?.iter().map(address).collect()
}

fn number(value: &Json) -> Option<usize> {
    value.as_u64()?.try_into().ok()
}

/// Reads a number of mebibytes; returns it in bytes.
fn mebibytes(value: &Json) -> Option<usize> {
    usize::try_from(value.as_u64()? << 20).ok()
}

/// Reads a string of hexadecimal digits.
fn hexadecimal(value: &Json) -> Option<u64> {
    u64::from_str_radix(value.as_str()?, 16).ok()
}

/// Reads a start file.
///
/// # Errors
/// Fails if the text is not JSON, or for the first field that is missing or cannot be used.
pub fn read(text: &[u8]) -> Result<StartConfig, StartFileError> {
    let file = JsonParser::parse(text).map_err(StartFileError::NotJson)?;
    let mut settings = Vec::new();
    required(&file, "settings", Some)?.flatten("", &mut |path, value| {
        settings.push((path, value));
    });
    required(&file, RELEASE_UPDATE_PATH, |_| Some(()))?;
    required(&file, SAVED_LIST_PATH, |_| Some(()))?;
    Ok(StartConfig {
        name: required(&file, "name", |value| value.as_str().map(str::to_owned))?,
        seed: required(&file, "seed", hexadecimal)?,
        listen: required(&file, "listen", address)?,
        discovery: required(&file, "discovery", address)?,
        memory: required(&file, "limits.memory_mb", mebibytes)?,
        max_descriptors: required(&file, MAX_DESCRIPTORS_PATH, number)?,
        peers: read_peers(&file)?,
        platform: required(&file, "pipeline.address", address)?,
        settings: settings.into_iter().collect(),
        file,
    })
}

fn read_peers(file: &Json) -> Result<Option<PeerAddresses>, StartFileError> {
    let listen = optional(file, "peer_listen", address)?;
    let peers = optional(file, "peers", addresses)?.unwrap_or_default();
    let all = optional(file, "peers_all", address)?;
    Ok(listen.map(|listen| PeerAddresses { listen, peers, all }))
}

/// The paths at which two start files differ, except those that a running agent takes over.
pub fn differences(old: &Json, new: &Json) -> Vec<String> {
    let mut found = Vec::new();
    add_differences(old, new, "", &mut found);
    found.retain(|path| !RELOADABLE_PATHS.contains(&path.as_str()));
    found
}

fn add_differences(old: &Json, new: &Json, path: &str, found: &mut Vec<String>) {
    let (Json::Object(old_fields), Json::Object(new_fields)) = (old, new) else {
        if old != new {
            found.push(path.to_owned());
        }
        return;
    };
    for (name, value) in old_fields {
        let other = new.get(name).unwrap_or(&Json::Null);
        add_differences(value, other, &json::child_path(path, name), found);
    }
    for (name, _) in new_fields {
        if old.get(name).is_none() {
            found.push(json::child_path(path, name));
        }
    }
}
