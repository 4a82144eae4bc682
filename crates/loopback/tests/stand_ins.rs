//! The stand-ins by themselves: the membership list's versions, the relay, and what a plan refuses.

use std::net::{Ipv4Addr, SocketAddr, UdpSocket};
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_loopback::fleet::Fleet;
use lilacgate_loopback::interrupt::Interrupt;
use lilacgate_loopback::limits;
use lilacgate_loopback::membership::{Membership, Update, Version};
use lilacgate_loopback::relay::Relay;
use lilacgate_loopback::run::runtime;
use lilacgate_loopback::{LoopbackError, Plan};
use rstest::rstest;
use serde_json::Value;

fn membership(count: usize) -> Membership {
    let address = SocketAddr::from((Ipv4Addr::LOCALHOST, 6379));
    Membership::new(count, &[address], 0.0, 1)
}

fn entries(message: &str) -> Vec<Value> {
    let message: Value = serde_json::from_str(message).expect("JSON");
    message["servers"].as_array().expect("a list").clone()
}

#[rstest]
fn a_watcher_gets_what_it_lacks() {
    let mut list = membership(5);
    let first = list.version();
    assert_eq!(list.since(first), Update::None);
    list.set_draining(2, true);
    list.set_draining(3, true);
    let Update::Changes(present, changes) = list.since(first) else {
        panic!("no changes")
    };
    let states: Vec<Value> = entries(&changes)
        .iter()
        .map(|entry| entry["state"].clone())
        .collect();
    assert_eq!(states, ["draining", "draining"]);
    assert_eq!(list.since(present), Update::None);
}

#[rstest]
#[case::none(0)]
#[case::of_another_server(77)]
fn a_watcher_without_a_known_version_gets_the_whole_list(#[case] version: u64) {
    let list = membership(5);
    let Update::Whole(_, whole) = list.since(Version(version)) else {
        panic!("not whole")
    };
    assert_eq!(entries(&whole).len(), 5);
}

#[rstest]
fn single_changes_come_in_pairs() {
    let mut list = membership(9);
    let before = list.whole().replace("\"version\":1,", "");
    list.change_one();
    assert_eq!(list.whole().matches("draining").count(), 1);
    list.change_one();
    assert_eq!(list.whole().replace("\"version\":3,", ""), before);
}

#[rstest]
fn the_relay_carries_and_counts_datagrams() {
    let runtime = runtime().expect("threads");
    let bind = || UdpSocket::bind((Ipv4Addr::LOCALHOST, 0)).expect("a free port");
    let agents = [bind(), bind(), bind()];
    let addresses: Vec<SocketAddr> = agents
        .iter()
        .map(|agent| agent.local_addr().expect("its own"))
        .collect();
    let relay = runtime
        .block_on(Relay::start(Ipv4Addr::LOCALHOST, addresses.clone()))
        .expect("a relay");
    let peers = relay.peers_of(0, addresses[0]);
    assert_eq!(peers[0], addresses[0]);
    let receive = |agent: usize| {
        agents[agent]
            .set_read_timeout(Some(Duration::from_secs(20)))
            .expect("a time-out");
        let mut datagram = [0; 16];
        let (length, from) = agents[agent].recv_from(&mut datagram).expect("a datagram");
        (datagram[..length].to_vec(), from)
    };
    agents[0].send_to(b"to one", peers[1]).expect("it is sent");
    assert_eq!(
        receive(1),
        (b"to one".to_vec(), relay.peers_of(1, addresses[1])[0])
    );
    agents[2]
        .send_to(b"to all", relay.all())
        .expect("it is sent");
    assert_eq!([receive(0).0, receive(1).0], [b"to all", b"to all"]);
    // A datagram from an unknown sender is not relayed: the next one that arrives is from a peer.
    bind().send_to(b"strange", peers[1]).expect("it is sent");
    agents[0].send_to(b"again", peers[1]).expect("it is sent");
    assert_eq!(receive(1).0, b"again");
    let counts = relay.traffic().counts();
    assert_eq!((counts.messages_in, counts.bytes_in), (3, 17));
    assert_eq!(relay.counts_to_each()[1].messages_out, 3);
}

fn plan(change: fn(&mut Plan)) -> Plan {
    let mut plan = Plan::new(PathBuf::from("unused"), 2, 10);
    change(&mut plan);
    plan
}

#[rstest]
#[case::no_agents(|plan: &mut Plan| plan.agents = 0, "agents is 0")]
#[case::too_many_agents(|plan: &mut Plan| plan.agents = 101, "agents is 101")]
#[case::nothing_listed(|plan: &mut Plan| plan.listed_appliances = 0, "listed_appliances is 0")]
#[case::too_long_a_list(|plan: &mut Plan| plan.listed_appliances = 20_001, "listed_appliances is 20001")]
#[case::negative_rate(|plan: &mut Plan| plan.request_rates = vec![0.0, -1.0], "request_rates is -1")]
#[case::no_number(|plan: &mut Plan| plan.change_rate = f64::NAN, "change_rate is NaN")]
#[case::more_than_all_on_trial(|plan: &mut Plan| plan.trial_share = 1.1, "trial_share is 1.1")]
#[case::no_window(|plan: &mut Plan| plan.window = Duration::ZERO, "window is 0ns")]
#[case::empty_pieces(|plan: &mut Plan| plan.delivery.piece = Some(0), "delivery.piece is 0")]
#[case::too_many_descriptors(|plan: &mut Plan| plan.sockets = 1 << 40, "file descriptors")]
fn what_cannot_be_run_is_refused(#[case] change: fn(&mut Plan), #[case] expected: &str) {
    let fleet = runtime()
        .expect("threads")
        .block_on(Fleet::new(plan(change), Interrupt::never()));
    let refused = fleet
        .map(drop)
        .map_err(|error: LoopbackError| error.to_string())
        .expect_err("no fleet");
    assert!(refused.contains(expected), "{refused}");
}

#[rstest]
#[case::all_have_their_own(20_000, 7_400)]
#[case::some_share(8_000, 7_136)]
fn listeners_are_as_many_as_descriptors_allow(#[case] descriptors: u64, #[case] listeners: usize) {
    let mut plan = Plan::new(PathBuf::from("unused"), 2, 7_400);
    plan.listeners = 7_400;
    plan.sockets = 768;
    let found = limits::listeners(&plan, descriptors).expect("they suffice");
    assert_eq!(found, listeners);
    let connections = 2 * (768 / 2);
    assert!(found as u64 + connections < descriptors);
}

#[rstest]
fn the_agents_may_hold_half_of_the_memory() {
    assert!(limits::check_memory(500, 1_000).is_ok());
    let refused = limits::check_memory(12_000_000_000, 23_000_000_000).expect_err("more than half");
    assert!(
        refused
            .to_string()
            .contains("12000 MB, more than half of the machine's 23000 MB"),
        "{refused}"
    );
}
