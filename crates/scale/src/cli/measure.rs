//! `measure`: the figures of the target beside its budgets, in under a minute; the last line holds
//! them all.
use std::collections::BTreeMap;
use std::path::PathBuf;
use std::time::Duration;

use cpu_time::ProcessTime;
use lilacgate_capacity::analysis::{Analysis, ProcessPair};
use lilacgate_capacity::result::{self, EventKind, Experiment, Factor, Quantity, Role, Sample};
use lilacgate_capacity::{Source, Target};

use crate::cli::session::{Options, Session};
use crate::error::ScaleError;
use crate::event::{self, Pace};
use crate::fleet::FleetSize;
use crate::measure::{self, Evenness, Repeated};
use crate::report::number;
use crate::resources::MEGABYTE;
use crate::run::{self, Label, Plan, Steady, micros};
use crate::simulation::Simulation;

/// Virtual time before a measurement, and of it.
const WARM_UP: Duration = Duration::from_secs(2);
const WINDOW: Duration = Duration::from_secs(3);
/// The same where runs are repeated.
const REPEATED_WINDOW: Duration = Duration::from_secs(5);
/// Agents of a fleet that is measured several times.
const REPEATED_AGENTS: u32 = 12;

/// Arguments of `measure`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// Fewer agents than the target's, each asked as much.
    #[arg(long)]
    agents: Option<u32>,
    /// Results of the same command before a change, to be printed beside.
    #[arg(long, default_value = "measure/capacity/before/measure.jsonl")]
    before: PathBuf,
    /// Results of real processes beside hollow ones of the same size.
    #[arg(long, default_value = "measure/capacity/processes.jsonl")]
    processes: PathBuf,
}

/// All that is measured.
struct Figures {
    steady: Steady,
    with_release: Steady,
    services: Repeated,
    one_service: Repeated,
    evenness: Evenness,
    in_force_millis: f64,
    restart_bytes: f64,
    restart_broken_rules: u64,
    predict_error: f64,
    hollow_error: Option<f64>,
}

/// Measures the target.
///
/// # Errors
/// The size cannot be simulated, or the run was stopped.
pub fn run(session: &mut Session, arguments: &Arguments) -> Result<(), ScaleError> {
    let target = session.target()?;
    let mut size = FleetSize::of_target(&target);
    if let Some(agents) = arguments.agents {
        size = size.with_agents(agents);
    }
    session.heading();
    let figures = match measure(session, &target, &size, arguments) {
        Ok(figures) => figures,
        Err(fault) => {
            let label = session.label(Experiment::Budget, None, false);
            let plan = plan_with(&session.options, size, WINDOW);
            session.keep_nothing(&plan, &label, None, &fault)?;
            return Err(fault);
        }
    };
    println!("{}", beside(&figures, arguments));
    println!("{}", last_line(&figures));
    Ok(())
}

fn plan_with(options: &Options, size: FleetSize, window: Duration) -> Plan {
    Plan {
        size,
        seed: options.seed,
        threads: options.threads,
        warm_up: WARM_UP,
        window,
    }
}

fn measure(
    session: &mut Session,
    target: &Target,
    size: &FleetSize,
    arguments: &Arguments,
) -> Result<Figures, ScaleError> {
    let options = session.options.clone();
    let plan = |size: FleetSize, window: Duration| plan_with(&options, size, window);
    let label = session.label(Experiment::Budget, None, false);

    let mut clock = StageClock::start();
    // The largest fleet goes first: its memory is the growth since the start.
    let main = plan(
        FleetSize {
            change_rate: 0.0,
            ..size.clone()
        },
        WINDOW,
    );
    let (steady, in_force_millis, restart) = main_fleet(session, &main, target, &label)?;

    clock.end_stage("steady fleet, change and restart");

    let limits = session.limits.clone();
    let few = size.with_agents(REPEATED_AGENTS.min(size.agents));
    let services = plan(
        FleetSize {
            releases: 0,
            ..few.clone()
        },
        REPEATED_WINDOW,
    );
    let (services_cost, services_predicted) = measure::cost_and_prediction(&services, &limits)?;
    session.keep(repeated_sample(&services, &services_cost, &label))?;
    let one = plan(
        FleetSize {
            releases: 0,
            ..few.in_one_service()
        },
        REPEATED_WINDOW,
    );
    let (one_cost, one_predicted) = measure::cost_and_prediction(&one, &limits)?;
    session.keep(repeated_sample(&one, &one_cost, &label))?;

    clock.end_stage("repeated costs and their predictions");
    let error =
        |cost: &Repeated, predicted: f64| (predicted - cost.core_percent).abs() / cost.core_percent;
    let predict_error = f64::max(
        error(&services_cost, services_predicted),
        error(&one_cost, one_predicted),
    );
    let with_release = plan(one_release(size), WINDOW);
    let with_release = session.steady(&with_release, &label)?;
    clock.end_stage("judges");
    let spread = plan(measure::spread_size(size), WINDOW);
    let evenness = measure::evenness(&spread, &limits)?;
    session.keep(evenness_sample(&spread, &evenness, &label))?;
    clock.end_stage("evenness");
    Ok(Figures {
        steady,
        with_release,
        services: services_cost,
        one_service: one_cost,
        evenness,
        in_force_millis,
        restart_bytes: restart.0,
        restart_broken_rules: restart.1,
        predict_error,
        hollow_error: hollow_error(arguments, target),
    })
}

