//! Owns the measurement of time lines: faults on loopback and how soon the agent names them, false events over hours of
//! virtual days, two simpler rules of our own on the same days, kills of the store, and what recording costs.
use std::collections::BTreeMap;
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant, SystemTime, UNIX_EPOCH};

use lilacgate_decision::{AttemptNumber, EndpointId, Outcome, RequestClass, RequestId};
use lilacgate_store::reader::read;
use lilacgate_timeline::entry::{DepartureKind, DepartureScope, Entry, Event, Record};
use lilacgate_timeline::fleet_timeline::AttemptEnd;

use crate::days::order;
use crate::kills;
use crate::record::Seen;
use crate::town::{Manners, State, Town, Traffic};
use crate::virtually::{self, DAWN, Day, Fault};

const SETTLED: Duration = Duration::from_secs(13);
const FAULT: Duration = Duration::from_secs(6);
const MENDED: Duration = Duration::from_secs(7);
const NODES: usize = 6;
/// Towns that are played beside each other, and faults in each.
const TOWNS: u64 = 21;
const FAULTS: usize = 2;
/// Virtual hours, and the rate that is set.
const HOURS: u64 = 104;
const RATE: f64 = 0.5;
const KILLS: u32 = 100;

/// What befalls a node on loopback, and the kinds of departure that name it.
const CAUSES: [(&str, &[&str]); 8] = [
    ("errors", &["Errors"]),
    ("slow", &["Latency"]),
    ("one product fails", &["Errors"]),
    ("one product slow", &["Latency"]),
    ("silent", &["Silence"]),
    ("refuses", &["Links"]),
    ("restart", &["Restart", "Links"]),
    ("all slow", &["Latency"]),
];

fn traffic() -> Traffic {
    Traffic {
        clients: 10,
        pause: Duration::from_millis(30),
        deadline: Duration::from_millis(1000),
    }
}

fn town(program: &Path, seed: u64, timeline: &str) -> Option<Town> {
    let state = State {
        build: 1,
        stage: 3,
        course: "Healthy",
        cap: 1.0,
    };
    let mut town = Town::new(program, seed, state, Box::new(|_, _, _, _| None));
    for place in 0..NODES {
        town.node(Manners::good(1, place % 2, Duration::from_millis(4)));
    }
    let text = order(&town, "", "").replace("</operator>", &format!("{timeline}</operator>"));
    town.order(&text);
    town.up(true).then(|| {
        town.open(traffic());
        town
    })
}

/// Sets a cause at a node, or takes all causes away.
fn set(town: &mut Town, cause: Option<&str>, node: usize) {
    for number in 0..NODES {
        let takes = Duration::from_millis(4);
        town.change(number, |manners| {
            *manners = Manners::good(1, number % 2, takes)
        });
    }
    let change = |manners: &mut Manners| match cause {
        Some("errors") => manners.fails = 0.6,
        Some("slow") => manners.takes *= 8,
        Some("one product fails") => manners.odd = Some(("post", 1.0, 0.8)),
        Some("one product slow") => manners.odd = Some(("read", 8.0, 0.0)),
        Some("silent") => manners.silent = true,
        Some("refuses") => manners.refuses = true,
        _ => {}
    };
    match cause {
        Some("all slow") => {
            (0..NODES).for_each(|number| town.change(number, |manners| manners.takes *= 6))
        }
        Some("restart") => town.start_anew(node),
        Some(_) => town.change(node, change),
        None => {}
    }
}

/// A fault that was injected, and how long after it was named; and departures that name none.
struct Found {
    cause: &'static str,
    after: Option<f64>,
}

