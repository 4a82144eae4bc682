//! Tests the upstream pool against a scripted listener: how attempts and health checks end.
mod support;
#[path = "support/upstream.rs"]
mod upstream_support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::time::Duration;

use lilacgate_agent::event_loop::EventLoop;
use lilacgate_agent::outbound::{AttemptId, OutgoingAttempt, Upstream};
use lilacgate_agent::upstream::UpstreamPool;
use lilacgate_decision::{AttemptNumber, EndpointId, Outcome, RequestId};
use rstest::rstest;

use crate::upstream_support::{
    ENDPOINT, REQUEST, RecordingHandler, TIMEOUT, hello, pool_with_endpoint,
};

const SUCCESS: &[u8] = b"*3\r\n$5\r\nvalue\r\n$-1\r\n$-1\r\n";
const OTHER_SUCCESS: &[u8] = b"*3\r\n$5\r\nother\r\n$-1\r\n$-1\r\n";
const INFO: &[u8] = b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n";
const REPORT: &[u8] = b"$10\r\nlat_ms=3.5\r\n";
/// Longer than a connection rests between two exchanges.
const REST: Duration = Duration::from_millis(300);

/// Sends an attempt whose encoded request is [`REQUEST`].
fn send_hello(event_loop: &EventLoop, pool: Rc<UpstreamPool>, endpoint: EndpointId) {
    let attempt = hello(event_loop.clock.now());
    pool.send_attempt(OutgoingAttempt {
        endpoint,
        ..attempt
    });
}

/// An attempt that had to wait for its connection is sent only if the decision engine still wants it; otherwise it ends
/// as not sent, and no byte is written. An attempt for which the agent has no connection left, or whose endpoint has no
/// address, ends as not sent too, because this is no failure of the endpoint.
#[rstest]
#[case::still_wanted(true, 9, 1, Outcome::Rejected)]
#[case::no_longer_wanted(false, 9, 1, Outcome::NotSent)]
#[case::no_connection_left(true, 0, 1, Outcome::NotSent)]
#[case::no_address(true, 9, 2, Outcome::NotSent)]
fn attempt_on_a_new_connection_is_confirmed_first(
    #[case] may_send: bool,
    #[case] max_connections: usize,
    #[case] endpoint: u32,
    #[case] expected: Outcome,
) {
    let (event_loop, pool, listener) = pool_with_endpoint(max_connections);
    let received = std::thread::spawn(move || {
        let mut connection = listener.accept().expect("a connection").0;
        let mut bytes = [0; 4];
        let count = connection.read(&mut bytes).unwrap_or(0);
        connection.write_all(b"-BUSY\r\n").ok();
        count
    });
    send_hello(&event_loop, pool.clone(), EndpointId(endpoint));
    let mut handler = RecordingHandler {
        may_send,
        ..RecordingHandler::default()
    };
    assert_eq!(handler.wait_for_outcome(&event_loop), Some(expected));
    if max_connections > 0 && EndpointId(endpoint) == ENDPOINT {
        drop((event_loop, pool));
        assert_eq!(
            received.join().expect("the endpoint's thread ends") > 0,
            may_send
        );
    }
}

/// An attempt whose answer is cut off at any byte may have run, so it never ends as not sent. A complete answer counts
/// even if its connection is closed or reset at the same instant.
#[rstest]
#[case::succeeded("*3\r\n$5\r\nvalue\r\n$-1\r\n$3\r\nu=1\r\n", Outcome::Succeeded)]
#[case::failed("-ERR failed util=0.5\r\n", Outcome::Failed)]
#[case::rejected("-BUSY\r\n", Outcome::Rejected)]
fn an_answer_cut_at_each_byte(
    #[case] answer: &'static str,
    #[case] complete: Outcome,
    #[values(false, true)] reset: bool,
) {
    for cut in 0..=answer.len() {
        let (event_loop, pool, listener) = pool_with_endpoint(9);
        std::thread::spawn(move || {
            let mut connection = listener.accept().expect("a connection").0;
            // Closing a socket with an unread byte resets the connection.
            connection
                .read_exact(&mut [0; 5][usize::from(reset)..])
                .expect("the command");
            connection
                .write_all(&answer.as_bytes()[..cut])
                .expect("the answer is written");
        });
        send_hello(&event_loop, pool, ENDPOINT);
        let mut handler = RecordingHandler::confirming();
        let expected = if cut == answer.len() {
            complete
        } else {
            Outcome::ConnectionLost
        };
        let outcome = handler.wait_for_outcome(&event_loop);
        assert_eq!(outcome, Some(expected), "cut at {cut}");
    }
}

