//! Owns the plan's chart: a bar for each build from its first ring to its release, in steps, over the freezes' spans.
use std::path::Path;
use std::time::Duration;

use jiff::tz::TimeZone;
use lilacgate_decision::Build;
use lilacgate_releases::model::{Rules, ServiceId};
use lilacgate_releases::planner::{Plan, Step};
use plotters::prelude::*;

use crate::time;

const ROW: u32 = 46;
const WIDE: u32 = 1000;
/// Shades of the rings, from the first to the last.
const RINGS: [RGBColor; 5] = [
    RGBColor(198, 184, 224),
    RGBColor(170, 148, 209),
    RGBColor(141, 113, 192),
    RGBColor(112, 80, 172),
    RGBColor(84, 52, 145),
];
const CHAIN: RGBColor = RGBColor(196, 60, 60);
const FROZEN: RGBColor = RGBColor(206, 224, 240);
/// Windows of a freeze that are drawn at most.
const WINDOWS: usize = 400;

fn of(step: Step) -> (ServiceId, Build) {
    match step {
        Step::Ring(service, build, _) | Step::Released(service, build) => (service, build),
    }
}

/// Draws a plan that begins at `start` into an SVG file.
pub fn draw(
    file: &Path,
    rules: &Rules,
    plan: &Plan,
    start: Duration,
    zone: &TimeZone,
) -> Result<(), String> {
    let mut builds: Vec<(ServiceId, Build)> = Vec::new();
    for planned in &plan.steps {
        if !builds.contains(&of(planned.step)) {
            builds.push(of(planned.step));
        }
    }
    let end = plan.steps.last().map_or(start, |last| last.at);
    // A plan that needs no time still wants an axis.
    let long = (end - start).as_secs_f64().max(60.0);
    // Ticks stand at whole days, hours or minutes from the start.
    let unit = [86_400.0, 3600.0, 60.0]
        .into_iter()
        .find(|unit| long > 5.0 * unit)
        .unwrap_or(60.0);
    let (rows, high) = (builds.len() as f64, 110 + ROW * builds.len() as u32);
    let root = SVGBackend::new(file, (WIDE, high)).into_drawing_area();
    let fault = |fault: DrawingAreaErrorKind<_>| fault.to_string();
    root.fill(&WHITE).map_err(fault)?;
    let mut chart = ChartBuilder::on(&root)
        .margin(12)
        .margin_right(30)
        .caption(
            format!("from {}", time::show(start, zone)),
            ("sans-serif", 17),
        )
        .x_label_area_size(40)
        .y_label_area_size(150)
        .build_cartesian_2d(0.0..long * 1.02 / unit, 0.0..rows)
        .map_err(fault)?;
    let at = |x: f64| time::show(start + Duration::from_secs_f64(x.max(0.0)), zone);
    // The day where the plan takes days, the time where it takes hours.
    let tick = |x: &f64| {
        if long > 3.0 * 86_400.0 {
            at(*x)[5..16].to_owned()
        } else {
            at(*x)[11..19].to_owned()
        }
    };
    chart
        .configure_mesh()
        .disable_y_mesh()
        .y_labels(0)
        .x_labels(7)
        .x_label_formatter(&tick)
        .light_line_style(WHITE)
        .label_style(("sans-serif", 13))
        .draw()
        .map_err(fault)?;
    let secs = |at: Duration| at.saturating_sub(start).as_secs_f64().min(long * 1.02) / unit;
    for (row, (service, build)) in builds.iter().enumerate() {
        let (low, high) = (rows - row as f64 - 0.85, rows - row as f64 - 0.15);
        // Each window of each freeze of this service that touches the plan.
        for freeze in rules
            .freezes
            .iter()
            .filter(|f| f.service.is_none_or(|s| s == *service))
        {
            let mut at = start;
            for _ in 0..WINDOWS {
                if at > end {
                    break;
                }
                if let Some(force) = freeze.schedule.active_window(at) {
                    let (from, to) = (
                        force.since.unwrap_or(start),
                        force.until.unwrap_or(Duration::MAX),
                    );
                    let shade = [(secs(from), low - 0.15), (secs(to), high + 0.15)];
                    chart
                        .draw_series([Rectangle::new(shade, FROZEN.filled())])
                        .map_err(fault)?;
                }
                let Some(next) = freeze.schedule.next_change(at) else {
                    break;
                };
                at = next;
            }
        }
        let steps: Vec<_> = plan
            .steps
            .iter()
            .filter(|planned| of(planned.step) == (*service, *build))
            .collect();
        for (i, pair) in steps.windows(2).enumerate() {
            let bar = [(secs(pair[0].at), low), (secs(pair[1].at), high)];
            let shade = RINGS[i.min(RINGS.len() - 1)];
            chart
                .draw_series([Rectangle::new(bar, shade.filled())])
                .map_err(fault)?;
        }
        for planned in &steps {
            let on_chain = plan
                .critical_path
                .iter()
                .any(|other| other.step == planned.step);
            let colour = if on_chain { CHAIN } else { BLACK };
            let x = secs(planned.at);
            let line = PathElement::new(
                [(x, low), (x, high)],
                colour.stroke_width(if on_chain { 3 } else { 1 }),
            );
            chart.draw_series([line]).map_err(fault)?;
        }
        if let (Some(last), true) = (steps.last(), steps.len() == 1) {
            let dot = Circle::new((secs(last.at), (low + high) / 2.0), 5, RINGS[4].filled());
            chart.draw_series([dot]).map_err(fault)?;
        }
        let name = format!("{} {}", rules.service(*service), build.0);
        let place = chart.backend_coord(&(0.0, (low + high) / 2.0));
        root.draw(&Text::new(name, (16, place.1 - 7), ("sans-serif", 15)))
            .map_err(fault)?;
    }
    let legend =
        "shades: rings from first to last; light blue: freezes; red: what the end rests on";
    root.draw(&Text::new(
        legend,
        (150, high as i32 - 18),
        ("sans-serif", 13),
    ))
    .map_err(fault)?;
    root.present().map_err(fault)
}
