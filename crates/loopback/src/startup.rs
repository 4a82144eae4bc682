//! The figures of a start of all agents.

use std::time::Duration;

use crate::agent::Usage;
use crate::window::Control;

/// What a start of all agents took.
#[derive(Clone, Debug)]
pub struct Startup {
    /// Time from each process's start to its first served request, in ascending order.
    pub ready: Vec<Duration>,
    /// Each process's usage when all were ready.
    pub usage: Vec<Usage>,
    /// Traffic of the control connections until all were ready.
    pub control: Control,
    /// Size of one whole membership list, in bytes.
    pub list_bytes: usize,
}

impl Startup {
    /// The time until all agents were ready; zero without agents.
    pub fn slowest(&self) -> Duration {
        self.ready.last().copied().unwrap_or_default()
    }

    /// The time until nine in ten agents were ready; zero without agents.
    pub fn nine_in_ten(&self) -> Duration {
        let index = (self.ready.len() * 9).div_ceil(10).saturating_sub(1);
        self.ready.get(index).copied().unwrap_or_default()
    }

    /// The mean processor time of a process until all were ready.
    pub fn mean_processor(&self) -> Duration {
        let sum: Duration = self.usage.iter().map(|usage| usage.processor).sum();
        sum / u32::try_from(self.usage.len()).unwrap_or(u32::MAX).max(1)
    }
}
