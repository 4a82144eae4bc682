//! The whole fleet of one run: its stand-ins, its agent processes, and the two kinds of measurement on it.

use std::fs;
use std::net::{Ipv4Addr, SocketAddr};
use std::sync::Arc;
use std::time::Duration;

use lilacgate_test_bed::loopback_address::{
    unique_loopback_host, unused_tcp_address, unused_udp_address,
};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;
use serde_json::{Value, json};
use tempfile::TempDir;
use tokio::sync::mpsc::unbounded_channel;
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::agent::{Agent, Usage};
use crate::appliance::{self, Appliance};
use crate::client::{self, Clients};
use crate::discovery::Discovery;
use crate::error::LoopbackError;
use crate::interrupt::Interrupt;
use crate::limits;
use crate::membership::Membership;
use crate::plan::{Plan, SavedList};
use crate::platform::Platform;
use crate::reading::{Reading, take_answers};
use crate::relay::Relay;
use crate::request::RequestIds;
use crate::served::ServedLog;
use crate::start_file::StartFile;
use crate::startup::Startup;
use crate::window::{Control, Window};

/// How often a fleet that is starting is checked for agents that have ended.
const POLL_PERIOD: Duration = Duration::from_millis(200);

/// The addresses that an agent listens on.
#[derive(Clone, Copy, Debug)]
struct ListenAddresses {
    clients: SocketAddr,
    datagrams: SocketAddr,
}

/// An agent that has served its first request.
struct ReadyAgent {
    number: usize,
    /// Time since its process was started.
    took: Duration,
}

/// A running fleet. Its processes are killed when it is dropped.
#[derive(Debug)]
pub struct Fleet {
    plan: Plan,
    discovery: Discovery,
    platform: Platform,
    relay: Relay,
    appliances: Vec<Appliance>,
    listen_addresses: Vec<ListenAddresses>,
    agents: Vec<Agent>,
    folder: TempDir,
    ids: RequestIds,
    served: Arc<ServedLog>,
    interrupt: Interrupt,
}

impl Fleet {
    /// Sets up the stand-ins, without an agent.
    ///
    /// # Errors
    /// [`LoopbackError::Plan`] or [`LoopbackError::Descriptors`] if the plan cannot be run,
    /// [`LoopbackError::Setup`] if a stand-in cannot be set up.
    pub async fn new(plan: Plan, interrupt: Interrupt) -> Result<Self, LoopbackError> {
        plan.check()?;
        let listeners = limits::listeners(&plan, limits::descriptors())?;
        let host = unique_loopback_host();
        let served = Arc::<ServedLog>::default();
        let appliances = appliance::start(host, listeners, plan.service_time, &served).await?;
        let addresses: Vec<SocketAddr> = appliances.iter().map(Appliance::address).collect();
        let membership = Membership::new(
            plan.listed_appliances,
            &addresses,
            plan.trial_share,
            plan.seed,
        );
        let discovery = Discovery::start(host, membership, plan.delivery).await?;
        let platform = Platform::start(host, release_update(&plan)).await?;
        let listen_addresses: Vec<ListenAddresses> =
            (0..plan.agents).map(|_| unused_addresses()).collect();
        let datagrams = listen_addresses
            .iter()
            .map(|addresses| addresses.datagrams)
            .collect();
        let relay = Relay::start(host, datagrams).await?;
        let folder =
            tempfile::tempdir().map_err(LoopbackError::setup("a folder for start files"))?;
        Ok(Fleet {
            plan,
            discovery,
            platform,
            relay,
            appliances,
            listen_addresses,
            agents: Vec::new(),
            folder,
            ids: RequestIds::default(),
            served,
            interrupt,
        })
    }

    /// The discovery stand-in, whose list can be changed.
    pub fn discovery(&self) -> &Discovery {
        &self.discovery
    }

    /// The appliances' listeners.
    pub fn appliances(&self) -> &[Appliance] {
        &self.appliances
    }

