//! Records an attempt that was decided, wherever something depends on it, and hands it out.
use std::time::Duration;

use crate::actions::{Actions, Note};
use crate::brain::DecisionEngine;
use crate::fleet::Out;
use crate::model::{AttemptNumber, EndpointId, RequestId};
use crate::state::Attempt;

impl DecisionEngine {
    pub(crate) fn send_attempt(&mut self, id: RequestId, to: EndpointId, out: &mut dyn Actions) {
        let now = self.now;
        let (Some(h), Some(a)) = (
            self.pending.requests.get_mut(&id),
            self.discovery.fleet.used.get_mut(&to),
        ) else {
            return;
        };
        let (request, build, work, group) = (
            h.request,
            a.endpoint.build,
            h.work,
            (a.endpoint.zone, a.endpoint.cell),
        );
        if self.exposure.bound(build).is_some() {
            let lane = self.exposure.lane(request.class);
            self.exposure
                .windows
                .sent
                .entry((lane, build))
                .or_default()
                .push_back(now);
        }
        let attempt = AttemptNumber(h.attempts.len() as u8);
        let young = self.analysis.own.on_trial(build) && self.slow_start.young(&a.endpoint, now);
        let out_there = Out {
            sent: now,
            work,
            class: request.class,
            build,
            young,
            mute: a.barred(),
        };
        self.load
            .notes
            .extend(out_there.mute.then_some(Note::Tried(to)));
        a.sent(now, self.slow_start.span, (id, attempt), out_there);
        h.attempts.push(Attempt {
            to,
            build,
            group,
            sent: now,
            outcome: None,
            called_off: false,
        });
        // Until it is proved not to have run, it may have: the group and window of a repeat are fixed by it.
        h.risk = h.risk.or(Some((now, group.0, group.1)));
        out.send_attempt(id, to, Duration::ZERO);
    }
}
