//! Decides which fault each call gets.
use std::collections::HashSet;
use std::fs::{File, OpenOptions};
use std::path::Path;
use std::sync::{Mutex, OnceLock, PoisonError};

use rand::{RngExt, SeedableRng};
use rand_pcg::Pcg64Mcg;

use lilacgate_fault_script::script::{Call, Fault, Rule, Script};
use lilacgate_fault_script::{SCRIPT_VARIABLE, counts};

/// The injector of this process; unset until the script has been read, and in processes without a script.
static INJECTOR: OnceLock<Injector> = OnceLock::new();

/// Reads the script of this process and starts injecting. Calls before that, including those of this function, are
/// passed to the C library.
pub(crate) fn start(started_ms: u64) {
    let Some(path) = std::env::var_os(SCRIPT_VARIABLE) else {
        return;
    };
    let script = match Script::load(Path::new(&path)) {
        Ok(script) => script,
        Err(error) => {
            eprintln!(
                "fault injection: cannot load the script {}: {error}",
                path.display()
            );
            std::process::abort();
        }
    };
    let counts = OpenOptions::new().write(true).open(&script.counts).ok();
    let injector = Injector {
        started_ms,
        counts,
        state: Mutex::new(InjectorState {
            random: Pcg64Mcg::seed_from_u64(script.seed),
            hits: vec![0; script.rules.len()],
            open_files: HashSet::new(),
        }),
        rules: script.rules,
    };
    INJECTOR.set(injector).ok();
}

/// The state that changes from call to call.
#[derive(Debug)]
struct InjectorState {
    random: Pcg64Mcg,
    /// The number of faults that each rule has injected.
    hits: Vec<u64>,
    /// Pairs of an open file descriptor and the index of a rule whose path text its path contains.
    open_files: HashSet<(i32, usize)>,
}

/// Evaluates the rules of a script.
#[derive(Debug)]
pub(crate) struct Injector {
    started_ms: u64,
    rules: Vec<Rule>,
    counts: Option<File>,
    state: Mutex<InjectorState>,
}

/// The object of a call, as far as rules can tell objects apart.
#[derive(Clone, Copy, Debug)]
pub(crate) enum CallTarget<'a> {
    /// An object without a path, such as a socket; rules that name a path do not match it.
    Other,
    /// A file by its path.
    Path(&'a str),
    /// An open file by its descriptor.
    File(i32),
}

impl Injector {
    /// Returns the injector of this process; `None` before the script has been read or without one.
    pub(crate) fn get() -> Option<&'static Injector> {
        INJECTOR.get()
    }

    /// Chooses the fault for a call at a time on the monotonic clock, and counts it.
    pub(crate) fn choose_fault(
        &self,
        call: Call,
        target: CallTarget<'_>,
        now_ms: u64,
    ) -> Option<Fault> {
        let elapsed = now_ms.saturating_sub(self.started_ms);
        let applies = |rule: &&Rule| rule.call == call && rule.is_active_at(elapsed);
        self.rules.iter().find(applies)?;
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        let (index, rule) = self.rules.iter().enumerate().find(|(index, rule)| {
            applies(rule)
                && rule.at_most.is_none_or(|limit| state.hits[*index] < limit)
                && matches_target(rule, *index, target, &state.open_files)
                && (rule.share >= 1.0 || state.random.random::<f64>() < rule.share)
        })?;
        state.hits[index] += 1;
        if let Some(file) = &self.counts {
            counts::write(file, index, state.hits[index]);
        }
        Some(rule.fault)
    }

    /// Returns the shift of the wall clock in milliseconds; the last active rule with a shift applies.
    pub(crate) fn clock_step(&self, now_ms: u64) -> i64 {
        let elapsed = now_ms.saturating_sub(self.started_ms);
        let steps = self.rules.iter().filter(|rule| rule.is_active_at(elapsed));
        steps
            .filter_map(|rule| match rule.fault {
                Fault::StepMs(step) => Some(step),
                _ => None,
            })
            .next_back()
            .unwrap_or(0)
    }

    /// Records the rules whose path text matches a file that was opened. A closed descriptor may be reused, so earlier
    /// records of it are removed.
    pub(crate) fn opened(&self, path: &str, file: i32) {
        let mut state = self.state.lock().unwrap_or_else(PoisonError::into_inner);
        state.open_files.retain(|(known, _)| *known != file);
        for (index, rule) in self.rules.iter().enumerate() {
            if rule.path.as_ref().is_some_and(|part| path.contains(part)) {
                state.open_files.insert((file, index));
            }
        }
    }
}

fn matches_target(
    rule: &Rule,
    index: usize,
    target: CallTarget<'_>,
    open_files: &HashSet<(i32, usize)>,
) -> bool {
    let Some(part) = &rule.path else { return true };
    match target {
        CallTarget::Other => false,
        CallTarget::Path(path) => path.contains(part),
        CallTarget::File(file) => open_files.contains(&(file, index)),
    }
}
