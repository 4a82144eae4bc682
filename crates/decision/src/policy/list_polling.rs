//! When the endpoint list is requested, where it comes only on request.
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::model::{EndpointDiscoverySettings, FleetPosition, ListUpdate};

/// Requests of a fleet of so many agents or more spread over half of the time allowed, those of a smaller one
/// over a fortieth of it for each agent.
const MAX_SPREAD_AGENTS: u32 = 20;

/// The first backoff is this part of the time allowed, beyond the spread of the fleet's requests.
const MIN_BACKOFF_DIVISOR: u32 = 20;
/// A watch that was up and broke is requested within this part of the time allowed.
const BROKEN_WATCH_DIVISOR: u32 = 5;

/// The longest pause after a failed request. A change counts as announced 6 s after the service can be reached, and the
/// request itself may last 2 s.
const MAX_RETRY_PAUSE: Duration = Duration::from_millis(3900);

/// A pause after a failed request lasts this share of its length at least. Failures of a service that is too slow are
/// spread already, by when the requests were made; a wide draw would make them meet again.
const MIN_RETRY_PAUSE_SHARE: f64 = 0.85;

/// Requests of the endpoint list.
#[derive(Debug)]
pub(crate) struct ListPolling {
    request_within: Option<Duration>,
    /// When the list is to be requested next.
    pub(crate) next_request_at: Option<Duration>,
    /// The pause after the next failure; zero while the watch is up.
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

    /// Whether the list is to be requested now. Each due time counts one time only.
    pub(crate) fn take_due(&mut self, now: Duration) -> bool {
        self.next_request_at.take_if(|at| *at <= now).is_some()
    }

    /// Agents that came up or failed together request one after another: each in its own part of the spread at first,
    /// and after a failed request so long after it that the spread stays as it was. Guards against waves that a service of fixed capacity fails as a whole, again and again.
    /// Harms, by as much, an agent that comes up alone amid a change. A watch that was up and broke is requested
    /// within a fifth of that time at most: a change that it misses counts as announced some seconds after the
    /// service fell silent.
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
        // Each agent has a part of the spread of its own, so that no two of them draw the same time.
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
