//! Entries and departures as text.
use std::time::Duration;

use lilacgate_timeline::entry::{
    Departure, DepartureKind, DepartureScope, Entry, Event, ReleaseStage,
};

use super::read::Timelines;
use crate::time;

impl Timelines {
    /// Formats a time as local time of the reader's time zone, to the second.
    pub(super) fn show(&self, at: Duration) -> String {
        time::show(at, &self.zone)
    }

    /// Formats the local time of day, to a tenth of a second.
    pub(super) fn clock(&self, at: Duration) -> String {
        let text = self.show(at);
        let time_of_day = text.get(11..19).unwrap_or(&text);
        format!("{time_of_day}.{}", at.subsec_millis() / 100)
    }

    fn describe_scope(&self, scope: DepartureScope) -> String {
        match scope {
            DepartureScope::Node(node) => format!("node {}", self.name(node)),
            DepartureScope::Build(build) => format!("build {build}"),
            DepartureScope::Fleet => "the fleet".into(),
        }
    }

    /// Describes a departure, without its times.
    pub(super) fn describe_departure(&self, departure: &Departure) -> String {
        let scope = self.describe_scope(departure.scope);
        let class = departure
            .class
            .map(|class| format!(" of {}", self.request_class(class)))
            .unwrap_or_default();
        let (observed, baseline) = (departure.observed * 100.0, departure.baseline * 100.0);
        let text = match departure.kind {
            DepartureKind::Errors => {
                format!("{scope} failed {observed:.0}%{class}, where {baseline:.0}% are usual")
            }
            DepartureKind::Latency => {
                format!(
                    "{scope} was late with {observed:.0}%{class}, where {baseline:.0}% are usual"
                )
            }
            DepartureKind::Silence => format!("{scope} owed answers and said nothing"),
            DepartureKind::Links => format!("{scope} refused or broke {observed:.0}% of its links"),
            DepartureKind::Load => format!("{scope} held far more than its share"),
            DepartureKind::Restart => {
                format!("{scope} came back as another process of the same build")
            }
        };
        let stage_note = departure
            .concurrent_stage
            .map(|ReleaseStage { build, stage }| {
                format!("; stage {stage} of build {build} had begun shortly before")
            });
        text + &stage_note.unwrap_or_default()
    }

    /// Describes the event of an entry.
    pub(super) fn describe_entry(&self, entry: &Entry) -> String {
        match &entry.event {
            Event::Listed {
                state,
                build,
                started,
            } => {
                let since = started
                    .map(|at| format!(", started {}", self.clock(at)))
                    .unwrap_or_default();
                format!("listed {state} with build {build}{since}")
            }
            Event::Ejected { reason, until } => {
                format!("left alone until {}: {reason}", self.clock(*until))
            }
            Event::Probed => "tried with a request".into(),
            Event::Readmitted => "taken in again".into(),
            Event::Cancelled { class } => {
                format!("an attempt of {} called off", self.request_class(*class))
            }
            Event::GivenUp { reason, count } => format!("{count} requests given up: {reason}"),
            Event::Stage {
                build,
                stage,
                phase,
            } => format!("build {build} is {phase} in stage {stage}"),
            Event::Vote {
                build,
                stage,
                vote,
                figures,
            } => {
                format!("voted {vote} on build {build} in stage {stage}: {figures}")
            }
            Event::Paused { duration } => {
                format!("this agent stood still for {:.1} s", duration.as_secs_f64())
            }
            Event::DepartureBegan(departure) => {
                let text = self.describe_departure(departure);
                format!("departure {}: {text}", departure.number)
            }
            Event::DepartureEnded(departure) => format!("departure {} has ended", departure.number),
        }
    }
}
