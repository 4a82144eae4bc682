//! Clients that stop half way through a command, write slowly, or send small and invalid commands at full speed, beside usual
//! clients: the agent stays within its memory, and the usual clients get their answers in time.
use std::io::{Read, Write};
use std::net::{Shutdown, SocketAddr, TcpStream};
use std::path::Path;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::thread::{self, JoinHandle};
use std::time::Duration;

use lilacgate_test_bed::check::{CheckLimits, check};
use lilacgate_test_bed::client::Traffic;
use lilacgate_test_bed::endpoint_server::EndpointBehavior;
use lilacgate_test_bed::release_control_plane::{ReleaseState, ignore_votes};
use lilacgate_test_bed::test_bed::TestBed;
use rstest::rstest;

/// The agent's memory limit, in MiB.
const MEMORY_LIMIT: u64 = 32;
/// How long the hostile clients stay.
const HOSTILE_TIME: Duration = Duration::from_secs(4);
/// The usual clients' deadline, and how much later an answer may be without being lost.
const DEADLINE: Duration = Duration::from_millis(1000);
const SLACK: Duration = Duration::from_millis(500);
/// How many hostile clients connect in the cases with many.
const MANY: usize = 300;
/// The length of a large value.
const LARGE: usize = 60_000;
/// How much is written at once by a client that writes slowly, and how long it waits in between.
const SLOW_PART: usize = 200;
const SLOW_PAUSE: Duration = Duration::from_millis(20);
/// How long a client waits between the halves of its command.
const HALF_PAUSE: Duration = Duration::from_millis(500);
/// How often the commands of a client at full speed are repeated in one write.
const FLOOD_REPEATS: usize = 50;

/// What a hostile client does until it is told to stop. An error ends it: the agent may close its connection.
type Behavior = fn(&mut TcpStream, number: usize, stop: &AtomicBool) -> std::io::Result<()>;

fn large_command(number: usize) -> Vec<u8> {
    let body = "x".repeat(LARGE);
    let id = format!("large-{number:08}");
    format!(
        "*5\r\n$10\r\nSVC.SUBMIT\r\n$1\r\nk\r\n${}\r\n{id}\r\n$13\r\nc=book,d=1000\r\n${LARGE}\r\n{body}\r\n",
        id.len()
    )
    .into_bytes()
}

/// A command whose list of names and values is full of short ones.
fn many_fields(number: usize) -> Vec<u8> {
    let fields: Vec<String> = (0..LARGE / 8).map(|field| format!("f{field}=1")).collect();
    let mut fields = fields.join(",");
    fields.truncate(LARGE);
    let id = format!("fields-{number:08}");
    format!(
        "*4\r\n$9\r\nSVC.QUERY\r\n$1\r\nk\r\n${}\r\n{id}\r\n${}\r\n{fields}\r\n",
        id.len(),
        fields.len()
    )
    .into_bytes()
}

fn stop_half_way(client: &mut TcpStream, number: usize, stop: &AtomicBool) -> std::io::Result<()> {
    let command = large_command(number);
    client.write_all(&command[..command.len() / 2])?;
    wait_for_stop(stop);
    Ok(())
}

fn write_slowly(client: &mut TcpStream, number: usize, stop: &AtomicBool) -> std::io::Result<()> {
    for part in large_command(number).chunks(SLOW_PART) {
        if stop.load(Ordering::Relaxed) {
            return Ok(());
        }
        client.write_all(part)?;
        thread::sleep(SLOW_PAUSE);
    }
    Ok(())
}

/// Sends an array of as many short items as there may be, but the last, and stays.
fn send_many_items(client: &mut TcpStream, _: usize, stop: &AtomicBool) -> std::io::Result<()> {
    client.write_all(b"*64\r\n")?;
    client.write_all(&b"$1\r\na\r\n".repeat(63))?;
    wait_for_stop(stop);
    Ok(())
}

fn send_many_fields(
    client: &mut TcpStream,
    number: usize,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let command = many_fields(number);
    // Its first half, then the rest: all clients hold a half at the same time.
    let (half, rest) = command.split_at(command.len() / 2);
    while !stop.load(Ordering::Relaxed) {
        client.write_all(half)?;
        thread::sleep(HALF_PAUSE);
        client.write_all(rest)?;
    }
    Ok(())
}

fn flood_many_fields(
    client: &mut TcpStream,
    number: usize,
    stop: &AtomicBool,
) -> std::io::Result<()> {
    let command = many_fields(number);
    while !stop.load(Ordering::Relaxed) {
        client.write_all(&command)?;
    }
    Ok(())
}

