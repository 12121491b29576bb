/// Kind of an input of the loop, most urgent first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum Kind {
    /// Messages of the group, completions of the store, and connections of other processes.
    Agreement,
    /// Cancellations of jobs, departures of workers and evacuations of zones.
    Departure,
    /// Submissions of jobs and requests for their states.
    Caller,
    /// Answers of workers to orders.
    Report,
    /// Announcements of workers that are not leaving.
    Announcement,
    /// Requests of operators.
    Operator,
}

impl Kind {
    /// All kinds, most urgent first.
    pub const ALL: [Self; 6] = [
        Self::Agreement,
        Self::Departure,
        Self::Caller,
        Self::Report,
        Self::Announcement,
        Self::Operator,
    ];

    /// Returns the label of the kind in metrics.
    #[must_use]
    pub fn as_str(self) -> &'static str {
        match self {
            Self::Agreement => "agreement",
            Self::Departure => "departure",
            Self::Caller => "caller",
            Self::Report => "report",
            Self::Announcement => "announcement",
            Self::Operator => "operator",
        }
    }

    /// Returns the maximum number of inputs of the kind in one turn.
    ///
    /// The sum bounds a turn to a few milliseconds of a whole processor; reports have the largest
    /// quota after agreement, since each task causes two of them.
    #[must_use]
    pub fn quota(self) -> usize {
        match self {
            Self::Agreement => 64,
            Self::Departure | Self::Caller => 16,
            Self::Report => 32,
            Self::Announcement => 8,
            Self::Operator => 2,
        }
    }

    /// Returns the position of the kind in [`Kind::ALL`].
    pub(super) fn position(self) -> usize {
        self as usize
    }
}
