//! The steps of a scenario that are events. Each runs in a round of its own.
use std::collections::BTreeMap;
use std::sync::Arc;

use lilacgate_decision::{
    AgentId, Build, Endpoint, EndpointId, ReleasePermissions, RequestClass, RequestId, Stage,
};

use super::player::Player;
use super::words::{
    attempt, endpoint, list_update, milliseconds, number, outcome, release_phase, report,
};
use crate::support::ReleaseUpdate;

/// The lowest id of requests of a burst.
const FIRST_BURST_REQUEST: u32 = 2_000_000;
/// Number of zones in a table of permissions.
const ZONES: usize = 3;

impl Player {
    /// Runs an event; returns `false` if there is none with this name and these arguments.
    pub(super) fn play_event(&mut self, name: &str, arguments: &[&str]) -> bool {
        match (name, arguments) {
            ("endpoints", [update, entries @ ..]) => self.update_endpoints(update, entries),
            ("request", [id, class, rest @ ..]) => {
                let request = self.request(class, rest);
                let id = RequestId(number(id));
                self.round(|events| events.on_request(id, request));
            }
            ("burst", [count, class]) => self.burst(number(count), class),
            ("client-disconnected", [id]) => {
                let id = RequestId(number(id));
                self.round(|events| events.on_client_disconnected(id));
            }
            ("ended", [attempt, endpoint, outcome, took]) => {
                self.end_attempt([attempt, endpoint, outcome, took], false)
            }
            ("ended", [attempt, endpoint, outcome, took, "closed"]) => {
                self.end_attempt([attempt, endpoint, outcome, took], true);
            }
            ("may-send", [attempt, expected]) => self.check_may_send(attempt, expected),
            ("release", [build, stage, phase, cap]) => {
                let update = ReleaseUpdate {
                    build: Build(number(build)),
                    stage: Stage(number(stage)),
                    phase: release_phase(phase),
                    cap: number(cap),
                };
                self.round(|events| update.send_to(events));
            }
            ("vote-answered", [text]) => {
                let outcome = outcome(text);
                self.round(|events| events.on_vote_answered(outcome));
            }
            ("permit", ["all"]) => self.round(|events| events.on_release_permissions(None)),
            ("permit", ["advance", entries @ ..]) => self.permit(entries, true),
            ("permit", ["hold", entries @ ..]) => self.permit(entries, false),
            ("wrong-answer", [endpoint, class, ago]) => {
                let (endpoint, class) = (EndpointId(number(endpoint)), RequestClass(number(class)));
                let sent_ago = milliseconds(ago);
                self.round(|events| events.on_wrong_answer(endpoint, class, sent_ago));
            }
            ("report", [from, build, sequence, sums, entries @ ..]) => {
                let payload = report(build, sequence, sums, entries);
                let from = AgentId(number(from));
                self.round(|events| events.on_peer_message(from, &payload));
            }
            ("shutdown", [time]) => {
                let deadline = milliseconds(time);
                self.round(|events| events.on_shutdown(deadline));
            }
            _ => return false,
        }
        true
    }

    fn update_endpoints(&mut self, update: &str, entries: &[&str]) {
        let update = list_update(update);
        let listed: Vec<Endpoint> = entries
            .iter()
            .map(|entry| endpoint(entry, self.now))
            .collect();
        self.endpoints
            .extend(listed.iter().map(|endpoint| (endpoint.id.0, *endpoint)));
        self.round(|events| events.on_endpoints(update, &mut listed.into_iter()));
    }

    fn burst(&mut self, count: u32, class: &str) {
        let request = self.request(class, &[]);
        self.round(|events| {
            for i in 0..count {
                events.on_request(RequestId(FIRST_BURST_REQUEST + i), request);
            }
        });
    }

    fn end_attempt(&mut self, [id, endpoint, result, took]: [&str; 4], request_closed: bool) {
        let (request, attempt) = attempt(id);
        let (endpoint, outcome, took) = (
            EndpointId(number(endpoint)),
            outcome(result),
            milliseconds(took),
        );
        self.round(|events| {
            events.on_attempt_ended(request, attempt, endpoint, outcome, took, request_closed);
        });
    }

    fn check_may_send(&mut self, id: &str, expected: &str) {
        let (request, attempt) = attempt(id);
        let expected = match expected {
            "yes" => true,
            "no" => false,
            other => panic!("may-send expects yes or no, got {other:?}"),
        };
        let mut may_send = !expected;
        self.round(|events| may_send = events.may_send(request, attempt));
        assert_eq!(may_send, expected);
    }

    /// Permits only these builds, zones and classes. With `may_advance`, the newest of the builds may advance from its
    /// first stage.
    fn permit(&mut self, entries: &[&str], may_advance: bool) {
        let mut rows = BTreeMap::<u16, [u64; ZONES]>::new();
        for entry in entries {
            let parts: Vec<&str> = entry.split(':').collect();
            let [build, zone, classes @ ..] = parts.as_slice() else {
                panic!("expected BUILD:ZONE[:CLASSES], got {entry:?}");
            };
            let row = rows.entry(number(build)).or_default();
            row[number::<usize>(zone)] = classes.first().map_or(u64::MAX, |mask| number(mask));
        }
        let rows: Vec<_> = rows
            .iter()
            .map(|(build, row)| (Build(*build), &row[..]))
            .collect();
        let advance = may_advance.then(|| (rows.last().expect("permit names a build").0, Stage(0)));
        let permissions = ReleasePermissions::new(ZONES, 1, &rows, advance);
        self.round(|events| events.on_release_permissions(Some(Arc::new(permissions))));
    }
}