fn flood_invalid(client: &mut TcpStream, _: usize, stop: &AtomicBool) -> std::io::Result<()> {
    let commands = b"*1\r\n$4\r\nPING\r\n*2\r\n$3\r\nGET\r\n$1\r\nk\r\n*1\r\n$1\r\nx\r\n"
        .repeat(FLOOD_REPEATS);
    while !stop.load(Ordering::Relaxed) {
        client.write_all(&commands)?;
    }
    Ok(())
}

/// Requests whose names are ever new: of a class that does not exist, and small ones that are served or rejected.
fn flood_new_names(client: &mut TcpStream, _: usize, stop: &AtomicBool) -> std::io::Result<()> {
    let mut serial = 0_u64;
    while !stop.load(Ordering::Relaxed) {
        let mut commands = String::new();
        for _ in 0..FLOOD_REPEATS {
            serial += 1;
            for (verb, pairs) in [
                ("SVC.QUERY ", format!("c=c{serial:010},d=1000")),
                ("SVC.SUBMIT", format!("c=book,d=1000,n{serial:010}=1")),
            ] {
                let verb = verb.trim();
                commands += &format!(
                    "*4\r\n${}\r\n{verb}\r\n$11\r\nk{serial:010}\r\n$11\r\ni{serial:010}\r\n${}\r\n{pairs}\r\n",
                    verb.len(),
                    pairs.len()
                );
            }
        }
        client.write_all(commands.as_bytes())?;
    }
    Ok(())
}

fn wait_for_stop(stop: &AtomicBool) {
    while !stop.load(Ordering::Relaxed) {
        thread::sleep(SLOW_PAUSE);
    }
}

/// Starts a client that connects again each time the agent ends its connection, and reads and drops all replies.
fn start_hostile(
    agent: SocketAddr,
    behavior: Behavior,
    number: usize,
    stop: Arc<AtomicBool>,
) -> JoinHandle<()> {
    thread::spawn(move || {
        while !stop.load(Ordering::Relaxed) {
            if let Ok(mut client) = TcpStream::connect(agent) {
                let reader = client.try_clone().map(|mut replies| {
                    thread::spawn(move || {
                        let mut bytes = [0; 4096];
                        while replies.read(&mut bytes).is_ok_and(|count| count > 0) {}
                    })
                });
                behavior(&mut client, number, &stop).ok();
                client.shutdown(Shutdown::Both).ok();
                reader.map(|reader| reader.join().ok()).ok();
            }
            thread::sleep(SLOW_PAUSE);
        }
    })
}

/// Guards against clients by hundreds that make the agent exceed its memory, and against one client at full speed that delays
/// the answers to others.
#[rstest]
#[case::stop_half_way(MANY, stop_half_way)]
#[case::write_slowly(MANY, write_slowly)]
#[case::many_items(MANY, send_many_items)]
#[case::many_fields(MANY, send_many_fields)]
#[case::many_fields_at_full_speed(1, flood_many_fields)]
#[case::invalid_at_full_speed(1, flood_invalid)]
#[case::new_names_at_full_speed(1, flood_new_names)]
fn usual_clients_are_served_beside(#[case] count: usize, #[case] behavior: Behavior) {
    let program = Path::new(env!("CARGO_BIN_EXE_lilacgate-agent"));
    let mut bed = TestBed::new(program, 7, ReleaseState::released(1), ignore_votes());
    bed.set_start_field("memory_mb", &MEMORY_LIMIT.to_string());
    for zone in [0, 0, 1, 1] {
        let service_time = Duration::from_millis(5);
        bed.add_endpoint(EndpointBehavior::healthy(1, zone, service_time));
    }
    bed.start_agent(false).expect("the agent serves");
    bed.start_clients(Traffic {
        clients: 8,
        mean_pause: Duration::from_millis(40),
        deadline: DEADLINE,
    });
    let stop = Arc::new(AtomicBool::new(false));
    let hostile: Vec<JoinHandle<()>> = (0..count)
        .map(|number| start_hostile(bed.agent_address(), behavior, number, stop.clone()))
        .collect();
    bed.wait(HOSTILE_TIME);
    let peak = bed.agent_peak_memory().expect("the agent runs");
    stop.store(true, Ordering::Relaxed);
    for client in hostile {
        client.join().expect("the client's thread ends");
    }
    bed.shut_down();
    let limits = CheckLimits {
        answer_slack: SLACK,
        ..CheckLimits::default()
    };
    let report = check(&bed.event_log.events(), &limits);
    println!("peak {peak} KiB, {report:?}");
    assert!(peak < MEMORY_LIMIT << 10, "{peak} KiB");
    assert!(report.succeeded > 200 && report.lost == 0, "{report:?}");
}
