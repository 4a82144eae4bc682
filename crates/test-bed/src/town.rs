//! Owns a small town that plays by itself: desk nodes that serve, discovery that tells of them, release desks, clients
//! with their traffic, and the agent amid them. Days script what happens to it. All of it is on loopback; whatever it
//! does goes on record at once: what forbids something is noted once it is written, what allows it before.
use std::collections::BTreeMap;
use std::io::{BufRead, BufReader, ErrorKind, Write};
use std::net::{Ipv4Addr, Shutdown, SocketAddr, TcpListener, TcpStream};
use std::path::{Path, PathBuf};
use std::sync::atomic::{AtomicBool, AtomicU32, Ordering};
use std::sync::{Arc, Mutex, MutexGuard};
use std::thread::{self, JoinHandle};
use std::time::{Duration, SystemTime};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::agent_process::{AgentProcess, wait_for_log};
use crate::framing::{encode_command, encode_http_chunk, read_http_head, read_line, read_resp};
use crate::loopback_address::{unique_loopback_host, unused_tcp_address, unused_udp_address};
use crate::protocol_messages::{
    LISTEN_ACCEPTED, RELEASE_HEARTBEAT, WATCH_HEARTBEAT, WATCH_RESPONSE_HEAD, release_update,
    rollout_notification,
};
use crate::record::{Final, Kind, Record, Seen};
use crate::start_file::{EndpointEntry, StartFileTemplate};

fn locked<T>(of: &Mutex<T>) -> MutexGuard<'_, T> {
    of.lock().unwrap_or_else(std::sync::PoisonError::into_inner)
}

/// Something that listens until it is dropped, with a thread for each connection.
struct Listening {
    at: SocketAddr,
    up: Arc<AtomicBool>,
    conns: Arc<Mutex<Vec<TcpStream>>>,
    life: Option<JoinHandle<()>>,
}

impl Listening {
    fn new(host: Ipv4Addr, serve: impl Fn(TcpStream) + Send + Sync + 'static) -> Listening {
        let listener = TcpListener::bind((host, 0)).expect("a free port");
        let at = listener.local_addr().expect("its address");
        let (up, conns) = (
            Arc::new(AtomicBool::new(true)),
            Arc::<Mutex<Vec<TcpStream>>>::default(),
        );
        let (is_up, kept, serve) = (up.clone(), conns.clone(), Arc::new(serve));
        let life = thread::spawn(move || {
            for conn in listener.incoming().flatten() {
                if !is_up.load(Ordering::Relaxed) {
                    return;
                }
                conn.set_nodelay(true).ok();
                locked(&kept).extend(conn.try_clone());
                let serve = serve.clone();
                thread::spawn(move || serve(conn));
            }
        });
        Listening {
            at,
            up,
            conns,
            life: Some(life),
        }
    }

    /// Breaks all connections.
    fn cut(&self) {
        locked(&self.conns)
            .drain(..)
            .for_each(|conn| drop(conn.shutdown(Shutdown::Both)));
    }
}

impl Drop for Listening {
    fn drop(&mut self) {
        self.up.store(false, Ordering::Relaxed);
        TcpStream::connect(self.at).ok();
        self.life.take().map(|life| life.join().ok());
        self.cut();
    }
}

