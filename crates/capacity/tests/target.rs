//! The schema and the reader agree on target files, each fault is one line
//! with its place, and a fleet is drawn as its file says.
use std::collections::BTreeSet;
use std::path::{Path, PathBuf};
use std::process::Command;
use std::time::Duration;

use lilacgate_capacity::Target;
use lilacgate_capacity::fleet::{Fleet, ServiceId, ZoneId};
use proptest::prelude::*;
use rstest::rstest;

const EXAMPLE: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/capacity.xml");
const SCHEMA: &str = concat!(env!("CARGO_MANIFEST_DIR"), "/../../deploy/capacity.xsd");

fn is_valid(path: &Path) -> bool {
    let xmllint = Command::new("xmllint")
        .args(["--noout", "--schema", SCHEMA])
        .arg(path)
        .output();
    let output = xmllint.expect("xmllint is there: .ci/tools installs it");
    output.status.success()
}

fn example() -> Target {
    Target::load(Path::new(EXAMPLE)).expect("the example is fine")
}

#[rstest]
fn good(
    #[files("tests/good/*.xml")]
    #[files("../../deploy/capacity*.xml")]
    path: PathBuf,
) {
    let target = Target::load(&path);
    assert!(target.is_ok(), "{:?}", target.err());
    assert!(is_valid(&path), "the schema refuses {}", path.display());
}

#[rstest]
fn bad(#[files("tests/bad/*.xml")] path: PathBuf) {
    let text = std::fs::read_to_string(&path).expect("a file");
    let notes: Vec<&str> = text
        .lines()
        .map_while(|line| line.strip_prefix("<!-- ")?.strip_suffix(" -->"))
        .collect();
    let expected: Vec<&str> = notes
        .iter()
        .filter_map(|note| note.strip_prefix("fault "))
        .collect();
    let error = Target::load(&path).expect_err("it is refused");
    let faults: Vec<String> = error.faults().iter().map(ToString::to_string).collect();
    assert_eq!(faults.len(), expected.len(), "{faults:#?}");
    for (fault, expected) in faults.iter().zip(&expected) {
        assert!(fault.contains(expected), "no {expected:?} in {fault:?}");
    }
    assert!(
        error
            .faults()
            .iter()
            .all(|fault| fault.line > 0 && fault.column > 0)
    );
    let line = error.to_string();
    assert_eq!(line.lines().count(), 1, "{line}");
    assert!(line.starts_with(&format!("{}:", path.display())), "{line}");
    let accepts = notes[0] == "schema accepts";
    assert_eq!(is_valid(&path), accepts, "the schema on {}", path.display());
}

#[test]
fn a_fault_is_named_with_its_line_and_column() {
    let error =
        Target::parse("<capacity version=\"1\">\n  <agents count=\"-1\" skew=\"0\"/>\n</capacity>")
            .expect_err("it is refused");
    let at_agents = error
        .faults()
        .iter()
        .find(|fault| fault.element == "agents");
    let fault = at_agents.expect("a fault at <agents>");
    assert_eq!((fault.line, fault.column), (2, 11));
}

#[test]
fn a_file_that_is_not_there_is_named() {
    let error = Target::load(Path::new("gone.xml")).expect_err("it is not there");
    assert!(error.to_string().starts_with("gone.xml: "), "{error}");
}

#[test]
fn rates_and_times_are_read() {
    let target = Target::load(Path::new("tests/good/drawn.xml")).expect("it is fine");
    assert_eq!(target.budgets.added_p99, Duration::from_micros(7500));
    assert_eq!(target.changes.in_force_within, Duration::from_secs(5));
    assert_eq!(target.failures.partition_lasts, Duration::from_secs(120));
    let rate = target.rate_per_agent_and_service();
    assert!((rate - 800.0 / 40.0 / 12.0).abs() < 1e-9, "{rate}");
    let changes = (50.0 + 2.0 * 21.5) / 86_400.0;
    assert!((target.change_rate() - changes).abs() < 1e-9);
}

fn check_sums(target: &Target, fleet: &Fleet) {
    let sizes = fleet.services.iter().map(|service| service.appliances);
    assert_eq!(sizes.clone().sum::<u32>(), target.services.appliances);
    assert_eq!(fleet.services.len(), target.services.count as usize);
    assert!(sizes.clone().all(|size| size > 0));
    assert!(sizes.max() >= Some(target.services.largest));
    let routes: u32 = fleet.services.iter().map(|service| service.routes).sum();
    assert_eq!(routes, target.routes);
    let rate: f64 = fleet
        .agents
        .iter()
        .map(|agent| fleet.agent_rate(agent))
        .sum();
    assert!((rate / target.request_rate - 1.0).abs() < 1e-9, "{rate}");
    assert_eq!(fleet.agents.len(), target.agents as usize);
}

fn check_places(target: &Target, fleet: &Fleet) {
    assert_eq!(fleet.appliances.len(), target.services.appliances as usize);
    for service in &fleet.services {
        let own = fleet
            .appliances
            .iter()
            .filter(|one| one.service == service.id);
        assert_eq!(own.count(), service.appliances as usize);
    }
    for zone in (0..target.places.zones).map(ZoneId) {
        let here = fleet
            .appliances
            .iter()
            .filter(|one| one.zone == zone)
            .count() as u32;
        let even = target.services.appliances / target.places.zones;
        assert!(
            here.abs_diff(even) <= target.services.count,
            "{here} of {even}"
        );
    }
    let racks: BTreeSet<_> = fleet
        .appliances
        .iter()
        .map(|one| (one.rack, one.zone))
        .collect();
    let names: BTreeSet<_> = racks.iter().map(|(rack, _)| rack).collect();
    assert_eq!(racks.len(), names.len(), "a rack stands in one zone");
}

proptest! {
    #[test]
    fn a_fleet_adds_up_to_its_target(seed in any::<u64>(), skew in 0.0..3.0, largest in 1u32..3000) {
        let mut target = example();
        target.services.skew = skew;
        target.services.largest = largest;
        let fleet = target.draw(seed);
        check_sums(&target, &fleet);
        check_places(&target, &fleet);
        prop_assert_eq!(fleet, target.draw(seed));
    }

    #[test]
    fn any_text_is_read_or_refused(at in 0usize..2000, put in "[<>\"&;/a-z0-9 =.-]{0,12}") {
        let text = include_str!("../../../deploy/capacity.xml");
        let at = at % text.len();
        let malformed = format!("{}{put}{}", &text[..at], &text[at..]);
        match Target::parse(&malformed) {
            Ok(target) => drop(target.draw(1)),
            Err(error) => prop_assert_eq!(error.to_string().lines().count(), 1),
        }
    }
}

#[test]
fn another_seed_draws_another_fleet() {
    assert_ne!(example().draw(1), example().draw(2));
}

#[test]
fn named_services_keep_their_sizes() {
    let target = Target::load(Path::new("tests/good/named.xml")).expect("it is fine");
    let fleet = target.draw(7);
    let sizes = fleet
        .services
        .iter()
        .map(|one| (one.name.as_str(), one.appliances));
    let expected = [("checkout", 24), ("search", 10), ("service-2", 6)];
    assert!(sizes.eq(expected), "{:?}", fleet.services);
    assert_eq!(fleet.services[1].id, ServiceId(1));
}
