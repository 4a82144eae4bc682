//! Figures at the target: measured where possible, else computed from slopes
//! that fit.
use std::collections::BTreeMap;
use std::path::Path;

use lilacgate_capacity::analysis::Analysis;
use lilacgate_capacity::budget::{BudgetKind, BudgetRow};
use lilacgate_capacity::estimate::{Basis, Estimate};
use lilacgate_capacity::{
    EventKind, Experiment, Factor, Quantity, Role, Sample, Size, Source, Target,
};
use rstest::rstest;

const CORE: Quantity = Quantity::ControlCorePercent;

fn target() -> Target {
    Target::load(Path::new("tests/good/drawn.xml")).expect("it is fine")
}

/// A sample at the target's size.
fn sample(experiment: Experiment, role: Role, quantity: Quantity, figure: f64) -> Sample {
    Sample {
        experiment,
        command: "lilacgate-scale".into(),
        seed: 1,
        source: Source::Hollow,
        role,
        factor: None,
        size: target().size(),
        event: None,
        held_back: false,
        complete: true,
        figures: BTreeMap::from([(quantity, figure)]),
    }
}

/// Four samples of a slope at sizes that `set` makes of 1 to 4.
fn slope(
    role: Role,
    factor: Factor,
    figure: impl Fn(f64) -> f64,
    set: impl Fn(&mut Size, u32),
) -> Vec<Sample> {
    let samples = (1..=4).map(|step| {
        let mut size = Size {
            agents: 20,
            listed_appliances: 50,
            services: 1,
            request_rate: 100.0,
            ..Size::default()
        };
        set(&mut size, step);
        Sample {
            factor: Some(factor),
            size,
            ..sample(Experiment::Slope, role, CORE, figure(size.along(factor)))
        }
    });
    samples.collect()
}

fn estimate(samples: &[Sample], role: Role) -> Option<Estimate> {
    let target = target();
    Analysis::new(samples, &target).estimate(role, CORE, &target.size())
}

fn figure(samples: &[Sample], role: Role) -> f64 {
    let figure = estimate(samples, role).expect("an estimate").figure;
    (figure * 1e6).round() / 1e6
}

#[test]
fn requests_are_compared_for_each_agent() {
    let samples = slope(
        Role::Agent,
        Factor::RequestRate,
        |rate| 0.1 * rate,
        |size, step| {
            size.request_rate = 50.0 * f64::from(step);
        },
    );
    // The target's 40 agents receive 800 requests a second, 20 of them 400.
    assert_eq!(figure(&samples, Role::Agent), 40.0);
}

#[test]
fn the_slope_with_as_many_services_counts() {
    let list = |services: u32, each: f64| {
        slope(
            Role::Agent,
            Factor::ListedAppliances,
            move |listed| each * listed,
            move |size, step| {
                size.listed_appliances = 40 * step;
                size.services = services;
            },
        )
    };
    let samples = [list(1, 0.01), list(12, 0.05)].concat();
    assert_eq!(figure(&samples, Role::Agent), 15.0);
    assert_eq!(figure(&samples[..4], Role::Agent), 3.0);
}

#[test]
fn what_is_measured_near_the_target_is_extended() {
    let agents = slope(
        Role::Agent,
        Factor::Agents,
        |agents| 1.0 + 0.5 * agents,
        |size, step| {
            size.agents = 10 * step;
        },
    );
    let mut near = sample(Experiment::Budget, Role::Agent, CORE, 7.0);
    near.size.agents = 20;
    let samples = [agents, vec![near.clone()]].concat();
    assert_eq!(figure(&samples, Role::Agent), 17.0);
    let basis = estimate(&samples, Role::Agent).map(|one| one.basis);
    let expected = Basis::Extended {
        from: near.size,
        fits: true,
    };
    assert_eq!(basis, Some(expected));
}

#[test]
fn a_slope_that_does_not_fit_adds_nothing() {
    let mut figures = [5.0, 900.0, 7.0, 800.0].into_iter();
    let figures = std::cell::RefCell::new(&mut figures);
    let next = |_| figures.borrow_mut().next().expect("four figures");
    let jagged = slope(Role::Agent, Factor::Agents, next, |size, step| {
        size.agents = 10 * step;
    });
    assert_eq!(estimate(&jagged, Role::Agent), None);
    let mut near = sample(Experiment::Budget, Role::Agent, CORE, 7.0);
    near.size.agents = 20;
    let samples = [jagged, vec![near.clone()]].concat();
    let expected = Basis::Extended {
        from: near.size,
        fits: false,
    };
    let estimate = estimate(&samples, Role::Agent).expect("an estimate");
    assert_eq!((estimate.figure, estimate.basis), (7.0, expected));
}

