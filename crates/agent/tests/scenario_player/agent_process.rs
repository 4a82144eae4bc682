//! Steps of the agent's process: its files, start, exit, signals, counters and log.
use std::io::{BufReader, Write};
use std::net::{Ipv4Addr, TcpStream};
use std::path::{Path, PathBuf};
use std::thread;
use std::time::Duration;

use lilacgate_fault_script::script::Script;
use lilacgate_test_bed::agent_process::{AgentProcess, SpawnOptions, wait_for_log};
use lilacgate_test_bed::framing::read_resp;
use lilacgate_test_bed::loopback_address::unused_udp_address;
use lilacgate_test_bed::scenario_text::unescape;
use lilacgate_test_bed::scripted_server::MAX_WAIT;

use super::{Scenario, Words};

/// The command that checks whether the agent serves.
const PING: &[u8] = b"*1\r\n$4\r\nPING\r\n";
/// How long to wait for the agent to write its counters before asking again.
const COUNTER_INTERVAL: Duration = Duration::from_millis(50);

/// The seed of the random choice of calls that fail.
const FAULT_SEED: u64 = 39;

/// The signals that the agent handles, as a mask with bit N - 1 for signal N: SIGHUP, SIGINT, SIGUSR1 and SIGTERM.
const HANDLED_SIGNALS: u64 = 1 << 0 | 1 << 1 | 1 << 9 | 1 << 14;

/// Returns the mask of the signals that a thread blocks, from its status file.
fn blocked_signals(status: &Path) -> u64 {
    let text = std::fs::read_to_string(status).expect("the status of a thread");
    let mask = text
        .lines()
        .find_map(|line| line.strip_prefix("SigBlk:"))
        .expect("a mask of signals");
    u64::from_str_radix(mask.trim(), 16).expect("a hexadecimal mask")
}

/// Checks that the agent answers PING.
pub(super) fn ping(connection: &mut BufReader<TcpStream>) {
    connection
        .get_ref()
        .write_all(PING)
        .expect("PING is written");
    assert_eq!(
        read_resp(connection).as_deref(),
        Some("+PONG"),
        "the agent does not answer PING"
    );
}

impl Scenario {
    pub(super) fn agent_step(&mut self, words: Words) {
        match words.first {
            "set" => {
                let field = Words::of(words.rest);
                self.start_file.set(field.first, field.rest);
            }
            "start-file" => self.replace_start_file(words.rest),
            "file-limit" => self.file_limit = Some(words.number()),
            "start" => self.start(),
            "start-fails" => self.expect_start_failure(words.rest),
            "faults" => self.set_faults(words.rest),
            "injected-at-least" => self.wait_for_faults(words.number()),
            "signal" => self.agent().signal(words.rest),
            "main-thread-handles" => self.check_signal_masks(words.number()),
            "counter" => self.counter(Words::of(words.rest)),
            "unread-log" => self.unread_log(words.number()),
            "log" => assert!(wait_for_log(&self.log, words.rest), "{}", self.log_text()),
            "exits" => {
                let code = self.agent.take().expect("an agent").wait_for_exit();
                assert_eq!(code.to_string(), words.rest);
            }
            other => panic!("unknown step {other}"),
        }
    }

    fn replace_start_file(&self, what: &str) {
        let words = Words::of(what);
        match words.first {
            "" => self.write_files(),
            "raw" => {
                std::fs::write(self.start_file_path(), unescape(words.rest))
                    .expect("the start file");
            }
            "nothing" => std::fs::remove_file(self.start_file_path()).expect("the start file"),
            other => panic!("unknown step start-file {other}"),
        }
    }

    fn set_faults(&mut self, rules: &str) {
        self.fault_script = Some(Script {
            seed: FAULT_SEED,
            counts: self.folder.path().join("fault-counts"),
            rules: serde_json::from_str(rules).expect("rules of faults"),
        });
    }

    /// Checks that the main thread alone handles the signals that the agent handles, and that there are at least
    /// `helper_threads` others.
    fn check_signal_masks(&self, helper_threads: usize) {
        let main_thread = self.agent().id().to_string();
        let threads = std::fs::read_dir(format!("/proc/{main_thread}/task")).expect("the threads");
        let mut helpers = 0;
        for thread in threads {
            let thread = thread.expect("a thread");
            let blocked = blocked_signals(&thread.path().join("status")) & HANDLED_SIGNALS;
            let expected = if thread.file_name() == main_thread.as_str() {
                0
            } else {
                helpers += 1;
                HANDLED_SIGNALS
            };
            assert_eq!(blocked, expected, "blocked in thread {:?}", thread.path());
        }
        assert!(helpers >= helper_threads, "only {helpers} helper threads");
    }

