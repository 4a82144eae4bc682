//! `measure`: the figures of the target beside its budgets, in under a minute; the last line holds
//! them all.
mod comparison;
mod figures;
mod samples;

use std::path::PathBuf;
use std::time::Duration;

use cpu_time::ProcessTime;
use lilacgate_capacity::Target;
use lilacgate_capacity::result::{EventKind, Experiment, Quantity, Role, Sample};

use self::figures::{Figures, last_line};
use self::samples::{evenness_sample, repeated_sample};
use crate::cli::session::{Options, Session};
use crate::error::ScaleError;
use crate::event::{self, Observed, Pace};
use crate::fleet::FleetSize;
use crate::measure::{self, CostAndPrediction, Evenness};
use crate::run::{self, Label, Plan, Steady};
use crate::simulation::Simulation;

/// Virtual time before a measurement.
const WARM_UP: Duration = Duration::from_secs(2);
/// Virtual time of a measurement.
const WINDOW: Duration = Duration::from_secs(3);
/// Virtual time of a repeated measurement.
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
    let label = session.label(Experiment::Budget, None, false);
    let mut measurement = Measurement {
        session,
        target: &target,
        size: &size,
        label: &label,
    };
    let figures = match measurement.run(arguments) {
        Ok(figures) => figures,
        Err(fault) => {
            let plan = plan(&session.options, size, WINDOW);
            session.keep_nothing(&plan, &label, None, &fault)?;
            return Err(fault);
        }
    };
    println!("{}", comparison::with_earlier(&figures, &arguments.before));
    println!("{}", last_line(&figures));
    Ok(())
}

fn plan(options: &Options, size: FleetSize, window: Duration) -> Plan {
    Plan {
        size,
        seed: options.seed,
        threads: options.threads,
        warm_up: WARM_UP,
        window,
    }
}

/// A run of the command: where its samples go, and what it measures.
struct Measurement<'a> {
    session: &'a mut Session,
    target: &'a Target,
    size: &'a FleetSize,
    label: &'a Label,
}

/// The figures of the target's fleet in all services.
struct MainFleet {
    steady: Steady,
    in_force_millis: f64,
    restart_bytes: f64,
    /// Attempts against a rule during the change and the restart.
    broken_rules: u64,
}

/// An event that was played, with the sample of it.
struct PlayedEvent {
    sample: Sample,
    broken_rules: u64,
}

impl PlayedEvent {
    fn figure(&self, quantity: Quantity) -> f64 {
        self.sample.figure(quantity).unwrap_or(f64::NAN)
    }
}

impl Measurement<'_> {
    fn run(&mut self, arguments: &Arguments) -> Result<Figures, ScaleError> {
        let mut clock = StageClock::start();
        // The largest fleet goes first: its memory is the growth since the start.
        let main = self.main_fleet()?;
        clock.end_stage("steady fleet, change and restart");

        let few = FleetSize {
            releases: 0,
            ..self.size.with_agents(REPEATED_AGENTS.min(self.size.agents))
        };
        let services = self.repeated(few.clone())?;
        let one_service = self.repeated(few.in_one_service())?;
        clock.end_stage("repeated costs and their predictions");

        let with_release = self.plan(one_release(self.size), WINDOW);
        let with_release = self.session.steady(&with_release, self.label)?;
        clock.end_stage("judges");

        let evenness = self.evenness()?;
        clock.end_stage("evenness");

        Ok(Figures {
            steady: main.steady,
            with_release,
            services: services.cost,
            one_service: one_service.cost,
            evenness,
            in_force_millis: main.in_force_millis,
            restart_bytes: main.restart_bytes,
            restart_broken_rules: main.broken_rules,
            predict_error: services.error().max(one_service.error()),
            hollow_error: comparison::hollow_error(&arguments.processes, self.target),
        })
    }

    fn plan(&self, size: FleetSize, window: Duration) -> Plan {
        plan(&self.session.options, size, window)
    }

    /// The steady fleet, one change of its list, and the restart of half of a region's agents.
    fn main_fleet(&mut self) -> Result<MainFleet, ScaleError> {
        let size = FleetSize {
            change_rate: 0.0,
            ..self.size.clone()
        };
        let plan = self.plan(size, WINDOW);
        let mut simulation = run::warm(&plan, &self.session.limits)?;
        let steady = run::measure(&mut simulation, plan.window).completed()?;
        for sample in steady.samples(self.label) {
            self.session.keep(sample)?;
        }
        let change = self.play(EventKind::ConfigurationChange, &mut simulation, &plan)?;
        let restart = self.play(EventKind::RegionRestart, &mut simulation, &plan)?;
        Ok(MainFleet {
            steady,
            in_force_millis: change.figure(Quantity::InForceMillis),
            restart_bytes: restart.figure(Quantity::RestartBytes),
            broken_rules: change.broken_rules + restart.broken_rules,
        })
    }

    fn play(
        &mut self,
        kind: EventKind,
        simulation: &mut Simulation,
        plan: &Plan,
    ) -> Result<PlayedEvent, ScaleError> {
        let pace = Pace {
            hour: 0.0,
            partition: 0.0,
            seed: plan.seed,
        };
        let observed = event::play(kind, simulation, self.target, &pace)?;
        let sample = event_sample(kind, &observed, plan, self.label);
        self.session.keep(sample.clone())?;
        Ok(PlayedEvent {
            sample,
            broken_rules: observed.steady.total.counts.broken_rules,
        })
    }

    fn repeated(&mut self, size: FleetSize) -> Result<CostAndPrediction, ScaleError> {
        let plan = self.plan(size, REPEATED_WINDOW);
        let measured = measure::cost_and_prediction(&plan, &self.session.limits)?;
        let sample = repeated_sample(&plan, &measured.cost, self.label);
        self.session.keep(sample)?;
        Ok(measured)
    }

    fn evenness(&mut self) -> Result<Evenness, ScaleError> {
        let plan = self.plan(measure::spread_size(self.size), WINDOW);
        let evenness = measure::evenness(&plan, &self.session.limits)?;
        self.session
            .keep(evenness_sample(&plan, &evenness, self.label))?;
        Ok(evenness)
    }
}

fn event_sample(kind: EventKind, observed: &Observed, plan: &Plan, label: &Label) -> Sample {
    let size = plan.size.record(observed.steady.used.round() as u32);
    Sample {
        experiment: Experiment::Event,
        event: Some(kind),
        figures: observed.figures(),
        ..label.sample(Role::Agent, size)
    }
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

/// One service as large as the largest, with a service's share of the routes, which all requests go
/// to: its report aggregators receive as much as one release on trial can cause.
fn one_release(size: &FleetSize) -> FleetSize {
    FleetSize {
        appliances: size.largest,
        routes: size.routes.div_ceil(size.services),
        change_rate: 0.0,
        releases: 1,
        ..size.in_one_service()
    }
}
