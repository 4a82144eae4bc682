//! Plays every scenario in `tests/scenarios`. A line holds steps, parted by `;`:
//!
//!     set KEY VALUE                        before the first round, changes what a part is made with
//!     product KIND SLA [GROUP REMEMBERED]  KIND is inquiry, referenced or once; times in ms
//!     at MS                                begins a round; the events that follow come in with it
//!     membership KIND ID:MODE:BUILD[:AGE[:ZONE]] ..   | request ID PRODUCT [DEADLINE] [MARK]   | left ID
//!     ended ID/ATTEMPT APPLIANCE ENDING TOOK [closed] | stage BUILD STAGE COURSE CAP         | voted ENDING
//!     ends MS                              the agent ends then
//!     burst MANY PRODUCT                   so many requests in one round
//!     go ID/ATTEMPT yes|no                 whether it may still go after a wait for its connection
//!     open on|hold [BUILD:ZONE[:PRODUCTS]] ..  all that is open, as a mask of products, with the step on or without;
//!                                          open all: the operator's rules are gone
//!     wrong APPLIANCE PRODUCT AGO          an answer sent so long ago was found wrong
//!     report FROM BUILD SERIAL T/U/A [ID:PRODUCT:MANY:BAD ..]  a peer's report: work in time, usual, asked, counts
//!     noted TEXT                                    a note since the start holds this
//!     restart                                       the agent dies and comes back
//!     flow MS PRODUCT SHARES               until then a request every 10 ms, answered after 50 ms; of SHARES, as
//!                                          BUILD=N or @ID=N, every Nth fails
//!     expect DECISION / never DECISION     what was, or was not, decided in this round (in the flow, after one)
//!     most N DECISION                      so often at most since the start
//!     test X-BAD X-ALL Y-BAD Y-ALL p P     the statistic alone, at theta0 0.02, tau 0.1, alpha 0.05
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
use std::collections::{BTreeMap, VecDeque};
use std::path::PathBuf;
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{
    Actions, AdvanceRule, AgentId, AttemptNumber, Build, Cell, ClassPolicy, DecisionEngine,
    DeduplicationScope, Endpoint, EndpointDiscovery, EndpointId, EndpointStatus, EventHandler,
    Exposure, FleetPosition, Idempotency, IdempotencyKey, ListUpdate, Model, Note, Outcome,
    PendingRequests, ReleaseAnalysis, ReleasePermissions, ReleasePhase, Request, RequestClass,
    RequestId, SlowStart, Stage, Tenant, Test, TimerId, Vote, VoteTiming, Zone,
};
use lilacgate_timeline::fleet_timeline::{FleetTimeline, MemoryLimits};
use lilacgate_timeline::monitor::MonitorConfig;
use rstest::rstest;

/// Where a record is kept beside, it must change nothing.
fn book() -> FleetTimeline {
    let aims = MonitorConfig {
        false_alarms_per_hour: 0.5,
        slow_start: Duration::from_secs(4),
        classes: 3,
    };
    FleetTimeline::new(
        Duration::ZERO,
        aims,
        MemoryLimits {
            timeline_bytes: 1 << 20,
            queued_records: 100,
        },
    )
}

#[derive(Default)]
struct Written {
    book: Option<FleetTimeline>,
    at: Duration,
    now: Vec<String>,
    ever: Vec<String>,
    noted: Vec<String>,
    out: VecDeque<(RequestId, AttemptNumber, EndpointId)>,
    attempts: BTreeMap<RequestId, u8>,
}

impl Written {
    fn put(&mut self, text: String) {
        self.now.push(text.clone());
        self.ever.push(text);
    }
}

