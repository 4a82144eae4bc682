//! The release gate decides in which zones and for which tenants each build may be used, and whether the canary may
//! advance. It applies ladders, dependencies and freezes to the received statuses, and keeps the table that is
//! consulted for each request.
//!
//! The gate only restricts what the decision engine allows: the engine consults it in addition to its own rules. The
//! gate never delays a rollback, and never treats an unknown dependency as satisfied.
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePermissions, RequestClass, Tenant, Zone};

use crate::advance;
use crate::dependencies::DependencyStates;
use crate::events::{Change, Event, EventLog, TakenEvents};
use crate::model::{DependencyCycle, Rules, ServiceId};
use crate::observed::{BuildStanding, Observed};
use crate::permission_table::{self, PermissionRow, TableShape};
use crate::reason::{BlockedReason, ClosedReason, Hold, PermittedAdvance};
use crate::row_update;
use crate::rules_change;
use crate::service_status::{ReleaseStatus, UnknownReason};

/// The release gate of one agent.
#[derive(Clone, Debug)]
pub struct Gate {
    pub(crate) observed: Observed,
    /// The tenant whose requests this agent routes; all tenants if `None`.
    pub(crate) tenant: Option<Tenant>,
    pub(crate) rows: BTreeMap<Build, PermissionRow>,
    listed: BTreeSet<Build>,
    advance: Result<PermittedAdvance, Hold>,
    events: EventLog,
    permissions: Arc<ReleasePermissions>,
}

impl Gate {
    /// Creates a gate that has received nothing, so that no build is open. `tenant` is the tenant whose requests this
    /// agent routes; all tenants if `None`.
    ///
    /// # Errors
    /// The rules' dependencies form a cycle.
    pub fn new(
        rules: Rules,
        tenant: Option<Tenant>,
        now: Duration,
    ) -> Result<Gate, DependencyCycle> {
        let mut gate = Gate {
            observed: Observed::new(rules, now)?,
            tenant,
            rows: BTreeMap::new(),
            listed: BTreeSet::new(),
            advance: Err(Hold {
                reason: BlockedReason::NoCanary,
                until: None,
            }),
            events: EventLog::default(),
            permissions: Arc::default(),
        };
        gate.update(now);
        Ok(gate)
    }

    /// The rules that the gate applies.
    pub fn rules(&self) -> &Rules {
        &self.observed.rules
    }

    /// Replaces all rules. The statuses of services are kept by the services' names, and the record of who has which
    /// build by the names of zones and tenants.
    ///
    /// # Errors
    /// The new rules' dependencies form a cycle; the gate is not changed then.
    pub fn replace_rules(
        &mut self,
        now: Duration,
        rules: Rules,
        tenant: Option<Tenant>,
    ) -> Result<(), DependencyCycle> {
        let mut next = Gate::new(rules, tenant, now)?;
        rules_change::carry_over_services(&self.observed, &mut next.observed);
        for (build, row) in &self.rows {
            let row = rules_change::carry_over_row(self.rules(), row, next.rules());
            next.rows.insert(*build, row);
        }
        next.advance = self.advance;
        next.listed = self.listed.clone();
        next.events = std::mem::take(&mut self.events);
        next.update(now);
        *self = next;
        Ok(())
    }

    /// Records a release status of a service. A service that the rules do not name is ignored.
    pub fn on_release_status(&mut self, now: Duration, service: ServiceId, status: ReleaseStatus) {
        let Some(known) = self.observed.services.get_mut(usize::from(service.0)) else {
            return;
        };
        known.receive(now, status);
        let is_last = known
            .last()
            .is_some_and(|last| last.build == status.build && last.phase == status.phase);
        if is_last {
            self.observed
                .progress
                .entry((service, status.build))
                .or_default()
                .receive(status);
        }
        self.update(now);
    }

