//! Votes: whether this agent asks that the newest build advances, is held at its stage or is rolled back, and when it
//! repeats its vote. The evidence comes from [`super::release_analysis`].
use std::time::Duration;

use super::release_analysis::{ReleaseAnalysis, suggests_regression};
use super::sequential_test::SequentialTest;
use crate::actions::Actions;
use crate::model::{AdvanceRule, Outcome, ReleasePhase, ReleaseStatus, Vote};
use crate::peer_reports::codec;
use crate::state::endpoint_table::EndpointTable;
use crate::state::votes::{CastVote, StageVote};

/// After the release, a test causes a rollback only if the canary's rate exceeds the baseline's by more than this:
/// rolling back a released build costs some time without service.
const MIN_DIFFERENCE_RELEASED: f64 = 0.05;
/// Time from the start of the canary's newest endpoint to the vote to advance: the 3 s that the design asks for, and
/// a margin for a late clock. The waits below are multiples of it.
const ADVANCE_WAIT: Duration = Duration::from_millis(3500);
/// Number of waits before the vote to advance while slow answers or lost capacity suggest a regression.
const WAITS_ON_SUSPECTED_SLOWNESS: u32 = 3;
/// Number of waits while failures suggest a regression: longer, since a good build has no such failures.
const WAITS_ON_SUSPECTED_FAILURES: u32 = 6;
/// An agent that is no aggregator votes to advance this many waits after the aggregators at least, so that it votes
/// only if none of them has.
const BACKUP_VOTE_DELAY_WAITS: f64 = 1.0;
/// The backup votes of all agents are spread at random over this many waits more.
const BACKUP_VOTE_SPREAD_WAITS: f64 = 2.0;
/// Lost share of capacity above which the vote is to roll back, and above half of which a regression is
/// suspected. It must be lost both of the baseline capacity and of the requested work. Guards against builds that slow
/// the endpoints of all builds; short slowdowns stay below it.
const MAX_LOST_SHARE: f64 = 0.35;
/// After the release, capacity must have been lost for longer than this before the vote is to roll back.
const MIN_LOSS_TIME_RELEASED: Duration = Duration::from_secs(15);
/// The endpoint list lags: after this many minimum stage times a stage counts as listed even if its endpoints are not,
/// so that a list that never shows them cannot block the release.
const MAX_LIST_DELAY_STAGE_TIMES: u32 = 6;

/// Where releases advance by the clock, a suspected regression holds a stage for at most this many thirds of the
/// minimum stage time.
const MAX_HOLD_THIRDS: u32 = 4;
/// An accepted vote is repeated after this many fifths of its validity, so that it does not lapse.
const REPEAT_FIFTHS: u32 = 4;

/// What a vote is decided on besides the tests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoteInputs {
    pub(crate) now: Duration,
    pub(crate) status: ReleaseStatus,
    /// Share of capacity that is lost, 1 at most, as [`ReleaseAnalysis::lost_share`] computes it.
    pub(crate) lost_share: f64,
    /// The operator's rules hold the build at its stage. They never prevent a vote to roll back.
    pub(crate) is_held_by_operator: bool,
}

impl ReleaseAnalysis {
    /// Warns peers of a suspected regression and casts the vote that is due. Returns whether there may be more to do
    /// before another event, so that the engine has to wake up again.
    pub(crate) fn warn_and_vote(
        &mut self,
        inputs: VoteInputs,
        endpoints: &EndpointTable,
        actions: &mut dyn Actions,
    ) -> bool {
        let status = inputs.status;
        if inputs.lost_share <= MAX_LOST_SHARE {
            self.voting.loss_last_tolerable_at = inputs.now;
        }
        self.warn_peers(inputs, endpoints, actions);
        let Some(vote) = self.choose_vote(inputs, endpoints) else {
            return status.phase == ReleasePhase::Canary || self.has_more_to_report(status);
        };
        let stage_vote = StageVote {
            build: status.build,
            stage: status.stage,
            vote,
        };
        self.cast_vote(inputs, stage_vote, actions);
        true
    }

