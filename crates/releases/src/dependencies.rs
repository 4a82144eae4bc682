//! Evaluates in which zones dependencies are satisfied.
use lilacgate_decision::{Build, Zone};

use crate::model::{Dependency, DependencyScope, ServiceId};
use crate::observed::Observed;
use crate::service_status::ReleaseLookup;

/// Whether a dependency is satisfied in a zone, in the order from the best to the worst state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub(crate) enum DependencyState {
    /// The required build is released in the zone.
    Satisfied,
    /// The received statuses do not tell.
    Unknown,
    /// The required build is not released in the zone.
    Unsatisfied,
}

/// The state of each dependency in each zone.
#[derive(Clone, Debug)]
pub(crate) struct DependencyStates {
    by_dependency: Vec<Vec<DependencyState>>,
}

impl DependencyStates {
    /// Evaluates all dependencies, each after those that it depends on.
    pub(crate) fn of(observed: &Observed) -> Self {
        let rules = &observed.rules;
        let unknown = vec![DependencyState::Unknown; rules.zones.len()];
        let mut states = DependencyStates {
            by_dependency: vec![unknown; rules.dependencies.len()],
        };
        for &index in &observed.dependency_order {
            let dependency = &rules.dependencies[index];
            let by_zone = states.by_zone(observed, dependency);
            states.by_dependency[index] = match dependency.scope {
                DependencyScope::SameZone => by_zone,
                DependencyScope::Everywhere => {
                    let worst = by_zone.iter().max();
                    let worst = worst.copied().unwrap_or(DependencyState::Satisfied);
                    vec![worst; by_zone.len()]
                }
            };
        }
        states
    }

    /// The state of a dependency, by its index in the rules, in a zone.
    pub(crate) fn get(&self, index: usize, zone: Zone) -> DependencyState {
        self.by_dependency[index][usize::from(zone.0)]
    }

    /// The state of a dependency in each zone, without regard to its scope. The dependencies that it depends on must
    /// have been evaluated before.
    fn by_zone(&self, observed: &Observed, dependency: &Dependency) -> Vec<DependencyState> {
        let service = dependency.requires;
        let lookup = match observed.unknown_reason(service) {
            Some(_) => ReleaseLookup::Unknown,
            None => observed.service(service).find_release(dependency.at_least),
        };
        let zones = observed.rules.zone_ids();
        match lookup {
            ReleaseLookup::Missing => zones.map(|_| DependencyState::Unsatisfied).collect(),
            ReleaseLookup::Unknown => zones.map(|_| DependencyState::Unknown).collect(),
            ReleaseLookup::Found(build) => zones
                .map(|zone| self.of_release(observed, service, build, zone))
                .collect(),
        }
    }

    /// Whether a released build has reached all tenants of a zone and its own dependencies are satisfied there.
    fn of_release(
        &self,
        observed: &Observed,
        service: ServiceId,
        build: Build,
        zone: Zone,
    ) -> DependencyState {
        let reached = if has_reached_zone(observed, service, build, zone) {
            DependencyState::Satisfied
        } else {
            DependencyState::Unsatisfied
        };
        let transitive = observed.rules.dependencies(service, build);
        transitive
            .map(|(index, _)| self.get(index, zone))
            .fold(reached, DependencyState::max)
    }
}

/// Whether a released build has reached all tenants of a zone.
fn has_reached_zone(observed: &Observed, service: ServiceId, build: Build, zone: Zone) -> bool {
    let Some(indexed) = observed.indexed_ladder(service, build) else {
        return true;
    };
    let open_rings = observed.open_rings(service, build);
    let is_open = |ring: u8| usize::from(ring) < open_rings;
    observed
        .rules
        .zone_pairs(zone)
        .all(|pair| indexed.first_rings[pair].is_some_and(is_open))
}
