//! Figures at a size: measured at it, measured near it, or computed from slopes.
use crate::analysis::{Analysis, FACTORS, by_size, is_same_fleet, largest};
use crate::fit::Slope;
use crate::result::{EventKind, Experiment, Factor, Quantity, Role, Sample, Size, Source};

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Basis {
    /// It was measured at the size in question.
    Measured,
    /// It was measured in an event, with the same numbers of appliances and
    /// services.
    MeasuredIn {
        /// The event.
        event: EventKind,
        /// The size.
        size: Size,
    },
    /// It was measured at another size, the largest of all samples.
    MeasuredAt(Size),
    /// It was measured at a size with the same numbers of appliances and
    /// services; the difference of other sizes was computed from slopes.
    Extended {
        /// The size that it was measured at.
        from: Size,
        /// Whether all slopes fit; those that do not are excluded.
        fits: bool,
    },
    /// It was computed from slopes.
    Predicted {
        /// Whether all slopes fit; those that do not are excluded.
        fits: bool,
    },
}

/// A figure and where it comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Estimate {
    /// The figure.
    pub figure: f64,
    /// Where it comes from.
    pub basis: Basis,
    /// What was run.
    pub source: Source,
}

impl Analysis<'_> {
    /// A figure at a size, without an event: the largest that was measured
    /// there, of hollow agents before real ones, or else computed from slopes.
    pub fn estimate(&self, role: Role, quantity: Quantity, size: &Size) -> Option<Estimate> {
        self.measured(role, quantity, size, Source::Hollow)
            .or_else(|| self.measured(role, quantity, size, Source::Process))
            .or_else(|| self.extended(role, quantity, size))
            .or_else(|| self.predicted(role, quantity, size))
    }

    fn measured(
        &self,
        role: Role,
        quantity: Quantity,
        size: &Size,
        source: Source,
    ) -> Option<Estimate> {
        let is_wanted = |sample: &&Sample| {
            let is_own = sample.role == role && sample.source == source;
            is_own && is_steady(sample) && is_same_fleet(&sample.size, size)
        };
        let wanted = self.complete().filter(is_wanted);
        let figure = largest(wanted.filter_map(|sample| sample.figure(quantity)))?;
        Some(Estimate {
            figure,
            basis: Basis::Measured,
            source,
        })
    }

    /// An agent's figure that was measured with the same numbers of appliances
    /// and services, plus the difference of other sizes by their slopes. Of
    /// several the largest fleet counts.
    fn extended(&self, role: Role, quantity: Quantity, size: &Size) -> Option<Estimate> {
        if role != Role::Agent {
            return None;
        }
        let is_wanted = |sample: &&Sample| {
            let is_hollow = sample.source == Source::Hollow && sample.role == role;
            let is_near = is_steady(sample) && lists_as_much(&sample.size, size);
            is_hollow && is_near && sample.figure(quantity).is_some()
        };
        let near = self.complete().filter(is_wanted);
        let nearest = near.max_by(|one, other| by_size(&one.size, &other.size))?;
        let mut slopes = self.slopes_for(role, quantity, size);
        slopes.retain(|slope| slope.position(size) != slope.position(&nearest.size));
        let added = rises(&slopes, &nearest.size, size);
        let basis = Basis::Extended {
            from: nearest.size,
            fits: slopes.iter().all(|slope| is_good(slope)),
        };
        not_negative(nearest.figure(quantity)? + added, basis)
    }

    /// An agent's figure computed from slopes alone: the steepest one at the
    /// size, plus the rise of the others. A role that serves many agents has a
    /// cost for each of them, so that the rises of its slopes cannot be added.
    fn predicted(&self, role: Role, quantity: Quantity, size: &Size) -> Option<Estimate> {
        if role != Role::Agent {
            return None;
        }
        let slopes = self.slopes_for(role, quantity, size);
        let good = slopes.iter().filter(|slope| is_good(slope));
        let steepest = good.max_by(|one, other| {
            let rise = |slope: &Slope| rise(slope, &slope.base, size);
            rise(one).total_cmp(&rise(other))
        })?;
        let start = steepest.fit.ok()?.at(steepest.position(size));
        let mut others = slopes.clone();
        others.retain(|slope| slope.key != steepest.key);
        let basis = Basis::Predicted {
            fits: slopes.iter().all(|slope| is_good(slope)),
        };
        not_negative(start + rises(&others, &steepest.base, size), basis)
    }

    fn slopes_for(&self, role: Role, quantity: Quantity, size: &Size) -> Vec<&Slope> {
        let of_factor = |factor| self.slope_for(role, quantity, factor, size);
        FACTORS.into_iter().filter_map(of_factor).collect()
    }

    /// The fitted slope along a factor whose number of services is closest to
    /// the size's; `None` if the size is 0 along that factor.
    pub(crate) fn slope_for(
        &self,
        role: Role,
        quantity: Quantity,
        factor: Factor,
        size: &Size,
    ) -> Option<&Slope> {
        let slopes = self.slopes.iter().filter(|slope| {
            let key = slope.key;
            let wanted = (role, quantity, factor, Source::Hollow);
            (key.role, key.quantity, key.factor, key.source) == wanted && slope.fit.is_ok()
        });
        let distance = |slope: &&Slope| slope.base.services.abs_diff(size.services);
        slopes
            .filter(|_| size.along(factor) > 0.0)
            .min_by_key(distance)
    }

    /// The sum of quantities in the worst of these events, measured with
    /// as many appliances and services as the target has.
    pub(crate) fn worst_event(
        &self,
        role: Role,
        parts: &[Quantity],
        is_counted: impl Fn(EventKind) -> bool,
    ) -> Option<Estimate> {
        let target = self.target.size();
        let in_events = self.complete().filter_map(|sample| {
            let is_near = sample.role == role && lists_as_much(&sample.size, &target);
            let event = sample.event.filter(|event| is_near && is_counted(*event))?;
            Some(Estimate {
                figure: sample.sum(parts)?,
                basis: Basis::MeasuredIn {
                    event,
                    size: sample.size,
                },
                source: sample.source,
            })
        });
        in_events.max_by(|one, other| one.figure.total_cmp(&other.figure))
    }

    /// The sum of quantities in the largest fleet where all were measured, with
    /// or without an event: of those with the most agents, the one with the
    /// most appliances.
    pub(crate) fn nearest(&self, role: Role, parts: &[Quantity]) -> Option<Estimate> {
        let is_wanted = |sample: &&Sample| {
            let is_run = sample.experiment != Experiment::Detection;
            is_run && sample.role == role && sample.sum(parts).is_some()
        };
        let largest = self.complete().filter(is_wanted).max_by(|one, other| {
            let agents = one.size.agents.cmp(&other.size.agents);
            agents.then(by_size(&one.size, &other.size))
        })?;
        Some(Estimate {
            figure: largest.sum(parts)?,
            basis: Basis::MeasuredAt(largest.size),
            source: largest.source,
        })
    }

    /// The figure of an event: the worst at the largest size it was measured at.
    pub(crate) fn largest_event(&self, quantity: Quantity, event: EventKind) -> Option<Estimate> {
        let is_wanted =
            |sample: &&Sample| sample.event == Some(event) && sample.figure(quantity).is_some();
        let wanted: Vec<&Sample> = self.complete().filter(is_wanted).collect();
        let size = wanted.iter().map(|sample| sample.size).max_by(by_size)?;
        let there = wanted
            .iter()
            .filter(|sample| by_size(&sample.size, &size).is_eq());
        let worst = there.max_by(|one, other| {
            let figure = |sample: &Sample| sample.figure(quantity).unwrap_or_default();
            figure(one).total_cmp(&figure(other))
        })?;
        let is_target = is_same_fleet(&size, &self.target.size());
        let basis = if is_target {
            Basis::Measured
        } else {
            Basis::MeasuredAt(size)
        };
        Some(Estimate {
            figure: worst.figure(quantity)?,
            basis,
            source: worst.source,
        })
    }
}

