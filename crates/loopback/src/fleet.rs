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
use tokio::sync::mpsc::{UnboundedReceiver, unbounded_channel};
use tokio::task::JoinSet;
use tokio::time::{Instant, sleep, timeout};

use crate::agent::{Agent, Usage};
use crate::appliance::{self, Appliance};
use crate::client::{self, Answered, Clients, Outcome};
use crate::discovery::Discovery;
use crate::error::LoopbackError;
use crate::interrupt::Interrupt;
use crate::limits;
use crate::membership::Membership;
use crate::plan::{Plan, SavedList};
use crate::platform::Platform;
use crate::relay::Relay;
use crate::request::RequestIds;
use crate::served::ServedLog;
use crate::start_file::StartFile;
use crate::traffic::Counts;
use crate::window::{Control, Requests, Window};

/// How often a fleet that is starting is looked at for agents that have ended.
const LOOK_PERIOD: Duration = Duration::from_millis(200);

/// Where an agent listens.
#[derive(Clone, Copy, Debug)]
struct Place {
    clients: SocketAddr,
    datagrams: SocketAddr,
}

/// A running fleet. Its processes are killed when it is dropped.
pub struct Fleet {
    plan: Plan,
    discovery: Discovery,
    platform: Platform,
    relay: Relay,
    appliances: Vec<Appliance>,
    places: Vec<Place>,
    agents: Vec<Agent>,
    folder: TempDir,
    ids: RequestIds,
    served: Arc<ServedLog>,
    interrupt: Interrupt,
}

/// How the agents came up.
#[derive(Clone, Debug)]
pub struct Startup {
    /// From each process's start until it had served its first request, sorted.
    pub ready: Vec<Duration>,
    /// Each process's usage once all were ready.
    pub usage: Vec<Usage>,
    /// What the control connections carried until all were ready.
    pub control: Control,
    /// Bytes of one whole list.
    pub list_bytes: usize,
}

impl Startup {
    /// How long all of the agents took.
    pub fn slowest(&self) -> Duration {
        self.ready.last().copied().unwrap_or_default()
    }

    /// In which time nine in ten were ready.
    pub fn nine_in_ten(&self) -> Duration {
        let index = (self.ready.len() * 9).div_ceil(10).saturating_sub(1);
        self.ready.get(index).copied().unwrap_or_default()
    }

    /// The mean processor time of a process until all were ready.
    pub fn mean_processor(&self) -> Duration {
        let sum: Duration = self.usage.iter().map(|usage| usage.processor).sum();
        sum / u32::try_from(self.usage.len()).unwrap_or(u32::MAX).max(1)
    }
}

