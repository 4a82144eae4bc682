//! The two plots of the capacity page, as SVG: budgets, and cost against size.
use std::fmt::Display;
use std::fs;
use std::io;
use std::path::{Path, PathBuf};

use plotters::coord::Shift;
use plotters::prelude::*;
use plotters::style::text_anchor::{HPos, Pos, VPos};

use crate::analysis::Analysis;
use crate::budget::BudgetRow;
use crate::fit::{Point, Slope};
use crate::result::{Sample, Source};
use crate::target::Target;
use crate::words;

/// The file of the plot of budgets.
pub const BUDGETS_FILE: &str = "budgets.svg";
/// The file of the plot of cost against size.
pub const COST_FILE: &str = "cost.svg";

const SIZE: (u32, u32) = (960, 540);
const FONT: &str = "sans-serif";
const TITLE_SIZE: u32 = 20;
const TEXT_SIZE: u32 = 14;
const TEXT_GAP: i32 = 6;
const LEGEND_WIDTH: i32 = 16;
/// The radius of a measured point, in pixels.
const POINT_RADIUS: i32 = 3;
/// The space above and below a bar, as a share of its row.
const BAR_SIDES: f64 = 0.2;
const MARGIN: u32 = 12;
/// The width of the column of budget names, in pixels.
const NAMES_WIDTH: u32 = 400;
const AXIS_SIZE: u32 = 44;
/// Points of a fitted curve.
const CURVE_POINTS: u32 = 60;
/// The least value of both axes of the cost plot, as a share of the target.
const LEAST_SHARE: f64 = 1e-3;
/// The largest size of the cost plot, in multiples of the target.
const MOST_SHARE: f64 = 10.0;
const COLORS: [RGBColor; 8] = [
    RGBColor(31, 119, 180),
    RGBColor(214, 39, 40),
    RGBColor(44, 130, 44),
    RGBColor(148, 103, 189),
    RGBColor(140, 86, 75),
    RGBColor(200, 90, 10),
    RGBColor(23, 150, 170),
    RGBColor(110, 110, 110),
];

/// Why a plot cannot be drawn or saved.
#[derive(Debug, thiserror::Error)]
pub enum PlotError {
    /// Drawing failed.
    #[error("drawing a plot: {0}")]
    Draw(String),
    /// The file cannot be written.
    #[error("{}: {source}", path.display())]
    File {
        /// The file.
        path: PathBuf,
        /// The system's error.
        source: io::Error,
    },
}

/// Draws both plots into a directory, which is created if it is missing;
/// returns the paths of their files.
///
/// # Errors
/// A plot cannot be drawn or saved.
pub fn save(
    directory: &Path,
    samples: &[Sample],
    target: &Target,
) -> Result<[PathBuf; 2], PlotError> {
    let analysis = Analysis::new(samples, target);
    fs::create_dir_all(directory).map_err(|source| file_error(directory, source))?;
    let budgets_path = directory.join(BUDGETS_FILE);
    write(&budgets_path, &budgets(&analysis)?)?;
    let cost_path = directory.join(COST_FILE);
    write(&cost_path, &cost_against_size(&analysis)?)?;
    Ok([budgets_path, cost_path])
}

fn write(path: &Path, text: &str) -> Result<(), PlotError> {
    fs::write(path, text).map_err(|source| file_error(path, source))
}

fn file_error(path: &Path, source: io::Error) -> PlotError {
    PlotError::File {
        path: path.to_owned(),
        source,
    }
}

fn draw_error(error: impl Display) -> PlotError {
    PlotError::Draw(error.to_string())
}

type Area<'a> = DrawingArea<SVGBackend<'a>, Shift>;

fn draw(drawing: impl FnOnce(&Area) -> Result<(), PlotError>) -> Result<String, PlotError> {
    let mut text = String::new();
    {
        let area = SVGBackend::with_string(&mut text, SIZE).into_drawing_area();
        area.fill(&WHITE).map_err(draw_error)?;
        drawing(&area)?;
        area.present().map_err(draw_error)?;
    }
    Ok(text)
}

fn draw_not_measured(area: &Area, title: &str) -> Result<(), PlotError> {
    let style = (FONT, TITLE_SIZE).into_font();
    let text = format!("{title}: {}", words::NOT_MEASURED);
    let label = Text::new(text, (MARGIN as i32, MARGIN as i32), style);
    area.draw(&label).map_err(draw_error)
}

