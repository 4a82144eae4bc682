//! Reads messages of discovery, a full list of endpoints or changes to one.
//!
//! It does no input or output, and reads a message whole or not at all.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lilacgate_decision::{Build, Cell, Endpoint, EndpointId, EndpointStatus, MachineModel, Zone};
use lilacgate_start_settings::{Settings, SettingsError};

use crate::endpoint_ids::EndpointIds;
use crate::endpoint_start_times::{ListProvenance, StartTimes};
use crate::json::{self, Json};

/// An endpoint in a message of discovery.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// Its entry.
    pub endpoint: Endpoint,
    /// Where it listens.
    pub address: SocketAddr,
}

/// A message of discovery that has been read.
#[derive(Debug)]
pub struct EndpointListUpdate {
    /// Whether it is a full list; otherwise it holds changes.
    pub is_full: bool,
    /// Its endpoints, in their order.
    pub endpoints: Vec<ListedEndpoint>,
    /// The status of each endpoint that it names.
    statuses: BTreeMap<EndpointId, EndpointStatus>,
}

impl EndpointListUpdate {
    /// Whether it names an endpoint.
    pub fn contains(&self, id: EndpointId) -> bool {
        self.statuses.contains_key(&id)
    }

    /// Whether an endpoint that was listed before is still listed after it.
    fn still_lists(&self, id: EndpointId) -> bool {
        match self.statuses.get(&id) {
            Some(status) => *status != EndpointStatus::Removed,
            None => !self.is_full,
        }
    }
}

/// Reads the messages of discovery. It holds the version of the last one, and the ids of the endpoints on the list.
#[derive(Debug)]
pub struct EndpointListReader {
    zones: Vec<String>,
    models: Vec<String>,
    version: u64,
    /// The id of each endpoint by its name, the same at every agent and over its restarts.
    endpoint_ids: EndpointIds,
    /// When the process of each endpoint started.
    start_times: StartTimes,
}

/// When and in which circumstances a message was received.
#[derive(Clone, Copy, Debug)]
pub struct ListReceipt {
    /// The time, on the agent's clock.
    pub now: Duration,
    /// Whether and how discovery sent it.
    pub provenance: ListProvenance,
}

impl ListReceipt {
    /// The receipt of a message whose stamps are of the very clock that its reader goes by, as in virtual time.
    pub const COMMON_CLOCK: ListReceipt = ListReceipt {
        now: Duration::MAX,
        provenance: ListProvenance::Saved,
    };
}

impl EndpointListReader {
    /// A reader that knows the zones and machine models of the start settings.
    ///
    /// # Errors
    /// A setting that is missing.
    pub fn new(settings: &Settings) -> Result<Self, SettingsError> {
        Ok(EndpointListReader {
            zones: settings.names("zones")?,
            models: settings.names("shapes")?,
            version: 0,
            endpoint_ids: EndpointIds::default(),
            start_times: StartTimes::default(),
        })
    }

    /// The version of the last message, 0 before any.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Forgets the version: the next list is taken whatever its own.
    pub fn forget_version(&mut self) {
        self.version = 0;
    }

    /// Reads a message; none if a part of it cannot be read, or if it is older than the last one. `on_new_endpoint` is called
    /// with each endpoint that gets an id.
    pub fn read(
        &mut self,
        message: &Json,
        receipt: ListReceipt,
        on_new_endpoint: &mut dyn FnMut(EndpointId, &str),
    ) -> Option<EndpointListUpdate> {
        let version = message.get("version").and_then(Json::as_u64)?;
        let Json::Bool(is_full) = *message.get("full")? else {
            return None;
        };
        let entries = message.get("servers").and_then(Json::as_array)?;
        let mut endpoints = entries
            .iter()
            .map(|entry| self.read_entry(entry, on_new_endpoint))
            .collect::<Option<Vec<_>>>()?;
        if !is_full && version < self.version {
            return None;
        }
        // Only now: a message that is not taken must not count as seen.
        for listed in &mut endpoints {
            self.correct_start(&mut listed.endpoint, receipt);
        }
        self.version = version;
        let statuses = endpoints
            .iter()
            .map(|listed| (listed.endpoint.id, listed.endpoint.status))
            .collect();
        let update = EndpointListUpdate {
            is_full,
            endpoints,
            statuses,
        };
        // The names of removed endpoints are forgotten: one that returns gets the same id.
        self.endpoint_ids.retain(|id| update.still_lists(id));
        self.start_times.retain(|id| update.still_lists(id));
        Some(update)
    }

    /// Replaces the start that the list shows by that on the agent's clock.
    fn correct_start(&mut self, endpoint: &mut Endpoint, receipt: ListReceipt) {
        let ListReceipt { now, provenance } = receipt;
        endpoint.started =
            self.start_times
                .start_time(endpoint.id, endpoint.started, provenance, now);
    }

    fn id_of(
        &mut self,
        name: &str,
        on_new_endpoint: &mut dyn FnMut(EndpointId, &str),
    ) -> EndpointId {
        if let Some(id) = self.endpoint_ids.get(name) {
            return id;
        }
        let id = self.endpoint_ids.assign(name);
        on_new_endpoint(id, name);
        id
    }

    fn read_entry(
        &mut self,
        entry: &Json,
        on_new_endpoint: &mut dyn FnMut(EndpointId, &str),
    ) -> Option<ListedEndpoint> {
        let text = |field: &str| entry.get(field).and_then(Json::as_str);
        let number = |field| entry.get(field).and_then(Json::as_u64);
        let weight = entry
            .get("weight")
            .and_then(Json::as_f64)
            .filter(|weight| *weight >= 0.0)?;
        let name = text("id").filter(|name| !name.is_empty())?;
        let endpoint = Endpoint {
            id: self.id_of(name, on_new_endpoint),
            status: read_status(text("state")?)?,
            machine_model: MachineModel(index_of(&self.models, text("kind")?)?),
            weight: weight as f32,
            started: Some(Duration::from_millis(number("started_ms")?))
                .filter(|started| !started.is_zero()),
            build: Build(u16::try_from(number("release")?).ok()?),
            cell: Cell(u16::try_from(number("cell")?).ok()?),
            zone: Zone(index_of(&self.zones, text("zone")?)?),
        };
        let address = text("addr")?.parse().ok()?;
        Some(ListedEndpoint { endpoint, address })
    }
}

fn read_status(state: &str) -> Option<EndpointStatus> {
    match state {
        "ready" => Some(EndpointStatus::Ready),
        "draining" => Some(EndpointStatus::Draining),
        "gone" => Some(EndpointStatus::Removed),
        _ => None,
    }
}

/// The place of a name in a list of the start settings.
fn index_of(names: &[String], name: &str) -> Option<u8> {
    let name = json::settings_name(name);
    let index = names.iter().position(|known| *known == name)?;
    u8::try_from(index).ok()
}
