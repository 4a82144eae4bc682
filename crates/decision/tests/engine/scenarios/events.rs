//! The steps of a scenario that are events, each in a round of its own.
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

/// Requests of bursts have ids from here on.
const FIRST_BURST_REQUEST: u32 = 2_000_000;
/// The zones that permissions name.
const ZONES: usize = 3;

impl Player {
    /// Plays an event; false if there is none of that name and form.
    pub(super) fn play_event(&mut self, name: &str, arguments: &[&str]) -> bool {
        match (name, arguments) {
            ("endpoints", [update, entries @ ..]) => self.list_endpoints(update, entries),
            ("request", [id, class, rest @ ..]) => {
                let request = self.request(class, rest);
                let id = RequestId(number(id));
                self.round(|events| events.on_request(id, request));
            }
            ("burst", [count, class]) => self.burst(number(count), class),
            ("client-left", [id]) => {
                let id = RequestId(number(id));
                self.round(|events| events.on_client_disconnected(id));
            }
            ("ended", [which, at, how, took]) => self.end_attempt([which, at, how, took], false),
            ("ended", [which, at, how, took, "closed"]) => {
                self.end_attempt([which, at, how, took], true);
            }
            ("may-send", [which, expected]) => self.check_may_send(which, expected),
            ("stage", [build, stage, phase, cap]) => {
                let update = ReleaseUpdate {
                    build: Build(number(build)),
                    stage: Stage(number(stage)),
                    phase: release_phase(phase),
                    cap: number(cap),
                };
                self.round(|events| update.send_to(events));
            }
            ("vote-answered", [how]) => {
                let outcome = outcome(how);
                self.round(|events| events.on_vote_answered(outcome));
            }
            ("permit", ["all"]) => self.round(|events| events.on_release_permissions(None)),
            ("permit", ["advance", cells @ ..]) => self.permit(cells, true),
            ("permit", ["hold", cells @ ..]) => self.permit(cells, false),
            ("wrong-answer", [at, class, ago]) => {
                let (at, class) = (EndpointId(number(at)), RequestClass(number(class)));
                let sent_ago = milliseconds(ago);
                self.round(|events| events.on_wrong_answer(at, class, sent_ago));
            }
            ("report", [from, build, serial, sums, records @ ..]) => {
                let payload = report(build, serial, sums, records);
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

    fn list_endpoints(&mut self, update: &str, entries: &[&str]) {
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

    fn end_attempt(&mut self, [which, at, how, took]: [&str; 4], closed: bool) {
        let (request, number_of_attempt) = attempt(which);
        let (at, outcome, took) = (EndpointId(number(at)), outcome(how), milliseconds(took));
        self.round(|events| {
            events.on_attempt_ended(request, number_of_attempt, at, outcome, took, closed);
        });
    }

    fn check_may_send(&mut self, which: &str, expected: &str) {
        let (request, number_of_attempt) = attempt(which);
        let expected = match expected {
            "yes" => true,
            "no" => false,
            other => panic!("neither yes nor no: {other}"),
        };
        let mut may_send = !expected;
        self.round(|events| may_send = events.may_send(request, number_of_attempt));
        assert_eq!(may_send, expected);
    }

    /// Permits classes to builds and zones, and the first stage of the newest of these builds if it `may_advance`.
    fn permit(&mut self, cells: &[&str], may_advance: bool) {
        let mut rows = BTreeMap::<u16, [u64; ZONES]>::new();
        for cell in cells {
            let parts: Vec<&str> = cell.split(':').collect();
            let [build, zone, classes @ ..] = parts.as_slice() else {
                panic!("no BUILD:ZONE[:CLASSES] {cell}");
            };
            let row = rows.entry(number(build)).or_default();
            row[number::<usize>(zone)] = classes.first().map_or(u64::MAX, |mask| number(mask));
        }
        let rows: Vec<_> = rows
            .iter()
            .map(|(build, row)| (Build(*build), &row[..]))
            .collect();
        let advance = may_advance.then(|| (rows.last().expect("a row").0, Stage(0)));
        let permissions = ReleasePermissions::new(ZONES, 1, &rows, advance);
        self.round(|events| events.on_release_permissions(Some(Arc::new(permissions))));
    }
}
