//! Owns the picture of time lines: a small chart a node, one below another on one axis of time. Builds are bands,
//! attempts are bars, what failed or was late is darker in them, the 95th percentile is a line, departures and
//! decisions are marks.
use std::path::Path;
use std::time::Duration;

use lilacgate_timeline::entry::{AttemptCounts, DepartureScope, Event};
use lilacgate_timeline::latency_sketch::LatencySketch;
use plotters::prelude::*;

use crate::lines::Lines;

const WIDE: u32 = 1100;
const ROW: u32 = 96;
const TOP: u32 = 46;
const BOTTOM: u32 = 66;
/// Bands of builds, in turn.
const BANDS: [RGBColor; 4] = [
    RGBColor(242, 240, 247),
    RGBColor(226, 236, 246),
    RGBColor(232, 244, 230),
    RGBColor(250, 238, 224),
];
const BARS: RGBColor = RGBColor(150, 158, 190);
const BAD: RGBColor = RGBColor(196, 60, 60);
const SLOW: RGBColor = RGBColor(222, 160, 60);
const LINE: RGBColor = RGBColor(60, 60, 90);
/// Bars across the width at most.
const MOST: u32 = 150;

/// A bar's span and what it holds.
type Bar = (f64, f64, AttemptCounts, Option<f64>);

fn bars(lines: &Lines, node: u32, long: f64) -> Vec<Bar> {
    let mut found: Vec<Bar> = Vec::new();
    let whole = lines.to.saturating_sub(lines.from).as_secs_f64().max(1.0);
    let many = (whole / long).ceil() as usize;
    for i in 0..many {
        let (from, to) = (i as f64 * long, (i + 1) as f64 * long);
        let at = |step: Duration| step.saturating_sub(lines.from).as_secs_f64();
        let of: Vec<_> = lines
            .steps
            .iter()
            .filter(|s| s.node == node && (from..to).contains(&at(s.from)))
            .collect();
        let mut counts = AttemptCounts::default();
        of.iter().for_each(|step| counts.add(&step.counts));
        let latency: Vec<LatencySketch> = of
            .iter()
            .map(|s| LatencySketch::from_bytes(s.latency.clone()))
            .collect();
        let p95 = LatencySketch::merged(latency.iter())
            .quantile(0.95)
            .map(|took| took.as_secs_f64());
        if !counts.is_empty() {
            found.push((from, to, counts, p95));
        }
    }
    found
}

