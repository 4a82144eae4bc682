//! Start settings as path=value, taken apart into the module's parts. The bench's adapter reads them as lines, the
//! agent flattens its start file to the same paths. Nothing here decides: a figure goes to its part as it stands.
#![allow(clippy::min_ident_chars)] // Not met yet.
#![allow(clippy::missing_errors_doc)] // Not met yet.
#![allow(clippy::too_many_lines)] // Not met yet.
#![allow(clippy::wildcard_imports)] // Not met yet.
#![allow(missing_debug_implementations)] // Not met yet.
#![allow(missing_docs)] // Not met yet.

use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use lilacgate_decision::{
    AdvanceRule, AgentId, ClassPolicy, DecisionEngine, DeduplicationScope,
    EndpointDiscoverySettings, EngineSettings, ExposureSettings, FleetPosition, Idempotency,
    ReleaseAnalysisSettings, RequestSettings, SlowStartSettings, VoteTiming, Zone,
};

/// What an agent is told at its start, by path.
#[derive(Default)]
pub struct Paths(BTreeMap<String, String>);

impl FromIterator<(String, String)> for Paths {
    fn from_iter<I: IntoIterator<Item = (String, String)>>(pairs: I) -> Self {
        Paths(pairs.into_iter().collect())
    }
}

impl Paths {
    /// From lines of the form path=value.
    pub fn from_lines(text: &str) -> Self {
        let pair = |(path, value): (&str, &str)| (path.to_owned(), value.to_owned());
        text.lines()
            .filter_map(|line| line.split_once('='))
            .map(pair)
            .collect()
    }

    pub fn text(&self, key: &str) -> Result<&str, String> {
        self.0
            .get(key)
            .map(String::as_str)
            .ok_or_else(|| format!("settings lack {key}"))
    }

    pub fn num<T: FromStr>(&self, key: &str) -> Result<T, String> {
        let text = self.text(key)?;
        text.parse()
            .map_err(|_| format!("{key} is {text:?}, which cannot be read"))
    }

    /// A finite figure, not below 0.
    fn figure(&self, key: &str) -> Result<f64, String> {
        let x: f64 = self.num(key)?;
        if x.is_finite() && x >= 0.0 {
            Ok(x)
        } else {
            Err(format!("{key} is {x}, which is out of range"))
        }
    }

    pub fn span(&self, key: &str) -> Result<Duration, String> {
        self.num(key).map(Duration::from_micros)
    }

    /// A span that something is divided by or repeated after.
    pub fn period(&self, key: &str) -> Result<Duration, String> {
        let span = self.span(key)?;
        if span.is_zero() {
            Err(format!("{key} is 0, which is out of range"))
        } else {
            Ok(span)
        }
    }

    /// The names of a list, none if it is empty.
    pub fn names(&self, key: &str) -> Result<Vec<String>, String> {
        Ok(self
            .text(key)?
            .split(',')
            .filter(|name| !name.is_empty())
            .map(str::to_owned)
            .collect())
    }

    fn figures(&self, key: &str) -> Result<Vec<f64>, String> {
        let text = self.text(key)?;
        let figure = |part: &str| {
            part.parse()
                .ok()
                .filter(|x: &f64| x.is_finite() && *x >= 0.0)
        };
        text.split(',')
            .map(|part| {
                figure(part).ok_or_else(|| format!("{key} holds {part:?}, which cannot be read"))
            })
            .collect()
    }