/// How a node serves, from now on.
#[derive(Clone, Copy, Debug)]
pub struct Manners {
    pub build: u16,
    pub zone: usize,
    /// The share of requests that fail.
    pub fails: f64,
    /// The mean time that a request takes.
    pub takes: Duration,
    /// So many times as long, and this share of failures besides, for one product: `read`, `post` or `book`.
    pub odd: Option<(&'static str, f64, f64)>,
    /// It takes what comes and says nothing.
    pub silent: bool,
    /// It ends each connection as soon as a request comes.
    pub refuses: bool,
}

impl Manners {
    /// As a node should be.
    pub fn good(build: u16, zone: usize, takes: Duration) -> Manners {
        Manners {
            build,
            zone,
            fails: 0.0,
            takes,
            odd: None,
            silent: false,
            refuses: false,
        }
    }
}

/// A desk node: serves whatever comes.
pub struct Node {
    listening: Listening,
    manners: Arc<Mutex<Manners>>,
    ready: bool,
    /// When it started, where that is not long ago.
    started: Option<SystemTime>,
}

impl Node {
    fn new(host: Ipv4Addr, number: usize, manners: Manners, seed: u64, record: Record) -> Node {
        let manners = Arc::new(Mutex::new(manners));
        let (kept, chance) = (manners.clone(), Mutex::new(Pcg64Mcg::seed_from_u64(seed)));
        let listening = Listening::new(host, move |conn| {
            let mut from = BufReader::new(conn.try_clone().expect("a second handle"));
            while let Some(said) = read_resp(&mut from) {
                let id = said
                    .split(' ')
                    .nth(2)
                    .and_then(|id| id.strip_prefix('t'))
                    .and_then(|id| id.parse().ok());
                let Some(id) = id else { return };
                let Manners {
                    build,
                    zone,
                    fails,
                    takes,
                    odd,
                    silent,
                    refuses,
                } = *locked(&kept);
                record.put(Seen::Got {
                    id,
                    node: number,
                    build,
                    zone,
                });
                if refuses {
                    conn.shutdown(Shutdown::Both).ok();
                    return;
                }
                let odd = odd.filter(|(product, ..)| said.contains(&format!("c={product},")));
                let (times, fails) =
                    odd.map_or((1.0, fails), |(_, times, more)| (times, fails + more));
                let (fine, factor) = {
                    let mut chance = locked(&chance);
                    (
                        chance.random::<f64>() >= fails,
                        chance.random_range(0.5..1.5),
                    )
                };
                thread::sleep(takes.mul_f64(factor * times));
                if silent || locked(&kept).silent {
                    continue;
                }
                record.put(Seen::Done {
                    id,
                    node: number,
                    fine,
                });
                let answer: &[u8] = if fine {
                    b"*3\r\n$2\r\nok\r\n$-1\r\n$-1\r\n"
                } else {
                    b"-ERR failed\r\n"
                };
                if (&conn).write_all(answer).is_err() {
                    return;
                }
            }
        });
        Node {
            listening,
            manners,
            ready: true,
            started: None,
        }
    }

    pub fn manners(&self) -> Manners {
        *locked(&self.manners)
    }
}

/// Connections that get everything that is told, and a sign of life now and then.
#[derive(Clone)]
struct Audience {
    conns: Arc<Mutex<Vec<TcpStream>>>,
    up: Arc<AtomicBool>,
    /// Whether the sign of life is given.
    lives: Arc<AtomicBool>,
}

impl Audience {
    fn new(sign: &'static [u8]) -> Audience {
        let audience = Audience {
            conns: Arc::default(),
            up: Arc::new(AtomicBool::new(true)),
            lives: Arc::new(AtomicBool::new(true)),
        };
        let kept = audience.clone();
        thread::spawn(move || {
            while kept.up.load(Ordering::Relaxed) {
                thread::sleep(Duration::from_millis(250));
                if kept.lives.load(Ordering::Relaxed) {
                    kept.tell(sign);
                }
            }
        });
        audience
    }

    fn tell(&self, bytes: &[u8]) {
        locked(&self.conns).retain_mut(|conn| conn.write_all(bytes).is_ok());
    }
}

/// News as a desk has them.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct State {
    pub build: u16,
    pub stage: u8,
    /// As the wire has it: Progressing, Aborting, Healthy, Aborted.
    pub course: &'static str,
    pub cap: f64,
}

impl State {
    fn object(self) -> String {
        let (build, stage, cap) = (
            self.build.to_string(),
            self.stage.to_string(),
            self.cap.to_string(),
        );
        release_update(&build, &stage, self.course, &cap)
    }
}

/// What becomes of a vote: the new state, or nothing if it is moot.
type OnVote = Box<dyn FnMut(u16, u8, &str, State) -> Option<State> + Send>;

