//! Owns what is usual: shares and means that fade, learned with a delay, so that a departure does not become usual
//! before it is found. It decides nothing.
use std::collections::VecDeque;
use std::time::Duration;

/// What is usual fades by half in this long.
const FADES: Duration = Duration::from_secs(600);
/// It is learned so much later than it is seen: longer than a departure takes to be found.
const DELAY: Duration = Duration::from_secs(8);
/// Counts are gathered for this long before they are learned.
const GATHER: Duration = Duration::from_secs(1);
/// What is of late.
const LATELY: Duration = Duration::from_secs(3);

/// A sum over looks and yeses.
#[derive(Clone, Copy, Debug, Default)]
pub struct Sum {
    pub yes: f64,
    pub all: f64,
}

impl Sum {
    pub fn add(&mut self, other: Sum) {
        self.yes += other.yes;
        self.all += other.all;
    }

    fn fade(&mut self, passed: Duration) {
        let keep = (-passed.as_secs_f64() / FADES.as_secs_f64()).exp2();
        (self.yes, self.all) = (self.yes * keep, self.all * keep);
    }
}

/// A share of yeses: what is usual, what is of late, and what waits to be learned.
#[derive(Clone, Debug, Default)]
pub struct Usual {
    learned: Sum,
    at: Duration,
    waiting: VecDeque<(Duration, Sum)>,
}

impl Usual {
    pub fn look(&mut self, now: Duration, yes: bool) {
        self.put(
            now,
            Sum {
                yes: f64::from(u8::from(yes)),
                all: 1.0,
            },
        );
    }

    pub fn put(&mut self, now: Duration, sum: Sum) {
        match self.waiting.back_mut() {
            Some((from, kept)) if now < *from + GATHER => kept.add(sum),
            _ => self.waiting.push_back((now, sum)),
        }
    }

    /// Learns what has waited long enough. While `held`, a departure is going on, and it is forgotten instead.
    pub fn learn(&mut self, now: Duration, held: bool) {
        while let Some((_, sum)) = self
            .waiting
            .front()
            .copied()
            .filter(|(from, _)| *from + DELAY <= now)
        {
            self.waiting.pop_front();
            if !held {
                self.learned.fade(now.saturating_sub(self.at));
                self.at = now;
                self.learned.add(sum);
            }
        }
    }

    /// The usual share, drawn to `prior` as by `weight` looks.
    pub fn share(&self, prior: f64, weight: f64) -> f64 {
        (self.learned.yes + prior * weight) / (self.learned.all + weight)
    }

    /// How many looks it rests on.
    pub fn looks(&self) -> f64 {
        self.learned.all
    }

    /// What was seen of late, learned or not.
    pub fn lately(&self, now: Duration) -> Sum {
        let mut sum = Sum::default();
        for (_, one) in self
            .waiting
            .iter()
            .rev()
            .take_while(|(from, _)| *from + LATELY > now)
        {
            sum.add(*one);
        }
        sum
    }

    pub fn learned(&self) -> Sum {
        self.learned
    }
}
