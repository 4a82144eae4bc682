//! Owns the table that answers for each request: by build, zone and firm, which products are open and why the rest is
//! not. It decides nothing; `gate` fills it in.
use lilacgate_decision::{Build, ReleasePermissions, Stage, Tenant};

use crate::gate::Why;

/// What holds for one pair of a zone and a firm.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) struct Cell {
    /// The products that are open, as bits.
    pub(crate) open: u64,
    /// Why it is closed, or what it is kept in spite of.
    pub(crate) why: Why,
}

impl Cell {
    pub(crate) const SHUT: Cell = Cell {
        open: 0,
        why: Why::NotListed,
    };
}

/// One build's cells, and who has had it since it was last closed to them.
#[derive(Clone, Debug)]
pub(crate) struct Row {
    pub(crate) had: Vec<bool>,
    pub(crate) cells: Vec<Cell>,
}

impl Row {
    pub(crate) fn new(pairs: usize, had: bool) -> Self {
        Row {
            had: vec![had; pairs],
            cells: vec![Cell::SHUT; pairs],
        }
    }
}

/// The table as the module takes it: for one firm, which is then number 0, or for all.
pub(crate) fn openings<'a>(
    rows: impl Iterator<Item = (Build, &'a Row)>,
    (zones, firms): (usize, usize),
    firm: Option<Tenant>,
    step: Option<(Build, Stage)>,
) -> ReleasePermissions {
    let taken = |pair: usize| firm.is_none_or(|firm| pair % firms == usize::from(firm.0));
    let cells = |row: &Row| -> Vec<u64> {
        row.cells
            .iter()
            .enumerate()
            .filter(|(pair, _)| taken(*pair))
            .map(|(_, cell)| cell.open)
            .collect()
    };
    let rows: Vec<(Build, Vec<u64>)> = rows.map(|(build, row)| (build, cells(row))).collect();
    let slices: Vec<(Build, &[u64])> = rows
        .iter()
        .map(|(build, cells)| (*build, &cells[..]))
        .collect();
    ReleasePermissions::new(zones, if firm.is_some() { 1 } else { firms }, &slices, step)
}
