//! A fleet in virtual time: the same seed gives the same counts, and bad input costs one message.
use std::sync::Arc;
use std::time::Duration;

use lilacgate_decision::{AgentId, Build, EndpointId, ListUpdate, Vote};
use lilacgate_scale::agent::Agent;
use lilacgate_scale::decisions::Decision;
use lilacgate_scale::endpoint::Power;
use lilacgate_scale::error::ScaleError;
use lilacgate_scale::fleet::FleetSize;
use lilacgate_scale::meter::{Counts, Meter};
use lilacgate_scale::module::{Module, ModuleEvent};
use lilacgate_scale::resources::{Limits, MEGABYTE};
use lilacgate_scale::run::{self, Plan};
use lilacgate_scale::settings::{self, Start};
use lilacgate_scale::simulation::{START, Simulation};
use lilacgate_scale::wire::{self, Entry, ListedState};
use lilacgate_start_settings::Settings;
use rstest::rstest;

const LISTED: u32 = 7400;

fn small() -> FleetSize {
    FleetSize {
        agents: 8,
        appliances: 60,
        services: 3,
        request_rate: 400.0,
        change_rate: 5.0,
        releases: 1,
        ..FleetSize::default()
    }
}

fn plan(size: FleetSize, threads: usize) -> Plan {
    let (warm_up, window) = (Duration::from_secs(2), Duration::from_secs(4));
    Plan {
        size,
        seed: 7,
        threads,
        warm_up,
        window,
    }
}

/// All counts that depend on the seed alone.
#[derive(Debug, PartialEq)]
struct FleetCounts {
    total: Counts,
    agents: Vec<Counts>,
    /// Requests received, by endpoint.
    requests_received: Vec<u64>,
}

fn counts(size: FleetSize, threads: usize) -> FleetCounts {
    let limits = Limits::new(None);
    let mut simulation = run::warm(&plan(size, threads), &limits).expect("a fleet");
    simulation
        .run_for(Duration::from_secs(4))
        .expect("no limit is reached");
    let agents = simulation
        .agents
        .iter()
        .map(|agent| agent.meter.counts)
        .collect();
    let requests_received = simulation
        .endpoints
        .iter()
        .map(|endpoint| endpoint.requests_received)
        .collect();
    FleetCounts {
        total: simulation.total().counts,
        agents,
        requests_received,
    }
}

#[test]
fn the_same_seed_gives_the_same_counts_on_one_thread_and_on_four() {
    let one = counts(small(), 1);
    assert_eq!(one, counts(small(), 4));
    assert!(one.total.served > 1500, "{:?}", one.total);
    assert!(one.total.reports_in.messages > 10, "{:?}", one.total);
    assert_eq!(one.total.broken_rules, 0);
    assert_eq!(one.total.unreadable, 0);
}

#[test]
fn another_seed_gives_other_counts() {
    let limits = Limits::new(None);
    let total = |seed| {
        let plan = Plan {
            seed,
            ..plan(small(), 1)
        };
        run::warm(&plan, &limits).expect("a fleet").total().counts
    };
    assert_ne!(total(1), total(2));
}

#[test]
fn a_run_stops_at_its_memory_limit_with_a_line_that_says_so() {
    let limits = Limits::new(Some(MEGABYTE));
    let fault = run::steady(&plan(small(), 1), &limits).expect_err("a limit");
    assert!(matches!(fault, ScaleError::MemoryLimit { .. }) && fault.is_stop());
    assert!(
        fault.to_string().contains("memory limit reached"),
        "{fault}"
    );
}

#[test]
fn no_memory_limit_is_above_half_of_the_machine() {
    let limits = Limits::new(Some(u64::MAX));
    assert_eq!(
        limits.memory(),
        lilacgate_scale::resources::half_of_machine()
    );
}

#[test]
fn an_interrupt_amid_a_measurement_keeps_what_was_measured_as_partial() {
    let limits = Limits::new(None);
    let mut simulation = run::warm(&plan(small(), 1), &limits).expect("a fleet");
    limits.interrupt();
    assert!(matches!(
        simulation.run_for(Duration::from_secs(1)),
        Err(ScaleError::Interrupted)
    ));
    let before = run::steady(&plan(small(), 1), &limits).expect_err("interrupted");
    assert!(matches!(before, ScaleError::Interrupted));
}

