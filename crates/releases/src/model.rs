//! The operator's rules: services and their builds, ladders of rings, dependencies and freezes, and which of them apply
//! to a build. Rules hold no state and no received data, and do not change once they are in use.
use std::time::Duration;

use lilacgate_decision::{Build, RequestClass, Stage, Tenant, Zone};

use crate::calendar::{ActiveWindow, Schedule};
pub use crate::dependency_order::DependencyCycle;

/// A service, by its index in the rules.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ServiceId(pub u8);

/// A range of build numbers, including both ends.
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

/// A set of pairs of a zone and a tenant: for each pair, by [`Rules::pair_index`], whether it is in the set.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct PairSet(pub Vec<bool>);

impl PairSet {
    /// Whether the sets have a pair in common.
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
    /// The name, by which the operator's file and stored states refer to the service.
    pub name: String,
    /// After this time without a heartbeat the service's status is unknown. If `None`, it stays known.
    pub silent_after: Option<Duration>,
}

/// One ring of a ladder: the zones and tenants that get a build when the ring opens.
#[derive(Clone, Debug)]
pub struct Ring {
    /// The name, which is shown to operators.
    pub name: String,
    /// The first stage of a release in which the ring may open.
    pub stage: Stage,
    /// The minimum time that the previous ring must have been open.
    pub soak_before: Duration,
    /// The pairs of a zone and a tenant in the ring.
    pub pairs: PairSet,
    /// The request classes that may use a canary in this ring, as bits.
    pub request_classes: u64,
}

/// The order in which zones and tenants get a service's builds. Pairs that are in no ring never get such a build.
#[derive(Clone, Debug)]
pub struct Ladder {
    /// The service whose builds are released ring by ring.
    pub service: ServiceId,
    /// The builds that the ladder applies to.
    pub builds: BuildRange,
    /// The rings in the order in which they open. The stages never decrease.
    pub rings: Vec<Ring>,
    /// The minimum time that the last ring must have been open before the release.
    pub final_soak: Duration,
}

impl Ladder {
    /// All pairs that are in any ring.
    pub fn pairs(&self) -> PairSet {
        let mut all = PairSet(vec![false; self.pair_count()]);
        for ring in &self.rings {
            all.insert_all(&ring.pairs);
        }
        all
    }

    /// For each pair, the index of the first ring that contains it.
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

/// The zones in which a dependency must be satisfied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum DependencyScope {
    /// In all zones, whichever zone the build is used in.
    Everywhere,
    /// In the zone where the build is used.
    SameZone,
}

/// What happens to a build while it is unknown whether a dependency is satisfied.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum WhenUnknown {
    /// Pairs that have the build keep it; others do not get it.
    Hold,
    /// The build is closed to all pairs.
    Close,
}

/// A requirement of a service's builds: another service must have released a given build or a later one.
#[derive(Clone, Debug)]
pub struct Dependency {
    /// The service that has the dependency.
    pub service: ServiceId,
    /// The service's builds that have the dependency.
    pub builds: BuildRange,
    /// The service that is required.
    pub requires: ServiceId,
    /// The lowest build of the required service that satisfies the dependency.
    pub at_least: Build,
    /// The zones in which the required build must be released.
    pub scope: DependencyScope,
    /// What happens to a canary while it is unknown whether the dependency is satisfied.
    pub canary_when_unknown: WhenUnknown,
    /// What happens to a released build while it is unknown whether the dependency is satisfied.
    pub released_when_unknown: WhenUnknown,
}

/// A time during which builds are closed to new users.
#[derive(Clone, Debug)]
pub struct Freeze {
    /// The name, which is shown to operators.
    pub name: String,
    /// The service whose builds are frozen; all services if `None`.
    pub service: Option<ServiceId>,
    /// The pairs of a zone and a tenant for which builds are frozen.
    pub pairs: PairSet,
    /// Whether canaries are also closed to pairs that have them.
    pub closes_canary: bool,
    /// When the freeze is active.
    pub schedule: Schedule,
}