    /// Waits until each rule has hit at least this many calls.
    fn wait_for_faults(&self, least: u64) {
        let script = self.fault_script.as_ref().expect("a script of faults");
        let counts = || lilacgate_fault_script::counts::read(&script.counts).expect("the counts");
        let tries = MAX_WAIT.as_millis() / COUNTER_INTERVAL.as_millis();
        let is_reached = (0..tries).any(|_| {
            thread::sleep(COUNTER_INTERVAL);
            counts().iter().all(|count| *count >= least)
        });
        assert!(
            is_reached,
            "the rules hit {:?} calls, expected at least {least} each",
            counts()
        );
    }

    fn spawn(&mut self) {
        let peer_address = unused_udp_address(Ipv4Addr::LOCALHOST).to_string();
        self.start_file.text = self.start_file.text.replace("PEER_LISTEN", &peer_address);
        self.write_files();
        let operator_path = self.operator_file.as_ref().map(|_| self.operator_path());
        let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
        let script_path = self.fault_script.as_ref().map(|script| {
            let path = self.folder.path().join("faults.json");
            script.save(&path).expect("the script of faults");
            path
        });
        let options = SpawnOptions {
            operator_file: operator_path.as_deref(),
            open_file_limit: self.file_limit,
            fault_script: script_path.as_deref(),
        };
        let agent = AgentProcess::spawn(program, &self.start_file_path(), options);
        self.log = agent.log.clone();
        self.agent = Some(agent);
    }

    fn start(&mut self) {
        self.spawn();
        ping(&mut self.connect());
        self.discovery.next_message();
        self.platform.await_watch();
    }

    fn expect_start_failure(&mut self, text: &str) {
        self.spawn();
        let exit = self.agent.take().expect("an agent").wait_for_exit();
        assert_eq!(exit.to_string(), "1");
        let log = self.log_text();
        assert!(log.contains(text) && log.lines().count() == 1, "{log}");
    }

    fn counter(&self, words: Words) {
        let expected = format!(" {}={} ", words.first, words.rest);
        let tries = MAX_WAIT.as_millis() / COUNTER_INTERVAL.as_millis();
        let is_shown = (0..tries).any(|_| {
            self.agent().signal("USR1");
            thread::sleep(COUNTER_INTERVAL);
            let log = self.log_text();
            let last = log
                .lines()
                .rfind(|line| line.contains("counters clients_accepted="));
            last.is_some_and(|line| line.contains(&expected))
        });
        let log = self.log_text();
        let last_line = log.lines().last().unwrap_or_default();
        assert!(
            is_shown,
            "expected{expected}in the counters, got {last_line}"
        );
    }

    /// Asks for the counters this many times while nobody reads the log.
    fn unread_log(&self, times: u32) {
        let mut connection = self.connect();
        let reading = self.agent().log_reader_gate.clone();
        let held = reading.lock().expect("the lock");
        for _ in 0..times {
            self.agent().signal("USR1");
            ping(&mut connection);
        }
        drop(held);
    }

    fn start_file_path(&self) -> PathBuf {
        self.folder.path().join("start.json")
    }

    fn operator_path(&self) -> PathBuf {
        self.folder.path().join("operator.xml")
    }

    /// Writes the start file, and the operator's file if there is one.
    pub(super) fn write_files(&self) {
        let peer = self.peers[0].local_addr().expect("the peer's address");
        let values = [
            ("LISTEN", self.listen.to_string()),
            ("DISCOVERY", self.discovery.address.to_string()),
            ("PLATFORM", self.platform.server.address.to_string()),
            ("PEER", peer.to_string()),
            ("KNOWN", self.saved_list.join(",")),
        ];
        let text = self.start_file.render(&values);
        std::fs::write(self.start_file_path(), text).expect("the start file");
        let Some(mut text) = self.operator_file.clone() else {
            return;
        };
        text = text.replace("FOLDER", &self.folder.path().display().to_string());
        for (name, service) in &self.services {
            let address = service.server.address.to_string();
            text = text.replace(&format!("AT-{name}"), &address);
        }
        std::fs::write(self.operator_path(), text).expect("the operator's file");
    }
}
