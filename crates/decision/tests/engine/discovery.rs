//! How a fleet of agents requests the endpoint list from a service of limited capacity: each agent must get it soon
//! enough, and not all agents may request it at once.
use std::time::Duration;

use lilacgate_decision::{DecisionEngine, EventHandler, ListUpdate};
use lilacgate_test_bed::recorded_actions::RecordedActions;
use rstest::rstest;

use crate::support::{EPOCH, agent_settings};

const REQUEST_WITHIN: Duration = Duration::from_secs(10);
const STEP: Duration = Duration::from_millis(20);
/// A change of the list counts as received by an agent this long after the service has it and can be reached. From then
/// on, the agent has to know it.
const CHANGE_COUNTS_AFTER: Duration = Duration::from_secs(6);

/// An agent that gets the endpoint list only on request.
pub(crate) fn engine(agent: u32, agent_count: u32, seed: u64) -> DecisionEngine {
    let mut settings = agent_settings(agent, agent_count, seed);
    settings.discovery.request_within = Some(REQUEST_WITHIN);
    DecisionEngine::new(settings)
}

struct Call {
    agent: usize,
    made_at: Duration,
    done_at: Duration,
}

/// A list service of fixed capacity. It serves calls in turn, including those whose callers have given up, and a call
/// fails once it has waited for [`ListService::CALL_TIMEOUT`].
struct ListService {
    time_per_call: Duration,
    /// When all calls so far are served.
    free_at: Duration,
    /// Calls that have not been answered.
    calls: Vec<Call>,
}

struct Answer {
    agent: usize,
    has_list: bool,
}

impl ListService {
    const CALL_TIMEOUT: Duration = Duration::from_secs(2);

    fn call(&mut self, agent: usize, now: Duration) {
        self.free_at = self.free_at.max(now) + self.time_per_call;
        self.calls.push(Call {
            agent,
            made_at: now,
            done_at: self.free_at,
        });
    }

    fn answers(&mut self, now: Duration) -> Vec<Answer> {
        let due = self.calls.extract_if(.., |call| {
            now >= call.done_at || now >= call.made_at + Self::CALL_TIMEOUT
        });
        due.map(|call| Answer {
            agent: call.agent,
            has_list: call.done_at < call.made_at + Self::CALL_TIMEOUT,
        })
        .collect()
    }
}

/// Plays a round in which an update of the list may come. Returns whether the agent requests the list in it.
fn requests_list(engine: &mut DecisionEngine, now: Duration, update: Option<ListUpdate>) -> bool {
    let mut decided = RecordedActions::default();
    let events = |events: &mut dyn EventHandler| {
        if let Some(update) = update {
            events.on_endpoints(update, &mut std::iter::empty());
        }
    };
    engine.round(now, events, &mut decided);
    decided.watching_endpoints
}

/// The result of agents that start together.
struct Start {
    /// Time until the last agent had the list.
    took: Duration,
    failed_calls: usize,
}

/// Starts a fleet of agents at once, and lets them request the list until each has it.
fn start_together(agent_count: u32, time_per_call: Duration, seed: u64) -> Start {
    let mut now = EPOCH;
    let mut fleet: Vec<_> = (0..agent_count)
        .map(|agent| engine(agent, agent_count, seed))
        .collect();
    let mut service = ListService {
        time_per_call,
        free_at: now,
        calls: Vec::new(),
    };
    let mut updates = vec![Some(ListUpdate::Cached); fleet.len()];
    let mut without_list = fleet.len();
    let mut failed_calls = 0;
    while without_list > 0 && now < EPOCH + REQUEST_WITHIN * 6 {
        for (agent, engine) in fleet.iter_mut().enumerate() {
            if requests_list(engine, now, updates[agent].take()) {
                service.call(agent, now);
            }
        }
        now += STEP;
        for answer in service.answers(now) {
            if answer.has_list {
                updates[answer.agent] = Some(ListUpdate::Full);
                without_list -= 1;
            } else {
                updates[answer.agent] = Some(ListUpdate::Failed);
                failed_calls += 1;
            }
        }
    }
    Start {
        took: now - EPOCH,
        failed_calls,
    }
}

