//! The ids of requests: they contain the agent's number, by which an appliance records which agents use it.

use std::fmt;
use std::str::FromStr;
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};

/// The id of a request, unique within a run.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct RequestId {
    /// The number of the agent that the request is sent to.
    pub agent: usize,
    /// Its number among all requests of the run.
    pub sequence: u64,
}

impl fmt::Display for RequestId {
    fn fmt(&self, formatter: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(formatter, "{}-{}", self.agent, self.sequence)
    }
}

/// A text is not a request id.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("this is no request's id")]
pub struct NoRequestId;

impl FromStr for RequestId {
    type Err = NoRequestId;

    fn from_str(text: &str) -> Result<Self, NoRequestId> {
        let (agent, sequence) = text.split_once('-').ok_or(NoRequestId)?;
        let agent = agent.parse().map_err(|_| NoRequestId)?;
        let sequence = sequence.parse().map_err(|_| NoRequestId)?;
        Ok(RequestId { agent, sequence })
    }
}

/// Gives each request of a run its id.
#[derive(Clone, Debug, Default)]
pub struct RequestIds(Arc<AtomicU64>);

impl RequestIds {
    /// The id of the next request to an agent.
    pub fn next(&self, agent: usize) -> RequestId {
        let sequence = self.0.fetch_add(1, Ordering::Relaxed);
        RequestId { agent, sequence }
    }
}
