//! Reads the messages of discovery: a full list of endpoints, or changes to the last list.
//!
//! A message is read whole or not at all. This module performs no I/O.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lilacgate_decision::{Build, Cell, Endpoint, EndpointId, EndpointStatus, MachineModel, Zone};
use lilacgate_start_settings::{Settings, SettingsError};

use crate::endpoint_ids::EndpointIds;
use crate::endpoint_start_times::{ListProvenance, StartTimes};
use crate::json::{self, Json};

/// An endpoint as a message of discovery lists it.
#[derive(Clone, Debug)]
pub struct ListedEndpoint {
    /// The endpoint as the decision engine sees it, with its start time on the agent's clock.
    pub endpoint: Endpoint,
    /// Where the endpoint listens.
    pub address: SocketAddr,
}

/// A message of discovery that has been read.
#[derive(Debug)]
pub struct EndpointListUpdate {
    /// Whether the message is a full list; otherwise it holds only changes.
    pub is_full: bool,
    /// The listed endpoints, in the order of the message.
    pub endpoints: Vec<ListedEndpoint>,
    /// The status of each endpoint in the message.
    statuses: BTreeMap<EndpointId, EndpointStatus>,
}

impl EndpointListUpdate {
    /// Whether the message lists this endpoint, whatever its status.
    pub fn contains(&self, id: EndpointId) -> bool {
        self.statuses.contains_key(&id)
    }

    /// Whether an endpoint that was listed before is still listed after this message.
    fn still_lists(&self, id: EndpointId) -> bool {
        match self.statuses.get(&id) {
            Some(status) => *status != EndpointStatus::Removed,
            None => !self.is_full,
        }
    }
}

/// Reads the messages of discovery. Keeps the version of the last message, and the ids and start times of the endpoints
/// on the list.
#[derive(Debug)]
pub struct EndpointListReader {
    zones: Vec<String>,
    models: Vec<String>,
    version: u64,
    /// The id of each endpoint by its name: the same at every agent, and after a restart of the agent.
    endpoint_ids: EndpointIds,
    /// When the process of each endpoint started, on the agent's clock.
    start_times: StartTimes,
}

/// When a message was received, and where its list came from.
#[derive(Clone, Copy, Debug)]
pub struct ListReceipt {
    /// When it was received, on the agent's clock.
    pub now: Duration,
    /// Where its list came from.
    pub provenance: ListProvenance,
}

impl ListReceipt {
    /// A receipt for messages whose timestamps come from the reader's own clock, as in simulations in virtual time:
    /// start times are taken as they are listed.
    pub const COMMON_CLOCK: ListReceipt = ListReceipt {
        now: Duration::MAX,
        provenance: ListProvenance::Saved,
    };
}

impl EndpointListReader {
    /// Creates a reader that knows the zones and machine models of the start settings.
    ///
    /// # Errors
    /// Fails if a setting is missing.
    pub fn new(settings: &Settings) -> Result<Self, SettingsError> {
        Ok(EndpointListReader {
            zones: settings.names("zones")?,
            models: settings.names("shapes")?,
            version: 0,
            endpoint_ids: EndpointIds::default(),
            start_times: StartTimes::default(),
        })
    }

    /// The version of the last message; 0 before the first one.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Forgets the version, so that the next message is accepted whatever its version.
    pub fn forget_version(&mut self) {
        self.version = 0;
    }

    /// Reads a message. Returns `None` if a part of it cannot be read, or if it holds changes of an older version than
    /// that of the last message. Calls `on_new_endpoint` for each endpoint that is assigned an id.
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
        // Start times are recorded only now: a rejected message must not mark its endpoints as listed before.
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
        // The names of removed endpoints are forgotten: one that returns gets the same id, which is derived from its
        // name.
        self.endpoint_ids.retain(|id| update.still_lists(id));
        self.start_times.retain(|id| update.still_lists(id));
        Some(update)
    }

    /// Replaces the listed start time by the start time on the agent's clock.
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

/// The index of a name in a list of the start settings.
fn index_of(names: &[String], name: &str) -> Option<u8> {
    let name = json::settings_name(name);
    let index = names.iter().position(|known| *known == name)?;
    u8::try_from(index).ok()
}
