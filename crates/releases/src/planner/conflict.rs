//! Finds a small set of statements that contradict each other.
use std::collections::BTreeSet;

use super::{Conflict, Problem, Statement, schedule};

/// The number of sets that the search for a smaller conflict tries before it gives up.
const MAX_CANDIDATE_SETS: usize = 20_000;

/// Finds a small set of statements in conflict. It first reduces all statements to a set from which none can be
/// removed, then searches for a smaller set within the bound of [`MAX_CANDIDATE_SETS`].
pub(super) fn find(problem: Problem<'_>, all: &BTreeSet<Statement>) -> Conflict {
    let irreducible = irreducible(problem, all);
    let mut search = SmallerSearch {
        problem,
        candidates_left: MAX_CANDIDATE_SETS,
    };
    let statements: Vec<Statement> = all.iter().copied().collect();
    for size in 1..irreducible.len() {
        match search.find(&statements, size, &mut BTreeSet::new()) {
            Some(smaller) => {
                return Conflict {
                    statements: smaller.into_iter().collect(),
                    is_smallest: true,
                };
            }
            None if search.candidates_left == 0 => break,
            None => {}
        }
    }
    Conflict {
        statements: irreducible.into_iter().collect(),
        is_smallest: search.candidates_left > 0,
    }
}

fn is_conflict(problem: Problem<'_>, statements: &BTreeSet<Statement>) -> bool {
    schedule::earliest_times(problem, statements).is_none()
}

/// A set in conflict from which no statement can be removed.
fn irreducible(problem: Problem<'_>, all: &BTreeSet<Statement>) -> BTreeSet<Statement> {
    let mut set = all.clone();
    for statement in all {
        set.remove(statement);
        if !is_conflict(problem, &set) {
            set.insert(*statement);
        }
    }
    set
}

/// A search through all sets of a given size.
struct SmallerSearch<'a> {
    problem: Problem<'a>,
    candidates_left: usize,
}

impl SmallerSearch<'_> {
    /// Finds a conflicting set of this size that consists of `chosen` and statements of `rest`; `None` if there is none
    /// or the bound of the search is reached.
    fn find(
        &mut self,
        rest: &[Statement],
        size: usize,
        chosen: &mut BTreeSet<Statement>,
    ) -> Option<BTreeSet<Statement>> {
        if chosen.len() == size {
            self.candidates_left = self.candidates_left.saturating_sub(1);
            return is_conflict(self.problem, chosen).then(|| chosen.clone());
        }
        for (i, statement) in rest.iter().enumerate() {
            if self.candidates_left == 0 || rest.len() - i < size - chosen.len() {
                return None;
            }
            chosen.insert(*statement);
            let found = self.find(&rest[i + 1..], size, chosen);
            chosen.remove(statement);
            if found.is_some() {
                return found;
            }
        }
        None
    }
}