    /// The ids of the running processes.
    pub fn process_ids(&self) -> Vec<u32> {
        self.agents.iter().map(Agent::process_id).collect()
    }

    /// Traffic of the control connections so far.
    pub fn control(&self) -> Control {
        Control {
            lists: self.discovery.lists().counts(),
            changes: self.discovery.changes().counts(),
            framing: self.discovery.framing().counts(),
            platform: self.platform.traffic().counts(),
            datagrams: self.relay.traffic().counts(),
        }
    }

    /// Kills all running agents, starts all of them together, and waits until each has served a request.
    ///
    /// # Errors
    /// An agent cannot be started, ends, is not ready in time, or its usage cannot be read; the agents hold too much
    /// memory; or the run is interrupted.
    pub async fn start(&mut self) -> Result<Startup, LoopbackError> {
        self.agents.clear();
        let before = self.control();
        let list = self.discovery.whole_list();
        self.write_start_files(&list)?;
        for number in 0..self.plan.agents {
            let (program, listen) = (&self.plan.program, self.listen_addresses[number].clients);
            let agent = Agent::spawn(program, &self.start_file(number), number, listen)?;
            self.agents.push(agent);
        }
        let ready = self.until_ready().await?;
        let usage = self.usage()?;
        let control = self.control().since(&before);
        Ok(Startup {
            ready,
            usage,
            control,
            list_bytes: list.len(),
        })
    }

    fn start_file(&self, number: usize) -> std::path::PathBuf {
        self.folder.path().join(format!("agent-{number}.json"))
    }

    fn write_start_files(&self, list: &str) -> Result<(), LoopbackError> {
        let known = (self.plan.saved_list == SavedList::Whole).then(|| list.to_owned());
        for (number, listen) in self.listen_addresses.iter().enumerate() {
            let file = StartFile {
                agent: number,
                agents: self.plan.agents,
                seed: self
                    .plan
                    .seed
                    .wrapping_mul(0x9e37_79b9)
                    .wrapping_add(number as u64),
                listen: listen.clients,
                peer_listen: listen.datagrams,
                peers: self.relay.peers_of(number, listen.datagrams),
                all_peers: self.relay.all(),
                discovery: self.discovery.address(),
                platform: self.platform.address(),
                release_update: release_update(&self.plan),
                known: known.clone(),
                memory_mb: self.plan.memory_mb,
                sockets: self.plan.sockets,
            };
            let written = fs::write(self.start_file(number), file.text());
            written.map_err(LoopbackError::setup("a start file"))?;
        }
        Ok(())
    }

    /// Waits until each agent has served a request; returns the time of each in ascending order.
    async fn until_ready(&mut self) -> Result<Vec<Duration>, LoopbackError> {
        let deadline = Instant::now() + self.plan.ready_within;
        let mut waiting = JoinSet::<ReadyAgent>::new();
        for agent in &self.agents {
            let (listen, number) = (agent.listen(), agent.number());
            let (started, ids) = (agent.started(), self.ids.clone());
            waiting.spawn(async move {
                let served = client::until_served(listen, number, ids).await;
                let took = served.into_std().duration_since(started);
                ReadyAgent { number, took }
            });
        }
        let mut missing: Vec<usize> = (0..self.agents.len()).collect();
        let mut ready = Vec::with_capacity(self.agents.len());
        while let Some(&first_missing) = missing.first() {
            if self.interrupt.is_set() {
                return Err(LoopbackError::Interrupted);
            }
            match timeout(POLL_PERIOD, waiting.join_next()).await {
                Ok(Some(Ok(ReadyAgent { number, took }))) => {
                    missing.retain(|other| *other != number);
                    ready.push(took);
                }
                _ => self.check_running()?,
            }
            if Instant::now() > deadline && !missing.is_empty() {
                let agent = &self.agents[first_missing];
                let (agent, log) = (agent.number(), agent.log_end());
                return Err(LoopbackError::NotReady {
                    agent,
                    waited: self.plan.ready_within,
                    log,
                });
            }
        }
        ready.sort_unstable();
        Ok(ready)
    }

