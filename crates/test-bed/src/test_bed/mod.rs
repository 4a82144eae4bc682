//! A small fleet on loopback that runs by itself: endpoints, the endpoint list service, release control planes, clients
//! and the agent amid them. A script changes it step by step. All that happens goes into the event log at once: what
//! forbids something is logged once it is written, what allows something before it is.
mod agent;

use std::collections::BTreeMap;
use std::fmt::Write as _;
use std::net::{Ipv4Addr, SocketAddr};
use std::path::{Path, PathBuf};
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime};

use rand::SeedableRng;
use rand_pcg::Pcg64Mcg;

pub use self::agent::AgentTermination;
use lilacgate_fault_script::script::{Rule, Script};

use crate::agent_process::AgentProcess;
use crate::client::{Client, Traffic};
use crate::endpoint_list::EndpointListService;
use crate::endpoint_server::{EndpointBehavior, EndpointServer};
use crate::event_log::{Event, EventLog};
use crate::loopback_address::{unique_loopback_host, unused_tcp_address};
use crate::release_control_plane::{
    ReleaseControlPlane, ReleaseState, VoteHandler, ignore_votes, wire_name,
};
use crate::soak;
use crate::start_file::{EndpointEntry, StartFileTemplate};

/// The names of the zones.
pub const ZONES: [&str; 2] = ["a", "b"];

/// The time without a heartbeat after which the operator's file lets the state of a dependency be unknown.
pub const SILENT_AFTER: Duration = Duration::from_millis(700);

/// A running fleet. The agent and all stand-ins end when it is dropped.
#[derive(Debug)]
pub struct TestBed {
    /// What has happened so far.
    pub event_log: EventLog,
    /// All endpoints, by number.
    pub endpoints: Vec<EndpointServer>,
    /// The release control plane of the agent's own service, `s`.
    pub control_plane: ReleaseControlPlane,
    /// The release control planes of other services, by the service's name.
    pub dependencies: BTreeMap<String, ReleaseControlPlane>,
    /// The agent, while it runs.
    pub agent: Option<AgentProcess>,
    endpoint_list: EndpointListService,
    folder: tempfile::TempDir,
    program: PathBuf,
    start_file: StartFileTemplate,
    /// Where the agent listens for clients.
    agent_address: SocketAddr,
    /// Where everything listens.
    host: Ipv4Addr,
    has_operator_file: bool,
    /// Which system calls of the agents fail, if any do.
    faults: Option<Script>,
    /// What earlier agents' faults came to.
    earlier_faults: Vec<(String, u64)>,
    clients: Vec<JoinHandle<()>>,
    stopping_clients: Arc<AtomicBool>,
    next_request_id: Arc<AtomicU32>,
    seed: u64,
}

impl TestBed {
    /// Starts all stand-ins but endpoints and clients. The agent's program is the one at this path; it is not started
    /// yet. `state` is where the service's newest build stands.
    ///
    /// # Panics
    /// If no port is free, or no folder for the run's files can be made.
    pub fn new(
        program: &Path,
        seed: u64,
        state: ReleaseState,
        vote_handler: VoteHandler,
    ) -> TestBed {
        let event_log = EventLog::default();
        let host = unique_loopback_host();
        let control_plane =
            ReleaseControlPlane::new(host, state, event_log.clone(), true, vote_handler);
        state.log_to(&event_log);
        TestBed {
            event_log,
            endpoints: Vec::new(),
            control_plane,
            dependencies: BTreeMap::new(),
            agent: None,
            endpoint_list: EndpointListService::new(host),
            folder: tempfile::tempdir().expect("a folder for the run's files"),
            program: program.to_owned(),
            start_file: start_file(state),
            agent_address: unused_tcp_address(host),
            host,
            has_operator_file: false,
            faults: None,
            earlier_faults: Vec::new(),
            clients: Vec::new(),
            stopping_clients: Arc::default(),
            next_request_id: Arc::default(),
            seed,
        }
    }

