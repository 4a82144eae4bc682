//! A fleet in virtual time: agents step in slices on a pool of threads, and what they have sent is
//! carried out between slices, in the order of time, agent and sending.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap, HashMap};
use std::sync::Arc;
use std::time::Duration;

use lilacgate_agent::endpoint_list::EndpointListReader;
use lilacgate_agent::json::JsonParser;
use lilacgate_capacity::fleet::{RegionId, ZoneId};
use lilacgate_decision::{AgentId, EndpointId, Outcome};
use lilacgate_start_settings::Settings;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use rayon::ThreadPool;
use rayon::prelude::*;

use crate::agent::{Agent, Common, OLD_BUILD};
use crate::appliance::{Appliance, CONNECT_TIMEOUT, Power, Reply};
use crate::discovery::{Delivery, Discovery};
use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::meter::Meter;
use crate::module::ModuleEvent;
use crate::network::{AttemptCall, AttemptId, Incoming, ONE_WAY, Outgoing, Sent, ServiceIndex};
use crate::platform::{Platform, TRIAL_BUILD};
use crate::resources::{Limits, resident_bytes};
use crate::settings;
use crate::wire::{self, Entry, ListedState};

/// Virtual time that agents step without an exchange of messages.
pub const SLICE: Duration = Duration::from_millis(1);
/// When virtual time begins.
pub const START: Duration = Duration::from_secs(1000);
/// Slices between two looks at the limits.
const SLICES_A_CHECK: u64 = 20;
/// One in so many appliances of a service runs the build on trial.
const TRIAL_PART: u32 = 10;

/// An attempt at an appliance, of which the agent will hear.
struct Pending {
    at: Duration,
    agent: AgentId,
    service: ServiceIndex,
    attempt: AttemptId,
    outcome: Outcome,
    appliance: u32,
}

impl Pending {
    fn key(&self) -> (Duration, AgentId, ServiceIndex, AttemptId) {
        (self.at, self.agent, self.service, self.attempt)
    }
}

impl PartialEq for Pending {
    fn eq(&self, other: &Self) -> bool {
        self.key() == other.key()
    }
}

impl Eq for Pending {}

impl PartialOrd for Pending {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Pending {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        self.key().cmp(&other.key())
    }
}

/// A fleet in virtual time.
pub struct Simulation {
    /// Virtual time.
    pub now: Duration,
    /// What all agents share.
    pub common: Common,
    /// The agents.
    pub agents: Vec<Agent>,
    /// The appliances of all services, those of a service together.
    pub appliances: Vec<Appliance>,
    /// Hollow discovery.
    pub discovery: Discovery,
    /// The hollow platform.
    pub platform: Platform,
    /// Resident memory of each agent after its first list, in bytes.
    pub agent_bytes: f64,
    /// Whether the regions cannot reach each other.
    is_parted: bool,
    pool: ThreadPool,
    limits: Limits,
    /// The appliance of each number, by service.
    directories: Vec<HashMap<EndpointId, u32>>,
    pending: BinaryHeap<Reverse<Pending>>,
    chance: Pcg64Mcg,
    seed: u64,
    resident_before: u64,
    next_change: Option<Duration>,
    slices: u64,
}

impl Simulation {
    /// Creates a fleet; its agents start at the first step.
    ///
    /// # Errors
    /// The size cannot be simulated, or a limit is reached.
    pub fn new(
        size: FleetSize,
        seed: u64,
        threads: usize,
        limits: Limits,
    ) -> Result<Self, ScaleError> {
        let pool = rayon::ThreadPoolBuilder::new()
            .num_threads(threads)
            .build()?;
        let common = Common::new(size, seed)?;
        let size = &common.size;
        let appliances = create_appliances(&common, seed);
        let mut discovery = Discovery::new(size.services, stream(seed, 1));
        for appliance in &appliances {
            discovery.enlist(appliance.service, appliance.entry.clone());
        }
        let mut platform = Platform::new(size.services);
        for service in 0..size.releases.min(size.services) {
            platform.begin_trial(ServiceIndex(service));
        }
        let directories = directories(&common, &discovery)?;
        let mut simulation = Simulation {
            now: START,
            common,
            agents: Vec::new(),
            appliances,
            discovery,
            platform,
            agent_bytes: 0.0,
            is_parted: false,
            pool,
            limits,
            directories,
            pending: BinaryHeap::new(),
            chance: stream(seed, 2),
            seed,
            resident_before: 0,
            next_change: None,
            slices: 0,
        };
        simulation.start()?;
        Ok(simulation)
    }