impl Fleet {
    /// Sets up the stand-ins, without an agent.
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
        let places: Vec<Place> = (0..plan.agents).map(|_| place()).collect();
        let datagrams = places.iter().map(|place| place.datagrams).collect();
        let relay = Relay::start(host, datagrams).await?;
        let folder =
            tempfile::tempdir().map_err(LoopbackError::setup("a folder for start files"))?;
        let (agents, ids) = Default::default();
        Ok(Fleet {
            plan,
            discovery,
            platform,
            relay,
            appliances,
            places,
            agents,
            folder,
            ids,
            served,
            interrupt,
        })
    }

    /// Discovery, to change its list.
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

    /// What the control connections have carried so far.
    pub fn control(&self) -> Control {
        Control {
            lists: self.discovery.lists().counts(),
            changes: self.discovery.changes().counts(),
            framing: self.discovery.framing().counts(),
            platform: self.platform.traffic().counts(),
            datagrams: self.relay.traffic().counts(),
        }
    }

    /// Kills all agents that run, starts all of them together, and waits until each has served a request.
    pub async fn start(&mut self) -> Result<Startup, LoopbackError> {
        self.agents.clear();
        let before = self.control();
        let list = self.discovery.whole_list();
        self.write_start_files(&list)?;
        for number in 0..self.plan.agents {
            let (program, listen) = (&self.plan.program, self.places[number].clients);
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
        for (number, place) in self.places.iter().enumerate() {
            let file = StartFile {
                agent: number,
                agents: self.plan.agents,
                seed: self
                    .plan
                    .seed
                    .wrapping_mul(0x9e37_79b9)
                    .wrapping_add(number as u64),
                listen: place.clients,
                peer_listen: place.datagrams,
                peers: self.relay.peers_of(number, place.datagrams),
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

    /// Waits until each agent has served a request; how long each took, sorted.
    async fn until_ready(&mut self) -> Result<Vec<Duration>, LoopbackError> {
        let deadline = Instant::now() + self.plan.ready_within;
        let mut waiting = JoinSet::new();
        for agent in &self.agents {
            let (listen, number) = (agent.listen(), agent.number());
            let (started, ids) = (agent.started(), self.ids.clone());
            waiting.spawn(async move {
                let served = client::until_served(listen, number, ids).await;
                (number, served.into_std().duration_since(started))
            });
        }
        let mut missing: Vec<usize> = (0..self.agents.len()).collect();
        let mut ready = Vec::with_capacity(self.agents.len());
        while let Some(&first_missing) = missing.first() {
            if self.interrupt.is_set() {
                return Err(LoopbackError::Interrupted);
            }
            match timeout(LOOK_PERIOD, waiting.join_next()).await {
                Ok(Some(Ok((number, took)))) => {
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
        self.pass(self.plan.warm_up).await;
        take_answers(&mut answers);
        self.served.take_uses();
        let begin = self.moment()?;
        self.pass(self.plan.window).await;
        let end = self.moment()?;
        let mut requests = take_answers(&mut answers);
        requests.used_appliances = self.used_appliances();
        Ok(end.window_since(begin, request_rate, requests, !self.interrupt.is_set()))
    }

    /// How many appliances an agent used since this was last asked, on average; unknown where appliances share
    /// listeners.
    fn used_appliances(&self) -> Option<f64> {
        let uses = self.served.take_uses() as f64;
        let is_exact = self.appliances.len() == self.plan.listed_appliances;
        is_exact.then_some(uses / self.plan.agents as f64)
    }

    fn moment(&mut self) -> Result<Moment, LoopbackError> {
        Ok(Moment {
            at: Instant::now(),
            control: self.control(),
            datagrams_to_each: self.relay.counts_to_each(),
            usage: self.usage()?,
        })
    }

    /// Lets time pass, unless the run is interrupted.
    async fn pass(&self, time: Duration) {
        tokio::select! {
            () = self.change(time) => {}
            () = self.interrupt.wait() => {}
        }
    }

    /// Changes the list at the plan's rate for so long.
    async fn change(&self, time: Duration) {
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

    /// Each agent's usage; an error where all of them together hold more than half of the machine's memory.
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

/// All figures at one moment.
struct Moment {
    at: Instant,
    control: Control,
    datagrams_to_each: Vec<Counts>,
    usage: Vec<Usage>,
}

impl Moment {
    fn window_since(
        self,
        begin: Moment,
        request_rate: f64,
        requests: Requests,
        complete: bool,
    ) -> Window {
        let difference = |of: fn(&Usage) -> Duration| -> Vec<Duration> {
            let pairs = begin.usage.iter().zip(&self.usage);
            pairs
                .map(|(begin, end)| of(end).saturating_sub(of(begin)))
                .collect()
        };
        let processor = difference(|usage| usage.processor);
        let run_queue_wait = difference(|usage| usage.run_queue_wait);
        let datagrams = begin.datagrams_to_each.iter().zip(&self.datagrams_to_each);
        let datagrams_to_each = datagrams.map(|(begin, end)| *end - *begin).collect();
        Window {
            request_rate,
            lasted: self.at - begin.at,
            processor,
            run_queue_wait,
            control: self.control.since(&begin.control),
            datagrams_to_each,
            at_end: self.usage,
            requests,
            complete,
        }
    }
}

fn place() -> Place {
    let host: Ipv4Addr = unique_loopback_host();
    Place {
        clients: unused_tcp_address(host),
        datagrams: unused_udp_address(host),
    }
}

/// The newest build: released, or on trial where some appliances run a second one.
fn release_update(plan: &Plan) -> Value {
    if plan.trial_share > 0.0 {
        json!({"Revision": 2, "Wave": 1, "State": "Progressing", "MaxShare": 0.28, "AgeMs": 1000})
    } else {
        json!({"Revision": 1, "Wave": 3, "State": "Healthy", "MaxShare": 1.0, "AgeMs": 60000})
    }
}

fn take_answers(answers: &mut UnboundedReceiver<Answered>) -> Requests {
    let mut requests = Requests::default();
    while let Ok(answered) = answers.try_recv() {
        match answered.outcome {
            Outcome::Served => {
                requests.served += 1;
                let added = answered.took.saturating_sub(answered.at_appliance);
                requests.added_latencies.push(added);
            }
            Outcome::Refused => requests.refused += 1,
            Outcome::Lost => requests.lost += 1,
            Outcome::Closed => requests.closed += 1,
        }
    }
    requests
}
