//! Steps of discovery, of the platform and other release control planes, of the operator's file and of peers.
use lilacgate_test_bed::framing::encode_http_chunk;
use lilacgate_test_bed::protocol_messages::{release_update, rollout_notification};
use lilacgate_test_bed::scenario_text::{matches_pattern, unescape};
use lilacgate_test_bed::scripted_server::{
    CONNECTION_END, discovery_server, silent_discovery_server,
};
use lilacgate_test_bed::start_file::EndpointEntry;

use super::{ControlPlane, Scenario, Words};

/// The content of <places> in the operator's file.
const PLACES: &str = r#"<places><zone name="x"/><firm name="f"/><firm name="g"/><product name="read"/>
<product name="post"/><product name="book"/><agent name="n0" firm="f"/></places>"#;

impl Scenario {
    pub(super) fn discovery_step(&mut self, words: Words) {
        if words.first == "discovery" {
            self.discovery = match words.rest {
                "moves silent" => silent_discovery_server(),
                "moves" => discovery_server(),
                other => panic!("unknown step discovery {other}"),
            };
            return self.write_files();
        }
        let list = Words::of(words.rest);
        match list.first {
            "raw" => self.discovery.write(&unescape(list.rest)),
            "requested" if list.rest == CONNECTION_END => self.discovery.expect_connection_end(),
            "requested" => {
                let request = self.discovery.next_message();
                assert!(
                    request.contains(list.rest),
                    "expected a request with {}, got {request}",
                    list.rest
                );
            }
            "closes" => self.discovery.close_current(),
            _ => self.send_list_changes(words.rest),
        }
    }

    /// Sends changes of the endpoint list, each written as `NAME[@WHERE]:STATE[:BUILD]`.
    fn send_list_changes(&mut self, changes: &str) {
        self.list_version += 1;
        let entries: Vec<String> = changes
            .split(' ')
            .map(|change| self.list_entry(change))
            .collect();
        let text = format!(
            "{{\"version\":{},\"full\":false,\"servers\":[{}]}}\n",
            self.list_version,
            entries.join(",")
        );
        self.discovery.write(encode_http_chunk(&text).as_bytes());
    }

    fn list_entry(&self, change: &str) -> String {
        let mut parts = change.split(':');
        let name = parts.next().expect("a name");
        let state = parts.next().expect("a state");
        let build = parts.next().unwrap_or("1");
        let (name, place) = name.split_once('@').unwrap_or((name, name));
        EndpointEntry::new(name, self.endpoints[place].address, "x", state, build).to_json()
    }

    pub(super) fn platform_step(&mut self, words: Words) {
        let what = Words::of(words.rest);
        match (words.first, what.first) {
            ("platform", "moves") => {
                self.platform = ControlPlane::new();
                self.write_files();
            }
            ("release", "requested") => self.platform.await_watch(),
            ("release", "raw") => self.platform.send(&unescape(what.rest)),
            ("release", _) => {
                let [build, stage, state, cap] = words.rest.split(' ').collect::<Vec<_>>()[..]
                else {
                    panic!("unknown step release {}", words.rest)
                };
                let update = rollout_notification(&release_update(build, stage, state, cap));
                self.platform.send(update.as_bytes());
            }
            ("vote", "gets") => {
                let request = self.platform.server.next_message();
                assert!(
                    matches_pattern(what.rest, &request),
                    "the platform gets {request}"
                );
            }
            ("vote", "answers") => self.platform.server.write(&unescape(what.rest)),
            ("vote", "closes") => self.platform.server.close_current(),
            (first, _) => panic!("unknown step {first} {}", words.rest),
        }
    }

    pub(super) fn service_step(&mut self, words: Words) {
        if words.first == "control-plane" {
            self.services.insert(words.rest.into(), ControlPlane::new());
            return;
        }
        let what = Words::of(words.rest);
        let service = self.services.get_mut(what.first).expect("a control plane");
        match what.rest.split(' ').collect::<Vec<_>>()[..] {
            ["requested"] => service.await_watch(),
            ["closes"] => service.server.close(service.last_watch),
            ["stops-listening"] => service.server.shut_down(),
            ["raw", ..] => service.send(&unescape(Words::of(what.rest).rest)),
            [build, stage, state] => {
                let update = rollout_notification(&release_update(build, stage, state, "1"));
                service.send(update.as_bytes());
            }
            _ => panic!("unknown step service {}", words.rest),
        }
    }

    pub(super) fn operator_step(&mut self, words: Words) {
        let rest = words.rest;
        if words.first == "operator" {
            let rules = format!(
                r#"<releases service="s" time-zone="UTC"><service name="s"/>{rest}</releases>"#
            );
            let text = format!(r#"<operator version="1">{PLACES}{rules}</operator>"#);
            self.operator_file = Some(text);
            return;
        }
        let text = self.operator_file.take().expect("an operator's file");
        self.operator_file = Some(match words.first {
            "operator-names-other-agent" => text.replace("n0", "n7"),
            _ => text.replace("</operator>", &format!("<timeline {rest}/></operator>")),
        });
    }

    pub(super) fn peer_step(&mut self, words: Words) {
        let sender = &self.peers[usize::from(words.first == "unknown-peer")];
        let payload = unescape(Words::of(words.rest).rest);
        let text = &self.start_file.text;
        let receiver = text
            .split("\"peer_listen\":\"")
            .nth(1)
            .and_then(|rest| rest.split('"').next());
        sender
            .send_to(
                &payload,
                receiver.expect("the address that peers listen on"),
            )
            .expect("the datagram is sent");
    }
}