    fn start(&mut self) -> Result<(), ScaleError> {
        self.resident_before = resident_bytes();
        let fleet = &self.common.fleet;
        let rates: Vec<f64> = fleet
            .agents
            .iter()
            .map(|agent| fleet.agent_rate(agent))
            .collect();
        let (common, seed, now) = (&self.common, self.seed, self.now);
        let create = |(id, &rate): (usize, &f64)| {
            let mut agent = Agent::new(AgentId(id as u32), common, rate, seed)?;
            agent.start(now, common);
            Ok::<Agent, ScaleError>(agent)
        };
        let agents: Result<Vec<Agent>, ScaleError> = self
            .pool
            .install(|| rates.par_iter().enumerate().map(create).collect());
        self.agents = agents?;
        for service in 0..self.common.size.services {
            let agents = self.common.size.agents;
            for agent in 0..agents {
                let to = AgentId(agent);
                let delivery = self.platform.listen(now, ServiceIndex(service), to);
                self.deliver(delivery);
            }
        }
        self.exchange();
        self.plan_change();
        Ok(())
    }

    /// Measures the agents' memory: the growth of resident memory since before they were created.
    pub fn measure_memory(&mut self) {
        let grown = resident_bytes().saturating_sub(self.resident_before);
        self.agent_bytes = grown as f64 / self.agents.len() as f64;
    }

    /// Runs until this moment.
    ///
    /// # Errors
    /// A limit is reached.
    pub fn run_until(&mut self, until: Duration) -> Result<(), ScaleError> {
        while self.now < until {
            if self.slices.is_multiple_of(SLICES_A_CHECK) {
                self.limits.check()?;
            }
            self.slices += 1;
            self.slice();
        }
        Ok(())
    }

    /// Runs for so long.
    ///
    /// # Errors
    /// A limit is reached.
    pub fn run_for(&mut self, span: Duration) -> Result<(), ScaleError> {
        self.run_until(self.now + span)
    }

    fn slice(&mut self) {
        let end = self.now + SLICE;
        self.change_lists(end);
        self.deliver_endings(end);
        self.step_agents(end);
        self.now = end;
        self.exchange();
    }

    fn step_agents(&mut self, end: Duration) {
        let common = &self.common;
        let agents = &mut self.agents;
        // A pool of one thread would only be woken and waited for.
        if self.pool.current_num_threads() == 1 {
            agents.iter_mut().for_each(|agent| agent.step(end, common));
            return;
        }
        let step = |agent: &mut Agent| agent.step(end, common);
        self.pool.install(|| agents.par_iter_mut().for_each(step));
    }

    fn deliver_endings(&mut self, end: Duration) {
        while let Some(Reverse(first)) = self.pending.peek() {
            if first.at >= end {
                break;
            }
            let Some(Reverse(pending)) = self.pending.pop() else {
                break;
            };
            let what = Incoming::Ended {
                attempt: pending.attempt,
                outcome: pending.outcome,
            };
            let agent = &mut self.agents[pending.agent.0 as usize];
            agent.deliver(pending.at, pending.service, what);
        }
    }

    fn deliver(&mut self, delivery: Delivery) {
        if let Some(agent) = self.agents.get_mut(delivery.to.0 as usize) {
            let at = delivery.at.max(self.now);
            agent.deliver(at, delivery.service, delivery.what);
        }
    }

