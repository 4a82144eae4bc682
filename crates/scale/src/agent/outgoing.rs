//! What an agent does with the decisions of its modules: attempts, messages and wake-ups.
use std::time::Duration;

use lilacgate_decision::{AttemptNumber, EndpointId, Outcome, RequestId};

use super::queue::Moment;
use super::{Agent, ServiceEndpoint};
use crate::decisions::Decision;
use crate::module::{Attempt, ModuleEvent, UnansweredRequest};
use crate::network::{AttemptCall, AttemptId, Incoming, ONE_WAY, Outgoing, Sent};
use crate::settings::MAX_ATTEMPTS;
use crate::wire;

/// The platform's round trip for a vote and its answer.
const VOTE_ROUND_TRIP: Duration = Duration::from_millis(1);

impl Agent {
    /// Carries out one decision of a module.
    pub(super) fn carry_out(&mut self, moment: Moment, decision: Decision) {
        match decision {
            Decision::Attempt { request, to } => self.send_attempt(moment, request, to),
            Decision::Reject(request) => {
                self.meter.counts.refused += 1;
                self.close(moment, request);
            }
            Decision::Fail(request) => {
                self.meter.counts.failed += 1;
                self.close(moment, request);
            }
            Decision::Cancel(attempt) => {
                let outcome = Outcome::Cancelled;
                self.queue
                    .push(moment, Incoming::Ended { attempt, outcome });
            }
            Decision::ScheduleWakeUp { at, timer } => {
                let wake_up = Incoming::Event(ModuleEvent::Wake(timer));
                self.deliver(at, moment.service, wake_up);
            }
            Decision::SendToPeer { to, payload } => {
                self.meter.counts.reports_out.add(payload.len());
                let payload = payload.into();
                self.send(moment, Outgoing::Datagram { to, payload });
            }
            Decision::Watch => self.watch(moment),
            Decision::Unwatch => {
                self.module(moment.service).connect();
                self.send(moment, Outgoing::Unwatch);
            }
            Decision::Vote { build, stage, vote } => {
                let bytes = wire::vote_call_bytes(1, build.0, stage.0, "promote");
                self.meter.counts.calls_out.add(bytes);
                self.send(moment, Outgoing::Vote { build, stage, vote });
                let answer = Incoming::Event(ModuleEvent::VoteAnswered(Outcome::Succeeded));
                self.deliver(moment.at + VOTE_ROUND_TRIP, moment.service, answer);
            }
        }
    }

    fn watch(&mut self, moment: Moment) {
        let module = self.module(moment.service);
        let connection = module.connect();
        let bytes = wire::watch_call_bytes(module.version());
        self.meter.counts.calls_out.add(bytes);
        self.send(moment, Outgoing::Watch { connection });
    }

    fn send(&mut self, moment: Moment, outgoing: Outgoing) {
        self.outbox.push(Sent {
            at: moment.at,
            service: moment.service,
            message: outgoing,
        });
    }

    fn send_attempt(&mut self, moment: Moment, request: RequestId, to: EndpointId) {
        let service = moment.service;
        let module = &mut self.modules[service.0 as usize];
        let Some(unanswered) = module.unanswered.get_mut(&request) else {
            return;
        };
        let is_broken = breaks_rule(moment.at, unanswered) || module.not_ready.contains_key(&to);
        self.meter.counts.broken_rules += u64::from(is_broken);
        self.meter.counts.attempts += 1;
        let endpoint = ServiceEndpoint {
            service,
            endpoint: to,
        };
        *self.used.entry(endpoint).or_default() += 1;
        let number = AttemptNumber(unanswered.attempts.len() as u8);
        unanswered.attempts.push(Attempt {
            to,
            sent: moment.at,
            outcome: None,
        });
        let call = AttemptCall {
            attempt: AttemptId { request, number },
            to,
            work: unanswered.work,
            until: unanswered.until,
        };
        self.send(moment, Outgoing::Attempt(call));
    }

    /// Answers a client whose request was rejected or has failed.
    fn close(&mut self, moment: Moment, request: RequestId) {
        let module = self.module(moment.service);
        let Some(unanswered) = module.unanswered.get_mut(&request) else {
            return;
        };
        unanswered.answered = true;
        if unanswered.is_quiet() {
            module.unanswered.remove(&request);
        }
    }
}

/// Whether one more attempt of a request is against the rules: too many, too late, or a repeat of a
/// request that must not run twice.
fn breaks_rule(now: Duration, unanswered: &UnansweredRequest) -> bool {
    let too_many = unanswered.attempts.len() >= usize::from(MAX_ATTEMPTS);
    let too_late = now + ONE_WAY > unanswered.until || unanswered.answered;
    let is_unsafe_repeat =
        !unanswered.repeatable && unanswered.attempts.iter().any(Attempt::may_have_run);
    too_many || too_late || is_unsafe_repeat
}
