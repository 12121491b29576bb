use comfreymill_batch::config;
use comfreymill_route::router;
use std::path;

use comfreymill_node::settings;

const CONTROL: &str = include_str!("../../../samples/control.yaml");
const ENTRY: &str = include_str!("../../../samples/entry.yaml");

fn problems_of(text: &str) -> Vec<String> {
    let folder = path::Path::new("folder");
    let problems = settings::SettingsFile::read(text.as_bytes(), folder).expect_err("problems");
    problems.iter().map(ToString::to_string).collect()
}

/// Replaces one part of a sample and checks that a problem is reported on its line.
fn expect_problem(sample: &str, from: &str, to: &str, expected: &str) {
    let start = sample.find(from).expect("the sample has the part");
    let line = format!("{}:", sample[..start].matches('\n').count() + 1);
    let problems = problems_of(&sample.replacen(from, to, 1));
    let found =
        problems.iter().any(|problem| problem.starts_with(&line) && problem.contains(expected));
    assert!(found, "{to}: expected {line} {expected} in {problems:#?}");
}

#[test]
fn the_samples_are_valid() {
    let folder = path::Path::new("folder");
    let control = settings::ControlSettings::read(CONTROL.as_bytes(), folder).expect("valid");
    assert_eq!(control.get_data_folder(), path::Path::new("folder/data"));
    assert_eq!(control.get_common().get_network().get_voters().len(), 3);
    let entry = settings::EntrySettings::read(ENTRY.as_bytes(), folder).expect("valid");
    assert_eq!(entry.get_routing(), router::Policy::LeastLoaded);
    assert_eq!(entry.get_common().get_log().get_format(), settings::LogFormat::Json);
}

#[test]
fn the_samples_show_the_defaults() {
    let folder = path::Path::new("");
    let control = settings::ControlSettings::read(CONTROL.as_bytes(), folder).expect("valid");
    assert_eq!(control.get_common().get_limits(), &settings::Limits::default());
    assert_eq!(control.get_common().get_timing(), &settings::Timing::default());
    assert_eq!(control.get_placement(), config::Policy::default());
}

#[test]
fn each_fault_of_control_settings_is_named() {
    #[rustfmt::skip]
    let cases = [
        ("zone: hobart-a\n", "zone: perth-a\n", "zone: `perth-a` is in no region"),
        ("zone: kingston-b }", "zone: perth-b }", "voters[1].zone: `perth-b` is in no region"),
        ("name: control-3", "name: control-2", "voters[2].name: `control-2` is listed twice"),
        ("127.0.0.1:7313", "127.0.0.1:7312", "voters[2].peers: `127.0.0.1:7312` is listed twice"),
        ("voters:\n", "coters:\n", "coters: is not known here"),
        ("name: control-1\n", "name: control-9\n", "name: `control-9` is not among the voters"),
        ("  peers: 127.0.0.1:7311", "  peers: 127.0.0.1:7399", "listeners.peers: differs from `127.0.0.1:7311`"),
        ("  peers: 127.0.0.1:7311", "  peers: 127.0.0.1:7301", "listeners.peers: `127.0.0.1:7301` is also the address of `operators`"),
        ("  operators: 127.0.0.1:7301", "  operators: localhost", "listeners.operators: invalid socket address"),
        ("head: 32KiB", "head: 64", "limits.head: `64` is not a size"),
        ("head: 32KiB", "head: 64k", "limits.head: `64k` is not a size"),
        ("head: 32KiB", "head: 1B", "limits.head: must be between 1KiB and 60KiB"),
        ("head: 32KiB", "head: 61KiB", "limits.head: must be between 1KiB and 60KiB"),
        ("connections: 4096", "connections: 0", "limits.connections: a listener needs"),
        ("connections: 4096", "connections: -4", "limits.connections: invalid digit"),
        ("idle: 60s", "idle: 60", "limits.idle: `60` is not a time"),
        ("idle: 60s", "idle: 60KiB", "limits.idle: `60KiB` is not a time"),
        ("progress: 10s", "progress: 0s", "limits.progress: must be greater than 0s"),
        ("queue: 4096", "queue: 0", "limits.queue: an entry needs room"),
        ("queue: 4096", "kueue: 4096", "limits.kueue: is not known here: write one of head, body"),
        ("heartbeat: 60ms", "heartbeat: 0ms", "timing.heartbeat: must be greater than 0s"),
        ("election: 300ms", "election: 100ms", "timing.election: is less than 3 heartbeats"),
        ("lease: 5s", "lease: 200ms", "timing.lease: is less than the election time"),
        ("clock_drift: 1000ppm", "clock_drift: 2s", "timing.clock_drift: `2s` is not a clock drift"),
        ("placement: interference-aware", "placement: worst-fit", "placement: `worst-fit` is not a policy: write first-fit"),
        ("level: info", "level: loud", "log.level: `loud` is not known: write one of off, error"),
        ("format: text", "format: xml", "log.format: `xml` is not known"),
        ("size: 64MiB", "size: 0B", "log.file.size: must be at least 1B"),
        ("count: 5", "count: 0", "log.file.count: must be at least 1 rotated file"),
        ("cluster: derwent-hull", "cluster: Derwent Hull", "cluster: `Derwent Hull` is no cluster name"),
        ("program: control", "program: contrl", "program: `contrl` is not known: write one of entry, control"),
        ("data_folder: data", "data_folder: [data]", "data_folder: is not a single value"),
    ];
    for (from, to, expected) in cases {
        expect_problem(CONTROL, from, to, expected);
    }
}

