//! Owns the verdict on a day: it reads the record for the rules and knows nothing of the agent. What an agent was told
//! counts from when the stand-in had written it; each rule has its own grace.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use crate::record::{Event, Final, Kind, Seen};

/// What binds on a day.
#[derive(Clone, Copy, Debug)]
pub struct Terms {
    /// After so long nothing new goes where it may not.
    pub grace: Duration,
    /// Exposure: the window, what is free in it, and how many stages are closed to all but inquiry-like requests.
    pub span: Duration,
    pub free: f64,
    pub guarded: u8,
    /// How much later than its time an answer may come.
    pub slack: Duration,
}

impl Default for Terms {
    fn default() -> Self {
        let ms = Duration::from_millis;
        Terms {
            grace: ms(250),
            span: ms(4000),
            free: 3.0,
            guarded: 1,
            slack: ms(150),
        }
    }
}

/// What was found.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Verdict {
    pub requests: usize,
    pub settled: usize,
    pub declined: usize,
    pub voided: usize,
    /// Attempts at a forbidden build after the grace, and the latest of all after the agent was told.
    pub forbidden: usize,
    pub worst_stop: Duration,
    /// Requests without an answer in time, but for those that a killed agent held.
    pub lost: usize,
    /// Once-only requests that ran twice, and attempts of a request that overlapped.
    pub doubled: usize,
    /// Requests declined though an allowed node was free.
    pub wrongly_closed: usize,
    /// Other rules that broke, in words.
    pub broken: Vec<String>,
}

impl Verdict {
    /// Whether nothing broke.
    pub fn is_clean(&self) -> bool {
        self.forbidden + self.lost + self.doubled + self.wrongly_closed == 0
            && self.broken.is_empty()
    }

    pub fn add(&mut self, other: &Verdict) {
        self.requests += other.requests;
        self.settled += other.settled;
        self.declined += other.declined;
        self.voided += other.voided;
        self.forbidden += other.forbidden;
        self.worst_stop = self.worst_stop.max(other.worst_stop);
        self.lost += other.lost;
        self.doubled += other.doubled;
        self.wrongly_closed += other.wrongly_closed;
        self.broken.extend(other.broken.iter().cloned());
    }
}

struct Open {
    kind: Kind,
    sent: Duration,
    deadline: Duration,
    answers: Vec<(Duration, Final)>,
    /// Where attempts are out now, and how many have come whole.
    out: BTreeSet<usize>,
    got: usize,
    /// Whether an agent that held it was killed.
    orphan: bool,
    /// Whether its connection ended without a byte: between requests the agent may end one, amid one it may not.
    crossed: bool,
}

#[derive(Clone, Copy)]
struct Node {
    zone: usize,
    build: u16,
    ready: bool,
    since: Duration,
}

