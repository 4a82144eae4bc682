//! A fleet in virtual time: agents step in slices on a pool of threads, and their messages are
//! delivered between slices, in the order of time, agent and sending.
mod attempts;
mod exchange;
mod operations;
mod setup;

use std::time::Duration;

use lilacgate_decision::AgentId;
use rand_pcg::Pcg64Mcg;
use rayon::ThreadPool;
use rayon::prelude::{
    IndexedParallelIterator, IntoParallelRefIterator, IntoParallelRefMutIterator, ParallelIterator,
};

use self::attempts::OpenAttempts;
use self::setup::{Directory, create_endpoints, directories, random_stream};
use crate::agent::{Agent, Common};
use crate::discovery::Discovery;
use crate::endpoint::SimulatedEndpoint;
use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::meter::{Meter, Traffic};
use crate::module::Module;
use crate::network::ServiceIndex;
use crate::platform::Platform;
use crate::resources::{Limits, resident_bytes};

/// Virtual time that agents step without an exchange of messages.
pub const SLICE: Duration = Duration::from_millis(1);
/// When virtual time begins.
pub const START: Duration = Duration::from_secs(1000);
/// Slices between two checks of the limits.
const SLICES_PER_CHECK: u64 = 20;
/// One in so many endpoints of a service runs the build on trial.
const TRIAL_PART: u32 = 10;
/// The random stream of discovery's delays.
const DISCOVERY_STREAM: u64 = 1;
/// The random stream of list changes.
const CHANGE_STREAM: u64 = 2;

/// A fleet in virtual time.
#[derive(Debug)]
pub struct Simulation {
    /// Virtual time.
    pub now: Duration,
    /// What all agents share.
    pub common: Common,
    /// The agents.
    pub agents: Vec<Agent>,
    /// The endpoints of all services, those of a service together.
    pub endpoints: Vec<SimulatedEndpoint>,
    /// Simulated discovery.
    pub discovery: Discovery,
    /// The simulated platform.
    pub platform: Platform,
    /// Resident memory of each agent after its first list, in bytes.
    pub agent_bytes: f64,
    /// Whether the regions cannot reach each other.
    is_partitioned: bool,
    pool: ThreadPool,
    limits: Limits,
    /// The endpoints' directories, by service.
    directories: Vec<Directory>,
    open_attempts: OpenAttempts,
    /// Draws the endpoints whose entries change.
    random: Pcg64Mcg,
    seed: u64,
    /// Resident memory before the agents were created, in bytes.
    resident_before: u64,
    /// When the next list changes; `None` if lists do not change by themselves.
    next_change: Option<Duration>,
    /// Slices run so far.
    slices: u64,
}

impl Simulation {
    /// Creates a fleet and starts its agents.
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
        let endpoints = create_endpoints(&common, seed);
        let mut discovery = Discovery::new(size.services, random_stream(seed, DISCOVERY_STREAM));
        for endpoint in &endpoints {
            discovery.add(endpoint.service, endpoint.entry.clone());
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
            endpoints,
            discovery,
            platform,
            agent_bytes: 0.0,
            is_partitioned: false,
            pool,
            limits,
            directories,
            open_attempts: OpenAttempts::default(),
            random: random_stream(seed, CHANGE_STREAM),
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
        self.agents = self.create_agents()?;
        let now = self.now;
        for service in (0..self.common.size.services).map(ServiceIndex) {
            for agent in (0..self.common.size.agents).map(AgentId) {
                let delivery = self.platform.listen(now, service, agent);
                self.deliver(delivery);
            }
        }
        self.exchange();
        self.plan_change();
        Ok(())
    }

    fn create_agents(&self) -> Result<Vec<Agent>, ScaleError> {
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
            Ok(agent)
        };
        self.pool
            .install(|| rates.par_iter().enumerate().map(create).collect())
    }

    /// Measures the agents' memory: the growth of resident memory since before they were created.
    pub fn measure_memory(&mut self) {
        let grown = resident_bytes().saturating_sub(self.resident_before);
        self.agent_bytes = grown as f64 / self.agents.len() as f64;
    }

    /// Runs until the given virtual time.
    ///
    /// # Errors
    /// A limit is reached.
    pub fn run_until(&mut self, until: Duration) -> Result<(), ScaleError> {
        while self.now < until {
            if self.slices.is_multiple_of(SLICES_PER_CHECK) {
                self.limits.check()?;
            }
            self.slices += 1;
            self.slice();
        }
        Ok(())
    }

    /// Runs for a span of virtual time.
    ///
    /// # Errors
    /// A limit is reached.
    pub fn run_for(&mut self, span: Duration) -> Result<(), ScaleError> {
        self.run_until(self.now + span)
    }

    fn slice(&mut self) {
        let end = self.now + SLICE;
        self.change_lists(end);
        self.deliver_attempt_ends(end);
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

    /// Number of modules whose list is not the version that discovery has.
    pub fn modules_behind(&self) -> usize {
        let is_behind = |(service, module): &(usize, &Module)| {
            module.version() != self.discovery.version(ServiceIndex(*service as u32))
        };
        let behind = |agent: &Agent| agent.modules.iter().enumerate().filter(is_behind).count();
        self.agents.iter().map(behind).sum()
    }

    /// Number of modules that have not received a whole list on their current connection.
    pub fn modules_unwatched(&self) -> usize {
        let modules = self.agents.iter().flat_map(|agent| &agent.modules);
        modules.filter(|module| !module.has_list).count()
    }

    /// Resets all counts.
    pub fn reset_meters(&mut self) {
        for agent in &mut self.agents {
            agent.meter = Meter::default();
            agent.used.clear();
        }
        for endpoint in &mut self.endpoints {
            endpoint.requests_received = 0;
        }
        self.discovery.sent = Traffic::default();
        self.discovery.calls = 0;
        self.platform.sent = Traffic::default();
    }

    /// Keeps the time of each round from now on.
    pub fn log_rounds(&mut self) {
        for agent in &mut self.agents {
            agent.meter.round_log = Some(Vec::new());
        }
    }

    /// The counts and costs of all agents together.
    pub fn total(&self) -> Meter {
        let mut total = Meter::default();
        for agent in &self.agents {
            total.merge(&agent.meter);
        }
        total
    }
}
