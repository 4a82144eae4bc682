//! Runs agents as processes against the simulated servers of the loopback measurement: the counts match what the agents
//! are sent, and the agents accept lists of thousands of endpoints, in pieces of any size.
use std::io::{self, Write};
use std::net::SocketAddr;
use std::path::{Path, PathBuf};
use std::time::Duration;

use lilacgate_agent::http_response::HttpResponseParser;
use lilacgate_agent::json::{Json, JsonParser};
use lilacgate_agent::transport::Parse;
use lilacgate_capacity::Sample;
use lilacgate_loopback::fleet::Fleet;
use lilacgate_loopback::interrupt::{Interrupt, Trigger};
use lilacgate_loopback::membership::Membership;
use lilacgate_loopback::plan::Delivery;
use lilacgate_loopback::run::{measure, runtime};
use lilacgate_loopback::{LoopbackError, Plan, run};
use rstest::rstest;

/// The bytes of a chunk besides its line and size: the line feed of the line, and the CRLF after the size and after the
/// chunk.
const CHUNK_ENDS: usize = 5;

fn plan(agents: usize, listed: usize) -> Plan {
    let mut plan = Plan::new(
        PathBuf::from(env!("CARGO_BIN_EXE_lilacgate-agent")),
        agents,
        listed,
    );
    plan.window = Duration::from_secs(1);
    plan.warm_up = Duration::from_millis(200);
    plan
}

fn chunk_length(line: usize) -> u64 {
    (format!("{:x}", line + 1).len() + line + CHUNK_ENDS) as u64
}

fn is_running(process_id: u32) -> bool {
    Path::new(&format!("/proc/{process_id}")).exists()
}

fn samples(output: &[u8]) -> Vec<Sample> {
    let text = std::str::from_utf8(output).expect("text");
    text.lines()
        .map(|line| serde_json::from_str(line).expect("a sample"))
        .collect()
}

#[rstest]
fn counts_match_what_two_agents_are_sent() {
    let mut plan = plan(2, 50);
    plan.request_rates = vec![0.0, 40.0];
    plan.restart = true;
    let mut output = Vec::new();
    let summary = run(&plan, &mut output).expect("a whole run");
    let list = chunk_length(summary.startup.list_bytes);
    for startup in [
        &summary.startup,
        summary.restart.as_ref().expect("a restart"),
    ] {
        assert_eq!(startup.ready.len(), 2);
        assert_eq!(
            (
                startup.control.lists.messages_out,
                startup.control.lists.bytes_out
            ),
            (2, 2 * list)
        );
    }
    let [idle, busy] = &summary.windows[..] else {
        panic!("two windows")
    };
    for window in [idle, busy] {
        assert_eq!(
            (
                window.control.lists.bytes_out,
                window.control.changes.bytes_out
            ),
            (0, 0)
        );
        assert!(window.processor.iter().all(|time| *time > Duration::ZERO));
        assert!(window.at_end.iter().all(|usage| usage.resident > 0));
    }
    assert_eq!(idle.requests.served, 0);
    assert!(busy.requests.served > 0);
    let requests = &busy.requests;
    assert_eq!(
        (requests.refused, requests.lost, requests.closed),
        (0, 0, 0)
    );
    let samples = samples(&output);
    assert_eq!(samples.len(), summary.samples);
    assert!(samples.iter().all(|sample| sample.complete));
}

#[rstest]
#[case::in_pieces(Delivery { piece: Some(16), ..Delivery::default() }, 1)]
#[case::broken_off(Delivery { first_list_cut_at: Some(500_000), ..Delivery::default() }, 1)]
#[case::twice(Delivery { is_doubled: true, ..Delivery::default() }, 2)]
fn a_list_of_thousands_is_accepted(#[case] delivery: Delivery, #[case] lists: u64) {
    let mut plan = plan(1, 7_400);
    plan.delivery = delivery;
    let mut output = Vec::new();
    let summary = run(&plan, &mut output).expect("a whole run");
    let control = summary.startup.control.lists;
    // The second copy may still be in transit when the agent is ready.
    assert!(
        (1..=lists).contains(&control.messages_out),
        "{} lists",
        control.messages_out
    );
    let later = summary.windows[0].control.lists.messages_out;
    assert!(
        control.messages_out + later <= lists,
        "the list was requested again"
    );
}

