//! A build's progress on its ladder: which rings are open and since when, and when the next one is due. A ring never
//! opens before it is due. An open ring never closes again; a build is closed later by freezes, dependencies and
//! rollbacks only.
use std::time::Duration;

use lilacgate_decision::{ReleasePhase, Stage};

use crate::model::{Ladder, Rules, ServiceId};
use crate::service_status::ReleaseStatus;

/// The stage that stands for a release; higher than every real stage.
const RELEASED: Stage = Stage(u8::MAX);

/// A stage, and when a build reached it.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct ReachedStage {
    /// The stage that was reached.
    pub(crate) stage: Stage,
    /// When the stage was reached, as time since 1970.
    pub(crate) at: Duration,
}

/// The progress of one build.
#[derive(Clone, Debug, Default)]
pub(crate) struct StageProgress {
    /// The stages that the build has reached, in ascending order. A release counts as the highest stage.
    pub(crate) reached: Vec<ReachedStage>,
    /// When each open ring opened, as time since 1970.
    pub(crate) opened: Vec<Duration>,
}

impl StageProgress {
    /// Records a release status of this build.
    pub(crate) fn receive(&mut self, status: ReleaseStatus) {
        let stage = match status.phase {
            ReleasePhase::Canary => status.stage,
            ReleasePhase::Released => RELEASED,
            // A build that is being rolled back reaches no further stage.
            ReleasePhase::RollingBack | ReleasePhase::Withdrawn => return,
        };
        if self.reached.last().is_none_or(|last| last.stage < stage) {
            self.reached.push(ReachedStage {
                stage,
                at: status.since,
            });
        }
    }

    /// Since when the build is in a stage or a later one.
    fn since(&self, stage: Stage) -> Option<Duration> {
        let found = self.reached.iter().find(|reached| reached.stage >= stage);
        found.map(|reached| reached.at)
    }

    /// When the next ring is due, without regard to freezes; `None` if its stage is not reached or there is no further
    /// ring.
    pub(crate) fn next_ring_due(&self, ladder: &Ladder) -> Option<Duration> {
        let next = ladder.rings.get(self.opened.len())?;
        let since = self.since(next.stage)?;
        Some(self.soak_ends_at(ladder).map_or(since, |at| at.max(since)))
    }

    /// When the ring that opened last has been open for as long as the next ring or the release requires.
    pub(crate) fn soak_ends_at(&self, ladder: &Ladder) -> Option<Duration> {
        let soak = ladder
            .rings
            .get(self.opened.len())
            .map_or(ladder.final_soak, |ring| ring.soak_before);
        self.opened.last().map(|at| at.saturating_add(soak))
    }

    /// Whether the build was already released when it was first announced. Then its rings opened before, and an active
    /// freeze does not delay them.
    fn announced_as_released(&self) -> bool {
        self.reached
            .first()
            .is_some_and(|first| first.stage == RELEASED)
    }

    /// Opens the rings that are due.
    pub(crate) fn open_due_rings(
        &mut self,
        now: Duration,
        rules: &Rules,
        service: ServiceId,
        ladder: &Ladder,
    ) {
        while let Some(due) = self.next_ring_due(ladder).filter(|due| *due <= now) {
            let ring = &ladder.rings[self.opened.len()];
            let frozen = |at| {
                !self.announced_as_released()
                    && rules.freeze_blocking_ring(service, ring, at).is_some()
            };
            match (frozen(due), frozen(now)) {
                (true, true) => return,
                // The ring was frozen when it was due, so that it opens only now.
                (true, false) => self.opened.push(now),
                (false, _) => self.opened.push(due),
            }
        }
    }
}
