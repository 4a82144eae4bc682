//! The rules for the whole list must hold with a subset of it: permissions, deduplication scopes, list updates and the
//! cap on a canary.
use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

use lilacgate_decision::{
    AttemptNumber, Build, Endpoint, EndpointId, EndpointStatus, ListUpdate, Outcome,
    ReleasePermissions, ReleasePhase, RequestClass, Stage, Zone,
};
use rstest::rstest;

use super::{
    AGENTS, AttemptEnd, IDEMPOTENT, KEYED_BY_CELL, KEYED_BY_ZONE, Simulation, all_succeed,
    endpoint, endpoints,
};
use crate::support::ReleaseUpdate;

/// The status in which the second build is a canary.
fn canary(stage: u8, cap: f64) -> ReleaseUpdate {
    ReleaseUpdate {
        build: Build(2),
        stage: Stage(stage),
        phase: ReleasePhase::Canary,
        cap,
    }
}

/// A list in which one endpoint of `every` runs the second build, and the ids of these endpoints.
fn list_with_canary(listed: u32, every: u32) -> (Vec<Endpoint>, BTreeSet<EndpointId>) {
    let runs_canary = |index: u32| index.is_multiple_of(every);
    let list = (0..listed).map(|index| Endpoint {
        build: Build(if runs_canary(index) { 2 } else { 1 }),
        ..endpoint(index)
    });
    let canaries = (0..listed)
        .filter(|index| runs_canary(*index))
        .map(|index| endpoint(index).id);
    (list.collect(), canaries.collect())
}

/// Where the operator permits a class only two endpoints of a long list, its requests must reach them although they may
/// be outside the subset, and must reach no others.
#[rstest]
fn permissions_hold_outside_the_subset(#[values(600, 7400)] listed: u32) {
    let mut all = endpoints(listed);
    all.iter_mut().for_each(|endpoint| endpoint.zone = Zone(0));
    all[77].zone = Zone(1);
    all[78].zone = Zone(1);
    let permitted: BTreeSet<_> = [77, 78].map(|index: usize| all[index].id).into();
    for agent in [0, 100, 400] {
        let mut simulation = Simulation::new(agent, &all);
        // Zone 0 is permitted to another class only, zone 1 to all classes.
        let permissions = ReleasePermissions::new(2, 1, &[(Build(1), &[4, 7])], None);
        simulation.receive(|events| events.on_release_permissions(Some(Arc::new(permissions))));
        for tick in 0..300 {
            let requests = u32::from(tick % 10 == 0);
            for (_, to) in simulation.tick(requests, IDEMPOTENT, all_succeed) {
                assert!(permitted.contains(&to), "{to:?} is not permitted");
            }
        }
        assert_eq!(simulation.given_up.len(), 0, "requests rejected");
        assert_eq!(simulation.attempts.request_count(), 30, "requests sent");
    }
}

/// A keyed request that may have run must be sent again only within its deduplication scope, also where no other member
/// of the subset is in that scope.
#[rstest]
#[case::cell(KEYED_BY_CELL)]
#[case::zone(KEYED_BY_ZONE)]
fn a_keyed_request_is_sent_again_within_its_scope(
    #[case] class: RequestClass,
    #[values(600, 7400)] listed: u32,
) {
    let mut all = endpoints(listed);
    for (index, endpoint) in all.iter_mut().enumerate() {
        endpoint.zone = Zone((index / 100) as u8);
    }
    let by_id: BTreeMap<_, _> = all
        .iter()
        .map(|endpoint| (endpoint.id, *endpoint))
        .collect();
    let mut simulation = Simulation::new(9, &all);
    let mut last_endpoint = BTreeMap::new();
    let mut sent_again = BTreeSet::new();
    // The first attempt of each request fails; that is too few failures to eject any endpoint.
    let end = |number: AttemptNumber, _: EndpointId| match number {
        AttemptNumber(0) => AttemptEnd::after_milliseconds(Outcome::Failed, 20),
        _ => AttemptEnd::SUCCESS,
    };
    for tick in 0..300 {
        for (id, to) in simulation.tick(u32::from(tick % 10 == 0), class, end) {
            let Some(before) = last_endpoint.insert(id, to) else {
                continue;
            };
            let (again, first) = (by_id[&to], by_id[&before]);
            let same_scope = if class == KEYED_BY_CELL {
                again.cell == first.cell
            } else {
                again.zone == first.zone
            };
            assert!(
                same_scope,
                "a request was sent again outside its deduplication scope"
            );
            assert!(
                to != before,
                "a request was sent again to the endpoint that failed it, with others in its scope"
            );
            sent_again.insert(id);
        }
    }
    // Requests may be given up because retries hardly help, but not because no endpoint was found.
    assert!(
        sent_again.len() + simulation.given_up.len() >= 29,
        "only {} requests were sent again, and fewer than 29 were sent again or given up",
        sent_again.len()
    );
    assert!(
        sent_again.len() >= 10,
        "only {} requests were sent again",
        sent_again.len()
    );
}

