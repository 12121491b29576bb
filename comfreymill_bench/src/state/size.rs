/// Size of the replicated state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    /// Number of workers.
    pub workers: usize,
    /// Number of jobs that have not ended.
    pub jobs: usize,
    /// Number of running batch tasks.
    pub running: usize,
    /// Number of batch tasks, including waiting ones.
    pub tasks: usize,
    /// Number of teams in the document.
    pub teams: usize,
}

impl Size {
    /// Target size of the system.
    pub const TARGET: Self =
        Self { workers: 910, jobs: 8_700, running: 14_000, tasks: 17_600, teams: 75 };

    /// Divides every number of this size by `divisor`, rounded down.
    #[must_use]
    pub fn divided_by(self, divisor: usize) -> Self {
        Self {
            workers: self.workers / divisor,
            jobs: self.jobs / divisor,
            running: self.running / divisor,
            tasks: self.tasks / divisor,
            teams: self.teams / divisor,
        }
    }
}
