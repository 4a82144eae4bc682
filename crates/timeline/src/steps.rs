//! Owns the levels of a node's counts: fine steps for the last minutes, coarser ones for the last hour and day, folded
//! on the go. It must never hold more steps than a level has, and never loses a count while it folds.
use std::collections::VecDeque;
use std::time::Duration;

use sketches_ddsketch::{Config, DDSketch};

use crate::entry::AttemptCounts;

/// A level: how long a step is, and how many are kept.
#[derive(Clone, Copy, Debug)]
pub struct Level {
    pub long: Duration,
    pub kept: usize,
}

/// Two minutes by the second, an hour by fifteen, a day by five minutes.
pub const LEVELS: [Level; 3] = [
    Level {
        long: Duration::from_secs(1),
        kept: 120,
    },
    Level {
        long: Duration::from_secs(15),
        kept: 240,
    },
    Level {
        long: Duration::from_secs(300),
        kept: 288,
    },
];

/// Relative error of a latency that is read back, and the bins of a sketch at most.
const ERROR: f64 = 0.03;
const BINS: u32 = 256;

/// Latencies of one span, in seconds. At rest it is octets: a tenth of its size.
#[derive(Clone, Debug, Default)]
pub struct Latency {
    octets: Vec<u8>,
}

fn empty() -> DDSketch {
    DDSketch::new(Config::new(ERROR, BINS, 1e-5))
}

impl Latency {
    fn pack(sketch: &DDSketch) -> Latency {
        if sketch.count() == 0 {
            return Latency::default();
        }
        Latency {
            octets: postcard::to_stdvec(sketch).unwrap_or_default(),
        }
    }

    /// As it was kept. What cannot be read counts as nothing.
    pub fn from_octets(octets: Vec<u8>) -> Latency {
        Latency { octets }
    }

    pub fn octets(&self) -> &[u8] {
        &self.octets
    }

    fn open(&self) -> DDSketch {
        postcard::from_bytes(&self.octets).unwrap_or_else(|_| empty())
    }

    /// The latency below which this share lies; nothing if none was served.
    pub fn quantile(&self, share: f64) -> Option<Duration> {
        let found = self.open().quantile(share).ok().flatten()?;
        Duration::try_from_secs_f64(found).ok()
    }

    /// Several, as one.
    pub fn merged<'a>(all: impl Iterator<Item = &'a Latency>) -> Latency {
        let mut sum = empty();
        for one in all.filter(|one| !one.octets.is_empty()) {
            // Of another form: it cannot be merged, and is left out.
            sum.merge(&one.open()).ok();
        }
        Latency::pack(&sum)
    }
}

/// A span's counts and latencies.
#[derive(Clone, Debug)]
pub struct Step {
    pub from: Duration,
    pub counts: AttemptCounts,
    pub latency: Latency,
}

/// The step that is being filled.
struct Open {
    from: Duration,
    counts: AttemptCounts,
    latency: DDSketch,
}

/// A node's counts over time.
pub struct Steps {
    open: Open,
    levels: [VecDeque<Step>; LEVELS.len()],
    /// What is being gathered for each coarser level.
    folding: [Vec<Step>; LEVELS.len() - 1],
}

fn floor(at: Duration, long: Duration) -> Duration {
    // Steps are whole seconds.
    let long = long.as_secs().max(1);
    Duration::from_secs(at.as_secs() / long * long)
}

impl Steps {
    pub fn new(now: Duration) -> Self {
        let open = Open {
            from: floor(now, LEVELS[0].long),
            counts: AttemptCounts::default(),
            latency: empty(),
        };
        Steps {
            open,
            levels: Default::default(),
            folding: Default::default(),
        }
    }

    /// The counts of the present step, brought up to date; a step that has ended is passed on.
    pub fn now(&mut self, now: Duration, ended: &mut impl FnMut(&Step)) -> &mut AttemptCounts {
        let from = floor(now, LEVELS[0].long);
        if from > self.open.from {
            let latency = Latency::pack(&self.open.latency);
            let counts = std::mem::take(&mut self.open.counts);
            let step = Step {
                from: self.open.from,
                counts,
                latency,
            };
            self.open.from = from;
            if self.open.latency.count() > 0 {
                self.open.latency = empty();
            }
            if !step.counts.is_empty() {
                ended(&step);
                self.keep(0, step);
            }
        }
        &mut self.open.counts
    }

    pub fn took(&mut self, took: Duration) {
        self.open.latency.add(took.as_secs_f64());
    }

    fn keep(&mut self, level: usize, step: Step) {
        if let Some(coarser) = LEVELS.get(level + 1) {
            let gathered = &mut self.folding[level];
            let span = floor(step.from, coarser.long);
            if gathered
                .first()
                .is_some_and(|first| floor(first.from, coarser.long) != span)
            {
                let all = std::mem::take(gathered);
                let folded = fold(floor(all[0].from, coarser.long), &all);
                self.folding[level].push(step.clone());
                self.keep(level + 1, folded);
            } else {
                gathered.push(step.clone());
            }
        }
        let kept = &mut self.levels[level];
        kept.push_back(step);
        if kept.len() > LEVELS[level].kept {
            kept.pop_front();
        }
    }

    /// The steps of a level, from an instant on, in their order.
    pub fn level(&self, level: usize, from: Duration) -> impl Iterator<Item = &Step> {
        self.levels[level]
            .iter()
            .filter(move |step| step.from >= from)
    }

    /// All that is known from an instant on: coarse where fine is gone already.
    pub fn since(&self, from: Duration) -> Vec<(Duration, Step)> {
        let mut found = Vec::new();
        let mut until = Duration::MAX;
        for (level, kept) in self.levels.iter().enumerate() {
            let long = LEVELS[level].long;
            found.extend(
                kept.iter()
                    .filter(|s| s.from + long <= until && s.from >= from)
                    .map(|s| (long, s.clone())),
            );
            until = until.min(kept.front().map_or(until, |first| first.from));
        }
        found.sort_by_key(|(_, step)| step.from);
        found
    }

    /// About how many octets it holds.
    pub fn octets(&self) -> usize {
        let step = |step: &Step| size_of::<Step>() + step.latency.octets.capacity();
        let kept: usize = self
            .levels
            .iter()
            .flatten()
            .chain(self.folding.iter().flatten())
            .map(step)
            .sum();
        // The open sketch holds its bins as they are.
        kept + size_of::<Self>() + BINS as usize * size_of::<u64>()
    }
}

fn fold(from: Duration, all: &[Step]) -> Step {
    let mut counts = AttemptCounts::default();
    all.iter().for_each(|step| counts.add(&step.counts));
    Step {
        from,
        counts,
        latency: Latency::merged(all.iter().map(|step| &step.latency)),
    }
}
