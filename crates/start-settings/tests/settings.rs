//! Settings are passed on unchanged, and errors name the path, the value and what is accepted.
use std::time::Duration;

use lilacgate_decision::{AdvanceRule, DeduplicationScope, Idempotency};
use lilacgate_start_settings::{
    LONGEST_DURATION, Settings, SettingsError, build_instance, engine_settings,
};
use rstest::rstest;

const START: &str = include_str!("fixtures/start.txt");
const SEED: u64 = 42;

fn start() -> Settings {
    Settings::from_lines(START)
}

/// The fixture with one setting replaced, or removed if `value` is `None`.
fn start_with(path: &str, value: Option<&str>) -> Settings {
    let prefix = format!("{path}=");
    let kept = START.lines().filter(|line| !line.starts_with(&prefix));
    let replaced = value.map(|value| format!("{prefix}{value}"));
    let lines: Vec<String> = kept.map(str::to_owned).chain(replaced).collect();
    Settings::from_lines(&lines.join("\n"))
}

fn expect_error(settings: &Settings) -> SettingsError {
    engine_settings(SEED, settings).expect_err("the settings are refused")
}

fn millis(count: u64) -> Duration {
    Duration::from_millis(count)
}

#[test]
fn engine() {
    let engine = engine_settings(SEED, &start()).expect("the fixture is complete");
    assert_eq!(engine.seed, SEED);
    assert_eq!(engine.tick, millis(5));
    assert_eq!(engine.zone.0, 1);
    assert_eq!(engine.discovery.request_within, Some(millis(11_000)));
    let fleet = engine.fleet_position;
    assert_eq!(fleet.own_id.0, 7);
    assert_eq!(fleet.agent_count, 12);
    assert!(fleet.can_message_peers);
}

#[test]
fn slow_start() {
    let slow_start = engine_settings(SEED, &start())
        .expect("the fixture is complete")
        .slow_start;
    assert_eq!(slow_start.initial_capacity_share, 0.33);
    assert_eq!(slow_start.ramp, millis(4500));
    assert_eq!(slow_start.overload_multiple, 2.25);
    assert_eq!(slow_start.overload_window, millis(1200));
}

#[test]
fn exposure() {
    let exposure = engine_settings(SEED, &start())
        .expect("the fixture is complete")
        .exposure;
    assert_eq!(exposure.window, millis(3000));
    assert_eq!(exposure.free_requests, 2.5);
    assert_eq!(exposure.initial_cap, 0.06);
    assert!(exposure.per_class);
    assert_eq!(exposure.guarded_stages, 2);
    assert!(exposure.forward_only);
}

#[test]
fn release_analysis() {
    let engine = engine_settings(SEED, &start()).expect("the fixture is complete");
    let analysis = engine.release_analysis;
    assert_eq!(analysis.advance_rule, AdvanceRule::Majority);
    assert_eq!(analysis.stage_shares, [0.1, 0.4, 1.0]);
    assert_eq!(
        analysis.minimum_stage_time,
        Duration::from_micros(1_500_001)
    );
    assert_eq!(analysis.vote_timing.validity, millis(7000));
    assert_eq!(analysis.vote_timing.call_timeout, millis(900));
    assert!(analysis.in_place);
    assert!(!analysis.use_relays);
}

#[test]
fn requests() {
    let requests = engine_settings(SEED, &start())
        .expect("the fixture is complete")
        .requests;
    assert_eq!(requests.max_attempts, 3);
    assert!(requests.may_cancel);
    assert_eq!(requests.max_retry_after, millis(1900));
    let [read, pay, book] = &requests.classes[..] else {
        panic!("not three classes");
    };
    assert_eq!(read.idempotency, Idempotency::Idempotent);
    assert_eq!(read.latency_objective, millis(500));
    assert_eq!(read.deadline, millis(2500));
    assert_eq!(read.deduplication_window, Duration::ZERO);
    assert_eq!(read.priority_weight, 1.0);
    assert_eq!(read.late_weight_share, 0.25);
    assert_eq!(
        pay.idempotency,
        Idempotency::Keyed(DeduplicationScope::Zone)
    );
    assert_eq!(pay.deduplication_window, millis(8000));
    assert_eq!(pay.priority_weight, 6.5);
    assert_eq!(book.idempotency, Idempotency::NonIdempotent);
}

