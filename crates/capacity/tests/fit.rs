//! Fits find the coefficients that produced the figures, report when a line does
//! not fit, and exclude what is held back.
use std::collections::BTreeMap;

use lilacgate_capacity::fit::{Fit, FitError, Point, RESIDUAL_BOUND, Shape, slopes};
use lilacgate_capacity::{Experiment, Factor, Quantity, Role, Sample, Size, Source};
use proptest::prelude::*;
use rstest::rstest;

const SIZES: [f64; 5] = [35.0, 150.0, 600.0, 2400.0, 9600.0];

fn points(figure: impl Fn(f64) -> f64) -> Vec<Point> {
    let point = |size| Point {
        size,
        figure: figure(size),
    };
    SIZES.map(point).to_vec()
}

proptest! {
    #[test]
    fn a_line_is_found(intercept in 0.0..10.0_f64, slope in 0.001..5.0_f64) {
        let fit = Fit::new(&points(|size| intercept + slope * size)).unwrap();
        prop_assert_eq!(fit.shape, Shape::Linear);
        prop_assert!((fit.slope / slope - 1.0).abs() < 1e-6, "{:?}", fit);
        prop_assert!(fit.residual < 1e-6);
        let expected = intercept + slope * 20_000.0;
        prop_assert!((fit.at(20_000.0) / expected - 1.0).abs() < 1e-6);
    }
}

#[rstest]
#[case::quadratic(|size: f64| 2.0 + 1e-4 * size * size, Shape::Quadratic)]
#[case::logarithmic(|size: f64| 30.0 * (size + 1.0).log2(), Shape::Logarithmic)]
fn a_curve_is_named(#[case] figure: fn(f64) -> f64, #[case] shape: Shape) {
    let fit = Fit::new(&points(figure)).unwrap();
    assert_eq!(fit.shape, shape);
    assert!(fit.is_good(), "{fit:?}");
    assert!((fit.at(10_000.0) / figure(10_000.0) - 1.0).abs() < 1e-3);
}

#[test]
fn what_nothing_fits_is_said() {
    let jagged = [1.0, 90.0, 2.0, 80.0, 3.0];
    let mut jagged = jagged.into_iter();
    let points: Vec<Point> = SIZES
        .map(|size| Point {
            size,
            figure: jagged.next().unwrap(),
        })
        .to_vec();
    let fit = Fit::new(&points).unwrap();
    assert!(!fit.is_good() && fit.residual > RESIDUAL_BOUND);
}

#[test]
fn one_size_measured_often_is_one_size() {
    let point = Point {
        size: 35.0,
        figure: 1.0,
    };
    assert_eq!(Fit::new(&[point; 9]), Err(FitError::TooFewSizes(1)));
}

fn sample(listed: u32, figure: f64, held_back: bool) -> Sample {
    Sample {
        experiment: Experiment::Slope,
        command: "lilacgate-scale slope listed".into(),
        seed: 1,
        source: Source::Hollow,
        role: Role::Agent,
        factor: Some(Factor::ListedAppliances),
        size: Size {
            listed_appliances: listed,
            ..Size::default()
        },
        event: None,
        held_back,
        complete: true,
        figures: BTreeMap::from([
            (Quantity::ControlCorePercent, figure),
            (Quantity::BrokenRules, 0.0),
        ]),
    }
}

#[test]
fn the_largest_size_is_predicted_and_not_fitted() {
    let mut samples = vec![
        sample(10, 1.0, false),
        sample(20, 2.0, false),
        sample(40, 4.0, false),
    ];
    samples.push(sample(100, 8.0, true));
    samples.push(Sample {
        complete: false,
        ..sample(30, 999.0, false)
    });
    let slopes = slopes(&samples);
    assert_eq!(slopes.len(), 1, "counts are not fitted: {slopes:?}");
    let predictions = slopes[0].predictions();
    assert!((predictions[0].predicted - 10.0).abs() < 1e-9);
    assert!((predictions[0].relative_error() - 0.25).abs() < 1e-9);
}
