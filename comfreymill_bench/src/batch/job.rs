use comfreymill_types::size;

/// Class of a job, which determines its interference with prompt services.
#[derive(Clone, Copy, Debug, Eq, Hash, PartialEq)]
pub(super) enum Kind {
    Quiet,
    Middle,
    Noisy,
    Once,
    Urgent,
    Watch,
}

impl Kind {
    pub(super) const ALL: [Self; 6] =
        [Self::Quiet, Self::Middle, Self::Noisy, Self::Once, Self::Urgent, Self::Watch];

    pub(super) fn as_str(self) -> &'static str {
        match self {
            Self::Quiet => "quiet",
            Self::Middle => "middle",
            Self::Noisy => "noisy",
            Self::Once => "once",
            Self::Urgent => "urgent",
            Self::Watch => "watch",
        }
    }

    /// Returns the percentage of jobs that are of this class.
    pub(super) fn share(self) -> u32 {
        match self {
            Self::Quiet => 45,
            Self::Middle => 30,
            Self::Noisy => 15,
            Self::Once => 10,
            Self::Urgent | Self::Watch => 0,
        }
    }

    /// Returns the slowdown of a prompt service when tasks of this class use all of a VM's cores.
    pub(super) fn noise(self) -> f64 {
        match self {
            Self::Quiet | Self::Watch => 0.02,
            Self::Once | Self::Urgent => 0.05,
            Self::Middle => 0.15,
            Self::Noisy => 1.2,
        }
    }
}

/// Submitted job, with the actual behaviour of its tasks.
#[derive(Clone, Debug)]
pub(super) struct Job {
    pub(super) kind: Kind,
    pub(super) tasks: u32,
    pub(super) declared: size::Resources,
    /// Cores that a task actually uses.
    pub(super) cores: f64,
    /// Work of each task, in seconds at full speed.
    pub(super) seconds: f64,
    /// Seconds between the checkpoints that a task takes by itself, or `None` if it takes none.
    pub(super) checkpoint_every: Option<f64>,
    pub(super) team: usize,
}
