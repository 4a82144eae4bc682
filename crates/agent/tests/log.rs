//! The bound on log lines.
use lilacgate_agent::log::CallSite;
use rstest::rstest;

/// One place in the code writes so many lines a second, and says later how many it left out.
#[rstest]
fn log_lines_are_bounded() {
    let call_site = CallSite::new();
    let written = |second| {
        (0..100)
            .filter_map(|_| call_site.may_write(second))
            .collect::<Vec<_>>()
    };
    let first = written(7);
    assert!(first.len() < 100 && first.iter().all(|left_out| *left_out == 0));
    assert_eq!(written(8)[0], 100 - first.len() as u64);
}
