//! Tables as text.
use comfy_table::{Table, presets};

/// A table without lines, with these headings.
pub(crate) fn table<const COLUMNS: usize>(headings: [&str; COLUMNS]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(headings);
    table
}

/// The text of a table, without blanks at the ends of its lines.
pub(crate) fn render(table: &Table) -> String {
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}
