//! The main loop: passes each frame's events to the instances that they are for.
use std::collections::BTreeMap;
use std::io::{Read, Write};
use std::time::Duration;

use lilacgate_start_settings::{Instance, Settings};

use crate::delivery::{Limits, Pages, deliver};
use crate::error::{AdapterError, EventError};
use crate::segment::{InstanceRange, Segment, instance_ranges, last_stops};
use crate::wire::{Event, EventKind, Frame, Reply, read_frame};

/// Answers each frame of events with a frame of actions, until the input ends.
///
/// # Errors
/// The input or the output fails, or a frame cannot be used. Such a frame gets no answer.
pub fn serve(input: &mut impl Read, output: &mut impl Write) -> Result<(), AdapterError> {
    let mut host = Host::default();
    let mut reply = Reply::default();
    while let Some(frame) = read_frame(input)? {
        reply.clear();
        host.handle(&frame, &mut reply)?;
        reply
            .write(output)
            .and_then(|()| output.flush())
            .map_err(AdapterError::Output)?;
    }
    Ok(())
}

#[derive(Default)]
struct Host {
    instances: BTreeMap<u16, Instance>,
    pages: Pages,
}

impl Host {
    fn handle(&mut self, frame: &Frame, reply: &mut Reply) -> Result<(), AdapterError> {
        let records = frame.records();
        // Events that precede an instance's stop in the same frame must not lead to actions.
        let last_stops = last_stops(&records);
        for InstanceRange { instance, range } in instance_ranges(&records) {
            let live_start = last_stops
                .get(&instance)
                .filter(|stop| **stop >= range.start)
                .map_or(range.start, |stop| range.end.min(stop + 1));
            self.skip_stopped(&Segment {
                instance,
                first_position: range.start,
                records: &records[range.start..live_start],
            })?;
            let live = Segment {
                instance,
                first_position: live_start,
                records: &records[live_start..range.end],
            };
            self.run_round(frame.now, &live, reply)?;
        }
        Ok(())
    }

    /// Handles the records up to an instance's stop: removes the instance, and stores the pages among them, which
    /// other instances use too.
    fn skip_stopped(&mut self, segment: &Segment<'_, '_>) -> Result<(), AdapterError> {
        self.store_pages(segment)?;
        if let Some(instance) = segment.instance
            && segment
                .positions(EventKind::InstanceStopped)
                .next()
                .is_some()
        {
            self.instances.remove(&instance);
        }
        Ok(())
    }

    fn store_pages(&mut self, segment: &Segment<'_, '_>) -> Result<(), AdapterError> {
        for index in segment.positions(EventKind::EndpointPage) {
            if let Event::EndpointPage(page) = segment.event(index)? {
                self.pages
                    .store(page)
                    .map_err(|error| segment.error(index, error))?;
            }
        }
        Ok(())
    }

    fn run_round(
        &mut self,
        now: Duration,
        segment: &Segment<'_, '_>,
        reply: &mut Reply,
    ) -> Result<(), AdapterError> {
        let has_only_pages = segment
            .records
            .iter()
            .all(|record| record.kind() == Some(EventKind::EndpointPage));
        if has_only_pages {
            return self.store_pages(segment);
        }
        let Some(number) = segment.instance else {
            return Err(segment.error(0, EventError::NoInstance));
        };
        if !self.start_instances(number, segment, reply)? {
            return Ok(());
        }
        let Some(instance) = self.instances.get_mut(&number) else {
            return Err(segment.error(0, EventError::UnknownInstance));
        };
        let limits = Limits {
            classes: instance.request_classes,
            zones: instance.zones,
        };
        let pages = &mut self.pages;
        let mut result = Ok(());
        instance.engine.round(
            now,
            |handler| {
                result = (0..segment.records.len()).try_for_each(|index| {
                    let event = segment.event(index)?;
                    deliver(event, pages, limits, handler)
                        .map_err(|error| segment.error(index, error))
                });
            },
            reply.for_instance(number),
        );
        result
    }

    /// Creates the instance for each start in its segment, replacing the one before. Returns `false` if its settings
    /// cannot be used; the reply then holds a fatal error that says why.
    fn start_instances(
        &mut self,
        number: u16,
        segment: &Segment<'_, '_>,
        reply: &mut Reply,
    ) -> Result<bool, AdapterError> {
        for index in segment.positions(EventKind::InstanceStarted) {
            let Event::InstanceStarted { seed, settings } = segment.event(index)? else {
                continue;
            };
            let settings = std::str::from_utf8(settings)
                .map_err(|_| segment.error(index, EventError::SettingsNotUtf8))?;
            match lilacgate_start_settings::build_instance(seed, &Settings::from_lines(settings)) {
                Ok(instance) => drop(self.instances.insert(number, instance)),
                Err(error) => {
                    reply.for_instance(number).fatal(&error.to_string());
                    self.store_pages(segment)?;
                    return Ok(false);
                }
            }
        }
        Ok(true)
    }
}