#[rstest]
#[case::no_agents(FleetSize { agents: 0, ..small() })]
#[case::more_services_than_appliances(FleetSize { services: 61, ..small() })]
#[case::no_requests(FleetSize { request_rate: 0.0, ..small() })]
#[case::largest_takes_all(FleetSize { largest: 59, ..small() })]
fn a_size_that_cannot_be_simulated_is_refused(#[case] size: FleetSize) {
    let refused = Simulation::new(size, 1, 1, Limits::new(None));
    assert!(matches!(refused.err(), Some(ScaleError::Size(_))));
}

#[test]
fn more_routes_than_a_module_can_name_are_refused() {
    let size = FleetSize {
        routes: 256,
        services: 1,
        ..small()
    };
    let refused = Simulation::new(size, 1, 1, Limits::new(None));
    let fault = refused.expect_err("too many routes");
    assert!(matches!(fault, ScaleError::Size(_)));
    assert!(
        fault
            .to_string()
            .contains("256 routes; a module can name 255"),
        "{fault}"
    );
}

fn module(agent: u32) -> Module {
    let places = small().places;
    let start = Start {
        agent,
        agents: 8,
        zone: 0,
        places: &places,
        routes: 4,
    };
    let settings = Settings::from_lines(&settings::text(&start));
    Module::new(1, &settings).expect("settings that can be used")
}

fn entries(count: u32) -> Vec<Entry> {
    let entry = |index| Entry {
        name: format!("service-0-{index}"),
        index,
        zone: "region0-zone0".to_owned(),
        state: ListedState::Ready,
        weight: 1.0,
        started: Duration::ZERO,
        build: 1,
    };
    (0..count).map(entry).collect()
}

/// The events that a module receives from these bytes, read in pieces of a size.
fn receive(module: &mut Module, bytes: &[u8], piece: usize, meter: &mut Meter) -> Vec<ModuleEvent> {
    bytes
        .chunks(piece)
        .flat_map(|part| module.take_list(part, meter))
        .collect()
}

fn lines(received: &[ModuleEvent]) -> Vec<(ListUpdate, usize)> {
    let list = |received: &ModuleEvent| match received {
        ModuleEvent::EndpointList(list_update, lines) => Some((*list_update, lines.len())),
        _ => None,
    };
    received.iter().filter_map(list).collect()
}

#[rstest]
#[case::whole(usize::MAX)]
#[case::bytes(1)]
fn a_long_list_is_read_whole_and_in_pieces(#[case] piece: usize) {
    let (mut module, mut meter) = (module(0), Meter::default());
    let bytes = wire::watch(1, &entries(LISTED));
    let received = receive(&mut module, &bytes, piece, &mut meter);
    assert_eq!(lines(&received), [(ListUpdate::Full, LISTED as usize)]);
    assert_eq!(meter.counts.unreadable, 0);
}

#[test]
fn a_long_list_that_breaks_off_changes_nothing() {
    let (mut module, mut meter) = (module(0), Meter::default());
    let bytes = wire::watch(1, &entries(LISTED));
    let broken = &bytes[..bytes.len() - 100];
    assert!(receive(&mut module, broken, usize::MAX, &mut meter).is_empty());
    assert_eq!(module.version(), 0);
    // The next connection starts from an empty parser.
    module.connect();
    let received = receive(&mut module, &bytes, usize::MAX, &mut meter);
    assert_eq!(lines(&received), [(ListUpdate::Full, LISTED as usize)]);
}

#[test]
fn a_long_list_that_comes_twice_is_the_same_list() {
    let (mut module, mut meter) = (module(0), Meter::default());
    let mut bytes = wire::watch(1, &entries(LISTED));
    bytes.extend(wire::chunk(&wire::list(1, true, &entries(LISTED))));
    let received = receive(&mut module, &bytes, usize::MAX, &mut meter);
    assert_eq!(lines(&received), [(ListUpdate::Full, LISTED as usize); 2]);
    let numbers = |received: &ModuleEvent| match received {
        ModuleEvent::EndpointList(_, lines) => lines.iter().map(|line| line.id).collect(),
        _ => Vec::new(),
    };
    assert_eq!(numbers(&received[0]), numbers(&received[1]));
}

#[test]
fn ten_thousand_changes_in_one_message_arrive_together() {
    let (mut module, mut meter) = (module(0), Meter::default());
    let mut bytes = wire::watch(1, &entries(50));
    let changes: Vec<Entry> = entries(50).into_iter().cycle().take(10_000).collect();
    bytes.extend(wire::chunk(&wire::list(2, false, &changes)));
    let received = receive(&mut module, &bytes, usize::MAX, &mut meter);
    assert_eq!(
        lines(&received),
        [(ListUpdate::Full, 50), (ListUpdate::Delta, 10_000)]
    );
    let round = module.round(START, received);
    assert!(!round.decided.list.is_empty());
    assert_eq!(module.version(), 2);
}

