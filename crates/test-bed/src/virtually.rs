//! Owns a small fleet in virtual time, for what takes hours on sockets: nodes with cores and queues, clients that ask
//! whatever comes of it, bursts, shifts of the mix, releases, and faults by script. It feeds a time line's book as an
//! agent would. It is no model of any real machine, and no agent decides in it: requests go to the idler of two nodes.
use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Cell, Endpoint, EndpointId, EndpointStatus, ListUpdate, Model, Outcome,
    ReleasePhase, RequestClass, RequestId, Stage, Zone,
};
use lilacgate_timeline::entry::Departure;
use lilacgate_timeline::fleet_timeline::{AttemptEnd, FleetTimeline, MemoryLimits};
use lilacgate_timeline::monitor::{MonitorConfig, TICK};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

/// What befalls the fleet.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// This share of a node's requests fails; of one product's, if one is named.
    Errors {
        node: u32,
        share: f64,
        product: Option<u8>,
    },
    /// A node takes so many times as long; for one product, if one is named.
    Slow {
        node: u32,
        times: f64,
        product: Option<u8>,
    },
    /// It slows from the usual to so many times as long, evenly over the fault's time.
    Drift { node: u32, times: f64 },
    /// It says nothing, and drops what it has.
    Silent { node: u32 },
    /// Its links are refused.
    Unlinked { node: u32 },
    /// Every node takes so many times as long.
    AllSlow { times: f64 },
    /// Every node of a build fails this share.
    BadBuild { build: u16, share: f64 },
    /// So many times the usual traffic.
    Burst { times: f64 },
    /// So much of the traffic is of the first product.
    Mix { first: f64 },
    /// A node's process is replaced by one of this build.
    Replace { node: u32, build: u16 },
    /// The agent stands still.
    Still,
}

/// A fault, from when on and how long.
#[derive(Clone, Copy, Debug)]
pub struct Event {
    pub at: Duration,
    pub long: Duration,
    pub fault: Fault,
}

/// What a day is like.
#[derive(Clone, Debug)]
pub struct Day {
    pub nodes: u32,
    /// Requests a second.
    pub rate: f64,
    pub long: Duration,
    pub events: Vec<Event>,
    /// How much later than it happens the list tells of a node.
    pub list_late: Duration,
    pub seed: u64,
}

/// Mean work by product.
const WORK: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(45),
    Duration::from_millis(20),
];
const CORES: usize = 4;
/// A node starts at a third of its speed, and is warm after this.
const RAMP: Duration = Duration::from_secs(4);
const GIVE_UP: Duration = Duration::from_secs(1);
/// The day begins here, in the agent's own clock.
pub const DAWN: Duration = Duration::from_secs(1_796_083_200);

struct Node {
    build: u16,
    started: Option<Duration>,
    speed: f64,
    free: [Duration; CORES],
    out: usize,
    /// Left alone until then, as an agent would.
    barred: Duration,
}

#[derive(PartialEq, Eq, PartialOrd, Ord)]
enum Due {
    Request,
    Ended {
        id: u32,
        node: u32,
        product: u8,
        sent: Duration,
        how: u8,
        life: Option<Duration>,
    },
    Tick,
    List {
        node: u32,
        build: u16,
        started: Option<Duration>,
    },
}

/// A line of the membership list.
pub fn listed(node: u32, build: u16, started: Option<Duration>) -> Endpoint {
    Endpoint {
        id: EndpointId(node),
        status: EndpointStatus::Ready,
        model: Model(0),
        weight: 1.0,
        started,
        build: Build(build),
        cell: Cell(0),
        zone: Zone(0),
    }
}

/// The aims of an agent with this many false events an hour.
pub fn aims(false_per_hour: f64) -> MonitorConfig {
    MonitorConfig {
        false_alarms_per_hour: false_per_hour,
        slow_start: RAMP,
        classes: WORK.len(),
    }
}

/// Where a request was sent, its answer, and what it took, for those who judge otherwise.
pub type EndedAttempt = (Duration, u32, u8, Outcome, Duration);