    /// Records a heartbeat of a service. A service that the rules do not name is ignored.
    pub fn on_heartbeat(&mut self, now: Duration, service: ServiceId) {
        let before = self.observed.unknown_reason_at(service, now);
        let Some(known) = self.observed.services.get_mut(usize::from(service.0)) else {
            return;
        };
        known.on_heartbeat(now);
        if before == Some(UnknownReason::Silent) {
            self.update(now);
        }
    }

    /// Sets the builds of the endpoints that discovery currently lists.
    pub fn set_listed_builds(&mut self, now: Duration, builds: impl Iterator<Item = Build>) {
        let listed: BTreeSet<Build> = builds.collect();
        if listed != self.listed {
            self.listed = listed;
            self.update(now);
        }
    }

    /// Advances the gate's clock, which never goes back.
    pub fn advance(&mut self, now: Duration) {
        self.update(now);
    }

    /// Advances the gate's clock and assumes heartbeats of all services whose status is known. This is for looking
    /// ahead, not for a running agent.
    pub fn advance_assuming_heartbeats(&mut self, now: Duration) {
        let at = now.max(self.observed.now);
        for service in self.observed.rules.service_ids() {
            if self.observed.unknown_reason(service).is_none() {
                self.observed.services[usize::from(service.0)].on_heartbeat(at);
            }
        }
        self.update(now);
    }

    /// The gate's clock, as time since 1970.
    pub fn now(&self) -> Duration {
        self.observed.now
    }

    /// The build in the last accepted status of the agent's own service.
    pub fn newest(&self) -> Option<Build> {
        self.observed.own_status().map(|last| last.build)
    }

    /// Whether a request may be sent to a build in a zone.
    ///
    /// # Errors
    /// The reason why it may not.
    pub fn admits(
        &self,
        build: Build,
        zone: Zone,
        tenant: Tenant,
        class: RequestClass,
    ) -> Result<(), ClosedReason> {
        let rules = self.rules();
        let row = self.rows.get(&build).ok_or(ClosedReason::NotListed)?;
        let is_known =
            usize::from(zone.0) < rules.zones.len() && usize::from(tenant.0) < rules.tenants.len();
        if !is_known {
            return Err(ClosedReason::NoRing);
        }
        let cell = &row.cells[rules.pair_index(zone, tenant)];
        if cell.open & Rules::request_class_bit(class) != 0 {
            Ok(())
        } else if cell.open == 0 {
            Err(cell.reason)
        } else {
            Err(ClosedReason::RequestClass)
        }
    }

    /// Why a build is closed to new users, if it is open to a pair only because the pair already has it.
    pub fn closed_to_new_users(
        &self,
        build: Build,
        zone: Zone,
        tenant: Tenant,
    ) -> Option<ClosedReason> {
        let row = self.rows.get(&build)?;
        let cell = row.cells.get(self.rules().pair_index(zone, tenant))?;
        (cell.open != 0 && cell.reason != ClosedReason::Open).then_some(cell.reason)
    }

    /// The canary, if it may advance to its next stage.
    ///
    /// # Errors
    /// The reason why it may not, and until when.
    pub fn permitted_advance(&self) -> Result<PermittedAdvance, Hold> {
        self.advance
    }

    /// The permissions for the decision engine. The same object is returned until something changes.
    pub fn permissions(&self) -> Arc<ReleasePermissions> {
        Arc::clone(&self.permissions)
    }

    /// Takes the permission changes since the last call.
    pub fn take_events(&mut self) -> TakenEvents {
        self.events.take()
    }