/// Plays a town with its faults, one after another.
fn faults(program: &Path, seed: u64) -> (Vec<Found>, Vec<String>) {
    let Some(mut town) = town(
        program,
        seed,
        &format!("<timeline false-events-per-hour=\"{RATE}\"/>"),
    ) else {
        return (Vec::new(), vec!["the agent does not come up".into()]);
    };
    town.pass(SETTLED);
    let wall = || {
        SystemTime::now()
            .duration_since(UNIX_EPOCH)
            .unwrap_or_default()
            .as_secs_f64()
    };
    let mut injected = Vec::new();
    for i in 0..FAULTS {
        let (cause, names) = CAUSES[(seed as usize * FAULTS + i) % CAUSES.len()];
        let node = (seed as usize + i * 2) % NODES;
        injected.push((wall(), cause, names, node));
        set(&mut town, Some(cause), node);
        town.pass(FAULT);
        set(&mut town, None, node);
        if i + 1 < FAULTS {
            town.pass(MENDED);
        }
    }
    let log = town.close();
    // The log's lines begin with the time.
    let said = |line: &str| {
        let (at, text) = line.split_once(' ')?;
        let text = text
            .strip_prefix("timeline: departure ")?
            .split_once(": ")?
            .1
            .to_owned();
        Some((at.parse::<f64>().ok()?, text))
    };
    let mut said: Vec<(f64, String)> = log.lines().filter_map(said).collect();
    let mut found = Vec::new();
    for (at, cause, names, node) in injected {
        let whom = if cause == "all slow" {
            "the fleet: ".into()
        } else {
            format!("node s-d{node}: ")
        };
        let named = |(when, text): &(f64, String)| {
            let fits = text.starts_with(&whom)
                && names
                    .iter()
                    .any(|name| text[whom.len()..].starts_with(name));
            fits && *when >= at && *when < at + (FAULT + MENDED).as_secs_f64()
        };
        let place = said.iter().position(named);
        found.push(Found {
            cause,
            after: place.map(|place| said.remove(place).0 - at),
        });
    }
    (found, said.into_iter().map(|(_, text)| text).collect())
}

/// The agent is stopped for two seconds, and goes on. What departures it names, and whether its own line says so.
///
/// # Errors
/// Where the town itself fails.
pub fn stopped(program: &Path) -> Result<(Vec<String>, bool), String> {
    let folder = tempfile::tempdir().map_err(|fault| fault.to_string())?;
    let timeline = format!("<timeline store=\"{}\"/>", folder.path().display());
    let mut town = town(program, 99, &timeline).ok_or("the agent does not come up")?;
    town.pass(SETTLED);
    let signal = |town: &Town, name| town.agent.as_ref().map(|agent| agent.signal(name));
    signal(&town, "STOP");
    town.pass(Duration::from_secs(2));
    signal(&town, "CONT");
    town.pass(Duration::from_secs(3));
    let log = town.close();
    // Killed as it was: what it had handed over is in the store.
    let kept = read(folder.path()).map_err(|fault| fault.to_string())?;
    let still = |record: &Record| {
        matches!(
            record,
            Record::Entry(Entry {
                event: Event::Paused { .. },
                ..
            })
        )
    };
    let said = log
        .lines()
        .filter(|line| line.contains("timeline: departure"))
        .map(str::to_owned);
    Ok((said.collect(), kept.records.iter().any(still)))
}

/// A rule of our own that is simpler: by node and second, what it says of failures and of latency.
trait Rule: Default {
    /// Looks at a second of a node: the share of failures, the mean latency as a multiple of its product's, requests.
    fn second(&mut self, node: u32, fails: f64, latency: f64, many: u32) -> Option<DepartureKind>;
}

/// More than a fifth failed, or twice as slow as the work should take.
#[derive(Default)]
struct Fixed;

impl Rule for Fixed {
    fn second(&mut self, _: u32, fails: f64, latency: f64, many: u32) -> Option<DepartureKind> {
        match many >= 3 {
            true if fails > 0.2 => Some(DepartureKind::Errors),
            true if latency > 2.0 => Some(DepartureKind::Latency),
            _ => None,
        }
    }
}

/// An exponentially weighted mean and its deviation; three deviations are an event.
#[derive(Default)]
struct Weighted(BTreeMap<(u32, bool), (f64, f64, u32)>);

