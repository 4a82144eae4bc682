//! Runs that are drawn at random.
use std::time::Duration;

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::{Fault, ScheduledFault, VirtualFleet};

const HOUR: Duration = Duration::from_secs(3600);
/// Seconds between the stages of a release.
const STAGE_SECONDS: u64 = 15;
const STAGES: u32 = 3;

/// An hour without faults, but with traffic changes, changes of the class mix and one release.
pub fn quiet_hour(seed: u64) -> VirtualFleet {
    let mut rng = Pcg64Mcg::seed_from_u64(seed ^ 0x5eed);
    let nodes = rng.random_range(8..16);
    let mut faults = traffic_changes(&mut rng);
    faults.extend(release(nodes, &mut rng));
    let list_delay = Duration::from_millis(rng.random_range(100..2500));
    VirtualFleet {
        nodes,
        request_rate: f64::from(nodes) * rng.random_range(4.0..9.0),
        duration: HOUR,
        faults,
        list_delay,
        seed,
    }
}

/// A change every few minutes, for some seconds each.
fn traffic_changes(rng: &mut Pcg64Mcg) -> Vec<ScheduledFault> {
    let mut changes = Vec::new();
    let mut at = 60;
    while at < 3500 {
        let seconds = rng.random_range(3..12);
        let fault = match rng.random_range(0..3) {
            0 => Fault::TrafficChange {
                factor: rng.random_range(1.4..2.5),
            },
            1 => Fault::ClassMix {
                first_share: rng.random_range(0.3..0.85),
            },
            _ => Fault::TrafficChange {
                factor: rng.random_range(0.4..1.0),
            },
        };
        changes.push(ScheduledFault {
            at: Duration::from_secs(at),
            duration: Duration::from_secs(seconds),
            fault,
        });
        at += seconds + rng.random_range(20..240);
    }
    changes
}

/// All nodes are replaced by a new build, in three stages.
fn release(nodes: u32, rng: &mut Pcg64Mcg) -> Vec<ScheduledFault> {
    let begins: u64 = rng.random_range(200..2500);
    (0..nodes)
        .map(|node| {
            let stage = u64::from(node * STAGES / nodes);
            let offset = Duration::from_millis(rng.random_range(0..800));
            ScheduledFault {
                at: Duration::from_secs(begins + stage * STAGE_SECONDS) + offset,
                duration: Duration::from_secs(1),
                fault: Fault::Replace { node, build: 2 },
            }
        })
        .collect()
}