/// A release desk: tells its news, and takes votes as its script says.
pub struct Desk {
    listening: Listening,
    audience: Audience,
    state: Arc<Mutex<State>>,
    own: bool,
    record: Record,
}

impl Desk {
    fn new(host: Ipv4Addr, state: State, own: bool, record: Record, on_vote: OnVote) -> Desk {
        let (audience, state) = (
            Audience::new(RELEASE_HEARTBEAT),
            Arc::new(Mutex::new(state)),
        );
        let (all, kept, noted) = (audience.clone(), state.clone(), record.clone());
        let on_vote = Mutex::new(on_vote);
        let listening = Listening::new(host, move |conn| {
            let mut from = BufReader::new(conn.try_clone().expect("a second handle"));
            while let Some(said) = read_line(&mut from) {
                let number = |name: &str| {
                    let after = said.split(&format!("\"{name}\":")).nth(1)?;
                    after.split([',', '}']).next()?.parse::<u16>().ok()
                };
                if said.contains("\"listen\"") {
                    // Held meanwhile, so that nothing is told twice or not at all.
                    let mut conns = locked(&all.conns);
                    let now = *locked(&kept);
                    let hello = [
                        LISTEN_ACCEPTED,
                        rollout_notification(&now.object()).as_bytes(),
                    ]
                    .concat();
                    if all.lives.load(Ordering::Relaxed) && (&conn).write_all(&hello).is_ok() {
                        conns.extend(conn.try_clone());
                    } else {
                        conn.shutdown(Shutdown::Both).ok();
                        return;
                    }
                    continue;
                }
                let (Some(id), Some(build), Some(stage)) =
                    (number("id"), number("Revision"), number("Wave"))
                else {
                    return;
                };
                let decision = said
                    .split("\"Decision\":\"")
                    .nth(1)
                    .and_then(|d| d.split('"').next())
                    .unwrap_or("");
                noted.put(Seen::Vote {
                    build,
                    stage: stage as u8,
                    decision: decision.into(),
                });
                let now = *locked(&kept);
                let next = locked(&on_vote)(build, stage as u8, decision, now);
                let answer = match next {
                    Some(state) => {
                        *locked(&kept) = state;
                        note_news(&noted, state);
                        all.tell(rollout_notification(&state.object()).as_bytes());
                        format!(
                            "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"result\":{}}}\n",
                            state.object()
                        )
                    }
                    None => format!(
                        "{{\"jsonrpc\":\"2.0\",\"id\":{id},\"error\":{{\"code\":-32602,\"message\":\"moot\"}}}}\n"
                    ),
                };
                if (&conn).write_all(answer.as_bytes()).is_err() {
                    return;
                }
            }
        });
        Desk {
            listening,
            audience,
            state,
            own,
            record,
        }
    }

    pub fn at(&self) -> SocketAddr {
        self.listening.at
    }

    pub fn state(&self) -> State {
        *locked(&self.state)
    }

    /// Tells that a build stands so from now on.
    pub fn tell(&self, state: State) {
        *locked(&self.state) = state;
        self.audience
            .tell(rollout_notification(&state.object()).as_bytes());
        if self.own {
            note_news(&self.record, state);
        }
    }

    /// Dies in the middle of a line; until it is back, whoever comes is sent away.
    pub fn die(&self) {
        self.audience.lives.store(false, Ordering::Relaxed);
        self.audience
            .tell(&rollout_notification(&self.state().object()).as_bytes()[..40]);
        self.listening.cut();
        locked(&self.audience.conns).clear();
    }

    /// Comes back, with this to tell.
    pub fn come_back(&self, state: State) {
        *locked(&self.state) = state;
        self.audience.lives.store(true, Ordering::Relaxed);
    }
}

impl Drop for Desk {
    fn drop(&mut self) {
        self.audience.up.store(false, Ordering::Relaxed);
    }
}

