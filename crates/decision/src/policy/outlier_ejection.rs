//! Outlier ejection: endpoints that fail, break connections or fall silent get no requests for some time.
use std::time::Duration;

use crate::actions::{Diagnostic, EjectionReason};
use crate::model::{EndpointId, Outcome};
use crate::state::endpoint_record::{EndpointHealth, EndpointRecord};
use crate::state::endpoint_table::{EndpointTable, PeerFailures};

/// The first ejection lasts this long, each further one in a row twice as long.
const MIN_EJECTION_TIME: Duration = Duration::from_secs(1);
/// No ejection lasts longer.
pub(crate) const MAX_EJECTION_TIME: Duration = Duration::from_secs(8);
/// An endpoint is ejected whose failure share exceeds the mean of its build's others by so much.
const EXCESS_FAILURE_SHARE: f64 = 0.3;
/// The same after a malformed answer, which says less about the endpoint.
const EXCESS_FAILURE_SHARE_MALFORMED: f64 = 0.6;
/// An endpoint is silent if its attempts have waited for so many times the median time of a request.
const SILENCE_MULTIPLE: f64 = 6.0;

/// Whether an ejected endpoint gets no request; at times it is tried with a single one.
pub(crate) fn is_excluded(record: &EndpointRecord, now: Duration, is_panic: bool) -> bool {
    record.is_ejected()
        && !is_panic
        && (now < record.health.ejected_until || !record.outstanding.is_empty())
}

/// Whether most endpoints are ejected: then the fault is not theirs, and ejections mean nothing, unless a
/// subset found others.
pub(crate) fn is_panic(endpoints: &EndpointTable, subset_is_sufficient: bool) -> bool {
    let ejected = endpoints
        .ready()
        .filter(|record| record.is_ejected())
        .count();
    2 * ejected > endpoints.ready().count() && !subset_is_sufficient
}

/// Ejects an endpoint, unless it is not even to be tried yet.
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

/// Ejects endpoints that are silent: several attempts wait far longer than usual, and there was no response
/// since the oldest. Guards against machines that vanished, froze or were cut off, long before the list shows
/// it. `max_silence` is in seconds. What waited while the agent itself stood
/// still, until `resumed_at`, does not count.
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

/// How long an endpoint may be silent, in seconds.
pub(crate) fn max_silence(median_pace: f64, mean_work: f64) -> f64 {
    SILENCE_MULTIPLE * median_pace * mean_work
}

/// Readmits an endpoint that has served a request after its ejection.
pub(crate) fn readmit(record: &mut EndpointRecord, now: Duration) -> Option<Diagnostic> {
    if !record.is_ejected() || now < record.health.ejected_until {
        return None;
    }
    record.health.ejection_time = Duration::ZERO;
    Some(Diagnostic::Readmitted(record.id()))
}

/// Ejects an endpoint that breaks connections, or fails far more than others of its build. A build as a whole is
/// never ejected: its failures are the evidence of the release analysis.
pub(crate) fn eject_outlier(
    record: &mut EndpointRecord,
    now: Duration,
    outcome: Outcome,
    peers: PeerFailures,
) -> Option<Diagnostic> {
    let excess = if outcome == Outcome::Malformed {
        EXCESS_FAILURE_SHARE_MALFORMED
    } else {
        EXCESS_FAILURE_SHARE
    };
    let failure_share = record.health.failure_share(now);
    let fails_more = peers.peer_count > 0.0
        && failure_share > peers.failure_share_sum / peers.peer_count + excess;
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
