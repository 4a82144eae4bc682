//! Generated rules and inputs of the gate. They are the same in each run, since the seed is fixed.
use std::collections::BTreeSet;
use std::time::Duration;

use lilacgate_decision::{Build, ReleasePhase, Stage};
use lilacgate_releases::calendar::Schedule;
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::{
    BuildRange, Dependency, DependencyScope, Freeze, Ladder, PairSet, Ring, Rules, Service,
    ServiceId, WhenUnknown,
};
use lilacgate_releases::planner::Goal;
use lilacgate_releases::service_status::ReleaseStatus;
use proptest::prelude::*;
use proptest::test_runner::RngSeed;

const SEED: u64 = 0x1a7e;
pub(crate) const ZONES: usize = 2;
pub(crate) const TENANTS: usize = 2;
pub(crate) const SERVICES: u8 = 3;
const LAST_BUILD: Build = Build(9);

/// The settings of a property test that runs this many cases.
pub(crate) fn config(cases: u32) -> ProptestConfig {
    ProptestConfig {
        cases,
        failure_persistence: None,
        rng_seed: RngSeed::Fixed(SEED),
        ..ProptestConfig::default()
    }
}

pub(crate) fn seconds(count: u64) -> Duration {
    Duration::from_secs(count)
}

fn pairs() -> impl Strategy<Value = PairSet> {
    prop::collection::vec(prop::bool::weighted(0.6), ZONES * TENANTS).prop_map(PairSet)
}

fn ladder() -> impl Strategy<Value = Ladder> {
    let ring = (0u8..2, 0u64..3, pairs(), 0u64..4);
    (0..SERVICES, prop::collection::vec(ring, 1..4), 0u64..3).prop_map(
        |(service, rings, final_soak)| {
            let mut stage = 0;
            let rings = rings.into_iter().enumerate().map(
                |(i, (stages_up, soak, pairs, request_classes))| {
                    stage += stages_up;
                    Ring {
                        name: format!("r{i}"),
                        stage: Stage(stage),
                        soak_before: seconds(soak),
                        pairs,
                        request_classes,
                    }
                },
            );
            Ladder {
                service: ServiceId(service),
                builds: BuildRange {
                    from: Build(2),
                    to: LAST_BUILD,
                },
                rings: rings.collect(),
                final_soak: seconds(final_soak),
            }
        },
    )
}

/// Generates a dependency. A service only requires services with higher numbers, so that there is no cycle.
pub(crate) fn dependency() -> impl Strategy<Value = Dependency> {
    let flags = any::<[bool; 3]>();
    (0..SERVICES - 1, 1u8..3, 0u16..4, 0u16..4, flags).prop_map(
        |(service, services_on, from, at_least, [everywhere, close_canary, close_released])| {
            let when_unknown = |close| {
                if close {
                    WhenUnknown::Close
                } else {
                    WhenUnknown::Hold
                }
            };
            Dependency {
                service: ServiceId(service),
                builds: BuildRange {
                    from: Build(from),
                    to: LAST_BUILD,
                },
                requires: ServiceId((service + services_on).min(SERVICES - 1)),
                at_least: Build(at_least),
                scope: if everywhere {
                    DependencyScope::Everywhere
                } else {
                    DependencyScope::SameZone
                },
                canary_when_unknown: when_unknown(close_canary),
                released_when_unknown: when_unknown(close_released),
            }
        },
    )
}

pub(crate) fn freeze() -> impl Strategy<Value = Freeze> {
    let service = prop::option::of(0..SERVICES);
    (service, pairs(), any::<bool>(), 0u64..8, 1u64..4).prop_map(
        |(service, pairs, closes_canary, at, length)| Freeze {
            name: "z".into(),
            service: service.map(ServiceId),
            pairs,
            closes_canary,
            schedule: Schedule::OneTime {
                from: seconds(at),
                to: seconds(at + length),
            },
        },
    )
}

pub(crate) fn rules() -> impl Strategy<Value = Rules> {
    let lists = (
        prop::collection::vec(ladder(), 0..3),
        prop::collection::vec(dependency(), 0..4),
        prop::collection::vec(freeze(), 0..3),
    );
    (lists, 0u64..3).prop_map(|((mut ladders, dependencies, freezes), silent)| {
        let mut seen = BTreeSet::new();
        ladders.retain(|ladder: &Ladder| seen.insert(ladder.service));
        let names = |what: &str, count| (0..count).map(|i| format!("{what}{i}")).collect();
        let silent_after = (silent > 0).then(|| seconds(silent * 2));
        let service = |i| Service {
            name: format!("s{i}"),
            silent_after: silent_after.filter(|_| i > 0),
        };
        Rules {
            zones: names("z", ZONES),
            tenants: names("f", TENANTS),
            request_classes: names("p", 2),
            services: (0..SERVICES).map(service).collect(),
            own_service: ServiceId(0),
            ladders,
            dependencies,
            freezes,
        }
    })
}

/// An input of the gate, one second after the previous one.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Input {
    /// Discovery lists this build and the next one.
    Listed { build: u16 },
    /// A release status of a service.
    Status {
        service: u8,
        status: GeneratedStatus,
    },
}

/// A release status without its time.
#[derive(Clone, Copy, Debug)]
pub(crate) struct GeneratedStatus {
    build: u16,
    stage: u8,
    phase: ReleasePhase,
}

impl GeneratedStatus {
    pub(crate) fn since(self, since: Duration) -> ReleaseStatus {
        ReleaseStatus {
            build: Build(self.build),
            stage: Stage(self.stage),
            phase: self.phase,
            since,
        }
    }
}

impl Input {
    /// The builds in a list with this build.
    pub(crate) fn listed(build: u16) -> [Build; 2] {
        [Build(build), Build(build + 1)]
    }

    pub(crate) fn apply(self, gate: &mut Gate, now: Duration) {
        gate.advance(now);
        match self {
            Input::Listed { build } => {
                gate.set_listed_builds(now, Input::listed(build).into_iter());
            }
            Input::Status { service, status } => {
                gate.on_release_status(now, ServiceId(service), status.since(now));
            }
        }
    }
}

/// The phase for a generated number: two of five are canaries, two are releases, one is a rollback.
fn phase(drawn: u8) -> ReleasePhase {
    match drawn {
        0 | 1 => ReleasePhase::Canary,
        2 | 3 => ReleasePhase::Released,
        _ => ReleasePhase::RollingBack,
    }
}

pub(crate) fn inputs() -> impl Strategy<Value = Vec<Input>> {
    let drawn = (0..SERVICES + 1, 1u16..5, 0u8..3, 0u8..5);
    let input = drawn.prop_map(|(source, build, stage, drawn_phase)| {
        let status = GeneratedStatus {
            build,
            stage,
            phase: phase(drawn_phase),
        };
        match source.checked_sub(1) {
            None => Input::Listed { build },
            Some(service) => Input::Status { service, status },
        }
    });
    prop::collection::vec(input, 1..14)
}

pub(crate) fn goals() -> impl Strategy<Value = Vec<Goal>> {
    let goal = (
        0..SERVICES,
        2u16..4,
        prop::option::of(0u64..4),
        prop::option::of(4u64..14),
    );
    prop::collection::vec(goal, 1..4).prop_map(|drawn| {
        let mut seen = BTreeSet::new();
        drawn
            .into_iter()
            .filter(|(service, build, ..)| seen.insert((*service, *build)))
            .map(|(service, build, from, deadline)| Goal {
                service: ServiceId(service),
                build: Build(build),
                not_before: from.map(seconds),
                deadline: deadline.map(seconds),
            })
            .collect()
    })
}
