//! A fleet drawn from a target file: services with their sizes, the placement
//! of appliances, and the distribution of requests. The same seed gives the
//! same fleet.
use rand::SeedableRng;
use rand::seq::SliceRandom;
use rand_distr::{Distribution, LogNormal};
use rand_pcg::Pcg64Mcg;

use crate::target::{Places, Target};

/// The number of a service, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u32);

/// The number of an agent, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct AgentId(pub u32);

/// The number of a zone over all regions, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ZoneId(pub u32);

/// The number of a region, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RegionId(pub u32);

/// The number of a rack over all zones, from 0.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct RackId(pub u32);

/// A service.
#[derive(Clone, Debug, PartialEq)]
pub struct Service {
    /// Its number; larger services that are drawn come first.
    pub id: ServiceId,
    /// Its name.
    pub name: String,
    /// Its appliances.
    pub appliances: u32,
    /// Its routes.
    pub routes: u32,
    /// Requests per second over all agents.
    pub request_rate: f64,
}

/// An agent.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Agent {
    /// Its number.
    pub id: AgentId,
    /// Its zone.
    pub zone: ZoneId,
    /// Its share of the requests of every service.
    pub request_share: f64,
}

/// An appliance.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Appliance {
    /// Its service.
    pub service: ServiceId,
    /// Its zone.
    pub zone: ZoneId,
    /// The rack that it fails with.
    pub rack: RackId,
}

/// All services, agents and appliances.
#[derive(Clone, Debug, PartialEq)]
pub struct Fleet {
    /// Regions and zones.
    pub places: Places,
    /// All services.
    pub services: Vec<Service>,
    /// All agents.
    pub agents: Vec<Agent>,
    /// All appliances, those of one service one after another.
    pub appliances: Vec<Appliance>,
}

impl Fleet {
    /// Requests per second of an agent at a service.
    pub fn rate(&self, agent: &Agent, service: &Service) -> f64 {
        agent.request_share * service.request_rate
    }

    /// Requests per second of an agent over all services.
    pub fn agent_rate(&self, agent: &Agent) -> f64 {
        let all: f64 = self
            .services
            .iter()
            .map(|service| service.request_rate)
            .sum();
        agent.request_share * all
    }

    /// The region of a zone.
    pub fn region(&self, zone: ZoneId) -> RegionId {
        RegionId(zone.0 % self.places.regions)
    }
}

impl Target {
    /// Draws a fleet; the same seed gives the same fleet.
    ///
    /// # Panics
    /// If the target was not read from a file and its values do not agree, for
    /// example more services than appliances.
    pub fn draw(&self, seed: u64) -> Fleet {
        let mut random = Pcg64Mcg::seed_from_u64(seed);
        let services = draw_services(self, &mut random);
        let agents = draw_agents(self, &mut random);
        let appliances = place_appliances(&self.places, &services, &mut random);
        Fleet {
            places: self.places,
            services,
            agents,
            appliances,
        }
    }
}

fn draw_services(target: &Target, random: &mut Pcg64Mcg) -> Vec<Service> {
    let sizes = draw_sizes(target, random);
    let skews = draw_weights(sizes.len(), target.request_skew, random);
    let route_weights = draw_weights(sizes.len(), target.request_skew, random);
    let routes = apportion(target.routes, 0, &route_weights);
    let weights: Vec<f64> = sizes
        .iter()
        .zip(skews)
        .map(|(&size, skew)| f64::from(size) * skew)
        .collect();
    let all: f64 = weights.iter().sum();
    let named = &target.services.named;
    let name = |index: usize| match named.get(index) {
        Some(service) => service.name.clone(),
        None => format!("service-{index}"),
    };
    (0..sizes.len())
        .map(|index| Service {
            id: ServiceId(index as u32),
            name: name(index),
            appliances: sizes[index],
            routes: routes[index],
            request_rate: target.request_rate * weights[index] / all,
        })
        .collect()
}

/// Sizes of the named services, then those drawn, the largest first.
fn draw_sizes(target: &Target, random: &mut Pcg64Mcg) -> Vec<u32> {
    let services = &target.services;
    let mut sizes: Vec<u32> = services
        .named
        .iter()
        .map(|named| named.appliances)
        .collect();
    let known: u32 = sizes.iter().sum();
    let count = services.count as usize - sizes.len();
    if count == 0 {
        return sizes;
    }
    let mut weights = draw_weights(count, services.skew, random);
    weights.sort_by(|one, other| other.total_cmp(one));
    let left = services.appliances - known;
    let has_large = sizes.iter().any(|&size| size >= services.largest);
    let least = if has_large { 1 } else { services.largest };
    let share = f64::from(left) * weights[0] / weights.iter().sum::<f64>();
    let most = left - (count as u32 - 1);
    let first = if count == 1 {
        left
    } else {
        (share as u32).clamp(least, most)
    };
    sizes.push(first);
    sizes.extend(apportion(left - first, 1, &weights[1..]));
    sizes
}

fn draw_agents(target: &Target, random: &mut Pcg64Mcg) -> Vec<Agent> {
    let weights = draw_weights(target.agents as usize, target.agent_skew, random);
    let all: f64 = weights.iter().sum();
    let zones = target.places.zones;
    let numbered = (0..target.agents).zip(weights);
    numbered
        .map(|(number, weight)| Agent {
            id: AgentId(number),
            zone: ZoneId(number % zones),
            request_share: weight / all,
        })
        .collect()
}

/// Spreads each service over the zones in turn and fills the racks of each
/// zone in random order.
fn place_appliances(
    places: &Places,
    services: &[Service],
    random: &mut Pcg64Mcg,
) -> Vec<Appliance> {
    let mut appliances = Vec::new();
    for service in services {
        for index in 0..service.appliances {
            appliances.push(Appliance {
                service: service.id,
                zone: ZoneId((service.id.0 + index) % places.zones),
                rack: RackId(0),
            });
        }
    }
    let mut first_rack = 0;
    for zone in (0..places.zones).map(ZoneId) {
        let is_here = |index: &usize| appliances[*index].zone == zone;
        let mut here: Vec<usize> = (0..appliances.len()).filter(is_here).collect();
        here.shuffle(random);
        for rack in here.chunks(places.rack_size as usize) {
            for &index in rack {
                appliances[index].rack = RackId(first_rack);
            }
            first_rack += 1;
        }
    }
    appliances
}

/// Weights whose logarithm has a standard deviation of `skew`.
fn draw_weights(count: usize, skew: f64, random: &mut Pcg64Mcg) -> Vec<f64> {
    let spread = LogNormal::new(0.0, skew).expect("a skew is finite and not below 0");
    spread.sample_iter(random).take(count).collect()
}

/// Whole shares of a total by weight (largest remainders), each `least` or
/// more.
fn apportion(total: u32, least: u32, weights: &[f64]) -> Vec<u32> {
    let all: f64 = weights.iter().sum();
    let free = f64::from(total - least * weights.len() as u32);
    let exact: Vec<f64> = weights.iter().map(|weight| free * weight / all).collect();
    let mut shares: Vec<u32> = exact.iter().map(|share| least + *share as u32).collect();
    let mut order: Vec<usize> = (0..weights.len()).collect();
    order.sort_by(|&one, &other| exact[other].fract().total_cmp(&exact[one].fract()));
    let given: u32 = shares.iter().sum();
    for &index in order.iter().cycle().take((total - given) as usize) {
        shares[index] += 1;
    }
    shares
}
