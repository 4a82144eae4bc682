//! Tests that a request which the kernel has taken, but the endpoint has not got, does not run after its attempt has ended.
mod support;
#[path = "support/upstream.rs"]
mod upstream_support;

use std::io::{Read, Write};
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::Timer;
use lilacgate_agent::event_loop::EventLoop;
use lilacgate_agent::outbound::{OutgoingAttempt, Upstream};
use lilacgate_agent::transport::Notifier;
use lilacgate_agent::upstream::UpstreamPool;
use lilacgate_decision::Outcome;
use rstest::rstest;

use crate::upstream_support::{ATTEMPT, RecordingHandler, hello, pool_with_endpoint};

/// More than an endpoint's kernel takes while nobody reads, and less than the agent's kernel takes.
const REQUEST_BYTES: usize = 1 << 20;
/// When an attempt is given up: its request has been written, and no other limit has passed.
const GIVE_UP_AFTER: Duration = Duration::from_millis(80);
/// When an attempt times out that nothing else ends.
const TIMEOUT: Duration = Duration::from_secs(1);
/// How long before the end of its window a repeat has to be delivered.
const LATE_WRITE_MARGIN: Duration = Duration::from_millis(100);
/// How often a test is repeated when the machine was too busy to write the whole request in time.
const TRIES: usize = 5;

/// An endpoint that stands still until it is told to go on, and then reads all that it gets.
struct PausedEndpoint {
    resume: Sender<()>,
    reader: JoinHandle<usize>,
}

impl PausedEndpoint {
    /// Starts an endpoint that writes `early_reply` before it has read anything.
    fn start(listener: TcpListener, early_reply: &'static [u8]) -> Self {
        let (resume, resumed): (Sender<()>, Receiver<()>) = channel();
        let reader = std::thread::spawn(move || {
            let mut connection = listener.accept().expect("a connection").0;
            connection.write_all(early_reply).expect("an early reply");
            resumed.recv().expect("the test tells it to go on");
            let mut bytes = Vec::new();
            connection.read_to_end(&mut bytes).ok();
            bytes.len()
        });
        PausedEndpoint { resume, reader }
    }

    /// Lets the endpoint go on, and returns how many bytes it gets until its connection ends.
    fn bytes_after_pause(self) -> usize {
        self.resume.send(()).expect("the endpoint still waits");
        self.reader.join().expect("the endpoint's thread ends")
    }
}

fn large_attempt(now: Duration) -> OutgoingAttempt {
    OutgoingAttempt {
        encoded_request: Rc::new(|_| vec![b'x'; REQUEST_BYTES]),
        deadline: now + TIMEOUT,
        ..hello(now)
    }
}

/// How an attempt ends before its endpoint has got the request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    TimedOut,
    Cancelled,
    ShutDown,
    /// The client has left, or the request has been answered.
    RequestOver,
    /// The deduplication window of a repeat will soon be over.
    WindowOver,
    /// Nothing but that the endpoint would be told more time than is left.
    TimeTold,
    /// The endpoint replies before it has got the request.
    EarlyReply,
}

impl End {
    fn outcome(self) -> Outcome {
        match self {
            End::TimedOut | End::ShutDown => Outcome::TimedOut,
            End::Cancelled => Outcome::Cancelled,
            End::RequestOver | End::WindowOver => Outcome::NotSent,
            End::TimeTold => Outcome::ConnectFailed,
            End::EarlyReply => Outcome::Rejected,
        }
    }

    fn early_reply(self) -> &'static [u8] {
        match self {
            End::EarlyReply => b"-BUSY\r\n",
            _ => b"",
        }
    }
}

/// Sends a large request to an endpoint that stands still and ends its attempt. Returns the outcome, and how many bytes the
/// endpoint gets once it goes on.
fn end_undelivered(end: End) -> (Option<Outcome>, usize) {
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    let endpoint = PausedEndpoint::start(listener, end.early_reply());
    let mut attempt = large_attempt(event_loop.clock.now());
    let give_up_at = event_loop.clock.now() + GIVE_UP_AFTER;
    match end {
        End::TimedOut => attempt.deadline = give_up_at,
        End::Cancelled => cancel_later(&event_loop, pool.clone()),
        End::ShutDown => event_loop.shut_down_by(give_up_at),
        End::RequestOver => notify_later(&event_loop, attempt.request_over.clone()),
        End::WindowOver => attempt.send_by = Some(give_up_at + LATE_WRITE_MARGIN),
        End::TimeTold | End::EarlyReply => {}
    }
    pool.clone().send_attempt(attempt);
    let outcome = RecordingHandler::confirming().wait_for_outcome(&event_loop);
    drop((event_loop, pool));
    (outcome, endpoint.bytes_after_pause())
}

fn cancel_later(event_loop: &EventLoop, pool: Rc<UpstreamPool>) {
    event_loop.spawn(async move {
        Timer::after(GIVE_UP_AFTER).await;
        pool.cancel(ATTEMPT);
    });
}

fn notify_later(event_loop: &EventLoop, request_over: Rc<Notifier>) {
    event_loop.spawn(async move {
        Timer::after(GIVE_UP_AFTER).await;
        request_over.notify();
    });
}

/// Guards against a duplicate: what the kernel held of a request that was given up went out when the endpoint, or the
/// network to it, came back, however late that was.
#[rstest]
fn a_request_that_was_given_up_is_not_delivered_later(
    #[values(End::TimedOut, End::Cancelled, End::ShutDown)] end: End,
) {
    check_end(end);
}

/// Guards against a request that runs after its client has left, and against a repeat that runs after its window: nobody
/// looked again once the socket had taken the last byte. The time left that it tells would be wrong, too.
#[rstest]
fn a_request_is_delivered_only_while_it_may_run(
    #[values(End::RequestOver, End::WindowOver, End::TimeTold)] end: End,
) {
    check_end(end);
}

/// Guards against a request that runs after its endpoint has rejected it: its connection went back to the pool with the rest
/// of the request still in the kernel.
#[test]
fn a_request_that_was_answered_early_is_not_delivered_later() {
    check_end(End::EarlyReply);
}

/// Ends an attempt whose request the endpoint has not got. The endpoint never gets it whole.
fn check_end(end: End) {
    for _ in 0..TRIES {
        let (outcome, received) = end_undelivered(end);
        assert!(received < REQUEST_BYTES, "{end:?}: the request came whole");
        // On a busy machine the request may not have been written whole; then nothing was tested.
        if outcome == Some(end.outcome()) {
            return;
        }
    }
    panic!("{end:?}: no attempt ended as expected");
}

/// A request that the endpoint's machine has got is not given up when its client leaves: its outcome tells about the endpoint,
/// and its connection is used again.
#[test]
fn a_delivered_request_goes_on_without_its_client() {
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    let attempt = hello(event_loop.clock.now());
    let request_over = attempt.request_over.clone();
    pool.clone().send_attempt(attempt);
    let endpoint = std::thread::spawn(move || {
        let mut connection = listener.accept().expect("a connection").0;
        connection.read_exact(&mut [0; 5]).expect("the command");
        // Longer than the time that an endpoint's machine has for its acknowledgement.
        std::thread::sleep(GIVE_UP_AFTER * 3);
        connection.write_all(b"-BUSY\r\n").expect("the answer");
        connection.read_to_end(&mut Vec::new()).ok();
    });
    notify_later(&event_loop, request_over);
    let outcome = RecordingHandler::confirming().wait_for_outcome(&event_loop);
    assert_eq!(outcome, Some(Outcome::Rejected));
    drop((event_loop, pool));
    endpoint.join().expect("the endpoint's thread ends");
}
