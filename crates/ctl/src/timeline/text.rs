//! Entries and departures in plain words.
use std::time::Duration;

use lilacgate_timeline::entry::{Departure, Entry, Kind, What, Whom};

use super::read::Timelines;
use crate::time;

impl Timelines {
    /// A time to the second, in the reader's time zone.
    pub(super) fn show(&self, at: Duration) -> String {
        time::show(at, &self.zone)
    }

    /// The time of day, to the tenth of a second.
    pub(super) fn clock(&self, at: Duration) -> String {
        let text = self.show(at);
        let time_of_day = text.get(11..19).unwrap_or(&text);
        format!("{time_of_day}.{}", at.subsec_millis() / 100)
    }

    fn whom(&self, whom: Whom) -> String {
        match whom {
            Whom::Node(node) => format!("node {}", self.name(node)),
            Whom::Build(build) => format!("build {build}"),
            Whom::Fleet => "the fleet".into(),
        }
    }

    /// A departure, without its times.
    pub(super) fn describe_departure(&self, departure: &Departure) -> String {
        let whom = self.whom(departure.whom);
        let class = departure
            .product
            .map(|class| format!(" of {}", self.request_class(class)))
            .unwrap_or_default();
        let (seen, usual) = (departure.seen * 100.0, departure.usual * 100.0);
        let text = match departure.kind {
            Kind::Errors => {
                format!("{whom} failed {seen:.0}%{class}, where {usual:.0}% are usual")
            }
            Kind::Latency => {
                format!("{whom} was late with {seen:.0}%{class}, where {usual:.0}% are usual")
            }
            Kind::Silence => format!("{whom} owed answers and said nothing"),
            Kind::Links => format!("{whom} refused or broke {seen:.0}% of its links"),
            Kind::Load => format!("{whom} held far more than its share"),
            Kind::Restart => format!("{whom} came back as another process of the same build"),
        };
        let beside = departure.beside.map(|(build, stage)| {
            format!("; stage {stage} of build {build} had begun shortly before")
        });
        text + &beside.unwrap_or_default()
    }

    /// What an entry records.
    pub(super) fn describe_entry(&self, entry: &Entry) -> String {
        match &entry.what {
            What::Listed {
                state,
                build,
                started,
            } => {
                let since = started
                    .map(|at| format!(", started {}", self.clock(at)))
                    .unwrap_or_default();
                format!("listed {state} with build {build}{since}")
            }
            What::Barred { why, until } => {
                format!("left alone until {}: {why}", self.clock(*until))
            }
            What::Tried => "tried with a request".into(),
            What::Unbarred => "taken in again".into(),
            What::CalledOff { product } => {
                format!("an attempt of {} called off", self.request_class(*product))
            }
            What::GivenUp { why, many } => format!("{many} requests given up: {why}"),
            What::Stage {
                build,
                stage,
                course,
            } => format!("build {build} is {course} in stage {stage}"),
            What::Vote {
                build,
                stage,
                verdict,
                figures,
            } => {
                format!("voted {verdict} on build {build} in stage {stage}: {figures}")
            }
            What::StoodStill { long } => {
                format!("this agent stood still for {:.1} s", long.as_secs_f64())
            }
            What::Departed(departure) => {
                let text = self.describe_departure(departure);
                format!("departure {}: {text}", departure.number)
            }
            What::Returned(departure) => format!("departure {} has ended", departure.number),
        }
    }
}
