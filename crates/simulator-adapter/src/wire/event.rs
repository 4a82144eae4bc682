//! The events of the wire protocol and how they are decoded from records.
use std::time::Duration;

use lilacgate_decision::{
    AgentId, AttemptNumber, Build, Cell, Endpoint, EndpointId, EndpointStatus, IdempotencyKey,
    ListUpdate, MachineModel, Outcome, ReleasePhase, Request, RequestClass, RequestId, Stage,
    Tenant, TimerId, Zone,
};

use super::fields::{Fields, WireError};
use super::kind::EventKind;
use super::layout::{
    ENTRY_SIZE, attempt_ended, client_left, endpoint_page, endpoint_update, entry, health_check,
    instance_started, peer_message, period_statistics, release_notice, request, response_started,
    select_instance, wake_up, wrong_answer,
};

/// The number of gauges in a load report that are kept; any more are ignored.
const MAX_GAUGES: usize = 4;

/// An event in the types of the decision module. Its classes and zones are not yet checked against start settings.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// Says which instance the following events are for.
    SelectInstance(u16),
    /// The instance starts.
    InstanceStarted {
        /// The seed of the instance's random numbers.
        seed: u64,
        /// The start settings, as lines of the form `path=value`.
        settings: &'a [u8],
    },
    /// The instance is terminated without notice.
    InstanceStopped,
    /// A page of endpoints, for all instances.
    EndpointPage(EndpointPage),
    /// The instance's endpoint list is updated.
    EndpointUpdate {
        /// The number of the page that holds the entries; meaningless if the update failed.
        page: u32,
        /// What the entries are: changes, a full list or a cached one; none if the update failed.
        update: ListUpdate,
    },
    /// A client sent a request.
    Request {
        /// Identifies the request in later events and actions.
        id: RequestId,
        /// The request's properties.
        request: Request,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The first part of a response was sent to the client.
    ResponseStarted {
        /// The request that is being answered.
        id: RequestId,
        /// The attempt that the response belongs to.
        attempt: AttemptNumber,
        /// The endpoint that responds.
        endpoint: EndpointId,
        /// The time since the attempt was sent.
        took: Duration,
    },
    /// The client of this request closed its connection.
    ClientLeft(RequestId),
    /// A wake-up is due.
    WakeUp(TimerId),
    /// A health check ended.
    HealthCheck {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// Whether and how the check failed.
        outcome: Outcome,
        /// The duration of the check.
        took: Duration,
        /// The load that the endpoint reported.
        load: LoadReport,
    },
    /// Another agent sent a message.
    PeerMessage {
        /// The agent that sent the message.
        sender: AgentId,
        /// The message as that agent encoded it.
        payload: &'a [u8],
    },
    /// The status of the newest build, the answer to a vote, or both.
    ReleaseNotice(ReleaseNotice),
    /// The platform's own statistics of a past period.
    PeriodStatistics(PeriodStatistics),
    /// A response that was counted as a success was found to be wrong.
    WrongAnswer {
        /// The endpoint that responded.
        endpoint: EndpointId,
        /// The request's class.
        class: RequestClass,
        /// The time since the attempt was sent.
        sent_ago: Duration,
    },
}

/// A numbered page of endpoints.
#[derive(Clone, Debug)]
pub struct EndpointPage {
    /// The number by which updates refer to the page; 0 to 15 are valid.
    pub number: u32,
    /// The endpoints in the order of the page's entries.
    pub endpoints: Vec<Endpoint>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request that the attempt belongs to.
    pub id: RequestId,
    /// The attempt's number among those of its request.
    pub attempt: AttemptNumber,
    /// The endpoint that the attempt was sent to.
    pub endpoint: EndpointId,
    /// Whether and how the attempt failed.
    pub outcome: Outcome,
    /// The time since the attempt was sent.
    pub took: Duration,
    /// Whether the request no longer needs an answer.
    pub closed: bool,
    /// The load that the endpoint reported.
    pub load: LoadReport,
}

/// The gauges of a load report, with NaN for absent gauges; `None` if there is no report.
pub type LoadReport = Option<[f32; MAX_GAUGES]>;

/// The platform's message about the newest build.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseNotice {
    /// The build's status; `None` in the answer to a vote that did not succeed.
    pub status: Option<ReleaseStatus>,
    /// How the call that cast the last vote ended; `None` if this is not an answer to a vote.
    pub vote_outcome: Option<Outcome>,
}

