//! What an agent receives: client requests, ends of attempts, lists and messages, each turned into
//! the events of one of its modules.
use std::time::Duration;

use lilacgate_decision::{
    IdempotencyKey, ListUpdate, Outcome, Request, RequestClass, RequestId, Tenant,
};
use rand::RngExt;

use super::Agent;
use super::queue::Moment;
use super::shared::Common;
use crate::module::{AttemptEnd, ModuleEvent, Pending, UnansweredRequest};
use crate::network::{AttemptId, Incoming, ListMessage};
use crate::settings::{self, ANSWER_SLACK_MICROS, GIVE_UP_MICROS};
use crate::wire;

/// Every second heartbeat of the platform comes with one of discovery.
const PLATFORM_HEARTBEATS_PER_DISCOVERY_HEARTBEAT: u64 = 2;

impl Agent {
    /// Takes all events of a moment off the queue.
    pub(super) fn receive_all(&mut self, moment: Moment, common: &Common) -> Vec<ModuleEvent> {
        let mut received = Vec::new();
        while let Some(incoming) = self.queue.pop_at(moment) {
            received.extend(self.receive(moment, incoming, common));
        }
        received
    }

    fn receive(&mut self, moment: Moment, incoming: Incoming, common: &Common) -> Vec<ModuleEvent> {
        match incoming {
            Incoming::Request => {
                let request = self.receive_request(moment, common);
                self.push_request(moment.at, common);
                vec![request]
            }
            Incoming::Ended { attempt, outcome } => {
                let end = self.end_attempt(moment, attempt, outcome);
                end.into_iter().collect()
            }
            Incoming::List(message) => self.receive_list(moment, &message),
            Incoming::ListClosed { connection } => self.close_list(moment, connection),
            Incoming::ReleaseUpdate(bytes) => {
                let module = &mut self.modules[moment.service.0 as usize];
                module.take_release_updates(&bytes, &mut self.meter)
            }
            Incoming::Event(event) => {
                if let ModuleEvent::Datagram(_, payload) = &event {
                    self.meter.counts.reports_in.add(payload.len());
                }
                vec![event]
            }
            Incoming::Heartbeats => {
                self.receive_heartbeats(moment.at);
                Vec::new()
            }
        }
    }

    /// Reads bytes of a watch, unless they come on a connection that was given up.
    fn receive_list(&mut self, moment: Moment, message: &ListMessage) -> Vec<ModuleEvent> {
        let module = &mut self.modules[moment.service.0 as usize];
        if message.connection != module.connection {
            return Vec::new();
        }
        let before = self.meter.parsing;
        let received = module.take_list(&message.bytes, &mut self.meter);
        module.pending = Some(Pending {
            since: message.since,
            whole: message.whole,
            reading: self.meter.parsing - before,
        });
        received
    }

    fn close_list(&mut self, moment: Moment, connection: u32) -> Vec<ModuleEvent> {
        let module = self.module(moment.service);
        if connection != module.connection {
            return Vec::new();
        }
        module.has_list = false;
        vec![ModuleEvent::EndpointList(ListUpdate::Failed, vec![])]
    }

    fn receive_heartbeats(&mut self, at: Duration) {
        self.heartbeats += 1;
        let with_discovery = self
            .heartbeats
            .is_multiple_of(PLATFORM_HEARTBEATS_PER_DISCOVERY_HEARTBEAT);
        for module in &mut self.modules {
            let is_watching = with_discovery && module.version() > 0;
            let from_discovery = is_watching.then_some(wire::QUIET);
            module.take_heartbeats(from_discovery, wire::PING, &mut self.meter);
        }
        self.push_heartbeat(at + wire::PING_PERIOD);
    }

    /// A client's request, drawn at random. The order of the draws decides the counts of a seed.
    fn receive_request(&mut self, moment: Moment, common: &Common) -> ModuleEvent {
        let routes = common.routes(moment.service.0 as usize);
        let route = self.random.random_range(0..routes);
        let tenant = self.random.random_range(0..common.size.tenants.max(1));
        let work = common.draw_work(&mut self.random);
        let request = Request {
            class: RequestClass(u8::try_from(route).unwrap_or(u8::MAX)),
            tenant: Tenant(u16::try_from(tenant).unwrap_or(u16::MAX)),
            idempotency_key: Some(IdempotencyKey(self.random.random())),
            deadline: moment.at + Duration::from_micros(GIVE_UP_MICROS),
            estimated_work: Some(work.estimated),
            is_retry: false,
            age: Duration::ZERO,
        };
        let unanswered = UnansweredRequest {
            arrived: moment.at,
            work: work.actual,
            until: request.deadline - Duration::from_micros(ANSWER_SLACK_MICROS),
            answered: false,
            repeatable: settings::is_repeatable(route),
            attempts: Vec::new(),
        };
        let module = self.module(moment.service);
        module.last_request = module.last_request.wrapping_add(1);
        let id = RequestId(module.last_request);
        module.unanswered.insert(id, unanswered);
        self.meter.counts.requests += 1;
        ModuleEvent::Request(id, request)
    }

    /// Records the end of an attempt; `None` if the attempt is not known or has ended before.
    fn end_attempt(
        &mut self,
        moment: Moment,
        attempt_id: AttemptId,
        outcome: Outcome,
    ) -> Option<ModuleEvent> {
        let module = &mut self.modules[moment.service.0 as usize];
        let unanswered = module.unanswered.get_mut(&attempt_id.request)?;
        let number = usize::from(attempt_id.number.0);
        let attempt = unanswered.attempts.get_mut(number)?;
        if attempt.outcome.is_some() {
            return None;
        }
        attempt.outcome = Some(outcome);
        let (endpoint, took) = (attempt.to, moment.at.saturating_sub(attempt.sent));
        if outcome == Outcome::Succeeded && !unanswered.answered {
            unanswered.answered = true;
            self.meter.counts.served += 1;
        }
        let closed = unanswered.answered;
        if closed && unanswered.is_quiet() {
            module.unanswered.remove(&attempt_id.request);
        }
        Some(ModuleEvent::AttemptEnded(AttemptEnd {
            attempt: attempt_id,
            endpoint,
            outcome,
            took,
            closed,
        }))
    }
}