impl Actions for Written {
    fn send_attempt(&mut self, id: RequestId, to: EndpointId, _: Duration) {
        self.put(format!("attempt {} {}", id.0, to.0));
        let attempt = self.attempts.entry(id).or_default();
        self.book
            .iter_mut()
            .for_each(|book| book.attempt_started(self.at, id, AttemptNumber(*attempt), to));
        self.out.push_back((id, AttemptNumber(*attempt), to));
        *attempt += 1;
    }
    fn reject(&mut self, id: RequestId, _: Duration) {
        self.put(format!("decline {}", id.0));
    }
    fn fail(&mut self, id: RequestId) {
        self.put(format!("void {}", id.0));
    }
    fn cancel(&mut self, id: RequestId, attempt: AttemptNumber) {
        self.put(format!("call-off {}/{}", id.0, attempt.0));
    }
    fn schedule_wake_up(&mut self, _: Duration, _: TimerId) {}
    fn check_health(&mut self, _: EndpointId) {}
    fn close_idle_connections(&mut self, at: EndpointId) {
        self.put(format!("free-links {}", at.0));
    }
    fn send_to_peer(&mut self, _: Option<AgentId>, _: &[u8]) {
        self.put("tell".into());
    }
    fn log(&mut self, text: &str) {
        println!("{text}");
    }
    fn watch_endpoints(&mut self, _: bool) {
        self.put("watch".into());
    }
    fn fetch_endpoints(&mut self) {}
    fn note(&mut self, note: Note) {
        self.noted.push(format!("{note:?}"));
        self.book
            .iter_mut()
            .for_each(|book| book.record_note(self.at, note));
    }
    fn vote(&mut self, build: Build, stage: Stage, verdict: Vote) {
        self.book
            .iter_mut()
            .for_each(|book| book.record_vote(self.at, build, stage, verdict));
        self.put(format!("vote {} {} {verdict:?}", build.0, stage.0).to_lowercase());
    }
}

fn ms(text: &str) -> Duration {
    Duration::from_millis(text.parse().expect("milliseconds"))
}

fn ending(text: &str) -> Outcome {
    match text {
        "served" => Outcome::Succeeded,
        "failed" => Outcome::Failed,
        "turned-away" => Outcome::Rejected,
        "timed-out" => Outcome::TimedOut,
        "unconnected" => Outcome::ConnectFailed,
        "called-off" => Outcome::Cancelled,
        "broken" => Outcome::ConnectionLost,
        "spoilt" => Outcome::Malformed,
        other => panic!("no ending {other}"),
    }
}

struct Play {
    now: Duration,
    set: BTreeMap<String, f64>,
    products: Vec<ClassPolicy>,
    lines: BTreeMap<u32, Endpoint>,
    brain: Option<DecisionEngine>,
    written: Written,
    flowing: u32,
}

impl Play {
    fn brain(&self) -> DecisionEngine {
        let set = |key: &str, usual: f64| self.set.get(key).copied().unwrap_or(usual);
        let span = |key, usual| Duration::from_secs_f64(set(key, usual) / 1000.0);
        let asks = set("asks", 0.0) > 0.0;
        let membership = EndpointDiscovery::new(Zone(0), asks.then_some(Duration::from_secs(10)));
        let thaw = SlowStart::new(0.34, span("ramp", 4000.0), 2.5, Duration::from_secs(1));
        let tick = Duration::from_millis(5);
        let per_product = set("per-product", 0.0) > 0.0;
        let guarded = set("guarded", 0.0) as u8;
        let forward_only = set("forward-only", 0.0) > 0.0;
        let free = set("free", 2.0);
        let exposure = Exposure::new(
            Duration::from_secs(4),
            tick,
            free,
            0.1,
            per_product,
            guarded,
            forward_only,
        );
        let calls = VoteTiming {
            validity: Duration::from_secs(6),
            call_timeout: Duration::from_secs(1),
        };
        let gate = if set("clocked", 0.0) > 0.0 {
            AdvanceRule::Timed
        } else {
            AdvanceRule::Single
        };
        let rings = vec![0.05, 0.2, 0.5, 1.0];
        let dwell = Duration::from_millis(1500);
        let (me, agents) = (AgentId(set("me", 0.0) as u32), set("agents", 1.0) as u32);
        let among = FleetPosition {
            own_id: me,
            agent_count: agents,
            can_message_peers: true,
        };
        let jury =
            ReleaseAnalysis::new(gate, rings, dwell, calls, true, among, self.products.len());
        let desk =
            PendingRequests::new(self.products.clone(), 3, true, Duration::from_secs(1), tick);
        DecisionEngine::new(7, membership, thaw, exposure, jury, desk)
    }

    fn round(&mut self, intake: impl FnOnce(&mut dyn EventHandler)) {
        let mut brain = self.brain.take().unwrap_or_else(|| self.brain());
        self.written.at = self.now;
        self.written
            .book
            .iter_mut()
            .for_each(|book| book.advance(self.now));
        brain.round(self.now, intake, &mut self.written);
        self.brain = Some(brain);
    }

