//! Start settings on the wire, taken apart for the module's parts.
use std::collections::BTreeMap;
use std::str::FromStr;
use std::time::Duration;

use lilacgate::brain::Brain;
use lilacgate::parts::{Desk, Exposure, Jury, Roster, Thaw};
use lilacgate::port::*;

struct Pairs<'a>(BTreeMap<&'a str, &'a str>);

impl<'a> Pairs<'a> {
    fn text(&self, key: &str) -> Result<&'a str, String> {
        self.0.get(key).copied().ok_or_else(|| format!("settings lack {key}"))
    }

    fn num<T: FromStr>(&self, key: &str) -> Result<T, String> {
        let text = self.text(key)?;
        text.parse().map_err(|_| format!("{key} is {text:?}, which cannot be read"))
    }

    /// A finite figure, not below 0.
    fn figure(&self, key: &str) -> Result<f64, String> {
        let x: f64 = self.num(key)?;
        if x.is_finite() && x >= 0.0 { Ok(x) } else { Err(format!("{key} is {x}, which is out of range")) }
    }

    fn span(&self, key: &str) -> Result<Duration, String> {
        self.num(key).map(Duration::from_micros)
    }

    /// A span that something is divided by or repeated after.
    fn period(&self, key: &str) -> Result<Duration, String> {
        let span = self.span(key)?;
        if span.is_zero() { Err(format!("{key} is 0, which is out of range")) } else { Ok(span) }
    }

    fn figures(&self, key: &str) -> Result<Vec<f64>, String> {
        let text = self.text(key)?;
        let figure = |part: &str| part.parse().ok().filter(|x: &f64| x.is_finite() && *x >= 0.0);
        text.split(',')
            .map(|part| figure(part).ok_or_else(|| format!("{key} holds {part:?}, which cannot be read")))
            .collect()
    }

    fn word<T: Copy>(&self, key: &str, words: &[(&str, T)]) -> Result<T, String> {
        let text = self.text(key)?;
        let found = words.iter().find(|(w, _)| *w == text).map(|(_, t)| *t);
        found.ok_or_else(|| format!("{key} is {text:?}, which is unknown"))
    }

    fn product(&self, i: usize) -> Result<Terms, String> {
        let key = |field| format!("profiles.{i}.{field}");
        let group = || {
            let words = [("all", Group::All), ("zone", Group::Zone), ("cell", Group::Cell)];
            self.word(&key("group"), &words)
        };
        let repeat = self.word(&key("repeat"), &[("retryable", 0), ("dedup", 1), ("fragile", 2)])?;
        Ok(Terms {
            repeat: match repeat {
                0 => Repeat::InquiryLike,
                1 => Repeat::Referenced(group()?),
                _ => Repeat::OnceOnly,
            },
            sla: self.period(&key("aim"))?,
            expiry: self.period(&key("give-up"))?,
            remembered: if repeat == 1 { self.span(&key("window"))? } else { Duration::ZERO },
            revenue: self.figure(&key("worth"))?,
            late_share: self.figure(&key("late-value"))?,
        })
    }
}

/// An instance: its module, and how many products and zones its settings name.
pub struct Instance {
    pub brain: Brain,
    pub products: usize,
    pub zones: usize,
}

/// One instance, made from its options.
pub fn instance(seed: u64, text: &str) -> Result<Instance, String> {
    let pairs = Pairs(text.lines().filter_map(|line| line.split_once('=')).collect());
    let count: u8 = pairs.num("profiles.count")?;
    let products = (0..count.into()).map(|i| pairs.product(i)).collect::<Result<Vec<_>, _>>()?;
    let count = products.len();
    let zones = pairs.text("zones")?.split(',').count();
    let tick = pairs.period("tick")?;
    let asks = pairs.word("membership-mode", &[("push", false), ("ask", true)])?;
    let ask_within = if asks { Some(pairs.period("rules.ask-within")?) } else { None };
    let roster = Roster::new(Zone(pairs.num("zone")?), ask_within);
    let thaw = Thaw::new(
        pairs.figure("rules.cold-from")?,
        pairs.span("rules.ramp-time")?,
        pairs.figure("rules.fall-multiple")?,
        pairs.span("rules.overload-for")?,
    );
    let caps = pairs.figures("family-info.most-shares")?;
    let per_product = pairs.word("family-info.per", &[("all", false), ("per_lane", true)])?;
    let exposure = Exposure::new(
        pairs.span("family-info.span")?,
        tick,
        pairs.figure("family-info.free")?,
        caps.first().copied().unwrap_or(0.0),
        per_product,
        pairs.num("family-info.guarded-stages")?,
        pairs.num("family-info.forward-only")?,
    );
    let gates = [("single", Gate::Single), ("majority", Gate::Majority), ("clocked", Gate::Clocked)];
    let jury = Jury::new(
        pairs.word("family-info.gate-mode", &gates)?,
        pairs.figures("family-info.rings")?,
        pairs.period("family-info.min-dwell")?,
        Calls {
            lasts: pairs.period("family-info.vote-ttl")?,
            wait: pairs.period("family-info.call-timeout")?,
        },
        pairs.word("family-info.layout", &[("side_by_side", false), ("rolling", true)])?,
        Among {
            me: AgentId(pairs.num("me")?),
            agents: pairs.num("instances")?,
            may_tell: pairs.num("limits.peers")?,
        },
        count,
    );
    let desk = Desk::new(
        products,
        pairs.num("limits.max-attempts")?,
        pairs.num("limits.may-cancel")?,
        if pairs.num("limits.retry-after")? { pairs.span("limits.max-retry-after")? } else { Duration::ZERO },
        tick,
    );
    let brain = Brain::new(seed, roster, thaw, exposure, jury, desk);
    Ok(Instance { brain, products: count, zones })
}
