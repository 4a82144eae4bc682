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

use lilacgate_decision::brain::Brain;
use lilacgate_decision::parts::{Desk, Exposure, Jury, Membership, Thaw};
use lilacgate_decision::port::*;

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
    pub fn repeat(&self, i: usize) -> Result<Repeat, String> {
        let key = |field| format!("profiles.{i}.{field}");
        let groups = [
            ("all", Group::All),
            ("zone", Group::Zone),
            ("cell", Group::Cell),
        ];
        Ok(
            match self.word(
                &key("repeat"),
                &[("retryable", 0), ("dedup", 1), ("fragile", 2)],
            )? {
                0 => Repeat::InquiryLike,
                1 => Repeat::Referenced(self.word(&key("group"), &groups)?),
                _ => Repeat::OnceOnly,
            },
        )
    }

    fn product(&self, i: usize) -> Result<Terms, String> {
        let key = |field| format!("profiles.{i}.{field}");
        let repeat = self.repeat(i)?;
        let referenced = matches!(repeat, Repeat::Referenced(_));
        Ok(Terms {
            repeat,
            sla: self.period(&key("aim"))?,
            deadline: self.period(&key("give-up"))?,
            remembered: if referenced {
                self.span(&key("window"))?
            } else {
                Duration::ZERO
            },
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
    let membership = Membership::new(Zone(pairs.num("zone")?), ask_within);
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
    let gates = [
        ("single", Gate::Single),
        ("majority", Gate::Majority),
        ("clocked", Gate::Clocked),
    ];
    let jury = Jury::new(
        pairs.word("family-info.gate-mode", &gates)?,
        pairs.figures("family-info.rings")?,
        pairs.period("family-info.min-dwell")?,
        Calls {
            lasts: pairs.period("family-info.vote-ttl")?,
            wait: pairs.period("family-info.call-timeout")?,
        },
        pairs.word(
            "family-info.layout",
            &[("side_by_side", false), ("rolling", true)],
        )?,
        Among {
            me: AgentId(pairs.num("me")?),
            agents: pairs.num("instances")?,
            may_tell: pairs.num("limits.peers")?,
        },
        count,
    );
    let desk = Desk::new(
        products,
        // An attempt's number is an octet on every wire.
        pairs
            .num("limits.max-attempts")
            .map(|most: usize| most.min(u8::MAX.into()))?,
        pairs.num("limits.may-cancel")?,
        if pairs.num("limits.retry-after")? {
            pairs.span("limits.max-retry-after")?
        } else {
            Duration::ZERO
        },
        tick,
    );
    let brain = Brain::new(seed, membership, thaw, exposure, jury, desk);
    Ok(Instance {
        brain,
        products: count,
        zones,
    })
}
