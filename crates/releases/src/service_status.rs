//! The release statuses received from a service, and whether the service's status is known or why it is unknown. A
//! status that contradicts the last accepted one is rejected. An accepted status is never revoked.
use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, Stage};
use serde::{Deserialize, Serialize};

/// The number of released builds that are kept for a service; older ones are dropped.
const MAX_RELEASED: usize = 8;

/// The release status of a service's newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ReleaseStatus {
    /// The service's newest build.
    pub build: Build,
    /// The stage of its release.
    pub stage: Stage,
    /// Whether it is a canary, released, being rolled back or withdrawn.
    pub phase: ReleasePhase,
    /// When the build reached this stage and phase, as time since 1970.
    pub since: Duration,
}

impl ReleaseStatus {
    /// Whether the statuses differ at most in their times.
    fn repeats(&self, other: &ReleaseStatus) -> bool {
        self.build == other.build && self.stage == other.stage && self.phase == other.phase
    }
}

/// Why a service's status is unknown. The serialized names are part of the stored state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum UnknownReason {
    /// No status has been received yet.
    #[serde(rename = "unheard")]
    NeverReceived,
    /// No heartbeat or status was received during the service's `silent_after`.
    #[serde(rename = "silent")]
    Silent,
    /// The last status named an earlier build than the newest known one.
    #[serde(rename = "build-went-back")]
    BuildRegressed,
    /// The last status named an earlier stage than the known one.
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

/// Whether a service has released a given build or a later one.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReleaseLookup {
    /// It has; this is its newest released build.
    Found(Build),
    /// It has released no such build.
    Missing,
    /// The received statuses do not tell.
    Unknown,
}

/// The state of one service as far as it was received.
#[derive(Clone, Debug, Default)]
pub(crate) struct ServiceStatus {
    last: Option<ReleaseStatus>,
    last_heartbeat: Option<Duration>,
    contradiction: Option<UnknownReason>,
    released: BTreeSet<Build>,
}

impl ServiceStatus {
    /// Records a heartbeat.
    pub(crate) fn on_heartbeat(&mut self, now: Duration) {
        self.last_heartbeat = Some(self.last_heartbeat.unwrap_or_default().max(now));
    }

    /// Records a status. A status that contradicts the last accepted one is rejected, and the service's status is
    /// unknown until a consistent one is received.
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
        // A repeated status keeps the earlier time.
        let repeated = self.last.filter(|last| last.repeats(&status));
        let since = repeated.map_or(status.since, |last| last.since.min(status.since));
        self.last = Some(ReleaseStatus { since, ..status });
    }

    /// The last status that was accepted.
    pub(crate) fn last(&self) -> Option<ReleaseStatus> {
        self.last
    }

    /// When the last heartbeat or status was received, as time since 1970.
    pub(crate) fn last_heartbeat(&self) -> Option<Duration> {
        self.last_heartbeat
    }

    /// Why the last status was rejected, if it was.
    pub(crate) fn contradiction(&self) -> Option<UnknownReason> {
        self.contradiction
    }

    /// The known released builds, in ascending order.
    pub(crate) fn released(&self) -> impl Iterator<Item = Build> + '_ {
        self.released.iter().copied()
    }

    /// Why the status is unknown at `now`, if it is.
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

    /// Looks for a released build that is not below `at_least`. The result is valid only while the status is known.
    pub(crate) fn find_release(&self, at_least: Build) -> ReleaseLookup {
        let Some(last) = self.last else {
            return ReleaseLookup::Unknown;
        };
        match self.released.last() {
            Some(&newest) if newest >= at_least => ReleaseLookup::Found(newest),
            // All released builds are below the newest build, unless the newest build itself is released.
            _ if last.phase == ReleasePhase::Released || last.build <= at_least => {
                ReleaseLookup::Missing
            }
            // A build between the last known release and the newest build may have been released.
            _ => ReleaseLookup::Unknown,
        }
    }

    /// Creates the status from the values that [`crate::stored_state`] has read.
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

/// How a status contradicts the last accepted one, if it does.
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
