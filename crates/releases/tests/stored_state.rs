//! Stored state of the first form: a file written earlier is read, used and written again with the same content.
use lilacgate_decision::{Build, RequestClass, Tenant, Zone};
use lilacgate_operator_config::{KnownNames, read};
use lilacgate_releases::gate::Gate;
use lilacgate_releases::model::Rules;
use lilacgate_releases::stored_state::StoredState;
use serde_json::Value;

const OPERATOR_FILE: &str = include_str!("fixtures/operator.xml");
const STATE_FILE: &str = include_str!("fixtures/state-form-1.json");

fn rules() -> Rules {
    let operator = read(OPERATOR_FILE, &KnownNames::default()).expect("the file has no fault");
    operator.releases.expect("it has releases").rules
}

fn stored() -> StoredState {
    serde_json::from_str(STATE_FILE).expect("the state is readable")
}

fn fixture() -> Value {
    serde_json::from_str(STATE_FILE).expect("the fixture is JSON")
}

#[test]
fn every_field_is_written_as_it_was_read() {
    let written = serde_json::to_value(stored()).expect("it is written");
    assert_eq!(written, fixture());
}

#[test]
fn fields_are_written_in_the_same_order() {
    let written = serde_json::to_string(&stored()).expect("it is written");
    assert_eq!(written, STATE_FILE.replace('\n', ""));
}

#[test]
fn a_gate_that_is_restored_stores_the_same_state() {
    let state = stored();
    let gate = Gate::from_state(rules(), &state).expect("the state fits the rules");
    let again = gate.state("n0", state.events);
    assert_eq!(
        serde_json::to_value(again).expect("it is written"),
        fixture()
    );
}

#[test]
fn a_gate_that_is_restored_decides_by_the_state() {
    let gate = Gate::from_state(rules(), &stored()).expect("the state fits the rules");
    let admits = |build, zone, class| {
        let answer = gate.admits(Build(build), Zone(zone), Tenant(0), RequestClass(class));
        answer.map_err(|why| why.code())
    };
    assert_eq!(admits(1, 1, 1), Ok(()));
    assert_eq!(admits(2, 0, 0), Ok(()));
    assert_eq!(admits(2, 0, 1), Err("product"));
    assert_eq!(admits(2, 1, 0), Err("ring-shut"));
    assert_eq!(
        gate.permitted_advance().map_err(|hold| hold.reason.code()),
        Err("ring-time")
    );
}

#[test]
fn every_stored_uncertainty_has_its_name() {
    let names = [
        "unheard",
        "silent",
        "build-went-back",
        "stage-went-back",
        "came-back",
    ];
    for name in names {
        let mut state = fixture();
        state["services"][5]["odd"] = name.into();
        let read: StoredState = serde_json::from_value(state.clone()).expect("it is readable");
        assert_eq!(serde_json::to_value(read).expect("it is written"), state);
    }
}

#[test]
fn a_newer_form_is_refused() {
    let mut state = stored();
    state.format_version = 2;
    let fault = Gate::from_state(rules(), &state).expect_err("it is refused");
    assert_eq!(
        fault.to_string(),
        "the state has form 2, which is newer than 1"
    );
}
