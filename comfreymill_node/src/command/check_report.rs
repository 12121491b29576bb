use std::path;

use comfreymill_types::document;
use comfreymill_types::error;

/// Result of `check`.
#[derive(Clone, Debug, Default, serde::Serialize)]
#[serde(transparent)]
pub(super) struct CheckReport {
    files: Vec<FileReport>,
}

/// Problems of one file.
#[derive(Clone, Debug, serde::Serialize)]
struct FileReport {
    file: path::PathBuf,
    #[serde(skip)]
    kind: error::ErrorKind,
    problems: Vec<document::Problem>,
}

impl CheckReport {
    /// Adds a file with its problems and the error kind to report for them.
    pub(super) fn add(
        &mut self,
        file: &path::Path,
        kind: error::ErrorKind,
        problems: Vec<document::Problem>,
    ) {
        self.files.push(FileReport { file: file.to_owned(), kind, problems });
    }

    /// Error kind of the first file that has a problem.
    pub(super) fn find_kind(&self) -> Option<error::ErrorKind> {
        let first = self.files.iter().find(|report| !report.problems.is_empty());
        first.map(|report| report.kind)
    }

    /// Number of checked files.
    pub(super) fn count_files(&self) -> usize {
        self.files.len()
    }

    /// Number of problems over all files.
    pub(super) fn count_problems(&self) -> usize {
        self.files.iter().map(|report| report.problems.len()).sum()
    }

    /// Iterates over the problems, formatted as one line each.
    pub(super) fn list_lines(&self) -> impl Iterator<Item = String> {
        let lines = |report: &FileReport| {
            let lines = report.problems.iter().map(|problem| problem.in_file(&report.file));
            lines.collect::<Vec<_>>()
        };
        self.files.iter().flat_map(lines)
    }
}