    /// Warns all peers if this agent is an aggregator and suspects a regression, at most twice in a minimum stage time,
    /// so that none of them votes to advance a build that the aggregators are about to vote to roll back.
    fn warn_peers(
        &mut self,
        inputs: VoteInputs,
        endpoints: &EndpointTable,
        actions: &mut dyn Actions,
    ) {
        let VoteInputs { now, status, .. } = inputs;
        let minimum_stage_time = self.settings.minimum_stage_time;
        if status.phase != ReleasePhase::Canary || self.build != Some(status.build) {
            return;
        }
        let oldest_endpoints_fail = self.oldest_endpoints_fail(endpoints, status.build);
        if oldest_endpoints_fail {
            self.voting.warned_until = now + minimum_stage_time;
        }
        let is_regression_suspected =
            oldest_endpoints_fail || self.tests.iter().any(suggests_regression);
        if self.fleet_position.can_message_peers
            && is_regression_suspected
            && self.is_aggregator(status.build)
            && now >= self.voting.next_warning_at
        {
            self.voting.next_warning_at = now + minimum_stage_time / 2;
            actions.send_to_peer(None, &codec::write_warning(status.build));
        }
    }

    /// Casts a vote, unless the same one was cast and need not be repeated yet. An accepted vote is repeated before it
    /// lapses, a refused one after a quarter of the call's timeout, an unanswered one after twice that timeout.
    fn cast_vote(&mut self, inputs: VoteInputs, stage_vote: StageVote, actions: &mut dyn Actions) {
        let timing = self.settings.vote_timing;
        let same = self
            .voting
            .last_vote
            .as_ref()
            .filter(|last| last.stage_vote == stage_vote);
        if let Some(last) = same {
            let pause = match last.answer {
                Some(Outcome::Succeeded) => timing.validity * REPEAT_FIFTHS / 5,
                Some(_) => timing.call_timeout / 4,
                None => timing.call_timeout * 2,
            };
            if inputs.now < last.cast_at + pause {
                return;
            }
        } else {
            actions.log(&vote_line(stage_vote, inputs.lost_share, &self.tests));
        }
        self.voting.last_vote = Some(CastVote {
            stage_vote,
            cast_at: inputs.now,
            answer: None,
        });
        actions.vote(stage_vote.build, stage_vote.stage, stage_vote.vote);
    }

    /// Decides which vote this agent would cast now, if any. On a canary: roll back if a regression is proven; where
    /// releases advance by the clock, hold while one is suspected or the operator holds the build; else advance when
    /// [`ReleaseAnalysis::may_advance`] says so. On a released build: roll back or nothing.
    fn choose_vote(&self, inputs: VoteInputs, endpoints: &EndpointTable) -> Option<Vote> {
        let status = inputs.status;
        let is_released = match status.phase {
            ReleasePhase::Canary => false,
            ReleasePhase::Released => true,
            ReleasePhase::RollingBack | ReleasePhase::Withdrawn => return None,
        };
        if self.build != Some(status.build) {
            return None;
        }
        if self.should_roll_back(inputs, is_released) {
            return Some(Vote::RollBack);
        }
        if is_released {
            return None;
        }
        let is_regression_suspected =
            self.tests.iter().any(suggests_regression) || inputs.lost_share > MAX_LOST_SHARE / 2.0;
        if self.settings.advance_rule == AdvanceRule::Timed {
            let max_hold = self.settings.minimum_stage_time * MAX_HOLD_THIRDS / 3;
            let hold_ends = status.since + max_hold;
            let holds_stage =
                inputs.is_held_by_operator || is_regression_suspected && inputs.now < hold_ends;
            return holds_stage.then_some(Vote::Hold);
        }
        self.may_advance(inputs, is_regression_suspected, endpoints)
            .then_some(Vote::Advance)
    }

    /// Whether a test proves a regression at its level, or too much capacity has been lost for too long. After the
    /// release, both take more than before it.
    fn should_roll_back(&self, inputs: VoteInputs, is_released: bool) -> bool {
        let (min_difference, min_loss_time) = if is_released {
            (MIN_DIFFERENCE_RELEASED, MIN_LOSS_TIME_RELEASED)
        } else {
            (0.0, Duration::ZERO)
        };
        let level = self.level_per_test();
        let proves_regression = |test: &SequentialTest| {
            test.p_value() <= level
                && suggests_regression(test)
                && test.difference() > min_difference
        };
        let rollback_test_count = self.rollback_test_count(inputs.status.build);
        self.tests
            .iter()
            .take(rollback_test_count)
            .any(proves_regression)
            || inputs.now > self.voting.loss_last_tolerable_at + min_loss_time
    }