/// A freeze that is active at the instant of the query.
#[derive(Clone, Copy, Debug)]
pub struct ActiveFreeze<'a> {
    /// The index of the freeze in the rules.
    pub index: usize,
    /// The freeze as the operator defined it.
    pub freeze: &'a Freeze,
    /// The time during which the freeze is active.
    pub window: ActiveWindow,
}

impl ActiveFreeze<'_> {
    /// When the freeze ends; the largest time if it has no end.
    pub(crate) fn end(&self) -> Duration {
        self.window.until.unwrap_or(Duration::MAX)
    }
}

/// All rules of an operator.
#[derive(Clone, Debug)]
pub struct Rules {
    /// The names of the zones, by their numbers.
    pub zones: Vec<String>,
    /// The names of the tenants, by their numbers.
    pub tenants: Vec<String>,
    /// The names of the request classes, by their numbers.
    pub request_classes: Vec<String>,
    /// The services, by their [`ServiceId`].
    pub services: Vec<Service>,
    /// The service whose requests this agent routes.
    pub own_service: ServiceId,
    /// The ladders; for a build the first one that applies is used.
    pub ladders: Vec<Ladder>,
    /// The dependencies, all of which must be satisfied.
    pub dependencies: Vec<Dependency>,
    /// The freezes, which may overlap.
    pub freezes: Vec<Freeze>,
}

impl Rules {
    /// The index of a pair of a zone and a tenant: zone × number of tenants + tenant.
    pub fn pair_index(&self, zone: Zone, tenant: Tenant) -> usize {
        usize::from(zone.0) * self.tenants.len() + usize::from(tenant.0)
    }

    /// The number of pairs of a zone and a tenant.
    pub fn pair_count(&self) -> usize {
        self.zones.len() * self.tenants.len()
    }

    /// The indices of all pairs of a zone.
    pub fn zone_pairs(&self, zone: Zone) -> std::ops::Range<usize> {
        let first = self.pair_index(zone, Tenant(0));
        first..first + self.tenants.len()
    }

    /// The numbers of all zones.
    pub fn zone_ids(&self) -> impl Iterator<Item = Zone> + use<> {
        (0..self.zones.len()).map(|zone| Zone(zone as u8))
    }

    /// The name of a service; `?` if the rules do not have it.
    pub fn service_name(&self, id: ServiceId) -> &str {
        self.services
            .get(usize::from(id.0))
            .map_or("?", |service| &service.name)
    }

    /// The ids of all services.
    pub fn service_ids(&self) -> impl Iterator<Item = ServiceId> + use<> {
        (0..self.services.len()).map(|id| ServiceId(id as u8))
    }

    /// The bit of a request class in a 64-bit set; 0 for a class above 63.
    pub fn request_class_bit(class: RequestClass) -> u64 {
        1u64.checked_shl(u32::from(class.0)).unwrap_or(0)
    }

    /// The first ladder that applies to a build.
    pub fn ladder(&self, service: ServiceId, build: Build) -> Option<&Ladder> {
        let index = self.ladder_index(service, build)?;
        self.ladders.get(index)
    }

    /// The index in the rules of the first ladder that applies to a build.
    pub(crate) fn ladder_index(&self, service: ServiceId, build: Build) -> Option<usize> {
        self.ladders
            .iter()
            .position(|ladder| ladder.service == service && ladder.builds.contains(build))
    }

    /// The dependencies of a build, with their indices in the rules.
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

    /// The freeze that keeps a build from advancing to its next stage. A freeze does so if it applies to any pair of
    /// the build's ladder; of several the one that ends last is returned.
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

    /// The freeze that keeps a ring from opening, if all pairs of the ring are frozen. Of several freezes the one that
    /// ends first is returned.
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

    /// The zones in which a build may be used after it advances from a stage to the next one.
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
