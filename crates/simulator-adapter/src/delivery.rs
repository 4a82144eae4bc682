//! Checks events against the instance's start settings and the pages received, and passes them to a decision engine.
use lilacgate_decision::{Endpoint, EndpointId, EventHandler, ListUpdate, RequestClass};

use crate::error::EventError;
use crate::wire::{AttemptEnd, EndpointPage, Event, LoadReport, PeriodStatistics, ReleaseNotice};

/// The simulator numbers its pages of endpoints from 0 to 15.
const PAGE_COUNT: usize = 16;

/// The pages of endpoints by their numbers, shared by all instances.
#[derive(Default)]
pub(crate) struct Pages([Option<Vec<Endpoint>>; PAGE_COUNT]);

impl Pages {
    pub(crate) fn store(&mut self, page: EndpointPage) -> Result<(), EventError> {
        let slot = self.0.get_mut(page.number as usize);
        *slot.ok_or(EventError::PageNumberOutOfRange(page.number))? = Some(page.endpoints);
        Ok(())
    }

    pub(crate) fn get(&self, number: u32) -> Result<&[Endpoint], EventError> {
        self.0
            .get(number as usize)
            .and_then(Option::as_deref)
            .ok_or(EventError::UnknownPage(number))
    }
}

/// The number of request classes and zones in an instance's start settings. Events must not use higher indices.
#[derive(Clone, Copy)]
pub(crate) struct Limits {
    pub(crate) classes: usize,
    pub(crate) zones: usize,
}

impl Limits {
    pub(crate) fn check_class(self, class: RequestClass) -> Result<(), EventError> {
        if usize::from(class.0) < self.classes {
            Ok(())
        } else {
            Err(EventError::UnknownClass(class.0))
        }
    }

    pub(crate) fn check_zones(self, endpoints: &[Endpoint]) -> Result<(), EventError> {
        let unknown = endpoints
            .iter()
            .find(|endpoint| usize::from(endpoint.zone.0) >= self.zones);
        unknown.map_or(Ok(()), |endpoint| {
            Err(EventError::UnknownZone(endpoint.zone.0))
        })
    }
}

/// Passes one event to the decision engine.
pub(crate) fn deliver(
    event: Event<'_>,
    pages: &mut Pages,
    limits: Limits,
    handler: &mut dyn EventHandler,
) -> Result<(), EventError> {
    match event {
        // The host has handled these before the round.
        Event::SelectInstance(_) | Event::InstanceStarted { .. } | Event::InstanceStopped => {}
        Event::EndpointPage(page) => pages.store(page)?,
        Event::EndpointUpdate { page, update } => {
            let endpoints = match update {
                ListUpdate::Failed => &[],
                _ => pages.get(page)?,
            };
            limits.check_zones(endpoints)?;
            handler.on_endpoints(update, &mut endpoints.iter().copied());
        }
        Event::Request { id, request } => {
            limits.check_class(request.class)?;
            handler.on_request(id, request);
        }
        Event::AttemptEnded(end) => deliver_attempt_end(end, handler),
        Event::ResponseStarted {
            id,
            attempt,
            endpoint,
            took,
        } => handler.on_response_started(id, attempt, endpoint, took),
        Event::ClientLeft(id) => handler.on_client_left(id),
        Event::WakeUp(timer) => handler.on_wake_up(timer),
        Event::HealthCheck {
            endpoint,
            outcome,
            took,
            load,
        } => {
            deliver_load_report(endpoint, load, handler);
            handler.on_health_check(endpoint, outcome, took);
        }
        Event::PeerMessage { sender, payload } => handler.on_peer_message(sender, payload),
        Event::ReleaseNotice(notice) => deliver_release_notice(notice, handler),
        Event::PeriodStatistics(period) => {
            limits.check_class(period.class)?;
            deliver_period_statistics(period, handler);
        }
        Event::WrongAnswer {
            endpoint,
            class,
            sent_ago,
        } => {
            limits.check_class(class)?;
            handler.on_wrong_answer(endpoint, class, sent_ago);
        }
    }
    Ok(())
}

fn deliver_attempt_end(end: AttemptEnd, handler: &mut dyn EventHandler) {
    deliver_load_report(end.endpoint, end.load, handler);
    handler.on_attempt_ended(
        end.id,
        end.attempt,
        end.endpoint,
        end.outcome,
        end.took,
        end.closed,
    );
}

fn deliver_period_statistics(period: PeriodStatistics, handler: &mut dyn EventHandler) {
    handler.on_period_statistics(
        period.build,
        period.class,
        period.count,
        period.failed,
        period.mean,
        period.age,
    );
}

fn deliver_load_report(endpoint: EndpointId, load: LoadReport, handler: &mut dyn EventHandler) {
    if let Some(gauges) = load {
        handler.on_load_report(endpoint, &gauges);
    }
}

/// Delivers the status before the answer to a vote, since the answer concerns the stage that the status names.
fn deliver_release_notice(notice: ReleaseNotice, handler: &mut dyn EventHandler) {
    if let Some(status) = notice.status {
        handler.on_release_status(
            status.build,
            status.stage,
            status.phase,
            status.cap,
            status.age,
        );
    }
    if let Some(outcome) = notice.vote_outcome {
        handler.on_vote_answered(outcome);
    }
}