/// A health check ends with the right outcome, and the decision engine gets the fields of the load report in its own
/// order, without any other fields that the report has.
#[rstest]
#[case::report("$28\r\nutil=0.61,queue=2,lat_ms=3.5\r\n", Outcome::Succeeded, &[3.5, 0.61])]
#[case::no_report("$-1\r\n", Outcome::Succeeded, &[])]
#[case::unreadable_field("$9\r\nlat_ms=??\r\n", Outcome::Succeeded, &[])]
#[case::error("-NOPERM\r\n", Outcome::Failed, &[])]
#[case::malformed("*x\r\n", Outcome::Malformed, &[])]
#[case::wrong_type(":3\r\n", Outcome::Malformed, &[])]
fn health_check_outcomes(
    #[case] answer: &'static str,
    #[case] expected: Outcome,
    #[case] loads: &[f32],
) {
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    std::thread::spawn(move || {
        let mut connection = listener.accept().expect("a connection").0;
        let mut command = [0; 24];
        connection.read_exact(&mut command).expect("a command");
        assert_eq!(&command, b"*2\r\n$4\r\nINFO\r\n$4\r\nload\r\n");
        connection.write_all(answer.as_bytes()).ok();
        connection.read_to_end(&mut Vec::new()).ok();
    });
    pool.clone().check_health(ENDPOINT);
    let mut handler = RecordingHandler::default();
    assert_eq!(handler.wait_for_outcome(&event_loop), Some(expected));
    let reported = handler
        .loads
        .iter()
        .map(|(endpoint, loads)| (*endpoint, loads.as_slice()))
        .collect::<Vec<_>>();
    let expected = if loads.is_empty() {
        vec![]
    } else {
        vec![(ENDPOINT, loads)]
    };
    assert_eq!(reported, expected);
}

/// Guards against serving the value of an earlier request whose answer came once more, without its end: the request's own
/// answer would pass for the load report.
#[test]
fn an_answer_within_an_answer_is_malformed() {
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    std::thread::spawn(move || {
        let mut connection = listener.accept().expect("a connection").0;
        connection.read_exact(&mut [0; 5]).expect("the command");
        connection
            .write_all(b"*3\r\n$7\r\nearlier\r\n$-1\r\n")
            .expect("the first part");
        connection.write_all(SUCCESS).expect("the answer");
        connection.read_to_end(&mut Vec::new()).ok();
    });
    send_hello(&event_loop, pool, ENDPOINT);
    let mut handler = RecordingHandler::confirming();
    let outcome = handler.wait_for_outcome(&event_loop);
    assert_eq!(outcome, Some(Outcome::Malformed));
}

/// Serves one connection: replies to each of these commands in turn, and to the last one with the reply before first.
fn serve_late_copy(listener: &TcpListener, exchanges: [(&'static [u8], &'static [u8]); 2]) {
    let mut connection = listener.accept().expect("a connection").0;
    let mut earlier_reply: &[u8] = b"";
    for (command, reply) in exchanges {
        let mut received = vec![0; command.len()];
        connection.read_exact(&mut received).expect("a command");
        assert_eq!(received, command);
        connection.write_all(earlier_reply).expect("the late copy");
        connection.write_all(reply).expect("the reply");
        earlier_reply = reply;
    }
    connection.read_to_end(&mut Vec::new()).ok();
}

