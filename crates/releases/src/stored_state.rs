//! The stored form of a gate's state, which an agent writes on request and `lgctl` reads. Services, zones and tenants
//! are identified by name, so that a state can be used with rules that were edited since. A state is for inspection
//! only: a running agent never resumes from it.
//!
//! The JSON names are part of the format and must not change when Rust names change.
use std::collections::{BTreeMap, BTreeSet};
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, Stage, Tenant, Zone};
use serde::{Deserialize, Serialize};
use thiserror::Error;

use crate::events::{Change, Event};
use crate::gate::Gate;
use crate::model::{Rules, ServiceId};
use crate::permission_table::PermissionRow;
use crate::service_status::{ReleaseStatus, ServiceStatus, UnknownReason};
use crate::stage_progress::{ReachedStage, StageProgress};

/// The format version that is written. Earlier versions stay readable.
pub const FORMAT_VERSION: u32 = 1;

/// Marks a tenant that has a build, in [`BuildState::had`].
const HAS_BUILD: u8 = b'1';
/// Marks a tenant that does not have a build.
const LACKS_BUILD: u8 = b'0';

/// A gate's state. Times ending in `_ms` are milliseconds since 1970.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StoredState {
    /// The format version, [`FORMAT_VERSION`] or an earlier one.
    #[serde(rename = "form")]
    pub format_version: u32,
    /// The agent that wrote the state.
    pub agent: String,
    /// The tenant whose requests the agent routes; all tenants if `None`.
    #[serde(rename = "firm")]
    pub tenant: Option<String>,
    /// When the state was written.
    pub at_ms: u64,
    /// The zones of the rules, in the order that [`BuildState::had`] uses.
    pub zones: Vec<String>,
    /// The tenants of the rules, in the order that [`BuildState::had`] uses.
    #[serde(rename = "firms")]
    pub tenants: Vec<String>,
    /// The status of each service of the rules.
    pub services: Vec<ServiceState>,
    /// The builds that are listed by discovery or announced by a release status.
    pub builds: Vec<BuildState>,
    /// Permission changes that were not reported elsewhere.
    pub events: Vec<EventState>,
}

/// The received statuses of one service, and the progress of its builds.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ServiceState {
    /// The service's name in the rules.
    pub name: String,
    /// The last release status that was accepted.
    #[serde(rename = "news")]
    pub status: Option<StatusState>,
    /// When the last heartbeat or status was received.
    #[serde(rename = "heard_ms")]
    pub last_heartbeat_ms: Option<u64>,
    /// Why the last release status was rejected, if it was.
    #[serde(rename = "odd")]
    pub contradiction: Option<UnknownReason>,
    /// The known released builds.
    pub released: Vec<u16>,
    /// The progress of builds on their ladders.
    #[serde(rename = "climbs")]
    pub progress: Vec<ProgressState>,
}

/// The stored form of a [`ReleaseStatus`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct StatusState {
    /// The service's newest build.
    pub build: u16,
    /// The stage of its release.
    pub stage: u8,
    /// The stored name of its release phase.
    #[serde(rename = "course")]
    pub phase: String,
    /// When the build reached this stage and phase.
    pub since_ms: u64,
}

/// The progress of a build on its ladder.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ProgressState {
    /// The build that the progress belongs to.
    pub build: u16,
    /// The stages that the build has reached, each with its time.
    pub reached_ms: Vec<(u8, u64)>,
    /// When each open ring opened, in the order of the ladder.
    pub opened_ms: Vec<u64>,
}

/// A build that is listed or announced, and the tenants that have it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct BuildState {
    /// The number of the build.
    pub build: u16,
    /// One text per zone, with a `1` for each tenant that has the build and a `0` for each other tenant.
    pub had: Vec<String>,
}

/// The stored form of an [`Event`].
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct EventState {
    /// When the change happened, as time since 1970.
    pub at: Duration,
    /// The build whose permissions changed.
    pub build: u16,
    /// The new permission and whom it affects.
    #[serde(rename = "what")]
    pub change: ChangeState,
}

/// The stored form of a [`Change`].
#[derive(Clone, Debug, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum ChangeState {
    /// The number of pairs of a zone and a tenant that got the build.
    Opened(usize),
    /// The number of pairs that lost the build, and the code of the reason.
    Closed(usize, String),
    /// The stage from which the build may advance.
    #[serde(rename = "may-step")]
    AdvancePermitted(u8),
    /// The code of the reason why the build may not advance.
    #[serde(rename = "stays")]
    Held(String),
}

