use std::fs;
use std::net;

use comfreymill_node::settings;

use crate::scratch::{self, Scratch};

const CONTROL: &str = include_str!("../../../samples/control.yaml");
const ENTRY: &str = include_str!("../../../samples/entry.yaml");

/// Replaces the listener addresses of a sample by free ones.
fn with_free_ports(sample: &str) -> String {
    let mut text = sample.to_owned();
    for port in [7301, 7311, 7312, 7313, 7401, 7402, 7403, 7404] {
        let address = format!("127.0.0.1:{port}");
        if text.contains(&address) {
            // The system may return a port again that is not in use yet.
            let mut addresses = std::iter::repeat_with(|| scratch::free_address().to_string());
            let free = addresses.find(|free| !text.contains(free)).expect("endless");
            text = text.replace(&address, &free);
        }
    }
    text
}

fn problems_of(scratch: &Scratch, text: &str) -> Vec<String> {
    let file = scratch.write("settings.yaml", text);
    let error = settings::SettingsFile::load(&file).expect_err("problems");
    let prefix = format!("{}:", file.display());
    let lines: Vec<_> = error.to_string().lines().map(str::to_owned).collect();
    lines.iter().map(|line| line.strip_prefix(&prefix).expect("file").to_owned()).collect()
}

fn expect_problem(problems: &[String], line: usize, expected: &str) {
    let line = format!("{line}:");
    let found =
        problems.iter().any(|problem| problem.starts_with(&line) && problem.contains(expected));
    assert!(found, "expected {line} {expected} in {problems:#?}");
}

fn line_of(text: &str, part: &str) -> usize {
    text.lines().position(|line| line.contains(part)).expect("part") + 1
}

#[test]
fn the_samples_are_valid_on_a_prepared_machine() {
    let scratch = Scratch::new();
    for sample in [CONTROL, ENTRY] {
        let file = scratch.write("settings.yaml", &with_free_ports(sample));
        settings::SettingsFile::load(&file).expect("valid");
    }
    assert!(fs::read_dir(scratch.path("data")).expect("read").next().is_none());
}

#[test]
fn an_address_in_use_is_named() {
    let scratch = Scratch::new();
    let listener = net::TcpListener::bind("127.0.0.1:0").expect("bound");
    let address = listener.local_addr().expect("address");
    let text = with_free_ports(&ENTRY.replace("127.0.0.1:7401", &address.to_string()));
    let problems = problems_of(&scratch, &text);
    let expected = format!("listeners.callers: `{address}` is in use");
    expect_problem(&problems, line_of(&text, "  callers: 127"), &expected);
    assert_eq!(problems.len(), 1, "{problems:#?}");
}

#[test]
fn an_address_of_another_machine_is_named() {
    let scratch = Scratch::new();
    let text = with_free_ports(&ENTRY.replace("127.0.0.1:7401", "192.0.2.1:7401"));
    let problems = problems_of(&scratch, &text);
    let expected = "listeners.callers: `192.0.2.1:7401` is not an address of this machine";
    expect_problem(&problems, line_of(&text, "192.0.2.1"), expected);
}

#[test]
fn a_missing_data_folder_is_named() {
    let scratch = Scratch::new();
    let text = with_free_ports(&CONTROL.replace("data_folder: data", "data_folder: absent"));
    let problems = problems_of(&scratch, &text);
    expect_problem(&problems, line_of(&text, "data_folder:"), "data_folder: folder");
    assert!(problems[0].contains("is missing: create it"), "{problems:#?}");
}

#[test]
fn a_data_folder_that_is_a_file_is_named() {
    let scratch = Scratch::new();
    let text = with_free_ports(&CONTROL.replace("data_folder: data", "data_folder: cluster.key"));
    let problems = problems_of(&scratch, &text);
    expect_problem(&problems, line_of(&text, "data_folder:"), "is not a folder");
}

/// Uses a folder that even root cannot write to, since root ignores file modes.
#[test]
fn a_data_folder_that_is_not_writable_is_named() {
    let scratch = Scratch::new();
    let text = with_free_ports(&CONTROL.replace("data_folder: data", "data_folder: /proc/self"));
    let problems = problems_of(&scratch, &text);
    expect_problem(&problems, line_of(&text, "data_folder:"), "is not writable");
}

#[test]
fn secrets_that_others_may_read_are_named() {
    let scratch = Scratch::new();
    let cases = [
        ("cluster.key", "key_file"),
        ("operators.token", "tokens.operators"),
        ("callers.token", "tokens.callers"),
        ("upstreams.token", "tokens.upstreams"),
    ];
    for (name, _) in cases {
        scratch::set_mode(&scratch.path(name), 0o640);
    }
    let text = with_free_ports(ENTRY);
    let problems = problems_of(&scratch, &text);
    for (name, field) in cases {
        let expected = format!("{field}: file");
        expect_problem(&problems, line_of(&text, &format!(": {name}")), &expected);
    }
    assert_eq!(problems.len(), cases.len(), "{problems:#?}");
    assert!(problems.iter().all(|problem| problem.contains("can be read by others")));
}

#[test]
fn missing_and_short_secrets_are_named() {
    let scratch = Scratch::new();
    scratch.write_secret("cluster.key", "short\n");
    fs::remove_file(scratch.path("operators.token")).expect("removed");
    let text = with_free_ports(CONTROL);
    let problems = problems_of(&scratch, &text);
    expect_problem(&problems, line_of(&text, "key_file:"), "holds less than 32 bytes");
    expect_problem(&problems, line_of(&text, "operators.token"), "is missing: write it with mode");
}

#[test]
fn problems_of_the_file_and_of_the_machine_are_reported_together() {
    let scratch = Scratch::new();
    let text = with_free_ports(CONTROL)
        .replace("head: 32KiB", "head: 64")
        .replace("data_folder: data", "data_folder: absent");
    let problems = problems_of(&scratch, &text);
    expect_problem(&problems, line_of(&text, "data_folder:"), "is missing: create it");
    expect_problem(&problems, line_of(&text, "head: 64"), "`64` is not a size");
    assert_eq!(problems.len(), 2, "{problems:#?}");
}

#[test]
fn a_missing_file_is_named() {
    let scratch = Scratch::new();
    let error = settings::SettingsFile::load(&scratch.path("none.yaml")).expect_err("missing");
    assert!(error.to_string().contains("none.yaml: cannot be read"), "{error}");
}
