//! The picture of timelines: a small chart for each node, one below another on one axis of time. Builds are bands,
//! requests are bars, in which failed and late ones are darker, the 95th percentile of latency is a line, departures
//! and decisions are marks.
use std::path::Path;
use std::time::Duration;

use lilacgate_timeline::entry::{AttemptCounts, Departure, DepartureScope, Entry, Event};
use plotters::coord::Shift;
use plotters::coord::types::RangedCoordf64;
use plotters::prelude::{
    BLACK, Cartesian2d, ChartBuilder, ChartContext, Color, DrawingArea, DrawingAreaErrorKind,
    IntoDrawingArea, LineSeries, PathElement, RGBColor, Rectangle, SVGBackend, Text,
    TriangleMarker, WHITE,
};

use super::read::Timelines;
use super::totals::Totals;

/// Sizes in pixels.
const WIDTH: u32 = 1100;
const ROW_HEIGHT: u32 = 96;
const TITLE_HEIGHT: u32 = 46;
const LEGEND_HEIGHT: u32 = 66;
/// The height of the axis, below the last chart alone.
const AXIS_HEIGHT: u32 = 24;
/// The colors of builds, in turn.
const BUILD_COLORS: [RGBColor; 4] = [
    RGBColor(242, 240, 247),
    RGBColor(226, 236, 246),
    RGBColor(232, 244, 230),
    RGBColor(250, 238, 224),
];
const REQUEST_COLOR: RGBColor = RGBColor(150, 158, 190);
const FAILED_COLOR: RGBColor = RGBColor(196, 60, 60);
const LATE_COLOR: RGBColor = RGBColor(222, 160, 60);
const LATENCY_COLOR: RGBColor = RGBColor(60, 60, 90);
const DECISION_COLOR: RGBColor = RGBColor(90, 130, 90);
const AXIS_COLOR: RGBColor = RGBColor(200, 200, 205);
/// The most bars across the width.
const MAX_BARS: u32 = 150;
/// The heights of the tallest bar and of the highest latency, of 1.
const MAX_BAR_HEIGHT: f64 = 0.85;
const MAX_LATENCY_HEIGHT: f64 = 0.95;
/// Departures are drawn from here to the top, and no narrower than this part of the width.
const DEPARTURE_BOTTOM: f64 = 0.93;
const MIN_DEPARTURE_DIVISOR: f64 = 400.0;
/// The recorded state of an endpoint that has left the list.
const REMOVED_STATE: &str = "gone";

type DrawError = DrawingAreaErrorKind<std::io::Error>;
type Context<'a, 'b> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type Root<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// What the steps of a node add up to over the time of a bar.
struct Bar {
    /// Seconds since the begin of the span.
    from: f64,
    to: f64,
    counts: AttemptCounts,
    /// The 95th percentile of latency, in seconds.
    p95: Option<f64>,
}

/// A node's bars.
struct Node {
    number: u32,
    bars: Vec<Bar>,
}

/// A node that is listed with a build from a time on, in seconds since the begin of the span.
#[derive(Clone, Copy)]
struct ListedBuild {
    from: f64,
    build: u16,
}

/// What is the same for the charts of all nodes.
struct Scale<'a> {
    timelines: &'a Timelines,
    /// The length of the span in seconds; at least 1.
    length: f64,
    /// The seconds that a bar covers.
    bar_length: f64,
    /// The requests of the tallest bar.
    max_attempts: f64,
    /// The highest 95th percentile, in seconds.
    max_latency: f64,
}

impl Scale<'_> {
    /// The place of a time, in seconds since the begin of the span.
    fn position(&self, at: Duration) -> f64 {
        let since = at.saturating_sub(self.timelines.from);
        since.as_secs_f64().clamp(0.0, self.length)
    }
}

/// The length of the span in seconds; at least 1.
fn span_length(timelines: &Timelines) -> f64 {
    let length = timelines.to.saturating_sub(timelines.from);
    length.as_secs_f64().max(1.0)
}

/// The bars of a node, without empty ones.
fn bars(timelines: &Timelines, node: u32, bar_length: f64) -> Vec<Bar> {
    let count = (span_length(timelines) / bar_length).ceil() as usize;
    let bar = |index: usize| {
        let from = index as f64 * bar_length;
        let to = (index + 1) as f64 * bar_length;
        let position = |at: Duration| at.saturating_sub(timelines.from).as_secs_f64();
        let steps: Vec<_> = timelines
            .steps
            .iter()
            .filter(|step| step.node == node && (from..to).contains(&position(step.from)))
            .collect();
        let Totals { counts, latency } = Totals::of(&steps);
        let p95 = latency.quantile(0.95);
        Bar {
            from,
            to,
            counts,
            p95: p95.map(|latency| latency.as_secs_f64()),
        }
    };
    let bars = (0..count).map(bar);
    bars.filter(|bar| !bar.counts.is_empty()).collect()
}

