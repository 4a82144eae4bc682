//! Who receives reports: a few agents aggregate those of all. In a large fleet agents form groups, and each
//! group has one relay that adds up its members' counts and reports the sums in its own name.
use std::ops::Range;
use std::time::Duration;

use super::codec::MAX_REPORT_LENGTH;
use crate::model::{AgentId, Build, FleetPosition};

/// How many agents aggregate the others' reports.
const AGGREGATORS: u32 = 3;
/// Up to so many agents, each reports to the aggregators directly. Relays cost a report a second hop, which is
/// one more chance to be lost, and pay only where the aggregators would receive more than [`RECEIVER_BUDGET`].
const MAX_DIRECT_AGENTS: u32 = 300;
/// Bytes of reports, headers included, that an agent may receive in one minimum stage time: so many datagrams
/// of full length. Its senders share this evenly, and each waits as long after a report as its part of it takes.
/// What is unused is not kept: with a token bucket of half a minimum stage time for each sender, aggregators
/// received more than this.
const RECEIVER_BUDGET: usize = 24 * MAX_REPORT_LENGTH;
/// Bytes of the headers of IPv4 and UDP.
const DATAGRAM_HEADERS: usize = 28;
/// A group has so many times as many members as there are groups. Fewer groups shorten the waits of relays, more
/// those of members; with half of this, votes on a build with 5 % failures came later.
const MEMBERS_PER_GROUP_COUNT: u32 = 8;
/// For so many minimum stage times one agent is its group's relay, then the next. A relay that died costs what
/// its group reports until then.
const RELAY_TERM: u32 = 4;

/// What the ways of reports depend on.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportRouting {
    pub(crate) fleet_position: FleetPosition,
    pub(crate) minimum_stage_time: Duration,
    pub(crate) use_relays: bool,
}

/// The agents that aggregate the reports on a build: a few, spread by the build's number, so that hundreds need
/// not exchange reports with each other.
pub(crate) fn aggregators(
    fleet_position: FleetPosition,
    build: Build,
) -> impl Iterator<Item = AgentId> + use<> {
    let agent_count = fleet_position.agent_count.max(1);
    let aggregator_count = fleet_position.agent_count.clamp(1, AGGREGATORS);
    let first = u32::from(build.0);
    (0..aggregator_count)
        .map(move |i| AgentId((first + i * agent_count / aggregator_count) % agent_count))
}

/// Whether this agent aggregates the reports on a build.
pub(crate) fn is_aggregator(fleet_position: FleetPosition, build: Build) -> bool {
    aggregators(fleet_position, build).any(|agent| agent == fleet_position.own_id)
}

/// The groups that agents form for one build at one time.
pub(crate) struct RelayGroups {
    agent_count: u32,
    group_count: u32,
    pub(crate) aggregators: Vec<AgentId>,
    /// Which member of each group is its relay, counted round the group.
    turn: u64,
}

impl RelayGroups {
    fn new(agent_count: u32, aggregators: Vec<AgentId>, turn: u64) -> Self {
        let group_count = (agent_count / MEMBERS_PER_GROUP_COUNT).isqrt().max(1);
        RelayGroups {
            agent_count,
            group_count,
            aggregators,
            turn,
        }
    }

    /// Neighbours in number prefer the same endpoints, which keeps the sum of their reports short.
    fn members(&self, agent: AgentId) -> Range<u32> {
        let (agent_count, group_count) = (u64::from(self.agent_count), u64::from(self.group_count));
        let group = u64::from(agent.0) * group_count / agent_count;
        let first = |group: u64| (group * agent_count).div_ceil(group_count) as u32;
        first(group)..first(group + 1)
    }

    /// The relay of an agent's group; aggregators have none.
    fn relay(&self, agent: AgentId) -> Option<AgentId> {
        if self.aggregators.contains(&agent) {
            return None;
        }
        let members = || {
            self.members(agent)
                .map(AgentId)
                .filter(|member| !self.aggregators.contains(member))
        };
        let size = members().count() as u64;
        members().nth((self.turn % size) as usize)
    }

    /// Whether one agent may have to forward what another reports.
    pub(crate) fn are_in_same_group(&self, one: AgentId, other: AgentId) -> bool {
        let is_aggregator = self.aggregators.contains(&one) || self.aggregators.contains(&other);
        !is_aggregator && self.members(one).contains(&other.0)
    }

    /// How many agents report to an aggregator: the relays and the other aggregators.
    pub(crate) fn senders_to_aggregator(&self) -> u32 {
        self.group_count + self.aggregators.len().saturating_sub(1) as u32
    }
}

/// Where an agent's own reports go.
pub(crate) struct ReportRoute {
    pub(crate) receivers: Vec<AgentId>,
    /// The relay among these.
    pub(crate) relay: Option<AgentId>,
    /// How many send to the same receiver; unknown where reports go to the aggregators directly.
    senders: Option<u32>,
}

impl ReportRoute {
    /// How long an agent waits after a report of this many bytes before its next one. `direct_pause` is a share
    /// of the minimum stage time, and holds where there are no relays.
    pub(crate) fn pause(
        &self,
        length: usize,
        minimum_stage_time: Duration,
        direct_pause: f64,
    ) -> Duration {
        match self.senders {
            Some(senders) => pause_between_reports(length, minimum_stage_time, senders),
            None => minimum_stage_time.mul_f64(direct_pause),
        }
    }
}

/// How long a datagram's part of the receiver's budget takes, if so many senders share it.
pub(crate) fn pause_between_reports(
    length: usize,
    minimum_stage_time: Duration,
    senders: u32,
) -> Duration {
    let bytes = (length + DATAGRAM_HEADERS) as f64;
    minimum_stage_time.mul_f64(bytes * f64::from(senders) / RECEIVER_BUDGET as f64)
}

impl ReportRouting {
    /// Whether this fleet's reports go through relays: there are too many agents for the aggregators to receive
    /// the reports of each.
    pub(crate) fn has_relays(&self) -> bool {
        self.use_relays
            && self.fleet_position.can_message_peers
            && self.fleet_position.agent_count > MAX_DIRECT_AGENTS
    }

    /// The groups for a build now, where there are relays.
    pub(crate) fn groups(&self, now: Duration, build: Build) -> Option<RelayGroups> {
        if !self.has_relays() {
            return None;
        }
        let term = (self.minimum_stage_time * RELAY_TERM).as_millis().max(1);
        let turn = u64::from(build.0) + (now.as_millis() / term) as u64;
        Some(RelayGroups::new(
            self.fleet_position.agent_count,
            aggregators(self.fleet_position, build).collect(),
            turn,
        ))
    }

    /// Where this agent's own reports on a build go now.
    pub(crate) fn route(&self, now: Duration, build: Build) -> ReportRoute {
        let own_id = self.fleet_position.own_id;
        let groups = self.groups(now, build);
        if let Some(groups) = &groups
            && let Some(relay) = groups.relay(own_id)
        {
            let members = groups.members(own_id);
            return ReportRoute {
                receivers: vec![relay],
                relay: Some(relay),
                senders: Some(members.end - members.start),
            };
        }
        let receivers = aggregators(self.fleet_position, build)
            .filter(|_| self.fleet_position.can_message_peers)
            .collect();
        ReportRoute {
            receivers,
            relay: None,
            senders: groups.map(|groups| groups.senders_to_aggregator()),
        }
    }
}
