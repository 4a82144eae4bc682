//! Owns the measurement of releases: scripted days on loopback in bulk, with the operator's file and without it, and
//! the gate by itself at a large size. It prints figures and judges none.
use std::path::Path;
use std::sync::Mutex;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::{Duration, Instant};

use lilacgate_decision::{Build, ReleasePhase, RequestClass, Stage, Tenant, Zone};
use lilacgate_releases::calendar::{self, Schedule};
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::*;
use lilacgate_releases::service_status::ReleaseStatus;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::check::Verdict;
use crate::days::{KINDS, Kind, play};

/// Days of each kind, and how many are played at a time.
const EACH: u64 = 9;
const AT_A_TIME: usize = 18;

/// Plays all days; their verdicts added up, and how many could be played.
fn days(program: &Path, with_operator: bool) -> (Verdict, usize) {
    let all: Vec<(Kind, u64)> = (0..EACH)
        .flat_map(|seed| KINDS.map(|kind| (kind, 1000 + seed)))
        .collect();
    let (next, sum) = (AtomicUsize::new(0), Mutex::new((Verdict::default(), 0)));
    std::thread::scope(|scope| {
        for _ in 0..AT_A_TIME {
            scope.spawn(|| {
                while let Some((kind, seed)) = all.get(next.fetch_add(1, Ordering::Relaxed)) {
                    match play(*kind, *seed, program, with_operator) {
                        Ok(verdict) => {
                            if with_operator && !verdict.is_clean() {
                                println!("{kind:?} {seed}: {verdict:?}");
                            }
                            let mut sum = sum.lock().expect("a lock");
                            sum.0.add(&verdict);
                            sum.1 += 1;
                        }
                        Err(fault) => println!("{kind:?} {seed}: no verdict: {fault}"),
                    }
                }
            });
        }
    });
    sum.into_inner().expect("a lock")
}

/// 200 firms, 8 zones, 30 builds; a ladder of four rings, a chain of four needs, six freezes.
pub fn large() -> Rules {
    let (zones, firms) = (8, 200);
    let names = |what: &str, many: usize| (0..many).map(|i| format!("{what}{i}")).collect();
    let some = |of: usize| PairSet((0..zones * firms).map(|pair| pair % of == 0).collect());
    let ring = |i: usize| Ring {
        name: format!("r{i}"),
        stage: Stage(i as u8),
        soak_before: Duration::from_secs(60),
        pairs: some(8 >> i),
        request_classes: u64::MAX,
    };
    let need = |i: usize| Dependency {
        service: ServiceId(i as u8),
        builds: Builds {
            from: Build(2),
            to: Build(99),
        },
        requires: ServiceId(i as u8 + 1),
        at_least: Build(2),
        scope: if i.is_multiple_of(2) {
            DependencyScope::SameZone
        } else {
            DependencyScope::Everywhere
        },
        canary_when_unknown: WhenUnknown::Close,
        released_when_unknown: WhenUnknown::Hold,
    };
    let zone = calendar::time_zone("Asia/Tokyo").expect("it is built in");
    let at = |text| calendar::week_time(text).expect("a time");
    let freeze = |i: usize| Freeze {
        name: format!("z{i}"),
        service: None,
        pairs: some(i + 2),
        closes_canary: i.is_multiple_of(2),
        schedule: Schedule::Weekly {
            zone: zone.clone(),
            from: at("Fri 18:00"),
            to: at("Mon 06:00"),
        },
    };
    let ladder = Ladder {
        service: ServiceId(0),
        builds: Builds {
            from: Build(2),
            to: Build(99),
        },
        rings: (0..4).map(ring).collect(),
        final_soak: Duration::ZERO,
    };
    let service = |name| Service {
        name,
        silent_after: None,
    };
    Rules {
        zones: names("z", zones),
        tenants: names("f", firms),
        request_classes: names("p", 3),
        services: names("s", 5).into_iter().map(service).collect(),
        own_service: ServiceId(0),
        ladders: vec![ladder],
        dependencies: (0..4).map(need).collect(),
        freezes: (0..6).map(freeze).collect(),
    }
}

