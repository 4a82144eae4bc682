//! When the endpoint list is requested, on platforms that send it only on request.
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::model::{EndpointDiscoverySettings, FleetPosition, ListUpdate};

/// Agents request the list within a spread: half of the time allowed in fleets of at least this many agents, in
/// smaller ones a fortieth of that time for each agent.
const MAX_SPREAD_AGENTS: u32 = 20;

/// The first pause after a failed request is the spread plus the time allowed divided by this.
const MIN_BACKOFF_DIVISOR: u32 = 20;
/// A watch that broke is requested again within the time allowed divided by this.
const BROKEN_WATCH_DIVISOR: u32 = 5;

/// Longest pause after a failed request. A change of the list counts as announced 6 s after the service can be reached
/// again, and the request itself may take 2 s of these.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(3900);

/// Least share of its full length that a pause after a failed request lasts; the rest is random. The requests to a
/// service that is too slow fail one after another, spread as they were made: with a wide random range, the next
/// ones could coincide.
const MIN_RETRY_PAUSE_SHARE: f64 = 0.85;

/// Schedules this agent's requests of the endpoint list.
#[derive(Debug)]
pub(crate) struct ListPolling {
    /// The time within which all agents request the list; `None` where it comes without a request.
    request_within: Option<Duration>,
    /// When the list is to be requested next; `None` while a request or a watch is open, or none is needed.
    pub(crate) next_request_at: Option<Duration>,
    /// Length of the pause after the next failure; zero while the watch works.
    backoff: Duration,
}

impl ListPolling {
    pub(crate) fn new(settings: EndpointDiscoverySettings) -> Self {
        ListPolling {
            request_within: settings.request_within,
            next_request_at: settings.request_within.map(|_| Duration::ZERO),
            backoff: Duration::ZERO,
        }
    }

    /// Whether the list is to be requested now. If so, the request counts as open: each due time gives `true` only
    /// once.
    pub(crate) fn begin_request_if_due(&mut self, now: Duration) -> bool {
        self.next_request_at.take_if(|at| *at <= now).is_some()
    }

    /// Schedules the next request after an update of the list, or after its failure. Agents that start or fail together
    /// request the list one after another: at the start each in its own part of the spread, after a failed request so
    /// long after it that the spread is kept. Guards against waves of requests that a service of fixed capacity fails
    /// as a whole, again and again. An agent that starts alone while the list changes waits as long without need. A
    /// watch that worked and broke is requested again within a fifth of the time allowed, since a change that the agent
    /// misses counts as announced some seconds after the service stopped answering.
    pub(crate) fn on_update(
        &mut self,
        now: Duration,
        update: ListUpdate,
        position: FleetPosition,
        random: &mut Pcg64Mcg,
    ) {
        let Some(within) = self.request_within else {
            return;
        };
        let agent_count = position.agent_count.max(1);
        let spread = within * agent_count.min(MAX_SPREAD_AGENTS) / (2 * MAX_SPREAD_AGENTS);
        let min_backoff = within / MIN_BACKOFF_DIVISOR + spread;
        let backoff = self.backoff;
        let jitter = random.random::<f64>();
        // Each agent draws within its own part of the spread, so that no two agents draw the same time.
        let position_in_spread = (f64::from(position.own_id.0) + jitter) / f64::from(agent_count);
        let (wait, next_backoff) = match update {
            ListUpdate::Cached => (
                spread
                    .min(MAX_RETRY_PAUSE)
                    .mul_f64(position_in_spread.min(1.0)),
                min_backoff,
            ),
            ListUpdate::Failed if backoff.is_zero() => (
                min_backoff
                    .min(within / BROKEN_WATCH_DIVISOR)
                    .mul_f64(jitter),
                min_backoff,
            ),
            ListUpdate::Failed => (
                backoff
                    .min(MAX_RETRY_PAUSE)
                    .mul_f64(MIN_RETRY_PAUSE_SHARE + (1.0 - MIN_RETRY_PAUSE_SHARE) * jitter),
                (backoff * 2).min(within),
            ),
            ListUpdate::Delta | ListUpdate::Full => {
                self.backoff = Duration::ZERO;
                return;
            }
        };
        self.next_request_at = Some(now + wait);
        self.backoff = next_backoff;
    }
}
