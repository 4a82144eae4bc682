//! Works out when the process of each endpoint started, on the agent's own clock.
//!
//! The list holds the wall clock of another machine, which may have been stepped, as may this one's have been before the
//! agent started. What was observed bounds what the timestamp says: a process that discovery lists for the first time has
//! started since discovery was last in contact, but for the time that news take. A timestamp that says otherwise shows that
//! the clocks are apart; the shortest delay then shows how far, and in doubt a process is taken for younger, which costs
//! it a part of its traffic for as long as it would warm up. A clock that is fast by less than news may take cannot be
//! told from slow news. Nothing here does input or output.
use std::collections::HashMap;
use std::time::Duration;

use lilacgate_decision::EndpointId;

/// News of a start come so late at the most, beyond a silence of discovery; a longer delay shows that a clock was stepped.
const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(60);
/// An agent is away for this long at most, in a restart that matters to how cold endpoints are.
const MAX_AGENT_RESTART: Duration = Duration::from_secs(60);
/// How many processes are remembered, those that are listed no more included.
const MAX_REMEMBERED_PROCESSES: usize = 8192;

/// The circumstances in which a list was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum ListProvenance {
    /// It was kept from before the agent started.
    Saved,
    /// Discovery sent it.
    Discovery {
        /// How long discovery had not sent anything before that; none if it had never been.
        since_last_contact: Option<Duration>,
    },
}

/// A process that has been seen.
#[derive(Clone, Copy, Debug)]
struct KnownProcess {
    /// The start that the list shows.
    timestamp: Duration,
    /// When it started, on the agent's clock.
    started: Duration,
}

/// The start times of the processes that have been listed. All times are spans since 1970.
#[derive(Debug, Default)]
pub struct StartTimes {
    processes: HashMap<EndpointId, KnownProcess>,
    /// How far the agent's clock is ahead of that of the timestamps, by the shortest delay between a start and its news;
    /// none while all delays are such as clocks that agree bring about.
    clock_offset: Option<SignedDuration>,
    /// The latest start by its timestamp in the saved list; none without such a list.
    latest_saved_start: Option<Duration>,
}

impl StartTimes {
    /// When the process of an endpoint started that is on a list which came `now`; none for one that has run for long,
    /// which has no timestamp.
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
            // Later than all that was saved: it has started since.
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

    /// Forgets processes that are listed no more, where too many are remembered.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        if self.processes.len() > MAX_REMEMBERED_PROCESSES {
            self.processes.retain(|id, _| is_listed(*id));
        }
    }

    /// When a process started that discovery lists for the first time, after a silence of so long.
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
            // The clocks are further apart than was known.
            None => {
                self.clock_offset = Some(delay);
                now
            }
        }
    }
}

/// A span that may be negative.
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

    /// By how much it is longer than another one; none if it is shorter.
    fn excess_over(self, other: SignedDuration) -> Option<Duration> {
        let nanoseconds = u64::try_from(self.nanoseconds - other.nanoseconds).ok()?;
        Some(Duration::from_nanos(nanoseconds))
    }
}
