//! Estimates when the process of each endpoint started, on the agent's own clock.
//!
//!
//! The list holds start times by the wall clock of another machine. That clock may have been stepped, and so may this
//! machine's clock before the agent started. Each timestamp is therefore checked against what was observed: a process
//! that discovery lists for the first time started after the last contact with discovery, apart from the delay of the
//! announcement. A timestamp that contradicts this shows that the clocks differ; the shortest delay seen then gives
//! their offset.
//!
//! In doubt a process is taken to be younger than it may be, which costs it a part of its traffic for as long as it
//! would warm up. If the agent's clock is ahead by less than the longest announcement delay, this cannot be told from a
//! late announcement. This module performs no I/O.
use std::collections::HashMap;
use std::time::Duration;

use lilacgate_decision::EndpointId;

/// The longest delay from the start of a process to its first listing, beyond the time without contact to discovery. A
/// longer delay shows that a clock was stepped.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(60);
/// The longest time that an agent is assumed to be down in a restart that matters to how cold endpoints are.
const MAX_AGENT_RESTART: Duration = Duration::from_secs(60);
/// How many processes are remembered, including those that are no longer listed.
const MAX_REMEMBERED_PROCESSES: usize = 8192;

/// Where a list came from.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListProvenance {
    /// It was saved before the agent started.
    Saved,
    /// Discovery sent it to this agent.
    Discovery {
        /// The time since discovery last sent anything; `None` if this is its first message.
        since_last_contact: Option<Duration>,
    },
}

/// A process that has been listed.
#[derive(Clone, Copy, Debug)]
struct KnownProcess {
    /// The start time in the list.
    timestamp: Duration,
    /// The estimated start time, on the agent's clock.
    started: Duration,
}

/// The start times of the processes that have been listed. All times are durations since the Unix epoch.
#[derive(Debug, Default)]
pub struct StartTimes {
    processes: HashMap<EndpointId, KnownProcess>,
    /// How far the agent's clock is ahead of the clock of the timestamps: the shortest delay between a start and its
    /// announcement. `None` while all delays are plausible for clocks that agree.
    clock_offset: Option<SignedDuration>,
    /// The latest start time in the saved list; `None` without a saved list.
    latest_saved_start: Option<Duration>,
}

impl StartTimes {
    /// Returns when the process of an endpoint started that is on a list received at `now`. Returns `None` for a
    /// process without a timestamp, which has been running for a long time.
    pub fn start_time(
        &mut self,
        id: EndpointId,
        timestamp: Option<Duration>,
        provenance: ListProvenance,
        now: Duration,
    ) -> Option<Duration> {
        if provenance == ListProvenance::Saved {
            self.latest_saved_start = self
                .latest_saved_start
                .max(timestamp)
                .or(Some(Duration::ZERO));
        }
        timestamp.map(|timestamp| self.start_from_timestamp(id, timestamp, provenance, now))
    }

    fn start_from_timestamp(
        &mut self,
        id: EndpointId,
        timestamp: Duration,
        provenance: ListProvenance,
        now: Duration,
    ) -> Duration {
        if let Some(known) = self.processes.get(&id)
            && known.timestamp == timestamp
        {
            return known.started;
        }
        let started = match provenance {
            ListProvenance::Discovery {
                since_last_contact: Some(since_last_contact),
            } => self.start_of_new_process(timestamp, since_last_contact, now),
            // Later than every start in the saved list: the process started after that list was saved.
            ListProvenance::Discovery {
                since_last_contact: None,
            } if self
                .latest_saved_start
                .is_some_and(|newest| timestamp > newest) =>
            {
                self.start_of_new_process(timestamp, MAX_AGENT_RESTART, now)
            }
            ListProvenance::Saved
            | ListProvenance::Discovery {
                since_last_contact: None,
            } => timestamp.min(now),
        };
        self.processes
            .insert(id, KnownProcess { timestamp, started });
        started
    }

    /// Forgets processes that are no longer listed, once too many are remembered.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        if self.processes.len() > MAX_REMEMBERED_PROCESSES {
            self.processes.retain(|id, _| is_listed(*id));
        }
    }

    /// Estimates when a process started that discovery lists for the first time, `since_last_contact` after it last
    /// sent anything.
    fn start_of_new_process(
        &mut self,
        timestamp: Duration,
        since_last_contact: Duration,
        now: Duration,
    ) -> Duration {
        let delay = SignedDuration::between(timestamp, now);
        let longest = since_last_contact.saturating_add(MAX_ANNOUNCEMENT_DELAY);
        let is_plausible = |age: &Duration| *age <= longest;
        if let Some(age) = delay.excess_over(SignedDuration::ZERO).filter(is_plausible) {
            self.clock_offset = None;
            return now.saturating_sub(age);
        }
        let offset = self.clock_offset.unwrap_or(delay);
        match delay.excess_over(offset).filter(is_plausible) {
            Some(age) => {
                self.clock_offset = Some(offset);
                now.saturating_sub(age)
            }
            // The clocks differ by more than the offset known so far.
            None => {
                self.clock_offset = Some(delay);
                now
            }
        }
    }
}

/// A duration that may be negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SignedDuration {
    nanoseconds: i128,
}

impl SignedDuration {
    const ZERO: SignedDuration = SignedDuration { nanoseconds: 0 };
    fn between(from: Duration, to: Duration) -> Self {
        SignedDuration {
            nanoseconds: to.as_nanos() as i128 - from.as_nanos() as i128,
        }
    }

    /// By how much this duration exceeds another one; `None` if it is shorter.
    fn excess_over(self, other: SignedDuration) -> Option<Duration> {
        let nanoseconds = u64::try_from(self.nanoseconds - other.nanoseconds).ok()?;
        Some(Duration::from_nanos(nanoseconds))
    }
}
