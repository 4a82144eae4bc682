//! The engine: each round takes in events and passes out actions. It owns the state and calls the policies; the
//! submodules are the parts of a round.
mod attempts;
mod event_handling;
mod outcomes;
mod refresh;

use std::collections::BTreeSet;
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::actions::{Actions, Diagnostic};
use crate::events::EventHandler;
use crate::model::{EndpointId, EngineSettings, FleetPosition, RequestId, TimerId, Zone};
use crate::policy::admission::AdmissionControl;
use crate::policy::exposure::Exposure;
use crate::policy::idle_connections;
use crate::policy::list_polling::ListPolling;
use crate::policy::load_balancing::EndpointSelection;
use crate::policy::release_analysis::ReleaseAnalysis;
use crate::policy::slow_start::SlowStart;
use crate::policy::subsetting::MIN_SUBSET_SIZE;
use crate::policy::voting::VoteInputs;
use crate::state::candidates::{Candidates, Subset};
use crate::state::demand::Demand;
use crate::state::endpoint_table::EndpointTable;
use crate::state::load_estimate::LoadEstimate;
use crate::state::pending_requests::PendingRequests;
use crate::state::schedule::Schedule;

/// The load estimate, the subset and the selection weights are refreshed after this many ticks at the latest, and
/// earlier after more events than there are endpoint records.
const REFRESH_TICKS: u32 = 20;
/// A round that begins more than this many ticks after its wake-up was due shows that the agent itself stalled. What
/// was outstanding during the stall is not counted against endpoints or builds.
const STALL_TICKS: u32 = 20;
/// Ticks from a round until the next wake-up at the earliest.
const MIN_WAKE_UP_DELAY_TICKS: u32 = 2;
/// Bounds of the random pause between this agent's own reports, as shares of the minimum stage time.
const REPORT_PAUSE_SHARE: std::ops::Range<f64> = 0.5..0.8;

/// Makes all decisions of one agent. [`DecisionEngine::round`] takes in everything that has happened since the last
/// round and passes out what is decided.
#[derive(Debug)]
pub struct DecisionEngine {
    now: Duration,
    tick: Duration,
    random: Pcg64Mcg,
    zone: Zone,
    fleet_position: FleetPosition,
    list_polling: ListPolling,
    endpoints: EndpointTable,
    subset: Subset,
    candidates: Candidates,
    slow_start: SlowStart,
    exposure: Exposure,
    analysis: ReleaseAnalysis,
    requests: PendingRequests,
    demand: Demand,
    load: LoadEstimate,
    schedule: Schedule,
    /// Notes of this round, passed out at its end.
    diagnostics: Vec<Diagnostic>,
}

impl DecisionEngine {
    /// Creates an engine that has received no events yet.
    pub fn new(settings: EngineSettings) -> Self {
        let fleet_position = settings.fleet_position;
        let class_count = settings.requests.classes.len();
        DecisionEngine {
            now: Duration::ZERO,
            tick: settings.tick,
            random: Pcg64Mcg::seed_from_u64(settings.seed),
            zone: settings.zone,
            fleet_position,
            list_polling: ListPolling::new(settings.discovery),
            endpoints: EndpointTable::new(MIN_SUBSET_SIZE as usize),
            subset: Subset::new(MIN_SUBSET_SIZE),
            candidates: Candidates::default(),
            slow_start: SlowStart {
                settings: settings.slow_start,
            },
            exposure: Exposure::new(settings.tick, settings.exposure),
            analysis: ReleaseAnalysis::new(fleet_position, class_count, settings.release_analysis),
            requests: PendingRequests::new(settings.requests),
            demand: Demand::default(),
            load: LoadEstimate::default(),
            schedule: Schedule::default(),
            diagnostics: Vec::new(),
        }
    }

    /// Runs one round at the instant `now`: `events` passes in all that has happened since the last round, and
    /// `actions` takes what is decided. Instants must not decrease from round to round.
    pub fn round(
        &mut self,
        now: Duration,
        events: impl FnOnce(&mut dyn EventHandler),
        actions: &mut dyn Actions,
    ) {
        self.begin_round(now);
        events(self);
        if self.list_polling.begin_request_if_due(now) {
            actions.watch_endpoints(true);
        }
        if now >= self.schedule.refresh_at
            || self.schedule.events_since_refresh > self.endpoints.records.len()
        {
            self.refresh();
            self.close_idle_connections(actions);
        }
        let check_at = self.process_requests(actions);
        let mut has_more_work =
            !self.requests.by_id.is_empty() || self.schedule.events_since_refresh > 0;
        has_more_work |= self.process_release(actions);
        self.diagnostics
            .drain(..)
            .for_each(|diagnostic| actions.record_diagnostic(diagnostic));
        self.schedule_wake_up(check_at, has_more_work, actions);
    }

