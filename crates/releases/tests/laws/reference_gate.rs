//! A simple reference implementation of the gate, written from its design. It computes one cell at a time and stores
//! only which pairs have a build, when each ring opened, and what was received.
use std::collections::{BTreeMap, BTreeSet};

use lilacgate_decision::{Build, ReleasePhase};
use lilacgate_releases::model::{
    Dependency, DependencyScope, Ladder, Ring, Rules, ServiceId, WhenUnknown,
};
use lilacgate_releases::service_status::ReleaseStatus;

use crate::generated::{Input, TENANTS, ZONES, seconds};

const OWN_SERVICE: u8 = 0;
const RELEASED_STAGE: u8 = u8::MAX;

/// Whether a dependency is satisfied, in the order from the best to the worst state.
#[derive(Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Satisfied {
    Yes,
    Unknown,
    No,
}

/// Whether a build is closed, and whether it is held: kept by pairs that have it and closed to others.
#[derive(Default)]
struct Restriction {
    close: bool,
    hold: bool,
}

/// The reference implementation of the gate. Times are in seconds.
pub(crate) struct ReferenceGate<'a> {
    pub(crate) rules: &'a Rules,
    pub(crate) now: u64,
    last: BTreeMap<u8, ReleaseStatus>,
    heartbeat: BTreeMap<u8, u64>,
    contradicted: BTreeSet<u8>,
    released: BTreeMap<u8, BTreeSet<u16>>,
    reached: BTreeMap<(u8, u16), Vec<(u8, u64)>>,
    opened: BTreeMap<(u8, u16), Vec<u64>>,
    listed: BTreeSet<u16>,
    has_build: BTreeMap<(u16, usize), bool>,
}

impl<'a> ReferenceGate<'a> {
    pub(crate) fn new(rules: &'a Rules) -> Self {
        ReferenceGate {
            rules,
            now: 0,
            last: BTreeMap::new(),
            heartbeat: BTreeMap::new(),
            contradicted: BTreeSet::new(),
            released: BTreeMap::new(),
            reached: BTreeMap::new(),
            opened: BTreeMap::new(),
            listed: BTreeSet::new(),
            has_build: BTreeMap::new(),
        }
    }

    /// Whether a freeze applies to a pair, and if so, whether it closes canaries.
    fn frozen(&self, service: u8, at: u64, pair: usize) -> Option<bool> {
        let freezes = self.rules.freezes.iter();
        freezes
            .filter(|freeze| freeze.service.is_none_or(|of| of.0 == service))
            .filter(|freeze| freeze.pairs.0[pair])
            .filter(|freeze| freeze.schedule.active_window(seconds(at)).is_some())
            .map(|freeze| freeze.closes_canary)
            .max()
    }

    pub(crate) fn receive(&mut self, input: Input) {
        match input {
            Input::Listed { build } => {
                self.listed = Input::listed(build).map(|build| build.0).into();
            }
            Input::Status { service, status } => {
                self.receive_status(service, status.since(seconds(self.now)));
            }
        }
        self.forget_unnamed();
    }

    fn receive_status(&mut self, service: u8, status: ReleaseStatus) {
        self.heartbeat.insert(service, self.now);
        if self
            .last
            .get(&service)
            .is_some_and(|last| contradicts(last, &status))
        {
            self.contradicted.insert(service);
            return;
        }
        self.contradicted.remove(&service);
        let known = self.released.entry(service).or_default();
        match status.phase {
            ReleasePhase::Released => drop(known.insert(status.build.0)),
            ReleasePhase::Canary => {}
            _ => known.retain(|build| *build < status.build.0),
        }
        self.last.insert(service, status);
        let stage = match status.phase {
            ReleasePhase::Canary => status.stage.0,
            ReleasePhase::Released => RELEASED_STAGE,
            _ => return,
        };
        let reached = self.reached.entry((service, status.build.0)).or_default();
        if reached.last().is_none_or(|(last, _)| *last < stage) {
            reached.push((stage, self.now));
        }
    }