    /// Carries out what agents have sent in the last slice.
    fn exchange(&mut self) {
        let mut sent: Vec<(AgentId, Sent)> = Vec::new();
        for agent in &mut self.agents {
            let id = agent.id;
            sent.extend(agent.outbox.drain(..).map(|one| (id, one)));
        }
        // The sort is stable: an agent's messages of the same moment stay in their order.
        sent.sort_by_key(|(agent, one)| (one.at, *agent));
        for (agent, one) in sent {
            self.carry(agent, one);
        }
    }

    fn carry(&mut self, agent: AgentId, sent: Sent) {
        let Sent { at, service, what } = sent;
        match what {
            Outgoing::Attempt(AttemptCall {
                attempt,
                to,
                work,
                until,
            }) => {
                let index = self.directories[service.0 as usize].get(&to).copied();
                let (reply, appliance) = self.attempt(agent, index, at, work, until);
                let at = reply.at.max(self.now);
                let outcome = reply.outcome;
                self.pending.push(Reverse(Pending {
                    at,
                    agent,
                    service,
                    attempt,
                    outcome,
                    appliance,
                }));
            }
            Outgoing::Datagram { to, payload } => {
                let all = self.agents.len() as u32;
                let to = to.map_or(0..all, |to| to.0..to.0 + 1);
                for to in to.map(AgentId).filter(|to| *to != agent) {
                    if self.reaches(agent, to) {
                        let what = Incoming::Event(ModuleEvent::Datagram(agent, payload.clone()));
                        self.deliver(Delivery {
                            to,
                            service,
                            at: at + ONE_WAY,
                            what,
                        });
                    }
                }
            }
            Outgoing::Vote { vote, .. } => self.platform.vote(at, service, vote),
            Outgoing::Watch { connection } if !self.reaches_discovery(agent) => {
                self.close_watch(agent, service, connection);
            }
            Outgoing::Watch { connection } => {
                let delivery = self.discovery.watch(at, service, agent, connection);
                self.deliver(delivery);
            }
            Outgoing::Unwatch => self.discovery.unwatch(service, agent),
        }
    }

    fn attempt(
        &mut self,
        agent: AgentId,
        index: Option<u32>,
        at: Duration,
        work: Duration,
        until: Duration,
    ) -> (Reply, u32) {
        let Some(index) = index else {
            return (
                Reply {
                    outcome: Outcome::ConnectFailed,
                    at: at + ONE_WAY,
                },
                u32::MAX,
            );
        };
        let zone = ZoneId(self.appliances[index as usize].zone);
        let parted = self.is_parted && self.region(agent) != self.common.fleet.region(zone);
        if parted {
            let outcome = Outcome::TimedOut;
            return (Reply { outcome, at: until }, index);
        }
        let appliance = &mut self.appliances[index as usize];
        (appliance.take(at, work, until), index)
    }

    /// The region that an agent stands in.
    pub fn region(&self, agent: AgentId) -> RegionId {
        let fleet = &self.common.fleet;
        fleet.region(fleet.agents[agent.0 as usize].zone)
    }

    fn reaches(&self, from: AgentId, to: AgentId) -> bool {
        !self.is_parted || self.region(from) == self.region(to)
    }

    /// Discovery stands in the first region.
    fn reaches_discovery(&self, agent: AgentId) -> bool {
        !self.is_parted || self.region(agent) == RegionId(0)
    }

    /// A watch's connection ends, or is never made.
    fn close_watch(&mut self, to: AgentId, service: ServiceIndex, connection: u32) {
        let what = Incoming::ListClosed { connection };
        let at = self.now + CONNECT_TIMEOUT;
        self.deliver(Delivery {
            to,
            service,
            at,
            what,
        });
    }

    /// Parts the regions from each other: watches across the gap end, attempts and datagrams get
    /// lost. What is on its way still arrives.
    pub fn part_regions(&mut self) {
        self.is_parted = true;
        for id in (0..self.agents.len() as u32).map(AgentId) {
            if self.reaches_discovery(id) {
                continue;
            }
            for service in (0..self.common.size.services).map(ServiceIndex) {
                self.discovery.unwatch(service, id);
                let module = &self.agents[id.0 as usize].modules[service.0 as usize];
                let connection = module.connection;
                self.close_watch(id, service, connection);
            }
        }
    }