/// Logs the processor time of each stage.
struct StageClock(ProcessTime);

impl StageClock {
    fn start() -> Self {
        StageClock(ProcessTime::now())
    }

    fn end_stage(&mut self, name: &str) {
        let spent = self.0.elapsed().as_secs_f64();
        tracing::info!("{name}: {spent:.1} s of processor time");
        self.0 = ProcessTime::now();
    }
}

/// The steady fleet, one change of its list, and the restart of half of a region's agents.
fn main_fleet(
    session: &mut Session,
    plan: &Plan,
    target: &Target,
    label: &Label,
) -> Result<(Steady, f64, (f64, u64)), ScaleError> {
    let mut simulation = run::warm(plan, &session.limits)?;
    let steady = steady(&mut simulation, plan.window)?;
    for sample in steady.samples(label) {
        session.keep(sample)?;
    }
    let pace = Pace {
        hour: 0.0,
        partition: 0.0,
        seed: plan.seed,
    };
    let mut figures = Vec::new();
    for kind in [EventKind::ConfigurationChange, EventKind::RegionRestart] {
        let observed = event::play(kind, &mut simulation, target, &pace)?;
        let sample = Sample {
            experiment: Experiment::Event,
            command: label.command.clone(),
            seed: label.seed,
            source: Source::Hollow,
            role: Role::Agent,
            factor: None,
            size: plan.size.record(observed.steady.used.round() as u32),
            event: Some(kind),
            held_back: false,
            complete: true,
            figures: observed.figures(),
        };
        session.keep(sample.clone())?;
        figures.push((sample, observed.steady.total.counts.broken_rules));
    }
    let figure = |place: usize, quantity| figures[place].0.figure(quantity).unwrap_or(f64::NAN);
    let in_force = figure(0, Quantity::InForceMillis);
    let broken = figures.iter().map(|(_, broken)| broken).sum();
    Ok((
        steady,
        in_force,
        (figure(1, Quantity::RestartBytes), broken),
    ))
}

/// One service as large as the largest, with a service's share of the routes, which all requests go
/// to: what its judges hear of a release on trial is the most that one release makes them hear.
fn one_release(size: &FleetSize) -> FleetSize {
    FleetSize {
        appliances: size.largest,
        routes: size.routes.div_ceil(size.services),
        change_rate: 0.0,
        releases: 1,
        ..size.in_one_service()
    }
}

fn steady(simulation: &mut Simulation, window: Duration) -> Result<Steady, ScaleError> {
    let list_parse = simulation.total().worst_parse;
    simulation.measure_memory();
    simulation.reset_meters();
    simulation.run_for(window)?;
    let mut steady = run::read(simulation, window);
    steady.list_parse = list_parse;
    Ok(steady)
}

fn plain_sample(plan: &Plan, label: &Label) -> Sample {
    Sample {
        experiment: label.experiment,
        command: label.command.clone(),
        seed: label.seed,
        source: Source::Hollow,
        role: Role::Agent,
        factor: None::<Factor>,
        size: plan.size.record(0),
        event: None,
        held_back: false,
        complete: true,
        figures: Default::default(),
    }
}

fn repeated_sample(plan: &Plan, cost: &Repeated, label: &Label) -> Sample {
    let mut sample = plain_sample(plan, label);
    sample.figures = [
        (Quantity::ControlCorePercent, cost.core_percent),
        (Quantity::WorstRoundMicros, micros(cost.worst_round)),
        (Quantity::BrokenRules, cost.broken_rules as f64),
    ]
    .into();
    sample
}

fn evenness_sample(plan: &Plan, evenness: &Evenness, label: &Label) -> Sample {
    let mut sample = plain_sample(plan, label);
    sample.figures = [
        (Quantity::SpreadMost, evenness.most),
        (Quantity::SpreadLeast, evenness.least),
        (Quantity::MovedShare, evenness.moved),
        (Quantity::BrokenRules, evenness.broken_rules as f64),
    ]
    .into();
    sample
}