    fn request(&self, product: &str, deadline: Duration, mark: Option<&&str>) -> Request {
        let product = RequestClass(product.parse().expect("a product"));
        let mark = mark.map(|m| IdempotencyKey(m.parse().expect("a mark")));
        let hint = Some(Duration::from_millis(50));
        Request {
            class: product,
            tenant: Tenant(0),
            idempotency_key: mark,
            deadline,
            estimated_work: hint,
            is_retry: false,
        }
    }

    fn membership(&mut self, kind: &str, entries: &[&str]) {
        let listing = match kind {
            "whole" => ListUpdate::Full,
            "changes" => ListUpdate::Delta,
            "saved" => ListUpdate::Cached,
            _ => ListUpdate::Failed,
        };
        let now = self.now;
        let lines: Vec<Endpoint> = entries.iter().map(|e| line(e, now)).collect();
        self.lines.extend(lines.iter().map(|l| (l.id.0, *l)));
        self.round(|ear| ear.on_endpoints(listing, &mut lines.into_iter()));
    }

    /// A request every 10 ms and the answers due; no queue, no load: just a script of outcomes.
    fn flow(&mut self, until: Duration, product: &str, fails: &BTreeMap<String, u32>) {
        let mut due: VecDeque<(Duration, RequestId, AttemptNumber, EndpointId)> = VecDeque::new();
        self.written.out.clear();
        let mut count: BTreeMap<String, u32> = BTreeMap::new();
        while self.now < until {
            self.now += Duration::from_millis(10);
            self.flowing += 1;
            let id = RequestId(1_000_000 + self.flowing);
            let request = self.request(product, self.now + Duration::from_secs(2), None);
            let mut answers = Vec::new();
            while due.front().is_some_and(|(at, ..)| *at <= self.now) {
                let (_, request, attempt, to) = due.pop_front().expect("due");
                let build = self.lines[&to.0].build.0.to_string();
                let bad = [build, format!("@{}", to.0)].into_iter().any(|key| {
                    let many = count.entry(key.clone()).or_default();
                    *many += 1;
                    fails.get(&key).is_some_and(|n| many.is_multiple_of(*n))
                });
                answers.push((
                    request,
                    attempt,
                    to,
                    if bad {
                        Outcome::Failed
                    } else {
                        Outcome::Succeeded
                    },
                ));
            }
            self.written.now.clear();
            self.round(|ear| {
                for (id, attempt, to, ending) in answers {
                    ear.on_attempt_ended(
                        id,
                        attempt,
                        to,
                        ending,
                        Duration::from_millis(50),
                        ending == Outcome::Succeeded,
                    );
                }
                ear.on_request(id, request);
            });
            let at = self.now + Duration::from_millis(50);
            due.extend(
                self.written
                    .out
                    .drain(..)
                    .map(|(id, attempt, to)| (at, id, attempt, to)),
            );
        }
    }

