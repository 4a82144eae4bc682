//! Outlier ejection: endpoints that fail far more than others, break connections or stop answering get no requests
//! for some time.
use std::time::Duration;

use crate::actions::{Diagnostic, EjectionReason};
use crate::model::{EndpointId, Outcome};
use crate::state::endpoint_record::{EndpointHealth, EndpointRecord};
use crate::state::endpoint_table::{EndpointTable, SameBuildFailures};

/// The first ejection of an endpoint lasts this long, each further one in a row twice as long as the one before.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
/// No ejection lasts longer than this.
pub(crate) const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// An endpoint is ejected if its failure share exceeds the mean of the other endpoints of its build by more than this.
const EXCESS_FAILURE_SHARE: f64 = 0.3;
/// The same limit after a malformed answer, which is weaker evidence against the endpoint.
const EXCESS_FAILURE_SHARE_MALFORMED: f64 = 0.6;
/// An endpoint is silent if its attempts have waited for this many times the median time of a request.
const SILENCE_MULTIPLE: f64 = 6.0;

/// Whether an endpoint must get no request now because of its ejection. Once its ejection time is over, it is tried
/// with a single request at a time until one is served. In panic mode ejections are ignored.
pub(crate) fn is_excluded(record: &EndpointRecord, now: Duration, is_panic: bool) -> bool {
    record.is_ejected()
        && !is_panic
        && (now < record.health.ejected_until || !record.outstanding.is_empty())
}

/// Whether the agent is in panic mode: more than half of the endpoints that it works with are ejected, so that the
/// fault is hardly theirs and ejections are ignored. Never while the subset is sufficient: then it holds
/// enough other endpoints that can serve.
pub(crate) fn is_panic(endpoints: &EndpointTable, subset_is_sufficient: bool) -> bool {
    let ejected = endpoints
        .ready_records()
        .filter(|record| record.is_ejected())
        .count();
    2 * ejected > endpoints.ready_records().count() && !subset_is_sufficient
}

/// Ejects an endpoint, for twice as long as the last time if it is still ejected. Does nothing, and returns `None`,
/// while an earlier ejection lasts.
fn eject(
    health: &mut EndpointHealth,
    now: Duration,
    endpoint: EndpointId,
    reason: EjectionReason,
) -> Option<Diagnostic> {
    if now < health.ejected_until {
        return None;
    }
    let doubled = health.ejection_time * 2;
    health.ejection_time = doubled.clamp(MIN_EJECTION_TIME, MAX_EJECTION_TIME);
    health.ejected_until = now + health.ejection_time;
    Some(Diagnostic::Ejected {
        endpoint,
        reason,
        until: health.ejected_until,
    })
}

/// Ejects endpoints that are silent: several attempts are outstanding, the oldest for longer than `max_silence`
/// seconds, and there was no response since it was sent. Guards against machines that vanished, froze or were cut off,
/// long before the endpoint list shows it. Time in which the agent itself was stalled, until `resumed_at`, does not
/// count.
pub(crate) fn eject_silent(
    endpoints: &mut EndpointTable,
    now: Duration,
    max_silence: f64,
    resumed_at: Duration,
    diagnostics: &mut Vec<Diagnostic>,
) {
    for (&id, record) in &mut endpoints.records {
        let silence = record
            .unanswered_since()
            .map(|since| now.saturating_sub(since.max(resumed_at)).as_secs_f64());
        if silence.is_some_and(|silence| silence > max_silence) {
            diagnostics.extend(eject(
                &mut record.health,
                now,
                id,
                EjectionReason::Unresponsive,
            ));
        }
    }
}

/// How long an endpoint may be silent before it is ejected, in seconds.
pub(crate) fn max_silence(median_latency_ratio: f64, mean_work: f64) -> f64 {
    SILENCE_MULTIPLE * median_latency_ratio * mean_work
}

/// Readmits an endpoint that has served a request, if its ejection time is over.
pub(crate) fn readmit(record: &mut EndpointRecord, now: Duration) -> Option<Diagnostic> {
    if !record.is_ejected() || now < record.health.ejected_until {
        return None;
    }
    record.health.ejection_time = Duration::ZERO;
    Some(Diagnostic::Readmitted(record.id()))
}

/// Ejects an endpoint after an attempt has ended if it fails far more than the others of its build, or if the
/// connection could not be opened or broke. Failure shares are compared within a build, so that a build is not ejected
/// as a whole: its failures are the evidence of the release analysis. `same_build` covers the other endpoints of the
/// build.
pub(crate) fn eject_outlier(
    record: &mut EndpointRecord,
    now: Duration,
    outcome: Outcome,
    same_build: SameBuildFailures,
) -> Option<Diagnostic> {
    let excess = if outcome == Outcome::Malformed {
        EXCESS_FAILURE_SHARE_MALFORMED
    } else {
        EXCESS_FAILURE_SHARE
    };
    let failure_share = record.health.failure_share(now);
    let fails_more = same_build.endpoint_count > 0.0
        && failure_share > same_build.failure_share_sum / same_build.endpoint_count + excess;
    let lost_connection = matches!(outcome, Outcome::ConnectFailed | Outcome::ConnectionLost);
    let reason = if fails_more {
        EjectionReason::FailureRate
    } else if lost_connection {
        EjectionReason::ConnectionFailure
    } else {
        return None;
    };
    let endpoint = record.id();
    eject(&mut record.health, now, endpoint, reason)
}
