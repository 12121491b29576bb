use std::fmt::Write as _;
use std::fs;
use std::path;

use super::binary;

/// Environment variable that makes the tests write the snapshots instead of only reading them.
const UPDATE_VARIABLE: &str = "UPDATE_SNAPSHOTS";

/// Runs the binary with each line as arguments and compares all output and exit codes with the
/// snapshot of this name.
fn expect_snapshot(name: &str, lines: &[&str]) {
    let mut text = String::new();
    for line in lines {
        let args: Vec<&str> = line.split_whitespace().collect();
        let outcome = binary::run(&args);
        writeln!(text, "$ comfreymill {line}").expect("written");
        text.push_str(&outcome.stdout);
        text.push_str(&outcome.stderr);
        writeln!(text, "[exit {}]\n", outcome.code).expect("written");
    }
    let folder = path::Path::new(env!("CARGO_MANIFEST_DIR")).join("tests/command_line/snapshots");
    let file = folder.join(format!("{name}.txt"));
    if std::env::var_os(UPDATE_VARIABLE).is_some() {
        fs::write(&file, &text).expect("written");
    }
    let expected = fs::read_to_string(&file).expect("the snapshot exists");
    assert_eq!(text, expected, "{name} differs; set {UPDATE_VARIABLE} to update the snapshot");
}

#[test]
fn help_of_the_program_and_its_general_commands() {
    let lines = [
        "--help",
        "entry --help",
        "control -h",
        "gateway --help",
        "scheduler --help",
        "serve --help",
        "check --help",
        "status --help",
        "explain --help",
        "story --help",
        "voter --help",
        "drain --help",
    ];
    expect_snapshot("help_general", &lines);
}

#[test]
fn help_of_commands_on_documents_jobs_and_zones() {
    let lines = [
        "env --help",
        "env submit --help",
        "env show --help",
        "env diff --help",
        "env promote --help",
        "env status --help",
        "job --help",
        "job submit --help",
        "job status --help",
        "job list --help",
        "job release --help",
        "job cancel --help",
        "zone --help",
        "zone evacuate --help",
        "zone withdraw --help",
        "zone status --help",
    ];
    expect_snapshot("help_groups", &lines);
}

#[test]
fn unknown_and_missing_arguments() {
    let lines = [
        "",
        "frobnicate",
        "frobnicate --help",
        "--frobnicate",
        "env",
        "env frobnicate",
        "env submit",
        "env submit environment-trust.yaml --frobnicate",
        "env submit environment-trust.yaml --replaces one",
        "env show Trust",
        "env show trust --stage test",
        "env promote trust 12ab",
        "job",
        "job submit --team counter",
        "job cancel 17",
        "entry",
        "entry --settings",
        "control --settings a.yaml --settings b.yaml",
        "check",
        "explain",
        "drain",
        "status --output xml",
        "status --operators localhost",
        "status --timeout 5",
        "status --token-file absent.token",
        "--output json status --operators",
    ];
    expect_snapshot("usage_errors", &lines);
}

#[test]
fn checks_of_files() {
    let lines = [
        "check --no-machine entry.yaml control.yaml environment-trust.yaml environment-licenta.yaml",
        "check --no-machine entry.yaml --output json",
        "check absent.yaml",
        "check absent.yaml --output json",
        "check ../Cargo.toml",
        "check ../tests/command_line/faulty-environment.yaml",
        "check ../tests/command_line/faulty-control.yaml",
        "check --routes ../platform/tests/routes/in-force.json",
        "check --routes ../platform/tests/routes/new.json --against ../platform/tests/routes/in-force.json",
        "check --routes ../platform/tests/routes/new.json --against ../platform/tests/routes/in-force.json --output json",
        "check --routes ../platform/tests/routes/faulty.json --against ../platform/tests/routes/in-force.json",
        "check --routes ../platform/tests/routes/broken.json --output json",
        "check --routes absent.json",
        "check --against ../platform/tests/routes/in-force.json entry.yaml",
        "check --routes ../platform/tests/routes/new.json entry.yaml",
        "entry --settings absent.yaml",
        "entry --settings ../tests/command_line/faulty-control.yaml",
        "control --settings ../tests/command_line/faulty-control.yaml",
        "env submit absent.yaml",
        "env submit ../tests/command_line/faulty-environment.yaml",
    ];
    expect_snapshot("checks", &lines);
}

#[test]
fn the_version_is_that_of_the_package() {
    for flag in ["--version", "-V"] {
        let outcome = binary::run(&[flag]);
        assert_eq!(outcome.stdout, format!("comfreymill {}\n", env!("CARGO_PKG_VERSION")));
        assert_eq!(outcome.code, 0);
    }
}

#[test]
fn common_options_stand_before_or_behind_the_command() {
    for line in [
        "--output json check --no-machine entry.yaml",
        "check entry.yaml --no-machine --output json",
    ] {
        let args: Vec<&str> = line.split_whitespace().collect();
        let outcome = binary::run(&args);
        assert_eq!((outcome.code, outcome.stderr.as_str()), (0, ""), "{line}");
        assert!(outcome.stdout.starts_with('['), "{line}: {}", outcome.stdout);
    }
}