    fn step(&mut self, words: &[&str]) {
        match words {
            ["set", key, value] => drop(
                self.set
                    .insert(key.to_string(), value.parse().expect("a number")),
            ),
            ["product", kind, sla, group @ ..] => {
                let repeat = match (*kind, group) {
                    ("referenced", ["all", ..]) => Idempotency::Keyed(DeduplicationScope::All),
                    ("referenced", ["zone", ..]) => Idempotency::Keyed(DeduplicationScope::Zone),
                    ("once", _) => Idempotency::NonIdempotent,
                    _ => Idempotency::Idempotent,
                };
                let remembered = group.get(1).map_or(Duration::ZERO, |m| ms(m));
                let (sla, deadline) = (ms(sla), ms(sla) * 4);
                self.products.push(ClassPolicy {
                    idempotency: repeat,
                    latency_objective: sla,
                    deadline,
                    deduplication_window: remembered,
                    priority_weight: 1.0,
                    late_weight_share: 0.0,
                });
            }
            ["at", at] => {
                self.now = ms(at);
                self.written.now.clear();
                self.round(|_| {});
            }
            ["membership", kind, entries @ ..] => self.membership(kind, entries),
            ["request", id, product, rest @ ..] => {
                let deadline = rest
                    .first()
                    .map_or(self.now + Duration::from_secs(2), |e| ms(e));
                let request = self.request(product, deadline, rest.get(1));
                self.round(|ear| ear.on_request(RequestId(id.parse().expect("an id")), request));
            }
            ["burst", many, product] => {
                let request = self.request(product, self.now + Duration::from_secs(2), None);
                let many = many.parse().expect("a number");
                self.round(|ear| {
                    (0..many).for_each(|i| ear.on_request(RequestId(2_000_000 + i), request))
                });
            }
            ["ends", last] => self.round(|ear| ear.on_shutdown(ms(last))),
            ["left", id] => {
                self.round(|ear| ear.on_client_left(RequestId(id.parse().expect("an id"))))
            }
            ["ended", attempt, at, how, took, closed @ ..] => {
                let (id, attempt) = attempt.split_once('/').expect("ID/ATTEMPT");
                let (id, attempt) = (
                    RequestId(id.parse().expect("an id")),
                    AttemptNumber(attempt.parse().expect("an attempt number")),
                );
                let (at, took, how) = (
                    EndpointId(at.parse().expect("an id")),
                    ms(took),
                    ending(how),
                );
                self.round(|ear| {
                    ear.on_attempt_ended(id, attempt, at, how, took, !closed.is_empty())
                });
            }
            ["go", attempt, want] => {
                let (id, attempt) = attempt.split_once('/').expect("ID/ATTEMPT");
                let (id, attempt) = (
                    RequestId(id.parse().expect("an id")),
                    AttemptNumber(attempt.parse().expect("an attempt number")),
                );
                let mut may = false;
                self.round(|ear| may = ear.may_send(id, attempt));
                assert_eq!(may, *want == "yes");
            }
            ["stage", build, stage, course, cap] => {
                let course = match *course {
                    "trial" => ReleasePhase::Canary,
                    "back" => ReleasePhase::RollingBack,
                    "released" => ReleasePhase::Released,
                    _ => ReleasePhase::Withdrawn,
                };
                let (build, stage) = (
                    Build(build.parse().expect("a build")),
                    Stage(stage.parse().expect("a stage")),
                );
                let cap = cap.parse().expect("a cap");
                self.round(|ear| ear.on_release_status(build, stage, course, cap, Duration::ZERO));
            }
            ["voted", how] => self.round(|ear| ear.on_vote_answered(ending(how))),
            ["wrong", at, product, ago] => {
                let (at, product) = (
                    at.parse().expect("an id"),
                    product.parse().expect("a product"),
                );
                self.round(|ear| {
                    ear.on_wrong_answer(EndpointId(at), RequestClass(product), ms(ago))
                });
            }
            ["report", from, build, serial, sums, entries @ ..] => {
                let num = |text: &str| text.parse::<u32>().expect("a number");
                let mut octets = (num(build) as u16).to_be_bytes().to_vec();
                octets.extend([0, 0, 0, 1].into_iter().chain(num(serial).to_be_bytes()));
                octets.extend(
                    sums.split('/')
                        .flat_map(|sum| (num(sum) as u16).to_be_bytes()),
                );
                for entry in entries {
                    let of: Vec<u32> = entry
                        .split(':')
                        .map(|n| if n == "-" { u32::MAX } else { num(n) })
                        .collect();
                    octets.extend(
                        of[0]
                            .to_be_bytes()
                            .into_iter()
                            .chain(of[1..].iter().map(|n| *n as u8)),
                    );
                    octets.extend([0, 0]);
                }
                self.round(|ear| ear.on_peer_message(AgentId(num(from)), &octets));
            }
            ["open", "all"] => self.round(|ear| ear.on_release_permissions(None)),
            ["open", step, cells @ ..] => {
                let mut rows = BTreeMap::<u16, [u64; 3]>::new();
                for cell in cells {
                    let of: Vec<u64> = cell
                        .split(':')
                        .map(|n| n.parse().expect("a number"))
                        .collect();
                    let row = rows.entry(of[0] as u16).or_default();
                    row[of[1] as usize] = of.get(2).copied().unwrap_or(u64::MAX);
                }
                let rows: Vec<_> = rows.iter().map(|(b, row)| (Build(*b), &row[..])).collect();
                let step = (*step == "on").then(|| (rows.last().expect("a row").0, Stage(0)));
                let open = Arc::new(ReleasePermissions::new(3, 1, &rows, step));
                self.round(|ear| ear.on_release_permissions(Some(open)));
            }
            ["noted", rest @ ..] => {
                let rest = rest.join(" ");
                assert!(
                    self.written.noted.iter().any(|n| n.contains(&rest)),
                    "{:?}",
                    self.written.noted
                );
            }
            ["restart"] => self.brain = None,
            ["flow", until, product, fails @ ..] => {
                let pair = |f: &&str| {
                    f.split_once('=')
                        .map(|(b, n)| (b.to_string(), n.parse().expect("N")))
                };
                let fails = fails.iter().filter_map(pair).collect();
                self.flow(ms(until), product, &fails);
            }
            ["expect", rest @ ..] => assert!(self.seen(rest), "not in {:?}", self.written.now),
            ["never", rest @ ..] => assert!(!self.seen(rest), "in {:?}", self.written.now),
            ["ever", rest @ ..] => assert!(self.times(rest) > 0, "never since the start"),
            ["most", many, rest @ ..] => {
                let (many, seen) = (many.parse::<usize>().expect("a number"), self.times(rest));
                assert!(
                    seen <= many,
                    "seen {seen} times, last {:?}",
                    self.written.now
                );
            }
            ["test", xb, xn, yb, yn, "p", p] => {
                let [xb, xn, yb, yn] = [xb, xn, yb, yn].map(|n| n.parse::<u32>().expect("a count"));
                let mut test = Test::new(0.02, 0.1, 0.05);
                (0..xn).for_each(|i| test.observe(None, 1.0, f64::from(u8::from(i < xb))));
                (0..yn).for_each(|i| {
                    test.observe(Some(EndpointId(1)), 1.0, f64::from(u8::from(i >= yn - yb)))
                });
                let p: f64 = p.parse().expect("a number");
                assert!((test.p - p).abs() < 1e-4, "p is {}", test.p);
            }
            _ => panic!("no such step"),
        }
    }

