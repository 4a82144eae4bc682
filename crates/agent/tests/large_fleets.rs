//! The largest fleets that an agent must support, within the smallest memory limit.
mod support;

use std::net::SocketAddr;
use std::rc::Rc;
use std::time::Duration;

use lilacgate_decision::{
    Build, DecisionEngine, ReleasePhase, Request, RequestClass, RequestId, Stage, Tenant,
};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use lilacgate_test_bed::start_file::{EndpointEntry, StartFileTemplate};
use rstest::rstest;

use lilacgate_agent::discovery::{Discovery, ListOrigin};
use lilacgate_agent::event_loop::EventLoop;
use lilacgate_agent::http_response::HttpResponseParser;
use lilacgate_agent::json::Json;
use lilacgate_agent::release_gate::{EventRouter, ReleaseGateHost};
use lilacgate_agent::start_config::{self, StartConfig};
use lilacgate_agent::transport::{ByteLimit, Parse};
use lilacgate_agent::upstream::UpstreamPool;

use crate::support::empty_recorder;

/// The smallest memory that an agent may be given, in megabytes.
const MEMORY_MB: &str = "32";
/// The payload of a network packet, in bytes.
const PACKET: usize = 1400;
const REQUESTS: u32 = 10;

/// A fleet of this size passes through the start file, a list that arrives indented and in pieces, and the decision
/// engine, which makes an attempt for each request.
#[rstest]
fn large_fleets_are_supported(
    #[values(1, 350, 1024)] agents: usize,
    #[values(1, 300, 1024)] endpoints: usize,
) {
    let config = read_start_file(agents, endpoints);
    assert_eq!(config.peers.as_ref().expect("peers").peers.len(), agents);
    let mut engine = lilacgate_start_settings::build_instance(config.seed, &config.settings)
        .expect("a decision engine")
        .engine;
    let event_loop = EventLoop::new(Duration::ZERO);
    let pool = UpstreamPool::new(
        event_loop.clone(),
        &config.settings,
        100,
        ByteLimit::new(config.memory),
    )
    .expect("a pool");
    let max_message = config.memory / 16;
    let discovery = Discovery::new(
        event_loop.clone(),
        pool,
        config.discovery,
        &config.settings,
        max_message,
    )
    .expect("discovery");
    let known = start_config::field(&config.file, "known").expect("a list");
    discovery
        .receive(known, ListOrigin::StartFile)
        .expect("it can be used");
    // The same list again, with another build.
    let lists = receive_list(&entries(endpoints, "2"), max_message);
    discovery
        .receive(&lists[0], ListOrigin::Discovery)
        .expect("it can be used");
    assert_eq!((lists.len(), attempts(&mut engine, &event_loop)), (1, 10));
}

fn entries(endpoints: usize, build: &str) -> String {
    let address = |i: usize| -> SocketAddr {
        format!("127.1.{}.{}:6379", i / 250, 1 + i % 250)
            .parse()
            .expect("an address")
    };
    let one =
        |i| EndpointEntry::new(&format!("{i:08x}"), address(i), "x", "ready", build).to_json();
    (0..endpoints).map(one).collect::<Vec<_>>().join(",")
}

fn read_start_file(agents: usize, endpoints: usize) -> StartConfig {
    let mut start = StartFileTemplate::default();
    let peers: Vec<_> = (0..agents)
        .map(|i| format!("\"127.2.{}.{}:7946\"", i / 250, 1 + i % 250))
        .collect();
    start.text = start
        .text
        .replace("\"PEER_LISTEN\",\"PEER\"", &peers.join(",\n"));
    start.text = start
        .text
        .replace("\"instances\":2", &format!("\"instances\":{agents}"));
    start.set("memory_mb", MEMORY_MB);
    let own = "127.0.0.1:1".to_owned();
    let addresses =
        ["PEER_LISTEN", "LISTEN", "DISCOVERY", "PLATFORM", "PEER"].map(|name| (name, own.clone()));
    let known = [("KNOWN", entries(endpoints, "1"))];
    let text = start.render(&[&addresses[..], &known].concat());
    start_config::read(text.as_bytes()).expect("a start file")
}

/// Parses a full list that arrives in packets, with each field on a line of its own.
fn receive_list(entries: &str, max_message: usize) -> Vec<Json> {
    let list =
        format!("{{\"version\":9,\"full\":true,\"servers\":[{entries}]}}").replace(',', ",\n    ");
    let response = format!(
        "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n{:x}\r\n{list}\n\r\n",
        list.len() + 1
    );
    let (mut parser, mut lists) = (HttpResponseParser::new(max_message), Vec::new());
    for mut packet in response.as_bytes().chunks(PACKET) {
        while !packet.is_empty() {
            let (consumed, list) = parser.take(packet).expect("it can be read");
            lists.extend(list);
            packet = &packet[consumed..];
        }
    }
    lists
}

/// How many attempts the decision engine makes for ten requests, after it has handled all queued events.
fn attempts(engine: &mut DecisionEngine, event_loop: &Rc<EventLoop>) -> usize {
    let mut decided = RecordedActions::default();
    let now = event_loop.clock.now();
    let time_ahead = Duration::from_secs(9);
    let request = Request {
        class: RequestClass(0),
        tenant: Tenant(0),
        idempotency_key: None,
        deadline: now + time_ahead,
        estimated_work: None,
        is_retry: false,
        age: Duration::ZERO,
    };
    engine.round(
        now,
        |module| {
            let (gate_host, recorder) = (&mut ReleaseGateHost::default(), &empty_recorder());
            event_loop.handle_queued_events(&mut EventRouter {
                engine: module,
                gate_host,
                recorder,
                now,
            });
            let (build, stage) = (Build(2), Stage(3));
            module.on_release_status(build, stage, ReleasePhase::Released, 1.0, time_ahead);
            (0..REQUESTS).for_each(|id| module.on_request(RequestId(id), request));
        },
        &mut decided,
    );
    decided.sent.len()
}
