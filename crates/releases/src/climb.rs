//! Owns how far a build has climbed its ladder: which rings are open, since when, and when the next one is due. It must
//! never open a ring before its time, and never shuts one again: what closes an open ring is not the ladder's doing.
use std::time::Duration;

use lilacgate_decision::{ReleasePhase, Stage};

use crate::facts::Told;
use crate::model::{Ladder, Rules, ServiceId};

/// One build's way up.
#[derive(Clone, Debug, Default)]
pub(crate) struct Climb {
    /// The stages it was told to stand at, and since when, rising; a release counts as the highest of all.
    pub(crate) reached: Vec<(Stage, Duration)>,
    /// When each ring opened.
    pub(crate) opened: Vec<Duration>,
}

/// The stage that a release counts as.
const RELEASED: Stage = Stage(u8::MAX);

impl Climb {
    /// Takes news of this build.
    pub(crate) fn told(&mut self, told: Told) {
        let stage = match told.course {
            ReleasePhase::Canary => told.stage,
            ReleasePhase::Released => RELEASED,
            // What goes back climbs no further.
            ReleasePhase::RollingBack | ReleasePhase::Withdrawn => return,
        };
        if self.reached.last().is_none_or(|(last, _)| *last < stage) {
            self.reached.push((stage, told.since));
        }
    }

    /// Since when it stands at a stage or above.
    fn since(&self, stage: Stage) -> Option<Duration> {
        self.reached
            .iter()
            .find(|(s, _)| *s >= stage)
            .map(|(_, at)| *at)
    }

    /// When the next ring is due, freezes aside; nothing if its stage is not reached, or there is none.
    pub(crate) fn due(&self, ladder: &Ladder) -> Option<Duration> {
        let next = ladder.rings.get(self.opened.len())?;
        let since = self.since(next.stage)?;
        Some(self.earned(ladder).map_or(since, |at| at.max(since)))
    }

    /// When the ring that is open last has been open for as long as the next one, or the release, asks.
    pub(crate) fn earned(&self, ladder: &Ladder) -> Option<Duration> {
        let after = ladder
            .rings
            .get(self.opened.len())
            .map_or(ladder.settles, |ring| ring.after);
        self.opened.last().map(|at| at.saturating_add(after))
    }

    /// Whether the first that was heard of it was its release: then no freeze that is in force now kept it from anyone.
    fn came_released(&self) -> bool {
        self.reached
            .first()
            .is_some_and(|(stage, _)| *stage == RELEASED)
    }

    /// Opens what is due. `climbs` is whether the build still goes up.
    pub(crate) fn advance(
        &mut self,
        now: Duration,
        rules: &Rules,
        service: ServiceId,
        ladder: &Ladder,
        climbs: bool,
    ) {
        while let Some(due) = self.due(ladder).filter(|due| climbs && *due <= now) {
            let ring = &ladder.rings[self.opened.len()];
            let frozen =
                |at| !self.came_released() && rules.holds_ring(service, ring, at).is_some();
            match (frozen(due), frozen(now)) {
                (true, true) => return,
                // Frozen when it was due, it opens only now.
                (true, false) => self.opened.push(now),
                (false, _) => self.opened.push(due),
            }
        }
    }
}
