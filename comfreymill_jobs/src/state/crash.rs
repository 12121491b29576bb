use crate::id;

/// Run that was in progress on a worker when the worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashedRun {
    /// Task of the run.
    pub task: id::TaskId,
    /// Number of the run; 0 if the crash counts as one that has a cause in common with others. Earlier
    /// builds count no crash under that number.
    pub run: id::Run,
    /// Whether the run had begun so shortly before that it may have caused the crash.
    pub is_suspect: bool,
}

impl CrashedRun {
    /// Creates the record of a crash right after a start of the task that a cause in common with other
    /// crashes explains.
    pub fn explained(task: id::TaskId) -> Self {
        Self { task, run: id::Run::default(), is_suspect: false }
    }

    /// Returns whether a cause in common with other crashes explains the crash.
    pub fn is_explained(&self) -> bool {
        self.run == id::Run::default()
    }
}

/// Crashes of workers under the runs of a task.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashRecord {
    /// Number of crashes.
    pub crashes: u32,
    /// Number of those shortly after the run had begun.
    pub suspected: u32,
    /// Highest run that has been counted.
    pub newest_run: id::Run,
}

impl CrashRecord {
    /// Counts the crash under a run, once for each run.
    pub(super) fn count(&mut self, crashed: &CrashedRun) {
        if crashed.run > self.newest_run {
            self.newest_run = crashed.run;
            self.crashes += 1;
            self.suspected += u32::from(crashed.is_suspect);
        }
    }
}

/// Why a job was given up.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct GivenUp {
    /// Task under which workers crashed.
    pub task: id::TaskId,
    /// Number of workers that crashed under it.
    pub crashes: u32,
}