/// Guards against health checks and requests that fail by a late copy of the other's reply on the connection that they
/// share: an answer is no load report, and a load report no answer.
#[rstest]
#[case::answer_before_a_load_report([(&REQUEST[..], SUCCESS), (INFO, REPORT)])]
#[case::load_report_before_an_answer([(INFO, REPORT), (&REQUEST[..], SUCCESS)])]
fn late_copies_of_another_kind(#[case] exchanges: [(&'static [u8], &'static [u8]); 2]) {
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    std::thread::spawn(move || serve_late_copy(&listener, exchanges));
    for (command, _) in exchanges {
        if command == INFO {
            pool.clone().check_health(ENDPOINT);
        } else {
            send_hello(&event_loop, pool.clone(), ENDPOINT);
        }
        let mut handler = RecordingHandler::confirming();
        let outcome = handler.wait_for_outcome(&event_loop);
        assert_eq!(outcome, Some(Outcome::Succeeded));
        std::thread::sleep(REST);
    }
}

/// The command that the agent writes behind a request whose reply may belong to an earlier one.
const SELECT: &[u8; 23] = b"*2\r\n$6\r\nSELECT\r\n$1\r\n0\r\n";
/// The exchanges after which the kernel of a connection begins to delay acknowledgements.
const EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGEMENTS: usize = 24;

/// Serves connections with the kernel's default socket options: each command is answered as failed, but the one before
/// the last as rejected, and twice, in two writes. SELECT is answered with +OK. The second one is held back by Nagle's algorithm.
fn serve_one_answer_twice(listener: &TcpListener) {
    let answered = Arc::new(AtomicUsize::new(0));
    for mut connection in listener.incoming().flatten() {
        let answered = answered.clone();
        std::thread::spawn(move || {
            let mut request = [0; REQUEST.len()];
            while connection.read_exact(&mut request).is_ok() {
                if request != *REQUEST {
                    let mut rest = [0; SELECT.len() - REQUEST.len()];
                    connection.read_exact(&mut rest).expect("SELECT");
                    assert_eq!([&request[..], &rest].concat(), SELECT);
                    connection.write_all(b"+OK\r\n").ok();
                    continue;
                }
                let answer: &[u8] = match answered.fetch_add(1, Ordering::Relaxed) {
                    EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGEMENTS => {
                        connection.write_all(b"-BUSY\r\n").ok();
                        b"-BUSY\r\n"
                    }
                    _ => b"-ERR failed\r\n",
                };
                connection.write_all(answer).ok();
            }
        });
    }
}

/// Guards against taking a second copy of an answer, which the endpoint's kernel holds back until the first one is
/// acknowledged, for the answer to the next request: that a once-only request has not run would be proved by a foreign
/// answer. The next request comes later than the answer slack, and sooner than a delayed acknowledgement.
#[test]
fn second_answer_held_back_until_an_acknowledgement() {
    const PAUSE: Duration = Duration::from_millis(25);
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    std::thread::spawn(move || serve_one_answer_twice(&listener));
    let mut outcomes = Vec::new();
    for _ in 0..EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGEMENTS + 2 {
        send_hello(&event_loop, pool.clone(), ENDPOINT);
        let mut handler = RecordingHandler::confirming();
        outcomes.extend(handler.wait_for_outcome(&event_loop));
        std::thread::sleep(PAUSE);
    }
    let mut expected = [Outcome::Failed; EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGEMENTS + 2];
    expected[EXCHANGES_BEFORE_DELAYED_ACKNOWLEDGEMENTS] = Outcome::Rejected;
    assert_eq!(outcomes, expected);
}

/// Serves one connection: answers the first request, and returns what comes behind it.
fn read_behind_first_request(listener: &TcpListener) -> Vec<u8> {
    let mut connection = listener.accept().expect("a connection").0;
    connection.read_exact(&mut [0; 5]).expect("the command");
    connection.write_all(SUCCESS).expect("the answer");
    let mut behind = [0; REQUEST.len()];
    let count = connection.read(&mut behind).unwrap_or(0);
    connection.write_all(OTHER_SUCCESS).ok();
    connection.read_to_end(&mut Vec::new()).ok();
    behind[..count].to_vec()
}

