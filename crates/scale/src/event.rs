//! Events in a fleet, such as failures and releases, and what they cost while they last.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_capacity::fleet::RegionId;
use lilacgate_capacity::result::{EventKind, Quantity};
use lilacgate_capacity::target::{Failures, Target};
use lilacgate_decision::AgentId;
use rand::seq::SliceRandom;
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use crate::endpoint::{Power, SimulatedEndpoint};
use crate::error::ScaleError;
use crate::network::ServiceIndex;
use crate::run::{self, Steady, micros};
use crate::simulation::Simulation;
use crate::wire::ListedState;

/// The span over which the control cost of the worst second is summed.
const SECOND: Duration = Duration::from_secs(1);
/// Resolution of the times of actions, and of waiting for recovery.
const STEP: Duration = Duration::from_millis(100);
/// Time from a machine's failure until discovery lists it as gone.
const DETECTION: Duration = Duration::from_secs(3);
/// Time from a machine's failure until it runs again.
const REPAIR: Duration = Duration::from_secs(10);
/// Time from an endpoint's drain until its process ends.
const DRAIN: Duration = Duration::from_secs(2);
/// Time from an endpoint's drain until its process has started again.
const RESTART: Duration = Duration::from_secs(4);
/// How long an event is observed after its last action.
const AFTER: Duration = Duration::from_secs(5);
/// The longest wait until all agents have a whole list again.
const LONGEST_RECOVERY: Duration = Duration::from_secs(60);
const SECONDS_AN_HOUR: f64 = 3600.0;
const HOURS_A_DAY: f64 = 24.0;

/// Measures what an event costs, second by second.
#[derive(Debug)]
pub struct Observer {
    begun: Duration,
    second: Duration,
    control: Vec<Duration>,
    worst_second: f64,
    ready: Option<Duration>,
}

impl Observer {
    /// Begins to measure, and resets all counts.
    pub fn begin(simulation: &mut Simulation) -> Self {
        simulation.reset_meters();
        let (begun, second) = (simulation.now, simulation.now);
        let control = vec![Duration::ZERO; simulation.agents.len()];
        let (worst_second, ready) = (0.0, None);
        Observer {
            begun,
            second,
            control,
            worst_second,
            ready,
        }
    }

    /// Runs for a span of virtual time.
    ///
    /// # Errors
    /// A limit is reached.
    pub fn run(&mut self, simulation: &mut Simulation, span: Duration) -> Result<(), ScaleError> {
        let end = simulation.now + span;
        while simulation.now < end {
            simulation.run_until(end.min(self.second + SECOND))?;
            if simulation.now >= self.second + SECOND {
                self.end_second(simulation);
            }
        }
        Ok(())
    }

    fn end_second(&mut self, simulation: &Simulation) {
        self.second = simulation.now;
        for (agent, before) in simulation.agents.iter().zip(&mut self.control) {
            let control = agent.meter.control();
            let spent = control.saturating_sub(*before);
            *before = control;
            self.worst_second = self.worst_second.max(spent.as_secs_f64());
        }
    }

    /// Ends the measurement.
    pub fn end(self, simulation: &mut Simulation) -> Observed {
        let steady = run::read(simulation, simulation.now - self.begun);
        let worst_second_percent = 100.0 * self.worst_second;
        let modules_behind = simulation.modules_behind();
        Observed {
            steady,
            worst_second_percent,
            ready: self.ready,
            modules_behind,
        }
    }
}

/// The measured course of an event.
#[derive(Debug)]
pub struct Observed {
    /// The work of all agents while it lasted.
    pub steady: Steady,
    /// The worst second of an agent, in percent of a core.
    pub worst_second_percent: f64,
    /// When all agents had their lists again.
    pub ready: Option<Duration>,
    /// Modules whose list was not discovery's at the end.
    pub modules_behind: usize,
}