/// The time of one look at the table, and of one rebuild, at the large size; medians.
fn gate() -> (f64, f64) {
    let mut now = Duration::from_secs(1_796_083_200);
    let mut gate = Gate::new(large(), None, now).unwrap_or_else(|_| unreachable!("no circle"));
    let told = |build, stage, course, since| ReleaseStatus {
        build: Build(build),
        stage: Stage(stage),
        phase: course,
        since,
    };
    for service in 1..5 {
        gate.on_release_status(
            now,
            ServiceId(service),
            told(5, 0, ReleasePhase::Released, now),
        );
    }
    gate.on_release_status(now, ServiceId(0), told(29, 2, ReleasePhase::Canary, now));
    gate.set_listed_builds(now, (0..30).map(Build));
    let mut chance = Pcg64Mcg::seed_from_u64(7);
    let asked: Vec<(Build, Zone, Tenant, RequestClass)> = (0..4096)
        .map(|_| {
            let (build, zone) = (
                Build(chance.random_range(0..32)),
                Zone(chance.random_range(0..8)),
            );
            (
                build,
                zone,
                Tenant(chance.random_range(0..200)),
                RequestClass(chance.random_range(0..3)),
            )
        })
        .collect();
    let mut looks: Vec<f64> = (0..101)
        .map(|_| {
            let began = Instant::now();
            let open = asked
                .iter()
                .filter(|(b, z, f, p)| gate.admits(*b, *z, *f, *p).is_ok())
                .count();
            std::hint::black_box(open);
            began.elapsed().as_secs_f64() * 1e9 / asked.len() as f64
        })
        .collect();
    let mut rebuilds: Vec<f64> = (0..101)
        .map(|i| {
            now += Duration::from_secs(1);
            let course = if u16::is_multiple_of(i, 2) {
                ReleasePhase::RollingBack
            } else {
                ReleasePhase::Released
            };
            let began = Instant::now();
            gate.on_release_status(now, ServiceId(4), told(5 + i.div_ceil(2), 0, course, now));
            began.elapsed().as_secs_f64() * 1e6
        })
        .collect();
    let median = |times: &mut Vec<f64>| {
        times.sort_by(f64::total_cmp);
        times[times.len() / 2]
    };
    (median(&mut looks), median(&mut rebuilds))
}

/// Measures, and prints the line of figures last. Whether all that is to be reached was.
pub fn releases(program: &Path) -> bool {
    let began = Instant::now();
    let (check_ns, rebuild_us) = gate();
    let (without, _) = days(program, false);
    println!(
        "baseline, the same days without the operator's file: requests={} forbidden={} worst_stop_ms={:.1} lost={} doubled={}",
        without.requests,
        without.forbidden,
        without.worst_stop.as_secs_f64() * 1e3,
        without.lost,
        without.doubled
    );
    let (found, played) = days(program, true);
    for broken in found.broken.iter().take(20) {
        println!("broken: {broken}");
    }
    println!(
        "measure releases: days={played} requests={} settled={} declined={} voided={} forbidden={} worst_stop_ms={:.1} lost={} \
         doubled={} broken_rules={} wrongly_closed={} check_ns={check_ns:.1} rebuild_us={rebuild_us:.0} \
         baseline_forbidden={} seconds={:.0}",
        found.requests,
        found.settled,
        found.declined,
        found.voided,
        found.forbidden,
        found.worst_stop.as_secs_f64() * 1e3,
        found.lost,
        found.doubled,
        found.broken.len(),
        found.wrongly_closed,
        without.forbidden,
        began.elapsed().as_secs_f64()
    );
    found.is_clean() && without.forbidden > 0
}