/// An agent was held up between its decision and the write, on a connection that is open already.
#[rstest]
#[case::repeat_after_its_window(0, Some(0), TIMEOUT, true, Outcome::NotSent)]
#[case::after_its_deadline(0, None, Duration::ZERO, true, Outcome::NotSent)]
#[case::client_or_endpoint_gone_meanwhile(140, None, TIMEOUT, false, Outcome::NotSent)]
#[case::still_wanted(140, None, TIMEOUT, true, Outcome::Succeeded)]
#[case::repeat_in_time(0, Some(2900), TIMEOUT, true, Outcome::Succeeded)]
#[case::repeat_at_the_end_of_its_window(0, Some(90), TIMEOUT, true, Outcome::Succeeded)]
fn an_attempt_is_written_only_while_it_may_be(
    #[case] decided_ago_ms: u64,
    #[case] window_left_ms: Option<u64>,
    #[case] timeout: Duration,
    #[case] may_send: bool,
    #[case] expected: Outcome,
) {
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    let received = std::thread::spawn(move || read_behind_first_request(&listener));
    let mut handler = RecordingHandler::confirming();
    send_hello(&event_loop, pool.clone(), ENDPOINT);
    let outcome = handler.wait_for_outcome(&event_loop);
    assert_eq!(outcome, Some(Outcome::Succeeded));
    std::thread::sleep(REST);
    let now = event_loop.clock.now();
    pool.clone().send_attempt(OutgoingAttempt {
        started: now - Duration::from_millis(decided_ago_ms),
        deadline: now + timeout,
        send_by: window_left_ms.map(|left| now + Duration::from_millis(left)),
        ..hello(now)
    });
    let mut handler = RecordingHandler {
        may_send,
        ..RecordingHandler::default()
    };
    assert_eq!(handler.wait_for_outcome(&event_loop), Some(expected));
    drop((event_loop, pool));
    let is_written = !received
        .join()
        .expect("the endpoint's thread ends")
        .is_empty();
    assert_eq!(is_written, expected == Outcome::Succeeded);
}

/// Guards against a request whose last bytes come long after its first ones, which tell how much time its client has
/// left: an endpoint that is slow to read would be told too much.
#[test]
fn a_request_that_is_read_slowly_is_not_written_to_its_end() {
    // Larger than the buffers of both sockets.
    const BYTES: usize = 96 << 20;
    const STALL: Duration = Duration::from_millis(250);
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    let received = std::thread::spawn(move || {
        let mut connection = listener.accept().expect("a connection").0;
        std::thread::sleep(STALL);
        let mut bytes = Vec::new();
        connection.read_to_end(&mut bytes).ok();
        bytes.len()
    });
    let now = event_loop.clock.now();
    pool.clone().send_attempt(OutgoingAttempt {
        encoded_request: Rc::new(|_| vec![b'x'; BYTES]),
        deadline: now + Duration::from_secs(2),
        ..hello(now)
    });
    let mut handler = RecordingHandler::confirming();
    let outcome = handler.wait_for_outcome(&event_loop);
    assert_eq!(outcome, Some(Outcome::NotSent));
    drop((event_loop, pool));
    assert!(received.join().expect("the endpoint's thread ends") < BYTES);
}

/// Repeats near the end of their window wait for each other's writes, and are written.
#[test]
fn repeats_at_the_end_of_their_window_are_written_one_by_one() {
    const REPEATS: u32 = 10;
    let (event_loop, pool, listener) = pool_with_endpoint(usize::MAX);
    std::thread::spawn(move || {
        for mut connection in listener.incoming().flatten() {
            std::thread::spawn(move || {
                connection.read_exact(&mut [0; 5]).expect("the command");
                connection.write_all(SUCCESS).expect("the answer");
                connection.read_to_end(&mut Vec::new()).ok();
            });
        }
    });
    let now = event_loop.clock.now();
    for request in 0..REPEATS {
        pool.clone().send_attempt(OutgoingAttempt {
            id: AttemptId {
                request: RequestId(request),
                number: AttemptNumber(1),
            },
            send_by: Some(now + Duration::from_millis(90)),
            ..hello(now)
        });
    }
    let mut handler = RecordingHandler::confirming();
    while handler.outcomes.len() < REPEATS as usize {
        handler.outcome = None;
        handler.wait_for_outcome(&event_loop);
    }
    let expected = [Outcome::Succeeded; REPEATS as usize];
    assert_eq!(handler.outcomes, expected);
}
