//! What was received of a service's builds, with its age, and what follows from it: known, or unknown and why. A status
//! that contradicts an earlier one is not accepted; what was accepted is never taken back.
use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, Stage};
use serde::{Deserialize, Serialize};

/// The most released builds that are kept of a service, the newest ones.
const MAX_RELEASED: usize = 8;

/// Where a service's newest build stands.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseStatus {
    /// The build.
    pub build: Build,
    /// Its stage.
    pub stage: Stage,
    /// Its release phase.
    pub phase: ReleasePhase,
    /// Since when it has this stage and phase, since 1970.
    pub since: Duration,
}

impl ReleaseStatus {
    /// Whether another status differs in its time alone.
    fn repeats(&self, other: &ReleaseStatus) -> bool {
        self.build == other.build && self.stage == other.stage && self.phase == other.phase
    }
}

/// Why a service's status is unknown. The serialized names are those of stored state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// No status was ever received.
    #[serde(rename = "unheard")]
    NeverReceived,
    /// Nothing was received for too long.
    #[serde(rename = "silent")]
    Silent,
    /// The last status was of a build before the newest known one.
    #[serde(rename = "build-went-back")]
    BuildRegressed,
    /// The last status was of a stage before the known one.
    #[serde(rename = "stage-went-back")]
    StageRegressed,
    /// The last status reinstated a build that was rolled back.
    #[serde(rename = "came-back")]
    Reinstated,
}

impl UnknownReason {
    /// The name that `lgctl` prints.
    pub(crate) fn printed_name(self) -> &'static str {
        match self {
            UnknownReason::NeverReceived => "Unheard",
            UnknownReason::Silent => "Silent",
            UnknownReason::BuildRegressed => "BuildWentBack",
            UnknownReason::StageRegressed => "StageWentBack",
            UnknownReason::Reinstated => "CameBack",
        }
    }
}

/// Whether a service has a released build from a given one on.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseLookup {
    /// Its newest released build.
    Found(Build),
    /// There is none.
    Missing,
    /// There is not enough information.
    Unknown,
}

/// What was received of one service.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceStatus {
    last: Option<ReleaseStatus>,
    last_heartbeat: Option<Duration>,
    contradiction: Option<UnknownReason>,
    released: BTreeSet<Build>,
}

impl ServiceStatus {
    /// Takes a heartbeat.
    pub(crate) fn on_heartbeat(&mut self, now: Duration) {
        self.last_heartbeat = Some(self.last_heartbeat.unwrap_or_default().max(now));
    }

    /// Takes a status. One that contradicts the last accepted one is not accepted, and leaves the service unknown until
    /// one is received that fits again.
    pub(crate) fn receive(&mut self, now: Duration, status: ReleaseStatus) {
        self.on_heartbeat(now);
        self.contradiction = self.last.and_then(|last| contradiction(last, status));
        if self.contradiction.is_some() {
            return;
        }
        match status.phase {
            ReleasePhase::Released => drop(self.released.insert(status.build)),
            ReleasePhase::RollingBack | ReleasePhase::Withdrawn => {
                drop(self.released.split_off(&status.build));
            }
            ReleasePhase::Canary => {}
        }
        while self.released.len() > MAX_RELEASED {
            self.released.pop_first();
        }
        // A status that is only repeated does not become younger.
        let repeated = self.last.filter(|last| last.repeats(&status));
        let since = repeated.map_or(status.since, |last| last.since.min(status.since));
        self.last = Some(ReleaseStatus { since, ..status });
    }

    /// The last status that was accepted.
    pub(crate) fn last(&self) -> Option<ReleaseStatus> {
        self.last
    }

    /// When the service last gave a sign of life, since 1970.
    pub(crate) fn last_heartbeat(&self) -> Option<Duration> {
        self.last_heartbeat
    }

    /// Why the last status was not accepted, if it was not.
    pub(crate) fn contradiction(&self) -> Option<UnknownReason> {
        self.contradiction
    }

    /// The released builds that are known.
    pub(crate) fn released(&self) -> impl Iterator<Item = Build> + '_ {
        self.released.iter().copied()
    }

    /// Why the status is unknown now, if it is.
    pub(crate) fn unknown_reason(
        &self,
        now: Duration,
        silent_after: Option<Duration>,
    ) -> Option<UnknownReason> {
        let Some(heartbeat) = self.last_heartbeat.filter(|_| self.last.is_some()) else {
            return Some(UnknownReason::NeverReceived);
        };
        let silent = silent_after.is_some_and(|most| now >= heartbeat.saturating_add(most));
        self.contradiction
            .or(silent.then_some(UnknownReason::Silent))
    }

    /// Looks for a released build from a given one on. The answer is of use only while the status is known.
    pub(crate) fn find_release(&self, at_least: Build) -> ReleaseLookup {
        let Some(last) = self.last else {
            return ReleaseLookup::Unknown;
        };
        match self.released.last() {
            Some(&newest) if newest >= at_least => ReleaseLookup::Found(newest),
            // A released build lies below the newest build, unless that is released itself.
            _ if last.phase == ReleasePhase::Released || last.build <= at_least => {
                ReleaseLookup::Missing
            }
            // A build between the last known release and the newest build may have been released.
            _ => ReleaseLookup::Unknown,
        }
    }

    /// The status that was stored, as [`crate::stored_state`] reads it.
    pub(crate) fn restored(
        last: Option<ReleaseStatus>,
        last_heartbeat: Option<Duration>,
        contradiction: Option<UnknownReason>,
        released: BTreeSet<Build>,
    ) -> Self {
        ServiceStatus {
            last,
            last_heartbeat,
            contradiction,
            released,
        }
    }
}

/// How a status contradicts the last one that was accepted.
fn contradiction(last: ReleaseStatus, next: ReleaseStatus) -> Option<UnknownReason> {
    use ReleasePhase::{Canary, Released, RollingBack, Withdrawn};
    if next.build != last.build {
        return (next.build < last.build).then_some(UnknownReason::BuildRegressed);
    }
    match (last.phase, next.phase) {
        (Canary, Canary) if next.stage < last.stage => Some(UnknownReason::StageRegressed),
        (Released, Canary) => Some(UnknownReason::StageRegressed),
        (RollingBack, Canary | Released) | (Withdrawn, Canary | Released | RollingBack) => {
            Some(UnknownReason::Reinstated)
        }
        _ => None,
    }
}