impl Figures {
    /// Control cost of an agent: the dearer of the two shapes.
    fn core_percent(&self) -> f64 {
        let shapes = [
            self.steady.control_core_percent(),
            self.one_service.core_percent,
        ];
        shapes.into_iter().fold(0.0, f64::max)
    }

    fn worst_round(&self) -> f64 {
        micros(self.services.worst_round.max(self.one_service.worst_round))
    }

    fn agent_bytes_a_second(&self) -> f64 {
        let figures = self.steady.agent_figures();
        figures[&Quantity::BytesInPerSecond] + figures[&Quantity::BytesOutPerSecond]
    }

    fn aggregator_bytes_per_second(&self) -> f64 {
        let aggregators = [&self.steady, &self.with_release].map(Steady::aggregator_figures);
        let bytes = |figures: BTreeMap<Quantity, f64>| figures[&Quantity::BytesInPerSecond];
        aggregators
            .into_iter()
            .flatten()
            .map(bytes)
            .fold(0.0, f64::max)
    }

    fn broken_rules(&self) -> u64 {
        self.steady.total.counts.broken_rules
            + self.with_release.total.counts.broken_rules
            + self.services.broken_rules
            + self.one_service.broken_rules
            + self.evenness.broken_rules
            + self.restart_broken_rules
    }
}

fn last_line(figures: &Figures) -> String {
    let size = &figures.steady.size;
    let evenness = &figures.evenness;
    let hollow = figures
        .hollow_error
        .map_or_else(|| "not-measured".to_owned(), percent);
    let pairs = [
        ("agents", size.agents.to_string()),
        ("appliances", size.appliances.to_string()),
        ("services", size.services.to_string()),
        ("control_core_percent", number(figures.core_percent())),
        ("worst_round_us", number(figures.worst_round())),
        (
            "agent_mb",
            number(figures.steady.agent_bytes / MEGABYTE as f64),
        ),
        ("agent_bytes_s", number(figures.agent_bytes_a_second())),
        (
            "judge_bytes_s",
            number(figures.aggregator_bytes_per_second()),
        ),
        ("in_force_worst_ms", number(figures.in_force_millis)),
        ("restart_bytes", format!("{:.0}", figures.restart_bytes)),
        ("spread_most", number(evenness.most)),
        ("spread_least", number(evenness.least)),
        ("moved_share", format!("{:.5}", evenness.moved)),
        ("broken_rules", figures.broken_rules().to_string()),
        ("predict_error_percent", percent(figures.predict_error)),
        ("hollow_error_percent", hollow),
    ];
    let pairs: Vec<String> = pairs
        .iter()
        .map(|(key, value)| format!("{key}={value}"))
        .collect();
    format!("measure scale: {}", pairs.join(" "))
}

fn percent(share: f64) -> String {
    format!("{:.1}", 100.0 * share)
}

/// The costs of both shapes, and what they were before a change where that is on file.
fn beside(figures: &Figures, arguments: &Arguments) -> String {
    let before = result::load(&arguments.before).unwrap_or_default();
    let was = |one_service: bool, quantity: Quantity| {
        let is_shape = |sample: &&Sample| {
            sample.experiment == Experiment::Budget
                && sample.role == Role::Agent
                && (sample.size.services == 1) == one_service
                && sample.size.used_appliances == 0
        };
        let found = before
            .iter()
            .filter(is_shape)
            .find_map(|sample| sample.figure(quantity));
        found.map_or_else(|| "-".to_owned(), number)
    };
    let mut lines = vec![format!("{:<40} {:>10} {:>10}", "", "before", "now")];
    let shapes = [
        ("a module for each service", false, &figures.services),
        ("one module with the whole list", true, &figures.one_service),
    ];
    for (name, one_service, now) in shapes {
        let core = was(one_service, Quantity::ControlCorePercent);
        let worst = was(one_service, Quantity::WorstRoundMicros);
        let (core_now, worst_now) = (number(now.core_percent), number(micros(now.worst_round)));
        lines.push(format!(
            "{:<40} {core:>10} {core_now:>10}",
            format!("{name}: core percent")
        ));
        lines.push(format!(
            "{:<40} {worst:>10} {worst_now:>10}",
            format!("{name}: worst round us")
        ));
    }
    lines.join("\n")
}

/// By how much processor time of hollow agents differs from that of real processes, at the largest
/// size where both are on file.
fn hollow_error(arguments: &Arguments, target: &Target) -> Option<f64> {
    let samples = result::load(&arguments.processes).ok()?;
    let analysis = Analysis::new(&samples, target);
    let is_core = |pair: &&ProcessPair| {
        (pair.role, pair.quantity) == (Role::Agent, Quantity::ControlCorePercent)
    };
    let pair = analysis.pairs.iter().rev().find(is_core)?;
    Some((pair.hollow - pair.process).abs() / pair.process)
}
