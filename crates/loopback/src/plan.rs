//! What a run does, and the bounds that it keeps.

use std::path::PathBuf;
use std::time::Duration;

use crate::error::LoopbackError;

/// The most agents: real processes are for comparison, not for the whole fleet.
pub const MOST_AGENTS: usize = 100;
/// The most listed appliances.
pub const MOST_LISTED: usize = 20_000;

/// The default limit on an agent's descriptors: 48 agents' connections fit into this process's own 20,000.
pub const DEFAULT_SOCKETS: u64 = 768;

/// The least number of listeners, if as many appliances are listed.
pub const LEAST_LISTENERS: usize = 128;

/// Which list of appliances an agent's start file holds.
#[derive(Clone, Copy, Debug, PartialEq, Eq, clap::ValueEnum)]
pub enum SavedList {
    /// None: each agent needs the whole list from discovery.
    None,
    /// The whole list as it is: discovery sends what has changed since.
    Whole,
}

/// How discovery sends its lists; by default in one write, complete, and once.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Delivery {
    /// The largest number of bytes that it writes at once.
    pub piece: Option<usize>,
    /// The first whole list is cut after this many bytes, and its connection is closed.
    pub first_list_cut_at: Option<usize>,
    /// Each whole list is sent twice.
    pub is_doubled: bool,
}

/// One fleet, and what is measured on it.
#[derive(Clone, Debug)]
pub struct Plan {
    /// The agent's program.
    pub program: PathBuf,
    /// How many agents run.
    pub agents: usize,
    /// How many appliances discovery lists.
    pub listed_appliances: usize,
    /// The most listeners: where more appliances are listed, or this process may not have as many descriptors, they
    /// share them.
    pub listeners: usize,
    /// One window of measurement for each rate: requests a second at each agent. At 0 no client is connected.
    pub request_rates: Vec<f64>,
    /// Changes of the list a second, in each window.
    pub change_rate: f64,
    /// The share of appliances that run a second build, the canary; 0 for none.
    pub trial_share: f64,
    /// Which list the start files hold.
    pub saved_list: SavedList,
    /// Whether all agents are killed and started again together after the last window.
    pub restart: bool,
    /// How long a window lasts.
    pub window: Duration,
    /// How long each rate is in force before its window begins.
    pub warm_up: Duration,
    /// The time within which all agents must be ready.
    pub ready_within: Duration,
    /// The limit on an agent's memory in its start file, in MB.
    pub memory_mb: u64,
    /// The limit on an agent's descriptors; half of them are for connections to appliances.
    pub sockets: u64,
    /// How long an appliance takes to answer.
    pub service_time: Duration,
    /// How discovery sends its lists.
    pub delivery: Delivery,
    /// The seed of all random draws.
    pub seed: u64,
    /// The command line that stands for this plan in the results.
    pub command: String,
}

impl Plan {
    /// A plan of this size with default times, and no requests.
    pub fn new(program: PathBuf, agents: usize, listed_appliances: usize) -> Self {
        Plan {
            program,
            agents,
            listed_appliances,
            listeners: LEAST_LISTENERS,
            request_rates: vec![0.0],
            change_rate: 0.0,
            trial_share: 0.0,
            saved_list: SavedList::None,
            restart: false,
            window: Duration::from_secs(8),
            warm_up: Duration::from_secs(2),
            ready_within: Duration::from_secs(30),
            memory_mb: 256,
            sockets: DEFAULT_SOCKETS,
            service_time: Duration::from_millis(5),
            delivery: Delivery::default(),
            seed: 1,
            command: String::new(),
        }
    }

    /// Checks that each field is in its range.
    ///
    /// # Errors
    /// [`LoopbackError::Plan`] with the first field that is not.
    pub fn check(&self) -> Result<(), LoopbackError> {
        in_range("agents", self.agents, 1, MOST_AGENTS, "1 to 100")?;
        in_range(
            "listed_appliances",
            self.listed_appliances,
            1,
            MOST_LISTED,
            "1 to 20000",
        )?;
        for rate in &self.request_rates {
            not_negative("request_rates", *rate)?;
        }
        not_negative("change_rate", self.change_rate)?;
        if !(0.0..=1.0).contains(&self.trial_share) {
            return Err(out_of_range("trial_share", self.trial_share, "0 to 1"));
        }
        if self.window.is_zero() {
            return Err(out_of_range(
                "window",
                format!("{:?}", self.window),
                "above 0",
            ));
        }
        if self.delivery.piece == Some(0) {
            return Err(out_of_range("delivery.piece", 0, "1 or more"));
        }
        Ok(())
    }
}

fn in_range(
    field: &'static str,
    value: usize,
    least: usize,
    most: usize,
    range: &'static str,
) -> Result<(), LoopbackError> {
    if (least..=most).contains(&value) {
        Ok(())
    } else {
        Err(out_of_range(field, value, range))
    }
}

fn not_negative(field: &'static str, value: f64) -> Result<(), LoopbackError> {
    let is_fine = value.is_finite() && value >= 0.0;
    if is_fine {
        Ok(())
    } else {
        Err(out_of_range(field, value, "0 or more"))
    }
}

fn out_of_range(field: &'static str, value: impl ToString, range: &'static str) -> LoopbackError {
    LoopbackError::Plan {
        field,
        value: value.to_string(),
        range,
    }
}
