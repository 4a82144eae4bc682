//! The simulation of a fleet in virtual time.
use std::collections::BTreeMap;
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Endpoint, EndpointId, ListUpdate, Outcome, ReleasePhase, RequestClass,
    RequestId, Stage,
};
use lilacgate_timeline::fleet_timeline::{AttemptEnd, FleetTimeline};
use lilacgate_timeline::monitor::{DepartureReport, TICK};
use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use super::event_queue::{Attempt, Event, EventQueue};
use super::fault_effect::{ActiveFault, FaultEffect, active_faults, agent_awake_at};
use super::node::Node;
use super::{
    DepartureNotice, EPOCH, EndedAttempt, Fault, VirtualFleet, listed_endpoint, service_time,
};

/// The client stops waiting after this time.
const ATTEMPT_TIMEOUT: Duration = Duration::from_secs(1);
/// The time that a refused connection takes.
const REFUSAL_TIME: Duration = Duration::from_micros(500);
/// For so long a node gets no requests after one without an answer, as an agent would do it.
const EJECTION_TIME: Duration = Duration::from_millis(700);
/// The share of the first class, unless a fault says otherwise.
const FIRST_CLASS_SHARE: f64 = 0.6;

pub(super) struct Simulation<'a> {
    fleet: &'a VirtualFleet,
    book: &'a mut FleetTimeline,
    on_attempt: &'a mut dyn FnMut(EndedAttempt),
    rng: Pcg64Mcg,
    nodes: BTreeMap<u32, Node>,
    queue: EventQueue,
    /// For each fault, whether it is a replacement that is done.
    replaced: Vec<bool>,
    last_request: u32,
    notices: Vec<DepartureNotice>,
}

impl<'a> Simulation<'a> {
    pub(super) fn new(
        fleet: &'a VirtualFleet,
        book: &'a mut FleetTimeline,
        on_attempt: &'a mut dyn FnMut(EndedAttempt),
    ) -> Self {
        let mut rng = Pcg64Mcg::seed_from_u64(fleet.seed);
        let nodes: BTreeMap<u32, Node> = (0..fleet.nodes)
            .map(|number| (number, Node::new(rng.random_range(0.85..1.2))))
            .collect();
        Simulation {
            fleet,
            book,
            on_attempt,
            rng,
            nodes,
            queue: EventQueue::default(),
            replaced: vec![false; fleet.faults.len()],
            last_request: 0,
            notices: Vec::new(),
        }
    }

    /// Runs to the end of the fleet's time.
    pub(super) fn run(mut self) -> Vec<DepartureNotice> {
        self.start();
        while let Some((now, event)) = self.queue.pop() {
            if now > EPOCH + self.fleet.duration {
                break;
            }
            match event {
                Event::Tick => self.tick(now),
                Event::Listed {
                    node,
                    build,
                    started,
                } => {
                    let endpoint = listed_endpoint(node, build, started);
                    let at = self.agent_awake_at(now);
                    self.book
                        .apply_list_update(at, ListUpdate::Delta, &[endpoint]);
                }
                Event::Request => self.request(now),
                Event::AttemptEnded(attempt) => self.attempt_ended(now, attempt),
            }
        }
        self.notices
    }

    fn start(&mut self) {
        let endpoints: Vec<Endpoint> = self
            .nodes
            .keys()
            .map(|node| listed_endpoint(*node, 1, None))
            .collect();
        self.book
            .apply_list_update(EPOCH, ListUpdate::Full, &endpoints);
        self.book.record_stage(
            EPOCH,
            Build(1),
            Stage(3),
            ReleasePhase::Released,
            Duration::from_secs(3600),
        );
        self.queue.push(EPOCH, Event::Request);
        self.queue.push(EPOCH, Event::Tick);
    }

    fn agent_awake_at(&self, now: Duration) -> Duration {
        agent_awake_at(&self.fleet.faults, now)
    }

    fn tick(&mut self, now: Duration) {
        if self.agent_awake_at(now) == now {
            self.book.advance(now);
            let notice = |report: DepartureReport| DepartureNotice {
                at: now,
                departure: report.departure,
                begins: report.began,
            };
            self.notices
                .extend(self.book.take_reports().into_iter().map(notice));
        }
        for number in 0..self.fleet.faults.len() {
            let scheduled = self.fleet.faults[number];
            if let Fault::Replace { node, build } = scheduled.fault
                && !self.replaced[number]
                && now >= EPOCH + scheduled.at
            {
                self.replaced[number] = true;
                self.replace(now, node, build);
            }
        }
        self.queue.push(now + TICK, Event::Tick);
    }

    /// Replaces a node's process. A build that the node did not run yet begins its release.
    fn replace(&mut self, now: Duration, number: u32, build: u16) {
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        if node.build != build {
            self.book.record_stage(
                now,
                Build(build),
                Stage(0),
                ReleasePhase::Canary,
                Duration::ZERO,
            );
        }
        node.replace(now, build);
        let listed = Event::Listed {
            node: number,
            build,
            started: Some(now),
        };
        self.queue.push(now + self.fleet.list_delay, listed);
    }

