//! Plain-text tables for standard output.
use comfy_table::{Table, presets};

/// Creates a table without borders.
pub(crate) fn table<const COLUMNS: usize>(headings: [&str; COLUMNS]) -> Table {
    let mut table = Table::new();
    table.load_preset(presets::NOTHING).set_header(headings);
    table
}

/// Formats a table without trailing spaces in its lines.
pub(crate) fn render(table: &Table) -> String {
    let text = table.to_string();
    let lines: Vec<&str> = text.lines().map(str::trim_end).collect();
    lines.join("\n")
}
