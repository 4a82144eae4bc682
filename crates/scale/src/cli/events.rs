//! `events`: failures, restarts, releases and partitions, and what they cost while they last.
use std::time::Duration;

use lilacgate_capacity::result::{EventKind, Experiment, Quantity, Role, Sample};

use crate::cli::session::Session;
use crate::error::ScaleError;
use crate::event::{self, Observed, Pace};
use crate::fleet::FleetSize;
use crate::run::{self, Label, Plan};

/// Virtual time before an event.
const WARM_UP: Duration = Duration::from_secs(2);

/// Arguments of `events`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The events, all if none is given.
    #[arg(long = "event", value_enum)]
    events: Vec<Event>,
    /// Fewer agents than the target's, each asked as much.
    #[arg(long)]
    agents: Option<u32>,
    /// One service with the whole list in place of the target's services.
    #[arg(long)]
    one_service: bool,
    /// Virtual seconds that stand for an ordinary hour.
    #[arg(long, default_value_t = 20.0)]
    hour: f64,
    /// Virtual seconds that the regions are apart; the target's time if none are given.
    #[arg(long)]
    partition: Option<f64>,
}

/// An event.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
enum Event {
    /// One change of the list.
    Change,
    /// An hour's changes, failures and restarts.
    Hour,
    /// All appliances of a rack fail.
    Rack,
    /// All appliances of a zone fail, and come back.
    Zone,
    /// Half of a region's agents restart together.
    Restart,
    /// Releases on trial in many services.
    Releases,
    /// The regions lose each other.
    Partition,
}

/// All events in the order they are played.
const ALL: [Event; 7] = [
    Event::Change,
    Event::Hour,
    Event::Rack,
    Event::Zone,
    Event::Restart,
    Event::Releases,
    Event::Partition,
];

impl Event {
    fn kind(self) -> EventKind {
        match self {
            Event::Change => EventKind::ConfigurationChange,
            Event::Hour => EventKind::OrdinaryDay,
            Event::Rack => EventKind::RackLoss,
            Event::Zone => EventKind::ZoneLoss,
            Event::Restart => EventKind::RegionRestart,
            Event::Releases => EventKind::ManyReleases,
            Event::Partition => EventKind::RegionPartition,
        }
    }
}

/// Plays the events, each on a fleet of its own.
///
/// # Errors
/// The size cannot be simulated, or the run was stopped.
pub fn run(session: &mut Session, arguments: &Arguments) -> Result<(), ScaleError> {
    let target = session.target()?;
    let mut size = FleetSize {
        change_rate: 0.0,
        ..FleetSize::of_target(&target)
    };
    if let Some(agents) = arguments.agents {
        size = size.with_agents(agents);
    }
    if arguments.one_service {
        size = size.in_one_service();
    }
    let lasts = target.failures.partition_lasts.as_secs_f64();
    let partition = arguments.partition.unwrap_or(lasts);
    let pace = Pace {
        hour: arguments.hour,
        partition,
        seed: session.options.seed,
    };
    session.heading();
    let events = if arguments.events.is_empty() {
        &ALL[..]
    } else {
        &arguments.events
    };
    for event in events {
        play(session, event.kind(), &size, &target, &pace)?;
    }
    Ok(())
}

fn play(
    session: &mut Session,
    kind: EventKind,
    size: &FleetSize,
    target: &lilacgate_capacity::Target,
    pace: &Pace,
) -> Result<(), ScaleError> {
    // Trials begin with the event.
    let releases = if kind == EventKind::ManyReleases {
        0
    } else {
        size.releases
    };
    let size = FleetSize {
        releases,
        ..size.clone()
    };
    let (seed, threads) = (session.options.seed, session.options.threads);
    let plan = Plan {
        size,
        seed,
        threads,
        warm_up: WARM_UP,
        window: Duration::ZERO,
    };
    let label = session.label(Experiment::Event, None, false);
    let played = run::warm(&plan, &session.limits)
        .and_then(|mut simulation| event::play(kind, &mut simulation, target, pace));
    let observed = match played {
        Ok(observed) => observed,
        Err(fault) => {
            session.keep_nothing(&plan, &label, Some(kind), &fault)?;
            return Err(fault);
        }
    };
    for sample in samples(&observed, kind, &label, target.releases) {
        session.keep(sample)?;
    }
    print_details(&observed);
    Ok(())
}

fn samples(observed: &Observed, kind: EventKind, label: &Label, releases: u32) -> Vec<Sample> {
    let steady = &observed.steady;
    let mut roles = vec![(Role::Agent, observed.figures())];
    roles.extend(
        steady
            .aggregator_figures()
            .map(|figures| (Role::Aggregator, figures)),
    );
    roles.push((Role::Discovery, steady.discovery_figures()));
    let mut size = steady.size.record(steady.used.round() as u32);
    if kind == EventKind::ManyReleases {
        size.releases = releases.min(size.services);
    }
    let sample = |(role, figures)| Sample {
        event: Some(kind),
        figures,
        ..label.sample(role, size)
    };
    roles.into_iter().map(sample).collect()
}

fn print_details(observed: &Observed) {
    let figures = observed.figures();
    let details: Vec<String> = DETAILS
        .iter()
        .filter_map(|quantity| {
            figures
                .get(quantity)
                .map(|value| format!("{quantity:?} {value:.1}"))
        })
        .collect();
    println!(
        "    {}; modules behind {}",
        details.join(", "),
        observed.modules_behind
    );
}

/// The figures that are printed below an event's samples.
const DETAILS: [Quantity; 6] = [
    Quantity::WorstSecondCorePercent,
    Quantity::InForceMillis,
    Quantity::ReadyMillis,
    Quantity::RestartBytes,
    Quantity::Requests,
    Quantity::RefusedRequests,
];
