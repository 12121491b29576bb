use crate::id;

/// Run that was in progress on a worker when the worker crashed.
#[derive(Clone, Copy, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct CrashedRun {
    /// Task of the run.
    pub task: id::TaskId,
    /// Number of the run.
    pub run: id::Run,
    /// Whether the run had begun so shortly before that it may have caused the crash.
    pub is_suspect: bool,
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