    /// The builds that are listed by discovery or announced by a release status.
    pub fn builds(&self) -> impl Iterator<Item = Build> + '_ {
        self.rows.keys().copied()
    }

    /// The number of pairs of a zone and a tenant that a build is open to.
    pub fn open_pairs(&self, build: Build) -> usize {
        self.rows.get(&build).map_or(0, PermissionRow::open_pairs)
    }

    /// The next time, since 1970, at which something changes by the passing of time alone.
    pub fn next_change(&self) -> Option<Duration> {
        self.observed.next_change()
    }

    /// As [`Gate::next_change`], but without the times at which a service's heartbeats are overdue.
    pub fn next_scheduled_change(&self) -> Option<Duration> {
        self.observed.next_scheduled_change()
    }

    pub(crate) fn unknown_reason(&self, service: ServiceId) -> Option<UnknownReason> {
        self.observed.unknown_reason(service)
    }

    /// Derives all decisions again from the rules and observations.
    fn update(&mut self, now: Duration) {
        self.observed.now = self.observed.now.max(now);
        self.track_builds();
        self.observed.open_due_rings();
        let dependencies = DependencyStates::of(&self.observed);
        self.update_rows(&dependencies);
        self.update_advance(&dependencies);
        self.update_permissions();
    }

    /// Removes the rows of builds that are neither listed nor announced, and adds rows for new builds.
    fn track_builds(&mut self) {
        let newest = self.newest();
        let named: BTreeSet<Build> = self.listed.iter().copied().chain(newest).collect();
        self.rows.retain(|build, _| named.contains(build));
        let pairs = self.rules().pair_count();
        for &build in &named {
            let observed = &self.observed;
            self.rows.entry(build).or_insert_with(|| {
                // A build that is already released when this agent first sees it was in use before, so that all pairs
                // are regarded as having it.
                let has_build = matches!(
                    observed.standing(build),
                    BuildStanding::Earlier | BuildStanding::Released
                );
                PermissionRow::new(pairs, has_build)
            });
        }
        self.observed.track_progress_of(&named);
    }

    fn update_rows(&mut self, dependencies: &DependencyStates) {
        let now = self.observed.now;
        for (&build, row) in &mut self.rows {
            let changed = row_update::update_row(&self.observed, dependencies, build, row);
            if changed.opened > 0 {
                let change = Change::Opened {
                    pairs: changed.opened,
                };
                self.events.record(Event {
                    at: now,
                    build,
                    change,
                });
            }
            for (reason, pairs) in changed.closed {
                self.events.record(Event {
                    at: now,
                    build,
                    change: Change::Closed { pairs, reason },
                });
            }
        }
    }

    fn update_advance(&mut self, dependencies: &DependencyStates) {
        let has_traffic = |build| self.has_traffic(build);
        let next = advance::permitted_advance(&self.observed, dependencies, has_traffic);
        let before = std::mem::replace(&mut self.advance, next);
        let (build, change) = match (before, next) {
            _ if before == next => return,
            // The same hold with another end is not an event.
            (Err(before), Err(next)) if before.reason == next.reason => return,
            (_, Ok(PermittedAdvance { build, stage })) => {
                (build, Change::AdvancePermitted { stage })
            }
            (_, Err(Hold { reason, .. })) => {
                let build = self.newest().unwrap_or_default();
                (build, Change::Held { reason })
            }
        };
        self.events.record(Event {
            at: self.observed.now,
            build,
            change,
        });
    }

    /// Whether a build is open to any of this agent's requests.
    fn has_traffic(&self, build: Build) -> bool {
        let shape = self.shape();
        self.rows.get(&build).is_some_and(|row| {
            let mut cells = row.cells.iter().enumerate();
            cells.any(|(pair, cell)| cell.open != 0 && shape.includes(pair))
        })
    }

    fn shape(&self) -> TableShape {
        TableShape {
            zones: self.rules().zones.len(),
            tenants: self.rules().tenants.len(),
            only_tenant: self.tenant,
        }
    }

    fn update_permissions(&mut self) {
        let rows = self.rows.iter().map(|(build, row)| (*build, row));
        let permissions = permission_table::permissions(rows, self.shape(), self.advance.ok());
        if *self.permissions != permissions {
            self.permissions = Arc::new(permissions);
        }
    }
}
