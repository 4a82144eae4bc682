//! Descriptions of reasons, as `lgctl` prints them.
use lilacgate_decision::Build;

use crate::gate::Gate;
use crate::model::DependencyScope;
use crate::reason::{BlockedReason, ClosedReason};

impl Gate {
    /// Describes why a build is closed to a zone and a tenant.
    pub fn describe_closed(&self, build: Build, reason: ClosedReason) -> String {
        match reason {
            ClosedReason::Open => "open".into(),
            ClosedReason::NotListed => {
                "no endpoint is listed with it and no release status names it".into()
            }
            ClosedReason::NoRing => "no ring of its ladder holds this zone and firm".into(),
            ClosedReason::RingNotOpen(ring) => {
                format!("ring {:?} is not open yet", self.ring_name(build, ring))
            }
            ClosedReason::RequestClass => "open there, but not to this product".into(),
            ClosedReason::Frozen(index) => {
                let name = &self.rules().freezes[usize::from(index)].name;
                format!("the freeze {name:?} lets nobody new have it")
            }
            ClosedReason::DependencyUnsatisfied(index) => {
                let dependency = self.describe_dependency(index);
                format!("it needs {dependency}, which is not the case")
            }
            ClosedReason::DependencyUnknown(index) => {
                let dependency = self.describe_dependency(index);
                let unknown = self.describe_unknown(index);
                format!("it needs {dependency}; whether that is so is unknown ({unknown})")
            }
            ClosedReason::OwnStatusUnknown => {
                let rules = self.rules();
                let service = rules.service_name(rules.own_service);
                format!("the release status of {service} is missing, too old or contradictory")
            }
            ClosedReason::RollingBack => "it is being rolled back: no new users get it".into(),
        }
    }

    /// Describes why a build may not advance to its next stage.
    pub fn describe_hold(&self, build: Build, reason: BlockedReason) -> String {
        match reason {
            BlockedReason::NoCanary => "no build is on trial".into(),
            BlockedReason::RingTime(ring) => {
                format!(
                    "ring {:?} has not had its time",
                    self.ring_name(build, ring)
                )
            }
            BlockedReason::Frozen(index) => {
                let name = &self.rules().freezes[usize::from(index)].name;
                format!("the freeze {name:?} is in force")
            }
            BlockedReason::DependencyUnsatisfied(index) => {
                self.describe_closed(build, ClosedReason::DependencyUnsatisfied(index))
            }
            BlockedReason::DependencyUnknown(index) => {
                self.describe_closed(build, ClosedReason::DependencyUnknown(index))
            }
            BlockedReason::OwnStatusUnknown => {
                self.describe_closed(build, ClosedReason::OwnStatusUnknown)
            }
            BlockedReason::NoTraffic => "the build is open to none of this agent's requests".into(),
        }
    }

    fn ring_name(&self, build: Build, ring: u8) -> &str {
        let rules = self.rules();
        let ladder = rules.ladder(rules.own_service, build);
        ladder
            .and_then(|ladder| ladder.rings.get(usize::from(ring)))
            .map_or("?", |ring| &ring.name)
    }

    fn describe_dependency(&self, index: u16) -> String {
        let rules = self.rules();
        let dependency = &rules.dependencies[usize::from(index)];
        let scope = match dependency.scope {
            DependencyScope::SameZone => "in the same zone",
            DependencyScope::Everywhere => "everywhere",
        };
        let service = rules.service_name(dependency.requires);
        format!(
            "{service} {} or later, released {scope}",
            dependency.at_least.0
        )
    }

    /// Why the status of a dependency's required service is unknown, as `Some(..)` or `None`.
    fn describe_unknown(&self, index: u16) -> String {
        let service = self.rules().dependencies[usize::from(index)].requires;
        match self.unknown_reason(service) {
            Some(reason) => format!("Some({})", reason.printed_name()),
            None => "None".into(),
        }
    }
}