/// A bar for each budget: the ratio of the target's cost to the limit, with the
/// factor of real agents.
///
/// # Errors
/// The plot cannot be drawn.
pub fn budgets(analysis: &Analysis) -> Result<String, PlotError> {
    const TITLE: &str = "Budgets: figure at the target over the limit";
    let rows: Vec<BudgetRow> = analysis.budgets();
    let bars: Vec<Bar> = rows.iter().filter_map(bar).collect();
    draw(|area| {
        if bars.is_empty() {
            return draw_not_measured(area, TITLE);
        }
        draw_bars(area, TITLE, &bars)
    })
}

/// A budget of the bar plot.
struct Bar {
    name: String,
    /// The ratio of the cost to the limit.
    times: f64,
}

fn bar(row: &BudgetRow) -> Option<Bar> {
    Some(Bar {
        name: format!("{}: {}", words::role(row.role), words::budget(row.kind)),
        times: row.times_of_process()?,
    })
}

fn draw_bars(area: &Area, title: &str, bars: &[Bar]) -> Result<(), PlotError> {
    let smallest = bars.iter().map(|bar| bar.times).fold(1.0, f64::min);
    let largest = bars.iter().map(|bar| bar.times).fold(1.0, f64::max);
    let least = (smallest / 2.0).max(LEAST_SHARE);
    let count = bars.len();
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, TITLE_SIZE))
        .margin(MARGIN)
        .margin_right(MARGIN * 5)
        .x_label_area_size(AXIS_SIZE)
        .y_label_area_size(NAMES_WIDTH)
        .build_cartesian_2d((least..largest * 2.0).log_scale(), 0.0..count as f64)
        .map_err(draw_error)?;
    chart
        .configure_mesh()
        .disable_y_mesh()
        .disable_y_axis()
        .x_desc("times the limit (logarithmic)")
        .x_label_formatter(&|times| words::number(*times))
        .label_style((FONT, TEXT_SIZE))
        .draw()
        .map_err(draw_error)?;
    for (index, Bar { name, times }) in bars.iter().enumerate() {
        let top = (count - index) as f64;
        let color = if *times > 1.0 { COLORS[1] } else { COLORS[0] };
        let end = times.max(least);
        let corners = [(least, top - BAR_SIDES), (end, top - 1.0 + BAR_SIDES)];
        let rectangle = Rectangle::new(corners, color.filled());
        chart.draw_series([rectangle]).map_err(draw_error)?;
        let left = chart.backend_coord(&(least, top - 0.5));
        draw_text(area, name, left, HPos::Right)?;
        let right = chart.backend_coord(&(end, top - 0.5));
        draw_text(area, &words::number(*times), right, HPos::Left)?;
    }
    let limit = [(1.0, 0.0), (1.0, count as f64)];
    let line = LineSeries::new(limit, BLACK.stroke_width(2));
    chart.draw_series(line).map_err(draw_error)?;
    Ok(())
}

/// Draws text beside a position, with a small gap.
fn draw_text(area: &Area, text: &str, (x, y): (i32, i32), side: HPos) -> Result<(), PlotError> {
    let x = match side {
        HPos::Right => x - TEXT_GAP,
        _ => x + TEXT_GAP,
    };
    let style = TextStyle::from((FONT, TEXT_SIZE).into_font()).pos(Pos::new(side, VPos::Center));
    let label = Text::new(text.to_owned(), (x, y), style);
    area.draw(&label).map_err(draw_error)
}

/// Fitted costs of budgets against sizes, both as shares of the target's: a
/// curve that exceeds 1 at a size below 1 uses its budget up before the target
/// is reached. Filled points are measured; hollow ones were held back.
///
/// # Errors
/// The plot cannot be drawn.
pub fn cost_against_size(analysis: &Analysis) -> Result<String, PlotError> {
    const TITLE: &str = "Cost against size, both over the target's";
    let curves = curves(analysis);
    draw(|area| {
        if curves.is_empty() {
            return draw_not_measured(area, TITLE);
        }
        draw_curves(area, TITLE, &curves)
    })
}

/// One slope, in shares of the target's size and of the limit.
struct Curve {
    name: String,
    fitted: Vec<(f64, f64)>,
    measured: Vec<(f64, f64)>,
    held_back: Vec<(f64, f64)>,
}