/// Plays a day into a book. Returns what it said: each departure, whether it begins, and when; `also` sees each outcome.
pub fn play(
    day: &Day,
    book: &mut FleetTimeline,
    also: &mut dyn FnMut(EndedAttempt),
) -> Vec<(Duration, Departure, bool)> {
    let mut chance = Pcg64Mcg::seed_from_u64(day.seed);
    let mut nodes: BTreeMap<u32, Node> = (0..day.nodes)
        .map(|number| {
            let speed = chance.random_range(0.85..1.2);
            let free = [DAWN; CORES];
            (
                number,
                Node {
                    build: 1,
                    started: None,
                    speed,
                    free,
                    out: 0,
                    barred: DAWN,
                },
            )
        })
        .collect();
    let lines: Vec<Endpoint> = nodes.keys().map(|node| listed(*node, 1, None)).collect();
    book.apply_list_update(DAWN, ListUpdate::Full, &lines);
    book.record_stage(
        DAWN,
        Build(1),
        Stage(3),
        ReleasePhase::Released,
        Duration::from_secs(3600),
    );
    let mut queue = BinaryHeap::from([
        Reverse((DAWN, 0u64, Due::Request)),
        Reverse((DAWN, 1, Due::Tick)),
    ]);
    let (mut serial, mut last, mut said) = (2, 0u32, Vec::new());
    let mut replaced = vec![false; day.events.len()];
    let mut put = |queue: &mut BinaryHeap<_>, at: Duration, due: Due| {
        serial += 1;
        queue.push(Reverse((at, serial, due)));
    };
    let on = |event: &Event, now: Duration| {
        (DAWN + event.at..DAWN + event.at + event.long).contains(&now)
    };
    // What came while the agent stood still comes to it at once afterwards.
    let still = |now: Duration| {
        let stands = day
            .events
            .iter()
            .find(|e| e.fault == Fault::Still && on(e, now));
        stands.map_or(now, |event| DAWN + event.at + event.long)
    };
    while let Some(Reverse((now, _, due))) = queue.pop() {
        if now > DAWN + day.long {
            break;
        }
        let faults: Vec<(Fault, f64)> = (day.events.iter().filter(|event| on(event, now)))
            .map(|event| {
                (
                    event.fault,
                    (now - DAWN - event.at).as_secs_f64() / event.long.as_secs_f64(),
                )
            })
            .collect();
        let awake = still(now);
        match due {
            Due::Tick => {
                if awake == now {
                    book.advance(now);
                    said.extend(
                        book.take_reports()
                            .into_iter()
                            .map(|report| (now, report.departure, report.began)),
                    );
                }
                for (event, done) in day.events.iter().zip(&mut replaced) {
                    if let (Fault::Replace { node, build }, false) =
                        (event.fault, *done || now < DAWN + event.at)
                    {
                        *done = true;
                        let Some(of) = nodes.get_mut(&node) else {
                            continue;
                        };
                        if of.build != build {
                            book.record_stage(
                                now,
                                Build(build),
                                Stage(0),
                                ReleasePhase::Canary,
                                Duration::ZERO,
                            );
                        }
                        (of.build, of.started, of.free, of.out) =
                            (build, Some(now), [now; CORES], 0);
                        put(
                            &mut queue,
                            now + day.list_late,
                            Due::List {
                                node,
                                build,
                                started: Some(now),
                            },
                        );
                    }
                }
                put(&mut queue, now + TICK, Due::Tick);
            }
            Due::List {
                node,
                build,
                started,
            } => book.apply_list_update(awake, ListUpdate::Delta, &[listed(node, build, started)]),
            Due::Request => {
                let rate = faults.iter().fold(day.rate, |rate, (fault, _)| {
                    if let Fault::Burst { times } = fault {
                        rate * times
                    } else {
                        rate
                    }
                });
                let gap = -chance.random::<f64>().max(1e-12).ln() / rate;
                put(&mut queue, now + Duration::from_secs_f64(gap), Due::Request);
                if awake > now {
                    continue;
                }
                let first = faults.iter().find_map(|(f, _)| {
                    if let Fault::Mix { first } = f {
                        Some(*first)
                    } else {
                        None
                    }
                });
                let draw: f64 = chance.random();
                let first = first.unwrap_or(0.6);
                let product = if draw < first {
                    0
                } else {
                    1 + u8::from(draw > (1.0 + first) / 2.0)
                };
                let open: Vec<u32> = nodes
                    .iter()
                    .filter(|(_, n)| n.barred <= now)
                    .map(|(node, _)| *node)
                    .collect();
                if open.is_empty() {
                    continue;
                }
                let mut pick = || open[chance.random_range(0..open.len())];
                let (one, two) = (pick(), pick());
                let node = if nodes[&two].out < nodes[&one].out {
                    two
                } else {
                    one
                };
                let Some(of) = nodes.get_mut(&node) else {
                    continue;
                };
                last += 1;
                let id = last;
                book.request_started(RequestId(id), RequestClass(product));
                book.attempt_started(now, RequestId(id), AttemptNumber(0), EndpointId(node));
                let mut times = 1.0;
                let (mut share, mut mute, mut unlinked) = (0.0f64, false, false);
                for (fault, way) in &faults {
                    let hits = |p: &Option<u8>| p.is_none_or(|p| p == product);
                    match fault {
                        Fault::Errors {
                            node: n,
                            share: s,
                            product: p,
                        } if *n == node && hits(p) => share = share.max(*s),
                        Fault::BadBuild { build, share: s } if *build == of.build => {
                            share = share.max(*s)
                        }
                        Fault::Slow {
                            node: n,
                            times: t,
                            product: p,
                        } if *n == node && hits(p) => times *= t,
                        Fault::Drift { node: n, times: t } if *n == node => {
                            times *= 1.0 + (t - 1.0) * way
                        }
                        Fault::AllSlow { times: t } => times *= t,
                        Fault::Silent { node: n } if *n == node => mute = true,
                        Fault::Unlinked { node: n } if *n == node => unlinked = true,
                        _ => {}
                    }
                }
                of.out += 1;
                let warm = of.started.map_or(1.0, |at| {
                    (0.35 + 0.65 * (now.saturating_sub(at)).as_secs_f64() / RAMP.as_secs_f64())
                        .min(1.0)
                });
                let noise = chance.random_range(0.6..1.4);
                let work = WORK[usize::from(product)].mul_f64(noise * times / (of.speed * warm));
                let core = (0..CORES).min_by_key(|core| of.free[*core]).unwrap_or(0);
                let (mut at, mut how) = (now + Duration::from_micros(500), 2);
                if mute {
                    (at, how) = (now + GIVE_UP, 3);
                } else if !unlinked {
                    at = of.free[core].max(now) + work;
                    of.free[core] = at;
                    how = u8::from(chance.random::<f64>() < share);
                    if at > now + GIVE_UP {
                        (at, how) = (now + GIVE_UP, 3);
                    }
                }
                put(
                    &mut queue,
                    at,
                    Due::Ended {
                        id,
                        node,
                        product,
                        sent: now,
                        how,
                        life: of.started,
                    },
                );
            }
            Due::Ended {
                id,
                node,
                product,
                sent,
                how,
                life,
            } => {
                if awake > now {
                    put(
                        &mut queue,
                        awake,
                        Due::Ended {
                            id,
                            node,
                            product,
                            sent,
                            how,
                            life,
                        },
                    );
                    continue;
                }
                let Some(of) = nodes.get_mut(&node) else {
                    continue;
                };
                let ending = match how {
                    // Its process is gone: the link broke.
                    _ if of.started != life => Outcome::ConnectionLost,
                    0 => Outcome::Succeeded,
                    1 => Outcome::Failed,
                    2 => Outcome::ConnectFailed,
                    _ => Outcome::TimedOut,
                };
                of.out = of.out.saturating_sub(1);
                if matches!(ending, Outcome::TimedOut | Outcome::ConnectFailed) {
                    of.barred = now + Duration::from_millis(700);
                }
                book.attempt_ended(
                    now,
                    &AttemptEnd {
                        request: RequestId(id),
                        attempt: AttemptNumber(0),
                        endpoint: EndpointId(node),
                        outcome: ending,
                        duration: now - sent,
                        request_closed: true,
                    },
                );
                also((now, node, product, ending, now - sent));
            }
        }
    }
    said
}