fn note_news(record: &Record, state: State) {
    let on_trial = state.course != "Healthy";
    record.put(Seen::News {
        build: state.build,
        stage: state.stage,
        on_trial,
        cap: state.cap,
    });
}

/// What the clients ask for.
#[derive(Clone, Copy, Debug)]
pub struct Traffic {
    /// Clients, each with a connection and one request at a time.
    pub clients: usize,
    /// The mean time between a client's requests.
    pub pause: Duration,
    /// How long a client waits.
    pub deadline: Duration,
}

pub struct Town {
    pub record: Record,
    pub nodes: Vec<Node>,
    pub platform: Desk,
    /// The release desks of other services.
    pub desks: BTreeMap<String, Desk>,
    discovery: Listening,
    watchers: Audience,
    list: Arc<Mutex<(u64, Vec<String>)>>,
    folder: tempfile::TempDir,
    program: PathBuf,
    start: StartFileTemplate,
    listen: SocketAddr,
    /// The address at which all of it listens.
    host: Ipv4Addr,
    pub agent: Option<AgentProcess>,
    has_operator: bool,
    clients: Vec<JoinHandle<()>>,
    closing: Arc<AtomicBool>,
    last: Arc<AtomicU32>,
    seed: u64,
}

/// The zones' names in a town, and its own firm's.
pub const ZONES: [&str; 2] = ["a", "b"];

