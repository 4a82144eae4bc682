//! Routing of reports. A few agents aggregate the reports of all. In a large fleet, agents form groups, and each group
//! has one relay that adds up its members' counts and reports the sums as its own.
use std::ops::Range;
use std::time::Duration;

use super::codec::MAX_REPORT_LENGTH;
use crate::model::{AgentId, Build, FleetPosition};

/// Number of agents that aggregate the reports on a build.
const AGGREGATORS: u32 = 3;
/// Largest fleet in which all agents report to the aggregators directly. A relay adds a second hop, on which a report
/// may be lost as well, so relays pay off only where the aggregators would receive more than [`RECEIVER_BUDGET`].
const MAX_DIRECT_AGENTS: u32 = 300;
/// Bytes of reports, headers included, that an agent may receive within the minimum stage time, in units of full
/// reports. The senders share this evenly: after a report, each pauses for the time that the report takes of its
/// share. Unused budget does not accumulate, since with a token bucket of half a minimum stage time per sender the
/// aggregators received more than the budget.
const RECEIVER_BUDGET: usize = 24 * MAX_REPORT_LENGTH;
/// Length of the IPv4 and UDP headers, in bytes.
const DATAGRAM_HEADERS: usize = 28;
/// Ratio of the members of a group to the number of groups. Fewer groups shorten the pauses of relays, more groups
/// those of members. With half this ratio, votes on a build with 5 % failures came later.
const MEMBERS_PER_GROUP_COUNT: u32 = 8;
/// Time for which an agent is the relay of its group, in minimum stage times. If a relay dies, the reports of its
/// group are lost until the next one takes over.
const RELAY_TERM: u32 = 4;

/// The settings that determine who receives reports.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReportRouting {
    pub(crate) fleet_position: FleetPosition,
    pub(crate) minimum_stage_time: Duration,
    pub(crate) use_relays: bool,
}

/// The agents that aggregate the reports on a build. They are few, so that hundreds of agents need not exchange
/// reports with each other, and change with the build's number.
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

/// The groups that the agents form for a build during one relay term.
pub(crate) struct RelayGroups {
    agent_count: u32,
    group_count: u32,
    pub(crate) aggregators: Vec<AgentId>,
    /// Number of the relay term; modulo the size of a group, the index of its relay.
    term: u64,
}

impl RelayGroups {
    fn new(agent_count: u32, aggregators: Vec<AgentId>, term: u64) -> Self {
        let group_count = (agent_count / MEMBERS_PER_GROUP_COUNT).isqrt().max(1);
        RelayGroups {
            agent_count,
            group_count,
            aggregators,
            term,
        }
    }

    /// The ids of an agent's group. Agents with neighbouring ids prefer the same endpoints, so their reports add up to
    /// few entries.
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
        members().nth((self.term % size) as usize)
    }

    /// Whether two agents are members of the same group, so that one may be the relay of the other.
    pub(crate) fn are_in_same_group(&self, agent: AgentId, other: AgentId) -> bool {
        let is_aggregator = self.aggregators.contains(&agent) || self.aggregators.contains(&other);
        !is_aggregator && self.members(agent).contains(&other.0)
    }

    /// Number of agents that report to an aggregator: the relays and the other aggregators.
    pub(crate) fn senders_to_aggregator(&self) -> u32 {
        self.group_count + self.aggregators.len().saturating_sub(1) as u32
    }
}

/// The receivers of an agent's own reports.
pub(crate) struct ReportRoute {
    pub(crate) receivers: Vec<AgentId>,
    /// The relay among the receivers, if the agent's group has one.
    pub(crate) relay: Option<AgentId>,
    /// Number of agents that report to the same receiver; `None` without relays.
    senders: Option<u32>,
}

impl ReportRoute {
    /// Pause of an agent after a report of `length` bytes. Without relays it is `direct_pause`, as a share of the
    /// minimum stage time.
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

/// Pause after a report of `length` bytes that keeps the receiver within its budget if this number of senders share it.
pub(crate) fn pause_between_reports(
    length: usize,
    minimum_stage_time: Duration,
    senders: u32,
) -> Duration {
    let bytes = (length + DATAGRAM_HEADERS) as f64;
    minimum_stage_time.mul_f64(bytes * f64::from(senders) / RECEIVER_BUDGET as f64)
}

impl ReportRouting {
    /// Whether reports go through relays: it is set, and the fleet is too large for direct reports.
    pub(crate) fn has_relays(&self) -> bool {
        self.use_relays
            && self.fleet_position.can_message_peers
            && self.fleet_position.agent_count > MAX_DIRECT_AGENTS
    }

    /// The current groups for a build; `None` without relays.
    pub(crate) fn groups(&self, now: Duration, build: Build) -> Option<RelayGroups> {
        if !self.has_relays() {
            return None;
        }
        let term_millis = (self.minimum_stage_time * RELAY_TERM).as_millis().max(1);
        let term = u64::from(build.0) + (now.as_millis() / term_millis) as u64;
        Some(RelayGroups::new(
            self.fleet_position.agent_count,
            aggregators(self.fleet_position, build).collect(),
            term,
        ))
    }

    /// The current receivers of this agent's own reports on a build.
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