/// While endpoints inside and outside the subset change, no attempt may be sent to one that the list does not show as
/// ready.
#[rstest]
fn nothing_is_sent_to_an_endpoint_that_is_not_ready(#[values(600, 7400)] listed: u32) {
    let mut all = endpoints(listed);
    let mut simulation = Simulation::new(2, &all);
    let mut random = 1_u32;
    for turn in 0..1000 {
        let mut changes = Vec::new();
        for _ in 0..8 {
            random = random.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
            let changed = &mut all[(random >> 8) as usize % listed as usize];
            changed.status = match changed.status {
                EndpointStatus::Ready => EndpointStatus::Draining,
                _ => EndpointStatus::Ready,
            };
            changes.push(*changed);
        }
        let is_ready = |endpoint: &&Endpoint| endpoint.status == EndpointStatus::Ready;
        match turn % 100 {
            // Sometimes all endpoints come as changes, or as a full list without those that drain.
            33 => simulation.change(all.clone()),
            66 => simulation.receive(|events| {
                let mut ready = all.iter().filter(is_ready).copied();
                events.on_endpoints(ListUpdate::Full, &mut ready);
            }),
            _ => simulation.change(changes),
        }
        let ready: BTreeSet<_> = all
            .iter()
            .filter(is_ready)
            .map(|endpoint| endpoint.id)
            .collect();
        for (_, to) in simulation.tick(1, IDEMPOTENT, all_succeed) {
            assert!(
                ready.contains(&to),
                "an attempt was sent to {to:?}, which drains"
            );
        }
    }
    assert_eq!(simulation.given_up.len(), 0);
}

/// An agent gives a canary the share of requests that the canary has of the whole list, whatever its share of the
/// subset.
#[rstest]
fn a_canary_gets_its_share_of_the_list(#[values(600, 7400)] listed: u32) {
    let (list, canaries) = list_with_canary(listed, 20);
    let (mut to_canary, mut all) = (0.0, 0.0);
    for agent in (0..AGENTS).step_by(10) {
        let mut simulation = Simulation::new(agent, &list);
        simulation.receive(|events| canary(1, 0.5).send_to(events));
        let sent = simulation.serve(500, 20);
        all += sent.len() as f64;
        to_canary += sent.iter().filter(|to| canaries.contains(to)).count() as f64;
    }
    let share = to_canary / all;
    assert!(
        (0.03..0.08).contains(&share),
        "a share of {share:.3} went to a canary on a twentieth of the list"
    );
}

/// The cap on a canary holds at each agent, whatever the canary's share of the subset.
#[rstest]
fn the_cap_on_a_canary_holds(#[values(600, 7400)] listed: u32) {
    let (list, canaries) = list_with_canary(listed, 2);
    let mut simulation = Simulation::new(8, &list);
    simulation.receive(|events| canary(0, 0.1).send_to(events));
    let sent = simulation.serve(1000, 50);
    let to_canary = sent.iter().filter(|to| canaries.contains(to)).count() as f64;
    // Three free requests in each window of four seconds, and a tenth of all requests.
    assert!(
        to_canary <= 50.0 + 3.0 * 4.0,
        "{to_canary} of {} went to the canary",
        sent.len()
    );
    assert!(
        to_canary > 20.0,
        "{to_canary} of {} went to the canary",
        sent.len()
    );
}

#[rstest]
fn the_same_events_lead_to_the_same_decisions_and_subset() {
    let run = || {
        let mut simulation = Simulation::new(11, &endpoints(1000));
        let mut sent = simulation.serve(200, 62);
        for index in 0..50 {
            simulation.change(vec![Endpoint {
                status: EndpointStatus::Removed,
                ..endpoint(index * 17)
            }]);
            sent.extend(simulation.serve(10, 62));
        }
        (sent, simulation.members())
    };
    assert_eq!(run(), run());
}
