//! Least squares fits of a cost against one size.
//!
//! A line is tried first. Where it does not fit, a logarithmic and a quadratic
//! term are tried, and the better one is kept. Samples that are held back are
//! excluded from a fit; they are predicted from it.
use std::collections::{BTreeMap, BTreeSet};

use nalgebra::{DMatrix, DVector};

use crate::result::{Experiment, Factor, Quantity, Role, Sample, Size, Source};

/// The largest relative residual at which a fit is accepted: the root of the
/// mean square of the residuals over the mean of the figures.
pub const RESIDUAL_BOUND: f64 = 0.05;
/// A cost that changes by no more than this part is flat.
pub const FLAT: f64 = 0.01;
/// Sizes that a line needs, one more than it has coefficients.
pub const LEAST_SIZES: usize = 3;
/// Sizes that a fit with a third term needs.
const LEAST_SIZES_OF_A_CURVE: usize = 4;
/// Singular values below this share of the largest count as zero.
const EPSILON: f64 = 1e-12;

/// One figure at one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Point {
    /// The size.
    pub size: f64,
    /// The figure.
    pub figure: f64,
}

/// The terms of a fit.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Shape {
    /// `a + b x`
    Linear,
    /// `a + b x + c log2(x + 1)`
    Logarithmic,
    /// `a + b x + c x^2`
    Quadratic,
}

impl Shape {
    fn curve(self, size: f64) -> Option<f64> {
        match self {
            Shape::Linear => None,
            Shape::Logarithmic => Some((size + 1.0).log2()),
            Shape::Quadratic => Some(size * size),
        }
    }

    fn terms(self, size: f64) -> Vec<f64> {
        let line = [1.0, size];
        line.into_iter().chain(self.curve(size)).collect()
    }
}

/// A cost as a function of one size.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Fit {
    /// Its terms.
    pub shape: Shape,
    /// The cost at size 0.
    pub intercept: f64,
    /// The cost per unit of size.
    pub slope: f64,
    /// The coefficient of the third term; 0 for a line.
    pub curve: f64,
    /// The relative residual (see [`RESIDUAL_BOUND`]).
    pub residual: f64,
    /// Sizes that it was fitted to.
    pub sizes: usize,
}

/// Why a cost cannot be fitted.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum FitError {
    /// There are not enough sizes.
    #[error("{0} sizes, {LEAST_SIZES} are needed")]
    TooFewSizes(usize),
    /// The least squares problem has no solution.
    #[error("no solution")]
    NoSolution,
}

impl Fit {
    /// Fits points; the shape is the first that fits, or the closest.
    ///
    /// # Errors
    /// There are fewer than [`LEAST_SIZES`] sizes.
    pub fn new(points: &[Point]) -> Result<Fit, FitError> {
        let sizes = count_sizes(points);
        if sizes < LEAST_SIZES {
            return Err(FitError::TooFewSizes(sizes));
        }
        let line = Fit::with_shape(Shape::Linear, points)?;
        if line.is_good() || sizes < LEAST_SIZES_OF_A_CURVE {
            return Ok(line);
        }
        let curves = [Shape::Logarithmic, Shape::Quadratic];
        let tried = curves.map(|shape| Fit::with_shape(shape, points));
        let best = tried.into_iter().flatten().chain([line]);
        let best = best.min_by(|one, other| one.residual.total_cmp(&other.residual));
        best.ok_or(FitError::NoSolution)
    }

    fn with_shape(shape: Shape, points: &[Point]) -> Result<Fit, FitError> {
        let scale = points
            .iter()
            .map(|point| point.size)
            .fold(0.0, f64::max)
            .max(1.0);
        let columns = shape.terms(1.0).len();
        // Columns of similar length keep the matrix well conditioned.
        let unit = shape.terms(scale);
        let design = DMatrix::from_fn(points.len(), columns, |row, column| {
            shape.terms(points[row].size)[column] / unit[column]
        });
        let figures = DVector::from_iterator(points.len(), points.iter().map(|point| point.figure));
        let solved = design.svd(true, true).solve(&figures, EPSILON);
        let solved = solved.map_err(|_| FitError::NoSolution)?;
        let coefficient = |column: usize| match unit.get(column) {
            Some(unit) => solved[column] / unit,
            None => 0.0,
        };
        let fit = Fit {
            shape,
            intercept: coefficient(0),
            slope: coefficient(1),
            curve: coefficient(2),
            residual: 0.0,
            sizes: count_sizes(points),
        };
        let residual = fit.relative_residual(points);
        Ok(Fit { residual, ..fit })
    }

    fn relative_residual(&self, points: &[Point]) -> f64 {
        let count = points.len() as f64;
        let squares = points
            .iter()
            .map(|point| (point.figure - self.at(point.size)).powi(2));
        let root = (squares.sum::<f64>() / count).sqrt();
        let mean = points.iter().map(|point| point.figure.abs()).sum::<f64>() / count;
        if mean > 0.0 { root / mean } else { 0.0 }
    }

    /// The cost at a size.
    pub fn at(&self, size: f64) -> f64 {
        let curve = self.shape.curve(size).unwrap_or(0.0);
        self.intercept + self.slope * size + self.curve * curve
    }

    /// Whether the residual is within [`RESIDUAL_BOUND`].
    pub fn is_good(&self) -> bool {
        self.residual <= RESIDUAL_BOUND
    }
}

fn count_sizes(points: &[Point]) -> usize {
    let sizes: BTreeSet<u64> = points.iter().map(|point| point.size.to_bits()).collect();
    sizes.len()
}

/// A held back figure and its prediction from the fit.
#[derive(Clone, Copy, Debug, PartialEq)]
pub struct Prediction {
    /// The measured figure.
    pub measured: Point,
    /// The figure by the fit.
    pub predicted: f64,
}

