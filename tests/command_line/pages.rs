use std::fs;
use std::path;

use comfreymill::node::metering::metric;
use comfreymill::types::error;

fn read(file: &str) -> String {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    fs::read_to_string(root.join(file)).expect("the page exists")
}

#[test]
fn the_table_of_errors_in_the_page_is_that_of_the_code() {
    let page = read("docs/operators/command-line.md");
    for kind in error::ErrorKind::all() {
        let properties = kind.get_properties();
        let run = properties.run.to_string().replace('-', " ");
        let resend = if properties.resend { "yes" } else { "no" };
        let end =
            format!("| {} | {run} | {resend} | {} |", properties.status, properties.exit_code);
        let start = format!("| `{kind}` |");
        let row = page.lines().find(|line| line.starts_with(&start)).expect("a row");
        assert!(row.ends_with(&end), "{row} does not end in {end}");
    }
}

#[test]
fn the_page_of_settings_has_the_keys_and_defaults_of_the_samples() {
    let page = read("docs/operators/settings.md");
    let samples = [read("samples/control.yaml"), read("samples/entry.yaml")];
    let mut key_path = String::new();
    for line in samples.iter().flat_map(|sample| sample.lines()) {
        let Some((key, rest)) = line.split_once(':') else { continue };
        if key.trim_start().starts_with(['#', '-']) {
            continue;
        }
        let depth = (key.len() - key.trim_start().len()) / 2;
        let parents: Vec<&str> =
            key_path.split('.').filter(|part| !part.is_empty()).take(depth).collect();
        key_path = [parents, vec![key.trim()]].concat().join(".");
        expect_row(&page, &key_path, rest);
    }
}

/// Checks that a key with a value has a row, and that the row has the sample's value as the default
/// if the sample marks it as one.
fn expect_row(page: &str, key: &str, rest: &str) {
    let (value, comment) = rest.split_once('#').unwrap_or((rest, ""));
    if value.trim().is_empty() || key.starts_with("regions.") {
        return;
    }
    let row = page.lines().find(|line| line.starts_with(&format!("| `{key}` |")));
    let row = row.unwrap_or_else(|| panic!("{key} has no row"));
    let comment = comment.trim();
    if comment == "default" || comment.starts_with("default;") {
        assert!(row.contains(&format!("| `{}` |", value.trim())), "{key}: {row}");
    }
}

#[test]
fn every_command_of_the_help_is_in_the_page() {
    let page = read("docs/operators/command-line.md");
    let help = read("tests/command_line/snapshots/help_general.txt");
    let commands = help.lines().skip_while(|line| *line != "COMMANDS:").skip(1);
    let names: Vec<_> = commands
        .take_while(|line| line.starts_with("    "))
        .filter_map(|line| line.split_whitespace().next())
        .collect();
    assert!(names.len() > 5, "{names:?}");
    for name in names {
        assert!(page.lines().any(|line| line.starts_with(&format!("| `{name}"))), "{name}");
    }
}

#[test]
fn the_page_of_metrics_has_every_metric_and_no_other() {
    let page = read("docs/operators/metrics.md");
    let rows: Vec<_> = page.lines().filter(|line| line.starts_with("| `comfreymill_")).collect();
    assert_eq!(rows.len(), metric::ALL.len());
    for metric in metric::ALL {
        let kind = match metric.kind {
            metric::Kind::Counter => "counter",
            metric::Kind::Gauge => "gauge",
            metric::Kind::Histogram(_) => "histogram",
        };
        let start = format!("| `{}` | {kind} |", metric.name);
        let end = format!("| {} |", metric.help);
        let found = rows.iter().any(|row| row.starts_with(&start) && row.ends_with(&end));
        assert!(found, "{} is not as in the code", metric.name);
    }
}

#[test]
fn links_between_the_pages_resolve() {
    let root = path::Path::new(env!("CARGO_MANIFEST_DIR"));
    let pages = [
        "README.md",
        "CONTRIBUTING.md",
        "docs/README.md",
        "docs/ARCHITECTURE.md",
        "docs/GLOSSARY.md",
        "docs/STYLE.md",
        "docs/operators/README.md",
        "docs/operators/settings.md",
        "docs/operators/command-line.md",
        "docs/operators/metrics.md",
    ];
    let mut links = 0;
    for page in pages {
        let folder = root.join(page);
        let folder = folder.parent().expect("a folder");
        for part in read(page).split("](").skip(1) {
            let target = part.split(')').next().expect("a target");
            let target = target.split('#').next().expect("a path");
            assert!(folder.join(target).exists(), "{page}: {target}");
            links += 1;
        }
    }
    assert!(links > 10, "{links}");
}
