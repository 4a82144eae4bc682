//! How reports of outcomes reach the judges of a large fleet: agents form groups, and each group has one relay
//! that adds up its members' counts and reports the sums in its own name. Nothing here decides on a build.
use std::collections::BTreeMap;
use std::ops::{Bound, Range};
use std::time::Duration;

use crate::actions::Actions;
use crate::model::{AgentId, Build, EndpointId, RequestClass};
use crate::parts::ReleaseAnalysis;
use crate::report::{self, Entry, LONGEST, MOST_ENTRIES, Version};

/// Up to so many agents, each reports to the judges directly. Relays cost a report a second hop, which is one
/// more chance to be lost, and pay only where the judges would hear more than [`BUDGET`].
const MOST_DIRECT: u32 = 300;
/// What an agent may hear of reports in one `min-dwell`, headers included: so many datagrams of full length.
/// Its senders share this evenly, and each waits as long after a report as its part of it takes. What is
/// unused is not kept: with a token bucket of half a `min-dwell` for each, judges heard more than this.
const BUDGET: usize = 24 * LONGEST;
/// The headers of IPv4 and UDP.
const HEADERS: usize = 28;
/// A group has so many times as many members as there are groups. Fewer groups shorten the waits of relays,
/// more those of members; with half of this, verdicts on a build with 5 % failures came later.
const MEMBERS_PER_GROUP_COUNT: u32 = 8;
/// For so many times `min-dwell` one agent is its group's relay, then the next. A relay that died costs what
/// its group reports until then.
const TERM: u32 = 4;

/// The groups that agents form for one build at one time.
struct Groups {
    agent_count: u32,
    count: u32,
    judges: Vec<AgentId>,
    /// Which member of each group is its relay, counted round the group.
    turn: u64,
}

impl Groups {
    fn new(agent_count: u32, judges: Vec<AgentId>, turn: u64) -> Self {
        let count = (agent_count / MEMBERS_PER_GROUP_COUNT).isqrt().max(1);
        Groups {
            agent_count,
            count,
            judges,
            turn,
        }
    }

    /// Neighbours in number prefer the same appliances, which keeps the sum of their reports short.
    fn members(&self, agent: AgentId) -> Range<u32> {
        let group = u64::from(agent.0) * u64::from(self.count) / u64::from(self.agent_count);
        let first = |group: u64| {
            (group * u64::from(self.agent_count)).div_ceil(u64::from(self.count)) as u32
        };
        first(group)..first(group + 1)
    }

    /// The relay of an agent's group; judges have none.
    fn relay(&self, agent: AgentId) -> Option<AgentId> {
        if self.judges.contains(&agent) {
            return None;
        }
        let members = || {
            self.members(agent)
                .map(AgentId)
                .filter(|member| !self.judges.contains(member))
        };
        let size = members().count() as u64;
        members().nth((self.turn % size) as usize)
    }

    /// Whether one agent may have to pass on what another reports.
    fn share_a_group(&self, one: AgentId, other: AgentId) -> bool {
        let judge = self.judges.contains(&one) || self.judges.contains(&other);
        !judge && self.members(one).contains(&other.0)
    }

    /// How many agents report to a judge: the relays and the other judges.
    fn senders_to_judge(&self) -> u32 {
        self.count + self.judges.len().saturating_sub(1) as u32
    }
}

/// Where an agent's own reports go.
struct Route {
    to: Vec<AgentId>,
    /// The relay among these.
    relay: Option<AgentId>,
    /// How many send to the same receiver; unknown where reports go to the judges directly.
    senders: Option<u32>,
}

impl Route {
    /// How long an agent waits after a report of this length before its next one.
    fn pause(&self, octets: usize, dwell: Duration, direct: f64) -> Duration {
        self.senders.map_or(dwell.mul_f64(direct), |senders| {
            pause(octets, dwell, senders)
        })
    }
}

/// How long a datagram's part of the receiver's budget takes, if so many share it.
fn pause(octets: usize, dwell: Duration, senders: u32) -> Duration {
    dwell.mul_f64((octets + HEADERS) as f64 * f64::from(senders) / BUDGET as f64)
}

/// Which outcomes a sum is of: at a trial appliance or at earlier builds, and of which product.
type Key = (Option<EndpointId>, RequestClass);

/// What a relay has heard from its group and not yet passed on.
#[derive(Default)]
pub(crate) struct Pool {
    counts: BTreeMap<Key, [u32; 4]>,
    sums: [u32; 3],
    /// The last key that was passed on; the next report begins behind it.
    last: Key,
    /// When the next report may go.
    due: Duration,
}

impl Pool {
    fn add(&mut self, sums: [u16; 3], entries: impl Iterator<Item = Entry>) {
        add_each(&mut self.sums, sums.map(u32::from));
        for (trial, class, counts) in entries {
            add_each(
                self.counts.entry((trial, class)).or_default(),
                counts.map(u32::from),
            );
        }
    }

    /// Whether there is anything to pass on.
    pub(crate) fn has_counts(&self) -> bool {
        !self.counts.is_empty()
    }

    /// What fits into one report, in turn by key; the rest stays. A sum that no single entry can hold takes
    /// several.
    fn take(&mut self) -> ([u16; 3], Vec<Entry>) {
        let behind = self
            .counts
            .range((Bound::Excluded(self.last), Bound::Unbounded));
        let keys: Vec<Key> = behind
            .chain(self.counts.range(..=self.last))
            .map(|(&key, _)| key)
            .collect();
        let mut entries = Vec::new();
        for (trial, class) in keys {
            let Some(counts) = self.counts.get_mut(&(trial, class)) else {
                continue;
            };
            while *counts != [0; 4] && entries.len() < MOST_ENTRIES {
                let part = take_part(counts, u8::MAX.into());
                entries.push((trial, class, part.map(|count| count as u8)));
                self.last = (trial, class);
            }
        }
        self.counts.retain(|_, counts| *counts != [0; 4]);
        (
            take_part(&mut self.sums, u16::MAX.into()).map(|sum| sum as u16),
            entries,
        )
    }
}

