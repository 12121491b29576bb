use super::binary;

const GATEWAY: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/command_line/story-logs/gateway-1.log");
const SCHEDULER: &str =
    concat!(env!("CARGO_MANIFEST_DIR"), "/tests/command_line/story-logs/scheduler-1.log");
const JOB: &str = "5c0e7a21d94b36f8";

#[test]
fn the_lines_of_all_files_come_in_order_of_time() {
    let outcome = binary::run(&["story", JOB, GATEWAY, SCHEDULER]);
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
    let lines: Vec<&str> = outcome.stdout.lines().collect();
    assert_eq!(lines.len(), 3, "{lines:?}");
    assert!(lines[0].contains("0.000 s  scheduler-1  a job is accepted"), "{lines:?}");
    assert!(lines[1].contains("0.002 s  gateway-1  a request is answered"), "{lines:?}");
    assert!(lines[2].contains("1.247 s  scheduler-1  a task is started"), "{lines:?}");
}

#[test]
fn control_characters_of_callers_break_no_line() {
    let outcome = binary::run(&["story", JOB, SCHEDULER]);
    assert_eq!(outcome.code, 0, "{}", outcome.stderr);
    assert!(outcome.stdout.lines().all(|line| !line.contains(char::is_control)));
}

#[test]
fn an_unknown_id_and_a_missing_file_are_reported() {
    let unknown = binary::run(&["story", "0000", GATEWAY]);
    assert_ne!(unknown.code, 0);
    assert!(unknown.stderr.contains("id: no line mentions `0000`"), "{}", unknown.stderr);
    let missing = binary::run(&["story", JOB, "no-such-file"]);
    assert_ne!(missing.code, 0);
    assert!(missing.stderr.contains("files: `no-such-file` cannot be read"), "{}", missing.stderr);
}
