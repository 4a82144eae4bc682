//! What an agent does while little happens: its work follows what it uses, not the length of its list, and it
//! sleeps when nothing is pending.
use std::time::Duration;

use lilacgate_decision::{Build, Endpoint, Outcome, ReleasePhase, Stage};
use rstest::rstest;

use super::{
    AttemptEnd, IDEMPOTENT, Simulation, all_succeed, endpoint, endpoints, requests_in_tick,
};
use crate::support::{EPOCH, ReleaseUpdate};

const REQUESTS_PER_SECOND: u32 = 62;

struct RowsVisited {
    worst_round: u64,
    all: u64,
}

/// The rows that an agent looks at in ten seconds with a change of the list a second, once it has the list.
fn rows_visited(listed: u32) -> RowsVisited {
    let mut simulation = Simulation::new(17, &endpoints(listed));
    let (at_start, mut worst_round) = (simulation.engine.rows_visited(), 0);
    for tick in 0..1000 {
        let before = simulation.engine.rows_visited();
        let requests = requests_in_tick(tick, REQUESTS_PER_SECOND);
        simulation.tick(requests, IDEMPOTENT, all_succeed);
        worst_round = worst_round.max(simulation.engine.rows_visited() - before);
        if tick % 100 == 50 {
            let before = simulation.engine.rows_visited();
            simulation.change(vec![Endpoint {
                started: Some(simulation.now),
                ..endpoint(tick * 7919 % listed)
            }]);
            worst_round = worst_round.max(simulation.engine.rows_visited() - before);
        }
    }
    RowsVisited {
        worst_round,
        all: simulation.engine.rows_visited() - at_start,
    }
}

/// A list that is twelve times as long costs the same; a round looks at no more rows than a subset has, a few
/// times over.
#[rstest]
fn work_does_not_grow_with_the_list() {
    let (short, long) = (rows_visited(600), rows_visited(7400));
    assert!(
        long.all * 10 < short.all * 13,
        "{} rows at 600 listed, {} at 7,400",
        short.all,
        long.all
    );
    assert!(
        long.worst_round < 3000,
        "{} rows in a round at 600 listed, {} at 7,400",
        short.worst_round,
        long.worst_round
    );
}

/// An engine with nothing pending asks for no wake-up: it has a few rounds after its last answer, then none.
#[rstest]
fn an_idle_engine_sleeps(#[values(1, 35, 600, 7400)] listed: u32, #[values(0, 1, 20)] rate: u32) {
    let end = EPOCH + Duration::from_secs(600);
    let mut simulation = Simulation::new(3, &endpoints(listed));
    simulation.serve(100, rate);
    simulation.serve(30, 0);
    simulation.drop_past_wake_ups();
    let mut rounds = 0;
    while let Some(next) = simulation.wake_ups.pop_first().filter(|next| *next < end) {
        simulation.now = next;
        simulation.receive(|_| {});
        rounds += 1;
    }
    assert!(rounds <= 2, "{rounds} rounds with nothing to do");
    simulation.now = end;
    assert_eq!(
        simulation.tick(1, IDEMPOTENT, all_succeed).len(),
        1,
        "what comes then is sent at once"
    );
}

/// An agent with a request now and then, woken only when it asked for it or an answer comes, rejects none.
#[rstest]
fn a_nearly_idle_agent_rejects_nothing(#[values(35, 600, 7400)] listed: u32) {
    for agent in 0..30 {
        let mut simulation = Simulation::new(agent, &endpoints(listed));
        for number in 0..30 {
            let pause = 700 + u64::from(agent * 7 + number * 13) % 19 * 1000;
            let next = simulation.now + Duration::from_millis(pause);
            while let Some(event) = simulation.next_event().filter(|event| *event < next) {
                simulation.now = event;
                simulation.receive(|_| {});
            }
            simulation.now = next;
            assert_eq!(
                simulation.tick(1, IDEMPOTENT, all_succeed).len(),
                1,
                "agent {agent}, request {number}"
            );
        }
        assert_eq!(simulation.given_up, [], "agent {agent}");
    }
}

#[rstest]
fn an_attempt_in_flight_or_a_canary_keeps_the_engine_awake() {
    let wakes_up = |simulation: &Simulation| {
        let now = simulation.now;
        simulation.wake_ups.iter().any(|at| *at > now)
    };
    let mut simulation = Simulation::new(3, &endpoints(600));
    simulation.tick(1, IDEMPOTENT, |_, _| {
        AttemptEnd::after_milliseconds(Outcome::Succeeded, 1500)
    });
    assert!(wakes_up(&simulation), "an attempt is in flight");
    let mut simulation = Simulation::new(3, &endpoints(600));
    simulation.receive(|events| {
        ReleaseUpdate {
            build: Build(2),
            stage: Stage(0),
            phase: ReleasePhase::Canary,
            cap: 0.1,
        }
        .send_to(events);
    });
    assert!(wakes_up(&simulation), "a build is a canary");
}