/// The steepest curves first, as many as there are colors.
fn curves(analysis: &Analysis) -> Vec<Curve> {
    let mut curves: Vec<Curve> = Vec::new();
    for row in analysis.budgets() {
        let steep = analysis.slopes.iter().filter(|slope| !slope.is_flat());
        let slopes = steep.filter(|slope| {
            let is_own = slope.key.role == row.role && slope.key.source == Source::Hollow;
            is_own && row.kind.quantities().contains(&slope.key.quantity)
        });
        curves.extend(slopes.filter_map(|slope| curve(analysis, &row, slope)));
    }
    let end = |curve: &Curve| curve.fitted.last().map_or(0.0, |point| point.1);
    curves.sort_by(|one, other| end(other).total_cmp(&end(one)));
    curves.truncate(COLORS.len());
    curves
}

fn curve(analysis: &Analysis, row: &BudgetRow, slope: &Slope) -> Option<Curve> {
    let fit = slope.fit.ok()?;
    let target = slope.position(&analysis.target.size());
    if target <= 0.0 {
        return None;
    }
    let scale = row.process_factor.unwrap_or(1.0) / row.limit;
    let share = |size: f64, figure: f64| (size / target, figure * scale);
    let is_shown = |&(size, cost): &(f64, f64)| size >= LEAST_SHARE && cost >= LEAST_SHARE;
    let steps = (0..=CURVE_POINTS).map(|step| f64::from(step) / f64::from(CURVE_POINTS));
    let fitted = steps.map(|part| {
        let size = target * LEAST_SHARE * (MOST_SHARE / LEAST_SHARE).powf(part);
        share(size, fit.at(size))
    });
    let points = |points: &[Point]| -> Vec<(f64, f64)> {
        let shares = points.iter().map(|point| share(point.size, point.figure));
        shares.filter(is_shown).collect()
    };
    Some(Curve {
        name: curve_name(slope),
        fitted: fitted.filter(is_shown).collect(),
        measured: points(&slope.points),
        held_back: points(&slope.held_back),
    })
}

fn curve_name(slope: &Slope) -> String {
    let key = slope.key;
    let cost = words::quantity(key.quantity);
    let name = format!(
        "{} {cost} by {}",
        words::role(key.role),
        words::factor(key.factor)
    );
    match key.services {
        Some(services) => format!("{name}, {services} services"),
        None => name,
    }
}

fn draw_curves(area: &Area, title: &str, curves: &[Curve]) -> Result<(), PlotError> {
    let ends = curves.iter().flat_map(|curve| curve.fitted.iter());
    let largest = ends.map(|point| point.1).fold(MOST_SHARE, f64::max);
    let sizes = (LEAST_SHARE..MOST_SHARE).log_scale();
    let costs = (LEAST_SHARE..largest * 2.0).log_scale();
    let mut chart = ChartBuilder::on(area)
        .caption(title, (FONT, TITLE_SIZE))
        .margin(MARGIN)
        .x_label_area_size(AXIS_SIZE)
        .y_label_area_size(AXIS_SIZE * 2)
        .build_cartesian_2d(sizes, costs)
        .map_err(draw_error)?;
    chart
        .configure_mesh()
        .x_desc("size over the target's")
        .y_desc("cost over the limit")
        .x_label_formatter(&|share| words::number(*share))
        .y_label_formatter(&|share| words::number(*share))
        .label_style((FONT, TEXT_SIZE))
        .draw()
        .map_err(draw_error)?;
    for (curve, color) in curves.iter().zip(COLORS) {
        let line = LineSeries::new(curve.fitted.iter().copied(), color.stroke_width(2));
        let legend = move |(x, y)| PathElement::new([(x, y), (x + LEGEND_WIDTH, y)], color);
        let series = chart.draw_series(line).map_err(draw_error)?;
        series.label(&curve.name).legend(legend);
        let measured = curve.measured.iter();
        let filled = measured.map(|place| Circle::new(*place, POINT_RADIUS, color.filled()));
        chart.draw_series(filled).map_err(draw_error)?;
        let held_back = curve.held_back.iter();
        let hollow = held_back.map(|place| Circle::new(*place, POINT_RADIUS + 1, color));
        chart.draw_series(hollow).map_err(draw_error)?;
    }
    for limit in [
        [(LEAST_SHARE, 1.0), (MOST_SHARE, 1.0)],
        [(1.0, LEAST_SHARE), (1.0, largest * 2.0)],
    ] {
        let line = LineSeries::new(limit, BLACK.stroke_width(1));
        chart.draw_series(line).map_err(draw_error)?;
    }
    chart
        .configure_series_labels()
        .position(SeriesLabelPosition::UpperLeft)
        .background_style(WHITE)
        .border_style(BLACK)
        .label_font((FONT, TEXT_SIZE))
        .draw()
        .map_err(draw_error)
}