/// The stage and phase of a build's release.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseStatus {
    /// The build that is being released.
    pub build: Build,
    /// The stage of the release that the build has reached.
    pub stage: Stage,
    /// Whether the build is a canary, released, being rolled back or withdrawn.
    pub phase: ReleasePhase,
    /// The highest share of requests that the build may get; finite and not negative.
    pub cap: f64,
    /// The time since this phase or stage began.
    pub age: Duration,
}

/// The platform's statistics of one build's attempts of one request class in a past period.
#[derive(Clone, Copy, Debug)]
pub struct PeriodStatistics {
    /// The build that ran the attempts.
    pub build: Build,
    /// The request class of the attempts.
    pub class: RequestClass,
    /// The number of attempts in the sample.
    pub count: u32,
    /// The number of attempts in the sample that failed.
    pub failed: u32,
    /// The mean duration of the attempts that did not fail.
    pub mean: Duration,
    /// The time since the period ended.
    pub age: Duration,
}

impl<'a> Event<'a> {
    pub(super) fn decode(
        kind: EventKind,
        fields: Fields<'a>,
        tail: &'a [u8],
    ) -> Result<Self, WireError> {
        Ok(match kind {
            EventKind::SelectInstance => {
                Event::SelectInstance(fields.u16(select_instance::INSTANCE))
            }
            EventKind::InstanceStarted => Event::InstanceStarted {
                seed: fields.u64(instance_started::SEED),
                settings: fields.tail_slice(instance_started::SETTINGS, 1, tail)?,
            },
            EventKind::InstanceStopped => Event::InstanceStopped,
            EventKind::EndpointPage => Event::EndpointPage(endpoint_page(fields, tail)?),
            EventKind::EndpointUpdate => Event::EndpointUpdate {
                page: fields.u32(endpoint_update::PAGE),
                update: fields.list_update(endpoint_update::UPDATE)?,
            },
            EventKind::Request => Event::Request {
                id: fields.request(request::ID),
                request: request(fields),
            },
            EventKind::AttemptEnded => Event::AttemptEnded(attempt_end(fields)?),
            EventKind::ResponseStarted => Event::ResponseStarted {
                id: fields.request(response_started::ID),
                attempt: fields.attempt(response_started::ATTEMPT),
                endpoint: fields.endpoint(response_started::ENDPOINT),
                took: fields.duration(response_started::TOOK),
            },
            EventKind::ClientLeft => Event::ClientLeft(fields.request(client_left::ID)),
            EventKind::WakeUp => Event::WakeUp(TimerId(fields.u64(wake_up::TIMER))),
            EventKind::HealthCheck => Event::HealthCheck {
                endpoint: fields.endpoint(health_check::ENDPOINT),
                outcome: fields.outcome(health_check::OUTCOME)?,
                took: fields.duration(health_check::TOOK),
                load: load_report(fields, health_check::LOAD_REPORT),
            },
            EventKind::PeerMessage => Event::PeerMessage {
                sender: AgentId(fields.u32(peer_message::SENDER)),
                payload: fields.tail_slice(peer_message::PAYLOAD, 1, tail)?,
            },
            EventKind::ReleaseNotice => Event::ReleaseNotice(release_notice(fields)?),
            EventKind::PeriodStatistics => Event::PeriodStatistics(period_statistics(fields)),
            EventKind::WrongAnswer => Event::WrongAnswer {
                endpoint: fields.endpoint(wrong_answer::ENDPOINT),
                class: fields.class(wrong_answer::CLASS),
                sent_ago: fields.duration(wrong_answer::SENT_AGO),
            },
        })
    }
}

fn endpoint_page<'a>(fields: Fields<'a>, tail: &'a [u8]) -> Result<EndpointPage, WireError> {
    let entries = fields.tail_slice(endpoint_page::ENTRIES, ENTRY_SIZE, tail)?;
    let endpoints = entries
        .chunks_exact(ENTRY_SIZE)
        .map(|bytes| endpoint(Fields(bytes)))
        .collect::<Result<_, _>>()?;
    Ok(EndpointPage {
        number: fields.u32(endpoint_page::NUMBER),
        endpoints,
    })
}

