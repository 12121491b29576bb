//! Tests of the log formats, the rotation of log files and the reload of the level.

use std::fs;
use std::path;
use std::thread;
use std::time::Duration;

use comfreymill_node::logs;
use comfreymill_node::settings;
use comfreymill_types::size;
use log::Log as _;

use crate::scratch::Scratch;

const ENTRY: &str = include_str!("../../../samples/entry.yaml");
const POLL: Duration = Duration::from_millis(5);
const MAX_POLLS: usize = 4_000;

fn settings_for(path: path::PathBuf, size: u64, count: u32) -> settings::LogSettings {
    let file = settings::LogFile { path, size: size::ByteSize::new(size), count };
    settings::LogSettings::default().file(file)
}

fn write(cfg: &settings::LogSettings, messages: &[&str]) {
    let logger = logs::Logger::new(cfg).expect("built");
    for message in messages {
        let args = format_args!("{message}");
        let record =
            log::Record::builder().level(log::Level::Info).target("group").args(args).build();
        logger.log(&record);
    }
    logger.flush();
}

#[test]
fn a_text_line_has_time_level_part_and_message() {
    let scratch = Scratch::new();
    let file = scratch.path("entry.log");
    write(&settings_for(file.clone(), 1 << 20, 1), &["leader is control-2"]);
    let text = fs::read_to_string(file).expect("read");
    let (time, rest) = text.split_once(' ').expect("a time");
    assert_eq!(rest, "INFO  group: leader is control-2\n");
    assert!(time.ends_with('Z') && time.contains('T'), "{time}");
}

/// A message with line breaks cannot forge another line.
#[test]
fn control_characters_in_a_message_are_escaped() {
    let scratch = Scratch::new();
    let file = scratch.path("entry.log");
    write(&settings_for(file.clone(), 1 << 20, 1), &["a\r\n2026 ERROR group: \u{1b}[2J", "b șț"]);
    let text = fs::read_to_string(file).expect("read");
    let lines: Vec<_> = text.lines().collect();
    assert_eq!(lines.len(), 2, "{text}");
    assert!(lines[0].ends_with("group: a\\r\\n2026 ERROR group: \\u{1b}[2J"), "{text}");
    assert!(lines[1].ends_with("group: b șț"), "{text}");
}

#[test]
fn a_json_line_is_one_object() {
    let scratch = Scratch::new();
    let file = scratch.path("entry.log");
    let cfg = settings_for(file.clone(), 1 << 20, 1).format(settings::LogFormat::Json);
    write(&cfg, &["line\nbreak", "second"]);
    let text = fs::read_to_string(file).expect("read");
    let values: Vec<serde_json::Value> =
        text.lines().map(|line| serde_json::from_str(line).expect("JSON")).collect();
    assert_eq!(values.len(), 2);
    assert_eq!(values[0]["message"], "line\nbreak");
    assert_eq!(values[0]["target"], "group");
    assert_eq!(values[0]["level"], "INFO");
}

#[test]
fn a_file_is_rotated_by_size_and_count() {
    let scratch = Scratch::new();
    let file = scratch.path("entry.log");
    write(&settings_for(file.clone(), 200, 2), &["a message of some length"; 40]);
    let rotated = [0, 1, 2].map(|number| scratch.path(&format!("entry.log.{number}")).exists());
    assert_eq!(rotated, [true, true, false]);
    assert!(fs::metadata(scratch.path("entry.log.0")).expect("read").len() < 400);
}

#[test]
fn a_log_that_cannot_be_opened_is_an_error() {
    let file = path::PathBuf::from("/proc/self/none/entry.log");
    logs::Logger::new(&settings_for(file, 200, 2)).expect_err("no folder");
}

/// The only test that installs the logger, which is possible once per process.
#[test]
fn sighup_reloads_the_level_unless_the_settings_are_invalid() {
    let scratch = Scratch::new();
    let file = scratch.write("entry.yaml", ENTRY);
    let log_file = settings_for(scratch.path("entry.log"), 1 << 20, 1);
    let running = logs::start(&log_file, Some(&file)).expect("started");
    assert_eq!(log::max_level(), log::LevelFilter::Info);
    scratch.write("entry.yaml", &ENTRY.replace("level: info", "level: debug"));
    raise_sighup();
    wait_for(|| log::max_level() == log::LevelFilter::Debug);
    scratch.write("entry.yaml", &ENTRY.replace("level: info", "level: loud"));
    raise_sighup();
    let log = scratch.path("entry.log");
    wait_for(|| fs::read_to_string(&log).is_ok_and(|text| text.contains("log level unchanged")));
    assert_eq!(log::max_level(), log::LevelFilter::Debug);
    drop(running);
    logs::start(&log_file, None).expect_err("started before");
}

fn raise_sighup() {
    signal_hook::low_level::raise(signal_hook::consts::SIGHUP).expect("raised");
}

/// Polls a condition that another thread fulfils; panics after a limit, so that a failure does not
/// hang the test.
fn wait_for<F>(is_done: F)
where
    F: Fn() -> bool,
{
    for _ in 0..MAX_POLLS {
        if is_done() {
            return;
        }
        thread::sleep(POLL);
    }
    panic!("the condition was not met in time");
}