impl Town {
    /// Everything but the agent, which plays the program at this path.
    pub fn new(program: &Path, seed: u64, state: State, on_vote: OnVote) -> Town {
        let (record, host) = (Record::default(), unique_loopback_host());
        let platform = Desk::new(host, state, true, record.clone(), on_vote);
        note_news(&record, state);
        let (watchers, list) = (
            Audience::new(WATCH_HEARTBEAT),
            Arc::new(Mutex::new((1, Vec::<String>::new()))),
        );
        let (all, whole) = (watchers.clone(), list.clone());
        let discovery = Listening::new(host, move |conn| {
            let mut from = BufReader::new(conn.try_clone().expect("a second handle"));
            while read_http_head(&mut from).is_some() {
                let mut conns = locked(&all.conns);
                let (version, entries) = &*locked(&whole);
                let text = format!(
                    "{{\"version\":{version},\"full\":true,\"servers\":[{}]}}\n",
                    entries.join(",")
                );
                let hello = [WATCH_RESPONSE_HEAD, encode_http_chunk(&text).as_bytes()].concat();
                if (&conn).write_all(&hello).is_ok() {
                    conns.extend(conn.try_clone());
                }
            }
        });
        let mut start = StartFileTemplate::default();
        for (field, value) in [
            ("zones", r#"["a","b"]"#),
            ("instances", "1"),
            ("aim", "400000"),
            ("give-up", "1000000"),
            ("peers", r#"["PEER_LISTEN"]"#),
        ] {
            start.set(field, value);
        }
        // The settings' own permission has the same name as the list of peers.
        start.text = start.text.replace(
            r#""may-cancel":true,"peers":["PEER_LISTEN"]"#,
            r#""may-cancel":true,"peers":true"#,
        );
        start.set("Revision", &state.build.to_string());
        start.set("Wave", &state.stage.to_string());
        start.set("State", &format!("\"{}\"", state.course));
        start.set("MaxShare", &state.cap.to_string());
        Town {
            record,
            nodes: Vec::new(),
            platform,
            desks: BTreeMap::new(),
            discovery,
            watchers,
            list,
            folder: tempfile::tempdir().expect("a folder"),
            program: program.to_owned(),
            start,
            listen: unused_tcp_address(host),
            host,
            agent: None,
            has_operator: false,
            clients: Vec::new(),
            closing: Arc::default(),
            last: Arc::default(),
            seed,
        }
    }

    /// Another figure in the start file.
    pub fn set(&mut self, field: &str, value: &str) {
        self.start.set(field, value);
    }

    /// A further service's desk.
    pub fn desk(&mut self, name: &str, state: State) {
        let desk = Desk::new(
            self.host,
            state,
            false,
            self.record.clone(),
            Box::new(|_, _, _, _| None),
        );
        self.desks.insert(name.into(), desk);
    }

    /// A further node; told of with the next list.
    pub fn node(&mut self, manners: Manners) -> usize {
        let number = self.nodes.len();
        let seed = self.seed.wrapping_mul(31).wrapping_add(number as u64);
        self.nodes.push(Node::new(
            self.host,
            number,
            manners,
            seed,
            self.record.clone(),
        ));
        number
    }

    /// A further node that starts now, cold.
    pub fn start_node(&mut self, manners: Manners) -> usize {
        let number = self.node(manners);
        self.nodes[number].started = Some(SystemTime::now());
        number
    }

    fn entries(&self, of: impl Iterator<Item = usize>) -> Vec<String> {
        let line = |number: usize| {
            let (node, name) = (&self.nodes[number], format!("d{number}"));
            let (zone, build) = (ZONES[node.manners().zone], node.manners().build.to_string());
            let state = if node.ready { "ready" } else { "draining" };
            EndpointEntry::new(&name, node.listening.at, zone, state, &build)
                .started_at(node.started)
                .to_json()
        };
        of.map(line).collect()
    }

    /// Discovery tells how these nodes stand now.
    pub fn list(&mut self, changed: &[usize]) {
        let mut list = locked(&self.list);
        list.0 += 1;
        list.1 = self.entries(0..self.nodes.len());
        let changes = self.entries(changed.iter().copied()).join(",");
        let text = format!(
            "{{\"version\":{},\"full\":false,\"servers\":[{changes}]}}\n",
            list.0
        );
        // The watchers' lock is taken before the list's elsewhere; here the list is done first.
        drop(list);
        self.watchers.tell(encode_http_chunk(&text).as_bytes());
        for &number in changed {
            let node = &self.nodes[number];
            let Manners { build, zone, .. } = node.manners();
            self.record.put(Seen::Listed {
                node: number,
                zone,
                build,
                ready: node.ready,
            });
        }
    }

    /// A node drains, or takes requests again.
    pub fn ready(&mut self, number: usize, ready: bool) {
        self.nodes[number].ready = ready;
        self.list(&[number]);
    }

    /// How a node serves from now on; a new build is told of with the next list.
    pub fn change(&mut self, number: usize, change: impl FnOnce(&mut Manners)) {
        change(&mut locked(&self.nodes[number].manners));
    }

    /// A node's process goes and another of the same build comes; discovery tells so.
    pub fn start_anew(&mut self, number: usize) {
        self.nodes[number].listening.cut();
        self.nodes[number].started = Some(SystemTime::now());
        self.list(&[number]);
    }

    /// A node's process goes, with all that it had, and another one comes up at its address.
    pub fn restart_node(&mut self, number: usize, change: impl FnOnce(&mut Manners)) {
        self.nodes[number].listening.cut();
        self.change(number, change);
    }

    fn file(&self, name: &str) -> PathBuf {
        self.folder.path().join(name)
    }

    /// Where the agent's time lines go, if the operator's file says so.
    pub fn dump(&self) -> PathBuf {
        self.file("lines.seg")
    }

    /// The agent is asked for its lines; whether it has written them.
    pub fn tells_its_lines(&self) -> bool {
        let Some(agent) = &self.agent else {
            return false;
        };
        agent.signal("USR1");
        wait_for_log(&agent.log, "timeline: written")
    }

    /// Writes the operator's file; a running agent is told to read it.
    pub fn order(&mut self, text: &str) {
        std::fs::write(self.file("operator.xml"), text).expect("the operator's file");
        self.has_operator = true;
        if let Some(agent) = &self.agent {
            agent.signal("HUP");
        }
    }

    /// Starts the agent, and waits until it answers; gives up after the stand-ins' patience. A port that was free may be
    /// taken before the agent has it: then it is tried again with others.
    pub fn up(&mut self, with_operator: bool) -> bool {
        let all: Vec<usize> = (0..self.nodes.len()).collect();
        locked(&self.list).1 = self.entries(all.iter().copied());
        for number in all {
            let Manners { build, zone, .. } = self.nodes[number].manners();
            self.record.put(Seen::Listed {
                node: number,
                zone,
                build,
                ready: self.nodes[number].ready,
            });
        }
        let operator =
            Some(self.file("operator.xml")).filter(|_| with_operator && self.has_operator);
        let up = (0..5).any(|_| {
            if self.clients.is_empty() {
                self.listen = unused_tcp_address(self.host);
            }
            let places = [
                ("PEER_LISTEN", unused_udp_address(self.host).to_string()),
                ("LISTEN", self.listen.to_string()),
                ("DISCOVERY", self.discovery.at.to_string()),
                ("PLATFORM", self.platform.at().to_string()),
                ("PEER", unused_udp_address(self.host).to_string()),
                ("KNOWN", locked(&self.list).1.join(",")),
            ];
            std::fs::write(self.file("start.json"), self.start.render(&places))
                .expect("the start file");
            let agent = AgentProcess::spawn(
                &self.program,
                &self.file("start.json"),
                operator.as_deref(),
                None,
            );
            self.agent = Some(agent);
            self.answers()
        });
        if up {
            self.record.put(Seen::Up);
        }
        up
    }

    /// Whether the agent comes to answer, while it runs.
    fn answers(&mut self) -> bool {
        for _ in 0..500 {
            thread::sleep(Duration::from_millis(10));
            if !self.agent.as_mut().is_some_and(AgentProcess::is_running) {
                return false;
            }
            let Ok(mut conn) = TcpStream::connect(self.listen) else {
                continue;
            };
            conn.set_read_timeout(Some(Duration::from_secs(1))).ok();
            let asked = conn.write_all(encode_command(&["PING"]).as_bytes()).is_ok();
            if asked && read_resp(&mut BufReader::new(conn)).as_deref() == Some("+PONG") {
                return true;
            }
        }
        false
    }

    /// The agent's processor time so far, where the system tells it.
    pub fn cpu(&self) -> Option<Duration> {
        let id = self.agent.as_ref()?.id();
        let text = std::fs::read_to_string(format!("/proc/{id}/stat")).ok()?;
        let fields: Vec<&str> = text.rsplit_once(") ")?.1.split(' ').collect();
        let ticks = fields.get(11)?.parse::<u64>().ok()? + fields.get(12)?.parse::<u64>().ok()?;
        // A hundred ticks a second, wherever Linux runs on this kind of processor.
        Some(Duration::from_millis(ticks * 10))
    }

    /// The agent is asked to end, and may take so long; whether it has gone by itself, and its log.
    pub fn ends_within(&mut self, wait: Duration) -> (bool, String) {
        let Some(mut agent) = self.agent.take() else {
            return (false, String::new());
        };
        agent.signal("TERM");
        let gone = agent.wait_for_exit_within(wait).is_some();
        // Its last words may still be on their way here.
        wait_for_log(&agent.log, "requests in hand");
        let log = locked(&agent.log).clone();
        (gone, log)
    }

    /// The agent is killed.
    pub fn kill(&mut self) {
        self.agent = None;
        self.record.put(Seen::Killed);
    }

    /// Lets clients come; they go on until the town closes.
    pub fn open(&mut self, traffic: Traffic) {
        for number in 0..traffic.clients {
            let client = Client {
                chance: Pcg64Mcg::seed_from_u64(
                    self.seed
                        .wrapping_add(number as u64 + 1)
                        .wrapping_mul(0x9e37_79b9),
                ),
                to: self.listen,
                traffic,
                record: self.record.clone(),
                last: self.last.clone(),
                closing: self.closing.clone(),
            };
            self.clients.push(thread::spawn(move || client.live()));
        }
    }

    /// Waits for so long.
    pub fn pass(&self, time: Duration) {
        thread::sleep(time);
    }

    /// Clients take their last answers and leave; the agent ends. Returns its log.
    pub fn close(&mut self) -> String {
        self.closing.store(true, Ordering::Relaxed);
        self.clients
            .drain(..)
            .for_each(|client| drop(client.join()));
        let log = self.agent.as_ref().map(|agent| locked(&agent.log).clone());
        self.agent = None;
        log.unwrap_or_default()
    }
}

impl Drop for Town {
    fn drop(&mut self) {
        self.watchers.up.store(false, Ordering::Relaxed);
        self.closing.store(true, Ordering::Relaxed);
    }
}

struct Client {
    chance: Pcg64Mcg,
    to: SocketAddr,
    traffic: Traffic,
    record: Record,
    last: Arc<AtomicU32>,
    closing: Arc<AtomicBool>,
}

impl Client {
    fn live(mut self) {
        let mut conn: Option<BufReader<TcpStream>> = None;
        while !self.closing.load(Ordering::Relaxed) {
            thread::sleep(
                self.traffic
                    .pause
                    .mul_f64(self.chance.random_range(0.2..1.8)),
            );
            let open = conn.take().or_else(|| {
                let conn = TcpStream::connect(self.to).ok()?;
                conn.set_nodelay(true).ok();
                conn.set_read_timeout(Some(self.traffic.deadline + Duration::from_millis(300)))
                    .ok()?;
                Some(BufReader::new(conn))
            });
            let Some(mut open) = open else { continue };
            if self.ask(&mut open) {
                conn = Some(open);
            }
        }
    }

    /// One request; whether the connection may be used again.
    fn ask(&mut self, conn: &mut BufReader<TcpStream>) -> bool {
        // An idle connection that has ended takes no request.
        let ended = conn.get_ref().set_nonblocking(true).is_err()
            || !conn
                .get_ref()
                .peek(&mut [0])
                .is_err_and(|fault| fault.kind() == ErrorKind::WouldBlock);
        if conn.get_ref().set_nonblocking(false).is_err() || ended {
            return false;
        }
        let id = self.last.fetch_add(1, Ordering::Relaxed);
        let (kind, verb, product) = match self.chance.random_range(0..20) {
            0..12 => (Kind::Read, "SVC.QUERY", "read"),
            12..17 => (Kind::Post, "SVC.SUBMIT", "post"),
            _ => (Kind::Book, "SVC.SUBMIT", "book"),
        };
        let (name, key) = (format!("t{id}"), format!("k{id}"));
        let mark = if kind == Kind::Post {
            format!(",k={key}")
        } else {
            String::new()
        };
        let pairs = format!("c={product},d={}{mark}", self.traffic.deadline.as_millis());
        let words = encode_command(&[verb, &key, &name, &pairs]);
        self.record.put(Seen::Sent {
            id,
            kind,
            deadline: self.traffic.deadline,
        });
        let how = match answer(conn, &words) {
            Said::Text(text) if text.starts_with('$') => Final::Settled,
            Said::Text(text) if text.starts_with("-BUSY") => Final::Declined,
            Said::Text(_) => Final::Voided,
            Said::Nothing => Final::Lost,
            Said::Ended => {
                self.record.put(Seen::Crossed { id });
                return false;
            }
        };
        if how != Final::Lost {
            self.record.put(Seen::Answered { id, how });
        }
        how != Final::Lost
    }
}

/// What a client hears: an answer, the end of its connection before a byte of one, or nothing whole in time.
enum Said {
    Text(String),
    Ended,
    Nothing,
}

fn answer(conn: &mut BufReader<TcpStream>, words: &str) -> Said {
    if conn.get_ref().write_all(words.as_bytes()).is_err() {
        return Said::Ended;
    }
    match conn.fill_buf() {
        Ok([]) => Said::Ended,
        Err(fault) if fault.kind() != ErrorKind::WouldBlock => Said::Ended,
        Err(_) => Said::Nothing,
        Ok(_) => read_resp(conn).map_or(Said::Nothing, Said::Text),
    }
}
