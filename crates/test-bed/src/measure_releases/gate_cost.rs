//! What the release gate's lookups and rebuilds cost at a large size.
use std::time::{Duration, Instant};

use lilacgate_decision::{Build, ReleasePhase, RequestClass, Stage, Tenant, Zone};
use lilacgate_releases::calendar::{self, Schedule};
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::{
    BuildRange, Dependency, DependencyScope, Freeze, Ladder, PairSet, Ring, Rules, Service,
    ServiceId, WhenUnknown,
};
use lilacgate_releases::service_status::ReleaseStatus;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

const ZONES: usize = 8;
const TENANTS: usize = 200;
const CLASSES: usize = 3;
const BUILDS: u16 = 30;
const SERVICES: u8 = 5;
const RINGS: usize = 4;
const FREEZES: usize = 6;

/// 2026-12-01, a time outside of all freezes' edges.
const START: Duration = Duration::from_secs(1_796_083_200);
const LOOKUPS: usize = 4096;
/// How often each cost is measured; the result is the median.
const SAMPLES: usize = 101;

/// Medians.
pub(super) struct GateCost {
    /// The time of one lookup in nanoseconds.
    pub(super) check_ns: f64,
    /// The time of one rebuild of the table in microseconds.
    pub(super) rebuild_us: f64,
}

pub(super) fn measure() -> GateCost {
    let mut gate = Gate::new(large_rules(), None, START)
        .unwrap_or_else(|_| unreachable!("the needs have no circle"));
    for service in 1..SERVICES {
        let released = release_fact(5, 0, ReleasePhase::Released, START);
        gate.on_release_status(START, ServiceId(service), released);
    }
    let canary = release_fact(BUILDS - 1, 2, ReleasePhase::Canary, START);
    gate.on_release_status(START, ServiceId(0), canary);
    gate.set_listed_builds(START, (0..BUILDS).map(Build));
    GateCost {
        check_ns: lookup_ns(&gate),
        rebuild_us: rebuild_us(&mut gate),
    }
}

fn release_fact(build: u16, stage: u8, phase: ReleasePhase, since: Duration) -> ReleaseStatus {
    ReleaseStatus {
        build: Build(build),
        stage: Stage(stage),
        phase,
        since,
    }
}

fn lookup_ns(gate: &Gate) -> f64 {
    let mut rng = Pcg64Mcg::seed_from_u64(7);
    let lookups: Vec<(Build, Zone, Tenant, RequestClass)> = (0..LOOKUPS)
        .map(|_| {
            (
                Build(rng.random_range(0..BUILDS + 2)),
                Zone(rng.random_range(0..ZONES as u8)),
                Tenant(rng.random_range(0..TENANTS as u16)),
                RequestClass(rng.random_range(0..CLASSES as u8)),
            )
        })
        .collect();
    let sample = |_| {
        let began = Instant::now();
        let admitted = lookups
            .iter()
            .filter(|(build, zone, tenant, class)| {
                gate.admits(*build, *zone, *tenant, *class).is_ok()
            })
            .count();
        std::hint::black_box(admitted);
        began.elapsed().as_secs_f64() * 1e9 / lookups.len() as f64
    };
    median((0..SAMPLES).map(sample).collect())
}

/// A dependency is rolled back and released in turns; each time the table is rebuilt.
fn rebuild_us(gate: &mut Gate) -> f64 {
    let mut now = START;
    let sample = |i: u16| {
        now += Duration::from_secs(1);
        let phase = if i.is_multiple_of(2) {
            ReleasePhase::RollingBack
        } else {
            ReleasePhase::Released
        };
        let update = release_fact(5 + i.div_ceil(2), 0, phase, now);
        let began = Instant::now();
        gate.on_release_status(now, ServiceId(SERVICES - 1), update);
        began.elapsed().as_secs_f64() * 1e6
    };
    median((0..SAMPLES as u16).map(sample).collect())
}

fn median(mut times: Vec<f64>) -> f64 {
    times.sort_by(f64::total_cmp);
    times[times.len() / 2]
}

/// A ladder of four rings, a chain of four needs, and six freezes.
fn large_rules() -> Rules {
    let names = |prefix: &str, count: usize| -> Vec<String> {
        (0..count).map(|i| format!("{prefix}{i}")).collect()
    };
    let service = |name| Service {
        name,
        silent_after: None,
    };
    let ladder = Ladder {
        service: ServiceId(0),
        builds: builds_from_2(),
        rings: (0..RINGS).map(ring).collect(),
        final_soak: Duration::ZERO,
    };
    Rules {
        zones: names("z", ZONES),
        tenants: names("f", TENANTS),
        request_classes: names("p", CLASSES),
        services: names("s", usize::from(SERVICES))
            .into_iter()
            .map(service)
            .collect(),
        own_service: ServiceId(0),
        ladders: vec![ladder],
        dependencies: (0..SERVICES - 1).map(need).collect(),
        freezes: (0..FREEZES).map(freeze).collect(),
    }
}

fn builds_from_2() -> BuildRange {
    BuildRange {
        from: Build(2),
        to: Build(99),
    }
}

/// Every `interval`-th pair of a zone and a tenant.
fn every_nth_pair(interval: usize) -> PairSet {
    PairSet(
        (0..ZONES * TENANTS)
            .map(|pair| pair.is_multiple_of(interval))
            .collect(),
    )
}

fn ring(number: usize) -> Ring {
    Ring {
        name: format!("r{number}"),
        stage: Stage(number as u8),
        soak_before: Duration::from_secs(60),
        pairs: every_nth_pair(8 >> number),
        request_classes: u64::MAX,
    }
}

/// A service needs the next one.
fn need(service: u8) -> Dependency {
    Dependency {
        service: ServiceId(service),
        builds: builds_from_2(),
        requires: ServiceId(service + 1),
        at_least: Build(2),
        scope: if service.is_multiple_of(2) {
            DependencyScope::SameZone
        } else {
            DependencyScope::Everywhere
        },
        canary_when_unknown: WhenUnknown::Close,
        released_when_unknown: WhenUnknown::Hold,
    }
}

/// Over each weekend.
fn freeze(number: usize) -> Freeze {
    let week_time = |text| calendar::parse_week_time(text).expect("a time of the week");
    Freeze {
        name: format!("z{number}"),
        service: None,
        pairs: every_nth_pair(number + 2),
        closes_canary: number.is_multiple_of(2),
        schedule: Schedule::Weekly {
            zone: calendar::parse_time_zone("Asia/Tokyo").expect("a built-in time zone"),
            from: week_time("Fri 18:00"),
            to: week_time("Mon 06:00"),
        },
    }
}
