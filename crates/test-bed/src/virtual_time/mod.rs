//! A small fleet in virtual time, for runs that would take hours on sockets: nodes with cores and queues, open-loop
//! clients, traffic changes, releases, and scheduled faults. It feeds the book of a time line as an agent would. It is
//! no model of a real machine, and no agent decides in it: of two random nodes, a request goes to the idler one.
mod event_queue;
mod fault_effect;
mod node;
mod scenarios;
mod simulation;

use std::time::Duration;

use lilacgate_decision::{
    Build, Cell, Endpoint, EndpointId, EndpointStatus, MachineModel, Outcome, RequestClass, Zone,
};
use lilacgate_timeline::entry::Departure;
use lilacgate_timeline::fleet_timeline::{FleetTimeline, MemoryLimits};
use lilacgate_timeline::monitor::MonitorConfig;

pub use self::scenarios::quiet_hour;
use self::simulation::Simulation;

/// The mean service time of each class of requests, on a node of speed 1.
const SERVICE_TIMES: [Duration; 3] = [
    Duration::from_millis(30),
    Duration::from_millis(45),
    Duration::from_millis(20),
];
/// The time after its start by which a node has its full speed.
const WARM_UP_TIME: Duration = Duration::from_secs(4);
/// The memory of a book in bytes, more than any run needs.
const BOOK_BYTES: usize = 64 << 20;
/// Virtual time begins here, on the clock of the agent.
pub const EPOCH: Duration = Duration::from_secs(1_796_083_200);

/// A fault, or a change that must not look like one.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Fault {
    /// A share of a node's requests fails, of all classes or of one.
    Errors {
        /// The node.
        node: u32,
        /// The share, 0 to 1.
        share: f64,
        /// The class; all if `None`.
        class: Option<u8>,
    },
    /// A node's service time is multiplied, of all classes or of one.
    Slow {
        /// The node.
        node: u32,
        /// The factor.
        factor: f64,
        /// The class; all if `None`.
        class: Option<u8>,
    },
    /// A node's service time grows evenly over the fault's duration.
    Drift {
        /// The node.
        node: u32,
        /// The factor at the end.
        factor: f64,
    },
    /// A node answers nothing.
    Silent {
        /// The node.
        node: u32,
    },
    /// A node refuses connections.
    ConnectionsRefused {
        /// The node.
        node: u32,
    },
    /// The service time of all nodes is multiplied.
    AllSlow {
        /// The factor.
        factor: f64,
    },
    /// A share of the requests to nodes of a build fails.
    BadBuild {
        /// The build.
        build: u16,
        /// The share, 0 to 1.
        share: f64,
    },
    /// The rate of requests is multiplied.
    TrafficChange {
        /// The factor.
        factor: f64,
    },
    /// The mix of classes changes.
    ClassMix {
        /// The share of the first class, 0 to 1.
        first_share: f64,
    },
    /// A node's process is replaced by one of this build.
    Replace {
        /// The node.
        node: u32,
        /// The new process's build.
        build: u16,
    },
    /// The agent is stopped: what arrives meanwhile reaches it afterwards.
    AgentSuspended,
}

/// A fault and its time.
#[derive(Clone, Copy, Debug)]
pub struct ScheduledFault {
    /// When it begins, after [`EPOCH`].
    pub at: Duration,
    /// How long it lasts.
    pub duration: Duration,
    /// What happens.
    pub fault: Fault,
}

/// A fleet and what happens to it.
#[derive(Clone, Debug)]
pub struct VirtualFleet {
    /// The number of nodes. They are numbered from 0 and run build 1.
    pub nodes: u32,
    /// Requests a second.
    pub request_rate: f64,
    /// The length of the run.
    pub duration: Duration,
    /// All faults, in any order.
    pub faults: Vec<ScheduledFault>,
    /// How much later the endpoint list shows that a node was replaced.
    pub list_delay: Duration,
    /// Draws all that is random.
    pub seed: u64,
}

/// An attempt that has ended.
#[derive(Clone, Copy, Debug)]
pub struct EndedAttempt {
    /// When the agent learns that it ended.
    pub at: Duration,
    /// The node that it was sent to.
    pub node: u32,
    /// The request's class.
    pub class: u8,
    /// How it ended.
    pub outcome: Outcome,
    /// How long it took.
    pub took: Duration,
}

impl EndedAttempt {
    /// How long it took, in multiples of the mean service time of its class.
    pub(crate) fn relative_latency(&self) -> f64 {
        self.took.as_secs_f64() / SERVICE_TIMES[usize::from(self.class)].as_secs_f64()
    }
}

/// The begin or the end of a departure, as a book reports it.
#[derive(Clone, Debug)]
pub struct DepartureNotice {
    /// When it was reported.
    pub at: Duration,
    /// The departure.
    pub departure: Departure,
    /// Whether it begins; else it ends.
    pub begins: bool,
}

/// Runs a fleet and feeds a book with what an agent would see. Returns what the book reports; `on_attempt` gets each
/// attempt that has ended.
pub fn run(
    fleet: &VirtualFleet,
    book: &mut FleetTimeline,
    on_attempt: &mut dyn FnMut(EndedAttempt),
) -> Vec<DepartureNotice> {
    Simulation::new(fleet, book, on_attempt).run()
}

/// An entry of the endpoint list. A node that has run for long has no time of its start.
pub fn listed_endpoint(node: u32, build: u16, started: Option<Duration>) -> Endpoint {
    Endpoint {
        id: EndpointId(node),
        status: EndpointStatus::Ready,
        machine_model: MachineModel(0),
        weight: 1.0,
        started,
        build: Build(build),
        cell: Cell(0),
        zone: Zone(0),
    }
}

/// The aims of an agent with this rate of false events an hour.
pub fn aims(false_per_hour: f64) -> MonitorConfig {
    MonitorConfig {
        false_alarms_per_hour: false_per_hour,
        slow_start: WARM_UP_TIME,
        classes: SERVICE_TIMES.len(),
    }
}

/// A book for a run, with more memory than it needs.
pub fn new_book(false_per_hour: f64) -> FleetTimeline {
    let room = MemoryLimits {
        timeline_bytes: BOOK_BYTES,
        queued_records: 0,
    };
    FleetTimeline::new(EPOCH, aims(false_per_hour), room)
}

/// The mean service time of a class.
fn service_time(class: RequestClass) -> Duration {
    SERVICE_TIMES[usize::from(class.0)]
}