    pub fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text(key)?;
        let found = words.iter().find(|(w, _)| *w == text).map(|(_, t)| *t);
        found.ok_or_else(|| format!("{key} is {text:?}, which is unknown"))
    }

    /// Whether the list of appliances comes only when asked for.
    pub fn asks(&self) -> Result<bool, String> {
        self.word("membership-mode", &[("push", false), ("ask", true)])
    }

    /// The longest that a client waits, over all products.
    pub fn longest_deadline(&self) -> Result<Duration, String> {
        let count: u8 = self.num("profiles.count")?;
        (0..count).try_fold(Duration::ZERO, |most, i| {
            Ok(most.max(self.period(&format!("profiles.{i}.give-up"))?))
        })
    }

    /// What may be done again with a request of the i-th product.
    pub fn repeat(&self, i: usize) -> Result<Idempotency, String> {
        let key = |field| format!("profiles.{i}.{field}");
        let groups = [
            ("all", DeduplicationScope::All),
            ("zone", DeduplicationScope::Zone),
            ("cell", DeduplicationScope::Cell),
        ];
        Ok(
            match self.word(
                &key("repeat"),
                &[("retryable", 0), ("dedup", 1), ("fragile", 2)],
            )? {
                0 => Idempotency::Idempotent,
                1 => Idempotency::Keyed(self.word(&key("group"), &groups)?),
                _ => Idempotency::NonIdempotent,
            },
        )
    }

    fn product(&self, i: usize) -> Result<ClassPolicy, String> {
        let key = |field| format!("profiles.{i}.{field}");
        let repeat = self.repeat(i)?;
        let referenced = matches!(repeat, Idempotency::Keyed(_));
        Ok(ClassPolicy {
            idempotency: repeat,
            latency_objective: self.period(&key("aim"))?,
            deadline: self.period(&key("give-up"))?,
            deduplication_window: if referenced {
                self.span(&key("window"))?
            } else {
                Duration::ZERO
            },
            priority_weight: self.figure(&key("worth"))?,
            late_weight_share: self.figure(&key("late-value"))?,
        })
    }
}

/// An instance: its module, and how many products and zones its settings name.
pub struct Instance {
    pub brain: DecisionEngine,
    pub products: usize,
    pub zones: usize,
}

/// One instance, made from what it is told.
pub fn instance(seed: u64, pairs: &Paths) -> Result<Instance, String> {
    let count: u8 = pairs.num("profiles.count")?;
    let products = (0..count.into())
        .map(|i| pairs.product(i))
        .collect::<Result<Vec<_>, _>>()?;
    let count = products.len();
    let zones = pairs.text("zones")?.split(',').count();
    let tick = pairs.period("tick")?;
    let ask_within = if pairs.asks()? {
        Some(pairs.period("rules.ask-within")?)
    } else {
        None
    };
    let zone = Zone(pairs.num("zone")?);
    let slow_start = SlowStartSettings {
        initial_capacity_share: pairs.figure("rules.cold-from")?,
        ramp: pairs.span("rules.ramp-time")?,
        overload_multiple: pairs.figure("rules.fall-multiple")?,
        overload_window: pairs.span("rules.overload-for")?,
    };
    let caps = pairs.figures("family-info.most-shares")?;
    let per_class = pairs.word("family-info.per", &[("all", false), ("per_lane", true)])?;
    let exposure = ExposureSettings {
        window: pairs.span("family-info.span")?,
        free_requests: pairs.figure("family-info.free")?,
        initial_cap: caps.first().copied().unwrap_or(0.0),
        per_class,
        guarded_stages: pairs.num("family-info.guarded-stages")?,
        forward_only: pairs.num("family-info.forward-only")?,
    };
    let gates = [
        ("single", AdvanceRule::Single),
        ("majority", AdvanceRule::Majority),
        ("clocked", AdvanceRule::Timed),
    ];
    let release_analysis = ReleaseAnalysisSettings {
        advance_rule: pairs.word("family-info.gate-mode", &gates)?,
        stage_shares: pairs.figures("family-info.rings")?,
        minimum_stage_time: pairs.period("family-info.min-dwell")?,
        vote_timing: VoteTiming {
            validity: pairs.period("family-info.vote-ttl")?,
            call_timeout: pairs.period("family-info.call-timeout")?,
        },
        in_place: pairs.word(
            "family-info.layout",
            &[("side_by_side", false), ("rolling", true)],
        )?,
        use_relays: false,
    };
    let fleet_position = FleetPosition {
        own_id: AgentId(pairs.num("me")?),
        agent_count: pairs.num("instances")?,
        can_message_peers: pairs.num("limits.peers")?,
    };
    let requests = RequestSettings {
        classes: products,
        // An attempt's number is a byte on every wire.
        max_attempts: pairs
            .num("limits.max-attempts")
            .map(|most: usize| most.min(u8::MAX.into()))?,
        may_cancel: pairs.num("limits.may-cancel")?,
        max_retry_after: if pairs.num("limits.retry-after")? {
            pairs.span("limits.max-retry-after")?
        } else {
            Duration::ZERO
        },
    };
    let brain = DecisionEngine::new(EngineSettings {
        seed,
        tick,
        zone,
        fleet_position,
        discovery: EndpointDiscoverySettings {
            request_within: ask_within,
        },
        slow_start,
        exposure,
        release_analysis,
        requests,
    });
    Ok(Instance {
        brain,
        products: count,
        zones,
    })
}
