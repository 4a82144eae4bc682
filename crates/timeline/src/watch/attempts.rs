//! Turns the ends of attempts into observations of the node they were sent to.
use std::time::Duration;

use super::Watch;
use super::settings::{LATE_FACTOR, LATENCY_PRIOR_WEIGHT};
use super::signals::{ALL_PRODUCTS, Observation, Observations, Signals};
use crate::entry::DepartureKind;
use crate::usual::Sum;

/// How an attempt ended, as far as a watch is concerned.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Ended {
    /// The node did what was asked.
    Served,
    /// The node answered with an error, or not as it should.
    Failed,
    /// The node refused the request.
    TurnedAway,
    /// The link could not be opened, or broke.
    Unlinked,
    /// There was no answer before the attempt timed out or was called off.
    Unanswered,
    /// The attempt was never sent.
    Unsent,
}

/// An attempt that has ended.
struct EndedAttempt {
    node: u32,
    product: u8,
    sent: Duration,
    took: Duration,
    how: Ended,
}

/// An answer time compared with what is usual.
struct AnswerTime {
    late: bool,
    /// Whether it counts as an observation of the node's latency.
    counts: bool,
}

impl Watch {
    /// An attempt was sent to a node; `which` is its request and attempt number.
    pub fn sent(&mut self, now: Duration, node: u32, which: (u32, u8)) {
        self.sent_since_tick += 1.0;
        if let Some(watched) = self.nodes.get_mut(&node) {
            watched.outstanding.insert(which, now);
        }
    }

    /// An attempt ended in the way `how`, and took `took` since it was sent. Returns whether its answer was late.
    pub fn ended(
        &mut self,
        now: Duration,
        node: u32,
        which: (u32, u8),
        product: u8,
        how: Ended,
        took: Duration,
    ) -> bool {
        let Some(watched) = self.nodes.get_mut(&node) else {
            return false;
        };
        let sent = watched
            .outstanding
            .remove(&which)
            .unwrap_or_else(|| now.saturating_sub(took));
        if how == Ended::Unsent {
            return false;
        }
        if how != Ended::Unanswered {
            watched.last_heard = watched.last_heard.max(now);
        }
        let attempt = EndedAttempt {
            node,
            product,
            sent,
            took,
            how,
        };
        let mut observations = Observations::new();
        self.observe_outcome(&attempt, &mut observations);
        let late = self.observe_answer_time(now, &attempt, &mut observations);
        self.observe(now, node, observations.as_slice());
        late
    }

    /// The place of a product's own signals, if the product is known.
    fn place_of(&self, product: u8) -> Option<usize> {
        let product = usize::from(product);
        (product < self.aims.products).then_some(product + 1)
    }

    /// Adds what the end of an attempt says about links, silence and errors.
    fn observe_outcome(&self, attempt: &EndedAttempt, observations: &mut Observations) {
        // An attempt that was given up says nothing about the link.
        if attempt.how != Ended::Unanswered {
            observations.push(
                DepartureKind::Links,
                ALL_PRODUCTS,
                attempt.how == Ended::Unlinked,
            );
        }
        match attempt.how {
            Ended::Served | Ended::Failed => {
                let failed = attempt.how == Ended::Failed;
                observations.push(DepartureKind::Silence, ALL_PRODUCTS, false);
                observations.push(DepartureKind::Errors, ALL_PRODUCTS, failed);
                if let Some(place) = self.place_of(attempt.product) {
                    observations.push(DepartureKind::Errors, place, failed);
                }
            }
            Ended::Unanswered if self.shows_silence(attempt) => {
                observations.push(DepartureKind::Silence, ALL_PRODUCTS, true);
            }
            _ => {}
        }
    }

    /// Whether nothing was heard of the node since the attempt was sent, and the agent was not paused meanwhile.
    fn shows_silence(&self, attempt: &EndedAttempt) -> bool {
        let unheard = self
            .nodes
            .get(&attempt.node)
            .is_some_and(|watched| watched.last_heard < attempt.sent);
        unheard && attempt.sent >= self.resumed_at
    }

    /// Adds what the time to an answer says about latency. Returns whether the answer was late.
    fn observe_answer_time(
        &mut self,
        now: Duration,
        attempt: &EndedAttempt,
        observations: &mut Observations,
    ) -> bool {
        // While the agent was paused, the time to an answer was not the node's.
        if attempt.how != Ended::Served || attempt.sent < self.resumed_at {
            return false;
        }
        let Some(place) = self.place_of(attempt.product) else {
            return false;
        };
        let Some(answer) = self.compare_answer_time(now, attempt) else {
            return false;
        };
        if answer.counts {
            observations.push(DepartureKind::Latency, ALL_PRODUCTS, answer.late);
            observations.push(DepartureKind::Latency, place, answer.late);
        }
        answer.late
    }

    /// Compares an answer time with the usual one, and takes it into what is usual.
    fn compare_answer_time(&mut self, now: Duration, attempt: &EndedAttempt) -> Option<AnswerTime> {
        let usual = self.answer_seconds.get_mut(usize::from(attempt.product))?;
        let watched = self.nodes.get_mut(&attempt.node)?;
        let seconds = attempt.took.as_secs_f64();
        let usual_seconds = usual.share(seconds, 1.0);
        let known = usual.looks() >= LATENCY_PRIOR_WEIGHT;
        usual.put(
            now,
            Sum {
                yes: seconds,
                all: 1.0,
            },
        );
        let ratio = seconds / usual_seconds.max(1e-6);
        let late = known && ratio > LATE_FACTOR * watched.usual_relative_latency();
        watched.relative_latency.put(
            now,
            Sum {
                yes: ratio,
                all: 1.0,
            },
        );
        let counts = known && !watched.is_ramping_up(attempt.sent, self.aims.ramp);
        Some(AnswerTime { late, counts })
    }

    /// Takes observations of a node into its signals, and into those of its build and of the fleet.
    pub(super) fn observe(&mut self, now: Duration, node: u32, observations: &[Observation]) {
        let Some(watched) = self.nodes.get_mut(&node) else {
            return;
        };
        watched.last_observed = now;
        let products = self.aims.products;
        let build = self
            .builds
            .entry(watched.build)
            .or_insert_with(|| Signals::new(products));
        for &Observation { kind, place, bad } in observations {
            build.of_mut(kind)[place].usual.look(now, bad);
            watched.signals.of_mut(kind)[place].observe(now, bad);
            self.fleet.of_mut(kind)[place].observe(now, bad);
        }
    }
}
