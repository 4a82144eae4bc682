//! The quantities that are measured.
use serde::{Deserialize, Serialize};

/// What was measured. The unit is part of the name. The stored names are
/// permanent: result files of earlier versions have to stay readable.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Quantity {
    /// Processor time for control, in percent of one core, on average.
    ControlCorePercent,
    /// The same in the worst single second.
    WorstSecondCorePercent,
    /// Processor time of a whole agent process, its clients' requests included,
    /// in percent of one core, on average over the agents.
    ProcessCorePercent,
    /// The same for the agent that used most.
    WorstProcessCorePercent,
    /// Time that a process's threads were ready to run and waited for a
    /// processor, in percent of the window, on average over the agents: how
    /// much the machine's other work disturbed the measurement.
    RunQueueWaitPercent,
    /// Processor time of the longest round, in microseconds.
    WorstRoundMicros,
    /// The 99th percentile of the processor time of a round, in microseconds.
    RoundP99Micros,
    /// Memory, in megabytes (10^6 bytes).
    MemoryMegabytes,
    /// The most memory that any process has held, in megabytes (10^6 bytes).
    PeakMemoryMegabytes,
    /// Bytes received per second for control.
    BytesInPerSecond,
    /// Bytes sent per second for control.
    BytesOutPerSecond,
    /// Messages received per second for control.
    MessagesInPerSecond,
    /// Messages sent per second for control.
    MessagesOutPerSecond,
    /// Datagrams that an agent sent to its peers per second.
    DatagramsOutPerSecond,
    /// Bytes of those datagrams per second.
    DatagramBytesOutPerSecond,
    /// Bytes of one whole list of appliances.
    ListBytes,
    /// Processor time to process one whole list, in microseconds.
    ListMicros,
    /// From a change until the last agent acts on it, in milliseconds.
    InForceMillis,
    /// Bytes that a restart or an event makes discovery send.
    RestartBytes,
    /// From a process's start until it is ready, in milliseconds.
    ReadyMillis,
    /// The same, as the 90th percentile of processes that start together, in
    /// milliseconds.
    ReadyNineInTenMillis,
    /// Processor time of a process from its start until all are ready, in
    /// milliseconds.
    ReadyProcessorMillis,
    /// Most requests at one appliance, over the mean.
    SpreadMost,
    /// Fewest requests at one appliance, over the mean.
    SpreadLeast,
    /// Share of connections that one change of one appliance moves.
    MovedShare,
    /// Requests sent against a rule.
    BrokenRules,
    /// Requests sent.
    Requests,
    /// Requests that were refused.
    RefusedRequests,
    /// Requests without a complete answer in time.
    LostRequests,
    /// Requests whose connection ended before a complete answer.
    ClosedRequests,
    /// The 99th percentile of the time added to a request, in milliseconds.
    AddedLatencyMillis,
    /// Entries of the state that the role keeps.
    StateEntries,
    /// From the first request to a bad build to the vote against it, in
    /// seconds; the median of several runs.
    #[serde(rename = "verdict_seconds")]
    DetectionSeconds,
    /// The same, as the 90th percentile of the runs.
    #[serde(rename = "verdict_seconds_p90")]
    DetectionSecondsP90,
    /// Runs that a figure is computed from.
    Runs,
    /// Share of runs that came to a vote against the build.
    #[serde(rename = "verdict_share")]
    DetectedShare,
    /// Share of requests that the bad build fails beyond what any build does.
    BadBuildFailureShare,
    /// Share of appliances that run the canary build.
    TrialShare,
    /// Agents whose outcomes are pooled; 1 is an agent's own alone.
    PooledAgents,
    /// Machines needed for control.
    ControlMachines,
}
