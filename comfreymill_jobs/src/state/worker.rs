use crate::worker;

/// Worker incarnation that may have runs.
#[derive(Clone, Debug, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Worker {
    /// First announcement of the incarnation, with its latest capacity; a new leader places tasks by
    /// it until a newer one arrives.
    pub announced: worker::Announcement,
    /// Number of the last end of this worker that was recorded.
    pub noted: u64,
}
