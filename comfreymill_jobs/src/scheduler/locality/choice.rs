use std::time::Duration;

/// What to do with a task that has no place on its rack now.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Choice {
    /// Start it on any worker, for the given reason.
    Anywhere(Reason),
    /// Keep it for the rack, for at most this time.
    Wait(Duration),
}

impl Reason {
    /// Returns the text for logs.
    pub(super) const fn as_str(self) -> &'static str {
        match self {
            Self::NoPlace => "no place is in sight",
            Self::NotWorthIt => "the wait would not be shorter than what it saves",
            Self::NoTime => "the job would be late elsewhere if the wait failed",
            Self::Waited => "it has waited for as long as it may",
        }
    }
}

/// Why a task does not wait for its rack.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum Reason {
    /// No worker of the rack can get it within a time that matters.
    NoPlace,
    /// The wait is not shorter than what the rack saves.
    NotWorthIt,
    /// The job would be late elsewhere if the wait failed.
    NoTime,
    /// The task has waited for as long as it may.
    Waited,
}
