use std::cell::RefCell;
use std::collections::HashSet;

use super::read_error::ReadError;
use crate::document;

/// Problems found so far and the paths to skip because they already have one.
#[derive(Debug, Default)]
pub(super) struct Report {
    problems: RefCell<Vec<document::Problem>>,
    skipped: RefCell<HashSet<String>>,
}

impl Report {
    /// Returns whether the path is skipped.
    pub(super) fn is_skipped(&self, path: &str) -> bool {
        self.skipped.borrow().contains(path)
    }

    /// Returns whether no problem was reported.
    pub(super) fn is_empty(&self) -> bool {
        self.problems.borrow().is_empty()
    }

    /// Returns the number of skipped paths.
    pub(super) fn count_skipped(&self) -> usize {
        self.skipped.borrow().len()
    }

    /// Skips the path in later passes.
    pub(super) fn skip(&self, path: &str) {
        self.skipped.borrow_mut().insert(path.to_owned());
    }

    /// Adds a problem unless its path already has one.
    pub(super) fn add(&self, problem: document::Problem) {
        if self.skipped.borrow_mut().insert(problem.field.clone()) {
            self.problems.borrow_mut().push(problem);
        }
    }

    /// Adds an error at `location` and `path`, unless the error already has a location.
    pub(super) fn add_error(&self, error: ReadError, location: (u64, u64), path: &str) {
        match error.at(location, path) {
            ReadError::Problem(problem) => self.add(problem),
            ReadError::Missing(field) => self.add(document::Problem {
                location: Some(location),
                field: join_path(path, field),
                message: "is missing".to_owned(),
            }),
            ReadError::Message(_) | ReadError::Reported => {}
        }
    }

    /// Returns all problems in the order of the text.
    pub(super) fn into_problems(self) -> Vec<document::Problem> {
        let mut problems = self.problems.into_inner();
        problems.sort_by_key(|problem| problem.location);
        problems
    }
}

/// Returns the path of `key` in the mapping at `path`.
pub(super) fn join_path(path: &str, key: &str) -> String {
    if path.is_empty() { key.to_owned() } else { format!("{path}.{key}") }
}