fn endpoint(fields: Fields<'_>) -> Result<Endpoint, WireError> {
    let build = fields.f32(entry::BUILD);
    let weight = fields.f32(entry::WEIGHT);
    if !(0.0..65536.0).contains(&build) {
        return Err(WireError::InvalidEntryBuild(build));
    }
    if !(weight.is_finite() && weight >= 0.0) {
        return Err(WireError::InvalidEntryWeight(weight));
    }
    Ok(Endpoint {
        id: fields.endpoint(entry::ENDPOINT),
        status: match fields.u8(entry::STATUS) {
            0 => EndpointStatus::Removed,
            1 => EndpointStatus::Ready,
            2 => EndpointStatus::Draining,
            code => return Err(WireError::UnknownStatus(code)),
        },
        machine_model: MachineModel(fields.u8(entry::MODEL)),
        weight,
        started: Some(fields.instant(entry::STARTED)).filter(|started| !started.is_zero()),
        build: Build(build as u16),
        cell: Cell(fields.u16(entry::CELL)),
        zone: Zone(fields.u8(entry::ZONE)),
    })
}

fn request(fields: Fields<'_>) -> Request {
    let flags = fields.u8(request::FLAGS);
    let has_flag = |flag: u8| flags & flag != 0;
    Request {
        class: fields.class(request::CLASS),
        tenant: Tenant(fields.u16(request::TENANT)),
        idempotency_key: Some(fields.u64(request::IDEMPOTENCY_KEY))
            .filter(|key| *key != 0)
            .map(IdempotencyKey),
        deadline: fields.instant(request::DEADLINE),
        estimated_work: has_flag(request::FLAG_WORK_IS_KNOWN)
            .then(|| fields.duration(request::ESTIMATED_WORK)),
        is_retry: has_flag(request::FLAG_RETRY),
        age: Duration::ZERO,
    }
}

fn attempt_end(fields: Fields<'_>) -> Result<AttemptEnd, WireError> {
    Ok(AttemptEnd {
        id: fields.request(attempt_ended::ID),
        attempt: fields.attempt(attempt_ended::ATTEMPT),
        endpoint: fields.endpoint(attempt_ended::ENDPOINT),
        outcome: fields.outcome(attempt_ended::OUTCOME)?,
        took: fields.duration(attempt_ended::TOOK),
        closed: fields.flag(attempt_ended::CLOSED),
        load: load_report(fields, attempt_ended::LOAD_REPORT),
    })
}

/// Reads a load report: the number of gauges, then the gauges.
fn load_report(fields: Fields<'_>, at: usize) -> LoadReport {
    let count = usize::from(fields.u8(at));
    if count == 0 {
        return None;
    }
    let mut gauges = [f32::NAN; MAX_GAUGES];
    for (index, value) in gauges.iter_mut().take(count).enumerate() {
        *value = fields.f32(at + 1 + index * size_of::<f32>());
    }
    Some(gauges)
}

fn release_notice(fields: Fields<'_>) -> Result<ReleaseNotice, WireError> {
    let outcome = fields.outcome(release_notice::OUTCOME)?;
    let answers_vote = fields.flag(release_notice::ANSWERS_VOTE);
    // The answer to a vote that did not succeed has no status; its status fields are not valid.
    let status = if outcome == Outcome::Succeeded || !answers_vote {
        Some(release_status(fields)?)
    } else {
        None
    };
    Ok(ReleaseNotice {
        status,
        vote_outcome: answers_vote.then_some(outcome),
    })
}

fn release_status(fields: Fields<'_>) -> Result<ReleaseStatus, WireError> {
    Ok(ReleaseStatus {
        build: fields.build(release_notice::BUILD),
        stage: fields.stage(release_notice::STAGE),
        phase: fields.phase(release_notice::PHASE)?,
        cap: fields.share(release_notice::CAP)?,
        age: fields.duration(release_notice::AGE),
    })
}

fn period_statistics(fields: Fields<'_>) -> PeriodStatistics {
    PeriodStatistics {
        build: fields.build(period_statistics::BUILD),
        class: fields.class(period_statistics::CLASS),
        count: fields.u32(period_statistics::COUNT),
        failed: fields.u32(period_statistics::FAILED),
        mean: fields.duration(period_statistics::MEAN),
        age: fields.duration(period_statistics::AGE),
    }
}
