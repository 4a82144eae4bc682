//! What an agent's control work costs and what it did, counted.
use std::time::Duration;

use hdrhistogram::Histogram;

/// The longest round that the histogram distinguishes, in nanoseconds.
const LONGEST_ROUND: u64 = 60_000_000_000;
/// Significant digits of the histogram.
const DIGITS: u8 = 2;

/// Messages and their bytes.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Traffic {
    /// How many.
    pub messages: u64,
    /// Their bytes together.
    pub bytes: u64,
}

impl Traffic {
    /// Counts one message.
    pub fn add(&mut self, bytes: usize) {
        self.messages += 1;
        self.bytes += bytes as u64;
    }

    fn merge(&mut self, other: Traffic) {
        self.messages += other.messages;
        self.bytes += other.bytes;
    }
}

/// Counts that depend on the seed alone.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Rounds of the decision module.
    pub rounds: u64,
    /// Requests taken from clients.
    pub requests: u64,
    /// Attempts sent to endpoints.
    pub attempts: u64,
    /// Requests that were answered.
    pub served: u64,
    /// Requests that were rejected.
    pub refused: u64,
    /// Requests that failed.
    pub failed: u64,
    /// Attempts against a rule.
    pub broken_rules: u64,
    /// Whole lists, changes and heartbeats from discovery.
    pub lists_in: Traffic,
    /// Release updates, heartbeats and answers from the platform.
    pub release_updates_in: Traffic,
    /// Reports and warnings from other agents.
    pub reports_in: Traffic,
    /// Reports and warnings to other agents.
    pub reports_out: Traffic,
    /// Calls to discovery and the platform.
    pub calls_out: Traffic,
    /// Messages that could not be read.
    pub unreadable: u64,
}

impl Counts {
    /// Adds another agent's.
    pub fn merge(&mut self, other: &Counts) {
        self.rounds += other.rounds;
        self.requests += other.requests;
        self.attempts += other.attempts;
        self.served += other.served;
        self.refused += other.refused;
        self.failed += other.failed;
        self.broken_rules += other.broken_rules;
        self.unreadable += other.unreadable;
        self.lists_in.merge(other.lists_in);
        self.release_updates_in.merge(other.release_updates_in);
        self.reports_in.merge(other.reports_in);
        self.reports_out.merge(other.reports_out);
        self.calls_out.merge(other.calls_out);
    }

    /// All control messages that came in.
    pub fn incoming(&self) -> Traffic {
        let mut sum = self.lists_in;
        sum.merge(self.release_updates_in);
        sum.merge(self.reports_in);
        sum
    }

    /// All control messages that went out.
    pub fn outgoing(&self) -> Traffic {
        let mut sum = self.reports_out;
        sum.merge(self.calls_out);
        sum
    }
}

/// Counts and processor time of an agent.
#[derive(Clone, Debug)]
pub struct Meter {
    /// What depends on the seed alone.
    pub counts: Counts,
    /// Processor time of rounds.
    pub rounds: Duration,
    /// Processor time of the parsers.
    pub parsing: Duration,
    /// The longest time that one message was parsed.
    pub worst_parse: Duration,
    /// The longest time from a change of a list until it was acted on.
    pub change_in_force: Duration,
    /// The longest time from the call for a whole list until it was acted on.
    pub whole_in_force: Duration,
    /// The time of each round in nanoseconds, where they are kept.
    pub round_log: Option<Vec<u32>>,
    /// Times of rounds, in nanoseconds.
    pub round_times: Option<Histogram<u32>>,
}

impl Default for Meter {
    fn default() -> Self {
        let round_times = Histogram::new_with_bounds(1, LONGEST_ROUND, DIGITS).ok();
        Meter {
            counts: Counts::default(),
            rounds: Duration::ZERO,
            parsing: Duration::ZERO,
            worst_parse: Duration::ZERO,
            change_in_force: Duration::ZERO,
            whole_in_force: Duration::ZERO,
            round_log: None,
            round_times,
        }
    }
}

impl Meter {
    /// Records a round.
    pub fn round(&mut self, took: Duration) {
        self.counts.rounds += 1;
        self.rounds += took;
        if let Some(log) = &mut self.round_log {
            log.push(u32::try_from(took.as_nanos()).unwrap_or(u32::MAX));
        }
        if let Some(times) = &mut self.round_times {
            times.saturating_record(took.as_nanos() as u64);
        }
    }

    /// Records that a message was parsed.
    pub fn parse(&mut self, took: Duration) {
        self.parsing += took;
        self.worst_parse = self.worst_parse.max(took);
    }

    /// Records that a module acts on a list or a change, after this time.
    pub fn acted_on_list(&mut self, whole: bool, after: Duration) {
        let worst = if whole {
            &mut self.whole_in_force
        } else {
            &mut self.change_in_force
        };
        *worst = after.max(*worst);
    }

    /// Processor time for control.
    pub fn control(&self) -> Duration {
        self.rounds + self.parsing
    }

    /// Adds another agent's.
    pub fn merge(&mut self, other: &Meter) {
        self.counts.merge(&other.counts);
        self.rounds += other.rounds;
        self.parsing += other.parsing;
        self.worst_parse = self.worst_parse.max(other.worst_parse);
        self.change_in_force = self.change_in_force.max(other.change_in_force);
        self.whole_in_force = self.whole_in_force.max(other.whole_in_force);
        if let (Some(times), Some(others)) = (&mut self.round_times, &other.round_times) {
            times.add(others).ok();
        }
    }

    /// The longest round.
    pub fn worst_round(&self) -> Duration {
        let longest = self.round_times.as_ref().map_or(0, Histogram::max);
        Duration::from_nanos(longest)
    }

    /// A time that this share of the rounds stay below.
    pub fn round_quantile(&self, share: f64) -> Duration {
        let time = self
            .round_times
            .as_ref()
            .map_or(0, |times| times.value_at_quantile(share));
        Duration::from_nanos(time)
    }
}