/// The highest value of all bars; above 0.
fn max_value(nodes: &[Node], value: fn(&Bar) -> f64) -> f64 {
    let bars = nodes.iter().flat_map(|node| &node.bars);
    bars.map(value).fold(0.0, f64::max).max(1e-6)
}

/// Draws the timelines of all nodes of the span.
pub(super) fn draw(file: &Path, timelines: &Timelines) -> Result<(), DrawError> {
    let length = span_length(timelines);
    let bar_length = (length / f64::from(MAX_BARS)).ceil().max(1.0);
    let nodes: Vec<Node> = timelines
        .nodes()
        .into_iter()
        .map(|number| Node {
            number,
            bars: bars(timelines, number, bar_length),
        })
        .collect();
    let scale = Scale {
        timelines,
        length,
        bar_length,
        max_attempts: max_value(&nodes, |bar| f64::from(bar.counts.attempts)),
        max_latency: max_value(&nodes, |bar| bar.p95.unwrap_or(0.0)),
    };
    let height = TITLE_HEIGHT + LEGEND_HEIGHT + ROW_HEIGHT * nodes.len() as u32;
    let root = SVGBackend::new(file, (WIDTH, height)).into_drawing_area();
    root.fill(&WHITE)?;
    draw_title(&root, &scale)?;
    for (row, node) in nodes.iter().enumerate() {
        let top = TITLE_HEIGHT + ROW_HEIGHT * row as u32;
        draw_node(&root, &scale, node, top, row + 1 == nodes.len())?;
    }
    draw_legend(&root, &scale, height)?;
    root.present()
}

fn draw_title(root: &Root<'_>, scale: &Scale<'_>) -> Result<(), DrawError> {
    let title = format!(
        "{} from {} for {:.0} s",
        scale.timelines.agents.join(", "),
        scale.timelines.show(scale.timelines.from),
        scale.length
    );
    root.draw(&Text::new(title, (12, 10), ("sans-serif", 16)))
}

fn draw_legend(root: &Root<'_>, scale: &Scale<'_>, height: u32) -> Result<(), DrawError> {
    let legend = format!(
        "bars: requests in {:.0} s (red: bad, amber: late; the tallest {:.0}); line: 95th percentile (highest {:.0} ms); \
         red on top: departures, thin red: when they were sure; green: stages and votes; triangles: left alone; bands: builds",
        scale.bar_length,
        scale.max_attempts,
        scale.max_latency * 1e3
    );
    let place = (12, height as i32 - 22);
    root.draw(&Text::new(legend, place, ("sans-serif", 11)))
}

/// Draws the chart of a node, with its name beside it. The last one has the axis of time.
fn draw_node(
    root: &Root<'_>,
    scale: &Scale<'_>,
    node: &Node,
    top: u32,
    is_last: bool,
) -> Result<(), DrawError> {
    let axis_height = if is_last { AXIS_HEIGHT } else { 0 };
    let area = root
        .clone()
        .shrink((0, top), (WIDTH, ROW_HEIGHT + axis_height));
    let mut context = ChartBuilder::on(&area)
        .margin_right(16)
        .margin_top(4)
        .margin_bottom(4)
        .x_label_area_size(axis_height)
        .y_label_area_size(120)
        .build_cartesian_2d(0.0..scale.length, 0.0..1.0)?;
    let listed = listed_builds(scale, node.number);
    draw_builds(&mut context, scale, &listed)?;
    draw_axis(&mut context, scale)?;
    draw_bars(&mut context, scale, &node.bars)?;
    draw_latency(&mut context, scale, &node.bars)?;
    for departure in scale.timelines.departures() {
        if includes_node(departure.scope, node.number, &listed) {
            draw_departure(&mut context, scale, &departure)?;
        }
    }
    for entry in &scale.timelines.entries {
        draw_mark(&mut context, scale, node.number, entry)?;
    }
    let last_build = listed
        .last()
        .map(|listed| format!("build {}", listed.build))
        .unwrap_or_default();
    let name = scale.timelines.name(node.number);
    let (name_top, build_top) = (top as i32 + 24, top as i32 + 44);
    root.draw(&Text::new(name, (12, name_top), ("sans-serif", 14)))?;
    root.draw(&Text::new(last_build, (12, build_top), ("sans-serif", 12)))
}

/// The builds that a node was listed with, in order.
fn listed_builds(scale: &Scale<'_>, node: u32) -> Vec<ListedBuild> {
    let entries = scale.timelines.entries.iter();
    entries
        .filter(|entry| entry.node == Some(node))
        .filter_map(|entry| match &entry.event {
            Event::Listed { state, build, .. } if state != REMOVED_STATE => Some(ListedBuild {
                from: scale.position(entry.happened),
                build: *build,
            }),
            _ => None,
        })
        .collect()
}

