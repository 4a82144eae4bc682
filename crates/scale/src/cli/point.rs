//! `point`: what control costs in one steady fleet.
//!
//! Other commands run it as a process of its own for each size, so that the growth of resident
//! memory is that of this fleet alone.
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use lilacgate_capacity::result::{self, Experiment, Factor, Sample};
use nix::sys::signal::{Signal, kill};
use nix::unistd::Pid;

use crate::cli::session::{Options, Session};
use crate::error::ScaleError;
use crate::fleet::FleetSize;
use crate::run::Plan;

/// How often a parent looks whether it is interrupted.
const POLL: Duration = Duration::from_millis(50);

/// Arguments of `point`.
#[derive(Clone, Debug, clap::Args)]
pub struct Arguments {
    /// Agents.
    #[arg(long, default_value_t = 20)]
    agents: u32,
    /// Appliances in all services.
    #[arg(long, default_value_t = 600)]
    appliances: u32,
    /// Services.
    #[arg(long, default_value_t = 1)]
    services: u32,
    /// How unevenly appliances are spread over services.
    #[arg(long, default_value_t = 1.1)]
    service_skew: f64,
    /// Routes.
    #[arg(long, default_value_t = 4)]
    routes: u32,
    /// Tenants in the operator's table; with 0 there is none.
    #[arg(long, default_value_t = 0)]
    tenants: u32,
    /// Requests per second at all agents together.
    #[arg(long, default_value_t = 1246.0)]
    request_rate: f64,
    /// Changes of a list per second.
    #[arg(long, default_value_t = 0.0)]
    change_rate: f64,
    /// Services with a release on trial.
    #[arg(long, default_value_t = 0)]
    releases: u32,
    /// Mean work of a request in microseconds.
    #[arg(long, default_value_t = 5000)]
    work_micros: u64,
    /// Virtual seconds before the measurement.
    #[arg(long, default_value_t = 2.0)]
    warm_up: f64,
    /// Virtual seconds of the measurement.
    #[arg(long, default_value_t = 4.0)]
    window: f64,
    /// The size that varies, for the record.
    #[arg(long, value_parser = factor)]
    factor: Option<Factor>,
    /// The record is held back from the fit.
    #[arg(long)]
    held_back: bool,
    /// Print records as JSON lines in place of the table.
    #[arg(long)]
    json: bool,
}

/// A point as a parent asks for it.
#[derive(Clone, Debug)]
pub struct Request {
    /// The fleet.
    pub size: FleetSize,
    /// The size that varies.
    pub factor: Factor,
    /// Whether it is held back from the fit.
    pub held_back: bool,
    /// Virtual seconds of the measurement.
    pub window: f64,
}

impl Request {
    fn experiment(&self) -> Experiment {
        if self.held_back {
            Experiment::Predict
        } else {
            Experiment::Slope
        }
    }
}

/// Reads a factor by its name in result files.
fn factor(name: &str) -> Result<Factor, String> {
    FACTORS
        .iter()
        .find(|(known, _)| *known == name)
        .map(|(_, factor)| *factor)
        .ok_or_else(|| format!("no factor is named {name}"))
}

const FACTORS: [(&str, Factor); 9] = [
    ("agents", Factor::Agents),
    ("listed-appliances", Factor::ListedAppliances),
    ("used-appliances", Factor::UsedAppliances),
    ("services", Factor::Services),
    ("routes", Factor::Routes),
    ("tenants", Factor::Tenants),
    ("request-rate", Factor::RequestRate),
    ("change-rate", Factor::ChangeRate),
    ("releases", Factor::Releases),
];

impl Arguments {
    /// The fleet that they describe.
    fn size(&self) -> FleetSize {
        FleetSize {
            agents: self.agents,
            appliances: self.appliances,
            services: self.services,
            service_skew: self.service_skew,
            routes: self.routes,
            tenants: self.tenants,
            request_rate: self.request_rate,
            change_rate: self.change_rate,
            releases: self.releases,
            work: Duration::from_micros(self.work_micros),
            ..FleetSize::default()
        }
    }
}

