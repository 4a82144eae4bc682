//! The parts of the decision module, each with its own few settings. How they decide is in `brain.rs`.
use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use crate::fleet::{Appliance, Fleet};
use crate::openings::Openings;
use crate::port::*;
use crate::state::*;

/// The agent's own list of appliances, and its upkeep.
pub struct Membership {
    pub(crate) zone: Zone,
    pub(crate) ask_within: Option<Duration>,
    pub(crate) ask_at: Option<Duration>,
    pub(crate) ask_pause: Duration,
    pub(crate) fleet: Fleet,
}

impl Membership {
    /// `ask_within` is given where the list comes only when asked for.
    pub fn new(zone: Zone, ask_within: Option<Duration>) -> Self {
        let ask_at = ask_within.map(|_| Duration::ZERO);
        Membership {
            zone,
            ask_within,
            ask_at,
            ask_pause: Duration::ZERO,
            fleet: Fleet::default(),
        }
    }
}

/// Keeps cold appliances from being pushed over.
pub struct Thaw {
    pub(crate) cold_from: f64,
    pub(crate) ramp: Duration,
    pub(crate) multiple: f64,
    pub(crate) span: Duration,
}

impl Thaw {
    pub fn new(cold_from: f64, ramp: Duration, multiple: f64, span: Duration) -> Self {
        Thaw {
            cold_from,
            ramp,
            multiple,
            span,
        }
    }

    /// The listed weight of each arm, as far as it belongs to one and is warm, less what is left alone.
    pub(crate) fn listed_weights(
        &self,
        now: Duration,
        fleet: &Fleet,
        arm: impl Fn(Build, Zone) -> Option<usize>,
        left_alone: impl Fn(&Appliance) -> bool,
    ) -> [f64; 2] {
        let mut weights = [0.0; 2];
        for (build, zone, pool) in fleet.listed.pools() {
            let Some(arm) = arm(build, zone) else {
                continue;
            };
            let cold = pool.started_after(now.saturating_sub(self.ramp));
            let lacks = cold.map(|(start, weight)| {
                fleet.listed.visit(1);
                weight * (1.0 - self.warmth(Some(now.saturating_sub(start))))
            });
            weights[arm] += pool.weight() - lacks.sum::<f64>();
        }
        for (_, a) in fleet.ready().filter(|(_, a)| left_alone(a)) {
            if let Some(arm) = arm(a.line.build, a.line.zone) {
                weights[arm] -= a.weight() * self.warmth(a.age(now));
            }
        }
        weights.map(|weight| weight.max(0.0))
    }
}

/// Keeps what is sent to builds on trial within the cap.
pub struct Exposure {
    pub(crate) span: Duration,
    pub(crate) tick: Duration,
    pub(crate) free: f64,
    pub(crate) first_cap: f64,
    pub(crate) per_product: bool,
    pub(crate) guarded: u8,
    pub(crate) forward_only: bool,
    /// What the operator's own rules leave open; nothing is closed without any.
    pub(crate) openings: Option<Arc<Openings>>,
    pub(crate) news: Option<News>,
    pub(crate) windows: Windows,
}

impl Exposure {
    /// Earlier builds are the first arm, those on trial the second.
    pub(crate) fn arm(&self, build: Build) -> usize {
        usize::from(self.bound(build).is_some())
    }

    /// Products are counted together or apart.
    pub(crate) fn lane(&self, product: Product) -> Product {
        if self.per_product {
            product
        } else {
            Product(0)
        }
    }

    pub fn new(
        span: Duration,
        tick: Duration,
        free: f64,
        first_cap: f64,
        per_product: bool,
        guarded: u8,
        forward_only: bool,
    ) -> Self {
        let (openings, news, windows) = Default::default();
        Exposure {
            span,
            tick,
            free,
            first_cap,
            per_product,
            guarded,
            forward_only,
            openings,
            news,
            windows,
        }
    }
}

/// Judges builds and votes.
pub struct Jury {
    pub(crate) gate: Gate,
    pub(crate) rings: Vec<f64>,
    pub(crate) dwell: Duration,
    pub(crate) calls: Calls,
    pub(crate) rolling: bool,
    pub(crate) among: Among,
    pub(crate) products: usize,
    /// Whether reports go through relays where there are many agents.
    pub(crate) relayed: bool,
    pub(crate) own: Judged,
}

impl Jury {
    pub fn new(
        gate: Gate,
        rings: Vec<f64>,
        dwell: Duration,
        calls: Calls,
        rolling: bool,
        among: Among,
        products: usize,
    ) -> Self {
        let (relayed, own) = (false, Judged::default());
        Jury {
            gate,
            rings,
            dwell,
            calls,
            rolling,
            among,
            products,
            relayed,
            own,
        }
    }

    /// The same, whose reports go through relays in fleets of more than 300 agents. All agents of a fleet have to do
    /// so, or none: what a relay hears from others is not for it.
    pub fn with_relays(self) -> Self {
        Jury {
            relayed: true,
            ..self
        }
    }
}

/// The requests in hand, and what is agreed for them.
pub struct Desk {
    pub(crate) products: Vec<Terms>,
    pub(crate) max_attempts: usize,
    pub(crate) may_call_off: bool,
    pub(crate) longest_advice: Duration,
    pub(crate) tick: Duration,
    /// When the agent ends; until that is known, never.
    pub(crate) ends: Duration,
    pub(crate) held: BTreeMap<RequestId, Held>,
}

impl Desk {
    pub fn new(
        products: Vec<Terms>,
        max_attempts: usize,
        may_call_off: bool,
        longest_advice: Duration,
        tick: Duration,
    ) -> Self {
        let (ends, held) = (Duration::MAX, BTreeMap::new());
        Desk {
            products,
            max_attempts,
            may_call_off,
            longest_advice,
            tick,
            ends,
            held,
        }
    }
}
