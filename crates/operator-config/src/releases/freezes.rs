//! The element `<freeze>`: windows of time in which builds are not released to new users.
use lilacgate_releases::calendar::{self, Schedule, TimeZone};
use lilacgate_releases::model::{Freeze, ServiceId};
use roxmltree::Node;

use super::{ReleasesReader, RuleElement};
use crate::places;
use crate::xml::{AttributeError, FaultKind};

/// Reads whether canaries are also closed to those who have them.
fn read_closes_canary(text: &str) -> Result<bool, AttributeError> {
    match text {
        "hold" => Ok(false),
        "close" => Ok(true),
        _ => Err(AttributeError::Expected("hold or close")),
    }
}

impl ReleasesReader<'_, '_> {
    pub(super) fn freeze(&self, node: Node<'_, '_>) -> Option<Freeze> {
        let reader = self.reader;
        reader.check_attributes(node, &["name", "service", "zones", "firms", "keeps"]);
        let name = reader.required(node, "name", places::read_name);
        let service = self.frozen_service(node);
        let closes = reader.optional(node, "keeps", read_closes_canary);
        let pairs = self.pairs(node);
        let windows = reader.children(node, &["once", "weekly", "yearly", "declared"]);
        let [window] = windows[..] else {
            reader.report(node, FaultKind::FreezeWindow);
            return None;
        };
        Some(Freeze {
            schedule: self.window(window)?,
            service: service?,
            name: name?,
            pairs: pairs?,
            closes_canary: closes.unwrap_or(false),
        })
    }

    /// Reads the service that a freeze applies to: `Some(None)` for all services, and `None` if the service is not
    /// defined, so that the freeze does not apply to all services by mistake.
    fn frozen_service(&self, node: Node<'_, '_>) -> Option<Option<ServiceId>> {
        if node.attribute("service").is_none() {
            return Some(None);
        }
        let service = self
            .reader
            .optional(node, "service", |text| self.find_service(text));
        service.map(Some)
    }

    fn window(&self, node: Node<'_, '_>) -> Option<Schedule> {
        self.reader.children(node, &[]);
        let kind = node.tag_name().name();
        if kind == "declared" {
            self.reader.check_attributes(node, &[]);
            return Some(Schedule::Declared);
        }
        self.reader.check_attributes(node, &["from", "to"]);
        let zone = self.window_time_zone()?;
        match kind {
            "once" => self.one_time(node, &zone),
            "weekly" => self.weekly(node, zone),
            _ => self.yearly(node, zone),
        }
    }

    fn window_time_zone(&self) -> Option<TimeZone> {
        // An unknown time zone has already been reported.
        if self.node.attribute("time-zone").is_none() {
            self.reader
                .report(self.node, FaultKind::WindowsNeedTimeZone);
        }
        self.time_zone.clone()
    }

    fn one_time(&self, node: Node<'_, '_>, zone: &TimeZone) -> Option<Schedule> {
        let from = self
            .reader
            .required(node, "from", calendar::parse_date_time);
        let to = self.reader.required(node, "to", calendar::parse_date_time);
        let from = calendar::earliest_instant(zone, from?);
        let to = calendar::latest_instant(zone, to?);
        if from >= to {
            let fault = FaultKind::ContradictingAttribute {
                attribute: "to",
                expected: "a time after from",
            };
            self.reader.report_at(node, "to", fault);
            return None;
        }
        Some(Schedule::OneTime { from, to })
    }

    fn weekly(&self, node: Node<'_, '_>, zone: TimeZone) -> Option<Schedule> {
        let from = self
            .reader
            .required(node, "from", calendar::parse_week_time);
        let to = self.reader.required(node, "to", calendar::parse_week_time);
        Some(Schedule::Weekly {
            zone,
            from: from?,
            to: to?,
        })
    }

    fn yearly(&self, node: Node<'_, '_>, zone: TimeZone) -> Option<Schedule> {
        let from = self
            .reader
            .required(node, "from", calendar::parse_year_time);
        let to = self.reader.required(node, "to", calendar::parse_year_time);
        Some(Schedule::Yearly {
            zone,
            from: from?,
            to: to?,
        })
    }

    pub(super) fn check_freeze_names(&self, freezes: &[RuleElement<'_, Freeze>]) {
        for (index, freeze) in freezes.iter().enumerate() {
            let name = &freeze.rule.name;
            let earlier = &freezes[..index];
            if earlier.iter().any(|other| other.rule.name == *name) {
                let fault = FaultKind::DefinedTwice {
                    kind: "freeze",
                    name: name.clone(),
                };
                self.reader.report(self.node, fault);
            }
        }
    }
}
