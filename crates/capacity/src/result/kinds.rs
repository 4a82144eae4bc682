//! What a sample was measured on: the experiment, its source, the role, the
//! varied size and the event.
use serde::{Deserialize, Serialize};

/// Which question a sample answers.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Experiment {
    /// How a cost grows with one factor.
    Slope,
    /// What one event costs.
    Event,
    /// What a role uses of its budget.
    Budget,
    /// What the real agent process uses, measured from outside the process.
    Process,
    /// How long canary analysis takes to reject a bad build.
    #[serde(rename = "verdict")]
    Detection,
    /// A size held back from the fits, to be predicted.
    Predict,
}

/// What was run to obtain a sample.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Source {
    /// The real control code in virtual time, without sockets.
    Hollow,
    /// The real agent binary on loopback.
    Process,
    /// A statistical model of canary analysis alone.
    Model,
}

/// A part of the system that has a cost of its own.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Role {
    /// Sends requests of its clients to appliances.
    Agent,
    /// The report aggregator: the agent that receives the others' reports of
    /// the outcomes of a canary build.
    #[serde(rename = "judge")]
    Aggregator,
    /// Sends agents the list of appliances and its changes.
    Discovery,
    /// Runs the machines and collects votes.
    Platform,
    /// Serves requests.
    Appliance,
    /// The machines set aside for control, together.
    Control,
}

/// The one size that varies in a slope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Factor {
    /// Agents in the fleet.
    Agents,
    /// Appliances on the list that the agent receives.
    ListedAppliances,
    /// Appliances that the agent sends requests to.
    UsedAppliances,
    /// Services that the agent serves as a proxy.
    Services,
    /// Routes of the agent.
    Routes,
    /// Tenants whose requests the agent sees.
    Tenants,
    /// Requests per second.
    RequestRate,
    /// Changes of the list of appliances or of configuration per second.
    ChangeRate,
    /// Canary releases at the same time.
    Releases,
}

/// What happens to a fleet.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum EventKind {
    /// One change of configuration, until the last agent acts on it.
    ConfigurationChange,
    /// The changes, failures and restarts of an ordinary day.
    OrdinaryDay,
    /// All appliances of a rack fail at once.
    RackLoss,
    /// A zone fails and comes back.
    ZoneLoss,
    /// Half of a region's agents restart together.
    RegionRestart,
    /// The regions are partitioned from each other for some minutes.
    RegionPartition,
    /// Canary releases in many services at the same time.
    ManyReleases,
}