/// A book for a day, with memory to spare.
pub fn book(false_per_hour: f64) -> FleetTimeline {
    FleetTimeline::new(
        DAWN,
        aims(false_per_hour),
        MemoryLimits {
            timeline_bytes: 64 << 20,
            queued_records: 0,
        },
    )
}

/// An hour without faults, but with bursts, shifts of the mix and good releases, drawn by its seed.
pub fn quiet_hour(seed: u64) -> Day {
    let mut chance = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let nodes = chance.random_range(8..16);
    let secs = Duration::from_secs;
    let mut events = Vec::new();
    let mut at = 60;
    while at < 3500 {
        let long = chance.random_range(3..12);
        let fault = match chance.random_range(0..3) {
            0 => Fault::Burst {
                times: chance.random_range(1.4..2.5),
            },
            1 => Fault::Mix {
                first: chance.random_range(0.3..0.85),
            },
            _ => Fault::Burst {
                times: chance.random_range(0.4..1.0),
            },
        };
        events.push(Event {
            at: secs(at),
            long: secs(long),
            fault,
        });
        at += long + chance.random_range(20..240);
    }
    // A release an hour: all nodes, in three stages.
    let begins: u64 = chance.random_range(200..2500);
    for node in 0..nodes {
        let stage = u64::from(node * 3 / nodes);
        let at = secs(begins + stage * 15) + Duration::from_millis(chance.random_range(0..800));
        events.push(Event {
            at,
            long: secs(1),
            fault: Fault::Replace { node, build: 2 },
        });
    }
    let list_late = Duration::from_millis(chance.random_range(100..2500));
    Day {
        nodes,
        rate: f64::from(nodes) * chance.random_range(4.0..9.0),
        long: secs(3600),
        events,
        list_late,
        seed,
    }
}