    /// Measures one window at a request rate, after a warm-up at the same rate.
    ///
    /// # Errors
    /// An agent has ended, its usage cannot be read, or the agents hold too much memory.
    pub async fn measure(&mut self, request_rate: f64) -> Result<Window, LoopbackError> {
        let (report, mut answers) = unbounded_channel();
        let (ids, served) = (self.ids.clone(), self.served.clone());
        let clients = Clients {
            ids,
            served,
            report,
        };
        let mut driving = JoinSet::new();
        for agent in &self.agents {
            let seed = self
                .plan
                .seed
                .wrapping_mul(977)
                .wrapping_add(agent.number() as u64);
            clients.drive(&mut driving, agent, request_rate, seed);
        }
        self.wait(self.plan.warm_up).await;
        take_answers(&mut answers);
        self.served.take_uses();
        let begin = self.reading()?;
        self.wait(self.plan.window).await;
        let end = self.reading()?;
        let mut requests = take_answers(&mut answers);
        requests.used_appliances = self.used_appliances();
        Ok(end.window_since(begin, request_rate, requests, !self.interrupt.is_set()))
    }

    /// How many appliances an agent used since the last call, on average; unknown where appliances share listeners.
    fn used_appliances(&self) -> Option<f64> {
        let uses = self.served.take_uses() as f64;
        let is_exact = self.appliances.len() == self.plan.listed_appliances;
        is_exact.then_some(uses / self.plan.agents as f64)
    }

    fn reading(&mut self) -> Result<Reading, LoopbackError> {
        Ok(Reading {
            at: Instant::now(),
            control: self.control(),
            datagrams_to_each: self.relay.counts_to_each(),
            usage: self.usage()?,
        })
    }

    /// Waits for this time, or until the run is interrupted.
    async fn wait(&self, time: Duration) {
        tokio::select! {
            () = self.change_list(time) => {}
            () = self.interrupt.wait() => {}
        }
    }

    /// Changes the list at the plan's rate for this time.
    async fn change_list(&self, time: Duration) {
        let end = Instant::now() + time;
        if self.plan.change_rate <= 0.0 {
            return sleep(time).await;
        }
        let period = Duration::from_secs_f64(1.0 / self.plan.change_rate);
        let mut random = Pcg64Mcg::seed_from_u64(self.plan.seed);
        let mut next = Instant::now() + period.mul_f64(random.random::<f64>());
        while next < end {
            tokio::time::sleep_until(next).await;
            self.discovery.change(Membership::change_one);
            next += period;
        }
        tokio::time::sleep_until(end).await;
    }

    fn check_running(&mut self) -> Result<(), LoopbackError> {
        self.agents.iter_mut().try_for_each(Agent::check_running)
    }

    /// Each agent's usage; an error if all of them together hold more than half of the machine's memory.
    fn usage(&mut self) -> Result<Vec<Usage>, LoopbackError> {
        self.check_running()?;
        let usage = self
            .agents
            .iter()
            .map(Agent::usage)
            .collect::<Result<Vec<_>, _>>()?;
        let resident = usage.iter().map(|usage| usage.resident).sum();
        limits::check_memory(resident, limits::machine_memory())?;
        Ok(usage)
    }
}

fn unused_addresses() -> ListenAddresses {
    let host: Ipv4Addr = unique_loopback_host();
    ListenAddresses {
        clients: unused_tcp_address(host),
        datagrams: unused_udp_address(host),
    }
}

/// The state of the newest build: released, or a canary if some appliances run a second one.
fn release_update(plan: &Plan) -> Value {
    if plan.trial_share > 0.0 {
        json!({"Revision": 2, "Wave": 1, "State": "Progressing", "MaxShare": 0.28, "AgeMs": 1000})
    } else {
        json!({"Revision": 1, "Wave": 3, "State": "Healthy", "MaxShare": 1.0, "AgeMs": 60000})
    }
}