/// Reads a day's record.
pub fn check(events: &[Event], terms: &Terms) -> Verdict {
    let mut found = Verdict::default();
    let mut requests: BTreeMap<u32, Open> = BTreeMap::new();
    let mut nodes: BTreeMap<usize, Node> = BTreeMap::new();
    let mut forbidden: BTreeMap<(u16, Option<usize>), Duration> = BTreeMap::new();
    let mut allowed_since: BTreeMap<(u16, usize), Duration> = BTreeMap::new();
    // News of the own build: when, build, stage, whether on trial, cap.
    let mut news: Vec<(Duration, u16, u8, bool, f64)> = Vec::new();
    let mut taken: Vec<Duration> = Vec::new();
    let mut exposed: BTreeMap<u16, Vec<Duration>> = BTreeMap::new();
    for Event { at, seen } in events {
        let at = *at;
        match seen {
            Seen::Sent { id, kind, deadline } => {
                taken.push(at);
                let (answers, out) = Default::default();
                let open = Open {
                    kind: *kind,
                    sent: at,
                    deadline: *deadline,
                    answers,
                    out,
                    got: 0,
                    orphan: false,
                    crossed: false,
                };
                if requests.insert(*id, open).is_some() {
                    found
                        .broken
                        .push(format!("id {id} was sent twice: a fault of the stand-in"));
                }
            }
            Seen::Answered { id, how } => {
                let Some(open) = requests.get_mut(id) else {
                    continue;
                };
                open.answers.push((at, *how));
                if *how == Final::Declined && !open.orphan {
                    let since = open.sent.saturating_sub(terms.grace);
                    let free = |node: &Node| {
                        let zones = [Some(node.zone), None];
                        let shut = zones
                            .iter()
                            .any(|zone| forbidden.contains_key(&(node.build, *zone)));
                        let opened = allowed_since
                            .get(&(node.build, node.zone))
                            .copied()
                            .unwrap_or_default();
                        let stage = news
                            .last()
                            .filter(|n| n.1 <= node.build && n.3 || n.1 < node.build);
                        let released = stage.is_none();
                        node.ready && node.since <= since && !shut && opened <= since && released
                    };
                    found.wrongly_closed += usize::from(nodes.values().any(free));
                }
            }
            Seen::Crossed { id } => {
                if let Some(open) = requests.get_mut(id) {
                    open.crossed = true;
                }
            }
            Seen::Got {
                id,
                node,
                build,
                zone,
            } => {
                for key in [(*build, Some(*zone)), (*build, None)] {
                    if let Some(since) = forbidden.get(&key) {
                        let late = at - *since;
                        found.worst_stop = found.worst_stop.max(late);
                        found.forbidden += usize::from(late > terms.grace);
                    }
                }
                if let Some(listed) = nodes
                    .get(node)
                    .filter(|n| !n.ready && at > n.since + terms.grace)
                {
                    let late = (at - listed.since).as_millis();
                    found.broken.push(format!(
                        "node {node} got request {id} {late} ms after it was drained"
                    ));
                }
                let Some(open) = requests.get_mut(id) else {
                    found
                        .broken
                        .push(format!("node {node} got request {id}, which nobody sent"));
                    continue;
                };
                if !open.answers.is_empty() {
                    found
                        .broken
                        .push(format!("request {id} went out after its answer"));
                }
                if !open.out.is_empty() || (open.kind == Kind::Book && open.got > 0 && !open.orphan)
                {
                    found.doubled += 1;
                }
                open.got += 1;
                open.out.insert(*node);
                let last = news.last().copied();
                if let Some((told, newest, stage, true, _)) = last.filter(|n| n.1 == *build) {
                    if stage < terms.guarded && open.kind != Kind::Read && at > told + terms.grace {
                        found.broken.push(format!(
                            "request {id} with an effect at build {newest} in stage {stage}"
                        ));
                    }
                    let sent = exposed.entry(*build).or_default();
                    sent.push(at);
                    let from = at.saturating_sub(terms.span);
                    let many = sent.iter().rev().take_while(|t| **t > from).count() as f64;
                    let asked = taken.iter().rev().take_while(|t| **t > from).count() as f64;
                    // The highest cap that was in force somewhere in the window, its own grace behind it.
                    let cap = |i: usize| {
                        news.get(i + 1)
                            .is_none_or(|next| next.0 + terms.grace > from)
                    };
                    let caps = (0..news.len())
                        .filter(|i| news[*i].1 == *build && cap(*i))
                        .map(|i| news[i].4);
                    let cap = caps.fold(0.0, f64::max);
                    if many > terms.free + 2.0 + cap * 1.04 * asked {
                        found.broken.push(format!(
                            "build {build} got {many} of {asked} requests at a cap of {cap}"
                        ));
                    }
                }
            }
            Seen::Done { id, node, .. } => {
                if let Some(open) = requests.get_mut(id) {
                    open.out.remove(node);
                }
            }
            Seen::Listed {
                node,
                zone,
                build,
                ready,
            } => {
                nodes.insert(
                    *node,
                    Node {
                        zone: *zone,
                        build: *build,
                        ready: *ready,
                        since: at,
                    },
                );
            }
            Seen::News {
                build,
                stage,
                on_trial,
                cap,
            } => news.push((at, *build, *stage, *on_trial, *cap)),
            Seen::Forbidden { build, zone } => {
                forbidden.entry((*build, *zone)).or_insert(at);
            }
            Seen::Allowed { build, zone } => {
                forbidden.remove(&(*build, *zone));
                let zones: Vec<usize> =
                    zone.map_or_else(|| nodes.values().map(|n| n.zone).collect(), |z| vec![z]);
                allowed_since.extend(zones.into_iter().map(|zone| ((*build, zone), at)));
            }
            Seen::Killed => {
                requests
                    .values_mut()
                    .filter(|open| open.answers.is_empty())
                    .for_each(|open| open.orphan = true);
            }
            Seen::Up | Seen::Vote { .. } | Seen::Note(_) => {}
        }
    }
    found.requests = requests.len();
    for (id, open) in &requests {
        let last = open.sent + open.deadline + terms.slack;
        match open.answers[..] {
            [(at, how)] if at <= last && how != Final::Lost => match how {
                Final::Settled => found.settled += 1,
                Final::Declined => found.declined += 1,
                _ => found.voided += 1,
            },
            _ if open.orphan => {}
            [] if open.crossed && open.got == 0 => {}
            [] | [_] => found.lost += 1,
            _ => found
                .broken
                .push(format!("request {id} has {} answers", open.answers.len())),
        }
    }
    found
}