/// `None` for a figure below 0: its slopes do not extend that far.
fn not_negative(figure: f64, basis: Basis) -> Option<Estimate> {
    (figure >= 0.0).then_some(Estimate {
        figure,
        basis,
        source: Source::Hollow,
    })
}

/// Whether both have the same numbers of appliances and services, which an
/// agent's lists consist of.
fn lists_as_much(one: &Size, other: &Size) -> bool {
    let counts = |size: &Size| (size.listed_appliances, size.services);
    counts(one) == counts(other)
}

/// Whether a sample is of a whole fleet without an event: not a point of a
/// slope, unless it is the largest one.
fn is_steady(sample: &Sample) -> bool {
    let is_whole = match sample.experiment {
        Experiment::Budget | Experiment::Predict | Experiment::Process => true,
        Experiment::Slope => sample.factor.is_none() || sample.held_back,
        Experiment::Event | Experiment::Detection => false,
    };
    is_whole && sample.event.is_none()
}

fn is_good(slope: &Slope) -> bool {
    slope.fit.is_ok_and(|fit| fit.is_good())
}

/// The sum of the rises of all slopes that fit, from one size to another.
fn rises(slopes: &[&Slope], from: &Size, to: &Size) -> f64 {
    let good = slopes.iter().filter(|slope| is_good(slope));
    good.map(|slope| rise(slope, from, to)).sum()
}

/// How much the cost grows from one size to another along the slope's factor. A
/// cost that falls as the size grows is assumed to stay constant, as the fall
/// may not continue.
fn rise(slope: &Slope, from: &Size, to: &Size) -> f64 {
    let Ok(fit) = slope.fit else { return 0.0 };
    let (from, to) = (slope.position(from), slope.position(to));
    let change = fit.at(to) - fit.at(from);
    if to > from { change.max(0.0) } else { change }
}