/// Whether a departure concerns a node.
fn includes_node(scope: DepartureScope, node: u32, listed: &[ListedBuild]) -> bool {
    match scope {
        DepartureScope::Node(concerned) => concerned == node,
        DepartureScope::Build(build) => listed.iter().any(|listed| listed.build == build),
        DepartureScope::Fleet => true,
    }
}

fn draw_builds(
    context: &mut Context<'_, '_>,
    scale: &Scale<'_>,
    listed: &[ListedBuild],
) -> Result<(), DrawError> {
    for (index, ListedBuild { from, build }) in listed.iter().enumerate() {
        let next = listed.get(index + 1);
        let to = next.map_or(scale.length, |next| next.from);
        let color = BUILD_COLORS[usize::from(*build) % BUILD_COLORS.len()];
        let band = Rectangle::new([(*from, 0.0), (to, 1.0)], color.filled());
        context.draw_series([band])?;
    }
    Ok(())
}

fn draw_axis(context: &mut Context<'_, '_>, scale: &Scale<'_>) -> Result<(), DrawError> {
    let tick = |position: &f64| {
        let at = scale.timelines.from + Duration::from_secs_f64(position.max(0.0));
        scale.timelines.clock(at)[..8].to_owned()
    };
    context
        .configure_mesh()
        .disable_mesh()
        .y_labels(0)
        .x_labels(8)
        .x_label_formatter(&tick)
        .label_style(("sans-serif", 12))
        .axis_style(AXIS_COLOR)
        .draw()
}

/// Draws failed and late requests at the foot of their bars, so that they show.
fn draw_bars(
    context: &mut Context<'_, '_>,
    scale: &Scale<'_>,
    bars: &[Bar],
) -> Result<(), DrawError> {
    for Bar {
        from, to, counts, ..
    } in bars
    {
        let failed = counts.failed + counts.connection_errors + counts.timed_out;
        let late = counts.late.min(counts.attempts.saturating_sub(failed));
        let rest = counts.attempts.saturating_sub(failed + late);
        let parts = [
            (failed, FAILED_COLOR),
            (late, LATE_COLOR),
            (rest, REQUEST_COLOR),
        ];
        let mut low = 0.0;
        for (requests, color) in parts {
            let height = f64::from(requests) / scale.max_attempts * MAX_BAR_HEIGHT;
            let part = [(*from, low), (*to, (low + height).min(1.0))];
            context.draw_series([Rectangle::new(part, color.filled())])?;
            low += height;
        }
    }
    Ok(())
}

fn draw_latency(
    context: &mut Context<'_, '_>,
    scale: &Scale<'_>,
    bars: &[Bar],
) -> Result<(), DrawError> {
    let points = bars.iter().filter_map(|bar| {
        let height = bar.p95? / scale.max_latency * MAX_LATENCY_HEIGHT;
        Some(((bar.from + bar.to) / 2.0, height))
    });
    context.draw_series(LineSeries::new(points, LATENCY_COLOR.stroke_width(2)))?;
    Ok(())
}

fn draw_departure(
    context: &mut Context<'_, '_>,
    scale: &Scale<'_>,
    departure: &Departure,
) -> Result<(), DrawError> {
    let from = scale.position(departure.onset);
    let to = departure
        .ended
        .map_or(scale.length, |at| scale.position(at))
        .max(from + scale.length / MIN_DEPARTURE_DIVISOR);
    let span = [(from, DEPARTURE_BOTTOM), (to, 1.0)];
    context.draw_series([Rectangle::new(span, FAILED_COLOR.filled())])?;
    let confirmed = scale.position(departure.confirmed);
    draw_line(context, confirmed, FAILED_COLOR)
}

/// Draws an ejection of this node, or a stage or vote.
fn draw_mark(
    context: &mut Context<'_, '_>,
    scale: &Scale<'_>,
    node: u32,
    entry: &Entry,
) -> Result<(), DrawError> {
    let position = scale.position(entry.happened);
    match (&entry.event, entry.node) {
        (Event::Ejected { .. }, Some(ejected)) if ejected == node => {
            let mark = TriangleMarker::new((position, 0.08), 5, BLACK.filled());
            context.draw_series([mark])?;
            Ok(())
        }
        (Event::Vote { .. } | Event::Stage { .. }, None) => {
            draw_line(context, position, DECISION_COLOR)
        }
        _ => Ok(()),
    }
}

/// Draws a thin line from the bottom to the top.
fn draw_line(
    context: &mut Context<'_, '_>,
    position: f64,
    color: RGBColor,
) -> Result<(), DrawError> {
    let ends = [(position, 0.0), (position, 1.0)];
    context.draw_series([PathElement::new(ends, color.stroke_width(1))])?;
    Ok(())
}
