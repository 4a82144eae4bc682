//! Votes: whether the newest build advances, is held or is rolled back, and when a vote is repeated.
use std::time::Duration;

use super::release_analysis::{ReleaseAnalysis, suggests_regression};
use super::sequential_test::SequentialTest;
use crate::actions::Actions;
use crate::model::{AdvanceRule, Outcome, ReleasePhase, ReleaseStatus, Vote};
use crate::peer_reports::codec;
use crate::state::endpoint_table::EndpointTable;
use crate::state::votes::{CastVote, StageVote};

/// After the release, rolling back costs some time without service: it is not worth it for a lower difference of
/// failure rates.
const MIN_DIFFERENCE_RELEASED: f64 = 0.05;
/// From the start of the canary's newest endpoint to the vote to advance: the design's 3 s, and some for a late
/// clock.
const ADVANCE_WAIT: Duration = Duration::from_millis(3500);
/// So many waits in doubt over pace or capacity.
const WAITS_ON_SUSPECTED_SLOWNESS: u32 = 3;
/// So many in doubt over failures, which a good build does not have.
const WAITS_ON_SUSPECTED_FAILURES: u32 = 6;
/// Stand-ins for the aggregators vote so many waits later at least, spread over [`BACKUP_VOTE_SPREAD_WAITS`] more.
const BACKUP_VOTE_DELAY_WAITS: f64 = 1.0;
const BACKUP_VOTE_SPREAD_WAITS: f64 = 2.0;
/// Share both of the baseline's and of the requested work that must be lost to convict a build that slows old
/// and new alike; half of it holds the advance. Short slowdowns pass.
const MAX_LOST_SHARE: f64 = 0.35;
/// After the release, capacity must have been lost for this long to convict.
const MIN_LOSS_TIME_RELEASED: Duration = Duration::from_secs(15);
/// The list shows endpoints late: a stage whose endpoints it does not show has begun after so many minimum stage
/// times at the latest.
const MAX_LIST_DELAY_STAGE_TIMES: u32 = 6;

/// Under a clock, doubt holds a stage for so many thirds of the minimum stage time at most.
const MAX_HOLD_THIRDS: u32 = 4;
/// An accepted vote is repeated after so many fifths of its validity, so that it does not lapse.
const REPEAT_FIFTHS: u32 = 4;

/// What a vote is decided on besides the tests.
#[derive(Clone, Copy, Debug)]
pub(crate) struct VoteInputs {
    pub(crate) now: Duration,
    pub(crate) status: ReleaseStatus,
    /// Share of capacity that is lost.
    pub(crate) lost_share: f64,
    /// The operator's rules hold the build at its stage; a rollback is never held up.
    pub(crate) is_held_by_operator: bool,
}

impl ReleaseAnalysis {
    /// Warns peers and votes; returns whether there may be more to do before another event.
    pub(crate) fn warn_and_vote(
        &mut self,
        inputs: VoteInputs,
        endpoints: &EndpointTable,
        actions: &mut dyn Actions,
    ) -> bool {
        let status = inputs.status;
        if inputs.lost_share <= MAX_LOST_SHARE {
            self.voting.last_tolerable_loss = inputs.now;
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

    /// An aggregator that is in doubt warns all peers, so that none votes to advance what it is about to convict.
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

    /// Casts a vote, unless the same one was cast and is not to be repeated yet.
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
            || inputs.now > self.voting.last_tolerable_loss + min_loss_time
    }

    /// Whether it is time to vote to advance. The aggregators vote first; others stand in, spread at random, if
    /// none of them does. In doubt, an agent and those that it warned wait for more outcomes, longer over
    /// failures. Guards against agents that vote to advance what another is about to convict.
    fn may_advance(
        &self,
        inputs: VoteInputs,
        is_regression_suspected: bool,
        endpoints: &EndpointTable,
    ) -> bool {
        let VoteInputs { now, status, .. } = inputs;
        let Some(newest) = endpoints.catalog.latest_start(status.build) else {
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
        let due = newest + ADVANCE_WAIT * waits + ADVANCE_WAIT.mul_f64(backup_vote_waits);
        self.is_stage_listed(now, status, endpoints)
            && !inputs.is_held_by_operator
            && now >= due
            && now >= status.since + self.settings.minimum_stage_time
    }

    /// Whether the list shows the endpoints of a stage. It runs late: until then the stage has not begun to wait.
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

/// The log line of a new vote: what it asks, the share of capacity lost, and of each test the canary's outcomes,
/// the difference and the p-value.
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

/// The name of a vote in log lines.
const fn vote_name(vote: Vote) -> &'static str {
    match vote {
        Vote::Retract => "retract",
        Vote::Advance => "advance",
        Vote::Hold => "hold",
        Vote::RollBack => "roll_back",
    }
}
