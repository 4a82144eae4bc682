//! The table of sizes.
use std::time::Duration;

use crate::analysis::FACTORS;
use crate::markdown::Table;
use crate::target::Target;
use crate::words;

/// The fleets of today and of the target.
pub(super) fn sizes(target: &Target) -> String {
    let mut table = Table::new(&["size", "today", "target"]);
    let goal = target.size();
    for factor in FACTORS {
        let [today, goal] = [&target.today, &goal].map(|size| size.along(factor));
        if goal > 0.0 {
            let today = if today > 0.0 {
                words::number(today)
            } else {
                "-".into()
            };
            table.row(&[words::factor(factor).into(), today, words::number(goal)]);
        }
    }
    for row in other_sizes(target) {
        table.row(&[row.name, "-", &row.figure]);
    }
    table.finish()
}

/// A size that is known of the target only.
struct SizeRow {
    name: &'static str,
    figure: String,
}

impl SizeRow {
    fn new(name: &'static str, figure: impl Into<f64>) -> Self {
        SizeRow {
            name,
            figure: words::number(figure.into()),
        }
    }

    fn seconds(name: &'static str, time: Duration) -> Self {
        let figure = format!("{} s", words::number(time.as_secs_f64()));
        SizeRow { name, figure }
    }
}

fn other_sizes(target: &Target) -> Vec<SizeRow> {
    let (places, failures) = (&target.places, &target.failures);
    vec![
        SizeRow::new(
            "requests/s of an agent at a service",
            target.rate_per_agent_and_service(),
        ),
        SizeRow::new(
            "appliances of the largest service, at least",
            target.services.largest,
        ),
        SizeRow::new("regions", places.regions),
        SizeRow::new("zones over all regions", places.zones),
        SizeRow::new("appliances of a rack", places.rack_size),
        SizeRow::new("changes of configuration a day", target.changes.per_day),
        SizeRow::seconds("in force everywhere within", target.changes.in_force_within),
        SizeRow::new("machines that fail a day", failures.machines_per_day),
        SizeRow::new(
            "machines restarted or replaced a day",
            failures.restarts_per_day,
        ),
        SizeRow::new("racks that fail a year", failures.racks_per_year),
        SizeRow::new("zones that fail a year", failures.zones_per_year),
        SizeRow::new("partitions of regions a year", failures.partitions_per_year),
        SizeRow::seconds("a partition lasts", failures.partition_lasts),
    ]
}
