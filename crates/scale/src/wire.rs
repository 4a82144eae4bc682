//! The bytes that simulated discovery and the simulated platform send, in the forms that the agent
//! reads.
use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

/// The head of a watch's answer.
pub const WATCH_HEAD: &str = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
/// The heartbeat of a watch without changes.
pub const QUIET: &[u8] = b"1\r\n\n\r\n";
/// Time between two heartbeats of a watch.
pub const QUIET_PERIOD: Duration = Duration::from_secs(2);
/// The heartbeat of the platform.
pub const PING: &[u8] = b"{\"jsonrpc\":\"2.0\",\"method\":\"ping\"}\n";
/// Time between two heartbeats of the platform.
pub const PING_PERIOD: Duration = Duration::from_secs(1);
/// A platform's answer to a listener.
pub const LISTENS: &str = "{\"jsonrpc\":\"2.0\",\"id\":1,\"result\":true}\n";
/// Number of addresses that differ in their last two bytes only.
const ADDRESSES: u32 = 1 << 16;
/// The port that endpoints listen at.
const PORT: u16 = 6390;

/// The state of an endpoint on a list.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListedState {
    /// Takes requests.
    Ready,
    /// Finishes its requests and takes no new ones.
    Draining,
    /// Has left.
    Gone,
}

impl ListedState {
    fn word(self) -> &'static str {
        match self {
            ListedState::Ready => "ready",
            ListedState::Draining => "draining",
            ListedState::Gone => "gone",
        }
    }
}

/// An entry of a list.
#[derive(Clone, Debug)]
pub struct Entry {
    /// The endpoint's name.
    pub name: String,
    /// Its index among all endpoints of the fleet.
    pub index: u32,
    /// The name of its zone.
    pub zone: String,
    /// Its state.
    pub state: ListedState,
    /// Its weight in load balancing.
    pub weight: f32,
    /// When it last started, 0 if before the simulation.
    pub started: Duration,
    /// The build that it runs.
    pub build: u16,
}

/// The address of an endpoint.
pub fn address(index: u32) -> SocketAddr {
    let (high, low) = (index / ADDRESSES, index % ADDRESSES);
    let ip = Ipv4Addr::new(10, high as u8, (low >> 8) as u8, low as u8);
    SocketAddr::from((ip, PORT))
}

/// The index of the endpoint that listens at an address.
pub fn index(address: SocketAddr) -> Option<u32> {
    let SocketAddr::V4(address) = address else {
        return None;
    };
    let [_, high, middle, low] = address.ip().octets();
    Some(u32::from(high) * ADDRESSES + (u32::from(middle) << 8) + u32::from(low))
}

fn write_entry(text: &mut String, entry: &Entry) {
    let (name, zone, state) = (&entry.name, &entry.zone, entry.state.word());
    let (weight, started, build) = (entry.weight, entry.started.as_millis(), entry.build);
    let address = address(entry.index);
    text.push_str(&format!(
        "{{\"id\":\"{name}\",\"addr\":\"{address}\",\"zone\":\"{zone}\",\"kind\":\"plain\",\
         \"cell\":0,\"state\":\"{state}\",\"weight\":{weight:.2},\"started_ms\":{started},\
         \"release\":{build}}}"
    ));
}

/// A list or its changes, as a JSON object on one line.
pub fn list(version: u64, whole: bool, entries: &[Entry]) -> String {
    let mut text = format!("{{\"version\":{version},\"full\":{whole},\"servers\":[");
    for (place, entry) in entries.iter().enumerate() {
        if place > 0 {
            text.push(',');
        }
        write_entry(&mut text, entry);
    }
    text.push_str("]}\n");
    text
}

/// A message of a watch.
pub fn chunk(text: &str) -> Vec<u8> {
    format!("{:x}\r\n{text}\r\n", text.len()).into_bytes()
}

/// The beginning of a watch: its head and the whole list.
pub fn watch(version: u64, entries: &[Entry]) -> Vec<u8> {
    let mut bytes = WATCH_HEAD.as_bytes().to_vec();
    bytes.extend(chunk(&list(version, true, entries)));
    bytes
}

/// A release update, as the platform sends it to its listeners.
pub fn release_update(build: u16, stage: u8, state: &str, cap: f64) -> String {
    let params = format!(
        "{{\"Revision\":{build},\"Wave\":{stage},\"State\":\"{state}\",\"MaxShare\":{cap},\
         \"AgeMs\":100}}"
    );
    format!("{{\"jsonrpc\":\"2.0\",\"method\":\"ROLLOUT\",\"params\":{params}}}\n")
}

/// Bytes of the call that opens a watch.
pub fn watch_call_bytes(since: u64) -> usize {
    let path = format!("/catalog/members?follow=1&since={since}");
    format!("GET {path} HTTP/1.1\r\nHost: 127.0.0.1:8500\r\nAccept: application/json\r\n\r\n").len()
}

/// Bytes of the call that casts a vote.
pub fn vote_call_bytes(id: u64, build: u16, stage: u8, decision: &str) -> usize {
    let params = format!("{{\"Revision\":{build},\"Wave\":{stage},\"Decision\":\"{decision}\"}}");
    format!("{{\"jsonrpc\":\"2.0\",\"id\":{id},\"method\":\"verdict\",\"params\":{params}}}\n")
        .len()
}
