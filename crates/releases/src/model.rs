//! The operator's rules: services and their builds, ladders of rings, dependencies, freezes, and which of them concern a
//! build. Rules hold no state and nothing that was received, and do not change once they are in use.
use std::time::Duration;

use lilacgate_decision::{Build, RequestClass, Stage, Tenant, Zone};

use crate::calendar::{ActiveWindow, Schedule};
pub use crate::dependency_order::DependencyCycle;

/// A service, by its index in the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u8);

/// A range of builds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct BuildRange {
    /// The first build.
    pub from: Build,
    /// The last build.
    pub to: Build,
}

impl BuildRange {
    /// All builds.
    pub const ALL: BuildRange = BuildRange {
        from: Build(0),
        to: Build(u16::MAX),
    };

    /// Whether a build is in the range.
    pub fn contains(self, build: Build) -> bool {
        self.from <= build && build <= self.to
    }
}

/// A set of pairs of a zone and a tenant. The index of a pair is zone x number of tenants + tenant, as
/// [`Rules::pair`] has it.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PairSet(pub Vec<bool>);

impl PairSet {
    /// Whether two sets have a pair in common.
    pub fn intersects(&self, other: &PairSet) -> bool {
        self.0.iter().zip(&other.0).any(|(one, two)| *one && *two)
    }

    /// Adds all pairs of another set.
    fn insert_all(&mut self, other: &PairSet) {
        for (own, other) in self.0.iter_mut().zip(&other.0) {
            *own |= other;
        }
    }
}

/// A service whose builds are released.
#[derive(Clone, Debug)]
pub struct Service {
    /// Its name.
    pub name: String,
    /// After this time without a heartbeat its status is unknown. If there is none, it stays known.
    pub silent_after: Option<Duration>,
}

/// One ring of a ladder: who gets a build next.
#[derive(Clone, Debug)]
pub struct Ring {
    /// Its name.
    pub name: String,
    /// The stage from which on it may open.
    pub stage: Stage,
    /// The least time that the ring before it must have been open.
    pub soak_before: Duration,
    /// The pairs that it holds.
    pub pairs: PairSet,
    /// The request classes that may use a canary there, as bits.
    pub request_classes: u64,
}

/// The order in which builds of a service come to zones and tenants. Pairs in no ring never get such a build.
#[derive(Clone, Debug)]
pub struct Ladder {
    /// The service.
    pub service: ServiceId,
    /// The builds that the ladder applies to.
    pub builds: BuildRange,
    /// The rings, in their order; the stages never fall.
    pub rings: Vec<Ring>,
    /// The least time that the last ring must have been open before the release.
    pub final_soak: Duration,
}

impl Ladder {
    /// All pairs that any of its rings holds.
    pub fn pairs(&self) -> PairSet {
        let mut all = PairSet(vec![false; self.pair_count()]);
        for ring in &self.rings {
            all.insert_all(&ring.pairs);
        }
        all
    }

    /// By pair, the index of the first ring that holds it.
    pub fn first_rings(&self) -> Vec<Option<u8>> {
        let first = |pair| {
            let mut rings = self.rings.iter();
            let found = rings.position(|ring| ring.pairs.0[pair]);
            found.map(|ring| ring as u8)
        };
        (0..self.pair_count()).map(first).collect()
    }

    fn pair_count(&self) -> usize {
        self.rings.first().map_or(0, |ring| ring.pairs.0.len())
    }
}

/// Where a dependency must be satisfied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyScope {
    /// In all zones, for any zone.
    Everywhere,
    /// In the zone where the build is used.
    SameZone,
}

/// What happens to a build while it is unknown whether a dependency is satisfied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenUnknown {
    /// Those who have it keep it, others do not get it.
    Hold,
    /// It is closed to all.
    Close,
}

/// Builds of a service require another service at a released build, or a later one.
#[derive(Clone, Debug)]
pub struct Dependency {
    /// The service that has the dependency.
    pub service: ServiceId,
    /// Its builds that have it.
    pub builds: BuildRange,
    /// The service that is required.
    pub requires: ServiceId,
    /// The least build of it.
    pub at_least: Build,
    /// Where.
    pub scope: DependencyScope,
    /// For canaries.
    pub canary_when_unknown: WhenUnknown,
    /// For released builds.
    pub released_when_unknown: WhenUnknown,
}

/// While it is active, builds are closed to new users.
#[derive(Clone, Debug)]
pub struct Freeze {
    /// Its name.
    pub name: String,
    /// The service that it concerns; all services if there is none.
    pub service: Option<ServiceId>,
    /// The pairs that it concerns.
    pub pairs: PairSet,
    /// Whether canaries are closed to those who have them, too.
    pub closes_canary: bool,
    /// When it is active.
    pub schedule: Schedule,
}

/// An active freeze.
#[derive(Clone, Copy, Debug)]
pub struct ActiveFreeze<'a> {
    /// Its index in the rules.
    pub index: usize,
    /// The freeze.
    pub freeze: &'a Freeze,
    /// Since and until when it is active.
    pub window: ActiveWindow,
}

impl ActiveFreeze<'_> {
    /// When it ends; a freeze without an end ends last.
    pub(crate) fn end(&self) -> Duration {
        self.window.until.unwrap_or(Duration::MAX)
    }
}