impl Observed {
    /// Its figures.
    pub fn figures(&self) -> BTreeMap<Quantity, f64> {
        let steady = &self.steady;
        let mut figures = steady.agent_figures();
        figures.remove(&Quantity::ListMicros);
        figures.remove(&Quantity::MemoryMegabytes);
        figures.insert(Quantity::WorstSecondCorePercent, self.worst_second_percent);
        figures.insert(Quantity::RestartBytes, steady.discovery.bytes as f64);
        let in_force = steady.total.change_in_force;
        if !in_force.is_zero() && self.modules_behind == 0 {
            figures.insert(Quantity::InForceMillis, micros(in_force) / 1e3);
        }
        if let Some(ready) = self.ready {
            figures.insert(Quantity::ReadyMillis, micros(ready) / 1e3);
        }
        figures
    }
}

/// An action on the fleet.
#[derive(Clone, Copy, Debug)]
enum Action {
    Change(u32),
    Stop(u32, Power),
    Start(u32),
    List(u32, ListedState),
}

/// Actions by their time since the beginning of an event.
#[derive(Debug, Default)]
struct Script(BTreeMap<Duration, Vec<Action>>);

impl Script {
    fn at(&mut self, when: Duration, action: Action) {
        self.0.entry(when).or_default().push(action);
    }

    /// A machine fails, is listed as gone, and comes back.
    fn fail(&mut self, when: Duration, index: u32) {
        self.at(when, Action::Stop(index, Power::Silent));
        self.at(when + DETECTION, Action::List(index, ListedState::Gone));
        self.at(when + REPAIR, Action::Start(index));
        self.at(when + REPAIR, Action::List(index, ListedState::Ready));
    }

    /// An endpoint is drained and restarted.
    fn restart(&mut self, when: Duration, index: u32) {
        self.at(when, Action::List(index, ListedState::Draining));
        self.at(when + DRAIN, Action::Stop(index, Power::Refusing));
        self.at(when + RESTART, Action::Start(index));
        self.at(when + RESTART, Action::List(index, ListedState::Ready));
    }

    /// Carries out all actions, then observes the fleet for [`AFTER`].
    fn play(self, simulation: &mut Simulation, observer: &mut Observer) -> Result<(), ScaleError> {
        let begun = simulation.now;
        for (when, actions) in self.0 {
            let wait = (begun + when).saturating_sub(simulation.now);
            observer.run(simulation, wait)?;
            carry_out(simulation, &actions);
        }
        observer.run(simulation, AFTER)
    }
}

/// Carries out all actions of a moment; changed entries are published together.
fn carry_out(simulation: &mut Simulation, actions: &[Action]) {
    let mut listed = Vec::new();
    for action in actions {
        match *action {
            Action::Change(index) => simulation.change_weight(index),
            Action::Stop(index, power) => simulation.stop_endpoint(index, power),
            Action::Start(index) => simulation.restart_endpoint(index),
            Action::List(index, state) => {
                simulation.list_as(index, state);
                listed.push(index);
            }
        }
    }
    simulation.publish(&listed);
}

/// How fast events are played.
#[derive(Clone, Copy, Debug)]
pub struct Pace {
    /// Virtual seconds into which an ordinary hour is compressed.
    pub hour: f64,
    /// Virtual seconds of a network partition.
    pub partition: f64,
    /// Seed of the random choices.
    pub seed: u64,
}

/// Plays an event in a warm fleet.
///
/// # Errors
/// A limit is reached.
pub fn play(
    kind: EventKind,
    simulation: &mut Simulation,
    target: &Target,
    pace: &Pace,
) -> Result<Observed, ScaleError> {
    let mut observer = Observer::begin(simulation);
    let random = &mut Pcg64Mcg::seed_from_u64(pace.seed ^ kind as u64);
    match kind {
        EventKind::ConfigurationChange => {
            let mut script = Script::default();
            script.at(Duration::ZERO, Action::Change(0));
            script.play(simulation, &mut observer)?;
        }
        EventKind::OrdinaryDay => {
            let script = ordinary_hour(simulation, target, pace.hour, random);
            script.play(simulation, &mut observer)?;
        }
        EventKind::RackLoss => {
            let rack = simulation.endpoints[0].rack;
            let lost = members(simulation, |endpoint| endpoint.rack == rack);
            lose(&lost).play(simulation, &mut observer)?;
        }
        EventKind::ZoneLoss => {
            let lost = members(simulation, |endpoint| endpoint.zone == 0);
            lose(&lost).play(simulation, &mut observer)?;
        }
        EventKind::RegionRestart => region_restart(simulation, &mut observer, random)?,
        EventKind::RegionPartition => partition(simulation, &mut observer, pace.partition)?,
        EventKind::ManyReleases => {
            let services = target.releases.min(simulation.common.size.services);
            (0..services).for_each(|service| simulation.begin_trial(ServiceIndex(service)));
            observer.run(simulation, REPAIR)?;
        }
    }
    Ok(observer.end(simulation))
}