#[rstest]
#[case::of_an_older_list(&wire::list(1, false, &entries(1)))]
#[case::of_another_zone(&wire::list(3, false, &[Entry { zone: "nowhere".into(), ..entries(1).remove(0) }]))]
#[case::no_list("{\"version\":3}\n")]
fn a_message_that_cannot_be_used_ends_the_watch(#[case] text: &str) {
    let (mut module, mut meter) = (module(0), Meter::default());
    receive(
        &mut module,
        &wire::watch(2, &entries(5)),
        usize::MAX,
        &mut meter,
    );
    let received = receive(&mut module, &wire::chunk(text), usize::MAX, &mut meter);
    assert_eq!(lines(&received), [(ListUpdate::Failed, 0)]);
    assert_eq!((meter.counts.unreadable, module.version()), (1, 0));
}

/// A report on a build: an incarnation, a sequence number, three sums, and outcomes at endpoints
/// with earlier builds and with the build on trial.
fn report(build: u16, number: u32, trial: &[EndpointId]) -> Arc<[u8]> {
    let mut payload = build.to_be_bytes().to_vec();
    payload.extend(1_u32.to_be_bytes());
    payload.extend(number.to_be_bytes());
    payload.extend([0; 6]);
    // 200 outcomes at earlier builds, none bad; 50 at each trial endpoint, 40 of them bad.
    payload.extend(u32::MAX.to_be_bytes());
    payload.extend([0, 200, 0, 0, 0]);
    for endpoint in trial {
        payload.extend(endpoint.0.to_be_bytes());
        payload.extend([0, 50, 40, 0, 0]);
    }
    payload.into()
}

/// Votes of a report aggregator that receives such reports from an agent.
fn votes_after_reports(from: AgentId) -> Vec<(Build, Vote)> {
    let (mut module, mut meter) = (module(2), Meter::default());
    let mut entries = entries(40);
    entries.iter_mut().take(8).for_each(|entry| entry.build = 2);
    let mut received = module.take_list(&wire::watch(1, &entries), &mut meter);
    let trial: Vec<EndpointId> = match &received[0] {
        ModuleEvent::EndpointList(_, lines) => lines.iter().take(8).map(|line| line.id).collect(),
        _ => Vec::new(),
    };
    let update = wire::release_update(2, 0, "Progressing", 0.1);
    received.extend(module.take_release_updates(update.as_bytes(), &mut meter));
    let mut votes = Vec::new();
    for number in 1..=10 {
        received.push(ModuleEvent::Datagram(from, report(2, number, &trial)));
        let now = START + Duration::from_millis(100) * number;
        let round = module.round(now, std::mem::take(&mut received));
        votes.extend(
            round
                .decided
                .list
                .iter()
                .filter_map(|decision| match decision {
                    Decision::Vote { build, vote, .. } => Some((*build, *vote)),
                    _ => None,
                }),
        );
    }
    votes
}

#[test]
fn a_report_of_an_agent_beyond_the_fleet_changes_nothing() {
    assert_eq!(
        votes_after_reports(AgentId(1)),
        [(Build(2), Vote::RollBack)],
        "one of the fleet"
    );
    assert_eq!(votes_after_reports(AgentId(8)), [], "the first beyond");
    assert_eq!(votes_after_reports(AgentId(u32::MAX)), []);
}

#[test]
fn every_request_ends_also_when_no_appliance_answers() {
    let mut simulation = run::warm(&plan(small(), 1), &Limits::new(None)).expect("a fleet");
    for index in 0..60 {
        simulation.stop_endpoint(index, Power::Silent);
    }
    simulation
        .run_for(Duration::from_secs(5))
        .expect("no limit is reached");
    let now = simulation.now;
    let open = |agent: &Agent| {
        let unanswered = agent
            .modules
            .iter()
            .flat_map(|module| module.unanswered.values());
        unanswered
            .filter(|unanswered| unanswered.arrived + settings::give_up() < now)
            .count()
    };
    assert_eq!(simulation.agents.iter().map(open).sum::<usize>(), 0);
    assert_eq!(simulation.total().counts.broken_rules, 0);
}
