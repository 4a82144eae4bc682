//! The table that a command prints.
use lilacgate_capacity::result::{Quantity, Sample};

/// The figures that the table shows, with their headings.
const COLUMNS: [(Quantity, &str); 9] = [
    (Quantity::ControlCorePercent, "core %"),
    (Quantity::WorstRoundMicros, "worst us"),
    (Quantity::RoundP99Micros, "p99 us"),
    (Quantity::MemoryMegabytes, "MB"),
    (Quantity::BytesInPerSecond, "in B/s"),
    (Quantity::BytesOutPerSecond, "out B/s"),
    (Quantity::MessagesInPerSecond, "in msg/s"),
    (Quantity::ListMicros, "list us"),
    (Quantity::BrokenRules, "broken"),
];

/// The heading of a table of samples.
pub fn heading() -> String {
    let mut line = format!(
        "{:<18} {:<10} {:>6} {:>6} {:>5} {:>5} {:>6} {:>6} {:>8} {:>6} {:>4}",
        "factor",
        "role",
        "agents",
        "listed",
        "used",
        "serv",
        "routes",
        "tenant",
        "req/s",
        "chg/s",
        "rel"
    );
    for (_, name) in COLUMNS {
        line.push_str(&format!(" {name:>10}"));
    }
    line
}

/// A line of the table.
pub fn line(sample: &Sample) -> String {
    let factor = sample
        .factor
        .map_or_else(String::new, |factor| format!("{factor:?}"));
    let event = sample.event.map_or(factor, |event| format!("{event:?}"));
    let size = &sample.size;
    let mut line = format!(
        "{:<18} {:<10} {:>6} {:>6} {:>5} {:>5} {:>6} {:>6} {:>8.0} {:>6.2} {:>4}",
        event,
        format!("{:?}", sample.role),
        size.agents,
        size.listed_appliances,
        size.used_appliances,
        size.services,
        size.routes,
        size.tenants,
        size.request_rate,
        size.change_rate,
        size.releases
    );
    for (quantity, _) in COLUMNS {
        let text = sample
            .figure(quantity)
            .map_or_else(|| "-".to_owned(), number);
        line.push_str(&format!(" {text:>10}"));
    }
    if sample.held_back {
        line.push_str("  held back");
    }
    if !sample.complete {
        line.push_str("  partial");
    }
    line
}

/// A figure with as many digits as are of use.
pub fn number(value: f64) -> String {
    if value >= 100.0 {
        format!("{value:.0}")
    } else {
        format!("{value:.3}")
    }
}