    /// Whether it is time to vote to advance: the stage is listed and has lasted for its minimum time, the operator
    /// does not hold the build, and the wait since the canary's newest endpoint started is over. The aggregators wait
    /// least; the other agents cast backup votes later, spread at random. While a regression is suspected, here or by a
    /// peer that has warned this agent, the wait is longer, most of all for failures, so that more outcomes come in.
    /// Guards against votes to advance a build that another agent is about to vote to roll back.
    fn may_advance(
        &self,
        inputs: VoteInputs,
        is_regression_suspected: bool,
        endpoints: &EndpointTable,
    ) -> bool {
        let VoteInputs { now, status, .. } = inputs;
        let Some(newest_start) = endpoints.catalog.latest_start(status.build) else {
            return false;
        };
        let mut failure_tests = self.tests.iter().rev().skip(1);
        let are_failures_suspected =
            failure_tests.any(suggests_regression) || now < self.voting.warned_until;
        let waits = if are_failures_suspected {
            WAITS_ON_SUSPECTED_FAILURES
        } else if is_regression_suspected {
            WAITS_ON_SUSPECTED_SLOWNESS
        } else {
            1
        };
        let backup_vote_waits = if self.is_aggregator(status.build) {
            0.0
        } else {
            BACKUP_VOTE_DELAY_WAITS + BACKUP_VOTE_SPREAD_WAITS * self.voting.backup_vote_draw
        };
        let due = newest_start + ADVANCE_WAIT * waits + ADVANCE_WAIT.mul_f64(backup_vote_waits);
        self.is_stage_listed(now, status, endpoints)
            && !inputs.is_held_by_operator
            && now >= due
            && now >= status.since + self.settings.minimum_stage_time
    }

    /// Whether as many endpoints as the stage asks for are listed with the build, or the stage has lasted so long that
    /// they no longer matter. The list lags, and a stage must not be judged before its endpoints can take requests.
    fn is_stage_listed(
        &self,
        now: Duration,
        status: ReleaseStatus,
        endpoints: &EndpointTable,
    ) -> bool {
        let stage = usize::from(status.stage.0);
        let stage_share = self.settings.stage_shares.get(stage).copied();
        let canary_count = endpoints.catalog.count_running(status.build);
        let added_count = if self.settings.in_place {
            0
        } else {
            canary_count
        };
        let full_fleet_size = endpoints.catalog.ready_count() - added_count;
        canary_count as f64 + 0.5 >= stage_share.unwrap_or(1.0) * full_fleet_size as f64
            || now >= status.since + self.settings.minimum_stage_time * MAX_LIST_DELAY_STAGE_TIMES
    }
}

/// The log line of a new vote: the vote, the share of capacity that is lost, and for each test the number of the
/// canary's outcomes, the difference of the rates and the p-value.
fn vote_line(stage_vote: StageVote, lost_share: f64, tests: &[SequentialTest]) -> String {
    let StageVote { build, stage, vote } = stage_vote;
    let tests: Vec<String> = tests
        .iter()
        .map(|test| {
            let (outcomes, difference) = (test.canary_outcomes(), test.difference());
            format!("{outcomes:.0}:{difference:+.2} p{:.3}", test.p_value())
        })
        .collect();
    format!(
        "vote_cast vote={} build={} stage={} lost_share={lost_share:.2} tests=\"{}\"",
        vote_name(vote),
        build.0,
        stage.0,
        tests.join(" ")
    )
}

/// The name of a vote in log lines, which is part of their fixed format.
const fn vote_name(vote: Vote) -> &'static str {
    match vote {
        Vote::Retract => "retract",
        Vote::Advance => "advance",
        Vote::Hold => "hold",
        Vote::RollBack => "roll_back",
    }
}
