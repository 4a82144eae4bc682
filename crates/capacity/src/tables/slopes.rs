//! The tables of slopes and of the predictions from them.
use super::services_text;
use crate::analysis::Analysis;
use crate::fit::{Fit, Slope};
use crate::markdown::Table;
use crate::words;

/// All slopes of costs that change with the size.
pub(super) fn slopes(analysis: &Analysis) -> String {
    let head = [
        "role", "cost", "x", "services", "run", "sizes", "terms", "a", "b", "c", "residual", "fits",
    ];
    let mut table = Table::new(&head);
    for slope in analysis.slopes.iter().filter(|slope| !slope.is_flat()) {
        let key = slope.key;
        let mut cells = vec![
            words::role(key.role).to_owned(),
            words::quantity(key.quantity).to_owned(),
            words::factor(key.factor).to_owned(),
            services_text(key.services),
            words::source(key.source).to_owned(),
            sizes_text(slope),
        ];
        match slope.fit {
            Ok(fit) => cells.extend(fit_cells(&fit)),
            Err(error) => {
                cells.push(error.to_string());
                cells.extend(["-"; 5].map(str::to_owned));
            }
        }
        table.row(&cells);
    }
    table.finish()
}

fn sizes_text(slope: &Slope) -> String {
    let mut sizes: Vec<f64> = slope.points.iter().map(|point| point.size).collect();
    sizes.sort_by(f64::total_cmp);
    sizes.dedup();
    let sizes: Vec<String> = sizes.into_iter().map(words::number).collect();
    sizes.join("; ")
}

fn fit_cells(fit: &Fit) -> [String; 6] {
    [
        words::shape(fit.shape).into(),
        words::number(fit.intercept),
        words::number(fit.slope),
        words::number(fit.curve),
        words::percent(fit.residual),
        (if fit.is_good() { "yes" } else { "no" }).into(),
    ]
}

/// Held back figures and their predictions from slopes.
pub(super) fn predictions(analysis: &Analysis) -> String {
    let head = [
        "role",
        "cost",
        "x",
        "services",
        "run",
        "size",
        "measured",
        "predicted",
        "error",
    ];
    let mut table = Table::new(&head);
    for slope in analysis.slopes.iter().filter(|slope| !slope.is_flat()) {
        for prediction in slope.predictions() {
            table.row(&[
                words::role(slope.key.role).into(),
                words::quantity(slope.key.quantity).into(),
                words::factor(slope.key.factor).into(),
                services_text(slope.key.services),
                words::source(slope.key.source).into(),
                words::number(prediction.measured.size),
                words::number(prediction.measured.figure),
                words::number(prediction.predicted),
                words::percent(prediction.relative_error()),
            ]);
        }
    }
    table.finish()
}
