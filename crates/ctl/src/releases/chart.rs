//! Draws a plan as an SVG chart: for each build a row with a bar from its first ring to its release, divided at the
//! steps of the plan, over the windows of freezes.
use std::path::Path;
use std::time::Duration;

use jiff::tz::TimeZone;
use lilacgate_decision::Build;
use lilacgate_releases::model::{Freeze, Rules, ServiceId};
use lilacgate_releases::planner::{Plan, PlannedStep, Step};
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, Cartesian2d, ChartBuilder, ChartContext, Circle, Color, DrawingArea,
    DrawingAreaErrorKind, IntoDrawingArea, PathElement, RGBColor, Rectangle, SVGBackend, Text,
    WHITE,
};

use crate::time;

/// Sizes in pixels.
const ROW_HEIGHT: u32 = 46;
const WIDTH: u32 = 1000;
/// The height of the caption, the axis and the legend, in pixels.
const NON_ROW_HEIGHT: u32 = 110;
/// The edges of a build's bar, as distances from the top of its row in units of the row height.
const BAR_BOTTOM: f64 = 0.85;
const BAR_TOP: f64 = 0.15;
/// The length of the axis relative to the length of the plan.
const AXIS_LENGTH_FACTOR: f64 = 1.02;
/// The bar colors from the first ring on; later rings share the last color.
const RING_COLORS: [RGBColor; 5] = [
    RGBColor(198, 184, 224),
    RGBColor(170, 148, 209),
    RGBColor(141, 113, 192),
    RGBColor(112, 80, 172),
    RGBColor(84, 52, 145),
];
const CRITICAL_COLOR: RGBColor = RGBColor(196, 60, 60);
const FREEZE_COLOR: RGBColor = RGBColor(206, 224, 240);
/// Limit on the schedule changes of a freeze that are examined for drawing.
const MAX_FREEZE_CHANGES: usize = 400;
const DAY_SECONDS: f64 = 86_400.0;
const HOUR_SECONDS: f64 = 3600.0;
const MINUTE_SECONDS: f64 = 60.0;
const LEGEND: &str =
    "shades: rings from first to last; light blue: freezes; red: what the end rests on";

type DrawError = DrawingAreaErrorKind<std::io::Error>;
type Context<'a, 'b> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;

/// The plan to draw, with the rules and the time zone for its labels.
pub(super) struct Chart<'a> {
    pub(super) rules: &'a Rules,
    pub(super) plan: &'a Plan,
    /// The start of the plan, since the Unix epoch.
    pub(super) start: Duration,
    pub(super) zone: &'a TimeZone,
}

/// The time axis, which begins at the start of the plan.
#[derive(Clone, Copy)]
struct Axis {
    start: Duration,
    end: Duration,
    /// The length of the plan in seconds, at least one minute.
    length: f64,
    /// The length of an axis unit in seconds: a day, an hour or a minute, so that ticks fall on whole units.
    unit: f64,
}

impl Axis {
    fn of(chart: &Chart<'_>) -> Self {
        let end = chart.plan.steps.last().map_or(chart.start, |last| last.at);
        let length = (end - chart.start).as_secs_f64().max(MINUTE_SECONDS);
        let mut units = [DAY_SECONDS, HOUR_SECONDS, MINUTE_SECONDS].into_iter();
        let unit = units.find(|unit| length > 5.0 * unit);
        Axis {
            start: chart.start,
            end,
            length,
            unit: unit.unwrap_or(MINUTE_SECONDS),
        }
    }

    /// Converts a time to a position on the axis, in axis units.
    fn position(self, at: Duration) -> f64 {
        let seconds = at.saturating_sub(self.start).as_secs_f64();
        seconds.min(self.length * AXIS_LENGTH_FACTOR) / self.unit
    }

    /// Formats the label of a tick: date and time if the plan takes more than three days, else the time of day.
    fn tick(self, position: f64, zone: &TimeZone) -> String {
        let at = self.start + Duration::from_secs_f64(position.max(0.0));
        let text = time::show(at, zone);
        let part = if self.length > 3.0 * DAY_SECONDS {
            &text[5..16]
        } else {
            &text[11..19]
        };
        part.to_owned()
    }
}

/// The row of a build, with the lower and upper edge of its bar in rows from the bottom of the chart.
#[derive(Clone, Copy)]
struct Row {
    service: ServiceId,
    build: Build,
    low: f64,
    high: f64,
}

fn service_build(step: Step) -> (ServiceId, Build) {
    match step {
        Step::Ring(service, build, _) | Step::Released(service, build) => (service, build),
    }
}

/// Returns the rows of the builds, in the order of their first steps.
fn rows(plan: &Plan) -> Vec<Row> {
    let mut builds: Vec<(ServiceId, Build)> = Vec::new();
    for planned in &plan.steps {
        let build = service_build(planned.step);
        if !builds.contains(&build) {
            builds.push(build);
        }
    }
    let count = builds.len() as f64;
    let row = |(index, (service, build)): (usize, (ServiceId, Build))| Row {
        service,
        build,
        low: count - index as f64 - BAR_BOTTOM,
        high: count - index as f64 - BAR_TOP,
    };
    builds.into_iter().enumerate().map(row).collect()
}

