//! Owns what is heard of a service's builds, with its age, and what can be said of it: known, or unknown and why. It
//! must never take back what it was told, nor believe what contradicts it.
use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, Stage};
use serde::{Deserialize, Serialize};

/// Released builds that are remembered below the newest.
const REMEMBERED: usize = 8;

/// News of a service's newest build.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Told {
    pub build: Build,
    pub stage: Stage,
    pub course: ReleasePhase,
    /// When it came to stand so, since 1970.
    pub since: Duration,
}

/// Why a service's standing is unknown.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "kebab-case")]
pub enum Doubt {
    /// Nothing was ever heard.
    Unheard,
    /// Nothing was heard for too long.
    Silent,
    /// It told of a build before the newest one known.
    BuildWentBack,
    /// It told of a stage before the one known.
    StageWentBack,
    /// A build that was taken back stands again.
    CameBack,
}

/// Whether a service has a released build that does for a need.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Standing {
    /// Its newest released build does.
    Yes(Build),
    No,
    Unknown,
}

/// What is known of one service.
#[derive(Clone, Debug, Default)]
pub struct Fact {
    last: Option<Told>,
    heard: Option<Duration>,
    odd: Option<Doubt>,
    released: BTreeSet<Build>,
}

impl Fact {
    /// A sign of life.
    pub fn alive(&mut self, now: Duration) {
        self.heard = Some(self.heard.unwrap_or_default().max(now));
    }

    /// Takes news. What contradicts what was told before is not believed, and leaves the service unknown until it
    /// tells something that fits again.
    pub fn tell(&mut self, now: Duration, told: Told) {
        self.alive(now);
        self.odd = self.last.and_then(|last| odd(last, told));
        if self.odd.is_some() {
            return;
        }
        match told.course {
            ReleasePhase::Released => drop(self.released.insert(told.build)),
            ReleasePhase::RollingBack | ReleasePhase::Withdrawn => {
                drop(self.released.split_off(&told.build))
            }
            ReleasePhase::Canary => {}
        }
        while self.released.len() > REMEMBERED {
            self.released.pop_first();
        }
        // News that only repeat what stands do not make it younger.
        let same = self
            .last
            .filter(|l| (l.build, l.stage, l.course) == (told.build, told.stage, told.course));
        let since = same.map_or(told.since, |last| last.since.min(told.since));
        self.last = Some(Told { since, ..told });
    }

    /// The last news that were believed.
    pub fn last(&self) -> Option<Told> {
        self.last
    }

    pub fn heard(&self) -> Option<Duration> {
        self.heard
    }

    /// The released builds that are known to stand.
    pub fn released(&self) -> impl Iterator<Item = Build> + '_ {
        self.released.iter().copied()
    }

    /// Why nothing can be said of it now, if so.
    pub fn doubt(&self, now: Duration, silent_after: Option<Duration>) -> Option<Doubt> {
        let Some(heard) = self.heard.filter(|_| self.last.is_some()) else {
            return Some(Doubt::Unheard);
        };
        let silent = silent_after.is_some_and(|most| now >= heard.saturating_add(most));
        self.odd.or(silent.then_some(Doubt::Silent))
    }

    /// Whether its newest released build is at or above another. Asked only where there is no doubt.
    pub fn stands(&self, at_least: Build) -> Standing {
        let Some(last) = self.last else {
            return Standing::Unknown;
        };
        match self.released.last() {
            Some(&newest) if newest >= at_least => Standing::Yes(newest),
            // What is released lies below the newest build, if that is not released itself.
            _ if last.course == ReleasePhase::Released || last.build <= at_least => Standing::No,
            // It lies between the last release that is known and the newest build, and may do.
            _ => Standing::Unknown,
        }
    }

    /// One that was kept, as [`crate::record`] has it.
    pub(crate) fn kept(
        last: Option<Told>,
        heard: Option<Duration>,
        odd: Option<Doubt>,
        released: BTreeSet<Build>,
    ) -> Self {
        Fact {
            last,
            heard,
            odd,
            released,
        }
    }

    pub(crate) fn odd(&self) -> Option<Doubt> {
        self.odd
    }
}

/// How news contradict the last that were believed.
fn odd(last: Told, told: Told) -> Option<Doubt> {
    use ReleasePhase::{Canary, Released, RollingBack, Withdrawn};
    if told.build != last.build {
        return (told.build < last.build).then_some(Doubt::BuildWentBack);
    }
    match (last.course, told.course) {
        (Canary, Canary) if told.stage < last.stage => Some(Doubt::StageWentBack),
        (Released, Canary) => Some(Doubt::StageWentBack),
        (RollingBack, Canary | Released) | (Withdrawn, Canary | Released | RollingBack) => {
            Some(Doubt::CameBack)
        }
        _ => None,
    }
}
