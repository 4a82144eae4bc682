//! Figures at a size: measured there, measured near it, or worked out from
//! slopes.
use crate::analysis::{Analysis, FACTORS, by_size, is_same_fleet, largest};
use crate::fit::Slope;
use crate::result::{EventKind, Experiment, Factor, Quantity, Role, Sample, Size, Source};

/// Where a figure comes from.
#[derive(Clone, Copy, Debug, PartialEq)]
pub enum Basis {
    /// It was measured at the size in question.
    Measured,
    /// It was measured at the size in question, in an event.
    MeasuredIn(EventKind),
    /// It was measured at another size, the largest there is.
    MeasuredAt(Size),
    /// It was measured at a size with as many appliances and services; what
    /// other sizes add to it was worked out from slopes.
    Extended {
        /// Where it was measured.
        from: Size,
        /// Whether all slopes fit.
        fits: bool,
    },
    /// It was worked out from slopes.
    Predicted {
        /// Whether all slopes fit.
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
    /// there, hollow ones before real ones, or else what slopes say.
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

    /// An agent's figure that was measured before as many appliances and
    /// services, with other sizes added by their slopes. Of several the one
    /// with the most agents counts.
    fn extended(&self, role: Role, quantity: Quantity, size: &Size) -> Option<Estimate> {
        if role != Role::Agent {
            return None;
        }
        let is_wanted = |sample: &&Sample| {
            let counts = |size: &Size| (size.listed_appliances, size.services);
            let is_hollow = sample.source == Source::Hollow && sample.role == role;
            let is_near = is_steady(sample) && counts(&sample.size) == counts(size);
            is_hollow && is_near && sample.figure(quantity).is_some()
        };
        let near = self.complete().filter(is_wanted);
        let nearest = near.max_by(|one, other| by_size(&one.size, &other.size))?;
        let slopes = self.slopes_for(role, quantity, size);
        let moved: Vec<&Slope> = slopes
            .into_iter()
            .filter(|slope| slope.position(size) != slope.position(&nearest.size))
            .collect();
        let added: f64 = moved
            .iter()
            .map(|slope| rise(slope, &nearest.size, size))
            .sum();
        Some(Estimate {
            figure: nearest.figure(quantity)? + added,
            basis: Basis::Extended {
                from: nearest.size,
                fits: all_fit(&moved),
            },
            source: Source::Hollow,
        })
    }

    /// A figure worked out from slopes alone. An agent's costs are added; what
    /// a judge hears grows with the agents and with the releases that each of
    /// them reports on, so that its slopes multiply. For roles that serve all
    /// agents there is nothing but what was measured.
    fn predicted(&self, role: Role, quantity: Quantity, size: &Size) -> Option<Estimate> {
        let slopes = self.slopes_for(role, quantity, size);
        let steepest = slopes.iter().max_by(|one, other| {
            let rise = |slope: &Slope| rise(slope, &slope.base, size);
            rise(one).total_cmp(&rise(other))
        })?;
        let start = steepest.fit.ok()?.at(steepest.position(size));
        let others = slopes.iter().filter(|slope| slope.key != steepest.key);
        let figure = match role {
            Role::Agent => {
                start
                    + others
                        .map(|slope| rise(slope, &steepest.base, size))
                        .sum::<f64>()
            }
            Role::Judge => {
                start
                    * others
                        .map(|slope| growth(slope, &steepest.base, size))
                        .product::<f64>()
            }
            _ => return None,
        };
        Some(Estimate {
            figure,
            basis: Basis::Predicted {
                fits: all_fit(&slopes),
            },
            source: Source::Hollow,
        })
    }

    fn slopes_for(&self, role: Role, quantity: Quantity, size: &Size) -> Vec<&Slope> {
        let of_factor = |factor| self.slope_for(role, quantity, factor, size);
        FACTORS.into_iter().filter_map(of_factor).collect()
    }

    /// The fitted slope along a factor whose services are closest to a size's,
    /// if the size says anything of that factor.
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

    /// The figure of an event: the worst at the largest size it was played at.
    pub(crate) fn estimate_event(&self, quantity: Quantity, event: EventKind) -> Option<Estimate> {
        let is_wanted =
            |sample: &&Sample| sample.event == Some(event) && sample.figure(quantity).is_some();
        let wanted: Vec<&Sample> = self.complete().filter(is_wanted).collect();
        let size = wanted.iter().map(|sample| sample.size).max_by(by_size)?;
        let mut there = wanted;
        there.retain(|sample| by_size(&sample.size, &size).is_eq());
        let figure = largest(there.iter().filter_map(|sample| sample.figure(quantity)))?;
        let is_target = is_same_fleet(&size, &self.target.size());
        let basis = if is_target {
            Basis::Measured
        } else {
            Basis::MeasuredAt(size)
        };
        let is_hollow = there.iter().any(|sample| sample.source == Source::Hollow);
        let source = if is_hollow {
            Source::Hollow
        } else {
            Source::Process
        };
        Some(Estimate {
            figure,
            basis,
            source,
        })
    }
}

/// Whether a sample says what a whole fleet uses without an event.
fn is_steady(sample: &Sample) -> bool {
    let is_whole = matches!(sample.experiment, Experiment::Budget | Experiment::Predict);
    sample.event.is_none() && (is_whole || sample.held_back)
}

fn all_fit(slopes: &[&Slope]) -> bool {
    slopes
        .iter()
        .all(|slope| slope.fit.is_ok_and(|fit| fit.is_good()))
}

/// How much the cost grows from one size to another along the slope's factor.
fn rise(slope: &Slope, from: &Size, to: &Size) -> f64 {
    match slope.fit {
        Ok(fit) => fit.at(slope.position(to)) - fit.at(slope.position(from)),
        Err(_) => 0.0,
    }
}

/// How many times as much the cost is; 1 if it was nothing before.
fn growth(slope: &Slope, from: &Size, to: &Size) -> f64 {
    let Ok(fit) = slope.fit else { return 1.0 };
    let before = fit.at(slope.position(from));
    if before > 0.0 {
        fit.at(slope.position(to)) / before
    } else {
        1.0
    }
}