    /// Puts builds that are listed but not announced into the first stage, and removes builds that are neither listed
    /// nor announced.
    fn forget_unnamed(&mut self) {
        let newest = self.last.get(&OWN_SERVICE).map(|last| last.build.0);
        let named: BTreeSet<u16> = self.listed.iter().copied().chain(newest).collect();
        for build in &named {
            if newest.is_none_or(|newest| *build > newest) {
                let reached = self.reached.entry((OWN_SERVICE, *build)).or_default();
                if reached.is_empty() {
                    reached.push((0, self.now));
                }
            }
        }
        self.has_build.retain(|(build, _), _| named.contains(build));
        let (last, released) = (&self.last, &self.released);
        let is_known = |service: u8, build: u16| {
            (service == OWN_SERVICE && named.contains(&build))
                || last.get(&service).is_some_and(|last| last.build.0 == build)
                || released
                    .get(&service)
                    .is_some_and(|known| known.contains(&build))
        };
        self.reached
            .retain(|(service, build), _| is_known(*service, *build));
        self.opened
            .retain(|(service, build), _| is_known(*service, *build));
    }

    fn is_unknown(&self, service: u8) -> bool {
        let silent_after = self.rules.services[usize::from(service)].silent_after;
        let Some(heartbeat) = self.heartbeat.get(&service) else {
            return true;
        };
        let silent =
            silent_after.is_some_and(|most| seconds(self.now) >= seconds(*heartbeat) + most);
        self.contradicted.contains(&service) || silent
    }

    /// Opens the rings that are due.
    pub(crate) fn open_rings(&mut self) {
        for ((service, build), reached) in self.reached.clone() {
            let Some(ladder) = self.rules.ladder(ServiceId(service), Build(build)) else {
                continue;
            };
            let last = self.last.get(&service).filter(|last| last.build.0 == build);
            if last.is_some_and(|last| !advances(last.phase)) {
                continue;
            }
            let opened = self.opened.remove(&(service, build)).unwrap_or_default();
            let opened = self.with_due_rings(service, ladder, &reached, opened);
            self.opened.insert((service, build), opened);
        }
    }

    fn with_due_rings(
        &self,
        service: u8,
        ladder: &Ladder,
        reached: &[(u8, u64)],
        mut opened: Vec<u64>,
    ) -> Vec<u64> {
        let announced_as_released = reached[0].0 == RELEASED_STAGE;
        for ring in &ladder.rings[opened.len()..] {
            let in_stage = reached.iter().find(|(stage, _)| *stage >= ring.stage.0);
            let Some((_, since)) = in_stage else {
                break;
            };
            let due = opened
                .last()
                .map_or(*since, |at| (at + ring.soak_before.as_secs()).max(*since));
            let frozen = |at| !announced_as_released && self.is_ring_frozen(service, ring, at);
            if due > self.now || (frozen(due) && frozen(self.now)) {
                break;
            }
            opened.push(if frozen(due) { self.now } else { due });
        }
        opened
    }

    /// Whether a ring has pairs and all of them are frozen.
    fn is_ring_frozen(&self, service: u8, ring: &Ring, at: u64) -> bool {
        let mut pairs = (0..ring.pairs.0.len())
            .filter(|pair| ring.pairs.0[*pair])
            .peekable();
        pairs.peek().is_some() && pairs.all(|pair| self.frozen(service, at, pair).is_some())
    }

    /// Whether a build has reached a pair; `None` if the build has no ladder.
    fn has_reached(&self, service: u8, build: u16, pair: usize) -> Option<bool> {
        let ladder = self.rules.ladder(ServiceId(service), Build(build))?;
        let opened = self.opened.get(&(service, build)).map_or(0, Vec::len);
        let mut rings = ladder.rings[..opened].iter();
        Some(rings.any(|ring| ring.pairs.0[pair]))
    }

    fn satisfied(&self, dependency: &Dependency, zone: usize) -> Satisfied {
        let service = dependency.requires.0;
        if self.is_unknown(service) {
            return Satisfied::Unknown;
        }
        let newest = self
            .released
            .get(&service)
            .and_then(|known| known.last().copied());
        let Some(build) = newest.filter(|build| *build >= dependency.at_least.0) else {
            let last = &self.last[&service];
            let is_missing =
                last.phase == ReleasePhase::Released || last.build <= dependency.at_least;
            return if is_missing {
                Satisfied::No
            } else {
                Satisfied::Unknown
            };
        };
        let zones = match dependency.scope {
            DependencyScope::Everywhere => 0..ZONES,
            DependencyScope::SameZone => zone..zone + 1,
        };
        let worst = zones
            .map(|zone| self.satisfied_by(service, build, zone))
            .max();
        worst.unwrap_or(Satisfied::Yes)
    }

