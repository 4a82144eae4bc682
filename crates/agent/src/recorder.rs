//! Owns the agent's time lines: what is received and decided goes into a book beside the decision engine, and from
//! there, off the path of the requests, to the store that the operator's file names.
//!
//! It never changes a decision, never waits for a disk and never costs a request: what the disk is too slow for is
//! left out and counted. The events of requests are buffered, up to a bound, and passed to the book many at a time,
//! which costs a third of passing them one by one.
mod snapshot;
mod store;

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_decision::{EndpointId, Outcome, RequestClass, RequestId};
use lilacgate_operator_config::Timeline;
use lilacgate_start_settings::{Settings, SettingsError};
use lilacgate_timeline::entry::{Departure, DepartureKind, DepartureScope, Record};
use lilacgate_timeline::fleet_timeline::{AttemptEnd, FleetTimeline, MemoryLimits};
use lilacgate_timeline::monitor::MonitorConfig;

use crate::file_writer::replace_file;
use crate::log::{Count, Quoted, count, info};
use crate::outbound::AttemptId;
use crate::recorder::store::StoreQueue;

/// How many records may wait for the disk, and how many names of endpoints are kept.
const MAX_QUEUED_RECORDS: usize = 4096;

/// How many events of requests are buffered before they are passed to the timeline.
const MAX_BUFFERED_EVENTS: usize = 4096;

/// What happens to a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestEvent {
    /// It has arrived.
    Received {
        /// The request.
        id: RequestId,
        /// Its class.
        class: RequestClass,
    },
    /// An attempt of it has been sent.
    AttemptSent {
        /// Which attempt.
        id: AttemptId,
        /// Where it was sent.
        endpoint: EndpointId,
    },
    /// An attempt of it has ended.
    AttemptEnded {
        /// Which attempt.
        id: AttemptId,
        /// Where it was sent.
        endpoint: EndpointId,
        /// How it ended.
        outcome: Outcome,
        /// How long it took.
        took: Duration,
        /// Whether the request has had its answer by then.
        closed: bool,
    },
    /// It has had its answer, or its client has left.
    Closed(RequestId),
}

/// A buffered event.
#[derive(Debug)]
struct TimedEvent {
    time: Duration,
    event: RequestEvent,
}

/// The name of an endpoint.
#[derive(Debug)]
struct EndpointName {
    id: EndpointId,
    name: String,
}

/// What does not change while the agent runs.
#[derive(Debug)]
struct AgentInfo {
    agent: String,
    /// The names of the request classes, in their order.
    class_names: Vec<String>,
    /// How long an endpoint may take to warm up.
    slow_start: Duration,
}

/// A book that is being written, and what it is written by.
struct OpenTimeline {
    timeline: FleetTimeline,
    settings: Timeline,
    store: StoreQueue,
}

/// Keeps the time lines, if the operator's file wants them.
pub struct Recorder {
    agent_info: AgentInfo,
    open: RefCell<Option<OpenTimeline>>,
    buffer: RefCell<Vec<TimedEvent>>,
    /// Whether there is a timeline.
    is_recording: Cell<bool>,
    /// The names of endpoints: they outlast the timeline.
    endpoint_names: RefCell<Vec<EndpointName>>,
}

impl std::fmt::Debug for Recorder {
    fn fmt(&self, formatter: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        formatter
            .debug_struct("Recorder")
            .field("agent_info", &self.agent_info)
            .field("is_recording", &self.is_recording)
            .finish_non_exhaustive()
    }
}

impl Recorder {
    /// A recorder for an agent with these start settings, which records what `timeline` says.
    ///
    /// # Errors
    /// A setting that cannot be used.
    pub fn new(
        agent: &str,
        settings: &Settings,
        timeline: Option<Timeline>,
        now: Duration,
    ) -> Result<Recorder, SettingsError> {
        let agent_info = AgentInfo {
            agent: agent.to_owned(),
            class_names: class_names(settings)?,
            slow_start: settings.duration("rules.ramp-time")?,
        };
        let recorder = Recorder {
            agent_info,
            open: RefCell::default(),
            buffer: RefCell::default(),
            is_recording: Cell::new(false),
            endpoint_names: RefCell::default(),
        };
        recorder.apply_settings(now, timeline);
        Ok(recorder)
    }

    /// Takes over what the operator's file sets now; a book whose settings are the same goes on.
    pub fn apply_settings(&self, now: Duration, settings: Option<Timeline>) {
        let mut open = self.open.borrow_mut();
        if open.as_ref().map(|open| &open.settings) == settings.as_ref() {
            return;
        }
        self.is_recording.set(settings.is_some());
        self.buffer.borrow_mut().clear();
        *open = settings.map(|settings| self.open_timeline(now, settings));
    }

    fn open_timeline(&self, now: Duration, settings: Timeline) -> OpenTimeline {
        let monitor_config = MonitorConfig {
            false_alarms_per_hour: settings.false_per_hour,
            slow_start: self.agent_info.slow_start,
            classes: self.agent_info.class_names.len(),
        };
        let limits = MemoryLimits {
            timeline_bytes: settings.memory,
            queued_records: match settings.store {
                Some(_) => MAX_QUEUED_RECORDS,
                None => 0,
            },
        };
        let timeline = FleetTimeline::new(now, monitor_config, limits);
        let mut store = StoreQueue::open(now, settings.store.as_ref());
        if store.is_open() {
            store.push_all(self.first_records(now));
        }
        OpenTimeline {
            timeline,
            settings,
            store,
        }
    }

    /// The records that come before all others: the agent's start, and the names of the endpoints.
    fn first_records(&self, time: Duration) -> Vec<Record> {
        let start = Record::Start {
            agent: self.agent_info.agent.clone(),
            at: time,
            classes: self.agent_info.class_names.clone(),
        };
        let names = self.endpoint_names.borrow();
        std::iter::once(start)
            .chain(names.iter().map(EndpointName::record))
            .collect()
    }

