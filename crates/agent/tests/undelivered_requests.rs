//! Tests that a request which the kernel has taken, but the endpoint has not got, does not run after its attempt has ended.
mod support;
#[path = "support/upstream.rs"]
mod upstream_support;

use std::io::Read;
use std::net::TcpListener;
use std::rc::Rc;
use std::sync::mpsc::{Receiver, Sender, channel};
use std::thread::JoinHandle;
use std::time::Duration;

use async_io::Timer;
use lilacgate_agent::event_loop::EventLoop;
use lilacgate_agent::outbound::{OutgoingAttempt, Upstream};
use lilacgate_agent::upstream::UpstreamPool;
use lilacgate_decision::Outcome;
use rstest::rstest;

use crate::upstream_support::{ATTEMPT, RecordingHandler, hello, pool_with_endpoint};

/// More than an endpoint's kernel takes while nobody reads, and less than the agent's kernel takes.
const REQUEST_BYTES: usize = 1 << 20;
/// When an attempt is given up: its request has been written, and no other limit has passed.
const GIVE_UP_AFTER: Duration = Duration::from_millis(80);
/// How often a test is repeated when the machine was too busy to write the whole request in time.
const TRIES: usize = 20;

/// An endpoint that stands still until it is told to go on, and then reads all that it gets.
struct PausedEndpoint {
    resume: Sender<()>,
    reader: JoinHandle<usize>,
}

impl PausedEndpoint {
    fn start(listener: TcpListener) -> Self {
        let (resume, resumed): (Sender<()>, Receiver<()>) = channel();
        let reader = std::thread::spawn(move || {
            let mut connection = listener.accept().expect("a connection").0;
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
        ..hello(now)
    }
}

/// How an attempt ends before its endpoint has got the request.
#[derive(Clone, Copy, Debug, PartialEq)]
enum End {
    TimedOut,
    Cancelled,
    ShutDown,
}

/// Sends a large request to an endpoint that stands still and ends its attempt. Returns the outcome, and how many bytes the
/// endpoint gets once it goes on.
fn end_undelivered(end: End) -> (Option<Outcome>, usize) {
    let (event_loop, pool, listener) = pool_with_endpoint(9);
    let endpoint = PausedEndpoint::start(listener);
    let mut attempt = large_attempt(event_loop.clock.now());
    let give_up_at = event_loop.clock.now() + GIVE_UP_AFTER;
    match end {
        End::TimedOut => attempt.deadline = give_up_at,
        End::Cancelled => cancel_later(&event_loop, pool.clone()),
        End::ShutDown => event_loop.shut_down_by(give_up_at),
    }
    pool.clone().send_attempt(attempt);
    let outcome = RecordingHandler::confirming().wait_for_outcome(&event_loop);
    (outcome, endpoint.bytes_after_pause())
}

fn cancel_later(event_loop: &EventLoop, pool: Rc<UpstreamPool>) {
    event_loop.spawn(async move {
        Timer::after(GIVE_UP_AFTER).await;
        pool.cancel(ATTEMPT);
    });
}

/// Guards against a duplicate: what the kernel held of a request that was given up went out when the endpoint, or the
/// network to it, came back, however late that was.
#[rstest]
fn a_request_that_was_given_up_is_not_delivered_later(
    #[values(End::TimedOut, End::Cancelled, End::ShutDown)] end: End,
) {
    for _ in 0..TRIES {
        let (outcome, received) = end_undelivered(end);
        assert!(received < REQUEST_BYTES, "{end:?}: the request came whole");
        // On a busy machine the request may not have been written whole; then nothing was tested.
        if matches!(outcome, Some(Outcome::TimedOut | Outcome::Cancelled)) {
            return;
        }
    }
    panic!("no request was written whole within {GIVE_UP_AFTER:?}");
}
