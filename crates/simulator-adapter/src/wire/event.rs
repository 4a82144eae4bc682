//! Decodes events.
use std::time::Duration;

use lilacgate_decision::{
    AgentId, AttemptNumber, Build, Cell, Endpoint, EndpointId, EndpointStatus, IdempotencyKey,
    ListUpdate, Model, Outcome, ReleasePhase, Request, RequestClass, RequestId, Stage, Tenant,
    TimerId, Zone,
};

use super::fields::{Fields, WireError};
use super::kind::EventKind;
use super::layout::{
    ENTRY_SIZE, attempt_ended, client_left, endpoint_page, endpoint_update, entry, health_check,
    instance_started, peer_message, period_statistics, release_notice, request, response_started,
    select_instance, wake_up, wrong_answer,
};

/// The most gauges of a load report.
const MAX_GAUGES: usize = 4;

/// An event in the terms of the decision module. Nothing in it has been compared with start settings yet.
#[derive(Clone, Debug)]
pub enum Event<'a> {
    /// The following events are for this instance.
    SelectInstance(u16),
    /// The instance starts.
    InstanceStarted {
        /// The seed of its random numbers.
        seed: u64,
        /// Its start settings, as lines of `path=value`.
        settings: &'a [u8],
    },
    /// The instance dies.
    InstanceStopped,
    /// A page of endpoints, for all instances.
    EndpointPage(EndpointPage),
    /// The instance's endpoint list changes.
    EndpointUpdate {
        /// The number of the page with the entries; without meaning where the update failed.
        page: u32,
        /// How the entries are to be read.
        update: ListUpdate,
    },
    /// A client sent a request.
    Request {
        /// The request's id.
        id: RequestId,
        /// The request.
        request: Request,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The first part of a response has gone to its client.
    ResponseStarted {
        /// The request's id.
        id: RequestId,
        /// The attempt that the response belongs to.
        attempt: AttemptNumber,
        /// The endpoint that responds.
        endpoint: EndpointId,
        /// The time since the attempt was sent.
        took: Duration,
    },
    /// A client has gone.
    ClientLeft(RequestId),
    /// A wake-up is due.
    WakeUp(TimerId),
    /// A health check ended.
    HealthCheck {
        /// The endpoint that was checked.
        endpoint: EndpointId,
        /// How the check ended.
        outcome: Outcome,
        /// The time that it took.
        took: Duration,
        /// The load that the endpoint reported.
        load: LoadReport,
    },
    /// Another agent sent a message.
    PeerMessage {
        /// The sender.
        sender: AgentId,
        /// What it sent.
        payload: &'a [u8],
    },
    /// The status of the newest build, the answer to a vote, or both.
    ReleaseNotice(ReleaseNotice),
    /// The platform's count of a past period.
    PeriodStatistics(PeriodStatistics),
    /// A response that counted as good was wrong.
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
    /// The page's number.
    pub number: u32,
    /// Its entries.
    pub endpoints: Vec<Endpoint>,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug)]
pub struct AttemptEnd {
    /// The request's id.
    pub id: RequestId,
    /// The attempt's number.
    pub attempt: AttemptNumber,
    /// The endpoint that it was sent to.
    pub endpoint: EndpointId,
    /// How it ended.
    pub outcome: Outcome,
    /// The time since it was sent.
    pub took: Duration,
    /// Whether the request needs no answer any more.
    pub closed: bool,
    /// The load that the endpoint reported.
    pub load: LoadReport,
}

/// The gauges of a load report, absent ones as NaN; `None` where there is no report.
pub type LoadReport = Option<[f32; MAX_GAUGES]>;

/// What the platform says of the newest build.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseNotice {
    /// Where the build stands; absent in the answer to a vote that did not succeed.
    pub status: Option<ReleaseStatus>,
    /// How the call that cast the last vote ended; absent where this is no answer to a vote.
    pub vote_outcome: Option<Outcome>,
}

/// Where a build stands.
#[derive(Clone, Copy, Debug)]
pub struct ReleaseStatus {
    /// The build.
    pub build: Build,
    /// Its stage.
    pub stage: Stage,
    /// Its phase.
    pub phase: ReleasePhase,
    /// The highest share of requests that the build may get.
    pub cap: f64,
    /// The time since this phase or stage began.
    pub age: Duration,
}

/// The platform's count of one build's attempts of one class in a past period.
#[derive(Clone, Copy, Debug)]
pub struct PeriodStatistics {
    /// The build.
    pub build: Build,
    /// The class.
    pub class: RequestClass,
    /// The attempts in the sample.
    pub count: u32,
    /// Those of them that failed.
    pub failed: u32,
    /// The mean time of the others.
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
        model: Model(fields.u8(entry::MODEL)),
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

/// The number of gauges, then the gauges.
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
    // The answer to a vote that did not succeed holds no status.
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