/// Why a gate cannot be restored from a state.
#[derive(Clone, Debug, PartialEq, Eq, Error)]
pub enum RestoreError {
    /// The state was written by a newer version of this crate.
    #[error("the state has format version {0}; expected {FORMAT_VERSION} or earlier")]
    NewerFormat(u32),
    /// The state's tenant is not in the rules.
    #[error("the state's firm {0:?} is not in the operator's file")]
    UnknownTenant(String),
    /// The name of a release phase is unknown.
    #[error(
        "the state has the unknown course {0:?}; expected on-trial, going-back, released or withdrawn"
    )]
    UnknownPhase(String),
    /// The rules' dependencies form a cycle.
    #[error("the <needs> of the operator's file form a cycle")]
    DependencyCycle,
}

/// The stored names of the release phases.
const PHASES: [(&str, ReleasePhase); 4] = [
    ("on-trial", ReleasePhase::Canary),
    ("going-back", ReleasePhase::RollingBack),
    ("released", ReleasePhase::Released),
    ("withdrawn", ReleasePhase::Withdrawn),
];

fn stored_phase_name(phase: ReleasePhase) -> String {
    let found = PHASES.iter().find(|(_, known)| *known == phase);
    found.map_or("", |(name, _)| name).to_owned()
}

fn parse_phase(name: &str) -> Result<ReleasePhase, RestoreError> {
    let found = PHASES.iter().find(|(known, _)| *known == name);
    found
        .map(|(_, phase)| *phase)
        .ok_or_else(|| RestoreError::UnknownPhase(name.to_owned()))
}

fn millis(at: Duration) -> u64 {
    u64::try_from(at.as_millis()).unwrap_or(u64::MAX)
}

impl From<Event> for EventState {
    fn from(event: Event) -> Self {
        let change = match event.change {
            Change::Opened { pairs } => ChangeState::Opened(pairs),
            Change::Closed { pairs, reason } => {
                ChangeState::Closed(pairs, reason.code().to_owned())
            }
            Change::AdvancePermitted { stage } => ChangeState::AdvancePermitted(stage.0),
            Change::Held { reason } => ChangeState::Held(reason.code().to_owned()),
        };
        EventState {
            at: event.at,
            build: event.build.0,
            change,
        }
    }
}

impl From<ReleaseStatus> for StatusState {
    fn from(status: ReleaseStatus) -> Self {
        StatusState {
            build: status.build.0,
            stage: status.stage.0,
            phase: stored_phase_name(status.phase),
            since_ms: millis(status.since),
        }
    }
}

impl StatusState {
    fn restored(&self) -> Result<ReleaseStatus, RestoreError> {
        Ok(ReleaseStatus {
            build: Build(self.build),
            stage: Stage(self.stage),
            phase: parse_phase(&self.phase)?,
            since: Duration::from_millis(self.since_ms),
        })
    }
}

impl ProgressState {
    fn stored(build: Build, progress: &StageProgress) -> Self {
        let reached = progress
            .reached
            .iter()
            .map(|reached| (reached.stage.0, millis(reached.at)));
        ProgressState {
            build: build.0,
            reached_ms: reached.collect(),
            opened_ms: progress.opened.iter().map(|at| millis(*at)).collect(),
        }
    }

    /// The progress, limited to the number of rings that the ladder has now.
    fn restored(&self, rings: usize) -> StageProgress {
        let reached = self.reached_ms.iter().map(|(stage, at)| ReachedStage {
            stage: Stage(*stage),
            at: Duration::from_millis(*at),
        });
        let opened = self.opened_ms.iter().take(rings);
        StageProgress {
            reached: reached.collect(),
            opened: opened.map(|at| Duration::from_millis(*at)).collect(),
        }
    }
}

impl Gate {
    /// The gate's state in its stored form, with the given events.
    pub fn state(&self, agent: &str, events: Vec<EventState>) -> StoredState {
        let tenants = &self.observed.rules.tenants;
        let services = self
            .observed
            .rules
            .service_ids()
            .zip(&self.observed.services);
        StoredState {
            format_version: FORMAT_VERSION,
            agent: agent.to_owned(),
            tenant: self
                .tenant
                .map(|tenant| tenants[usize::from(tenant.0)].clone()),
            at_ms: millis(self.observed.now),
            zones: self.observed.rules.zones.clone(),
            tenants: tenants.clone(),
            services: services
                .map(|(id, status)| self.service_state(id, status))
                .collect(),
            builds: self
                .rows
                .iter()
                .map(|(build, row)| build_state(*build, row, tenants.len()))
                .collect(),
            events,
        }
    }

