//! Draws timelines as an SVG image: a chart for each node, one below the other, on a common time axis. Background bands
//! show the build, bars the requests with failed and late ones in colors of their own, a line the 95th percentile of
//! latency; departures, ejections, stages and votes are marked.
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
/// The height of the time axis, which only the last chart has.
const AXIS_HEIGHT: u32 = 24;
/// The background colors of builds, selected by build number modulo their count.
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
/// Limit on the number of bars across the width of a chart.
const MAX_BARS: u32 = 150;
/// The heights of the bar with the most requests and of the highest latency, relative to the chart.
const MAX_BAR_HEIGHT: f64 = 0.85;
const MAX_LATENCY_HEIGHT: f64 = 0.95;
/// The lower edge of a departure's rectangle, relative to the chart, and the divisor of the span that gives its least
/// width, so that short departures stay visible.
const DEPARTURE_BOTTOM: f64 = 0.93;
const MIN_DEPARTURE_DIVISOR: f64 = 400.0;
/// The recorded state of an endpoint that was removed from the endpoint list.
const REMOVED_STATE: &str = "gone";

type DrawError = DrawingAreaErrorKind<std::io::Error>;
type Context<'a, 'b> =
    ChartContext<'a, SVGBackend<'b>, Cartesian2d<RangedCoordf64, RangedCoordf64>>;
type Root<'a> = DrawingArea<SVGBackend<'a>, Shift>;

/// The totals of the steps of a node within the time of one bar.
struct Bar {
    /// The start of the bar, in seconds since the start of the span.
    from: f64,
    /// The end of the bar, in seconds since the start of the span.
    to: f64,
    counts: AttemptCounts,
    /// The 95th percentile of latency, in seconds.
    p95: Option<f64>,
}

/// A node with the bars of its chart.
struct Node {
    number: u32,
    bars: Vec<Bar>,
}

/// The build that a node is listed with from a time on, in seconds since the start of the span.
#[derive(Clone, Copy)]
struct ListedBuild {
    from: f64,
    build: u16,
}

/// The scales that the charts of all nodes share.
struct Scale<'a> {
    timelines: &'a Timelines,
    /// The length of the span in seconds; at least 1.
    length: f64,
    /// The length of a bar in seconds.
    bar_length: f64,
    /// The attempts in the bar with the most attempts.
    max_attempts: f64,
    /// The highest 95th percentile of latency, in seconds.
    max_latency: f64,
}

impl Scale<'_> {
    /// Converts a time to seconds since the start of the span, limited to the span.
    fn position(&self, at: Duration) -> f64 {
        let since = at.saturating_sub(self.timelines.from);
        since.as_secs_f64().clamp(0.0, self.length)
    }
}

/// Returns the length of the span in seconds, at least 1.
fn span_length(timelines: &Timelines) -> f64 {
    let length = timelines.to.saturating_sub(timelines.from);
    length.as_secs_f64().max(1.0)
}

/// Returns the bars of a node, without those that have no counts.
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

/// Returns the highest value of all bars, at least 1e-6 because it is used as a divisor.
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

/// Draws the chart of a node with its name and build beside it; the last chart gets the time axis.
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

/// Returns the builds that a node was listed with, in the order of time.
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

/// Returns whether the scope of a departure includes a node.
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

/// Draws the bars, with failed and late requests at the bottom so that small shares are visible.
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

/// Draws a mark for an entry that is an ejection of this node, or a stage or vote of the agent.
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

/// Draws a vertical line over the height of the chart.
fn draw_line(
    context: &mut Context<'_, '_>,
    position: f64,
    color: RGBColor,
) -> Result<(), DrawError> {
    let ends = [(position, 0.0), (position, 1.0)];
    context.draw_series([PathElement::new(ends, color.stroke_width(1))])?;
    Ok(())
}
