//! One span of measurement: what each agent and each stand-in used between its begin and its end.

use std::time::Duration;

use crate::agent::Usage;
use crate::traffic::Counts;

/// The counts of all control connections at one moment, or between two.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Control {
    /// Whole lists from discovery.
    pub lists: Counts,
    /// Changes from discovery.
    pub changes: Counts,
    /// Heads and empty lines from discovery, and requests to it.
    pub framing: Counts,
    /// The platform's connections.
    pub platform: Counts,
    /// Datagrams between agents: received by the relay, and passed on by it.
    pub datagrams: Counts,
}

impl Control {
    /// The difference between an earlier moment and this one.
    pub fn since(&self, earlier: &Control) -> Control {
        Control {
            lists: self.lists - earlier.lists,
            changes: self.changes - earlier.changes,
            framing: self.framing - earlier.framing,
            platform: self.platform - earlier.platform,
            datagrams: self.datagrams - earlier.datagrams,
        }
    }

    /// Bytes that agents received over control connections and datagrams.
    pub fn bytes_to_agents(&self) -> u64 {
        self.all().map(|counts| counts.bytes_out).sum()
    }

    /// Bytes that agents sent.
    pub fn bytes_from_agents(&self) -> u64 {
        self.all().map(|counts| counts.bytes_in).sum()
    }

    /// Messages that agents received.
    pub fn messages_to_agents(&self) -> u64 {
        self.all().map(|counts| counts.messages_out).sum()
    }

    /// Messages that agents sent.
    pub fn messages_from_agents(&self) -> u64 {
        self.all().map(|counts| counts.messages_in).sum()
    }

    /// Discovery's connections together.
    pub fn discovery(&self) -> Counts {
        let parts = [self.lists, self.changes, self.framing];
        Counts {
            bytes_in: parts.iter().map(|part| part.bytes_in).sum(),
            bytes_out: parts.iter().map(|part| part.bytes_out).sum(),
            messages_in: parts.iter().map(|part| part.messages_in).sum(),
            messages_out: parts.iter().map(|part| part.messages_out).sum(),
        }
    }

    fn all(&self) -> impl Iterator<Item = Counts> {
        [
            self.lists,
            self.changes,
            self.framing,
            self.platform,
            self.datagrams,
        ]
        .into_iter()
    }
}

/// Outcomes of the requests within a window.
#[derive(Clone, Debug, Default)]
pub struct Requests {
    /// Requests that an appliance answered.
    pub served: u64,
    /// Requests that the agent refused.
    pub refused: u64,
    /// Requests without a whole answer in time.
    pub lost: u64,
    /// Requests whose connection ended before a whole answer.
    pub closed: u64,
    /// How long served ones took, without the time that an appliance had them.
    pub added_latencies: Vec<Duration>,
    /// How many appliances an agent used, on average, if that is known.
    pub used_appliances: Option<f64>,
}

impl Requests {
    /// The added latency that this share of the served requests stays within.
    pub fn added_latency(&self, share: f64) -> Option<Duration> {
        let mut sorted = self.added_latencies.clone();
        sorted.sort_unstable();
        let last = sorted.len().checked_sub(1)?;
        Some(sorted[(last as f64 * share).round() as usize])
    }
}

/// One window's figures.
#[derive(Clone, Debug)]
pub struct Window {
    /// Requests per second that were sent to each agent.
    pub request_rate: f64,
    /// Its duration.
    pub lasted: Duration,
    /// Each agent's processor time within it.
    pub processor: Vec<Duration>,
    /// How long each agent waited for a processor within it.
    pub run_queue_wait: Vec<Duration>,
    /// Each agent's usage at its end.
    pub at_end: Vec<Usage>,
    /// Traffic of the control connections.
    pub control: Control,
    /// The datagrams that each agent received.
    pub datagrams_to_each: Vec<Counts>,
    /// Outcomes of the requests.
    pub requests: Requests,
    /// False if it was interrupted.
    pub complete: bool,
}

impl Window {
    /// The agents' mean share of one core, in percent.
    pub fn mean_core_percent(&self) -> f64 {
        self.mean_percent(&self.processor)
    }

    /// The share of the window that an agent waited for a processor, on average, in percent.
    pub fn mean_wait_percent(&self) -> f64 {
        self.mean_percent(&self.run_queue_wait)
    }

    fn mean_percent(&self, times: &[Duration]) -> f64 {
        let sum: f64 = times.iter().map(|time| self.core_percent(*time)).sum();
        sum / times.len() as f64
    }

    /// The largest share of one core among the agents, in percent.
    pub fn most_core_percent(&self) -> f64 {
        self.processor
            .iter()
            .map(|time| self.core_percent(*time))
            .fold(0.0, f64::max)
    }

    /// The agents' mean resident memory at the end, in MB of a million bytes.
    pub fn mean_resident_megabytes(&self) -> f64 {
        let sum: u64 = self.at_end.iter().map(|usage| usage.resident).sum();
        sum as f64 / self.at_end.len() as f64 / 1e6
    }

    /// The largest resident memory that any agent has had so far, in MB of a million bytes.
    pub fn peak_resident_megabytes(&self) -> f64 {
        let most = self.at_end.iter().map(|usage| usage.peak_resident).max();
        most.unwrap_or_default() as f64 / 1e6
    }

    fn core_percent(&self, time: Duration) -> f64 {
        100.0 * time.as_secs_f64() / self.lasted.as_secs_f64()
    }
}
