//! A malformed frame ends the adapter with one line on standard error and a non-zero exit code, never with a panic.
use std::io::Write;
use std::process::{Command, Stdio};

use rstest::rstest;

struct Run {
    success: bool,
    replies: Vec<u8>,
    errors: String,
}

fn run_adapter(input: &[u8]) -> Run {
    let mut child = Command::new(env!("CARGO_BIN_EXE_lilacgate-simulator-adapter"))
        .stdin(Stdio::piped())
        .stdout(Stdio::piped())
        .stderr(Stdio::piped())
        .spawn()
        .expect("the adapter starts");
    child
        .stdin
        .take()
        .expect("the adapter has a pipe as its input")
        .write_all(input)
        .expect("the adapter reads its input");
    let output = child.wait_with_output().expect("the adapter exits");
    Run {
        success: output.status.success(),
        replies: output.stdout,
        errors: String::from_utf8_lossy(&output.stderr).into_owned(),
    }
}

fn frame(records: &[&[u8]], tail: &[u8]) -> Vec<u8> {
    let len = 16 + 40 * records.len() + tail.len();
    let mut bytes = (len as u32).to_be_bytes().to_vec();
    bytes.extend((records.len() as u32).to_be_bytes());
    bytes.extend(8_412_250_u64.to_be_bytes());
    for record in records {
        let end = bytes.len() + 40;
        bytes.extend_from_slice(record);
        bytes.resize(end, 0);
    }
    bytes.extend_from_slice(tail);
    bytes
}

const ON: &[u8] = &[15, 0, 3];

#[rstest]
#[case::cut_header(vec![0, 0, 0, 16], "inside a frame's header")]
#[case::short_length(vec![0, 0, 0, 9, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0, 0], "shorter than its header")]
#[case::cut_body(frame(&[ON], &[])[..40].to_vec(), "inside a frame")]
#[case::many_records([&[0, 0, 0, 16, 255, 255, 255, 255][..], &[0; 8]].concat(), "cannot hold")]
#[case::unknown_instance(frame(&[ON, &[1]], &[]), "not been started")]
#[case::no_instance(frame(&[&[1]], &[]), "before the frame's first ON")]
#[case::page_number(frame(&[ON, &[5, 0, 0, 0, 99]], &[]), "number 99")]
#[case::page_outside(frame(&[ON, &[5, 0, 0, 0, 1, 0, 0, 0, 0, 255, 255, 255, 255]], &[]), "outside the frame's tail")]
fn malformed_frames_are_refused(#[case] input: Vec<u8>, #[case] why: &str) {
    let Run {
        success, errors, ..
    } = run_adapter(&input);
    assert!(!success);
    assert!(errors.contains(why), "errors {errors:?}");
    assert_eq!(errors.lines().count(), 1, "errors {errors:?}");
}

#[rstest]
#[case::page_number(frame(&[ON, &[5, 0, 0, 0, 99]], &[]), "record 1, PAGE of instance 3: ")]
#[case::page_before_stop(frame(&[ON, &[5, 0, 0, 0, 99], &[9]], &[]), "record 1, PAGE of instance 3: ")]
#[case::page_of_no_instance(frame(&[&[5, 0, 0, 0, 99]], &[]), "record 0, PAGE: ")]
#[case::no_instance(frame(&[&[1]], &[]), "record 0, REMINDER: ")]
#[case::unknown_instance(frame(&[ON, &[9], &[2]], &[]), "record 2, HANGUP of instance 3: ")]
#[case::settings_outside(frame(&[ON, &[6, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 9]], &[]), "record 1, UP of instance 3: ")]
fn error_names_the_record(#[case] input: Vec<u8>, #[case] location: &str) {
    let Run {
        success,
        replies,
        errors,
    } = run_adapter(&input);
    assert!(!success);
    assert!(replies.is_empty());
    assert!(errors.contains(location), "errors {errors:?}");
}

#[rstest]
fn empty_frames_are_answered_until_the_input_ends() {
    let Run {
        success,
        replies,
        errors,
    } = run_adapter(&[frame(&[], &[]), frame(&[], &[])].concat());
    assert!(success, "errors {errors:?}");
    assert_eq!(replies, [0, 0, 0, 0, 0, 0, 0, 8].repeat(2));
}

#[rstest]
#[case::lacks_a_key(b"tick=5000\n", "setting profiles.count is missing")]
#[case::not_utf8(b"\xff\xfe", "not UTF-8")]
fn unusable_settings(#[case] options: &[u8], #[case] why: &str) {
    let mut up = vec![6, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0];
    up.extend((options.len() as u32).to_be_bytes());
    let Run {
        replies, errors, ..
    } = run_adapter(&frame(&[ON, &up], options));
    let output = format!("{}{errors}", String::from_utf8_lossy(&replies));
    assert!(output.contains(why), "output {output:?}");
}

/// Pages are for all instances, so that a page is also read after a start whose settings cannot be used.
#[test]
fn a_page_after_unusable_settings_is_read() {
    let options = b"tick=5000\n";
    let mut up = vec![6, 0, 0, 0, 0, 0, 0, 0, 1, 0, 0, 0, 0];
    up.extend((options.len() as u32).to_be_bytes());
    let Run { errors, .. } = run_adapter(&frame(&[ON, &up, &[5, 0, 0, 0, 99]], options));
    assert!(
        errors.contains("record 2, PAGE of instance 3: "),
        "{errors:?}"
    );
}
