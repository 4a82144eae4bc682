//! Laws over the reports that agents send to the judges of a build: what judges hear of a large fleet is bounded,
//! nothing counts twice, verdicts are as soon as before, and small fleets send what they always did.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(unreachable_pub)] // Not met yet.
mod fleet;
mod relaying;

use std::time::Duration;

use fleet::*;
use lilacgate_decision::{AgentId, RequestClass};
use rstest::rstest;

/// What an agent may hear in a `min-dwell`, headers included: 24 datagrams of 256 octets.
const BUDGET: f64 = 24.0 * 256.0;
const SECOND: Duration = Duration::from_secs(1);

/// The octets a `min-dwell` that the busiest agent hears of a release, headers included.
fn heard(scene: Scene) -> f64 {
    let (from, to) = (RELEASED + SECOND * 2, RELEASED + SECOND * 6);
    let (octets, datagrams) = run(scene, to - DAWN, false).inbound(from, to);
    (octets + datagrams * HEADERS as f64) * DWELL.as_secs_f64()
}

/// A tenth more is left for the moments in which one relay hands over to the next.
#[rstest]
#[case::little_asked(530, 60, 6, 8.0)]
#[case::much_asked(530, 60, 6, 62.0)]
#[case::many_on_trial(530, 600, 60, 30.0)]
#[case::just_relayed(301, 60, 6, 62.0)]
#[case::more_agents(900, 60, 6, 8.0)]
fn what_an_agent_hears_is_bounded(
    #[case] agents: u32,
    #[case] appliances: u32,
    #[case] on_trial: u32,
    #[case] rate: f64,
) {
    let heard = heard(Scene {
        agents,
        appliances,
        on_trial,
        rate,
        ..Scene::default()
    });
    println!("{agents} agents, {appliances} appliances, {rate}/s: {heard:.0} octets a min-dwell");
    assert!(heard <= BUDGET * 1.1, "{heard:.0} octets a min-dwell");
}

/// The mean time to a conviction, in seconds.
fn verdict(scene: Scene) -> f64 {
    let seeds = 16;
    let times = (0..seeds).map(|seed| {
        let convicted = run(Scene { seed, ..scene }, SECOND * 60, true).convicted;
        let (at, by) = convicted.expect("a bad build is convicted");
        assert!(at > RELEASED, "agent {by:?} convicted it at {at:?}");
        (at - RELEASED).as_secs_f64()
    });
    times.sum::<f64>() / f64::from(seeds as u32)
}

/// At most a tenth later than the same fleet was that reported to the judges directly: this scene's mean over these
/// seeds before there were relays.
#[rstest]
#[case::a_twentieth(0.05, 1.814)]
#[case::a_fifth(0.2, 1.152)]
fn a_verdict_is_as_soon_as_without_relays(#[case] failing: f64, #[case] direct: f64) {
    let relayed = verdict(Scene {
        failing,
        ..Scene::default()
    });
    println!("{failing} failing: {relayed:.3} s, directly {direct:.3} s");
    assert!(
        relayed <= direct * 1.1,
        "{relayed:.3} s, directly {direct:.3} s"
    );
}

/// Loss and doubling cost what they did: no good build is convicted, and a bad one is.
#[rstest]
fn a_bad_network_convicts_no_good_build(#[values(1, 2)] seed: u64) {
    let slowest = SECOND / 2;
    let bad = Scene {
        lost: 0.1,
        doubled: 0.3,
        slowest,
        seed,
        ..Scene::default()
    };
    assert_eq!(run(bad, SECOND * 12, true).convicted, None);
    assert!(
        run(
            Scene {
                failing: 0.2,
                ..bad
            },
            SECOND * 12,
            true
        )
        .convicted
        .is_some()
    );
}

#[test]
fn where_agents_may_not_talk_none_does() {
    let scene = Scene {
        may_tell: false,
        ..Scene::default()
    };
    assert_eq!(run(scene, SECOND * 9, false).sent.len(), 0);
}

/// What a member of a fleet tells: octet by octet, to each judge but itself, with a serial number that counts, one
/// appliance's outcome each time.
fn tells_the_judges(mut member: relaying::Module, me: u32, agents: u32) {
    let judges = (0..agents.min(3)).map(|i| AgentId((2 + i * agents / agents.min(3)) % agents));
    for serial in 1..4_u32 {
        let told = member.after(DWELL, |ears| {
            ears.on_wrong_answer(trial(0), RequestClass(0), Duration::ZERO)
        });
        let mut octets = vec![0, 2];
        octets.extend((DAWN.as_millis() as u32).to_be_bytes());
        octets.extend(serial.to_be_bytes());
        octets.extend([0; 6]);
        octets.extend(trial(0).0.to_be_bytes());
        octets.extend([0, 0, 1, 0, 0]);
        let others = judges.clone().filter(|judge| judge.0 != me);
        let expected: Vec<_> = others.map(|judge| (Some(judge), octets.clone())).collect();
        assert_eq!(told, expected, "agent {me} of {agents}");
    }
}

#[rstest]
fn a_small_fleet_sends_what_it_always_did(#[values(1, 2, 3, 4, 30, 200, 300)] agents: u32) {
    for me in [0, agents / 2, agents - 1] {
        tells_the_judges(relaying::Module::new(me, agents, true), me, agents);
    }
}

/// A large fleet that was not asked to use relays reports as a small one does.
#[rstest]
fn without_relays_a_large_fleet_reports_to_the_judges(#[values(301, 530, 900)] agents: u32) {
    for me in [0, agents / 2, agents - 1] {
        tells_the_judges(relaying::Module::without_relays(me, agents), me, agents);
    }
}
