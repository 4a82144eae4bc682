//! What the decision module hears goes into its state here; whatever is to be decided is asked of `brain.rs`.
use std::sync::Arc;
use std::time::Duration;

use rand::RngExt;

use crate::brain::{Brain, USUAL};
use crate::openings::Openings;
use crate::port::*;
use crate::state::*;

impl Hears for Brain {
    fn request(&mut self, id: RequestId, mut request: Request) {
        let now = self.now;
        request.deadline = request.deadline.min(self.desk.ends);
        let Some(&terms) = self.desk.products.get(usize::from(request.product.0)) else {
            return;
        };
        let lane = self.exposure.lane(request.product);
        self.exposure
            .windows
            .taken
            .entry(lane)
            .or_default()
            .push_back(now);
        self.stock.heard += 1;
        let work = self
            .demand
            .taken(now, USUAL, &request)
            .unwrap_or(self.stock.usual_work)
            .max(1e-4);
        self.jury.own.work([0.0, 0.0, work]);
        let (attempts, risk, luck) = Default::default();
        self.desk.held.insert(
            id,
            Held {
                request,
                terms,
                work,
                arrived: now,
                attempts,
                risk,
                luck,
            },
        );
    }

    fn ended(
        &mut self,
        id: RequestId,
        attempt: AttemptNumber,
        at: ApplianceId,
        ending: Ending,
        took: Duration,
        closed: bool,
    ) {
        let out = self
            .membership
            .fleet
            .used
            .get_mut(&at)
            .and_then(|a| a.out.remove(&(id, attempt)));
        if let Some(out) = out {
            self.outcome(id, attempt, at, &out, ending, took);
        }
        if closed {
            self.desk.held.remove(&id);
        } else if let Some(h) = self.desk.held.get_mut(&id) {
            h.ended(attempt, ending);
        }
    }

    fn stream_begun(&mut self, id: RequestId, _: AttemptNumber, _: ApplianceId, _: Duration) {
        // The client has its answer: nothing is owed any more, and nothing more may be sent.
        self.desk.held.remove(&id);
    }

    fn client_left(&mut self, id: RequestId) {
        self.desk.held.remove(&id);
    }

    fn may_go(&mut self, id: RequestId, attempt: AttemptNumber) -> bool {
        self.stands(id, attempt)
    }

    fn membership(&mut self, listing: Listing, lines: &mut dyn Iterator<Item = Line>) {
        self.membership.update(
            self.now,
            listing,
            lines,
            self.jury.among.agents,
            &mut self.chance,
        );
        self.stock.next = Duration::ZERO;
    }

    fn stage(&mut self, build: Build, stage: Stage, course: Course, cap: f64, age: Duration) {
        let known = self.exposure.news;
        match known {
            Some(n) if build < n.build => return,
            Some(n) if build == n.build => {}
            _ => self.exposure.windows.answered.clear(),
        }
        if course == Course::OnTrial && self.jury.own.build != Some(build) {
            let started = self.exposure.windows.started.unwrap_or_default();
            self.jury
                .begin(self.now, build, started, &self.demand, self.chance.random());
        }
        let same = known.filter(|n| (n.build, n.stage) == (build, stage));
        let since = same.map_or(self.now.saturating_sub(age), |n| n.since);
        self.stock.next = Duration::ZERO;
        self.exposure.news = Some(News {
            build,
            stage,
            course,
            cap,
            since,
        });
    }

    fn peer(&mut self, from: AgentId, octets: &[u8]) {
        self.jury
            .told(self.now, from, octets, &self.membership.fleet);
        if self
            .jury
            .own
            .build
            .is_some_and(|b| octets == b.0.to_be_bytes())
        {
            self.jury.own.warned = self.now + self.jury.dwell;
        }
    }

    fn openings(&mut self, open: Option<Arc<Openings>>) {
        self.exposure.openings = open;
        self.stock.next = Duration::ZERO;
    }

    fn vote_answered(&mut self, ending: Ending) {
        if let Some(vote) = &mut self.jury.own.vote {
            vote.answer = Some(ending);
        }
    }

    fn ends(&mut self, last: Duration) {
        self.desk.ends = last;
        self.desk
            .held
            .values_mut()
            .for_each(|h| h.request.deadline = h.request.deadline.min(last));
    }

    fn wrong_answer(&mut self, at: ApplianceId, product: Product, sent_ago: Duration) {
        let sent = self.now.saturating_sub(sent_ago);
        let Some(&line) = self.membership.fleet.line(at) else {
            return;
        };
        // The outcome it names was counted as good.
        if !self.thaw.young(&line, sent) {
            let trial = self.jury.own.on_trial(line.build).then_some(at);
            self.jury.note(trial, product, [0, 1, 0, 0]);
        }
    }
}

impl Brain {
    /// The appliances that this agent works with: all that are listed, or the subset of a long list. For tests and
    /// measurements.
    pub fn members(&self) -> impl Iterator<Item = ApplianceId> {
        let used = self.membership.fleet.used.iter();
        used.filter(|(_, a)| a.rank.is_some()).map(|(&id, _)| id)
    }

    /// Rows of the list and records looked at since the start, for tests and measurements. Nothing depends on
    /// it.
    pub fn visited(&self) -> u64 {
        self.membership.fleet.listed.visited()
    }
}
