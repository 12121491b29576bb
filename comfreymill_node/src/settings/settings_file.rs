use std::cell::RefCell;
use std::fmt;
use std::fs;
use std::path;

use comfreymill_types::document;
use comfreymill_types::yaml;

use super::{ControlSettings, EntrySettings, ParseWordError, machine};

pub(super) const ENTRY: &str = "entry";
pub(super) const CONTROL: &str = "control";

/// Settings of either program, as the file's key `program` says.
#[derive(Clone, Debug, Eq, PartialEq)]
pub enum SettingsFile {
    /// Settings of an entry process.
    Entry(EntrySettings),
    /// Settings of a control process.
    Control(ControlSettings),
}

/// Settings file with all its problems.
#[derive(Clone, Debug, Eq, PartialEq)]
pub struct SettingsError {
    /// File.
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
            write!(f, "{}:{problem}", self.file.display())?;
        }
        Ok(())
    }
}

impl std::error::Error for SettingsError {}

impl SettingsFile {
    /// Reads a file and looks at what it names on this machine.
    ///
    /// # Errors
    ///
    /// Every problem of the file and of the machine.
    pub fn load(file: &path::Path) -> Result<Self, SettingsError> {
        Self::load_with(file, true)
    }

    /// Reads a file without a look at the machine.
    ///
    /// # Errors
    ///
    /// Every problem of the file.
    pub fn load_alone(file: &path::Path) -> Result<Self, SettingsError> {
        Self::load_with(file, false)
    }

    fn load_with(file: &path::Path, with_machine: bool) -> Result<Self, SettingsError> {
        let fail = |problems| SettingsError { file: file.to_owned(), problems };
        let text = fs::read(file).map_err(|error| {
            fail(vec![document::Problem::new("", format!("cannot be read: {error}"))])
        })?;
        let folder = file.parent().unwrap_or(path::Path::new(""));
        let settings = Self::read(&text, folder).map_err(fail)?;
        let problems = if with_machine { settings.check_machine(&text) } else { Vec::new() };
        if problems.is_empty() { Ok(settings) } else { Err(fail(problems)) }
    }

    /// Reads the settings of the program that the text names.
    ///
    /// # Errors
    ///
    /// Every problem of the text.
    pub fn read(text: &[u8], folder: &path::Path) -> Result<Self, Vec<document::Problem>> {
        let node = yaml::Node::parse(text).map_err(|problem| vec![problem])?;
        match node.get_text("program") {
            Some(CONTROL) => ControlSettings::read(text, folder).map(Self::Control),
            _ => EntrySettings::read(text, folder).map(Self::Entry),
        }
    }

    fn check_machine(&self, text: &[u8]) -> Vec<document::Problem> {
        let problems = match self {
            Self::Entry(settings) => machine::check_entry(settings),
            Self::Control(settings) => machine::check_control(settings),
        };
        document::place_problems(text, problems)
    }
}

/// Reads a whole file by `read`, which reports its problems to the section.
pub(super) fn read<T, F>(text: &[u8], read: F) -> Result<T, Vec<document::Problem>>
where
    F: FnOnce(&yaml::Section<'_>) -> Option<T>,
{
    let node = yaml::Node::parse(text).map_err(|problem| vec![problem])?;
    let problems = RefCell::default();
    let section = yaml::Section::new("", &node, &problems);
    let settings = read(&section);
    section.finish();
    drop(section);
    let mut problems = problems.into_inner();
    problems.sort_by_key(|problem| problem.place);
    match settings {
        Some(settings) if problems.is_empty() => Ok(settings),
        _ => Err(problems),
    }
}

/// Reads the key that says which program the file is for.
pub(super) fn read_program(section: &yaml::Section<'_>, program: &'static str) {
    let known = [ENTRY, CONTROL];
    let named: Option<String> = section.required("program");
    match named {
        Some(name) if !known.contains(&name.as_str()) => {
            let error = ParseWordError { text: name, words: known.join(", ") };
            section.problem("program", error.to_string());
        }
        Some(name) if name != program => {
            section
                .problem("program", format!("`{name}`, but these are the settings of {program}"));
        }
        _ => {}
    }
}