fn members(simulation: &Simulation, is_member: impl Fn(&SimulatedEndpoint) -> bool) -> Vec<u32> {
    let members = simulation.endpoints.iter().filter(|one| is_member(one));
    members.map(|endpoint| endpoint.entry.index).collect()
}

fn lose(lost: &[u32]) -> Script {
    let mut script = Script::default();
    lost.iter()
        .for_each(|&index| script.fail(Duration::ZERO, index));
    script
}

/// An hour's changes, failures and restarts, at random moments of a shorter time.
fn ordinary_hour(
    simulation: &Simulation,
    target: &Target,
    seconds: f64,
    random: &mut Pcg64Mcg,
) -> Script {
    let Failures {
        machines_per_day,
        restarts_per_day,
        ..
    } = target.failures;
    let mut order: Vec<u32> = (0..simulation.endpoints.len() as u32).collect();
    order.shuffle(random);
    let mut chosen = order.into_iter().cycle();
    let mut script = Script::default();
    let mut plan = |per_day: f64, act: &dyn Fn(&mut Script, Duration, u32)| {
        for _ in 0..(per_day / HOURS_A_DAY).ceil() as u32 {
            let when = STEP * (random.random_range(0.0..seconds) / STEP.as_secs_f64()) as u32;
            if let Some(index) = chosen.next() {
                act(&mut script, when, index);
            }
        }
    };
    plan(target.changes.per_day, &|script, when, index| {
        script.at(when, Action::Change(index))
    });
    plan(machines_per_day, &|script, when, index| {
        script.fail(when, index)
    });
    plan(restarts_per_day, &|script, when, index| {
        script.restart(when, index)
    });
    tracing::info!(
        "an hour in {seconds} s: {} times as fast",
        SECONDS_AN_HOUR / seconds
    );
    script
}

/// Half of the first region's agents restart together, and request their whole lists.
fn region_restart(
    simulation: &mut Simulation,
    observer: &mut Observer,
    random: &mut Pcg64Mcg,
) -> Result<(), ScaleError> {
    let all = (0..simulation.agents.len() as u32).map(AgentId);
    let mut here: Vec<AgentId> = all
        .filter(|id| simulation.region(*id) == RegionId(0))
        .collect();
    here.shuffle(random);
    here.truncate(here.len().div_ceil(2));
    simulation.discovery.is_paced = true;
    simulation.restart_agents(&here)?;
    recover(simulation, observer)
}

/// The network between the regions is cut, and joined again.
fn partition(
    simulation: &mut Simulation,
    observer: &mut Observer,
    seconds: f64,
) -> Result<(), ScaleError> {
    simulation.discovery.is_paced = true;
    simulation.partition_regions();
    observer.run(simulation, Duration::from_secs_f64(seconds))?;
    simulation.join_regions();
    recover(simulation, observer)
}

/// Waits until all modules have a whole list from their current watch.
fn recover(simulation: &mut Simulation, observer: &mut Observer) -> Result<(), ScaleError> {
    let begun = simulation.now;
    while simulation.modules_unwatched() > 0 && simulation.now < begun + LONGEST_RECOVERY {
        observer.run(simulation, STEP)?;
    }
    if simulation.modules_unwatched() == 0 {
        observer.ready = Some(simulation.now - begun);
    }
    observer.run(simulation, SECOND)
}