    /// Joins the regions again.
    pub fn join_regions(&mut self) {
        self.is_parted = false;
    }

    /// Modules whose list is not discovery's.
    pub fn modules_behind(&self) -> usize {
        let is_behind = |(service, module): (usize, &crate::module::Module)| {
            module.version() != self.discovery.version(ServiceIndex(service as u32))
        };
        let behind = |agent: &Agent| {
            agent
                .modules
                .iter()
                .enumerate()
                .filter(|one| is_behind(*one))
                .count()
        };
        self.agents.iter().map(behind).sum()
    }

    /// Modules that have not had a whole list on the connection that they have now.
    pub fn modules_unwatched(&self) -> usize {
        let modules = self.agents.iter().flat_map(|agent| &agent.modules);
        modules.filter(|module| !module.has_list).count()
    }

    fn plan_change(&mut self) {
        let rate = self.common.size.change_rate;
        self.next_change = (rate > 0.0).then(|| self.now + Duration::from_secs_f64(1.0 / rate));
    }

    /// Changes of the list at the fleet's rate.
    fn change_lists(&mut self, end: Duration) {
        while let Some(at) = self.next_change.filter(|at| *at < end) {
            let index = self.chance.random_range(0..self.appliances.len()) as u32;
            self.change_weight(index);
            let gap = Duration::from_secs_f64(1.0 / self.common.size.change_rate);
            self.next_change = Some(at + gap);
        }
    }

    /// One change of configuration: an appliance's weight.
    pub fn change_weight(&mut self, index: u32) {
        let entry = &mut self.appliances[index as usize].entry;
        entry.weight = if entry.weight < 1.0 { 1.0 } else { 0.95 };
        self.publish(&[index]);
    }

    /// Tells all watchers what the list says now of these appliances.
    pub fn publish(&mut self, indices: &[u32]) {
        let mut changes: BTreeMap<ServiceIndex, Vec<Entry>> = BTreeMap::new();
        for &index in indices {
            let appliance = &self.appliances[index as usize];
            changes
                .entry(appliance.service)
                .or_default()
                .push(appliance.entry.clone());
        }
        for (service, entries) in changes {
            let agents = (0..self.agents.len() as u32).map(AgentId);
            let reached: Vec<bool> = agents.map(|to| self.reaches_discovery(to)).collect();
            let reaches = |to: AgentId| reached.get(to.0 as usize).copied().unwrap_or(false);
            let deliveries = self.discovery.change(self.now, service, &entries, reaches);
            deliveries
                .into_iter()
                .for_each(|delivery| self.deliver(delivery));
        }
    }

    /// Ends an appliance's process or machine. What it has in hand is lost.
    pub fn stop_appliance(&mut self, index: u32, power: Power) {
        self.appliances[index as usize].power = power;
        let now = self.now;
        let mut pending = std::mem::take(&mut self.pending).into_vec();
        for Reverse(one) in &mut pending {
            if one.appliance == index && power == Power::Refusing && one.at > now + ONE_WAY {
                (one.outcome, one.at) = (Outcome::ConnectionLost, now + ONE_WAY);
            } else if one.appliance == index && power == Power::Silent && one.at > now {
                (one.outcome, one.at) = (Outcome::TimedOut, one.at.max(now + settings::give_up()));
            }
        }
        self.pending = pending.into();
    }

    /// Starts an appliance again, and lists it.
    pub fn restart_appliance(&mut self, index: u32) {
        let now = self.now;
        let build = self.appliances[index as usize].entry.build;
        self.appliances[index as usize].restart(now, build);
    }

    /// Sets what the list says of an appliance; [`Simulation::publish`] tells it.
    pub fn list_as(&mut self, index: u32, state: ListedState) {
        self.appliances[index as usize].entry.state = state;
    }