#[test]
fn faults_of_lists_are_reported() {
    let third = "  - { name: control-3, peers: \"127.0.0.1:7313\", zone: launceston-a }\n";
    let cases = [
        (third, "", "voters: 2 voters: write an odd number, as 1, 3 or 5"),
        (
            "[launceston-a]",
            "[launceston-a, hobart-a]",
            "regions: availability zone `hobart-a` is listed twice",
        ),
        (
            "[launceston-a]",
            "[launceston a]",
            "regions.tas-north[0]: `launceston a` is no zone name",
        ),
        ("[launceston-a]", "launceston-a", "regions.tas-north: is not a list"),
    ];
    for (from, to, expected) in cases {
        let problems = problems_of(&CONTROL.replacen(from, to, 1));
        assert!(problems.iter().any(|problem| problem.contains(expected)), "{problems:#?}");
    }
}

#[test]
fn each_missing_key_is_named() {
    let keys = [
        "cluster:",
        "key_file:",
        "name:",
        "zone:",
        "regions:",
        "voters:",
        "data_folder:",
        "program:",
        "tokens:",
        "listeners:",
    ];
    for key in keys {
        let start = CONTROL.find(&format!("\n{key}")).expect("key") + 1;
        let text = format!("{}x{}", &CONTROL[..start], &CONTROL[start..]);
        let problems = settings::ControlSettings::read(text.as_bytes(), path::Path::new(""))
            .expect_err("a key is missing");
        let expected = format!("{key} is missing");
        let found = problems.iter().any(|problem| problem.to_string().ends_with(&expected));
        assert!(found, "{key} in {problems:#?}");
    }
}

#[test]
fn each_fault_of_entry_settings_is_named() {
    #[rustfmt::skip]
    let cases = [
        ("  upstreams: 127.0.0.1:7402", "  upstreams: 127.0.0.1:7401", "listeners.upstreams: `127.0.0.1:7401` is also the address of `callers`"),
        ("  upstreams: 127.0.0.1:7402", "  upstreams: 0.0.0.0:7401", "listeners.upstreams: `0.0.0.0:7401` is also the address of `callers`"),
        ("routing: least-loaded", "routing: fastest", "routing: `fastest` is not a policy: write round-robin, random, two-choices"),
        ("  callers: callers.token", "  caller: callers.token", "tokens.caller: is not known here: write one of operators, callers, upstreams"),
        ("routing: least-loaded", "data_folder: data", "data_folder: is not known here"),
    ];
    for (from, to, expected) in cases {
        expect_problem(ENTRY, from, to, expected);
    }
}

#[test]
fn all_problems_are_reported_in_the_order_of_the_file() {
    let text = CONTROL
        .replace("placement: interference-aware", "placement: worst-fit")
        .replace("head: 32KiB", "head: 64")
        .replace("idle: 60s", "idle: soon")
        .replace("level: info", "level: loud")
        .replace("# Rule by", "colour: blue # Rule by");
    let fields: Vec<_> = problems_of(&text)
        .iter()
        .map(|problem| problem.split(": ").nth(1).expect("field").to_owned())
        .collect();
    assert_eq!(fields, ["colour", "placement", "limits.head", "limits.idle", "log.level"]);
}

#[test]
fn settings_of_the_other_program_are_refused() {
    let folder = path::Path::new("");
    let problems = settings::EntrySettings::read(CONTROL.as_bytes(), folder).expect_err("control");
    let expected = "program: `control`, but these are the settings of entry";
    assert!(problems.iter().any(|problem| problem.to_string().contains(expected)));
}