    /// A client sends a request, and draws the time of the next one. None is sent while the agent is suspended.
    fn request(&mut self, now: Duration) {
        let active = active_faults(&self.fleet.faults, now);
        let gap = self.draw_gap(&active);
        self.queue.push(now + gap, Event::Request);
        if self.agent_awake_at(now) > now {
            return;
        }
        let class = self.draw_class(&active);
        if let Some(node) = self.pick_node(now) {
            self.send(now, node, class, &active);
        }
    }

    /// The time between two requests of a Poisson process.
    fn draw_gap(&mut self, active: &[ActiveFault]) -> Duration {
        let rate = active
            .iter()
            .fold(self.fleet.request_rate, |rate, active| match active.fault {
                Fault::TrafficChange { factor } => rate * factor,
                _ => rate,
            });
        let gap = -self.rng.random::<f64>().max(1e-12).ln() / rate;
        Duration::from_secs_f64(gap)
    }

    /// The first class by its share, else one of the two others alike.
    fn draw_class(&mut self, active: &[ActiveFault]) -> RequestClass {
        let first_share = active
            .iter()
            .find_map(|active| match active.fault {
                Fault::ClassMix { first_share } => Some(first_share),
                _ => None,
            })
            .unwrap_or(FIRST_CLASS_SHARE);
        let draw: f64 = self.rng.random();
        RequestClass(if draw < first_share {
            0
        } else {
            1 + u8::from(draw > (1.0 + first_share) / 2.0)
        })
    }

    /// The idler one of two random nodes that are not ejected.
    fn pick_node(&mut self, now: Duration) -> Option<u32> {
        let available: Vec<u32> = self
            .nodes
            .iter()
            .filter(|(_, node)| node.ejected_until <= now)
            .map(|(number, _)| *number)
            .collect();
        if available.is_empty() {
            return None;
        }
        let mut pick = || available[self.rng.random_range(0..available.len())];
        let (one, two) = (pick(), pick());
        let two_is_idler = self.nodes[&two].in_flight < self.nodes[&one].in_flight;
        Some(if two_is_idler { two } else { one })
    }

    fn send(&mut self, now: Duration, number: u32, class: RequestClass, active: &[ActiveFault]) {
        let Some(node) = self.nodes.get_mut(&number) else {
            return;
        };
        self.last_request += 1;
        let id = RequestId(self.last_request);
        self.book.request_started(id, class);
        self.book
            .attempt_started(now, id, AttemptNumber(0), EndpointId(number));
        let effect = FaultEffect::new(active, number, node.build, class.0);
        node.in_flight += 1;
        let variation = self.rng.random_range(0.6..1.4);
        let work = service_time(class).mul_f64(variation * effect.slowdown / node.speed_at(now));
        let timeout = (now + ATTEMPT_TIMEOUT, Outcome::TimedOut);
        let (ends_at, outcome) = if effect.silent {
            timeout
        } else if effect.refused {
            (now + REFUSAL_TIME, Outcome::ConnectFailed)
        } else {
            let done = node.enqueue(now, work);
            let fails = self.rng.random::<f64>() < effect.failure_share;
            match (done > now + ATTEMPT_TIMEOUT, fails) {
                (true, _) => timeout,
                (false, true) => (done, Outcome::Failed),
                (false, false) => (done, Outcome::Succeeded),
            }
        };
        let attempt = Attempt {
            id,
            node: number,
            class,
            sent: now,
            outcome,
            node_started: node.started,
        };
        self.queue.push(ends_at, Event::AttemptEnded(attempt));
    }

    fn attempt_ended(&mut self, now: Duration, attempt: Attempt) {
        let awake_at = self.agent_awake_at(now);
        if awake_at > now {
            self.queue.push(awake_at, Event::AttemptEnded(attempt));
            return;
        }
        let Some(node) = self.nodes.get_mut(&attempt.node) else {
            return;
        };
        let outcome = if node.started == attempt.node_started {
            attempt.outcome
        } else {
            // The process that had the request is gone.
            Outcome::ConnectionLost
        };
        node.in_flight = node.in_flight.saturating_sub(1);
        if matches!(outcome, Outcome::TimedOut | Outcome::ConnectFailed) {
            node.ejected_until = now + EJECTION_TIME;
        }
        let took = now - attempt.sent;
        let end = AttemptEnd {
            request: attempt.id,
            attempt: AttemptNumber(0),
            endpoint: EndpointId(attempt.node),
            outcome,
            duration: took,
            request_closed: true,
        };
        self.book.attempt_ended(now, &end);
        (self.on_attempt)(EndedAttempt {
            at: now,
            node: attempt.node,
            class: attempt.class.0,
            outcome,
            took,
        });
    }
}
