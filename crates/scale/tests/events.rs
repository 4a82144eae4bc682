//! Events on a small fleet: all agents act on list changes, and their cost is recorded.
use std::time::Duration;

use lilacgate_capacity::{EventKind, Quantity, Target};
use lilacgate_scale::event::{self, Observed, Pace};
use lilacgate_scale::fleet::FleetSize;
use lilacgate_scale::resources::Limits;
use lilacgate_scale::run::{self, Plan};
use rstest::rstest;

fn target() -> Target {
    let path = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/capacity.xml");
    Target::load(path.as_ref()).expect("the target file")
}

fn play(kind: EventKind) -> Observed {
    let size = FleetSize {
        agents: 8,
        appliances: 120,
        services: 3,
        request_rate: 300.0,
        ..FleetSize::default()
    };
    let warm_up = Duration::from_secs(2);
    let plan = Plan {
        size,
        seed: 3,
        threads: 2,
        warm_up,
        window: Duration::ZERO,
    };
    let mut simulation = run::warm(&plan, &Limits::new(None)).expect("a fleet");
    let pace = Pace {
        hour: 10.0,
        partition: 20.0,
        seed: 3,
    };
    event::play(kind, &mut simulation, &target(), &pace).expect("no limit is reached")
}

#[rstest]
#[case::change(EventKind::ConfigurationChange)]
#[case::day(EventKind::OrdinaryDay)]
#[case::rack(EventKind::RackLoss)]
#[case::zone(EventKind::ZoneLoss)]
#[case::releases(EventKind::ManyReleases)]
fn changes_come_into_force_at_all_agents(#[case] kind: EventKind) {
    let observed = play(kind);
    let figures = observed.figures();
    assert_eq!(observed.modules_behind, 0);
    assert!(
        (0.1..1000.0).contains(&figures[&Quantity::InForceMillis]),
        "{figures:?}"
    );
    assert!(figures[&Quantity::RestartBytes] > 0.0);
    assert_eq!(figures[&Quantity::BrokenRules], 0.0);
    assert!(figures[&Quantity::Requests] > 500.0);
}

/// Agents that restart request their lists within half of the 10 s that they may take.
#[test]
fn agents_that_restart_together_get_their_lists() {
    let observed = play(EventKind::RegionRestart);
    let figures = observed.figures();
    assert!(
        (1.0..6000.0).contains(&figures[&Quantity::ReadyMillis]),
        "{figures:?}"
    );
    assert_eq!(figures[&Quantity::BrokenRules], 0.0);
    // 2 of the 4 agents of a region, with a list of 120.
    let list = figures[&Quantity::ListBytes];
    assert!(
        (figures[&Quantity::RestartBytes] - 2.0 * list).abs() < 1.0,
        "{figures:?}"
    );
}

/// While the regions are apart, those that cannot reach discovery retry; their pauses
/// end within half as much again as the 10 s that they may take.
#[test]
fn regions_that_join_again_get_their_lists() {
    let observed = play(EventKind::RegionPartition);
    let figures = observed.figures();
    assert!(
        (1.0..16_000.0).contains(&figures[&Quantity::ReadyMillis]),
        "{figures:?}"
    );
    assert_eq!(observed.modules_behind, 0);
    assert_eq!(figures[&Quantity::BrokenRules], 0.0);
}
