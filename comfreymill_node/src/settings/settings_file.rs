use std::cell::RefCell;
use std::fmt;
use std::fs;
use std::path;

use comfreymill_types::document;
use comfreymill_types::yaml;

use super::{
    ControlSettings, EntrySettings, GatewaySettings, LogSettings, NodeSettings, ParseWordError,
    SchedulerSettings, machine,
};

const PROGRAM: &str = "program";
pub(super) const ENTRY: &str = "entry";
pub(super) const CONTROL: &str = "control";
pub(super) const GATEWAY: &str = "gateway";
pub(super) const SCHEDULER: &str = "scheduler";

/// Settings of one of the programs, selected by the key `program` of the file.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsFile {
    /// Settings of an entry process.
    Entry(EntrySettings),
    /// Settings of a control process.
    Control(ControlSettings),
    /// Settings of a gateway process.
    Gateway(GatewaySettings),
    /// Settings of a scheduler process.
    Scheduler(SchedulerSettings),
}

/// Error for a settings file with problems.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// Path of the settings file.
    pub file: path::PathBuf,
    /// Problems in the order in which they were found.
    pub problems: Vec<document::Problem>,
}

impl fmt::Display for SettingsError {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (i, problem) in self.problems.iter().enumerate() {
            if i > 0 {
                f.write_str("\n")?;
            }
            f.write_str(&problem.in_file(&self.file))?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl SettingsFile {
    /// Reads a file and checks the resources of this machine that it refers to.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file and of the machine.
    pub fn load(file: &path::Path) -> Result<Self, SettingsError> {
        Self::load_with(file, true)
    }

    /// Reads a file without checking the machine.
    ///
    /// # Errors
    ///
    /// Returns every problem of the file.
    pub fn load_file_only(file: &path::Path) -> Result<Self, SettingsError> {
        Self::load_with(file, false)
    }

    fn load_with(file: &path::Path, with_machine: bool) -> Result<Self, SettingsError> {
        let to_error = |problems| SettingsError { file: file.to_owned(), problems };
        let text = fs::read(file).map_err(|error| {
            to_error(vec![document::Problem::new("", format!("cannot be read: {error}"))])
        })?;
        let folder = file.parent().unwrap_or(path::Path::new(""));
        let node = yaml::Node::parse(&text).map_err(|problem| to_error(vec![problem]))?;
        let settings = Self::read_node(&node, folder);
        let mut problems = if with_machine { machine::check(&node, folder) } else { Vec::new() };
        match settings {
            Ok(mut settings) if problems.is_empty() => {
                if let Some(node) = settings.node_mut() {
                    node.set_file(file);
                }
                return Ok(settings);
            }
            Ok(_) => {}
            Err(found) => problems.extend(found),
        }
        problems.sort_by_key(|problem| problem.location);
        Err(to_error(problems))
    }

    /// Reads the settings of the program that the text names.
    ///
    /// # Errors
    ///
    /// Returns every problem of the text.
    pub fn read(text: &[u8], folder: &path::Path) -> Result<Self, Vec<document::Problem>> {
        let node = yaml::Node::parse(text).map_err(|problem| vec![problem])?;
        Self::read_node(&node, folder)
    }

    fn read_node(node: &yaml::Node, folder: &path::Path) -> Result<Self, Vec<document::Problem>> {
        match node.get_text(PROGRAM) {
            Some(CONTROL) => ControlSettings::read_node(node, folder).map(Self::Control),
            Some(GATEWAY) => read(node, GatewaySettings::read_section).map(Self::Gateway),
            Some(SCHEDULER) => {
                let read_section =
                    |section: &yaml::Section<'_>| SchedulerSettings::read_section(section, folder);
                read(node, read_section).map(Self::Scheduler)
            }
            _ => EntrySettings::read_node(node, folder).map(Self::Entry),
        }
    }

    /// Log settings of the process.
    pub fn get_log(&self) -> &LogSettings {
        match self {
            Self::Entry(settings) => settings.get_common().get_log(),
            Self::Control(settings) => settings.get_common().get_log(),
            Self::Gateway(settings) => settings.get_node().get_log(),
            Self::Scheduler(settings) => settings.get_node().get_log(),
        }
    }

    /// Settings that gateways and schedulers have in common; `None` for other programs.
    pub fn get_node(&self) -> Option<&NodeSettings> {
        match self {
            Self::Entry(_) | Self::Control(_) => None,
            Self::Gateway(settings) => Some(settings.get_node()),
            Self::Scheduler(settings) => Some(settings.get_node()),
        }
    }

    fn node_mut(&mut self) -> Option<&mut NodeSettings> {
        match self {
            Self::Entry(_) | Self::Control(_) => None,
            Self::Gateway(settings) => Some(settings.node_mut()),
            Self::Scheduler(settings) => Some(settings.node_mut()),
        }
    }

    /// Name of the program that the settings are for.
    pub fn get_program(&self) -> &'static str {
        match self {
            Self::Entry(_) => ENTRY,
            Self::Control(_) => CONTROL,
            Self::Gateway(_) => GATEWAY,
            Self::Scheduler(_) => SCHEDULER,
        }
    }
}

/// Reads a whole file with `read`, which reports its problems to the section.
pub(super) fn read<T, F>(node: &yaml::Node, read: F) -> Result<T, Vec<document::Problem>>
where
    F: FnOnce(&yaml::Section<'_>) -> Option<T>,
{
    let problems = RefCell::default();
    let section = yaml::Section::new("", node, &problems);
    let settings = read(&section);
    section.finish();
    drop(section);
    let mut problems = problems.into_inner();
    problems.sort_by_key(|problem| problem.location);
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}

/// Checks that the key `program` names `program`.
pub(super) fn read_program(section: &yaml::Section<'_>, program: &'static str) {
    let known = [ENTRY, CONTROL, GATEWAY, SCHEDULER];
    let named: Option<String> = section.required(PROGRAM);
    match named {
        Some(name) if !known.contains(&name.as_str()) => {
            let error = ParseWordError { text: name, words: known.join(", ") };
            section.problem(PROGRAM, error.to_string());
        }
        Some(name) if name != program => {
            section
                .problem("program", format!("`{name}`, but these are the settings of {program}"));
        }
        _ => {}
    }
}
