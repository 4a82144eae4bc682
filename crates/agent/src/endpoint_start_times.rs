//! Works out when the process of each endpoint started, on the agent's own clock.
//!
//! The list holds the wall clock of another machine, which may have been stepped, as may this one's have been before the
//! agent started. What was observed bounds what the stamp says: a process that discovery lists for the first time has
//! started since discovery was last heard of, and the shortest delay between a start and its news shows how far the two
//! clocks are apart. In doubt a process is taken for younger than its stamp says, which costs it a part of its traffic
//! for as long as it would warm up. Nothing here does input or output.
use std::collections::HashMap;
use std::time::Duration;

use lilacgate_decision::EndpointId;

/// News of a start may be so much later than the fastest ones; a longer delay shows that a clock was stepped.
const NEWS_SLACK: Duration = Duration::from_secs(2);
/// How many processes are remembered, those that are listed no more included.
const MAX_REMEMBERED: usize = 8192;

/// The circumstances in which a list was received.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Sighting {
    /// It was kept from before the agent started.
    Saved,
    /// Discovery sent it.
    Discovery {
        /// How long discovery had not been heard of before that; none if it had never been.
        silence: Option<Duration>,
    },
}

/// A process that has been seen.
#[derive(Clone, Copy, Debug)]
struct KnownProcess {
    /// The start that the list shows.
    stamp: Duration,
    /// When it started, on the agent's clock.
    started: Duration,
}

/// The start times of the processes that have been listed. All times are spans since 1970.
#[derive(Debug, Default)]
pub struct StartTimes {
    known: HashMap<EndpointId, KnownProcess>,
    /// The shortest delay between a start by its stamp and its news on the agent's clock; negative where that clock is
    /// behind.
    shortest_delay: Option<SignedSpan>,
    /// The latest start by its stamp in the saved list; none without such a list.
    newest_saved: Option<Duration>,
}

impl StartTimes {
    /// When the process of an endpoint started that is on a list which came `now`; none for one that has run for long,
    /// which has no stamp.
    pub fn started(
        &mut self,
        id: EndpointId,
        stamp: Option<Duration>,
        sighting: Sighting,
        now: Duration,
    ) -> Option<Duration> {
        if sighting == Sighting::Saved {
            self.newest_saved = self.newest_saved.max(stamp).or(Some(Duration::ZERO));
        }
        stamp.map(|stamp| self.stamped(id, stamp, sighting, now))
    }

    fn stamped(
        &mut self,
        id: EndpointId,
        stamp: Duration,
        sighting: Sighting,
        now: Duration,
    ) -> Duration {
        if let Some(known) = self.known.get(&id)
            && known.stamp == stamp
        {
            return known.started;
        }
        let started = match sighting {
            Sighting::Discovery {
                silence: Some(silence),
            } => self.first_listed(stamp, silence, now),
            // Later than all that was saved: it has started since.
            Sighting::Discovery { silence: None }
                if self.newest_saved.is_some_and(|newest| stamp > newest) =>
            {
                self.first_listed(stamp, Duration::MAX, now)
            }
            Sighting::Saved | Sighting::Discovery { silence: None } => stamp.min(now),
        };
        self.known.insert(id, KnownProcess { stamp, started });
        started
    }

    /// Forgets processes that are listed no more, where too many are remembered.
    pub fn retain(&mut self, is_listed: impl Fn(EndpointId) -> bool) {
        if self.known.len() > MAX_REMEMBERED {
            self.known.retain(|id, _| is_listed(*id));
        }
    }

    /// When a process started that discovery lists for the first time.
    fn first_listed(&mut self, stamp: Duration, silence: Duration, now: Duration) -> Duration {
        let delay = SignedSpan::between(stamp, now);
        let shortest = *self.shortest_delay.get_or_insert(delay);
        let later_than_fastest = delay.longer_than(shortest);
        let is_plausible =
            later_than_fastest.is_some_and(|later| later <= silence.saturating_add(NEWS_SLACK));
        match later_than_fastest {
            Some(later) if is_plausible => now.saturating_sub(later),
            _ => {
                // Faster than the fastest, or impossibly late: the clocks are further apart than was known.
                self.shortest_delay = Some(delay);
                now
            }
        }
    }
}

/// A span that may be negative.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct SignedSpan {
    nanoseconds: i128,
}

impl SignedSpan {
    fn between(from: Duration, to: Duration) -> Self {
        SignedSpan {
            nanoseconds: to.as_nanos() as i128 - from.as_nanos() as i128,
        }
    }

    /// By how much it is longer than another one; none if it is shorter.
    fn longer_than(self, other: SignedSpan) -> Option<Duration> {
        let nanoseconds = u64::try_from(self.nanoseconds - other.nanoseconds).ok()?;
        Some(Duration::from_nanos(nanoseconds))
    }
}