    /// Makes system calls of all agents that are started from now on fail by these rules.
    pub fn set_faults(&mut self, seed: u64, rules: Vec<Rule>) {
        self.faults = Some(Script {
            seed,
            counts: self.folder.path().join("fault-counts"),
            rules,
        });
    }

    /// The faults of all agents so far, and how often each has hit a call.
    pub fn injected_faults(&self) -> Vec<(String, u64)> {
        let current = self.faults.iter().flat_map(soak::injected);
        self.earlier_faults.iter().cloned().chain(current).collect()
    }

    /// Where the agent listens for clients.
    pub fn agent_address(&self) -> SocketAddr {
        self.agent_address
    }

    /// Sets a field of the start file to a JSON value.
    ///
    /// # Panics
    /// If there is no such field.
    pub fn set_start_field(&mut self, field: &str, value: &str) {
        self.start_file.set(field, value);
    }

    /// Starts the release control plane of another service.
    ///
    /// # Panics
    /// If no port is free.
    pub fn add_dependency(&mut self, name: &str, state: ReleaseState) {
        let control_plane = ReleaseControlPlane::new(
            self.host,
            state,
            self.event_log.clone(),
            false,
            ignore_votes(),
        );
        self.dependencies.insert(name.into(), control_plane);
    }

    /// Starts an endpoint that counts as having run for long, and returns its number. It is in the next list that is
    /// published.
    ///
    /// # Panics
    /// If no port is free.
    pub fn add_endpoint(&mut self, behavior: EndpointBehavior) -> usize {
        let number = self.endpoints.len();
        let seed = self.seed.wrapping_mul(31).wrapping_add(number as u64);
        self.endpoints.push(EndpointServer::new(
            self.host,
            number,
            behavior,
            seed,
            self.event_log.clone(),
        ));
        number
    }

    /// As [`TestBed::add_endpoint`], of an endpoint that starts now and is warming up.
    ///
    /// # Panics
    /// If no port is free.
    pub fn add_starting_endpoint(&mut self, behavior: EndpointBehavior) -> usize {
        let number = self.add_endpoint(behavior);
        self.endpoints[number].started = Some(SystemTime::now());
        number
    }

    /// Publishes the list, with these endpoints as the ones that changed.
    ///
    /// # Panics
    /// If there is no such endpoint.
    pub fn publish_endpoints(&mut self, changed: &[usize]) {
        let changed_entries: Vec<String> =
            changed.iter().map(|number| self.entry(*number)).collect();
        self.endpoint_list
            .publish(self.all_entries(), &changed_entries);
        self.log_listed(changed);
    }

    fn entry(&self, number: usize) -> String {
        let endpoint = &self.endpoints[number];
        let EndpointBehavior { zone, build, .. } = endpoint.behavior();
        let state = if endpoint.ready { "ready" } else { "draining" };
        let name = format!("d{number}");
        EndpointEntry::new(
            &name,
            endpoint.address(),
            ZONES[zone],
            state,
            &build.to_string(),
        )
        .started_at(endpoint.started)
        .to_json()
    }

    fn all_entries(&self) -> Vec<String> {
        (0..self.endpoints.len())
            .map(|number| self.entry(number))
            .collect()
    }

    fn log_listed(&self, endpoints: &[usize]) {
        for &number in endpoints {
            let endpoint = &self.endpoints[number];
            let EndpointBehavior { build, zone, .. } = endpoint.behavior();
            self.event_log.push(Event::EndpointListed {
                endpoint: number,
                zone,
                build,
                ready: endpoint.ready,
            });
        }
    }

    /// Publishes that an endpoint takes requests, or that it drains.
    ///
    /// # Panics
    /// If there is no such endpoint.
    pub fn set_ready(&mut self, number: usize, ready: bool) {
        self.endpoints[number].ready = ready;
        self.publish_endpoints(&[number]);
    }