impl Prediction {
    /// The error over the measured figure; negative if too little was
    /// predicted.
    pub fn relative_error(&self) -> f64 {
        let error = self.predicted - self.measured.figure;
        if error == 0.0 {
            0.0
        } else {
            error / self.measured.figure.abs()
        }
    }
}

/// Identifies a slope.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct SlopeKey {
    /// The role whose cost it is.
    pub role: Role,
    /// The size that varies.
    pub factor: Factor,
    /// The cost.
    pub quantity: Quantity,
    /// What was run.
    pub source: Source,
    /// The services of its samples, unless these vary: a list costs less in one
    /// service than over many.
    pub services: Option<u32>,
}

/// The fit of one cost against one size.
#[derive(Clone, Debug, PartialEq)]
pub struct Slope {
    /// Its identity.
    pub key: SlopeKey,
    /// The commands that produced its samples, without duplicates.
    pub commands: BTreeSet<String>,
    /// The sizes of the smallest sample; all samples have the same sizes along
    /// the factors that do not vary.
    pub base: Size,
    /// The points that were fitted.
    pub points: Vec<Point>,
    /// The fit.
    pub fit: Result<Fit, FitError>,
    /// The held back figures.
    pub held_back: Vec<Point>,
}

impl Slope {
    /// The position of a size along this slope's factor. The request rate is
    /// that of the slope's number of agents, at the rate per agent of the size.
    pub fn position(&self, size: &Size) -> f64 {
        let along = size.along(self.key.factor);
        match self.key.factor {
            Factor::RequestRate => along * self.agents() / f64::from(size.agents.max(1)),
            _ => along,
        }
    }

    fn agents(&self) -> f64 {
        f64::from(self.base.agents)
    }

    /// Whether the cost hardly changes over the sizes that were fitted.
    pub fn is_flat(&self) -> bool {
        let figures = self.points.iter().map(|point| point.figure);
        let most = figures.clone().fold(f64::MIN, f64::max);
        let least = figures.fold(f64::MAX, f64::min);
        most - least <= FLAT * most.abs()
    }

    /// The held back figures with their predictions; empty without a fit.
    pub fn predictions(&self) -> Vec<Prediction> {
        let Ok(fit) = self.fit else { return Vec::new() };
        let predict = |&measured: &Point| Prediction {
            measured,
            predicted: fit.at(measured.size),
        };
        self.held_back.iter().map(predict).collect()
    }
}

/// Fits all slopes among the samples; runs that were interrupted are left out.
/// A slope's samples are those of one role, factor, source and number of
/// services (unless that is the factor), with experiment
/// [`Experiment::Slope`], [`Experiment::Predict`] where they are held back, or
/// [`Experiment::Budget`] with a factor: a slope of a shape of its own.
pub fn slopes(samples: &[Sample]) -> Vec<Slope> {
    let mut groups: BTreeMap<SlopeKey, Vec<&Sample>> = BTreeMap::new();
    for sample in samples.iter().filter(|sample| sample.complete) {
        for key in keys(sample) {
            groups.entry(key).or_default().push(sample);
        }
    }
    groups
        .into_iter()
        .map(|(key, group)| slope(key, &group))
        .collect()
}

fn keys(sample: &Sample) -> impl Iterator<Item = SlopeKey> {
    let is_slope = matches!(
        sample.experiment,
        Experiment::Slope | Experiment::Predict | Experiment::Budget
    );
    let factor = sample.factor.filter(|_| is_slope);
    let quantities = sample.figures.keys().copied().filter(|one| is_cost(*one));
    quantities.filter_map(move |quantity| {
        Some(SlopeKey {
            role: sample.role,
            factor: factor?,
            quantity,
            source: sample.source,
            services: (factor != Some(Factor::Services)).then_some(sample.size.services),
        })
    })
}

fn slope(key: SlopeKey, samples: &[&Sample]) -> Slope {
    let points_of = |held_back: bool| -> Vec<Point> {
        let chosen = samples
            .iter()
            .filter(|sample| sample.held_back == held_back);
        chosen.filter_map(|sample| point(&key, sample)).collect()
    };
    let points = points_of(false);
    let sizes = samples.iter().map(|sample| sample.size);
    let base = sizes.min_by(|one, other| {
        let along = |size: &Size| size.along(key.factor);
        along(one).total_cmp(&along(other))
    });
    Slope {
        key,
        base: base.unwrap_or_default(),
        commands: samples
            .iter()
            .map(|sample| sample.command.clone())
            .collect(),
        fit: Fit::new(&points),
        points,
        held_back: points_of(true),
    }
}

fn point(key: &SlopeKey, sample: &Sample) -> Option<Point> {
    Some(Point {
        size: sample.size.along(key.factor),
        figure: sample.figure(key.quantity)?,
    })
}

/// Whether a quantity is a cost that grows with a size, and not a count or a
/// setting of the run.
fn is_cost(quantity: Quantity) -> bool {
    matches!(
        quantity,
        Quantity::ControlCorePercent
            | Quantity::WorstSecondCorePercent
            | Quantity::WorstRoundMicros
            | Quantity::RoundP99Micros
            | Quantity::MemoryMegabytes
            | Quantity::BytesInPerSecond
            | Quantity::BytesOutPerSecond
            | Quantity::MessagesInPerSecond
            | Quantity::MessagesOutPerSecond
            | Quantity::ListBytes
            | Quantity::ListMicros
            | Quantity::InForceMillis
            | Quantity::RestartBytes
            | Quantity::ReadyMillis
            | Quantity::AddedLatencyMillis
            | Quantity::StateEntries
    )
}