    /// Whether a released build satisfies a dependency in a zone.
    fn satisfied_by(&self, service: u8, build: u16, zone: usize) -> Satisfied {
        let reached_all = (zone * TENANTS..(zone + 1) * TENANTS)
            .all(|pair| self.has_reached(service, build, pair) != Some(false));
        let reached = if reached_all {
            Satisfied::Yes
        } else {
            Satisfied::No
        };
        let transitive = self
            .rules
            .dependencies(ServiceId(service), Build(build))
            .map(|(_, dependency)| self.satisfied(dependency, zone))
            .max();
        transitive.unwrap_or(Satisfied::Yes).max(reached)
    }

    /// Whether requests of a class are admitted. Each call updates whether the pair has the build.
    pub(crate) fn admits(&mut self, build: u16, zone: usize, tenant: usize, class: u8) -> bool {
        let newest = self.last.get(&OWN_SERVICE).copied();
        let named =
            self.listed.contains(&build) || newest.is_some_and(|last| last.build.0 == build);
        if !named {
            return false;
        }
        let pair = zone * TENANTS + tenant;
        let earlier = newest.is_some_and(|last| build < last.build.0);
        let phase = newest
            .filter(|last| last.build.0 == build)
            .map(|last| last.phase);
        let released = earlier || phase == Some(ReleasePhase::Released);
        let Restriction {
            mut close,
            mut hold,
        } = self.by_dependencies(build, zone, released);
        let mut classes = u64::MAX;
        if !earlier {
            hold |= self.is_unknown(OWN_SERVICE) || phase.is_some_and(|phase| !advances(phase));
            match self.frozen(OWN_SERVICE, self.now, pair) {
                Some(true) if !released => close = true,
                Some(_) => hold = true,
                None => {}
            }
            close |= self.has_reached(OWN_SERVICE, build, pair) == Some(false);
            if !released {
                classes = self.classes_of_open_rings(build, pair);
            }
        }
        let has_build = self.has_build.entry((build, pair)).or_insert(released);
        *has_build = !close && (!hold || *has_build);
        *has_build && classes >> class & 1 == 1
    }

    /// The restriction of a build by its dependencies in a zone.
    fn by_dependencies(&self, build: u16, zone: usize, released: bool) -> Restriction {
        let mut restriction = Restriction::default();
        let dependencies = self
            .rules
            .dependencies(ServiceId(OWN_SERVICE), Build(build));
        for (_, dependency) in dependencies {
            let when_unknown = if released {
                dependency.released_when_unknown
            } else {
                dependency.canary_when_unknown
            };
            match (self.satisfied(dependency, zone), when_unknown) {
                (Satisfied::Yes, _) => {}
                (Satisfied::No, _) | (Satisfied::Unknown, WhenUnknown::Close) => {
                    restriction.close = true;
                }
                (Satisfied::Unknown, WhenUnknown::Hold) => restriction.hold = true,
            }
        }
        restriction
    }

    /// The request classes that the open rings allow for a pair; all classes if there is no ladder.
    fn classes_of_open_rings(&self, build: u16, pair: usize) -> u64 {
        let ladder = self.rules.ladder(ServiceId(OWN_SERVICE), Build(build));
        let opened = self.opened.get(&(OWN_SERVICE, build)).map_or(0, Vec::len);
        ladder.map_or(u64::MAX, |ladder| {
            let rings = ladder.rings[..opened].iter();
            rings
                .filter(|ring| ring.pairs.0[pair])
                .fold(0, |all, ring| all | ring.request_classes)
        })
    }
}

fn advances(phase: ReleasePhase) -> bool {
    matches!(phase, ReleasePhase::Canary | ReleasePhase::Released)
}

/// Whether a status contradicts the last one.
fn contradicts(last: &ReleaseStatus, status: &ReleaseStatus) -> bool {
    let regressed = match (last.phase, status.phase) {
        (ReleasePhase::Canary, ReleasePhase::Canary) => status.stage < last.stage,
        (ReleasePhase::Released, ReleasePhase::Canary) => true,
        (ReleasePhase::RollingBack, phase) => advances(phase),
        _ => false,
    };
    status.build < last.build || (last.build == status.build && regressed)
}
