//! Decides for each call what happens to it.
use std::collections::HashSet;
use std::fs::{File, OpenOptions};
use std::path::Path;
use std::sync::{Mutex, OnceLock, PoisonError};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use lilacgate_fault_script::script::{Call, Fault, Rule, Script};
use lilacgate_fault_script::{SCRIPT_VARIABLE, counts};

/// The injector of this process, once its script has been read; none in a process without one.
static INJECTOR: OnceLock<Injector> = OnceLock::new();

/// Takes the script of this process over. Calls before that are passed on, also those of this function itself.
pub(crate) fn start(started_ms: u64) {
    let Some(path) = std::env::var_os(SCRIPT_VARIABLE) else {
        return;
    };
    let script = match Script::load(Path::new(&path)) {
        Ok(script) => script,
        Err(error) => {
            eprintln!("fault injection: {}: {error}", path.display());
            std::process::abort();
        }
    };
    let counts = OpenOptions::new().write(true).open(&script.counts).ok();
    let injector = Injector {
        started_ms,
        counts,
        draws: Mutex::new(Draws {
            random: Pcg64Mcg::seed_from_u64(script.seed),
            hits: vec![0; script.rules.len()],
            files: HashSet::new(),
        }),
        rules: script.rules,
    };
    INJECTOR.set(injector).ok();
}

/// What changes from call to call.
#[derive(Debug)]
struct Draws {
    random: Pcg64Mcg,
    /// How many calls each rule has hit.
    hits: Vec<u64>,
    /// Open files, with the rules whose path they have.
    files: HashSet<(i32, usize)>,
}

/// Decides by the rules of a script.
#[derive(Debug)]
pub(crate) struct Injector {
    started_ms: u64,
    rules: Vec<Rule>,
    counts: Option<File>,
    draws: Mutex<Draws>,
}

/// What a call is about.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Subject<'a> {
    /// Nothing that a rule could tell apart.
    Any,
    /// A file by its path.
    Path(&'a str),
    /// An open file.
    File(i32),
}

impl Injector {
    /// The injector of this process.
    pub(crate) fn get() -> Option<&'static Injector> {
        INJECTOR.get()
    }

    /// What happens to a call at a time, if a rule hits it.
    pub(crate) fn draw(&self, call: Call, subject: Subject<'_>, now_ms: u64) -> Option<Fault> {
        let elapsed = now_ms.saturating_sub(self.started_ms);
        let is_concerned = |rule: &&Rule| rule.call == call && rule.holds_at(elapsed);
        self.rules.iter().find(is_concerned)?;
        let mut draws = self.draws.lock().unwrap_or_else(PoisonError::into_inner);
        let (index, rule) = self.rules.iter().enumerate().find(|(index, rule)| {
            is_concerned(rule)
                && rule.at_most.is_none_or(|most| draws.hits[*index] < most)
                && is_about(rule, *index, subject, &draws.files)
                && (rule.share >= 1.0 || draws.random.random::<f64>() < rule.share)
        })?;
        draws.hits[index] += 1;
        if let Some(file) = &self.counts {
            counts::write(file, index, draws.hits[index]);
        }
        Some(rule.fault)
    }

    /// How far the wall clock is off, in milliseconds: the last rule that holds decides.
    pub(crate) fn clock_step(&self, now_ms: u64) -> i64 {
        let elapsed = now_ms.saturating_sub(self.started_ms);
        let steps = self.rules.iter().filter(|rule| rule.holds_at(elapsed));
        steps
            .filter_map(|rule| match rule.fault {
                Fault::StepMs(step) => Some(step),
                _ => None,
            })
            .next_back()
            .unwrap_or(0)
    }

    /// Notes that a file was opened.
    pub(crate) fn opened(&self, path: &str, file: i32) {
        let mut draws = self.draws.lock().unwrap_or_else(PoisonError::into_inner);
        draws.files.retain(|(known, _)| *known != file);
        for (index, rule) in self.rules.iter().enumerate() {
            if rule.path.as_ref().is_some_and(|part| path.contains(part)) {
                draws.files.insert((file, index));
            }
        }
    }
}

fn is_about(
    rule: &Rule,
    index: usize,
    subject: Subject<'_>,
    files: &HashSet<(i32, usize)>,
) -> bool {
    let Some(part) = &rule.path else { return true };
    match subject {
        Subject::Any => false,
        Subject::Path(path) => path.contains(part),
        Subject::File(file) => files.contains(&(file, index)),
    }
}