    /// Keeps the name of an endpoint.
    pub fn add_endpoint_name(&self, id: EndpointId, name: &str) {
        let mut names = self.endpoint_names.borrow_mut();
        if names.iter().any(|known| known.id == id) {
            return;
        }
        // As many names as a list may hold; what has been gone for long is not needed.
        if names.len() >= MAX_QUEUED_RECORDS {
            names.remove(0);
        }
        let name = EndpointName {
            id,
            name: name.to_owned(),
        };
        if let Some(open) = self.open.borrow_mut().as_mut()
            && open.store.is_open()
        {
            open.store.push(name.record());
        }
        names.push(name);
    }

    /// Buffers what happens to a request, if there is a timeline.
    pub fn record(&self, time: Duration, event: RequestEvent) {
        if !self.is_recording.get() {
            return;
        }
        self.buffer.borrow_mut().push(TimedEvent { time, event });
        if self.buffer.borrow().len() >= MAX_BUFFERED_EVENTS {
            self.update_timeline(|_| {});
        }
    }

    /// Changes the timeline, if there is one, after all that is buffered.
    pub fn update_timeline(&self, change: impl FnOnce(&mut FleetTimeline)) {
        if let Some(open) = self.open.borrow_mut().as_mut() {
            self.flush_buffer(&mut open.timeline);
            change(&mut open.timeline);
        }
    }

    fn flush_buffer(&self, timeline: &mut FleetTimeline) {
        for TimedEvent { time, event } in self.buffer.borrow_mut().drain(..) {
            match event {
                RequestEvent::Received { id, class } => timeline.request_started(id, class),
                RequestEvent::AttemptSent { id, endpoint } => {
                    timeline.attempt_started(time, id.request, id.number, endpoint);
                }
                RequestEvent::AttemptEnded {
                    id,
                    endpoint,
                    outcome,
                    took,
                    closed,
                } => {
                    let end = AttemptEnd {
                        request: id.request,
                        attempt: id.number,
                        endpoint,
                        outcome,
                        duration: took,
                        request_closed: closed,
                    };
                    timeline.attempt_ended(time, &end);
                }
                RequestEvent::Closed(id) => timeline.request_closed(id),
            }
        }
    }

    /// When [`Recorder::advance`] has something to do.
    pub fn next_tick(&self) -> Option<Duration> {
        self.open
            .borrow()
            .as_ref()
            .map(|open| open.timeline.next_tick())
    }

    /// Takes note that time has passed: departures go to the log, records to the store.
    pub fn advance(&self, now: Duration) {
        let mut open = self.open.borrow_mut();
        let Some(open) = open.as_mut() else { return };
        if now >= open.timeline.next_tick() {
            self.flush_buffer(&mut open.timeline);
        }
        open.timeline.advance(now);
        for report in open.timeline.take_reports() {
            if report.began {
                count(Count::Departures);
                self.log_departure(&report.departure);
            } else {
                info!("departure_ended number={}", report.departure.number);
            }
        }
        open.store.submit_if_due(now, &mut open.timeline);
    }

    fn log_departure(&self, departure: &Departure) {
        let scope = match departure.scope {
            DepartureScope::Node(node) => {
                format!("node node={}", Quoted(self.name_of(EndpointId(node))))
            }
            DepartureScope::Build(build) => format!("build build={build}"),
            DepartureScope::Fleet => "fleet".into(),
        };
        let class = departure
            .class
            .and_then(|class| self.agent_info.class_names.get(usize::from(class)))
            .map(|name| format!(" class={}", Quoted(name)))
            .unwrap_or_default();
        let (number, kind) = (departure.number, kind_name(departure.kind));
        let (baseline, observed) = (departure.baseline, departure.observed);
        info!(
            "departure_began number={number} scope={scope} kind={kind}{class} observed={observed:.2} baseline={baseline:.2}"
        );
    }

    fn name_of(&self, id: EndpointId) -> String {
        let names = self.endpoint_names.borrow();
        let known = names.iter().find(|known| known.id == id);
        known.map_or_else(|| "?".to_owned(), |known| known.name.clone())
    }

    /// Writes all time lines to the file that the operator's file names, off the event loop.
    pub fn dump(&self, now: Duration) {
        let path: Option<PathBuf> = self
            .open
            .borrow()
            .as_ref()
            .and_then(|open| open.settings.dump.clone());
        let Some(path) = path else { return };
        let open = self.open.borrow();
        let timeline = open.as_ref().map(|open| &open.timeline);
        let bytes = snapshot::segment(now, self.first_records(now), timeline);
        replace_file("timeline", path, bytes);
    }
}

/// The name of a departure's kind in log lines.
const fn kind_name(kind: DepartureKind) -> &'static str {
    match kind {
        DepartureKind::Errors => "errors",
        DepartureKind::Latency => "latency",
        DepartureKind::Silence => "silence",
        DepartureKind::Links => "links",
        DepartureKind::Load => "load",
        DepartureKind::Restart => "restart",
    }
}

impl EndpointName {
    fn record(&self) -> Record {
        Record::Name {
            node: self.id.0,
            name: self.name.clone(),
        }
    }
}

/// The names of the request classes, in their order.
///
/// # Errors
/// A setting that is missing or cannot be read.
pub(crate) fn class_names(settings: &Settings) -> Result<Vec<String>, SettingsError> {
    let classes: u8 = settings.number("profiles.count")?;
    let mut names = Vec::new();
    for class in 0..classes {
        let name = settings.text(&format!("profiles.{class}.name"))?;
        names.push(name.to_owned());
    }
    Ok(names)
}
