//! Records an attempt that was decided, wherever something depends on it, and hands it out.
use std::time::Duration;

use crate::brain::Brain;
use crate::fleet::Out;
use crate::port::*;
use crate::state::Attempt;

impl Brain {
    pub(crate) fn send_attempt(&mut self, id: RequestId, to: ApplianceId, out: &mut dyn Decisions) {
        let now = self.now;
        let (Some(h), Some(a)) = (
            self.desk.held.get_mut(&id),
            self.membership.fleet.used.get_mut(&to),
        ) else {
            return;
        };
        let (request, build, work, group) =
            (h.request, a.line.build, h.work, (a.line.zone, a.line.cell));
        if self.exposure.bound(build).is_some() {
            let lane = self.exposure.lane(request.product);
            self.exposure
                .windows
                .sent
                .entry((lane, build))
                .or_default()
                .push_back(now);
        }
        let attempt = AttemptNumber(h.attempts.len() as u8);
        let young = self.jury.own.on_trial(build) && self.thaw.young(&a.line, now);
        let out_there = Out {
            sent: now,
            work,
            product: request.product,
            build,
            young,
            mute: a.barred(),
        };
        self.stock
            .notes
            .extend(out_there.mute.then_some(Note::Tried(to)));
        a.sent(now, self.thaw.span, (id, attempt), out_there);
        h.attempts.push(Attempt {
            to,
            build,
            group,
            sent: now,
            ending: None,
            called_off: false,
        });
        // Until it is proved not to have run, it may have: the group and window of a repeat are fixed by it.
        h.risk = h.risk.or(Some((now, group.0, group.1)));
        out.send_attempt(id, to, Duration::ZERO);
    }
}
