//! A stand-in for the endpoint list service: it answers each watch with the full list, then sends changes.
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::{Arc, Mutex};

use crate::framing::{encode_http_chunk, read_http_head};
use crate::listener::{Listener, lock};
use crate::protocol_messages::{WATCH_HEARTBEAT, WATCH_RESPONSE_HEAD};
use crate::subscribers::Subscribers;

/// The list as it stands.
#[derive(Debug)]
struct VersionedList {
    version: u64,
    /// One JSON object for each endpoint.
    entries: Vec<String>,
}

/// An endpoint list service that listens.
#[derive(Debug)]
pub(crate) struct EndpointListService {
    listener: Listener,
    watchers: Subscribers,
    list: Arc<Mutex<VersionedList>>,
}

impl EndpointListService {
    pub(crate) fn new(host: Ipv4Addr) -> EndpointListService {
        let watchers = Subscribers::new(WATCH_HEARTBEAT);
        let list = Arc::new(Mutex::new(VersionedList {
            version: 1,
            entries: Vec::new(),
        }));
        let (new_watchers, full_list) = (watchers.clone(), list.clone());
        let listener = Listener::new(host, move |connection| {
            let mut reader = BufReader::new(connection.try_clone().expect("a second handle"));
            while read_http_head(&mut reader).is_some() {
                let mut watchers = new_watchers.lock();
                let list = lock(&full_list);
                let text = list_json(list.version, true, &list.entries);
                let response = [WATCH_RESPONSE_HEAD, encode_http_chunk(&text).as_bytes()].concat();
                if (&connection).write_all(&response).is_ok() {
                    watchers.extend(connection.try_clone());
                }
            }
        });
        EndpointListService {
            listener,
            watchers,
            list,
        }
    }

    pub(crate) fn address(&self) -> SocketAddr {
        self.listener.address
    }

    /// The entries as they were set last, separated by commas.
    pub(crate) fn entries_json(&self) -> String {
        lock(&self.list).entries.join(",")
    }

    /// Sets the full list without notifying watchers.
    pub(crate) fn set_entries(&self, entries: Vec<String>) {
        lock(&self.list).entries = entries;
    }

    /// Sets the full list as a new version, and sends the changed entries to all watchers.
    pub(crate) fn publish(&self, entries: Vec<String>, changed: &[String]) {
        let mut list = lock(&self.list);
        list.version += 1;
        list.entries = entries;
        let text = list_json(list.version, false, changed);
        // A connection that begins a watch locks the watchers before the list; the list must not be held here.
        drop(list);
        self.watchers.send(encode_http_chunk(&text).as_bytes());
    }
}

impl Drop for EndpointListService {
    fn drop(&mut self) {
        self.watchers.stop();
    }
}

fn list_json(version: u64, full: bool, entries: &[String]) -> String {
    let entries = entries.join(",");
    format!("{{\"version\":{version},\"full\":{full},\"servers\":[{entries}]}}\n")
}
