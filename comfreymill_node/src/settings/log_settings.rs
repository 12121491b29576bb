use std::path;

use comfreymill_types::yaml;

use super::{LogFile, LogFormat, LogLevel};

/// Level, format and destination of the log.
#[derive(Clone, Debug, Default, Eq, PartialEq)]
pub struct LogSettings {
    level: LogLevel,
    format: LogFormat,
    file: Option<LogFile>,
}

impl LogSettings {
    /// Least severe level that is logged.
    pub fn get_level(&self) -> LogLevel {
        self.level
    }

    /// Format of a line.
    pub fn get_format(&self) -> LogFormat {
        self.format
    }

    /// File to which the log is written instead of stderr.
    pub fn get_file(&self) -> Option<&LogFile> {
        self.file.as_ref()
    }

    /// Sets the least severe level that is logged.
    #[must_use]
    pub fn level(mut self, level: LogLevel) -> Self {
        self.level = level;
        self
    }

    /// Sets the format of a line.
    #[must_use]
    pub fn format(mut self, format: LogFormat) -> Self {
        self.format = format;
        self
    }

    /// Sets the file to which the log is written instead of stderr.
    #[must_use]
    pub fn file(mut self, file: LogFile) -> Self {
        self.file = Some(file);
        self
    }

    pub(super) fn read(section: &yaml::Section<'_>, folder: &path::Path) -> Self {
        let level = section.optional("level").unwrap_or_default();
        let format = section.optional("format").unwrap_or_default();
        let file = section.section("file").and_then(|file| LogFile::read(&file, folder));
        section.finish();
        Self { level, format, file }
    }
}