/// How a list is parsed does not depend on how its bytes are split; here each byte arrives on its own.
#[rstest]
fn a_list_of_thousands_is_parsed_byte_by_byte() {
    let address = SocketAddr::from(([127, 0, 0, 1], 6379));
    let line = Membership::new(7_400, &[address], 0.0, 1).whole();
    let head = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n";
    let text = format!("{head}{:x}\r\n{line}\n\r\n", line.len() + 1);
    let mut answer = HttpResponseParser::new(text.len());
    let read = |byte: &u8| {
        answer
            .take(std::slice::from_ref(byte))
            .expect("it can be read")
            .1
    };
    let lists: Vec<Json> = text.as_bytes().iter().filter_map(read).collect();
    assert_eq!(lists, [JsonParser::parse(line.as_bytes()).expect("JSON")]);
    assert_eq!(
        lists[0]
            .get("servers")
            .and_then(Json::as_array)
            .map(<[Json]>::len),
        Some(7_400)
    );
}

/// One message of ten thousand changes, some of them duplicates, drains all endpoints except those of the first
/// listener.
#[rstest]
fn ten_thousand_changes_in_one_message_are_applied() {
    runtime().expect("threads").block_on(async {
        let mut fleet = Fleet::new(plan(1, 9_000), Interrupt::never())
            .await
            .expect("stand-ins");
        fleet.start().await.expect("an agent");
        let listeners = fleet.appliances().len();
        let before = fleet.control();
        fleet.discovery().change(|list| {
            let drained = (0..9_000).filter(|index| index % listeners != 0).cycle();
            drained
                .take(10_000)
                .for_each(|index| list.set_draining(index, true));
        });
        let drained_requests = |fleet: &Fleet| -> u64 {
            fleet.appliances()[1..]
                .iter()
                .map(|appliance| appliance.requests())
                .sum()
        };
        // The drained endpoints get requests until the changes are in force, and none afterwards.
        let mut is_in_force = false;
        for _ in 0..10 {
            let before_window = drained_requests(&fleet);
            let window = fleet.measure(50.0).await.expect("a window");
            is_in_force = drained_requests(&fleet) == before_window && window.requests.served > 0;
            if is_in_force {
                break;
            }
        }
        assert!(is_in_force, "drained appliances get requests");
        let control = fleet.control().since(&before);
        assert_eq!(
            (control.changes.messages_out, control.lists.messages_out),
            (1, 0)
        );
    });
}

#[rstest]
fn an_agent_that_ends_fails_the_run_and_ends_the_others() {
    runtime().expect("threads").block_on(async {
        let mut fleet = Fleet::new(plan(2, 10), Interrupt::never())
            .await
            .expect("stand-ins");
        fleet.start().await.expect("agents");
        let ids = fleet.process_ids();
        let kill = std::process::Command::new("kill")
            .args(["-KILL", &ids[1].to_string()])
            .status();
        assert!(kill.expect("kill runs").success());
        let error = fleet.measure(0.0).await.expect_err("an agent has ended");
        assert!(
            matches!(error, LoopbackError::Ended { agent: 1, .. }),
            "{error}"
        );
        drop(fleet);
        assert!(!ids.into_iter().any(is_running));
    });
}

/// Keeps the output of a run, and interrupts the run at the first write.
struct InterruptingOutput {
    text: Vec<u8>,
    trigger: Trigger,
}

impl Write for InterruptingOutput {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        self.trigger.set();
        self.text.write(bytes)
    }

    fn flush(&mut self) -> io::Result<()> {
        Ok(())
    }
}

#[rstest]
fn an_interrupted_run_keeps_its_samples_and_marks_them() {
    let (trigger, interrupt) = Interrupt::by_trigger();
    let mut plan = plan(1, 10);
    plan.request_rates = vec![0.0, 0.0];
    plan.window = Duration::from_secs(600);
    plan.restart = true;
    let mut output = InterruptingOutput {
        text: Vec::new(),
        trigger,
    };
    let measured = runtime()
        .expect("threads")
        .block_on(measure(&plan, &mut output, interrupt));
    let summary = measured.expect("a part of a run");
    assert!(summary.interrupted && summary.restart.is_none());
    assert_eq!(summary.windows.len(), 1);
    let samples = samples(&output.text);
    let complete: Vec<bool> = samples.iter().map(|sample| sample.complete).collect();
    assert_eq!(complete, [true, true, false, false, false]);
}
