//! The agent on the test bed: its files, its start, its signals and its end.
use std::io::{BufReader, Write};
use std::net::TcpStream;
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use super::TestBed;
use crate::agent_process::{AgentProcess, SpawnOptions, wait_for_log};
use crate::error::TestBedError;
use crate::event_log::Event;
use crate::framing::{encode_command, read_resp};
use crate::listener::lock;
use crate::loopback_address::{unused_tcp_address, unused_udp_address};
use crate::soak;

/// A port that was unused may be taken before the agent listens on it; then it is started again with others.
const START_ATTEMPTS: usize = 5;
const PING_ATTEMPTS: usize = 500;
const PING_INTERVAL: Duration = Duration::from_millis(10);
const PING_TIMEOUT: Duration = Duration::from_secs(1);

/// The agent's processor time is counted in these, wherever Linux runs on this kind of processor.
const CLOCK_TICK: Duration = Duration::from_millis(10);

/// How an agent that was asked to end did so.
#[derive(Debug)]
pub struct AgentTermination {
    /// Whether it ended by itself in time.
    pub exited: bool,
    /// Its log.
    pub log: String,
}

impl TestBed {
    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Where the agent's time lines go if the operator's file says so.
    pub fn timeline_dump_path(&self) -> PathBuf {
        self.file("lines.seg")
    }

    /// Makes the agent dump its time lines; whether it has written them.
    pub fn dump_timeline(&self) -> bool {
        let Some(agent) = &self.agent else {
            return false;
        };
        agent.signal("USR1");
        wait_for_log(&agent.log, "file_written file=timeline")
    }

    /// Writes the operator's file. A running agent reads it at once.
    ///
    /// # Panics
    /// If the file cannot be written, or the agent cannot be notified.
    pub fn write_operator_file(&mut self, text: &str) {
        std::fs::write(self.file("operator.xml"), text).expect("the operator's file");
        self.has_operator_file = true;
        if let Some(agent) = &self.agent {
            agent.signal("HUP");
        }
    }

    /// Starts the agent and waits until it answers.
    ///
    /// # Errors
    /// [`TestBedError::AgentNotServing`] if it does not answer in time, and [`TestBedError::Io`] if its start file
    /// cannot be written.
    pub fn start_agent(&mut self, with_operator_file: bool) -> Result<(), TestBedError> {
        self.endpoint_list.set_entries(self.all_entries());
        let all: Vec<usize> = (0..self.endpoints.len()).collect();
        self.log_listed(&all);
        let operator_file =
            (with_operator_file && self.has_operator_file).then(|| self.file("operator.xml"));
        for _ in 0..START_ATTEMPTS {
            self.spawn_agent(operator_file.as_deref())?;
            if self.wait_until_agent_serves() {
                self.event_log.push(Event::AgentStarted);
                return Ok(());
            }
        }
        Err(TestBedError::AgentNotServing {
            log: self.agent_log(),
        })
    }

    fn spawn_agent(&mut self, operator_file: Option<&Path>) -> Result<(), TestBedError> {
        // Clients keep to the address at which they began.
        if self.clients.is_empty() {
            self.agent_address = unused_tcp_address(self.host);
        }
        // One name may be a part of another, so their order matters.
        let values = [
            ("PEER_LISTEN", unused_udp_address(self.host).to_string()),
            ("LISTEN", self.agent_address.to_string()),
            ("DISCOVERY", self.endpoint_list.address().to_string()),
            ("PLATFORM", self.control_plane.address().to_string()),
            ("PEER", unused_udp_address(self.host).to_string()),
            ("KNOWN", self.endpoint_list.entries_json()),
        ];
        let start_file = self.file("start.json");
        std::fs::write(&start_file, self.start_file.render(&values))?;
        let fault_script = self.file("faults.json");
        if let Some(script) = &self.faults {
            // Each agent counts from zero.
            self.earlier_faults.extend(soak::injected(script));
            script.save(&fault_script)?;
        }
        let options = SpawnOptions {
            operator_file,
            open_file_limit: None,
            fault_script: self.faults.as_ref().map(|_| fault_script.as_path()),
        };
        self.agent = Some(AgentProcess::spawn(&self.program, &start_file, options));
        Ok(())
    }

    /// Whether the agent comes to answer a ping while it runs.
    fn wait_until_agent_serves(&mut self) -> bool {
        for _ in 0..PING_ATTEMPTS {
            thread::sleep(PING_INTERVAL);
            if !self.agent.as_mut().is_some_and(AgentProcess::is_running) {
                return false;
            }
            if self.ping().as_deref() == Some("+PONG") {
                return true;
            }
        }
        false
    }

    /// The agent's answer to a ping, if it gives one.
    fn ping(&self) -> Option<String> {
        let mut connection = TcpStream::connect(self.agent_address).ok()?;
        connection.set_read_timeout(Some(PING_TIMEOUT)).ok();
        connection
            .write_all(encode_command(&["PING"]).as_bytes())
            .ok()?;
        read_resp(&mut BufReader::new(connection))
    }

    /// The agent's log so far; empty if no agent runs.
    pub fn agent_log(&self) -> String {
        self.agent
            .as_ref()
            .map(|agent| lock(&agent.log).clone())
            .unwrap_or_default()
    }

    /// The agent's processor time so far, if the system tells it.
    pub fn agent_cpu_time(&self) -> Option<Duration> {
        /// Places of `utime` and `stime` in `/proc/PID/stat`, counted from the field behind the program's name.
        const USER_TIME: usize = 11;
        const SYSTEM_TIME: usize = 12;
        let id = self.agent.as_ref()?.id();
        let stat = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = stat.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = |place: usize| fields.get(place)?.parse::<u32>().ok();
        Some(CLOCK_TICK * (ticks(USER_TIME)? + ticks(SYSTEM_TIME)?))
    }

    /// The most memory that the agent has held so far, in KiB, if the system tells it.
    pub fn agent_peak_memory(&self) -> Option<u64> {
        let id = self.agent.as_ref()?.id();
        let status = std::fs::read_to_string(format!("/proc/{id}/status")).ok()?;
        let peak = status
            .lines()
            .find_map(|line| line.strip_prefix("VmHWM:"))?;
        peak.split_whitespace().next()?.parse().ok()
    }

    /// Asks the agent to end, and waits for it. It is killed if it does not end in time.
    ///
    /// # Panics
    /// If the agent cannot be signalled.
    pub fn terminate_agent(&mut self, timeout: Duration) -> AgentTermination {
        let Some(mut agent) = self.agent.take() else {
            return AgentTermination {
                exited: false,
                log: String::new(),
            };
        };
        agent.signal("TERM");
        let exited = agent.wait_for_exit_within(timeout).is_some();
        // Its last lines may still be on their way.
        wait_for_log(&agent.log, "shutdown_completed ");
        let log = lock(&agent.log).clone();
        AgentTermination { exited, log }
    }

    /// Whether the agent runs.
    pub fn is_agent_running(&mut self) -> bool {
        self.agent.as_mut().is_some_and(AgentProcess::is_running)
    }

    /// Sends a signal to the agent, if it runs, named as for `kill`.
    ///
    /// # Panics
    /// If the agent cannot be signalled.
    pub fn signal_agent(&mut self, name: &str) {
        if let Some(agent) = &mut self.agent
            && agent.is_running()
        {
            agent.signal(name);
        }
    }

    /// Kills the agent.
    pub fn kill_agent(&mut self) {
        self.agent = None;
        self.event_log.push(Event::AgentKilled);
    }
}
