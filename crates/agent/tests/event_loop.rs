//! Tests the event loop: times beyond the range of its clock, and tasks that panic.
use std::cell::RefCell;
use std::rc::Rc;
use std::time::Duration;

use futures_lite::future::{self, FutureExt};
use lilacgate_agent::event_loop::EventLoop;
use lilacgate_agent::unanswered::FinalAnswer;
use lilacgate_decision::{Request, RequestClass, Tenant};
use rstest::rstest;

/// Guards against an agent that serves nobody after it was told a time beyond the range of its clock: the wait for it
/// panicked.
#[rstest]
#[case::largest(Duration::MAX)]
#[case::one_below_the_largest(Duration::MAX - Duration::from_nanos(1))]
#[case::largest_of_an_instant(Duration::from_secs(i64::MAX as u64))]
#[case::largest_of_a_timer_in_nanoseconds(Duration::from_nanos(u64::MAX))]
#[case::largest_of_a_setting(Duration::from_micros(u64::MAX))]
#[case::end_of_the_calendar(Duration::from_secs(253_402_207_200))]
fn a_time_that_the_clock_never_reaches_is_waited_for(#[case] time: Duration) {
    let event_loop = EventLoop::new(Duration::ZERO);
    let clock = event_loop.clock;
    let is_over = async {
        clock.sleep_until(time).await;
        true
    };
    let later = async {
        clock
            .sleep_until(clock.now() + Duration::from_millis(20))
            .await;
        false
    };
    assert!(!async_io::block_on(is_over.or(later)));
}

/// A time that has passed is not waited for, even the first that the clock can express.
#[test]
fn a_time_that_has_passed_is_not_waited_for() {
    let clock = EventLoop::new(Duration::ZERO).clock;
    async_io::block_on(clock.sleep_until(Duration::ZERO));
    async_io::block_on(clock.sleep_until(clock.now()));
}

/// Guards against a process that answers PING and serves nobody: a task that panicked was dropped without a word.
#[test]
fn a_task_that_panics_ends_the_loop_and_fails_the_requests() {
    let event_loop = EventLoop::new(Duration::ZERO);
    let answers: Rc<RefCell<Vec<FinalAnswer>>> = Rc::default();
    let received = answers.clone();
    let request = Request {
        class: RequestClass(0),
        tenant: Tenant(0),
        idempotency_key: None,
        deadline: event_loop.clock.now() + Duration::from_secs(9),
        estimated_work: None,
        is_retry: false,
        age: Duration::ZERO,
    };
    event_loop.accept_request(request, Rc::new(|_| Vec::new()), move |answer| {
        received.borrow_mut().push(answer);
    });
    event_loop.spawn(async {
        future::yield_now().await;
        panic!("a fault of the program");
    });
    let result = async_io::block_on(event_loop.run(future::pending::<()>()));
    assert!(result.is_err());
    assert!(matches!(answers.borrow().as_slice(), [FinalAnswer::Failed]));
}