fn add_each<const N: usize>(sums: &mut [u32; N], numbers: [u32; N]) {
    sums.iter_mut()
        .zip(numbers)
        .for_each(|(sum, number)| *sum = sum.saturating_add(number));
}

/// Takes as much as the largest of these numbers allows, of all the same share, so that what is taken and what
/// is left tell the same.
fn take_part<const N: usize>(numbers: &mut [u32; N], most: u32) -> [u32; N] {
    let largest = numbers.iter().copied().max().unwrap_or_default();
    numbers.each_mut().map(|number| {
        let part = match largest <= most {
            true => *number,
            false => (u64::from(*number) * u64::from(most) / u64::from(largest)) as u32,
        };
        *number -= part;
        part
    })
}

impl ReleaseAnalysis {
    /// Whether this fleet's reports go through relays: there are too many agents for the judges to hear each of them.
    fn uses_relays(&self) -> bool {
        self.relayed
            && self.fleet_position.can_message_peers
            && self.fleet_position.agent_count > MOST_DIRECT
    }

    fn groups(&self, now: Duration, build: Build) -> Option<Groups> {
        if !self.uses_relays() {
            return None;
        }
        let term = (self.dwell * TERM).as_millis().max(1);
        let turn = u64::from(build.0) + (now.as_millis() / term) as u64;
        Some(Groups::new(
            self.fleet_position.agent_count,
            self.judges(build).collect(),
            turn,
        ))
    }

    /// Where this agent's own reports on a build go now.
    fn route(&self, now: Duration, build: Build) -> Route {
        let groups = self.groups(now, build);
        if let Some(groups) = &groups
            && let Some(relay) = groups.relay(self.fleet_position.own_id)
        {
            let members = groups.members(self.fleet_position.own_id);
            let senders = Some(members.end - members.start);
            return Route {
                to: vec![relay],
                relay: Some(relay),
                senders,
            };
        }
        let senders = groups.map(|groups| groups.senders_to_judge());
        let to = self
            .judges(build)
            .filter(|_| self.fleet_position.can_message_peers)
            .collect();
        Route {
            to,
            relay: None,
            senders,
        }
    }

    /// The version of the next report. Where there are relays its number tells when the report was made, in
    /// milliseconds after the agent's start.
    fn next_version(&mut self, now: Duration) -> Version {
        let (start, last) = self.own.version;
        let next = last.wrapping_add(1);
        let since_start = (now.as_millis() as u32).wrapping_sub(start);
        self.own.version.1 = if self.uses_relays() {
            next.max(since_start)
        } else {
            next
        };
        self.own.version
    }

    /// Sends an own report on its way; a relay keeps its own with those of its group. `direct` is the pause
    /// until the next one as a share of a `min-dwell`, where there are no relays.
    pub(crate) fn send_report(
        &mut self,
        now: Duration,
        build: Build,
        sums: [u16; 3],
        direct: f64,
        out: &mut dyn Actions,
    ) {
        let route = self.route(now, build);
        let version = self.next_version(now);
        let octets = report::write(build, version, sums, report::drain(&mut self.own.report));
        self.own.report_at = now + route.pause(octets.len(), self.dwell, direct);
        if route.relay == Some(self.fleet_position.own_id)
            && let Some((.., sums, entries)) = report::read(&octets)
        {
            self.own.pooled.add(sums, entries);
        }
        for &to in route
            .to
            .iter()
            .filter(|to| **to != self.fleet_position.own_id)
        {
            out.send_to_peer(Some(to), &octets);
        }
    }

    /// Takes in a report that is for this agent to pass on. What was made before it started, an earlier life
    /// of it may have passed on already: a `min-dwell` is left for clocks that differ.
    pub(crate) fn pool_for_group(
        &mut self,
        now: Duration,
        from: AgentId,
        (build, version): (Build, Version),
        sums: [u16; 3],
        entries: impl Iterator<Item = Entry>,
    ) {
        let made = version.0.wrapping_add(version.1);
        let since_start = made.wrapping_sub(self.own.version.0) as i32;
        let earliest = i32::try_from(self.dwell.as_millis()).unwrap_or(i32::MAX);
        let mine = |groups: Groups| groups.share_a_group(self.fleet_position.own_id, from);
        if since_start > earliest && self.groups(now, build).is_some_and(mine) {
            self.own.heard.insert(from, version);
            self.own.pooled.add(sums, entries);
        }
    }

    /// Passes on to the judges what this agent has heard from its group, when that is due.
    pub(crate) fn pass_on(&mut self, now: Duration, build: Build, out: &mut dyn Actions) {
        if self.own.build != Some(build)
            || !self.own.pooled.has_counts()
            || now < self.own.pooled.due
        {
            return;
        }
        let Some(groups) = self.groups(now, build) else {
            return;
        };
        let (sums, entries) = self.own.pooled.take();
        let octets = report::write(build, self.next_version(now), sums, entries.into_iter());
        self.own.pooled.due = now + pause(octets.len(), self.dwell, groups.senders_to_judge());
        for judge in groups.judges {
            out.send_to_peer(Some(judge), &octets);
        }
    }
}