/// Draws all nodes of the span.
pub fn draw(file: &Path, lines: &Lines) -> Result<(), String> {
    let nodes = lines.nodes();
    let high = TOP + BOTTOM + ROW * nodes.len() as u32;
    let root = SVGBackend::new(file, (WIDE, high)).into_drawing_area();
    let fault = |fault: DrawingAreaErrorKind<_>| fault.to_string();
    root.fill(&WHITE).map_err(fault)?;
    let whole = lines.to.saturating_sub(lines.from).as_secs_f64().max(1.0);
    let long = (whole / f64::from(MOST)).ceil().max(1.0);
    let all: Vec<(u32, Vec<Bar>)> = nodes
        .iter()
        .map(|node| (*node, bars(lines, *node, long)))
        .collect();
    let most = |of: fn(&Bar) -> f64| {
        all.iter()
            .flat_map(|(_, bars)| bars.iter().map(of))
            .fold(0.0, f64::max)
            .max(1e-6)
    };
    let (tallest, slowest) = (
        most(|bar| f64::from(bar.2.attempts)),
        most(|bar| bar.3.unwrap_or(0.0)),
    );
    let title = format!(
        "{} from {} for {whole:.0} s",
        lines.agents.join(", "),
        lines.show(lines.from)
    );
    root.draw(&Text::new(title, (12, 10), ("sans-serif", 16)))
        .map_err(fault)?;
    let secs = |at: Duration| {
        at.saturating_sub(lines.from)
            .as_secs_f64()
            .clamp(0.0, whole)
    };
    for (row, (node, bars)) in all.iter().enumerate() {
        let top = TOP + ROW * row as u32;
        let last = row + 1 == all.len();
        let area = root
            .clone()
            .shrink((0, top), (WIDE, ROW + if last { 24 } else { 0 }));
        let mut chart = ChartBuilder::on(&area)
            .margin_right(16)
            .margin_top(4)
            .margin_bottom(4)
            .x_label_area_size(if last { 24 } else { 0 })
            .y_label_area_size(120)
            .build_cartesian_2d(0.0..whole, 0.0..1.0)
            .map_err(fault)?;
        let listed: Vec<(f64, u16)> = lines
            .entries
            .iter()
            .filter(|entry| entry.node == Some(*node))
            .filter_map(|entry| match &entry.event {
                Event::Listed { state, build, .. } if state != "gone" => {
                    Some((secs(entry.happened), *build))
                }
                _ => None,
            })
            .collect();
        for (i, (from, build)) in listed.iter().enumerate() {
            let to = listed.get(i + 1).map_or(whole, |next| next.0);
            let band = BANDS[usize::from(*build) % BANDS.len()];
            chart
                .draw_series([Rectangle::new([(*from, 0.0), (to, 1.0)], band.filled())])
                .map_err(fault)?;
        }
        let tick =
            |x: &f64| lines.clock(lines.from + Duration::from_secs_f64(x.max(0.0)))[..8].to_owned();
        chart
            .configure_mesh()
            .disable_mesh()
            .y_labels(0)
            .x_labels(8)
            .x_label_formatter(&tick)
            .label_style(("sans-serif", 12))
            .axis_style(RGBColor(200, 200, 205))
            .draw()
            .map_err(fault)?;
        for (from, to, counts, _) in bars {
            let mut low = 0.0;
            // Bad and late ones at the foot, so that they show.
            let bad = counts.failed + counts.connection_errors + counts.timed_out;
            let late = counts.late.min(counts.attempts.saturating_sub(bad));
            let rest = counts.attempts.saturating_sub(bad + late);
            for (many, shade) in [(bad, BAD), (late, SLOW), (rest, BARS)] {
                let tall = f64::from(many) / tallest * 0.85;
                let bar =
                    Rectangle::new([(*from, low), (*to, (low + tall).min(1.0))], shade.filled());
                chart.draw_series([bar]).map_err(fault)?;
                low += tall;
            }
        }
        let points = bars.iter().filter_map(|(from, to, _, p95)| {
            p95.map(|p95| ((from + to) / 2.0, p95 / slowest * 0.95))
        });
        chart
            .draw_series(LineSeries::new(points, LINE.stroke_width(2)))
            .map_err(fault)?;
        let build = listed.last().map(|(_, build)| *build);
        let concerns = |whom: DepartureScope| match whom {
            DepartureScope::Node(of) => of == *node,
            DepartureScope::Build(of) => listed.iter().any(|(_, build)| *build == of),
            DepartureScope::Fleet => true,
        };
        for departure in lines
            .departures()
            .iter()
            .filter(|departure| concerns(departure.scope))
        {
            let (from, to) = (secs(departure.onset), departure.ended.map_or(whole, secs));
            let span = Rectangle::new(
                [(from, 0.93), (to.max(from + whole / 400.0), 1.0)],
                BAD.filled(),
            );
            chart.draw_series([span]).map_err(fault)?;
            let said = secs(departure.confirmed);
            let mark = PathElement::new([(said, 0.0), (said, 1.0)], BAD.stroke_width(1));
            chart.draw_series([mark]).map_err(fault)?;
        }
        for entry in &lines.entries {
            let x = secs(entry.happened);
            match (&entry.event, entry.node) {
                (Event::Ejected { .. }, Some(of)) if of == *node => {
                    let mark = TriangleMarker::new((x, 0.08), 5, BLACK.filled());
                    chart.draw_series([mark]).map_err(fault)?;
                }
                (Event::Vote { .. } | Event::Stage { .. }, None) => {
                    let mark = PathElement::new(
                        [(x, 0.0), (x, 1.0)],
                        RGBColor(90, 130, 90).stroke_width(1),
                    );
                    chart.draw_series([mark]).map_err(fault)?;
                }
                _ => {}
            }
        }
        let build = build
            .map(|build| format!("build {build}"))
            .unwrap_or_default();
        root.draw(&Text::new(
            lines.name(*node),
            (12, top as i32 + 24),
            ("sans-serif", 14),
        ))
        .map_err(fault)?;
        root.draw(&Text::new(build, (12, top as i32 + 44), ("sans-serif", 12)))
            .map_err(fault)?;
    }
    let legend = format!(
        "bars: requests in {long:.0} s (red: bad, amber: late; the tallest {tallest:.0}); line: 95th percentile (highest {:.0} ms); \
         red on top: departures, thin red: when they were sure; green: stages and votes; triangles: left alone; bands: builds",
        slowest * 1e3
    );
    root.draw(&Text::new(
        legend,
        (12, high as i32 - 22),
        ("sans-serif", 11),
    ))
    .map_err(fault)?;
    root.present().map_err(fault)
}