    fn seen(&self, words: &[&str]) -> bool {
        self.written.now.iter().any(|line| fits(line, words))
    }

    fn times(&self, words: &[&str]) -> usize {
        self.written
            .ever
            .iter()
            .filter(|line| fits(line, words))
            .count()
    }
}

/// Whether a decision begins with these words; `*` stands for any.
fn fits(line: &str, words: &[&str]) -> bool {
    let got: Vec<&str> = line.split(' ').collect();
    got.len() >= words.len()
        && words
            .iter()
            .zip(got)
            .all(|(want, got)| *want == "*" || *want == got)
}

fn line(entry: &str, now: Duration) -> Endpoint {
    let mut parts = entry.split(':');
    let mut next = || parts.next();
    let appliance = EndpointId(next().and_then(|p| p.parse().ok()).expect("an id"));
    let mode = match next() {
        Some("ready") => EndpointStatus::Ready,
        Some("draining") => EndpointStatus::Draining,
        _ => EndpointStatus::Removed,
    };
    let build = Build(next().and_then(|p| p.parse().ok()).expect("a build"));
    let started = next()
        .filter(|a| !a.is_empty())
        .map(|age| now.saturating_sub(ms(age)));
    let zone = Zone(next().map_or(0, |z| z.parse().expect("a zone")));
    Endpoint {
        id: appliance,
        status: mode,
        model: Model(0),
        weight: 1.0,
        started,
        build,
        cell: Cell(0),
        zone,
    }
}

#[rstest]
fn scenario(#[files("tests/scenarios/*.txt")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a scenario");
    let alone = play(&text, None);
    // The same with a record beside it: the same decisions, one by one.
    assert_eq!(play(&text, Some(book())), alone);
}

/// Plays a scenario; all decisions since the start.
fn play(text: &str, book: Option<FleetTimeline>) -> Vec<String> {
    let mut play = Play {
        now: Duration::ZERO,
        set: BTreeMap::new(),
        products: Vec::new(),
        lines: BTreeMap::new(),
        brain: None,
        written: Written {
            book,
            ..Written::default()
        },
        flowing: 0,
    };
    for (i, line) in text.lines().enumerate() {
        println!("{}: {line}", i + 1);
        for step in line.split('#').next().unwrap_or("").split(';') {
            let words: Vec<&str> = step.split_whitespace().collect();
            if !words.is_empty() {
                play.step(&words);
            }
        }
    }
    play.written.ever
}