#[test]
fn sizes_and_lists() {
    let settings = start();
    let instance = build_instance(SEED, &settings).expect("the fixture is complete");
    assert_eq!(instance.request_classes, 3);
    assert_eq!(instance.zones, 3);
    assert_eq!(settings.names("shapes").expect("names"), ["small", "large"]);
    assert!(
        settings
            .names("feedback.names")
            .expect("an empty list")
            .is_empty()
    );
    assert_eq!(
        settings.longest_deadline().expect("deadlines"),
        millis(4000)
    );
}

#[test]
fn pushed_list_needs_no_interval() {
    let settings = start_with("membership-mode", Some("push"));
    let discovery = engine_settings(SEED, &settings)
        .expect("the fixture is complete")
        .discovery;
    assert_eq!(discovery.request_within, None);
}

#[test]
fn no_retry_after() {
    let settings = start_with("limits.retry-after", Some("false"));
    let requests = engine_settings(SEED, &settings)
        .expect("the fixture is complete")
        .requests;
    assert_eq!(requests.max_retry_after, Duration::ZERO);
}

/// The number of attempts is limited to 255, since every protocol encodes an attempt's number in one byte.
#[test]
fn max_attempts_is_limited_to_one_byte() {
    let settings = start_with("limits.max-attempts", Some("1000"));
    let requests = engine_settings(SEED, &settings)
        .expect("the fixture is complete")
        .requests;
    assert_eq!(requests.max_attempts, 255);
}

/// If several lines have the same path, the last one counts. Lines without `=` are ignored.
#[test]
fn lines() {
    let settings = Settings::from_lines("zone=1\nnothing\nzone=2=3\n");
    assert_eq!(settings.text("zone").expect("a text"), "2=3");
}

#[rstest]
#[case::number("profiles.count", "256", "a whole number, 0 to 255")]
#[case::zone("zone", "-1", "a whole number, 0 to 255")]
#[case::agent("me", "x", "a whole number, 0 to 4294967295")]
#[case::attempts("limits.max-attempts", "2.5", "a whole number, not below 0")]
#[case::flag("limits.peers", "yes", "true or false")]
#[case::period("tick", "0", "a whole number of microseconds above 0")]
#[case::duration("rules.ramp-time", "4.5s", "a whole number of microseconds")]
#[case::deadline("profiles.2.give-up", "", "a whole number of microseconds")]
#[case::amount("rules.cold-from", "NaN", "a finite number, not below 0")]
#[case::negative("profiles.0.worth", "-1", "a finite number, not below 0")]
#[case::amounts(
    "family-info.rings",
    "0.1,,1",
    "a comma-separated list of finite numbers, not below 0"
)]
#[case::infinite(
    "family-info.most-shares",
    "inf",
    "a comma-separated list of finite numbers, not below 0"
)]
#[case::mode("membership-mode", "pull", "one of push, ask")]
#[case::rule("family-info.gate-mode", "both", "one of single, majority, clocked")]
#[case::layout("family-info.layout", "", "one of side_by_side, rolling")]
#[case::windows("family-info.per", "none", "one of all, per_lane")]
#[case::idempotency("profiles.0.repeat", "once", "one of retryable, dedup, fragile")]
#[case::scope("profiles.1.group", "rack", "one of all, zone, cell")]
fn unusable(#[case] path: &str, #[case] value: &str, #[case] expected: &str) {
    let error = expect_error(&start_with(path, Some(value)));
    assert_eq!(
        error,
        SettingsError::Unusable {
            path: path.to_owned(),
            value: value.to_owned(),
            expected: expected.to_owned(),
        }
    );
    assert_eq!(
        error.to_string(),
        format!("setting {path} is {value:?}; expected {expected}")
    );
}

/// Each setting that the engine needs is named in the error if it is missing. The agent reads the others itself.
#[test]
fn missing() {
    let others = ["feedback.names", "shapes", "zones"];
    for line in START.lines() {
        let (path, _) = line.split_once('=').expect("a pair");
        if others.contains(&path) || path.ends_with(".name") {
            continue;
        }
        let error = expect_error(&start_with(path, None));
        let path = path.to_owned();
        assert_eq!(error.to_string(), format!("setting {path} is missing"));
        assert_eq!(error, SettingsError::Missing { path });
    }
    let error =
        build_instance(SEED, &start_with("zones", None)).expect_err("the zones are missing");
    assert_eq!(error.to_string(), "setting zones is missing");
}

/// Guards against a time from outside that no clock can express: the longest duration of a setting is a century.
#[test]
fn a_duration_is_at_most_a_century() {
    let micros = u64::MAX.to_string();
    let settings = start_with("limits.connect-timeout", Some(&micros));
    assert_eq!(
        settings.period("limits.connect-timeout"),
        Ok(LONGEST_DURATION)
    );
}