/// All rules of an operator.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The names of the zones.
    pub zones: Vec<String>,
    /// The names of the tenants.
    pub tenants: Vec<String>,
    /// The names of the request classes.
    pub request_classes: Vec<String>,
    /// The services.
    pub services: Vec<Service>,
    /// The service whose builds are routed here.
    pub own_service: ServiceId,
    /// The ladders.
    pub ladders: Vec<Ladder>,
    /// The dependencies.
    pub dependencies: Vec<Dependency>,
    /// The freezes.
    pub freezes: Vec<Freeze>,
}

impl Rules {
    /// The index of a pair of a zone and a tenant.
    pub fn pair_index(&self, zone: Zone, tenant: Tenant) -> usize {
        usize::from(zone.0) * self.tenants.len() + usize::from(tenant.0)
    }

    /// The number of pairs.
    pub fn pair_count(&self) -> usize {
        self.zones.len() * self.tenants.len()
    }

    /// The indices of the pairs of a zone.
    pub fn zone_pairs(&self, zone: Zone) -> std::ops::Range<usize> {
        let first = self.pair_index(zone, Tenant(0));
        first..first + self.tenants.len()
    }

    /// All zones.
    pub fn zone_ids(&self) -> impl Iterator<Item = Zone> + use<> {
        (0..self.zones.len()).map(|zone| Zone(zone as u8))
    }

    /// The name of a service.
    pub fn service_name(&self, id: ServiceId) -> &str {
        self.services
            .get(usize::from(id.0))
            .map_or("?", |service| &service.name)
    }

    /// All services.
    pub fn service_ids(&self) -> impl Iterator<Item = ServiceId> + use<> {
        (0..self.services.len()).map(|id| ServiceId(id as u8))
    }

    /// The bit of a request class; 0 for one beyond the bits.
    pub fn request_class_bit(class: RequestClass) -> u64 {
        1u64.checked_shl(u32::from(class.0)).unwrap_or(0)
    }

    /// The ladder of a build: the first that applies to it.
    pub fn ladder(&self, service: ServiceId, build: Build) -> Option<&Ladder> {
        let index = self.ladder_index(service, build)?;
        self.ladders.get(index)
    }

    /// The index of a build's ladder.
    pub(crate) fn ladder_index(&self, service: ServiceId, build: Build) -> Option<usize> {
        self.ladders
            .iter()
            .position(|ladder| ladder.service == service && ladder.builds.contains(build))
    }

    /// The dependencies of a build, with their indices.
    pub fn dependencies(
        &self,
        service: ServiceId,
        build: Build,
    ) -> impl Iterator<Item = (usize, &Dependency)> {
        let concerns = move |dependency: &Dependency| {
            dependency.service == service && dependency.builds.contains(build)
        };
        let all = self.dependencies.iter().enumerate();
        all.filter(move |(_, dependency)| concerns(dependency))
    }

    /// The freezes that are active for a service, in the order of the rules.
    pub fn active_freezes(
        &self,
        service: ServiceId,
        now: Duration,
    ) -> impl Iterator<Item = ActiveFreeze<'_>> {
        let all = self.freezes.iter().enumerate();
        all.filter_map(move |(index, freeze)| {
            let concerns = freeze.service.is_none_or(|concerned| concerned == service);
            let window = freeze.schedule.active_window(now).filter(|_| concerns)?;
            Some(ActiveFreeze {
                index,
                freeze,
                window,
            })
        })
    }

    /// The freeze that holds a build in its stage: any that concerns a pair of its ladder; the one that ends last.
    pub fn freeze_blocking_step(
        &self,
        service: ServiceId,
        build: Build,
        now: Duration,
    ) -> Option<ActiveFreeze<'_>> {
        let pairs = self.ladder(service, build).map(Ladder::pairs);
        let concerns = |frozen: &ActiveFreeze<'_>| {
            let pairs = pairs.as_ref();
            pairs.is_none_or(|pairs| pairs.intersects(&frozen.freeze.pairs))
        };
        self.active_freezes(service, now)
            .filter(concerns)
            .max_by_key(ActiveFreeze::end)
    }

    /// The freeze that keeps a ring from opening, if all pairs of the ring are frozen; the one that ends first.
    pub fn freeze_blocking_ring(
        &self,
        service: ServiceId,
        ring: &Ring,
        now: Duration,
    ) -> Option<ActiveFreeze<'_>> {
        let active: Vec<ActiveFreeze<'_>> = self.active_freezes(service, now).collect();
        let is_frozen = |pair: usize| active.iter().any(|frozen| frozen.freeze.pairs.0[pair]);
        let mut pairs = ring.pairs.0.iter().enumerate();
        if !pairs.all(|(pair, is_in_ring)| !is_in_ring || is_frozen(pair)) {
            return None;
        }
        active
            .into_iter()
            .filter(|frozen| frozen.freeze.pairs.intersects(&ring.pairs))
            .min_by_key(ActiveFreeze::end)
    }

    /// The zones in which a build is used after the next step from a stage.
    pub fn zones_after_next_step(
        &self,
        service: ServiceId,
        build: Build,
        stage: Stage,
    ) -> Vec<Zone> {
        let Some(ladder) = self.ladder(service, build) else {
            return self.zone_ids().collect();
        };
        let stages = ladder.rings.iter().map(|ring| ring.stage);
        let next = stages
            .into_iter()
            .find(|later| *later > stage)
            .unwrap_or(stage);
        let in_ring = |ring: &Ring, zone: Zone| {
            let mut pairs = self.zone_pairs(zone);
            ring.stage <= next && pairs.any(|pair| ring.pairs.0[pair])
        };
        self.zone_ids()
            .filter(|zone| ladder.rings.iter().any(|ring| in_ring(ring, *zone)))
            .collect()
    }
}
