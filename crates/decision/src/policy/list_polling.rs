//! When the endpoint list is requested, where it comes only on request.
use std::time::Duration;

use rand::RngExt;
use rand_pcg::Pcg64Mcg;

use crate::model::{EndpointDiscoverySettings, ListUpdate};

/// Requests of a fleet of so many agents or more spread over half of the time allowed, those of a smaller one
/// over a fortieth of it for each agent.
const MAX_SPREAD_AGENTS: u32 = 20;

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

    /// Agents that came up or failed together request one after another, at random times; many, over half of the
    /// time allowed. Guards against waves that a service of fixed capacity fails as a whole, again and again.
    /// Harms, by as much, an agent that comes up alone amid a change. A watch that was up and broke is requested
    /// within a fifth of that time at most: a change that it misses counts as announced some seconds after the
    /// service fell silent.
    pub(crate) fn on_update(
        &mut self,
        now: Duration,
        update: ListUpdate,
        agent_count: u32,
        random: &mut Pcg64Mcg,
    ) {
        let Some(within) = self.request_within else {
            return;
        };
        let spread = within * agent_count.min(MAX_SPREAD_AGENTS) / (2 * MAX_SPREAD_AGENTS);
        let min_backoff = within / 20 + spread;
        let backoff = self.backoff;
        let jitter = random.random::<f64>();
        let (wait, next_backoff) = match update {
            ListUpdate::Cached => (spread.mul_f64(jitter), min_backoff),
            ListUpdate::Failed if backoff.is_zero() => {
                (min_backoff.min(within / 5).mul_f64(jitter), min_backoff)
            }
            ListUpdate::Failed => (backoff.mul_f64(0.5 + jitter), (backoff * 2).min(within)),
            ListUpdate::Delta | ListUpdate::Full => {
                self.backoff = Duration::ZERO;
                return;
            }
        };
        self.next_request_at = Some(now + wait);
        self.backoff = next_backoff;
    }
}
