//! `lgctl timeline events`: lists the departures of nodes, builds and the fleet from their baselines.
use serde_json::json;

use super::read::Timelines;
use crate::{Answer, output};

/// Prints all departures of the span; the answer is negative if there are none.
pub(super) fn run(timelines: &Timelines, as_json: bool) -> Answer {
    let departures = timelines.departures();
    if as_json {
        println!("{}", json!(departures));
        return Answer::yes_if(!departures.is_empty());
    }
    if departures.is_empty() {
        println!("no departures");
        return Answer::No;
    }
    let mut table = output::table(["", "onset", "sure after", "ended", "what"]);
    for departure in &departures {
        let confirmed_after = departure.confirmed.saturating_sub(departure.onset);
        let ended = departure
            .ended
            .map_or_else(|| "goes on".into(), |at| timelines.clock(at));
        table.add_row([
            departure.number.to_string(),
            timelines.show(departure.onset),
            format!("{:.1} s", confirmed_after.as_secs_f64()),
            ended,
            timelines.describe_departure(departure),
        ]);
    }
    println!("{}", output::render(&table));
    Answer::Yes
}