impl Rule for Weighted {
    fn second(&mut self, node: u32, fails: f64, latency: f64, many: u32) -> Option<DepartureKind> {
        let mut event = None;
        for (kind, x) in [
            (DepartureKind::Errors, fails),
            (DepartureKind::Latency, latency),
        ] {
            let (mean, var, seen) = self
                .0
                .entry((node, kind == DepartureKind::Errors))
                .or_insert((x, 0.0, 0));
            *seen += 1;
            if *seen > 30 && many >= 3 && x > *mean + 3.0 * var.sqrt().max(0.01) {
                event = event.or(Some(kind));
            }
            let off = x - *mean;
            *mean += 0.05 * off;
            *var = 0.95 * (*var + 0.05 * off * off);
        }
        event
    }
}

/// Plays a rule on outcomes: when and at which node it says what; the same again within 10 s is one event.
struct Judge<R> {
    rule: R,
    second: u64,
    sums: BTreeMap<u32, (f64, f64, u32)>,
    last: BTreeMap<(u32, DepartureKind), u64>,
    events: Vec<(Duration, u32, DepartureKind)>,
}

impl<R: Rule> Judge<R> {
    fn new() -> Self {
        let (second, sums, last, events) = Default::default();
        Judge {
            rule: R::default(),
            second,
            sums,
            last,
            events,
        }
    }

    fn take(&mut self, (now, node, product, ending, took): virtually::EndedAttempt) {
        let second = now.as_secs();
        if second != self.second {
            for (node, (fails, latency, many)) in std::mem::take(&mut self.sums) {
                let all = f64::from(many.max(1));
                let Some(kind) = self.rule.second(node, fails / all, latency / all, many) else {
                    continue;
                };
                if self
                    .last
                    .insert((node, kind), second)
                    .is_none_or(|last| second > last + 10)
                {
                    self.events.push((now, node, kind));
                }
            }
            self.second = second;
        }
        let usual = [0.030, 0.045, 0.020][usize::from(product)];
        let sum = self.sums.entry(node).or_default();
        *sum = (
            sum.0 + f64::from(u8::from(ending != Outcome::Succeeded)),
            sum.1 + took.as_secs_f64() / usual,
            sum.2 + 1,
        );
    }
}

/// What three rules say: the time line's own, a fixed bound, and a weighted mean.
type Three = [f64; 3];

/// False events in quiet hours, and the most octets of a node.
fn quiet(threads: usize) -> (Three, usize) {
    let (next, sum) = (AtomicU64::new(0), Mutex::new(([0.0; 3], 0)));
    std::thread::scope(|scope| {
        for _ in 0..threads {
            scope.spawn(|| {
                loop {
                    let seed = next.fetch_add(1, Ordering::Relaxed);
                    if seed >= HOURS {
                        return;
                    }
                    let (mut fixed, mut weighted) =
                        (Judge::<Fixed>::new(), Judge::<Weighted>::new());
                    let mut book = virtually::book(RATE);
                    let said =
                        virtually::play(&virtually::quiet_hour(seed), &mut book, &mut |outcome| {
                            fixed.take(outcome);
                            weighted.take(outcome);
                        });
                    let own = said.iter().filter(|(_, _, begins)| *begins).count();
                    let octets = book.memory_bytes() / book.nodes().count().max(1);
                    let mut sum = sum.lock().expect("a lock");
                    for (all, one) in
                        sum.0
                            .iter_mut()
                            .zip([own, fixed.events.len(), weighted.events.len()])
                    {
                        *all += one as f64;
                    }
                    sum.1 = sum.1.max(octets);
                }
            });
        }
    });
    sum.into_inner().expect("a lock")
}

