//! The reports that an agent sends: its own, and those that it forwards as a relay.
use std::collections::BTreeMap;
use std::time::Duration;

use super::aggregation::ReportAggregate;
use super::codec::{self, ReportHeader, ReportVersion};
use super::relays::{ReportRouting, pause_between_reports};
use crate::actions::Actions;
use crate::model::{AgentId, Build};
use crate::state::evidence::{OutcomeEntry, OutcomeReport, WorkSums};

/// Sends the reports on the build that is analysed.
#[derive(Debug)]
pub(crate) struct Reporter {
    pub(crate) routing: ReportRouting,
    /// The agent's own outcomes that are not reported yet.
    unreported: OutcomeReport,
    /// Earliest time of the agent's next own report.
    pub(crate) next_report_at: Duration,
    /// Version of the last report that was sent.
    version: ReportVersion,
    /// The counts that this agent has to forward as a relay.
    aggregate: ReportAggregate,
    /// Version of the last accepted report, by sender.
    last_received: BTreeMap<AgentId, ReportVersion>,
}

impl Reporter {
    pub(crate) fn new(routing: ReportRouting) -> Self {
        Reporter {
            routing,
            unreported: OutcomeReport::new(),
            next_report_at: Duration::ZERO,
            version: ReportVersion::default(),
            aggregate: ReportAggregate::default(),
            last_received: BTreeMap::new(),
        }
    }

    /// Begins the reports on a new build. `started_at` is when this agent started.
    pub(crate) fn begin(&mut self, started_at: Duration) {
        self.version.incarnation = started_at.as_millis() as u32;
        self.unreported = OutcomeReport::new();
        self.aggregate = ReportAggregate::default();
    }

    /// Adds the agent's own outcomes to its next report.
    pub(crate) fn add(&mut self, entry: OutcomeEntry) {
        let counts = self.unreported.entry(entry.key).or_default();
        *counts = counts.saturating_add(entry.counts);
    }

    /// Whether outcomes of the canary are not reported yet.
    pub(crate) fn has_canary_outcomes(&self) -> bool {
        self.unreported
            .keys()
            .any(|key| key.canary_endpoint.is_some())
    }

    /// Whether there are counts to forward as a relay.
    pub(crate) fn has_group_reports(&self) -> bool {
        self.aggregate.has_counts()
    }

    /// Whether a report is newer than the last accepted one of its sender.
    pub(crate) fn is_new(&self, from: AgentId, version: ReportVersion) -> bool {
        version > self.last_received.get(&from).copied().unwrap_or_default()
    }

    /// Records that a report was accepted, so that older ones of its sender are dropped.
    pub(crate) fn on_received(&mut self, from: AgentId, version: ReportVersion) {
        self.last_received.insert(from, version);
    }

    /// Advances and returns the version. With relays the sequence number is at least the time since the agent's start,
    /// in milliseconds.
    fn next_version(&mut self, now: Duration) -> ReportVersion {
        let next = self.version.sequence.wrapping_add(1);
        let since_start = (now.as_millis() as u32).wrapping_sub(self.version.incarnation);
        self.version.sequence = if self.routing.has_relays() {
            next.max(since_start)
        } else {
            next
        };
        self.version
    }

    /// Sends a report of the agent's own outcomes, those of the canary first. A relay adds them to the counts of its
    /// group instead. `direct_pause` is the pause until the next report without relays, as a share of the minimum
    /// stage time.
    pub(crate) fn send(
        &mut self,
        now: Duration,
        build: Build,
        work: WorkSums<u16>,
        direct_pause: f64,
        actions: &mut dyn Actions,
    ) {
        let route = self.routing.route(now, build);
        let own_id = self.routing.fleet_position.own_id;
        let header = ReportHeader {
            build,
            version: self.next_version(now),
            work,
        };
        let unreported = &mut self.unreported;
        let entries = std::iter::from_fn(|| unreported.pop_last())
            .map(|(key, counts)| OutcomeEntry { key, counts });
        let bytes = codec::write(header, entries);
        let minimum_stage_time = self.routing.minimum_stage_time;
        self.next_report_at = now + route.pause(bytes.len(), minimum_stage_time, direct_pause);
        if route.relay == Some(own_id)
            && let Some(report) = codec::read(&bytes)
        {
            self.aggregate.add(report.header.work, report.entries());
        }
        for &receiver in route.receivers.iter().filter(|to| **to != own_id) {
            actions.send_to_peer(Some(receiver), &bytes);
        }
    }

    /// Adds a member's report to those that this agent forwards as a relay. A report that was made before this agent
    /// started, or within a minimum stage time after, is dropped: an earlier incarnation of this agent may have
    /// forwarded it, and clocks may differ.
    pub(crate) fn add_for_group(
        &mut self,
        now: Duration,
        from: AgentId,
        header: ReportHeader,
        entries: impl Iterator<Item = OutcomeEntry>,
    ) {
        let version = header.version;
        let made_at = version.incarnation.wrapping_add(version.sequence);
        let since_start = made_at.wrapping_sub(self.version.incarnation) as i32;
        let earliest = self.routing.minimum_stage_time.as_millis();
        let earliest = i32::try_from(earliest).unwrap_or(i32::MAX);
        if since_start <= earliest {
            return;
        }
        let own_id = self.routing.fleet_position.own_id;
        let groups = self.routing.groups(now, header.build);
        if groups.is_some_and(|groups| groups.are_in_same_group(own_id, from)) {
            self.on_received(from, version);
            self.aggregate.add(header.work, entries);
        }
    }

    /// Sends the group's counts to the aggregators, if there are any and the pause since the last such report is over.
    pub(crate) fn forward(&mut self, now: Duration, build: Build, actions: &mut dyn Actions) {
        if !self.aggregate.has_counts() || now < self.aggregate.next_report_at {
            return;
        }
        let Some(groups) = self.routing.groups(now, build) else {
            return;
        };
        let report = self.aggregate.take();
        let header = ReportHeader {
            build,
            version: self.next_version(now),
            work: report.work,
        };
        let bytes = codec::write(header, report.entries.into_iter());
        self.aggregate.next_report_at = now
            + pause_between_reports(
                bytes.len(),
                self.routing.minimum_stage_time,
                groups.senders_to_aggregator(),
            );
        for aggregator in groups.aggregators {
            actions.send_to_peer(Some(aggregator), &bytes);
        }
    }
}