    fn service_state(&self, id: ServiceId, status: &ServiceStatus) -> ServiceState {
        let progress = self
            .observed
            .progress
            .iter()
            .filter(|((service, _), _)| *service == id);
        ServiceState {
            name: self.observed.rules.service_name(id).to_owned(),
            status: status.last().map(StatusState::from),
            last_heartbeat_ms: status.last_heartbeat().map(millis),
            contradiction: status.contradiction(),
            released: status.released().map(|build| build.0).collect(),
            progress: progress
                .map(|((_, build), progress)| ProgressState::stored(*build, progress))
                .collect(),
        }
    }

    /// Creates a gate with these rules from a stored state. Its clock is the time at which the state was written.
    ///
    /// # Errors
    /// A part of the state cannot be used, or the rules' dependencies form a cycle.
    pub fn from_state(rules: Rules, state: &StoredState) -> Result<Gate, RestoreError> {
        if state.format_version > FORMAT_VERSION {
            return Err(RestoreError::NewerFormat(state.format_version));
        }
        let at = Duration::from_millis(state.at_ms);
        let tenant = match &state.tenant {
            Some(name) => Some(
                position_of(&rules.tenants, name)
                    .map(|i| Tenant(i as u16))
                    .ok_or_else(|| RestoreError::UnknownTenant(name.clone()))?,
            ),
            None => None,
        };
        let mut gate = Gate::new(rules, tenant, at).map_err(|_| RestoreError::DependencyCycle)?;
        for stored in &state.services {
            gate.restore_service(stored)?;
        }
        gate.rows = state
            .builds
            .iter()
            .map(|stored| (Build(stored.build), gate.restored_row(state, stored)))
            .collect::<BTreeMap<_, _>>();
        let builds: Vec<Build> = gate.rows.keys().copied().collect();
        gate.set_listed_builds(at, builds.into_iter());
        gate.advance(at);
        gate.take_events();
        Ok(gate)
    }

    /// Restores the state of a service. A service that the rules no longer name is skipped.
    fn restore_service(&mut self, stored: &ServiceState) -> Result<(), RestoreError> {
        let found = self
            .observed
            .rules
            .service_ids()
            .find(|id| self.observed.rules.service_name(*id) == stored.name);
        let Some(id) = found else {
            return Ok(());
        };
        let status = stored.status.as_ref().map(StatusState::restored);
        let released: BTreeSet<Build> = stored.released.iter().copied().map(Build).collect();
        self.observed.services[usize::from(id.0)] = ServiceStatus::restored(
            status.transpose()?,
            stored.last_heartbeat_ms.map(Duration::from_millis),
            stored.contradiction,
            released,
        );
        for progress in &stored.progress {
            let build = Build(progress.build);
            let rings = self
                .observed
                .rules
                .ladder(id, build)
                .map_or(0, |ladder| ladder.rings.len());
            self.observed
                .progress
                .insert((id, build), progress.restored(rings));
        }
        Ok(())
    }

    /// Restores which pairs have a build. Zones and tenants that the rules no longer name are skipped.
    fn restored_row(&self, state: &StoredState, stored: &BuildState) -> PermissionRow {
        let mut row = PermissionRow::new(self.observed.rules.pair_count(), false);
        for (zone, had) in state.zones.iter().zip(&stored.had) {
            for (tenant, had) in state.tenants.iter().zip(had.bytes()) {
                let zone = position_of(&self.observed.rules.zones, zone);
                let tenant = position_of(&self.observed.rules.tenants, tenant);
                if let Some((zone, tenant)) = zone.zip(tenant) {
                    let pair = self
                        .observed
                        .rules
                        .pair_index(Zone(zone as u8), Tenant(tenant as u16));
                    row.has_build[pair] = had == HAS_BUILD;
                }
            }
        }
        row
    }
}

fn build_state(build: Build, row: &PermissionRow, tenants: usize) -> BuildState {
    let mark = |had: &bool| char::from(if *had { HAS_BUILD } else { LACKS_BUILD });
    let zone = |had: &[bool]| had.iter().map(mark).collect();
    BuildState {
        build: build.0,
        had: row.has_build.chunks(tenants.max(1)).map(zone).collect(),
    }
}

fn position_of(names: &[String], name: &String) -> Option<usize> {
    names.iter().position(|other| other == name)
}