/// Virtual days with one fault each: how many each rule names at the right node within 5 s, of how many.
fn virtual_faults() -> ([usize; 3], usize) {
    let secs = Duration::from_secs;
    let kinds: [(Fault, DepartureKind); 6] = [
        (
            Fault::Errors {
                node: 3,
                share: 0.4,
                product: None,
            },
            DepartureKind::Errors,
        ),
        (
            Fault::Errors {
                node: 3,
                share: 0.6,
                product: Some(1),
            },
            DepartureKind::Errors,
        ),
        (
            Fault::Slow {
                node: 3,
                times: 4.0,
                product: None,
            },
            DepartureKind::Latency,
        ),
        (
            Fault::Slow {
                node: 3,
                times: 5.0,
                product: Some(1),
            },
            DepartureKind::Latency,
        ),
        (Fault::Silent { node: 3 }, DepartureKind::Silence),
        (Fault::Unlinked { node: 3 }, DepartureKind::Links),
    ];
    let (mut found, mut all) = ([0; 3], 0);
    for seed in 0..5 {
        for (fault, kind) in kinds {
            let events = vec![virtually::Event {
                at: secs(60),
                long: secs(15),
                fault,
            }];
            let day = Day {
                nodes: 10,
                rate: 100.0,
                long: secs(80),
                events,
                list_late: secs(1),
                seed,
            };
            let (mut fixed, mut weighted) = (Judge::<Fixed>::new(), Judge::<Weighted>::new());
            let mut book = virtually::book(RATE);
            let said = virtually::play(&day, &mut book, &mut |outcome| {
                fixed.take(outcome);
                weighted.take(outcome);
            });
            let soon = |at: Duration| at >= DAWN + secs(60) && at <= DAWN + secs(65);
            let own = said.iter().any(|(at, d, b)| {
                *b && soon(*at) && d.scope == DepartureScope::Node(3) && d.kind == kind
            });
            // Any word of the right node counts for the others: they know failures and latency only.
            let of = |events: &[(Duration, u32, DepartureKind)]| {
                events.iter().any(|(at, node, _)| *node == 3 && soon(*at))
            };
            if !own {
                println!(
                    "virtual, not named in 5 s: {fault:?} seed {seed}: {:?}",
                    said.iter()
                        .map(|(at, d, b)| (
                            (*at - DAWN).as_secs_f64(),
                            d.scope,
                            d.kind,
                            d.class,
                            *b
                        ))
                        .collect::<Vec<_>>()
                );
            }
            let hits = [own, of(&fixed.events), of(&weighted.events)];
            found
                .iter_mut()
                .zip(hits)
                .for_each(|(sum, hit)| *sum += usize::from(hit));
            all += 1;
        }
    }
    (found, all)
}

/// The time that recording one request takes, in nanoseconds.
fn record_ns() -> f64 {
    let mut book = virtually::book(RATE);
    let lines: Vec<lilacgate_decision::Endpoint> = (0..14)
        .map(|node| virtually::listed(node, 1, None))
        .collect();
    book.apply_list_update(DAWN, lilacgate_decision::ListUpdate::Full, &lines);
    let many = 300_000u32;
    let mut spent = Vec::new();
    for chunk in 0..many / 1000 {
        let began = Instant::now();
        for i in 0..1000 {
            let (id, node) = (RequestId(chunk * 1000 + i), EndpointId(i % 14));
            let now = DAWN + Duration::from_micros(u64::from(chunk * 1000 + i) * 500);
            book.request_started(id, RequestClass((i % 3) as u8));
            book.attempt_started(now, id, AttemptNumber(0), node);
            let took = Duration::from_micros(20_000 + u64::from(i * 7 % 9000));
            book.attempt_ended(
                now + took,
                &AttemptEnd {
                    request: id,
                    attempt: AttemptNumber(0),
                    endpoint: node,
                    outcome: Outcome::Succeeded,
                    duration: took,
                    request_closed: true,
                },
            );
        }
        book.advance(DAWN + Duration::from_micros(u64::from(chunk + 1) * 500_000));
        // A thousand requests, and the tick behind them.
        spent.push(began.elapsed().as_secs_f64() * 1e9 / 1000.0);
    }
    spent.sort_by(f64::total_cmp);
    spent[spent.len() / 2]
}

