//! The detection model: bad builds are rejected, worse ones and pooled outcomes
//! sooner, good ones hardly ever.
use std::path::Path;
use std::time::Duration;

use lilacgate_capacity::detection::{
    DetectionCase, DetectionRun, DetectionSettings, Evidence, detections, run,
};
use lilacgate_capacity::{Experiment, Quantity, Target};
use rstest::rstest;

const SEEDS: std::ops::Range<u64> = 1..12;

fn case(evidence: Evidence, failure_share: f64) -> DetectionCase {
    DetectionCase {
        evidence,
        agents: 60,
        routes: 3,
        appliances: 30,
        request_rate: 0.5,
        trial_share: 0.5,
        failure_share,
    }
}

fn runs(case: &DetectionCase) -> Vec<DetectionRun> {
    let settings = DetectionSettings::default();
    SEEDS.map(|seed| run(case, &settings, seed)).collect()
}

fn median(case: &DetectionCase) -> Duration {
    let longest = Duration::MAX;
    let mut times: Vec<Duration> = runs(case)
        .iter()
        .map(|one| one.after.unwrap_or(longest))
        .collect();
    times.sort();
    times[times.len() / 2]
}

#[rstest]
#[case::worse(case(Evidence::Pooled(60), 0.5), case(Evidence::Pooled(60), 0.05))]
#[case::more_agents(case(Evidence::Pooled(60), 0.2), case(Evidence::Pooled(6), 0.2))]
#[case::pooled(case(Evidence::Pooled(6), 0.2), case(Evidence::Own, 0.2))]
#[case::level(case(Evidence::Pooled(1), 0.5), case(Evidence::Own, 0.5))]
fn more_evidence_is_sooner(#[case] sooner: DetectionCase, #[case] later: DetectionCase) {
    let (sooner, later) = (median(&sooner), median(&later));
    assert!(sooner < later, "{sooner:?} is not before {later:?}");
}

#[test]
fn a_good_build_is_seldom_rolled_back() {
    let rolled_back = runs(&case(Evidence::Pooled(6), 0.0))
        .iter()
        .filter(|run| run.after.is_some())
        .count();
    assert!(rolled_back <= 1, "{rolled_back}");
}

#[test]
fn the_same_seed_gives_the_same_run() {
    let case = case(Evidence::Pooled(20), 0.2);
    assert_eq!(runs(&case), runs(&case));
}

#[test]
fn earlier_outcomes_count_only_beside_the_trials() {
    let settings = DetectionSettings {
        most_recent: Duration::ZERO,
        longest: Duration::from_secs(600),
        ..DetectionSettings::default()
    };
    let run = run(&case(Evidence::Pooled(60), 0.5), &settings, 1);
    assert_eq!(run.after, None, "there is nothing to compare with");
}

#[test]
fn an_agent_alone_receives_no_reports() {
    let runs = runs(&case(Evidence::Own, 0.5));
    assert!(runs.iter().all(|run| run.messages == 0 && run.bytes == 0));
}

#[test]
fn reports_keep_to_their_pace_and_length() {
    for run in runs(&case(Evidence::Pooled(60), 0.05)) {
        let seconds = run.lasted.as_secs_f64();
        // Each agent's first, then one a second (half of the minimum stage time).
        assert!(run.messages as f64 <= 59.0 * (seconds + 1.0), "{run:?}");
        assert!(
            run.bytes >= run.messages * 25 && run.bytes <= run.messages * 256,
            "{run:?}"
        );
    }
}

#[test]
fn each_case_gives_one_sample() {
    let target = Target::load(Path::new("tests/good/drawn.xml")).expect("it is fine");
    let settings = DetectionSettings {
        failure_shares: vec![0.5],
        trial_shares: vec![0.5],
        pooled_parts: vec![0.5, 1.0],
        ..DetectionSettings::default()
    };
    let samples = detections(&target, &settings, &[1, 2, 3], "lilacgate-scale verdicts");
    let pooled: Vec<_> = samples
        .iter()
        .map(|sample| sample.figure(Quantity::PooledAgents).expect("it is there"))
        .collect();
    assert_eq!(pooled, [1.0, 20.0, 40.0]);
    for sample in &samples {
        assert_eq!(sample.experiment, Experiment::Detection);
        assert_eq!(sample.figure(Quantity::DetectedShare), Some(1.0));
        assert!(sample.figure(Quantity::DetectionSeconds) > Some(0.0));
        assert!(
            sample.figure(Quantity::DetectionSecondsP90)
                >= sample.figure(Quantity::DetectionSeconds)
        );
    }
}

#[test]
fn what_is_not_detected_has_no_time() {
    let target = Target::load(Path::new("tests/good/drawn.xml")).expect("it is fine");
    let settings = DetectionSettings {
        failure_shares: vec![0.05],
        trial_shares: vec![0.1],
        pooled_parts: vec![0.0],
        longest: Duration::from_secs(1),
        ..DetectionSettings::default()
    };
    for sample in detections(&target, &settings, &[1], "lilacgate-scale verdicts") {
        assert_eq!(sample.figure(Quantity::DetectedShare), Some(0.0));
        assert_eq!(sample.figure(Quantity::DetectionSeconds), None);
    }
}
