//! Creates the simulated endpoints and the directories of their numbers.
use std::collections::HashMap;
use std::time::Duration;

use lilacgate_agent::endpoint_list::{EndpointListReader, ListReceipt, ListedEndpoint};
use lilacgate_agent::json::JsonParser;
use lilacgate_capacity::fleet;
use lilacgate_decision::{AgentId, EndpointId};
use lilacgate_start_settings::Settings;
use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

use super::TRIAL_PART;
use crate::agent::{Common, OLD_BUILD};
use crate::discovery::Discovery;
use crate::endpoint::SimulatedEndpoint;
use crate::error::ScaleError;
use crate::network::ServiceIndex;
use crate::platform::TRIAL_BUILD;
use crate::settings;
use crate::wire::{self, Entry, ListedState};

/// Multiplier that separates the random streams of a simulation.
const STREAM_MULTIPLIER: u64 = 0xa076_1d64_78bd_642f;

/// The index of each endpoint by its number in the modules of one service.
pub(super) type Directory = HashMap<EndpointId, u32>;

/// One of several independent random streams of a seed.
pub(super) fn random_stream(seed: u64, number: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(STREAM_MULTIPLIER))
}

/// Creates all endpoints of a drawn fleet; a tenth of each service on trial runs the new build.
pub(super) fn create_endpoints(common: &Common, seed: u64) -> Vec<SimulatedEndpoint> {
    let zones = settings::zone_names(&common.size.places);
    let mut places = vec![0; common.fleet.services.len()];
    let create = |(index, drawn): (usize, &fleet::Appliance)| {
        let service = drawn.service.0;
        let place: &mut u32 = &mut places[service as usize];
        let on_trial = service < common.size.releases && place.is_multiple_of(TRIAL_PART);
        let entry = Entry {
            name: format!("{}-{place}", common.fleet.services[service as usize].name),
            index: index as u32,
            zone: zones[drawn.zone.0 as usize].clone(),
            state: ListedState::Ready,
            weight: 1.0,
            started: Duration::ZERO,
            build: if on_trial { TRIAL_BUILD } else { OLD_BUILD },
        };
        *place += 1;
        SimulatedEndpoint::new(
            entry,
            ServiceIndex(service),
            drawn.zone.0,
            drawn.rack.0,
            seed,
        )
    };
    common
        .fleet
        .appliances
        .iter()
        .enumerate()
        .map(create)
        .collect()
}

/// The directory of each service. All agents derive the same numbers from the names on a list.
///
/// # Errors
/// The list cannot be read.
pub(super) fn directories(
    common: &Common,
    discovery: &Discovery,
) -> Result<Vec<Directory>, ScaleError> {
    let unreadable = || ScaleError::Size("the list cannot be read".to_owned());
    let mut directories = Vec::new();
    for service in 0..common.size.services {
        let start = common.start(AgentId(0), service as usize);
        let settings = Settings::from_lines(&settings::text(&start));
        let text = discovery.saved(ServiceIndex(service));
        let mut endpoint_list = EndpointListReader::new(&settings)
            .map_err(|error| ScaleError::Settings(error.to_string()))?;
        let list = JsonParser::parse(&text).map_err(|_| unreadable())?;
        let update = endpoint_list
            .read(&list, ListReceipt::COMMON_CLOCK, &mut |_, _| {})
            .ok_or_else(unreadable)?;
        let number = |listed: &ListedEndpoint| {
            wire::index(listed.address).map(|index| (listed.endpoint.id, index))
        };
        directories.push(update.endpoints.iter().filter_map(number).collect());
    }
    Ok(directories)
}
