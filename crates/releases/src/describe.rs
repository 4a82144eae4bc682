//! Reasons in plain words, as `lgctl` prints them.
use lilacgate_decision::Build;

use crate::gate::Gate;
use crate::model::DependencyScope;
use crate::reason::{BlockedReason, ClosedReason};

impl Gate {
    /// Why a build is closed somewhere, in plain words.
    pub fn describe_closed(&self, build: Build, reason: ClosedReason) -> String {
        match reason {
            ClosedReason::Open => "open".into(),
            ClosedReason::NotListed => "no appliance is listed with it and no news name it".into(),
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
                format!("it needs {dependency}, which is not so")
            }
            ClosedReason::DependencyUnknown(index) => {
                let dependency = self.describe_dependency(index);
                let unknown = self.describe_unknown(index);
                format!("it needs {dependency}; whether that is so is unknown ({unknown})")
            }
            ClosedReason::OwnStatusUnknown => {
                let rules = self.rules();
                let service = rules.service_name(rules.own_service);
                format!("the news of {service} cannot be relied on")
            }
            ClosedReason::RollingBack => "it is going back: nobody new gets it".into(),
        }
    }

    /// Why a build may not advance, in plain words.
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

    /// Why the service of a dependency is unknown.
    fn describe_unknown(&self, index: u16) -> String {
        let service = self.rules().dependencies[usize::from(index)].requires;
        match self.unknown_reason(service) {
            Some(reason) => format!("Some({})", reason.printed_name()),
            None => "None".into(),
        }
    }
}