    /// Sets the time of the round, and records whether the agent has stalled and how much time has passed.
    fn begin_round(&mut self, now: Duration) {
        let previous = std::mem::replace(&mut self.now, now);
        let started_at = *self.exposure.windows.started_at.get_or_insert(now);
        let latest_wake_up = self
            .schedule
            .wake_up_at
            .saturating_add(self.tick * STALL_TICKS);
        if previous >= started_at && now > latest_wake_up {
            self.schedule.resumed_at = now;
        }
        self.schedule.time_since_refresh += now.saturating_sub(previous.max(started_at));
        self.exposure.trim(now);
    }

    /// Closes idle connections while connections are short, and those to endpoints that have left the subset.
    fn close_idle_connections(&mut self, actions: &mut dyn Actions) {
        idle_connections::endpoints_to_close(self.now, &self.demand, &mut self.endpoints)
            .into_iter()
            .chain(self.subset.removed.drain(..))
            .for_each(|endpoint| actions.close_idle_connections(endpoint));
    }

    /// Does what is due for each pending request, the oldest first. Returns when a request or the load estimate has to
    /// be looked at again without an event.
    fn process_requests(&mut self, actions: &mut dyn Actions) -> Duration {
        let order: BTreeSet<(Duration, RequestId)> = self
            .requests
            .by_id
            .iter()
            .map(|(&id, request)| (request.arrived_at, id))
            .collect();
        let mut check_at = self.now + self.tick * REFRESH_TICKS;
        for (_, id) in order {
            if let Some(next) = self.process_request(id, actions) {
                check_at = check_at.min(next);
            }
        }
        check_at
    }

    /// Reports on the newest build and votes on it. Returns whether there may be more to do before another event.
    fn process_release(&mut self, actions: &mut dyn Actions) -> bool {
        let Some(status) = self.exposure.release_status else {
            return false;
        };
        let pause = self.random.random_range(REPORT_PAUSE_SHARE);
        let resumed_at = self.schedule.resumed_at;
        self.analysis
            .report(self.now, resumed_at, status, pause, actions);
        let inputs = VoteInputs {
            now: self.now,
            status,
            lost_share: self.load.lost_share,
            is_held_by_operator: self.exposure.operator_holds(status),
        };
        self.analysis
            .warn_and_vote(inputs, &self.endpoints, actions)
    }

    /// Schedules the next round. With no request pending, no attempt outstanding and no build to analyse, no refresh is
    /// due until the next event, which causes its own: then the engine wakes up only to request the endpoint list.
    fn schedule_wake_up(
        &mut self,
        check_at: Duration,
        has_more_work: bool,
        actions: &mut dyn Actions,
    ) {
        let is_idle = !has_more_work
            && self
                .endpoints
                .visit_records()
                .all(|record| record.outstanding.is_empty());
        let next = if is_idle {
            self.list_polling.next_request_at
        } else {
            Some(check_at.max(self.now + self.tick * MIN_WAKE_UP_DELAY_TICKS))
        };
        let scheduled = self.schedule.wake_up_at;
        if scheduled <= self.now || next.is_some_and(|next| next < scheduled) {
            self.schedule.wake_up_at = next.unwrap_or(Duration::MAX);
            if let Some(next) = next {
                actions.schedule_wake_up(next, TimerId(0));
            }
        }
    }

    /// Admission control, with what it decides on as of this round.
    fn admission_control(&self) -> AdmissionControl<'_> {
        AdmissionControl {
            now: self.now,
            started_at: self.exposure.windows.started_at,
            endpoints: &self.endpoints,
            load: &self.load,
        }
    }

    /// What the choice of an endpoint depends on, as of this round.
    fn selection(&self) -> EndpointSelection<'_> {
        EndpointSelection {
            now: self.now,
            local_zone: self.zone,
            endpoints: &self.endpoints,
            candidates: &self.candidates,
            subset_is_sufficient: self.subset.is_sufficient,
            load: &self.load,
            evidence: &self.analysis.evidence,
            slow_start: &self.slow_start,
            exposure: &self.exposure,
        }
    }

    /// The endpoints that this agent works with: all that are listed, or the subset of a long list. For tests and
    /// measurements only.
    pub fn members(&self) -> impl Iterator<Item = EndpointId> {
        let records = self.endpoints.records.iter();
        records
            .filter(|(_, record)| record.subset_rank.is_some())
            .map(|(&id, _)| id)
    }

    /// Number of list rows and endpoint records that were read since the start. For tests and measurements only: no
    /// decision depends on it.
    pub fn rows_visited(&self) -> u64 {
        self.endpoints.catalog.visited()
    }
}