#[test]
fn a_cost_that_falls_with_a_size_is_not_taken_off() {
    let falling = slope(
        Role::Agent,
        Factor::Agents,
        |agents| 50.0 - agents,
        |size, step| {
            size.agents = 5 * step;
        },
    );
    let mut near = sample(Experiment::Budget, Role::Agent, CORE, 7.0);
    near.size.agents = 20;
    assert_eq!(figure(&[falling, vec![near]].concat(), Role::Agent), 7.0);
}

#[test]
fn a_figure_below_nothing_is_not_known() {
    let falling = slope(
        Role::Agent,
        Factor::Agents,
        |agents| 21.0 - agents,
        |size, step| {
            size.agents = 5 * step;
        },
    );
    assert_eq!(estimate(&falling, Role::Agent), None);
}

#[test]
fn without_a_better_figure_an_aggregator_has_that_of_the_most_agents() {
    let bytes = |agents: u32, listed: u32, figure: f64| {
        let mut one = sample(
            Experiment::Slope,
            Role::Aggregator,
            Quantity::BytesInPerSecond,
            figure,
        );
        one.figures.insert(Quantity::BytesOutPerSecond, 1.0);
        one.factor = Some(Factor::Agents);
        (one.size.agents, one.size.listed_appliances) = (agents, listed);
        one
    };
    let samples = [
        bytes(10, 300, 400.0),
        bytes(30, 50, 900.0),
        bytes(30, 60, 700.0),
    ];
    let target = target();
    let budgets = Analysis::new(&samples, &target).budgets();
    let is_aggregator =
        |row: &&BudgetRow| (row.role, row.kind) == (Role::Aggregator, BudgetKind::Bytes);
    let used = budgets
        .iter()
        .find(is_aggregator)
        .expect("a row")
        .used
        .expect("a figure");
    assert_eq!(
        (used.figure, used.basis),
        (701.0, Basis::MeasuredAt(samples[2].size))
    );
}

#[test]
fn what_serves_all_agents_is_measured_or_not_known() {
    let agents = slope(
        Role::Discovery,
        Factor::Agents,
        |agents| agents,
        |size, step| {
            size.agents = 10 * step;
        },
    );
    assert_eq!(estimate(&agents, Role::Discovery), None);
    let measured = sample(Experiment::Budget, Role::Discovery, CORE, 3.0);
    assert_eq!(figure(&[measured], Role::Discovery), 3.0);
}

#[rstest]
#[case::interrupted(|one: &mut Sample| one.complete = false)]
#[case::event(|one: &mut Sample| one.event = Some(EventKind::ZoneLoss))]
#[case::other_role(|one: &mut Sample| one.role = Role::Appliance)]
#[case::smaller(|one: &mut Sample| one.size.listed_appliances = 50)]
fn other_samples_say_nothing_of_the_target(#[case] change: fn(&mut Sample)) {
    let mut one = sample(Experiment::Budget, Role::Agent, CORE, 7.0);
    change(&mut one);
    assert_eq!(estimate(&[one], Role::Agent), None);
}

#[test]
fn the_worst_event_counts_for_memory() {
    let memory =
        |experiment, figure| sample(experiment, Role::Agent, Quantity::MemoryMegabytes, figure);
    let mut restart = memory(Experiment::Event, 80.0);
    restart.event = Some(EventKind::RegionRestart);
    let samples = [memory(Experiment::Budget, 30.0), restart];
    let target = target();
    let budgets = Analysis::new(&samples, &target).budgets();
    let row = budgets
        .iter()
        .find(|row| row.kind == BudgetKind::Memory)
        .expect("memory");
    let used = row.used.expect("it is measured");
    let expected = Basis::MeasuredIn {
        event: EventKind::RegionRestart,
        size: target.size(),
    };
    assert_eq!((used.figure, used.basis), (80.0, expected));
}

#[test]
fn a_measured_process_needs_no_factor() {
    let mut process = sample(Experiment::Budget, Role::Agent, CORE, 9.0);
    process.source = Source::Process;
    let mut pair = [process.clone(), process.clone()];
    for one in &mut pair {
        (one.experiment, one.size.agents) = (Experiment::Process, 5);
    }
    pair[0].source = Source::Hollow;
    pair[0].figures = BTreeMap::from([(CORE, 3.0)]);
    let samples = [pair.to_vec(), vec![process]].concat();
    let target = target();
    let analysis = Analysis::new(&samples, &target);
    assert_eq!(analysis.process_factor(Role::Agent, CORE), Some(3.0));
    let row = analysis.budgets()[0];
    assert_eq!((row.kind, row.process_factor), (BudgetKind::Core, None));
    assert_eq!(row.times_of_process(), Some(0.9));
}
