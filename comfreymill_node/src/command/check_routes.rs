use std::fs;
use std::path;

use comfreymill_platform as platform;
use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::error::ErrorKind;
use comfreymill_types::yaml;

use super::client::Client;
use super::flags::{Options, general};
use super::request::Request;
use super::{Output, OutputFormat, render};

/// Result of `check --routes`.
#[derive(Debug, serde::Serialize)]
struct RouteReport {
    file: path::PathBuf,
    problems: Vec<Finding>,
    /// What differs from the version in force; `None` if it was not compared.
    changes: Option<Vec<platform::RouteChange>>,
}

#[derive(Debug, serde::Serialize)]
struct Finding {
    severity: platform::Severity,
    #[serde(flatten)]
    problem: document::Problem,
}

/// Runs `check --routes`: checks a configuration before it is sent, and compares it with the version
/// in force, from a file or from a running scheduler.
pub(super) fn execute(file: &path::Path, flags: &general::Check, options: &Options) -> Output {
    let text = read(file)?;
    let mut report = RouteReport { file: file.to_owned(), problems: find(&text), changes: None };
    let in_force = match &flags.against {
        Some(file) => Some(read(file)?),
        None if flags.in_force => Some(fetch(options)?),
        None => None,
    };
    let is_readable = report.problems.iter().all(|finding| !finding.is_of_file());
    if let Some(in_force) = in_force.filter(|_| is_readable) {
        let changes = platform::compare_routes(&in_force, &text);
        let changes = changes.map_err(|error| {
            error::Error::new(ErrorKind::BadRequest, format!("the version in force: {error}"))
        })?;
        report.problems.extend(find_old_version(&in_force, &text));
        report.changes = Some(changes);
    }
    let text = match options.output {
        OutputFormat::Json => render::json(&report)?,
        OutputFormat::Text => write_text(&report),
    };
    let count = report.problems.iter().filter(|finding| finding.is_error()).count();
    if count == 0 {
        return Ok(text);
    }
    render::print(&text);
    let noun = if count == 1 { "error" } else { "errors" };
    Err(error::Error::new(
        ErrorKind::InvalidDocument,
        format!("{count} {noun}; fix and check again"),
    ))
}

fn read(file: &path::Path) -> Result<Vec<u8>, error::Error> {
    fs::read(file).map_err(|source| {
        let message = format!("{} cannot be read: {source}", file.display());
        error::Error::new(ErrorKind::BadRequest, message)
    })
}

fn fetch(options: &Options) -> Result<Vec<u8>, error::Error> {
    Ok(Client::new(options)?.call(&Request::get(platform::ROUTES_PATH))?.to_vec())
}

fn find(text: &[u8]) -> Vec<Finding> {
    let node = yaml::Node::parse(text).ok();
    let findings = platform::check_routes(text).into_iter().map(|finding| {
        let node = node.as_ref().map(|node| node.find_nearest(&finding.field));
        let location = finding.location.or(node.map(|node| (node.line, node.column)));
        let problem =
            document::Problem { location, ..document::Problem::new(finding.field, finding.reason) };
        Finding { severity: finding.severity, problem }
    });
    findings.collect()
}

/// Returns an error if the version is not above the one in force, which the system then keeps.
fn find_old_version(in_force: &[u8], text: &[u8]) -> Option<Finding> {
    let (old, _) = find_version(in_force)?;
    let (new, location) = find_version(text)?;
    let message = format!("must be above {old}, the version in force");
    let location = Some(location);
    let problem = document::Problem { location, ..document::Problem::new("version", message) };
    (new <= old).then_some(Finding { severity: platform::Severity::Error, problem })
}

/// Returns the version of a configuration, and its line and column.
fn find_version(text: &[u8]) -> Option<(u64, (u64, u64))> {
    let node = yaml::Node::parse(text).ok()?;
    let version = node.get("version")?;
    let yaml::Value::Scalar(number) = &version.value else { return None };
    Some((number.parse().ok()?, (version.line, version.column)))
}

fn write_text(report: &RouteReport) -> String {
    let mut lines: Vec<String> = Vec::new();
    for finding in &report.problems {
        let line = finding.problem.in_file(&report.file);
        let is_error = finding.is_error();
        lines.push(if is_error { line } else { format!("{line} (warning)") });
    }
    if lines.is_empty() {
        lines.push("valid: 1 file".to_owned());
    }
    if let Some(changes) = &report.changes {
        let count = changes.len();
        let noun = if count == 1 { "field differs" } else { "fields differ" };
        lines.push(format!("{count} {noun} from the version in force"));
        let show = |value: &Option<String>| value.clone().unwrap_or_else(|| "none".to_owned());
        lines.extend(changes.iter().map(|change| {
            format!("  {}: {} -> {}", change.field, show(&change.before), show(&change.after))
        }));
    }
    lines.into_iter().map(|line| line + "\n").collect()
}

impl Finding {
    fn is_error(&self) -> bool {
        self.severity == platform::Severity::Error
    }

    /// Returns whether the whole file cannot be read.
    fn is_of_file(&self) -> bool {
        self.is_error() && self.problem.field.is_empty()
    }
}
