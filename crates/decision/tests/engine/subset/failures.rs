//! What an agent does when endpoints of its subset fail, start anew, drain or go.
use std::collections::BTreeSet;

use lilacgate_decision::{AttemptNumber, Endpoint, EndpointId, EndpointStatus, Outcome, Zone};
use rstest::rstest;

use super::{AttemptEnd, IDEMPOTENT, SUBSET_SIZE, Simulation, endpoints};

/// What befalls the members of a subset, all at once.
#[derive(Clone, Copy, Debug, PartialEq)]
enum Fault {
    RefusesConnections,
    /// Only the members in two of eight zones are silent.
    Silent,
    JustStarted,
    Drained,
    Removed,
}

impl Fault {
    /// Whether the list tells of it; else the agent finds out by its attempts.
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

/// The members of the subset that a fault befalls.
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

/// Changes the faulty members in the list: others take their places at once.
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
        "others at once"
    );
}

/// All that an agent works with fails at once, or two zones of it fall silent: no request is rejected for it once it
/// is noticed, and those that the list tells of are replaced at once.
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
        // What the list does not say, it finds out, at three attempts a request.
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
        "{fault:?} of {listed}: {} of {requests} rejected, {sent_to_faulty} sent to them",
        simulation.given_up.len()
    );
    assert_eq!(simulation.given_up.len(), 0, "rejected");
    let members = simulation.members().len();
    match fault {
        // They may have what they can do while they warm up.
        Fault::JustStarted => {}
        Fault::RefusesConnections => assert!(members > SUBSET_SIZE, "{members} members"),
        // An ejected endpoint is tried again with a first attempt, now and then.
        Fault::Silent => assert!(
            sent_to_faulty < requests / 4 && members > SUBSET_SIZE,
            "{sent_to_faulty} of {requests} sent to them, {members} members"
        ),
        Fault::Drained | Fault::Removed => {
            assert_eq!(sent_to_faulty, 0, "sent to what is not ready");
        }
    }
}
