//! What an agent does when endpoints of its subset fail, restart, drain or are removed.
use std::collections::BTreeSet;

use lilacgate_decision::{AttemptNumber, Endpoint, EndpointId, EndpointStatus, Outcome, Zone};
use rstest::rstest;

use super::{AttemptEnd, IDEMPOTENT, SUBSET_SIZE, Simulation, endpoints};

/// A fault that all members of a subset have at once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    RefusesConnections,
    /// The members in two of eight zones answer nothing.
    Silent,
    JustStarted,
    Drained,
    Removed,
}

impl Fault {
    /// Whether the list shows the fault; otherwise the agent learns of it by its attempts.
    fn is_listed(self) -> bool {
        matches!(self, Fault::JustStarted | Fault::Drained | Fault::Removed)
    }

    fn attempt_end(self) -> AttemptEnd {
        match self {
            Fault::RefusesConnections => AttemptEnd::after_milliseconds(Outcome::ConnectFailed, 5),
            Fault::Silent => AttemptEnd::after_milliseconds(Outcome::TimedOut, 1800),
            Fault::JustStarted | Fault::Drained | Fault::Removed => AttemptEnd::SUCCESS,
        }
    }

    fn change(self, endpoint: Endpoint, simulation: &Simulation) -> Endpoint {
        let mut changed = endpoint;
        match self {
            Fault::JustStarted => changed.started = Some(simulation.now),
            Fault::Drained => changed.status = EndpointStatus::Draining,
            Fault::Removed => changed.status = EndpointStatus::Removed,
            Fault::RefusesConnections | Fault::Silent => {}
        }
        changed
    }
}

/// The members of the subset that have the fault.
fn faulty_members(fault: Fault, simulation: &Simulation, all: &[Endpoint]) -> BTreeSet<EndpointId> {
    let mut members = simulation.members();
    assert_eq!(members.len(), SUBSET_SIZE);
    if fault == Fault::Silent {
        let in_two_zones: BTreeSet<_> = all
            .iter()
            .filter(|endpoint| endpoint.zone < Zone(2))
            .map(|endpoint| endpoint.id)
            .collect();
        members.retain(|id| in_two_zones.contains(id));
    }
    members
}

/// Changes the faulty members in the list, and checks that others replace them at once.
fn list_fault(
    fault: Fault,
    simulation: &mut Simulation,
    all: &[Endpoint],
    faulty: &BTreeSet<EndpointId>,
) {
    let changed = all
        .iter()
        .filter(|endpoint| faulty.contains(&endpoint.id))
        .map(|endpoint| fault.change(*endpoint, simulation))
        .collect();
    simulation.change(changed);
    assert_eq!(
        simulation.members().difference(faulty).count(),
        SUBSET_SIZE,
        "the faulty members were not replaced at once"
    );
}

/// All endpoints that an agent works with fail at once, or those in two zones stop answering. Once the agent has
/// noticed, it must not reject any request for that; members whose fault the list shows must be replaced at once.
#[rstest]
fn a_subset_that_fails_is_replaced_or_widened(
    #[values(
        Fault::RefusesConnections,
        Fault::Silent,
        Fault::JustStarted,
        Fault::Drained,
        Fault::Removed
    )]
    fault: Fault,
    #[values(600, 7400)] listed: u32,
) {
    let all = endpoints(listed);
    let mut simulation = Simulation::new(5, &all);
    simulation.serve(300, 20);
    let faulty = faulty_members(fault, &simulation, &all);
    let end = |_: AttemptNumber, to: EndpointId| {
        if faulty.contains(&to) {
            fault.attempt_end()
        } else {
            AttemptEnd::SUCCESS
        }
    };
    if fault.is_listed() {
        list_fault(fault, &mut simulation, &all, &faulty);
    } else {
        // The agent learns of a fault that the list does not show by its attempts, up to three for each request.
        for tick in 0..2000 {
            simulation.tick(u32::from(tick % 2 == 0), IDEMPOTENT, end);
        }
        simulation.given_up.clear();
    }
    let (mut sent_to_faulty, mut requests) = (0, 0);
    for tick in 0..400 {
        let sent = simulation.tick(u32::from(tick % 5 == 0), IDEMPOTENT, end);
        requests += usize::from(tick % 5 == 0);
        sent_to_faulty += sent.iter().filter(|(_, to)| faulty.contains(to)).count();
    }
    println!(
        "{fault:?} of {listed}: {} of {requests} requests rejected, {sent_to_faulty} attempts sent to faulty endpoints",
        simulation.given_up.len()
    );
    assert_eq!(simulation.given_up.len(), 0, "requests rejected");
    let members = simulation.members().len();
    match fault {
        // Endpoints that are warming up may get what they can carry.
        Fault::JustStarted => {}
        Fault::RefusesConnections => assert!(
            members > SUBSET_SIZE,
            "the subset has only {members} members"
        ),
        // An ejected endpoint is tried again with a first attempt at times.
        Fault::Silent => assert!(
            sent_to_faulty < requests / 4 && members > SUBSET_SIZE,
            "{sent_to_faulty} attempts for {requests} requests went to silent endpoints, {members} members"
        ),
        Fault::Drained | Fault::Removed => {
            assert_eq!(
                sent_to_faulty, 0,
                "attempts were sent to endpoints that are not ready"
            );
        }
    }
}
