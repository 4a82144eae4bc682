//! Tables in Markdown.
use crate::words;

/// A Markdown table.
pub(crate) struct Table {
    text: String,
    is_empty: bool,
}

impl Table {
    /// A table with these columns.
    pub(crate) fn new(head: &[&str]) -> Self {
        let mut table = Table {
            text: String::new(),
            is_empty: true,
        };
        table.line(head);
        table.line(&vec!["---"; head.len()]);
        table
    }

    fn line<Cell: AsRef<str>>(&mut self, cells: &[Cell]) {
        for cell in cells {
            self.text.push_str("| ");
            self.text.push_str(&cell.as_ref().replace('|', "\\|"));
            self.text.push(' ');
        }
        self.text.push_str("|\n");
    }

    /// Adds a row.
    pub(crate) fn row<Cell: AsRef<str>>(&mut self, cells: &[Cell]) {
        self.is_empty = false;
        self.line(cells);
    }

    /// The table, or a sentence that nothing was measured if it has no rows.
    pub(crate) fn finish(self) -> String {
        if self.is_empty {
            return format!("{}.\n", capitalised(words::NOT_MEASURED));
        }
        self.text
    }
}

fn capitalised(text: &str) -> String {
    let (first, rest) = text.split_at(1);
    first.to_uppercase() + rest
}
