//! What the words of a scenario mean.
use std::fmt::Debug;
use std::str::FromStr;
use std::time::Duration;

use lilacgate_decision::{
    AttemptNumber, Build, Cell, ClassPolicy, DeduplicationScope, Endpoint, EndpointId,
    EndpointStatus, Idempotency, ListUpdate, MachineModel, Outcome, ReleasePhase, RequestId, Zone,
};

pub(super) fn number<T: FromStr<Err: Debug>>(text: &str) -> T {
    text.parse()
        .unwrap_or_else(|error| panic!("no number {text}: {error:?}"))
}

pub(super) fn milliseconds(text: &str) -> Duration {
    Duration::from_millis(number(text))
}

/// Reads `ID/ATTEMPT`.
pub(super) fn attempt(text: &str) -> (RequestId, AttemptNumber) {
    let (request, attempt) = text.split_once('/').expect("ID/ATTEMPT");
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
        other => panic!("no outcome {other}"),
    }
}

pub(super) fn list_update(text: &str) -> ListUpdate {
    match text {
        "full" => ListUpdate::Full,
        "delta" => ListUpdate::Delta,
        "cached" => ListUpdate::Cached,
        "failed" => ListUpdate::Failed,
        other => panic!("no list update {other}"),
    }
}

pub(super) fn release_phase(text: &str) -> ReleasePhase {
    match text {
        "canary" => ReleasePhase::Canary,
        "rolling-back" => ReleasePhase::RollingBack,
        "released" => ReleasePhase::Released,
        "withdrawn" => ReleasePhase::Withdrawn,
        other => panic!("no release phase {other}"),
    }
}

/// Reads `KIND OBJECTIVE [SCOPE WINDOW]`; the deadline is four times the latency objective.
pub(super) fn class(arguments: &[&str]) -> ClassPolicy {
    let [kind, objective, scope @ ..] = arguments else {
        panic!("class KIND OBJECTIVE [SCOPE WINDOW]");
    };
    let idempotency = match (*kind, scope) {
        ("keyed", ["all", ..]) => Idempotency::Keyed(DeduplicationScope::All),
        ("keyed", ["zone", ..]) => Idempotency::Keyed(DeduplicationScope::Zone),
        ("non-idempotent", []) => Idempotency::NonIdempotent,
        ("idempotent", []) => Idempotency::Idempotent,
        _ => panic!("no class {kind} {scope:?}"),
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

/// Reads `ID:STATUS:BUILD[:AGE[:ZONE]]`.
pub(super) fn endpoint(entry: &str, now: Duration) -> Endpoint {
    let parts: Vec<&str> = entry.split(':').collect();
    let [id, status, build, optional @ ..] = parts.as_slice() else {
        panic!("no endpoint {entry}");
    };
    let status = match *status {
        "ready" => EndpointStatus::Ready,
        "draining" => EndpointStatus::Draining,
        "removed" => EndpointStatus::Removed,
        other => panic!("no endpoint status {other}"),
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

/// Reads `FROM BUILD SERIAL IN-TIME/BASELINE/REQUESTED [ID:CLASS:COUNT:BAD ..]` but for the sender, and returns
/// the report's bytes. An id of `-` stands for all endpoints of earlier builds.
pub(super) fn report(build: &str, serial: &str, sums: &str, records: &[&str]) -> Vec<u8> {
    let mut payload = number::<u16>(build).to_be_bytes().to_vec();
    payload.extend([0, 0, 0, 1]);
    payload.extend(number::<u32>(serial).to_be_bytes());
    for sum in sums.split('/') {
        payload.extend(number::<u16>(sum).to_be_bytes());
    }
    for record in records {
        let mut parts = record.split(':');
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
