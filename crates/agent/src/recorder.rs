//! Records the agent's timelines: events and decisions go into a fleet timeline in memory, and from there, off the
//! request path, to the store that the operator's file names.
//!
//! Recording never changes a decision, never waits for a disk and never makes a request fail: records for which the
//! disk is too slow are dropped and counted. Request events are buffered, up to a limit, and passed to the timeline in
//! batches, which costs a third of passing them one by one.
mod snapshot;
mod store;

use std::cell::{Cell, RefCell};
use std::path::PathBuf;
use std::time::Duration;

use lilacgate_decision::{EndpointId, Outcome, RequestClass, RequestId};
use lilacgate_operator_config::Timeline;
use lilacgate_start_settings::{Settings, SettingsError};
use lilacgate_store::background_writer::BackgroundWriter;
use lilacgate_timeline::entry::{Departure, DepartureKind, DepartureScope, Record};
use lilacgate_timeline::fleet_timeline::{AttemptEnd, FleetTimeline, MemoryLimits};
use lilacgate_timeline::monitor::MonitorConfig;

use crate::file_writer::replace_file;
use crate::log::{Count, Quoted, count, info};
use crate::outbound::AttemptId;
use crate::recorder::store::StoreQueue;

/// How many records may wait for the disk, and how many endpoint names are kept.
const MAX_QUEUED_RECORDS: usize = 4096;

/// How many request events are buffered before they are passed to the timeline.
const MAX_BUFFERED_EVENTS: usize = 4096;

/// An event in the life of a request.
#[derive(Clone, Copy, Debug)]
pub enum RequestEvent {
    /// The request has arrived.
    Received {
        /// Which request.
        id: RequestId,
        /// The class of the request.
        class: RequestClass,
    },
    /// An attempt has been sent.
    AttemptSent {
        /// Which attempt.
        id: AttemptId,
        /// The endpoint to which the attempt was sent.
        endpoint: EndpointId,
    },
    /// An attempt has ended.
    AttemptEnded {
        /// Which attempt.
        id: AttemptId,
        /// The endpoint to which the attempt was sent.
        endpoint: EndpointId,
        /// The outcome of the attempt.
        outcome: Outcome,
        /// How long the attempt took.
        took: Duration,
        /// Whether the request had been answered before the attempt ended.
        closed: bool,
    },
    /// The request has been answered, or its client has left.
    Closed(RequestId),
}

/// A buffered event, with its time on the agent's clock.
#[derive(Debug)]
struct TimedEvent {
    time: Duration,
    event: RequestEvent,
}

/// The name of an endpoint by its id.
#[derive(Debug)]
struct EndpointName {
    id: EndpointId,
    name: String,
}

/// Facts about the agent that do not change while it runs.
#[derive(Debug)]
struct AgentInfo {
    agent: String,
    /// The names of the request classes, in the order of their indexes.
    class_names: Vec<String>,
    /// The slow start of an endpoint: how long it may take to warm up.
    slow_start: Duration,
}

/// A timeline that is being recorded, with its settings and its store.
struct OpenTimeline {
    timeline: FleetTimeline,
    settings: Timeline,
    store: StoreQueue,
}

/// Records the timelines, if the operator's file configures them.
pub struct Recorder {
    agent_info: AgentInfo,
    open: RefCell<Option<OpenTimeline>>,
    buffer: RefCell<Vec<TimedEvent>>,
    /// Whether a timeline is being recorded, i.e. whether `open` holds one.
    is_recording: Cell<bool>,
    /// The names of endpoints, kept from one timeline to the next.
    endpoint_names: RefCell<Vec<EndpointName>>,
    /// The writers of earlier stores that have not ended yet. Waiting for one may take as long as its disk hangs, so they are
    /// waited for only when the agent ends.
    finishing_writers: RefCell<Vec<BackgroundWriter>>,
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
    /// Creates a recorder for an agent with these start settings; without `timeline` settings it records nothing.
    ///
    /// # Errors
    /// Fails if a setting is missing or cannot be used.
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
            finishing_writers: RefCell::default(),
        };
        recorder.apply_settings(now, timeline);
        Ok(recorder)
    }

    /// Applies the settings of a reloaded operator's file. If they have not changed, the open timeline is continued.
    pub fn apply_settings(&self, now: Duration, settings: Option<Timeline>) {
        let mut open = self.open.borrow_mut();
        if open.as_ref().map(|open| &open.settings) == settings.as_ref() {
            return;
        }
        self.is_recording.set(settings.is_some());
        self.buffer.borrow_mut().clear();
        let earlier = open.take();
        self.finish_writer(earlier.and_then(|earlier| earlier.store.finish()));
        *open = settings.map(|settings| self.open_timeline(now, settings));
    }

    /// Keeps a writer until it has ended, and forgets those that have.
    fn finish_writer(&self, writer: Option<BackgroundWriter>) {
        let mut finishing = self.finishing_writers.borrow_mut();
        finishing.retain(|writer| !writer.is_finished());
        finishing.extend(writer);
    }

    fn open_timeline(&self, now: Duration, settings: Timeline) -> OpenTimeline {
        let monitor_config = MonitorConfig {
            false_alarms_per_hour: settings.max_false_events_per_hour,
            slow_start: self.agent_info.slow_start,
            classes: self.agent_info.class_names.len(),
        };
        let limits = MemoryLimits {
            timeline_bytes: settings.memory_bytes,
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

    /// The records at the start of a store or dump: the agent's start and the endpoint names.
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

    /// Records the name of an endpoint, unless it is known already.
    pub fn add_endpoint_name(&self, id: EndpointId, name: &str) {
        let mut names = self.endpoint_names.borrow_mut();
        if names.iter().any(|known| known.id == id) {
            return;
        }
        // The limit is as large as an endpoint list may be; the oldest names belong to endpoints that are long gone.
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

    /// Buffers a request event, if a timeline is being recorded.
    pub fn record(&self, time: Duration, event: RequestEvent) {
        if !self.is_recording.get() {
            return;
        }
        self.buffer.borrow_mut().push(TimedEvent { time, event });
        if self.buffer.borrow().len() >= MAX_BUFFERED_EVENTS {
            self.update_timeline(|_| {});
        }
    }

    /// Passes the buffered events to the timeline, if there is one, and then changes it.
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

    /// When [`Recorder::advance`] is next due; `None` if nothing is being recorded.
    pub fn next_tick(&self) -> Option<Duration> {
        self.open
            .borrow()
            .as_ref()
            .map(|open| open.timeline.next_tick())
    }

    /// Advances the timeline to `now`: logs departures and submits records to the store.
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

    /// Writes all timelines to the dump file that the operator's file names, on another thread.
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

/// The name of a departure kind in log lines.
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

/// Reads the names of the request classes, in the order of their indexes.
///
/// # Errors
/// Fails if a setting is missing or cannot be read.
pub(crate) fn class_names(settings: &Settings) -> Result<Vec<String>, SettingsError> {
    let classes: u8 = settings.value("profiles.count")?;
    let mut names = Vec::new();
    for class in 0..classes {
        let name = settings.text(&format!("profiles.{class}.name"))?;
        names.push(name.to_owned());
    }
    Ok(names)
}