    /// Restarts these agents at once, with the lists that their start files hold.
    ///
    /// # Errors
    /// Their start settings cannot be used.
    pub fn restart_agents(&mut self, agents: &[AgentId]) -> Result<(), ScaleError> {
        let services: Vec<ServiceIndex> =
            (0..self.common.size.services).map(ServiceIndex).collect();
        let saved: Vec<Arc<[u8]>> = services.iter().map(|s| self.discovery.saved(*s)).collect();
        let pending = std::mem::take(&mut self.pending).into_vec();
        let stays = |one: &Reverse<Pending>| !agents.contains(&one.0.agent);
        self.pending = pending.into_iter().filter(stays).collect();
        let (common, now) = (&self.common, self.now);
        let restarted: Vec<&mut Agent> = self
            .agents
            .iter_mut()
            .filter(|agent| agents.contains(&agent.id))
            .collect();
        self.pool.install(|| {
            restarted
                .into_par_iter()
                .try_for_each(|agent| agent.restart(now, common, &saved))
        })?;
        for &agent in agents {
            for &service in &services {
                self.discovery.unwatch(service, agent);
                let delivery = self.platform.listen(now, service, agent);
                self.deliver(delivery);
            }
        }
        self.exchange();
        Ok(())
    }

    /// Begins a trial in a service: a tenth of its appliances restart with the new build.
    pub fn begin_trial(&mut self, service: ServiceIndex) {
        let members: Vec<u32> = self.members(service);
        let trial: Vec<u32> = members
            .into_iter()
            .filter(|index| index.is_multiple_of(TRIAL_PART))
            .collect();
        for &index in &trial {
            let now = self.now;
            self.appliances[index as usize].restart(now, TRIAL_BUILD);
        }
        self.platform.begin_trial(service);
        self.publish(&trial);
        let deliveries = self
            .platform
            .broadcast(self.now, service, self.agents.len() as u32);
        deliveries
            .into_iter()
            .for_each(|delivery| self.deliver(delivery));
    }

    /// The appliances of a service.
    pub fn members(&self, service: ServiceIndex) -> Vec<u32> {
        let members = self.appliances.iter().filter(|a| a.service == service);
        members.map(|appliance| appliance.entry.index).collect()
    }

    /// Forgets what was counted so far.
    pub fn reset_meters(&mut self) {
        for agent in &mut self.agents {
            agent.meter = Meter::default();
            agent.used.clear();
        }
        self.appliances
            .iter_mut()
            .for_each(|appliance| appliance.requests_received = 0);
        (self.discovery.sent, self.discovery.calls) = Default::default();
        self.platform.sent = Default::default();
    }

    /// Keeps the time of each round from now on.
    pub fn log_rounds(&mut self) {
        for agent in &mut self.agents {
            agent.meter.round_log = Some(Vec::new());
        }
    }

    /// What all agents together did and what that cost.
    pub fn total(&self) -> Meter {
        let mut total = Meter::default();
        self.agents
            .iter()
            .for_each(|agent| total.merge(&agent.meter));
        total
    }
}

fn stream(seed: u64, number: u64) -> Pcg64Mcg {
    Pcg64Mcg::seed_from_u64(seed ^ number.wrapping_mul(0xa076_1d64_78bd_642f))
}

fn create_appliances(common: &Common, seed: u64) -> Vec<Appliance> {
    let zones = settings::zone_names(&common.size.places);
    let mut places = vec![0; common.fleet.services.len()];
    let create = |(index, drawn): (usize, &lilacgate_capacity::fleet::Appliance)| {
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
        Appliance::new(
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

/// The appliance of each number, by service: the numbers that every agent makes of the names.
fn directories(
    common: &Common,
    discovery: &Discovery,
) -> Result<Vec<HashMap<EndpointId, u32>>, ScaleError> {
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
            .read(&list, &mut |_, _| {})
            .ok_or_else(unreadable)?;
        let number = |listed: &lilacgate_agent::endpoint_list::ListedEndpoint| {
            wire::index(listed.address).map(|index| (listed.endpoint.id, index))
        };
        directories.push(update.endpoints.iter().filter_map(number).collect());
    }
    Ok(directories)
}