/// The service takes eight seconds to serve one call of each agent, in fleets of twenty or more. Every agent must have
/// the list within twice the time allowed for requesting it, and no more calls may fail than there are agents. Guards
/// against waves of calls that fail together again and again.
#[rstest]
fn agents_that_start_together_all_get_the_list(
    #[values(1, 3, 10, 30, 100, 200)] agents: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let time_per_call = Duration::from_secs(8) / agents.max(20);
    let start = start_together(agents, time_per_call, seed);
    assert!(
        start.took <= REQUEST_WITHIN * 2,
        "{agents} agents: the last one had the list after {:?}",
        start.took
    );
    assert!(
        start.failed_calls <= agents as usize,
        "{agents} agents: {} calls failed",
        start.failed_calls
    );
}

/// The time from the break of an agent's watch until it requests the list again.
fn pause_after_broken_watch(agent: u32, agent_count: u32, seed: u64) -> Duration {
    let mut engine = engine(agent, agent_count, seed);
    requests_list(&mut engine, EPOCH, Some(ListUpdate::Cached));
    requests_list(&mut engine, EPOCH + REQUEST_WITHIN, Some(ListUpdate::Full));
    let broke_at = EPOCH + REQUEST_WITHIN * 3;
    let (mut now, mut update) = (broke_at, Some(ListUpdate::Failed));
    while !requests_list(&mut engine, now, update.take()) {
        now += STEP;
        assert!(
            now <= broke_at + REQUEST_WITHIN / 5 + STEP,
            "agent {agent} of {agent_count} has not requested the list"
        );
    }
    now - broke_at
}

/// The watches of all agents stop at once. A change that they miss counts as received 6 s later, and it takes 2.5 s to
/// notice the stop. So each agent must request the list again within 2 s, and not all of them at once.
#[rstest]
fn a_broken_watch_is_requested_again_in_time(
    #[values(1, 3, 10, 100, 350)] agents: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let pauses: Vec<_> = (0..agents)
        .map(|agent| pause_after_broken_watch(agent, agents, seed))
        .collect();
    let most_at_once = (0..=100)
        .map(|i| pauses.iter().filter(|pause| **pause == STEP * i).count())
        .max()
        .unwrap_or(0);
    assert!(
        most_at_once <= 3 + pauses.len() / 20,
        "{most_at_once} of {agents} agents requested the list at once"
    );
}

#[rstest]
fn a_few_agents_hardly_wait_for_each_other(
    #[values(1, 2, 3, 4, 5)] agents: u32,
    #[values(1, 2, 3)] seed: u64,
) {
    let start = start_together(agents, Duration::from_millis(20), seed);
    assert!(
        start.took <= REQUEST_WITHIN / 7 && start.failed_calls == 0,
        "the last agent had the list after {:?}, and {} calls failed",
        start.took,
        start.failed_calls
    );
}

/// However many calls have failed, the pause before an agent's next call must be so short that the answer, which may
/// take the whole timeout of the call, comes before a change counts as received: the service may have come back right
/// after the last failure.
#[rstest]
fn an_agent_requests_the_list_again_before_a_change_counts_as_received() {
    let mut longest_pause = Duration::ZERO;
    for seed in 0..20 {
        let mut now = EPOCH;
        let (mut engine, mut failures, mut waiting_since) = (engine(3, 30, seed), 0, now);
        requests_list(&mut engine, now, Some(ListUpdate::Cached));
        while failures < 8 {
            now += STEP;
            if requests_list(&mut engine, now, None) {
                longest_pause = longest_pause.max(now - waiting_since);
                failures += 1;
                waiting_since = now;
                requests_list(&mut engine, now, Some(ListUpdate::Failed));
            }
        }
    }
    assert!(
        longest_pause + ListService::CALL_TIMEOUT <= CHANGE_COUNTS_AFTER,
        "an agent made no call for {longest_pause:?}"
    );
}
