//! `slopes`: what control costs against each size, one at a time.
use std::time::Duration;

use lilacgate_capacity::result::Factor;
use lilacgate_capacity::target::Target;

use crate::cli::point::{self, Request};
use crate::cli::session::Session;
use crate::error::ScaleError;
use crate::fleet::{FleetSize, MOST_ROUTES};

/// Parts of the target that a slope measures; the last is held back.
const PARTS: [f64; 5] = [0.05, 0.15, 0.3, 0.6, 1.0];
/// The same for the length of a list.
const LIST_PARTS: [f64; 6] = [0.005, 0.08, 0.16, 0.32, 0.65, 1.0];
/// The same for releases.
const RELEASE_PARTS: [f64; 5] = [0.0, 0.1, 0.25, 0.5, 1.0];
/// Routes of a slope that is not over routes.
const ROUTES: u32 = 4;
/// Appliances of a service where their number does not vary.
const APPLIANCES_A_SERVICE: u32 = 10;
/// Appliances of a service that may have a release on trial.
const APPLIANCES_A_RELEASE: u32 = 60;
/// Mean work of a request, which makes an agent use more appliances.
const WORK_MILLIS: [u32; 5] = [5, 40, 80, 160, 320];
/// Requests per second, in parts of the usual rate.
const REQUEST_TIMES: [u32; 5] = [1, 3, 6, 12, 24];
const TYPICAL_TIMES: u32 = 6;
/// Changes per second.
const CHANGES: [u32; 5] = [1, 5, 10, 20, 40];
/// Agents of a slope that is not over agents.
const AGENTS: u32 = 20;

/// Arguments of `slopes`.
#[derive(Debug, clap::Args)]
pub struct Arguments {
    /// The factors to measure, all if none is given.
    #[arg(long = "factor", value_enum)]
    factors: Vec<Slope>,
    /// Virtual seconds that each size is measured for.
    #[arg(long, default_value_t = 4.0)]
    window: f64,
}

/// A size that varies.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum Slope {
    /// Appliances on the list of one module.
    Listed,
    /// Services that share 2,100 appliances, a module for each.
    Services,
    /// Skewed services that share a growing list.
    ListedInServices,
    /// Agents in the fleet.
    Agents,
    /// Appliances in use, varied by the work of a request.
    Used,
    /// Routes.
    Routes,
    /// Tenants in the operator's table.
    Tenants,
    /// Requests per second.
    Requests,
    /// Changes of the list per second.
    Changes,
    /// Releases on trial at once.
    Releases,
}

/// All slopes in the order they are measured.
const ALL: [Slope; 10] = [
    Slope::Listed,
    Slope::Services,
    Slope::ListedInServices,
    Slope::Agents,
    Slope::Used,
    Slope::Routes,
    Slope::Tenants,
    Slope::Requests,
    Slope::Changes,
    Slope::Releases,
];

impl Slope {
    fn factor(self) -> Factor {
        match self {
            Slope::Listed | Slope::ListedInServices => Factor::ListedAppliances,
            Slope::Services => Factor::Services,
            Slope::Agents => Factor::Agents,
            Slope::Used => Factor::UsedAppliances,
            Slope::Routes => Factor::Routes,
            Slope::Tenants => Factor::Tenants,
            Slope::Requests => Factor::RequestRate,
            Slope::Changes => Factor::ChangeRate,
            Slope::Releases => Factor::Releases,
        }
    }

    /// The sizes up to those of the target, the largest last.
    fn sizes(self, file: &Target) -> Vec<FleetSize> {
        let (target, releases) = (&FleetSize::of_target(file), file.releases);
        let base = base(target);
        let vary = |values: Vec<u32>, set: &dyn Fn(&mut FleetSize, u32)| vary(&base, &values, set);
        match self {
            Slope::Listed => vary(parts(target.appliances, &LIST_PARTS), &|size, n| {
                size.appliances = n;
            }),
            Slope::Services => vary(parts(target.services, &PARTS), &|size, n| {
                size.services = n;
                size.appliances = target.services * APPLIANCES_A_SERVICE;
            }),
            Slope::ListedInServices => vary(parts(target.appliances, &PARTS), &|size, n| {
                size.services = target.services.min(n);
                size.appliances = n;
            }),
            Slope::Agents => vary(parts(target.agents, &PARTS), &|size, n| {
                *size = FleetSize {
                    releases: 1,
                    ..size.with_agents(n)
                };
            }),
            Slope::Used => vary(WORK_MILLIS.to_vec(), &|size, n| {
                size.appliances = target.appliances / 3;
                size.work = Duration::from_millis(n.into());
            }),
            Slope::Routes => vary(parts(MOST_ROUTES, &PARTS), &|size, n| size.routes = n),
            Slope::Tenants => vary(parts(file.tenants, &PARTS), &|size, n| size.tenants = n),
            Slope::Requests => vary(REQUEST_TIMES.to_vec(), &|size, n| {
                size.request_rate *= f64::from(n) / f64::from(TYPICAL_TIMES);
            }),
            Slope::Changes => vary(CHANGES.to_vec(), &|size, n| size.change_rate = n.into()),
            Slope::Releases => vary(parts(releases, &RELEASE_PARTS), &|size, n| {
                size.services = releases;
                size.appliances = releases * APPLIANCES_A_RELEASE;
                (size.service_skew, size.releases) = (0.0, n);
            }),
        }
    }
}

fn vary(base: &FleetSize, values: &[u32], set: &dyn Fn(&mut FleetSize, u32)) -> Vec<FleetSize> {
    let size = |&value: &u32| {
        let mut size = base.clone();
        set(&mut size, value);
        size
    };
    values.iter().map(size).collect()
}

/// These parts of a size.
fn parts(whole: u32, parts: &[f64]) -> Vec<u32> {
    parts
        .iter()
        .map(|part| (f64::from(whole) * part).round() as u32)
        .collect()
}

/// The size that all slopes start from: few agents before one service, as large as the target's
/// largest and asked as much as the target's agents.
pub fn base(target: &FleetSize) -> FleetSize {
    FleetSize {
        appliances: target.largest,
        tenants: 0,
        change_rate: 0.0,
        releases: 0,
        routes: ROUTES,
        ..target.with_agents(AGENTS).in_one_service()
    }
}

/// Measures the slopes.
///
/// # Errors
/// A size cannot be simulated, or the run was stopped.
pub fn run(session: &mut Session, arguments: &Arguments) -> Result<(), ScaleError> {
    let slopes = if arguments.factors.is_empty() {
        &ALL[..]
    } else {
        &arguments.factors
    };
    let target = session.target()?;
    session.heading();
    for &slope in slopes {
        measure(session, &target, slope, arguments.window)?;
    }
    Ok(())
}

fn measure(
    session: &mut Session,
    target: &Target,
    slope: Slope,
    window: f64,
) -> Result<(), ScaleError> {
    let sizes = slope.sizes(target);
    let last = sizes.len() - 1;
    for (place, size) in sizes.into_iter().enumerate() {
        let (factor, held_back) = (slope.factor(), place == last);
        let request = Request {
            size,
            factor,
            held_back,
            window,
        };
        point::run_apart(session, &request)?;
    }
    Ok(())
}
