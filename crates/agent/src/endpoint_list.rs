//! Reads messages of discovery, a whole list of appliances or changes to one, into lines of the membership. It does no
//! input or output, and must read a message whole or not at all.
use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::time::Duration;

use lilacgate_decision::{Build, Cell, Endpoint, EndpointId, EndpointStatus, Model, Zone};
use lilacgate_start_settings::Paths;

use crate::endpoint_ids::EndpointIds;
use crate::json::{self, Json};

/// A message of discovery that has been read.
pub struct Update {
    /// Whether it is the whole list.
    pub whole: bool,
    /// Its entries, in their order, and where each appliance listens.
    pub entries: Vec<(Endpoint, SocketAddr)>,
    /// What it says of each appliance that it names.
    modes: BTreeMap<EndpointId, EndpointStatus>,
}

impl Update {
    /// Whether it names an appliance.
    pub fn names(&self, id: EndpointId) -> bool {
        self.modes.contains_key(&id)
    }

    /// Whether an appliance that was listed before is listed after it.
    fn keeps(&self, id: EndpointId) -> bool {
        self.modes
            .get(&id)
            .map_or(!self.whole, |mode| *mode != EndpointStatus::Removed)
    }
}

/// The version of the list that was last read, and the numbers of the appliances on it.
pub struct EndpointListReader {
    zones: Vec<String>,
    models: Vec<String>,
    version: u64,
    /// The number of each appliance by its name, the same at every agent and over its restarts.
    endpoint_ids: EndpointIds,
}

impl EndpointListReader {
    /// With the zones and machine types that the start settings name.
    pub fn new(told: &Paths) -> Result<Self, String> {
        let (version, endpoint_ids) = Default::default();
        Ok(EndpointListReader {
            zones: told.names("zones")?,
            models: told.names("shapes")?,
            version,
            endpoint_ids,
        })
    }

    /// The version of the last message, 0 before any.
    pub fn version(&self) -> u64 {
        self.version
    }

    /// Forgets the version: the next list is taken whatever its own.
    pub fn restart(&mut self) {
        self.version = 0;
    }

    /// Reads a message, if all of it can be read; `named` is told of each name that gets a number.
    pub fn read(&mut self, list: &Json, named: &mut dyn FnMut(EndpointId, &str)) -> Option<Update> {
        let version = list.get("version").and_then(Json::whole)?;
        let Json::Truth(whole) = *list.get("full")? else {
            return None;
        };
        let entries = list.get("servers").and_then(Json::list)?;
        let entries = entries
            .iter()
            .map(|entry| self.entry(entry, named))
            .collect::<Option<Vec<_>>>()?;
        if !whole && version < self.version {
            return None;
        }
        self.version = version;
        let modes = entries
            .iter()
            .map(|(line, _)| (line.id, line.status))
            .collect();
        let update = Update {
            whole,
            entries,
            modes,
        };
        // Names that are gone are forgotten: one that returns gets the same number.
        self.endpoint_ids.retain(|id| update.keeps(id));
        Some(update)
    }

    fn number(&mut self, name: &str, named: &mut dyn FnMut(EndpointId, &str)) -> EndpointId {
        if let Some(number) = self.endpoint_ids.get(name) {
            return number;
        }
        let number = self.endpoint_ids.assign(name);
        named(number, name);
        number
    }

    fn entry(
        &mut self,
        entry: &Json,
        named: &mut dyn FnMut(EndpointId, &str),
    ) -> Option<(Endpoint, SocketAddr)> {
        let text = |name: &str| entry.get(name).and_then(Json::text);
        let place = |names: &[String], name: &str| {
            let name = json::word(text(name)?);
            names
                .iter()
                .position(|n| *n == name)
                .and_then(|i| u8::try_from(i).ok())
        };
        let whole = |name| entry.get(name).and_then(Json::whole);
        let weight = entry
            .get("weight")
            .and_then(Json::figure)
            .filter(|w| *w >= 0.0)?;
        let line = Endpoint {
            id: self.number(text("id").filter(|id| !id.is_empty())?, named),
            status: match text("state")? {
                "ready" => EndpointStatus::Ready,
                "draining" => EndpointStatus::Draining,
                "gone" => EndpointStatus::Removed,
                _ => return None,
            },
            model: Model(place(&self.models, "kind")?),
            weight: weight as f32,
            started: Some(Duration::from_millis(whole("started_ms")?)).filter(|s| !s.is_zero()),
            build: Build(u16::try_from(whole("release")?).ok()?),
            cell: Cell(u16::try_from(whole("cell")?).ok()?),
            zone: Zone(place(&self.zones, "zone")?),
        };
        Some((line, text("addr")?.parse().ok()?))
    }
}
