//! Owns an agent that is tried: its process, its log, its signals. It starts and ends only that process.
use std::io::BufReader;
use std::net::{Ipv4Addr, SocketAddr, TcpListener, UdpSocket};
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::sync::atomic::{AtomicU16, Ordering};
use std::sync::{Arc, Mutex};
use std::thread;
use std::time::{Duration, Instant};

use crate::post::{PATIENCE, line};

/// A port that is free now.
pub fn free_at(host: Ipv4Addr) -> SocketAddr {
    TcpListener::bind((host, 0))
        .and_then(|l| l.local_addr())
        .expect("a free port")
}

/// The same for datagrams.
pub fn free_for_datagrams() -> SocketAddr {
    free_datagrams_at(Ipv4Addr::LOCALHOST)
}

pub fn free_datagrams_at(host: Ipv4Addr) -> SocketAddr {
    UdpSocket::bind((host, 0))
        .and_then(|socket| socket.local_addr())
        .expect("a free port")
}

/// A loopback address that nobody else here listens at, so that a port that one gives up is not at once another's.
pub fn own_host() -> Ipv4Addr {
    static LAST: AtomicU16 = AtomicU16::new(0);
    let number = LAST.fetch_add(1, Ordering::Relaxed);
    let process = std::process::id() % 200;
    Ipv4Addr::new(
        127,
        1 + process as u8,
        (number / 250) as u8,
        1 + (number % 250) as u8,
    )
}

/// Whether a log comes to hold a text.
pub fn logged(log: &Mutex<String>, text: &str) -> bool {
    (0..PATIENCE.as_millis() / 10).any(|_| {
        let there = log.lock().expect("a lock").contains(text);
        if !there {
            thread::sleep(Duration::from_millis(10));
        }
        there
    })
}

/// A running agent.
pub struct Agent {
    child: Child,
    pub log: Arc<Mutex<String>>,
    /// Reads its log, up to its end, while nobody holds this.
    pub reading: Arc<Mutex<()>>,
    reader: Option<thread::JoinHandle<()>>,
}

impl Agent {
    /// Starts the program with a start file, an operator's file if there is one, and as many files as it may open.
    pub fn spawn(
        program: &Path,
        start: &Path,
        operator: Option<&Path>,
        files: Option<u32>,
    ) -> Agent {
        let limit = files.map_or(String::new(), |files| format!("ulimit -n {files}; "));
        let mut shell = Command::new("/bin/sh");
        shell
            .args(["-c", &format!("{limit}exec {}", program.display())])
            .env("RELAY_CONFIG", start);
        match operator {
            Some(file) => shell.env("LILACGATE_OPERATOR", file),
            None => shell.env_remove("LILACGATE_OPERATOR"),
        };
        let mut child = shell
            .stderr(Stdio::piped())
            .spawn()
            .expect("the agent starts");
        let (from, log) = (
            child.stderr.take().expect("its log"),
            Arc::new(Mutex::new(String::new())),
        );
        let (kept, reading) = (log.clone(), Arc::new(Mutex::new(())));
        let reads = reading.clone();
        let reader = thread::spawn(move || {
            let mut from = BufReader::new(from);
            while let Some(said) = line(&mut from) {
                drop(reads.lock().expect("a lock"));
                kept.lock().expect("a lock").push_str(&format!("{said}\n"));
            }
        });
        Agent {
            child,
            log,
            reading,
            reader: Some(reader),
        }
    }

    /// The program beside the one that runs now, or where `LILACGATE_PROGRAM` says.
    pub fn program() -> PathBuf {
        let beside = || {
            std::env::current_exe()
                .ok()
                .map(|own| own.with_file_name("lilacgate-agent"))
        };
        std::env::var_os("LILACGATE_PROGRAM")
            .map(PathBuf::from)
            .or_else(beside)
            .unwrap_or_default()
    }

    pub fn id(&self) -> u32 {
        self.child.id()
    }

    pub fn signal(&self, name: &str) {
        let done = Command::new("kill")
            .args([format!("-{name}"), self.child.id().to_string()])
            .status();
        assert!(done.expect("kill runs").success());
    }

    /// Whether it runs still.
    pub fn runs(&mut self) -> bool {
        self.child.try_wait().is_ok_and(|status| status.is_none())
    }

    /// How it ends in this time, if it does: its code, or that it was killed.
    pub fn ends_within(&mut self, wait: Duration) -> Option<String> {
        let last = Instant::now() + wait;
        loop {
            if let Some(status) = self.child.try_wait().expect("its status") {
                return Some(
                    status
                        .code()
                        .map_or("killed".into(), |code| code.to_string()),
                );
            }
            if Instant::now() >= last {
                return None;
            }
            thread::sleep(Duration::from_millis(10));
        }
    }

    /// How it ends: its code, or that it was killed. Its log is whole by then.
    pub fn ended(mut self) -> String {
        let how = self.ends_within(PATIENCE).expect("the agent ends");
        self.reader.take().map(|reader| reader.join().ok());
        how
    }
}

impl Drop for Agent {
    fn drop(&mut self) {
        self.child.kill().ok();
        self.child.wait().ok();
    }
}