/// Draws a plan into an SVG file.
pub(super) fn draw(file: &Path, chart: &Chart<'_>) -> Result<(), DrawError> {
    let rows = rows(chart.plan);
    let axis = Axis::of(chart);
    let height = NON_ROW_HEIGHT + ROW_HEIGHT * rows.len() as u32;
    let root = SVGBackend::new(file, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    let mut context = ChartBuilder::on(&root)
        .margin(12)
        .margin_right(30)
        .caption(
            format!("from {}", time::show(chart.start, chart.zone)),
            ("sans-serif", 17),
        )
        .x_label_area_size(40)
        .y_label_area_size(150)
        .build_cartesian_2d(
            0.0..axis.length * AXIS_LENGTH_FACTOR / axis.unit,
            0.0..rows.len() as f64,
        )?;
    let tick = |position: &f64| axis.tick(*position, chart.zone);
    context
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(0)
        .x_labels(7)
        .x_label_formatter(&tick)
        .light_line_style(WHITE)
        .label_style(("sans-serif", 13))
        .draw()?;
    for row in rows {
        draw_row(&mut context, chart, axis, row)?;
        draw_name(&root, &context, chart.rules, row)?;
    }
    let place = (150, height as i32 - 18);
    root.draw(&Text::new(LEGEND, place, ("sans-serif", 13)))?;
    root.present()
}

fn draw_row<'a>(
    context: &mut Context<'_, 'a>,
    chart: &Chart<'_>,
    axis: Axis,
    row: Row,
) -> Result<(), DrawError> {
    let freezes = chart.rules.freezes.iter();
    for freeze in freezes.filter(|freeze| freeze.service.is_none_or(|of| of == row.service)) {
        draw_windows(context, freeze, axis, row)?;
    }
    let steps: Vec<&PlannedStep> = chart
        .plan
        .steps
        .iter()
        .filter(|planned| service_build(planned.step) == (row.service, row.build))
        .collect();
    for (index, pair) in steps.windows(2).enumerate() {
        let bar = [
            (axis.position(pair[0].at), row.low),
            (axis.position(pair[1].at), row.high),
        ];
        let color = RING_COLORS[index.min(RING_COLORS.len() - 1)];
        context.draw_series([Rectangle::new(bar, color.filled())])?;
    }
    for planned in &steps {
        draw_step(context, chart.plan, planned, axis.position(planned.at), row)?;
    }
    // A build without rings has a single step and therefore no bar; a dot marks it.
    if let [only] = steps[..] {
        let center = (axis.position(only.at), f64::midpoint(row.low, row.high));
        let dot = Circle::new(center, 5, RING_COLORS[RING_COLORS.len() - 1].filled());
        context.draw_series([dot])?;
    }
    Ok(())
}

/// Draws each window of a freeze that overlaps the plan.
fn draw_windows<'a>(
    context: &mut Context<'_, 'a>,
    freeze: &Freeze,
    axis: Axis,
    row: Row,
) -> Result<(), DrawError> {
    let mut at = axis.start;
    for _ in 0..MAX_FREEZE_CHANGES {
        if at > axis.end {
            break;
        }
        if let Some(window) = freeze.schedule.active_window(at) {
            let from = window.since.unwrap_or(axis.start);
            let to = window.until.unwrap_or(Duration::MAX);
            let shade = [
                (axis.position(from), row.low - BAR_TOP),
                (axis.position(to), row.high + BAR_TOP),
            ];
            context.draw_series([Rectangle::new(shade, FREEZE_COLOR.filled())])?;
        }
        let Some(next) = freeze.schedule.next_change(at) else {
            break;
        };
        at = next;
    }
    Ok(())
}

fn draw_step<'a>(
    context: &mut Context<'_, 'a>,
    plan: &Plan,
    planned: &PlannedStep,
    position: f64,
    row: Row,
) -> Result<(), DrawError> {
    let mut critical_path = plan.critical_path.iter();
    let style = if critical_path.any(|critical| critical.step == planned.step) {
        CRITICAL_COLOR.stroke_width(3)
    } else {
        BLACK.stroke_width(1)
    };
    let line = PathElement::new([(position, row.low), (position, row.high)], style);
    context.draw_series([line])?;
    Ok(())
}

fn draw_name<'a>(
    root: &DrawingArea<SVGBackend<'a>, Shift>,
    context: &Context<'_, 'a>,
    rules: &Rules,
    row: Row,
) -> Result<(), DrawError> {
    let name = format!("{} {}", rules.service_name(row.service), row.build.0);
    let (_, middle) = context.backend_coord(&(0.0, f64::midpoint(row.low, row.high)));
    root.draw(&Text::new(name, (16, middle - 7), ("sans-serif", 15)))
}