/// Measures one fleet.
///
/// # Errors
/// The size cannot be simulated, or the run was stopped.
pub fn run(session: &mut Session, arguments: &Arguments) -> Result<(), ScaleError> {
    session.print_json(arguments.json);
    session.heading();
    let label = session.label(Experiment::Slope, arguments.factor, arguments.held_back);
    let plan = Plan {
        size: arguments.size(),
        seed: session.options.seed,
        threads: session.options.threads,
        warm_up: Duration::from_secs_f64(arguments.warm_up),
        window: Duration::from_secs_f64(arguments.window),
    };
    session.steady(&plan, &label).map(|_| ())
}

/// Measures a point in a process of its own, and keeps its samples.
///
/// # Errors
/// The process fails or is stopped; what it measured by then is kept.
pub fn run_apart(session: &mut Session, request: &Request) -> Result<(), ScaleError> {
    let program = std::env::current_exe().map_err(ScaleError::Process)?;
    let mut child = Command::new(program)
        .args(command_line(&session.options, request))
        .stdin(Stdio::null())
        .stdout(Stdio::piped())
        .spawn()
        .map_err(ScaleError::Process)?;
    let samples = read(session, &mut child);
    let status = child.wait().map_err(ScaleError::Process)?;
    for mut sample in samples? {
        sample.command = session.command().to_owned();
        sample.experiment = request.experiment();
        session.keep(sample)?;
    }
    session.limits.check()?;
    if status.success() {
        Ok(())
    } else {
        Err(ScaleError::Child(status.to_string()))
    }
}

/// Reads what a process measures, and passes an interrupt on to it.
fn read(session: &Session, child: &mut Child) -> Result<Vec<Sample>, ScaleError> {
    let Some(output) = child.stdout.take() else {
        return Ok(Vec::new());
    };
    let reader = std::thread::spawn(move || {
        result::read(&mut std::io::BufReader::new(output), "point".as_ref())
    });
    let mut reported = false;
    while !reader.is_finished() {
        std::thread::sleep(POLL);
        if session.limits.is_interrupted() && !reported {
            reported = true;
            kill(Pid::from_raw(child.id().cast_signed()), Signal::SIGINT).ok();
        }
    }
    let samples = reader
        .join()
        .map_err(|_| ScaleError::Child("no output".to_owned()))?;
    Ok(samples?)
}

fn command_line(options: &Options, request: &Request) -> Vec<String> {
    let size = &request.size;
    let factor = FACTORS.iter().find(|(_, factor)| *factor == request.factor);
    let pairs = [
        ("--seed", options.seed.to_string()),
        ("--threads", options.threads.to_string()),
        ("--agents", size.agents.to_string()),
        ("--appliances", size.appliances.to_string()),
        ("--services", size.services.to_string()),
        ("--service-skew", size.service_skew.to_string()),
        ("--routes", size.routes.to_string()),
        ("--tenants", size.tenants.to_string()),
        ("--request-rate", size.request_rate.to_string()),
        ("--change-rate", size.change_rate.to_string()),
        ("--releases", size.releases.to_string()),
        ("--work-micros", size.work.as_micros().to_string()),
        ("--window", request.window.to_string()),
        ("--factor", factor.map_or("", |(name, _)| name).to_owned()),
    ];
    let mut arguments = vec!["point".to_owned()];
    arguments.extend(
        pairs
            .into_iter()
            .flat_map(|(name, value)| [name.to_owned(), value]),
    );
    let memory = options
        .memory_limit
        .map(|limit| format!("--memory-limit={limit}"));
    arguments.extend(memory);
    arguments.extend(request.held_back.then(|| "--held-back".to_owned()));
    arguments.push("--json".to_owned());
    arguments
}
