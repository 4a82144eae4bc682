//! Owns the sequential test that tells a departure from chance. It is an e-detector (Shin, Ramdas, Rinaldo) of
//! Shiryaev-Roberts form on yes-or-no outcomes, weighted by time. It knows no node; it must never alarm more often
//! than its setting says while its premise holds: that a yes comes with probability `p0` at most, whatever came before.
//!
//! Each look takes an outcome x and multiplies `M` by a bet L(x) = x ? p1/p0 : (1-p1)/(1-p0), whose mean is at most 1
//! under the premise; before it, `M` gains the time in seconds that has passed since the last look. So `M` less the
//! time passed is a supermartingale, and the expected time until `M` first reaches `c` is `c` seconds at least, however
//! many or few looks that takes, and whenever one stops to look. Several bets are mixed in equal parts, which keeps it.
use std::time::Duration;

/// The shares that are bet on, between `p0` and 1: small rises, and large ones.
const BETS: [f64; 3] = [0.15, 0.45, 0.9];

/// What a look multiplies the bets by, for a given `p0`: worked out once and used for many looks.
#[derive(Clone, Copy, Debug)]
pub struct Bets {
    /// For a no, and for a yes.
    factors: [[f64; BETS.len()]; 2],
    /// The logarithms of the middle ones.
    logs: [f64; 2],
}

impl Bets {
    /// `p0` is what a yes is as likely as at most, whatever came before the first of these looks.
    pub fn new(p0: f64) -> Self {
        let p0 = p0.clamp(1e-4, 0.95);
        let p1 = BETS.map(|share| p0 + share * (1.0 - p0));
        let factors = [p1.map(|p1| (1.0 - p1) / (1.0 - p0)), p1.map(|p1| p1 / p0)];
        Bets {
            factors,
            logs: [factors[0][1].ln(), factors[1][1].ln()],
        }
    }
}

/// One running test.
#[derive(Clone, Debug, Default)]
pub struct Detector {
    /// Seconds, by bet.
    m: [f64; BETS.len()],
    /// The sum of logarithms of the middle bet, and when it was last at its lowest: where a change would have begun.
    sum: f64,
    lowest: f64,
    onset: Duration,
    last: Option<Duration>,
    /// Looks and yeses since the onset.
    since: (u32, u32),
}

impl Detector {
    /// Takes a look.
    pub fn look(&mut self, now: Duration, bets: &Bets, yes: bool) {
        let passed = self
            .last
            .map_or(0.0, |last| now.saturating_sub(last).as_secs_f64());
        self.last = Some(now);
        for (m, factor) in self.m.iter_mut().zip(bets.factors[usize::from(yes)]) {
            // A bound far above any threshold keeps it finite.
            *m = ((*m + passed) * factor).min(1e30);
        }
        self.sum += bets.logs[usize::from(yes)];
        if self.sum <= self.lowest || self.since.0 == 0 {
            (self.lowest, self.onset, self.since) = (self.sum, now, (0, 0));
        }
        self.since = (
            self.since.0.saturating_add(1),
            self.since.1 + u32::from(yes),
        );
        // Only differences count: kept near 0, so that nothing grows with age.
        self.sum -= self.lowest;
        self.lowest = 0.0;
    }

    /// The evidence, in seconds: reaching `c` by chance takes `c` seconds at least in the mean.
    pub fn evidence(&self) -> f64 {
        self.m.iter().sum::<f64>() / BETS.len() as f64
    }

    /// When the change seems to have begun, and the share of yeses since.
    pub fn onset(&self) -> (Duration, f64) {
        (
            self.onset,
            f64::from(self.since.1) / f64::from(self.since.0.max(1)),
        )
    }

    /// How many looks have come since the onset.
    pub fn looks(&self) -> u32 {
        self.since.0
    }
}
