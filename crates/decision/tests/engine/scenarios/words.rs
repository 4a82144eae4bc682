//! Parses the arguments of scenario steps.
use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Cell, ClassPolicy, DeduplicationScope, Endpoint, EndpointId,
    EndpointStatus, Idempotency, ListUpdate, MachineModel, Outcome, ReleasePhase, RequestId, Zone,
};

pub(super) fn number<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|error| panic!("expected a number, got {text:?}: {error:?}"))
}

pub(super) fn milliseconds(text: &str) -> Duration {
    Duration::from_millis(number(text))
}

/// Parses `ID/ATTEMPT`.
pub(super) fn attempt(text: &str) -> (RequestId, AttemptNumber) {
    let (request, attempt) = text.split_once('/').expect("an attempt is ID/ATTEMPT");
    (RequestId(number(request)), AttemptNumber(number(attempt)))
}

pub(super) fn outcome(text: &str) -> Outcome {
    match text {
        "succeeded" => Outcome::Succeeded,
        "failed" => Outcome::Failed,
        "rejected" => Outcome::Rejected,
        "timed-out" => Outcome::TimedOut,
        "connect-failed" => Outcome::ConnectFailed,
        "cancelled" => Outcome::Cancelled,
        "connection-lost" => Outcome::ConnectionLost,
        "malformed" => Outcome::Malformed,
        other => panic!("unknown outcome {other:?}"),
    }
}

pub(super) fn list_update(text: &str) -> ListUpdate {
    match text {
        "full" => ListUpdate::Full,
        "delta" => ListUpdate::Delta,
        "cached" => ListUpdate::Cached,
        "failed" => ListUpdate::Failed,
        other => panic!("unknown list update {other:?}, expected full, delta, cached or failed"),
    }
}

pub(super) fn release_phase(text: &str) -> ReleasePhase {
    match text {
        "canary" => ReleasePhase::Canary,
        "rolling-back" => ReleasePhase::RollingBack,
        "released" => ReleasePhase::Released,
        "withdrawn" => ReleasePhase::Withdrawn,
        other => panic!(
            "unknown release phase {other:?}, expected canary, rolling-back, released or withdrawn"
        ),
    }
}

/// Parses `KIND OBJECTIVE [SCOPE WINDOW]`; the deadline is four times the latency objective.
pub(super) fn class(arguments: &[&str]) -> ClassPolicy {
    let [kind, objective, scope @ ..] = arguments else {
        panic!("expected class KIND OBJECTIVE [SCOPE WINDOW], got {arguments:?}");
    };
    let idempotency = match (*kind, scope) {
        ("keyed", ["all", ..]) => Idempotency::Keyed(DeduplicationScope::All),
        ("keyed", ["zone", ..]) => Idempotency::Keyed(DeduplicationScope::Zone),
        ("non-idempotent", []) => Idempotency::NonIdempotent,
        ("idempotent", []) => Idempotency::Idempotent,
        _ => panic!("unknown kind of class {kind:?} with the scope and window {scope:?}"),
    };
    let latency_objective = milliseconds(objective);
    ClassPolicy {
        idempotency,
        latency_objective,
        deadline: latency_objective * 4,
        deduplication_window: scope
            .get(1)
            .map_or(Duration::ZERO, |window| milliseconds(window)),
        priority_weight: 1.0,
        late_weight_share: 0.0,
    }
}

/// Parses `ID:STATUS:BUILD[:AGE[:ZONE]]`.
pub(super) fn endpoint(entry: &str, now: Duration) -> Endpoint {
    let parts: Vec<&str> = entry.split(':').collect();
    let [id, status, build, optional @ ..] = parts.as_slice() else {
        panic!("expected ID:STATUS:BUILD[:AGE[:ZONE]], got {entry:?}");
    };
    let status = match *status {
        "ready" => EndpointStatus::Ready,
        "draining" => EndpointStatus::Draining,
        "removed" => EndpointStatus::Removed,
        other => {
            panic!("unknown endpoint status {other:?}, expected ready, draining or removed")
        }
    };
    let age = optional.first().filter(|age| !age.is_empty());
    Endpoint {
        id: EndpointId(number(id)),
        status,
        machine_model: MachineModel(0),
        weight: 1.0,
        started: age.map(|age| now.saturating_sub(milliseconds(age))),
        build: Build(number(build)),
        cell: Cell(0),
        zone: Zone(optional.get(1).map_or(0, |zone| number(zone))),
    }
}

/// Parses `BUILD SEQUENCE IN-TIME/BASELINE/REQUESTED [ID:CLASS:COUNT:BAD ..]` and encodes it as a report. The id `-`
/// stands for all endpoints of earlier builds.
pub(super) fn report(build: &str, sequence: &str, sums: &str, entries: &[&str]) -> Vec<u8> {
    let mut payload = number::<u16>(build).to_be_bytes().to_vec();
    payload.extend([0, 0, 0, 1]);
    payload.extend(number::<u32>(sequence).to_be_bytes());
    for sum in sums.split('/') {
        payload.extend(number::<u16>(sum).to_be_bytes());
    }
    for entry in entries {
        let mut parts = entry.split(':');
        let id = match parts.next() {
            Some("-") | None => u32::MAX,
            Some(id) => number(id),
        };
        payload.extend(id.to_be_bytes());
        payload.extend(parts.map(number::<u8>));
        payload.extend([0, 0]);
    }
    payload
}
