//! The start file of one agent, made from the stand-ins' template.

use std::net::SocketAddr;

use lilacgate_test_bed::start_file::StartFileTemplate;
use serde_json::{Value, json};

/// The service's latency target and its clients' deadline, in microseconds.
const LATENCY_TARGET_MICROS: u64 = 400_000;
const DEADLINE_MICROS: u64 = 1_000_000;

/// The name of the route that the template lacks: the hollow agents of the scale test have four.
pub const SECOND_SAFE_ROUTE: &str = "scan";

/// The fields of a start file that differ between agents or come from the plan.
#[derive(Clone, Debug)]
pub struct StartFile {
    /// The agent's number.
    pub agent: usize,
    /// How many agents there are.
    pub agents: usize,
    /// The seed of the agent's random draws.
    pub seed: u64,
    /// The address that it accepts clients on.
    pub listen: SocketAddr,
    /// The address that it receives datagrams on.
    pub peer_listen: SocketAddr,
    /// Every agent's address for datagrams.
    pub peers: Vec<SocketAddr>,
    /// The address that stands for all of them.
    pub all_peers: SocketAddr,
    /// The address of discovery.
    pub discovery: SocketAddr,
    /// The address of the platform.
    pub platform: SocketAddr,
    /// The state of the newest build.
    pub release_update: Value,
    /// The list that the agent begins with, as discovery writes it.
    pub known: Option<String>,
    /// The limit on its memory, in MB.
    pub memory_mb: u64,
    /// The limit on its descriptors.
    pub sockets: u64,
}

/// A route like the first one, under another name.
fn second_safe_route(first: &Value) -> Value {
    let mut route = first.clone();
    route["name"] = json!(SECOND_SAFE_ROUTE);
    route
}

impl StartFile {
    /// The file's text.
    ///
    /// # Panics
    /// If the template or the known list is not JSON, or the template has no profiles.
    pub fn text(&self) -> String {
        let template = StartFileTemplate::default().text.replace("[KNOWN]", "[]");
        let mut file: Value = serde_json::from_str(&template).expect("the template is JSON");
        file["name"] = json!(format!("n{}", self.agent));
        file["seed"] = json!(format!("{:016x}", self.seed));
        file["listen"] = json!(self.listen);
        file["discovery"] = json!(self.discovery);
        file["limits"]["memory_mb"] = json!(self.memory_mb);
        file["limits"]["sockets"] = json!(self.sockets);
        file["peer_listen"] = json!(self.peer_listen);
        file["peers"] = json!(self.peers);
        file["peers_all"] = json!(self.all_peers);
        file["pipeline"] = json!({"address": self.platform, "news": self.release_update});
        file["known"] = self.known();
        file["settings"]["me"] = json!(self.agent);
        file["settings"]["instances"] = json!(self.agents);
        let profiles = file["settings"]["profiles"]
            .as_array_mut()
            .expect("the template has profiles");
        profiles.push(second_safe_route(&profiles[0]));
        for profile in profiles {
            profile["aim"] = json!(LATENCY_TARGET_MICROS);
            profile["give-up"] = json!(DEADLINE_MICROS);
        }
        file.to_string()
    }

    fn known(&self) -> Value {
        match &self.known {
            Some(list) => serde_json::from_str(list).expect("the list is JSON"),
            None => json!({"version": 0, "full": true, "servers": []}),
        }
    }
}