    /// Changes how an endpoint serves. A new build is in the next list that is published.
    ///
    /// # Panics
    /// If there is no such endpoint.
    pub fn change_behavior(&self, number: usize, change: impl FnOnce(&mut EndpointBehavior)) {
        self.endpoints[number].change_behavior(change);
    }

    /// Replaces an endpoint's process by a new one of the same build, and publishes it.
    ///
    /// # Panics
    /// If there is no such endpoint.
    pub fn restart_endpoint(&mut self, number: usize) {
        self.endpoints[number].close_connections();
        self.endpoints[number].started = Some(SystemTime::now());
        self.publish_endpoints(&[number]);
    }

    /// Replaces an endpoint's process by one with another behavior at its address, and publishes nothing.
    ///
    /// # Panics
    /// If there is no such endpoint.
    pub fn replace_endpoint(&mut self, number: usize, change: impl FnOnce(&mut EndpointBehavior)) {
        self.endpoints[number].close_connections();
        self.change_behavior(number, change);
    }

    /// The text of an operator's file: places, and the releases of service `s` with these rules. `timeline` is its
    /// `<timeline>` element, or nothing.
    pub fn operator_file(&self, rules: &str, timeline: &str) -> String {
        let mut services = String::new();
        for (name, control_plane) in &self.dependencies {
            write!(
                services,
                r#"<service name="{name}" desk="{}" silent-after="{}ms"/>"#,
                control_plane.address(),
                SILENT_AFTER.as_millis()
            )
            .expect("a string can be written");
        }
        format!(
            r#"<operator version="1"><places><zone name="a"/><zone name="b"/><firm name="f"/><firm name="g"/>
<product name="read"/><product name="post"/><product name="book"/><agent name="n0" firm="f"/></places>
<releases service="s"><service name="s"/>{services}{rules}</releases>{timeline}</operator>"#
        )
    }

    /// Starts clients. They go on until [`TestBed::shut_down`].
    pub fn start_clients(&mut self, traffic: Traffic) {
        for number in 0..traffic.clients {
            let seed = self
                .seed
                .wrapping_add(number as u64 + 1)
                .wrapping_mul(0x9e37_79b9);
            let client = Client {
                rng: Pcg64Mcg::seed_from_u64(seed),
                agent: self.agent_address,
                traffic,
                event_log: self.event_log.clone(),
                next_id: self.next_request_id.clone(),
                stopping: self.stopping_clients.clone(),
            };
            self.clients.push(thread::spawn(move || client.run()));
        }
    }

    /// Lets the fleet run for this time.
    pub fn wait(&self, time: Duration) {
        thread::sleep(time);
    }

    /// Lets clients take their last answers and end, then ends the agent. Returns the agent's log.
    pub fn shut_down(&mut self) -> String {
        self.stopping_clients.store(true, Ordering::Relaxed);
        self.clients
            .drain(..)
            .for_each(|client| drop(client.join()));
        let log = self.agent_log();
        self.agent = None;
        log
    }
}

impl Drop for TestBed {
    fn drop(&mut self) {
        self.stopping_clients.store(true, Ordering::Relaxed);
    }
}

/// A start file for a fleet of two zones and one agent.
fn start_file(state: ReleaseState) -> StartFileTemplate {
    let mut start_file = StartFileTemplate::default();
    for (field, value) in [
        ("zones", r#"["a","b"]"#),
        ("instances", "1"),
        ("aim", "400000"),
        ("give-up", "1000000"),
        ("peers", r#"["PEER_LISTEN"]"#),
    ] {
        start_file.set(field, value);
    }
    // The settings' own permission has the same name as the list of peers.
    start_file.text = start_file.text.replace(
        r#""may-cancel":true,"peers":["PEER_LISTEN"]"#,
        r#""may-cancel":true,"peers":true"#,
    );
    start_file.set("Revision", &state.build.to_string());
    start_file.set("Wave", &state.stage.to_string());
    start_file.set("State", &format!("\"{}\"", wire_name(state.phase)));
    start_file.set("MaxShare", &state.cap.to_string());
    start_file
}