/// How much more processor time a request takes with lines than without, as a share: towns of both kinds beside each
/// other.
fn cpu_share(program: &Path) -> f64 {
    let one = |timeline: &str, seed: u64| {
        let mut town = town(program, seed, timeline)?;
        town.pass(Duration::from_secs(2));
        let sent = |town: &Town| {
            town.record
                .events()
                .iter()
                .filter(|e| matches!(e.seen, Seen::Sent { .. }))
                .count()
        };
        let (from, before) = (town.cpu()?, sent(&town));
        town.pass(Duration::from_secs(11));
        let (spent, requests) = (town.cpu()? - from, sent(&town) - before);
        town.close();
        Some(spent.as_secs_f64() / requests.max(1) as f64)
    };
    std::thread::scope(|scope| {
        let towns: Vec<_> = (0..12)
            .map(|seed| {
                scope.spawn(move || one(if seed % 2 == 0 { "<timeline/>" } else { "" }, 500 + seed))
            })
            .collect();
        let spent: Vec<Option<f64>> = towns
            .into_iter()
            .map(|town| town.join().ok().flatten())
            .collect();
        let sum = |odd: usize| spent.iter().skip(odd).step_by(2).flatten().sum::<f64>();
        sum(0) / sum(1) - 1.0
    })
}

/// Measures, and prints the line of figures last. Whether all that is to be reached was.
pub fn measure(program: &Path) -> bool {
    let began = Instant::now();
    let record_ns = record_ns();
    let own = std::env::current_exe().unwrap_or_default();
    let (played, (quiet, octets), (kills, lost)) = std::thread::scope(|scope| {
        let towns: Vec<_> = (0..TOWNS)
            .map(|seed| scope.spawn(move || faults(program, seed)))
            .collect();
        let quiet = scope.spawn(|| quiet(3));
        let kills = scope.spawn(|| kills::trial(&own, KILLS, 7));
        let played: Vec<_> = towns
            .into_iter()
            .map(|town| town.join().expect("a town"))
            .collect();
        let kills = kills.join().expect("the trial").unwrap_or((0, usize::MAX));
        (played, quiet.join().expect("quiet hours"), kills)
    });
    let cpu = cpu_share(program);
    let (of_faults, all_faults) = virtual_faults();
    let mut times: Vec<f64> = Vec::new();
    let mut injected = 0;
    let mut strays = 0;
    for (found, others) in &played {
        for one in found {
            injected += 1;
            match one.after {
                Some(after) => {
                    println!("named: {} after {after:.2} s", one.cause);
                    times.push(after);
                }
                None => println!("not named: {}", one.cause),
            }
        }
        strays += others.len();
        others
            .iter()
            .for_each(|text| println!("named besides: {text}"));
    }
    times.sort_by(f64::total_cmp);
    let worst = times.last().copied().unwrap_or(f64::NAN);
    let p50 = times.get(times.len() / 2).copied().unwrap_or(f64::NAN);
    // The upper bound at 95% of a Poisson rate, by its usual approximation.
    let hours = HOURS as f64;
    let upper = |events: f64| {
        if events == 0.0 {
            3.0 / hours
        } else {
            (events + 1.645 * (events + 1.0).sqrt() + 1.35) / hours
        }
    };
    for (name, i) in [("fixed bound", 1), ("weighted mean, three deviations", 2)] {
        println!(
            "baseline {name}: false_per_hour={:.2} named within 5 s={}/{all_faults}",
            quiet[i] / hours,
            of_faults[i]
        );
    }
    let (fails, upper) = (quiet[0] / hours, upper(quiet[0]));
    println!(
        "measure timeline: faults={injected} found={} worst_s={worst:.2} p50_s={p50:.2} strays={strays} \
         false_per_hour={fails:.3} false_upper95={upper:.3} fleet_hours={HOURS} virtual_found={}/{all_faults} \
         record_ns={record_ns:.0} bytes_per_node={octets} kills={kills} lost_records={lost} agent_cpu_share={cpu:.3} seconds={:.0}",
        times.len(),
        of_faults[0],
        began.elapsed().as_secs_f64()
    );
    times.len() == injected && worst < 5.0 && upper < 1.0 && lost == 0 && kills >= KILLS
}
