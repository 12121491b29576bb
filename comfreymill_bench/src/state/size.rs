/// Size of the replicated state.
#[derive(Clone, Copy, Debug, Eq, PartialEq)]
pub struct Size {
    /// Workers.
    pub workers: usize,
    /// Jobs that are not over.
    pub jobs: usize,
    /// Batch tasks that run.
    pub running: usize,
    /// Batch tasks, waiting ones included.
    pub tasks: usize,
    /// Teams of the document.
    pub teams: usize,
}

impl Size {
    /// Size that is aimed at.
    pub const TARGET: Self =
        Self { workers: 910, jobs: 8_700, running: 14_000, tasks: 17_600, teams: 75 };

    /// One `divisor`-th of this size.
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
