//! Tests of the settings of gateways and schedulers.

use std::path;
use std::time::Duration;

use comfreymill_node::settings;

const GATEWAY: &str = include_str!("../../../samples/gateway.yaml");
const SCHEDULER: &str = include_str!("../../../samples/scheduler.yaml");

fn read(text: &str) -> Result<settings::SettingsFile, Vec<String>> {
    let read = settings::SettingsFile::read(text.as_bytes(), path::Path::new("folder"));
    read.map_err(|problems| problems.iter().map(ToString::to_string).collect())
}

#[test]
fn the_samples_are_valid() {
    let settings::SettingsFile::Gateway(gateway) = read(GATEWAY).expect("valid") else {
        panic!("expected settings of a gateway");
    };
    assert_eq!(gateway.get_callers().port(), 7_400);
    assert_eq!(gateway.get_node().get_log().get_format(), settings::LogFormat::Events);
    let settings::SettingsFile::Scheduler(scheduler) = read(SCHEDULER).expect("valid") else {
        panic!("expected settings of a scheduler");
    };
    assert_eq!(scheduler.get_lease(), Duration::from_secs(6));
    assert_eq!(scheduler.get_data_folder(), path::Path::new("folder/data/scheduler"));
    assert!(scheduler.is_founding());
    let zones: Vec<String> = scheduler.get_zones().iter().map(ToString::to_string).collect();
    assert_eq!(zones, ["hobart-a", "kingston-b"]);
    assert_eq!(scheduler.get_remote_factor(), "1.5".parse().ok());
}

#[test]
fn without_the_factor_tasks_do_not_wait_for_racks() {
    let text = SCHEDULER.replace("locality:\n  remote_factor: 1.5\n", "");
    let settings::SettingsFile::Scheduler(scheduler) = read(&text).expect("valid") else {
        panic!("expected settings of a scheduler");
    };
    assert_eq!(scheduler.get_remote_factor(), None);
}

#[test]
fn seeds_may_have_ports_and_are_separated_by_commas() {
    let text = SCHEDULER.replace("seeds: 127.0.0.1", "seeds: \"10.1.0.6:8166, 10.2.0.41\"");
    let settings::SettingsFile::Scheduler(scheduler) = read(&text).expect("valid") else {
        panic!("expected settings of a scheduler");
    };
    let seeds: Vec<String> =
        scheduler.get_node().get_seeds().iter().map(ToString::to_string).collect();
    assert_eq!(seeds, ["10.1.0.6", "10.2.0.41"]);
}

#[test]
fn each_fault_is_named() {
    #[rustfmt::skip]
    let cases = [
        ("lease: 6s", "lease: 6", "14:", "lease: `6` is not a time"),
        ("lease: 6s", "lease: 6s\nmax_lease: 5s", "15:", "max_lease: is shorter than lease"),
        ("founding: true", "founding: perhaps", "13:", "founding:"),
        ("voters: 5", "voters: 0", "15:", "voters: a group has at least 1 voter"),
        ("snapshot_entries: 4000", "snapshot_entries: 0", "16:", "snapshot_entries: a snapshot covers"),
        ("descriptors: 4096", "descriptors: 10", "17:", "descriptors: a scheduler needs"),
        ("defer_after: 250ms\n", "", "1:", "defer_after: is needed where refuse_after is set"),
        ("refuse_after: 1s\n", "", "1:", "refuse_after: is needed where defer_after is set"),
        ("refuse_after: 1s", "refuse_after: 200ms", "19:", "refuse_after: work is put off before"),
        ("descriptors: 4096", "packing: { from_percent: 101 }", "17:", "packing.from_percent: is at most 100"),
        ("descriptors: 4096", "packing: { tight_cpu_milli: 0 }", "17:", "packing.tight_cpu_milli: must be greater than 0"),
        ("descriptors: 4096", "packing: { from: 70 }", "17:", "packing.from: is not known here"),
        ("seeds: 127.0.0.1", "seeds: hobart", "7:", "seeds: `hobart` is not an IPv4 address"),
        ("key: a text of at least 32 bytes that every process of the group has", "key: short", "8:", "key: write at least 32 bytes"),
        ("  control: 127.0.0.1:7415", "  control: 7415", "11:", "listeners.control:"),
        ("metrics: 127.0.0.1:7414", "metrics: 7414", "9:", "metrics:"),
        ("  level: info", "  level: loud", "21:", "log.level:"),
        ("remote_factor: 1.5", "remote_factor: 0.5", "26:", "locality.remote_factor: a factor is"),
        ("data_folder: data/scheduler\n", "", "1:", "data_folder: is missing"),
        ("zone: hobart-a", "room: hobart-a", "3:", "room: is not known here"),
        ("patience: 60s", "patience: 60", "24:", "evacuation_patience: `60` is not a time"),
        ("zones: hobart-a", "zones: Hobart A", "23:", "zones: `Hobart A` is no zone name"),
    ];
    for (from, to, line, expected) in cases {
        let problems = read(&SCHEDULER.replacen(from, to, 1)).expect_err(to);
        let is_named =
            problems.iter().any(|problem| problem.starts_with(line) && problem.contains(expected));
        assert!(is_named, "{to}: {line} {expected} in {problems:#?}");
    }
}
