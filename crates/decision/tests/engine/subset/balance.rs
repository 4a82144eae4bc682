//! How evenly all agents together load the endpoints through their subsets, also when the list changes.
use std::collections::BTreeMap;

use lilacgate_decision::{Endpoint, EndpointId, EndpointStatus};
use rstest::rstest;

use super::{AGENTS, SUBSET_SIZE, Simulation, endpoint, endpoints};
use crate::support::overload_limit;

fn removed(index: u32) -> Endpoint {
    Endpoint {
        status: EndpointStatus::Removed,
        ..endpoint(index)
    }
}

/// Requests a second at an agent: a few agents get most of them.
fn skewed_rate(agent: u32) -> u32 {
    match agent % 10 {
        0 => 60,
        1..4 => 16,
        _ => 8,
    }
}

/// The number of requests that each endpoint gets from all agents in ten seconds, after `replaced` of them were
/// replaced one by one.
fn requests_received(listed: u32, replaced: u32) -> Vec<u32> {
    let mut received = BTreeMap::<EndpointId, u32>::new();
    received.extend((replaced..listed + replaced).map(|index| (endpoint(index).id, 0)));
    for agent in 0..AGENTS {
        let mut simulation = Simulation::new(agent, &endpoints(listed));
        simulation.serve(100, skewed_rate(agent));
        for index in 0..replaced {
            simulation.change(vec![removed(index), endpoint(listed + index)]);
            simulation.serve(1, 0);
        }
        for to in simulation.serve(1000, skewed_rate(agent)) {
            *received.get_mut(&to).expect("the endpoint is listed") += 1;
        }
    }
    received.into_values().collect()
}

#[rstest]
#[case::one(1, 0)]
#[case::five(5, 0)]
#[case::thirty_five(35, 0)]
#[case::thirty_five_replaced(35, 4)]
#[case::six_hundred(600, 0)]
#[case::six_hundred_replaced(600, 60)]
fn load_is_even(#[case] listed: u32, #[case] replaced: u32) {
    let received = requests_received(listed, replaced);
    let mean = f64::from(received.iter().sum::<u32>()) / f64::from(listed);
    let most = f64::from(*received.iter().max().expect("there are endpoints")) / mean;
    let least = f64::from(*received.iter().min().expect("there are endpoints")) / mean;
    println!(
        "{listed} listed, {replaced} replaced: most {most:.2}, least {least:.2} times the mean {mean:.0}"
    );
    assert!(
        most < 1.6 && least > 0.5,
        "the most loaded endpoint got {most:.2} times the mean, the least loaded {least:.2} times"
    );
}

/// When an endpoint is removed, only the subsets that had it change, each by one other endpoint. When one is added, it
/// replaces one endpoint in each subset that it joins, and joins hardly more subsets than its share.
#[rstest]
fn a_change_of_one_endpoint_moves_only_its_own_share(
    #[values(600, 2400)] listed: u32,
    #[values(0, 17, 333)] changed: u32,
) {
    let (mut subsets_with_removed, mut moved_by_removal) = (0, 0);
    let (mut subsets_with_added, mut moved_by_addition) = (0, 0);
    for agent in 0..AGENTS {
        let mut simulation = Simulation::new(agent, &endpoints(listed));
        let at_first = simulation.members();
        simulation.change(vec![removed(changed)]);
        let one_less = simulation.members();
        subsets_with_removed += usize::from(at_first.contains(&endpoint(changed).id));
        moved_by_removal += one_less.difference(&at_first).count();
        simulation.change(vec![endpoint(listed)]);
        let one_more = simulation.members();
        subsets_with_added += usize::from(one_more.contains(&endpoint(listed).id));
        moved_by_addition += one_more.difference(&one_less).count();
        assert_eq!(
            (at_first.len(), one_less.len(), one_more.len()),
            (SUBSET_SIZE, SUBSET_SIZE, SUBSET_SIZE)
        );
    }
    assert!(
        subsets_with_removed > 0 && moved_by_removal <= subsets_with_removed,
        "{moved_by_removal} members were added when an endpoint of {subsets_with_removed} subsets was removed"
    );
    assert!(
        moved_by_addition <= subsets_with_added,
        "{moved_by_addition} members were added when an endpoint joined {subsets_with_added} subsets"
    );
    let share = AGENTS as usize * SUBSET_SIZE / listed as usize;
    assert!(
        subsets_with_added < share * 8 / 5,
        "an added endpoint of {listed} joined {subsets_with_added} subsets, where {share} are its share"
    );
}

/// When a tenth of the endpoints has just started and all others drain, no endpoint may get so much from all agents in
/// a second that it is overloaded while it warms up.
#[rstest]
fn slow_start_holds_over_all_agents(
    #[values(600, 2400)] listed: u32,
    #[values(1, 4)] load_multiple: u32,
) {
    let rate = 8;
    let mut received = BTreeMap::<EndpointId, u32>::new();
    for agent in 0..AGENTS {
        let mut simulation = Simulation::new(agent, &endpoints(listed));
        simulation.serve(200, rate);
        let now = simulation.now;
        let changed = (0..listed).map(|index| match index % 10 {
            0 => Endpoint {
                started: Some(now),
                ..endpoint(index)
            },
            _ => Endpoint {
                status: EndpointStatus::Draining,
                ..endpoint(index)
            },
        });
        simulation.change(changed.collect());
        for to in simulation.serve(100, rate * load_multiple) {
            *received.entry(to).or_default() += 1;
        }
    }
    let fair = f64::from(AGENTS) * f64::from(rate) / f64::from(listed);
    let limit = overload_limit(fair);
    let most = received.values().copied().max().unwrap_or_default();
    let sum: u32 = received.values().sum();
    println!(
        "{listed} listed, load times {load_multiple}: most {most}, limit {limit:.0}, sum {sum}"
    );
    assert!(
        f64::from(most) <= limit,
        "an endpoint got {most} requests in a second and is overloaded above {limit:.0}"
    );
    assert!(
        sum > 0,
        "nothing was sent, although all endpoints that are left are warming up and may get some requests"
    );
}
