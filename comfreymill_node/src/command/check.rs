use std::fs;
use std::path;

use comfreymill_types::document;
use comfreymill_types::error;
use comfreymill_types::yaml;

use super::check_report::CheckReport;
use super::check_routes;
use super::flags::{Options, general};
use super::{Output, OutputFormat, render};
use crate::settings;

const SETTINGS_KEYS: [&str; 2] = ["program", "listeners"];

/// Runs `check`: files with a key of settings are settings files, all others environment documents.
pub(super) fn execute(flags: &general::Check, options: &Options) -> Output {
    if let Some(routes) = &flags.routes {
        if !flags.files.is_empty() {
            let message = "--routes checks one file: check the others by themselves";
            return Err(error::Error::new(error::ErrorKind::BadRequest, message));
        }
        return check_routes::execute(routes, flags, options);
    }
    if flags.against.is_some() || flags.in_force {
        let message = "--against and --in-force compare routes: name them with --routes FILE";
        return Err(error::Error::new(error::ErrorKind::BadRequest, message));
    }
    if flags.files.is_empty() {
        let message = "no file to check; see `comfreymill check --help`";
        return Err(error::Error::new(error::ErrorKind::BadRequest, message));
    }
    let mut report = CheckReport::default();
    for file in &flags.files {
        let (kind, problems) = check_file(file, !flags.no_machine);
        report.add(file, kind, problems);
    }
    let text = match options.output {
        OutputFormat::Json => render::json(&report)?,
        OutputFormat::Text => write_text(&report),
    };
    let Some(kind) = report.find_kind() else { return Ok(text) };
    render::print(&text);
    let count = report.count_problems();
    let noun = if count == 1 { "problem" } else { "problems" };
    Err(error::Error::new(kind, format!("{count} {noun}; fix and check again")))
}

fn check_file(file: &path::Path, with_machine: bool) -> (error::ErrorKind, Vec<document::Problem>) {
    let text = match fs::read(file) {
        Ok(text) => text,
        Err(error) => {
            let problem = document::Problem::new("", format!("cannot be read: {error}"));
            return (error::ErrorKind::BadRequest, vec![problem]);
        }
    };
    let node = match yaml::Node::parse(&text) {
        Ok(node) => node,
        Err(problem) => return (error::ErrorKind::BadRequest, vec![problem]),
    };
    if !SETTINGS_KEYS.iter().any(|key| node.has(key)) {
        let problems = document::Environment::parse(&text).err().unwrap_or_default();
        return (error::ErrorKind::InvalidDocument, problems);
    }
    let load = if with_machine {
        settings::SettingsFile::load(file)
    } else {
        settings::SettingsFile::load_file_only(file)
    };
    let problems = load.err().map(|error| error.problems).unwrap_or_default();
    (error::ErrorKind::InvalidSettings, problems)
}

fn write_text(report: &CheckReport) -> String {
    if report.count_problems() == 0 {
        let count = report.count_files();
        let noun = if count == 1 { "file" } else { "files" };
        return format!("valid: {count} {noun}\n");
    }
    report.list_lines().map(|line| line + "\n").collect()
}
